//! What the operators' commands share: where they go, what they print, how they end.

use std::net::{SocketAddr, ToSocketAddrs};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use coordination::config::{Change, CommandId};
use derives::{tag, value};
use state::Config;
use transport::log::{
    CommandRequest, Outcome, begin_by_log, read_by_entry, read_by_log, submit_by_entry,
    submit_by_log,
};

/// The command was refused.
pub const EXIT_REFUSED: u8 = 1;
/// The command line or a file is at fault.
pub const EXIT_USAGE: u8 = 2;
/// What came of the command is not known: ask again with its id.
pub const EXIT_UNKNOWN: u8 = 3;
/// Nothing was done, since log or entry host can't be reached.
pub const EXIT_UNREACHABLE: u8 = 4;

/// How long a command waits for its answer.
const LIMIT: Duration = Duration::from_secs(5);

/// How long a log that has forgotten is watched for a host's snapshot before
/// anything is begun anew: five times the wait of hosts that notice together.
const QUIET: Duration = Duration::from_secs(10);

/// Names the log's address where no flag does.
const LOG_VARIABLE: &str = "CARDAMOMVALE_LOG_ADDRESS";

/// Where a command goes, and how it prints.
#[value]
pub struct Target {
    /// Where the platform's log listens.
    pub log_address: Option<String>,
    /// An entry host's admin port, in place of the log.
    pub entry: Option<String>,
    /// Print JSON for scripts.
    pub json: bool,
}

/// What an operator knows of a command beyond the change itself.
#[value]
#[derive(Default)]
pub struct Grounds {
    /// The revision it was decided on; the newest where none is given.
    pub revision: Option<u64>,
    /// The id of an earlier try whose outcome is unknown, in hex.
    pub id: Option<String>,
}

enum Route {
    Log(SocketAddr),
    Entry(String),
}

/// What an operator says of a data centre or a host.
#[tag]
pub enum Action {
    /// It is taken out.
    Leave,
    /// It is brought back.
    Return,
}

impl FromStr for Action {
    type Err = String;

    fn from_str(text: &str) -> Result<Action, String> {
        match text {
            "leave" => Ok(Action::Leave),
            "return" => Ok(Action::Return),
            other => Err(format!("\"{other}\" is no action: say leave or return")),
        }
    }
}

impl Action {
    /// Returns what is said once it is done to what `whose` names.
    pub fn done(self, whose: &str) -> String {
        match self {
            Action::Leave => format!("{whose} gets no new work"),
            Action::Return => format!("{whose} takes work again"),
        }
    }
}

impl Target {
    /// Returns where a command goes, and how it prints.
    pub fn new(log_address: Option<String>, entry: Option<String>, json: bool) -> Target {
        Target {
            log_address,
            entry,
            json,
        }
    }

    fn route(&self) -> Result<Route, String> {
        let variable = std::env::var(LOG_VARIABLE).ok();
        match (&self.log_address, &self.entry, variable) {
            (Some(_), Some(_), _) => Err("give --log-address or --entry, not both".to_owned()),
            (None, Some(entry), _) => Ok(Route::Entry(entry.clone())),
            (Some(log), None, _) => resolve(log).map(Route::Log),
            (None, None, Some(log)) => resolve(&log).map(Route::Log),
            (None, None, None) => Err(format!(
                "say where to go: --log-address IP:port, --entry IP:port, or {LOG_VARIABLE}"
            )),
        }
    }

    /// Returns the configuration in force, or prints why there is none.
    ///
    /// # Errors
    ///
    /// Returns the exit code.
    pub fn read(&self) -> Result<Arc<Config>, ExitCode> {
        let route = self.route().map_err(|e| self.usage(&e))?;
        let read = match &route {
            Route::Log(address) => read_by_log(*address, LIMIT),
            Route::Entry(address) => read_by_entry(address, LIMIT).map(Arc::new),
        };
        read.map_err(|reason| self.finish(&Outcome::Unreachable { reason }, ""))
    }

    /// Hands `change` on and prints what came of it; `done` says it in words.
    pub fn submit(&self, change: Change, grounds: &Grounds, done: &str) -> ExitCode {
        let route = match self.route() {
            Ok(route) => route,
            Err(message) => return self.usage(&message),
        };
        let id = match grounds.id.clone().map(CommandId::try_from).transpose() {
            Ok(id) => id,
            Err(_) => return self.usage("--id is no id: copy it from the earlier answer"),
        };
        let request = CommandRequest {
            id,
            decided_on: grounds.revision,
            change,
        };
        let outcome = match route {
            Route::Log(address) => submit_by_log(address, &request, LIMIT),
            Route::Entry(address) => submit_by_entry(&address, &request, LIMIT),
        };
        self.finish(&outcome, done)
    }

    /// Begins the configuration anew with a preset's text, where the log has forgotten it.
    pub fn begin(&self, text: &str, done: &str) -> ExitCode {
        let address = match self.route() {
            Ok(Route::Log(address)) => address,
            Ok(Route::Entry(_)) => return self.usage("begin goes to the log: --log-address"),
            Err(message) => return self.usage(&message),
        };
        let outcome = begin_by_log(address, text, QUIET, LIMIT);
        match outcome {
            Outcome::Unknown { .. } if !self.json => {
                eprintln!("unknown: it may have been done; see `preset list` before another try");
                ExitCode::from(EXIT_UNKNOWN)
            }
            outcome => self.finish(&outcome, done),
        }
    }

    /// Prints a fault of the command line or of a file.
    pub fn usage(&self, message: &str) -> ExitCode {
        match self.json {
            true => println!(
                "{}",
                serde_json::json!({ "outcome": "faulty", "reason": message })
            ),
            false => eprintln!("error: {message}"),
        }
        ExitCode::from(EXIT_USAGE)
    }

    fn finish(&self, outcome: &Outcome, done: &str) -> ExitCode {
        match (self.json, outcome) {
            (true, outcome) => {
                println!("{}", serde_json::to_string(outcome).unwrap_or_default());
            }
            (false, Outcome::Accepted { revision }) => {
                println!("accepted, revision {revision}: {done}");
            }
            (false, Outcome::Refused { reason }) => eprintln!("refused: {reason}"),
            (false, Outcome::Unknown { id }) => {
                eprintln!("unknown: it may have been done; ask again with --id {id}");
            }
            (false, Outcome::Unreachable { reason }) => {
                eprintln!("unreachable, nothing was done: {reason}");
            }
        }
        match outcome {
            Outcome::Accepted { .. } => ExitCode::SUCCESS,
            Outcome::Refused { .. } => ExitCode::from(EXIT_REFUSED),
            Outcome::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN),
            Outcome::Unreachable { .. } => ExitCode::from(EXIT_UNREACHABLE),
        }
    }
}

/// Returns the address that `log` names.
///
/// # Errors
///
/// Says what to mend where it names none.
pub fn resolve(log: &str) -> Result<SocketAddr, String> {
    let found = log.to_socket_addrs().ok().and_then(|mut a| a.next());
    found.ok_or_else(|| format!("{log:?} is no address of a log: give IP:port"))
}
