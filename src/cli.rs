//! The grammar of the command line, with the help texts.
//!
//! The flags of `entry` may also be given as environment variables: the variable
//! of the flag `--peer-address` is `CARDAMOMVALE_PEER_ADDRESS`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    src "./src/cli.rs"

    /// A load balancer for backend servers whose load shifts in milliseconds.
    cmd cardamomvale {
        /// Run an entry host.
        cmd entry {
            /// The host's name, unique among entry hosts.
            optional --name name: String
            /// The data centre that the host is in.
            optional --data-centre name: String
            /// The address for callers' requests, an IP address and a port.
            optional --caller-address address: String
            /// The address for connections from other entry hosts, an IP address and a port.
            optional --peer-address address: String
            /// The address for operators' requests, an IP address and a port.
            optional --admin-address address: String
            /// The address of the platform's store, an IP address and a port.
            optional --log-address address: String
            /// How backend servers are chosen: shared (the default), or a baseline for
            /// comparison: random, round-robin, least-in-flight, two-choices, fixed-share.
            optional --policy policy: String
            /// Maximum time for calls in flight to end on shutdown, in seconds.
            optional --drain-seconds seconds: String
            /// Write a trace of one in this many calls to standard output, 0 for none.
            optional --trace-every calls: String
            /// The log level: error, warn, info, debug or trace.
            optional --log-level level: String
        }
        /// Run an entry host on the platform, with a settings file.
        cmd serve {
            /// The settings file; by default the path in CARDAMOMVALE_SETTINGS.
            optional --settings file: PathBuf
            /// The log level: error, warn, info, debug or trace.
            optional --log-level level: String
        }
        /// Check a settings file of `serve` without starting anything.
        cmd check-settings {
            /// The settings file, in TOML.
            required file: PathBuf
        }
        /// Check, submit, show and choose presets.
        cmd preset {
            /// Check a preset file without submitting it.
            cmd check {
                /// The preset file, in TOML.
                required file: PathBuf
                /// Print JSON for scripts.
                optional --json
            }
            /// Submit a preset file; the whole preset is accepted or nothing.
            cmd put {
                /// The preset file, in TOML.
                required file: PathBuf
                /// The address of the platform's store.
                optional --log-address address: String
                /// The admin address of an entry host that is used instead of the store.
                optional --entry address: String
                /// The id of an earlier command to repeat.
                optional --id id: String
                /// Print JSON for scripts.
                optional --json
            }
            /// Start a new configuration with a preset in force, if the store has lost the old one.
            cmd begin {
                /// The preset file, in TOML.
                required file: PathBuf
                /// The address of the platform's store.
                optional --log-address address: String
                /// Print JSON for scripts.
                optional --json
            }
            /// List the accepted presets.
            cmd list {
                /// The address of the platform's store.
                optional --log-address address: String
                /// The admin address of an entry host that is used instead of the store.
                optional --entry address: String
                /// Print JSON for scripts.
                optional --json
            }
            /// Show one preset, or the one in force.
            cmd show {
                /// The preset's name.
                optional name: String
                /// The address of the platform's store.
                optional --log-address address: String
                /// The admin address of an entry host that is used instead of the store.
                optional --entry address: String
                /// Print JSON for scripts.
                optional --json
            }
            /// Put a preset in force.
            cmd choose {
                /// The preset's name.
                required name: String
                /// The address of the platform's store.
                optional --log-address address: String
                /// The admin address of an entry host that is used instead of the store.
                optional --entry address: String
                /// The revision that the choice is based on, by default the newest.
                optional --revision revision: u64
                /// The id of an earlier command to repeat.
                optional --id id: String
                /// Print JSON for scripts.
                optional --json
            }
        }
        /// Take a data centre out of service, or return it.
        cmd data-centre {
            /// `leave` or `return`.
            required action: String
            /// The data centre's name.
            required name: String
            /// The address of the platform's store.
            optional --log-address address: String
            /// The admin address of an entry host that is used instead of the store.
            optional --entry address: String
            /// The revision that the change is based on, by default the newest.
            optional --revision revision: u64
            /// The id of an earlier command to repeat.
            optional --id id: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Take a host out of service, or return it.
        cmd host {
            /// `leave` or `return`.
            required action: String
            /// The host's name or IP address.
            required name: String
            /// The address of the platform's store.
            optional --log-address address: String
            /// The admin address of an entry host that is used instead of the store.
            optional --entry address: String
            /// The revision that the change is based on, by default the newest.
            optional --revision revision: u64
            /// The id of an earlier command to repeat.
            optional --id id: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Show the status of an entry host, or the configuration from the store.
        cmd status {
            /// The admin address of the entry host.
            optional --entry address: String
            /// The address of the platform's store, used if no entry host is given.
            optional --log-address address: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Run the whole system under load on this machine, then print the results.
        cmd demo {
            /// Keep running afterwards, and print the addresses.
            optional --keep
            /// Print JSON for scripts.
            optional --json
            /// The duration of the load in seconds.
            optional --seconds seconds: u64
        }
        /// Generate load from an experiment file and report the callers' results.
        cmd load {
            /// The experiment file, in TOML.
            required file: PathBuf
            /// The directory for the report and the plot.
            optional --out directory: PathBuf
            /// Run with these policies, separated by commas.
            optional --policies policies: String
            /// Print JSON for scripts.
            optional --json
        }
        /// Run a stand-in of an external system: the platform's store, or backend servers.
        cmd stand-in {
            /// Run a stand-in of the platform's store.
            cmd log {
                /// The address to listen on.
                optional --address address: SocketAddr
                /// The number of records kept in each topic.
                optional --retain records: usize
                /// The number of appends accepted per second.
                optional --appends per_second: u32
            }
            /// Run stand-ins of backend servers.
            cmd backend {
                /// The address of a backend server, given once for each; port 0 for any free port.
                repeated --address address: SocketAddr
                /// The address for setting faults and reading the servers' journal.
                optional --control-address address: SocketAddr
                /// The number of calls that each server runs at once.
                optional --slots slots: u32
                /// The number of calls that each server runs at once while cold.
                optional --cold-slots slots: u32
                /// Start the servers cold instead of warm.
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
