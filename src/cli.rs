//! The command line, one documented grammar.
//!
//! Flags of an entry host may also be given as environment variables: the flag
//! `--peer-address` is the variable `CARDAMOMVALE_PEER_ADDRESS`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    src "./src/cli.rs"

    /// A load balancer for backend servers whose load shifts in milliseconds.
    cmd cardamomvale {
        /// Run an entry host.
        cmd entry {
            /// The host's name, unlike every other entry host's.
            optional --name name: String
            /// The data centre the host stands in.
            optional --data-centre name: String
            /// Where callers reach it, an IP number and a port.
            optional --caller-address address: String
            /// Where its peers reach it, an IP number and a port.
            optional --peer-address address: String
            /// Where operators reach it, an IP number and a port.
            optional --admin-address address: String
            /// Where the platform's log listens, an IP number and a port.
            optional --log-address address: String
            /// How calls are placed: shared (the default), or a baseline to measure
            /// against: random, round-robin, least-in-flight, two-choices, fixed-share.
            optional --policy policy: String
            /// How long calls in flight may take to end on shutdown, in seconds.
            optional --drain-seconds seconds: String
            /// Write one call in this many as a trace to standard output, 0 for none.
            optional --trace-every calls: String
            /// How much is logged: error, warn, info, debug or trace.
            optional --log-level level: String
        }
        /// Run an entry host on the platform, by its settings file.
        cmd serve {
            /// The settings file; by default what CARDAMOMVALE_SETTINGS names.
            optional --settings file: PathBuf
            /// How much is logged: error, warn, info, debug or trace.
            optional --log-level level: String
        }
        /// Check a settings file of `serve` without starting anything.
        cmd check-settings {
            /// The settings file, in TOML.
            required file: PathBuf
        }
        /// Check, accept, show and choose presets.
        cmd preset {
            /// Check a preset file without taking it.
            cmd check {
                /// The preset's file, in TOML.
                required file: PathBuf
                /// Print JSON for scripts.
                optional --json
            }
            /// Offer a preset file; it is taken whole or not at all.
            cmd put {
                /// The preset's file, in TOML.
                required file: PathBuf
                /// Where the platform's log listens.
                optional --log-address address: String
                /// An entry host's admin port, in place of the log.
                optional --entry address: String
                /// Repeat an earlier command by its id.
                optional --id id: String
                /// Print JSON for scripts.
                optional --json
            }
            /// Begin anew with a preset in force, where the log has forgotten all.
            cmd begin {
                /// The preset's file, in TOML.
                required file: PathBuf
                /// Where the platform's log listens.
                optional --log-address address: String
                /// Print JSON for scripts.
                optional --json
            }
            /// List the accepted presets.
            cmd list {
                /// Where the platform's log listens.
                optional --log-address address: String
                /// An entry host's admin port, in place of the log.
                optional --entry address: String
                /// Print JSON for scripts.
                optional --json
            }
            /// Show one preset, or the one in force.
            cmd show {
                /// The preset's name.
                optional name: String
                /// Where the platform's log listens.
                optional --log-address address: String
                /// An entry host's admin port, in place of the log.
                optional --entry address: String
                /// Print JSON for scripts.
                optional --json
            }
            /// Put a preset in force.
            cmd choose {
                /// The preset's name.
                required name: String
                /// Where the platform's log listens.
                optional --log-address address: String
                /// An entry host's admin port, in place of the log.
                optional --entry address: String
                /// The revision the choice was decided on; by default the newest.
                optional --revision revision: u64
                /// Repeat an earlier command by its id.
                optional --id id: String
                /// Print JSON for scripts.
                optional --json
            }
        }
        /// Take a data centre out, or bring it back.
        cmd data-centre {
            /// `leave` or `return`.
            required action: String
            /// The data centre's name.
            required name: String
            /// Where the platform's log listens.
            optional --log-address address: String
            /// An entry host's admin port, in place of the log.
            optional --entry address: String
            /// The revision the change was decided on; by default the newest.
            optional --revision revision: u64
            /// Repeat an earlier command by its id.
            optional --id id: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Take a host out, or bring it back.
        cmd host {
            /// `leave` or `return`.
            required action: String
            /// The host's name or IP number.
            required name: String
            /// Where the platform's log listens.
            optional --log-address address: String
            /// An entry host's admin port, in place of the log.
            optional --entry address: String
            /// The revision the change was decided on; by default the newest.
            optional --revision revision: u64
            /// Repeat an earlier command by its id.
            optional --id id: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Show what an entry host knows, or what the log says of the configuration.
        cmd status {
            /// The entry host's admin port.
            optional --entry address: String
            /// Where the platform's log listens, where no entry host is asked.
            optional --log-address address: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Show the whole system at work on this machine, then print what it did.
        cmd demo {
            /// Stay up afterwards, with the addresses printed.
            optional --keep
            /// Print JSON for scripts.
            optional --json
            /// How long to drive the load, in seconds.
            optional --seconds seconds: u64
        }
        /// Drive load from an experiment file and report what callers saw.
        cmd load {
            /// The experiment's file, in TOML.
            required file: PathBuf
            /// Where the report and the plot go.
            optional --out directory: PathBuf
            /// Run it over these policies, separated by commas.
            optional --policies policies: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Run a stand-in of what lies outside: the platform's log, or backend servers.
        cmd stand-in {
            /// Run the platform's log.
            cmd log {
                /// Where it listens.
                optional --address address: SocketAddr
                /// Records kept a stream.
                optional --retain records: usize
                /// Appends taken a second.
                optional --appends per_second: u32
            }
            /// Run backend servers.
            cmd backend {
                /// Where each listens, given once a backend server; port 0 for any free one.
                repeated --address address: SocketAddr
                /// Where their faults are set and their journal is read.
                optional --control-address address: SocketAddr
                /// Calls each bears at once.
                optional --slots slots: u32
                /// Calls each bears at once while cold.
                optional --cold-slots slots: u32
                /// Start cold rather than warm.
                optional --cold
            }
        }
    }
}
// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct Cardamomvale {
    pub subcommand: CardamomvaleCmd,
}

#[derive(Debug)]
pub enum CardamomvaleCmd {
    Entry(Entry),
    Serve(Serve),
    CheckSettings(CheckSettings),
    Preset(Preset),
    DataCentre(DataCentre),
    Host(Host),
    Status(Status),
    Demo(Demo),
    Load(Load),
    StandIn(StandIn),
}

#[derive(Debug)]
pub struct Entry {
    pub name: Option<String>,
    pub data_centre: Option<String>,
    pub caller_address: Option<String>,
    pub peer_address: Option<String>,
    pub admin_address: Option<String>,
    pub log_address: Option<String>,
    pub policy: Option<String>,
    pub drain_seconds: Option<String>,
    pub trace_every: Option<String>,
    pub log_level: Option<String>,
}

#[derive(Debug)]
pub struct Serve {
    pub settings: Option<PathBuf>,
    pub log_level: Option<String>,
}

#[derive(Debug)]
pub struct CheckSettings {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Preset {
    pub subcommand: PresetCmd,
}

#[derive(Debug)]
pub enum PresetCmd {
    Check(Check),
    Put(Put),
    Begin(Begin),
    List(List),
    Show(Show),
    Choose(Choose),
}

#[derive(Debug)]
pub struct Check {
    pub file: PathBuf,

    pub json: bool,
}

#[derive(Debug)]
pub struct Put {
    pub file: PathBuf,

    pub log_address: Option<String>,
    pub entry: Option<String>,
    pub id: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct Begin {
    pub file: PathBuf,

    pub log_address: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct List {
    pub log_address: Option<String>,
    pub entry: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct Show {
    pub name: Option<String>,

    pub log_address: Option<String>,
    pub entry: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct Choose {
    pub name: String,

    pub log_address: Option<String>,
    pub entry: Option<String>,
    pub revision: Option<u64>,
    pub id: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct DataCentre {
    pub action: String,
    pub name: String,

    pub log_address: Option<String>,
    pub entry: Option<String>,
    pub revision: Option<u64>,
    pub id: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct Host {
    pub action: String,
    pub name: String,

    pub log_address: Option<String>,
    pub entry: Option<String>,
    pub revision: Option<u64>,
    pub id: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct Status {
    pub entry: Option<String>,
    pub log_address: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct Demo {
    pub keep: bool,
    pub json: bool,
    pub seconds: Option<u64>,
}

#[derive(Debug)]
pub struct Load {
    pub file: PathBuf,

    pub out: Option<PathBuf>,
    pub policies: Option<String>,
    pub json: bool,
}

#[derive(Debug)]
pub struct StandIn {
    pub subcommand: StandInCmd,
}

#[derive(Debug)]
pub enum StandInCmd {
    Log(Log),
    Backend(Backend),
}

#[derive(Debug)]
pub struct Log {
    pub address: Option<SocketAddr>,
    pub retain: Option<usize>,
    pub appends: Option<u32>,
}

#[derive(Debug)]
pub struct Backend {
    pub address: Vec<SocketAddr>,
    pub control_address: Option<SocketAddr>,
    pub slots: Option<u32>,
    pub cold_slots: Option<u32>,
    pub cold: bool,
}

impl Cardamomvale {
    #[allow(dead_code)]
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[allow(dead_code)]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[allow(dead_code)]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
