//! Common parts of the operators' commands: target, output and exit code.

use std::net::{SocketAddr, ToSocketAddrs};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use coordination::config::{Change, CommandId};
use derives::{tag, value};
use state::Config;
use transport::log::{
    CommandRequest, Outcome, begin_in_store, read_from_host, read_from_store, submit_to_host,
    submit_to_store,
};

/// Exit code of a command that was refused.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code for errors in the command line or a file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a command whose outcome is unknown: it can be repeated with its id.
pub const EXIT_UNKNOWN: u8 = 3;
/// Exit code if the store or entry host can't be reached and nothing was changed.
pub const EXIT_UNREACHABLE: u8 = 4;

/// Maximum time that a command waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// How long `preset begin` waits for a host to write a snapshot to a store that has
/// lost the configuration, before a new configuration is started.
///
/// The time is five times as long as hosts that notice the loss together wait
/// before one of them writes the snapshot.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(10);

/// The environment variable with the store's address, used if no flag gives it.
const LOG_VARIABLE: &str = "CARDAMOMVALE_LOG_ADDRESS";

/// Where a command is sent, and how its result is printed.
#[value]
pub struct Target {
    /// The address of the platform's store.
    pub log_address: Option<String>,
    /// The admin address of an entry host that is used instead of the store.
    pub entry: Option<String>,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

/// Optional properties of a command.
#[value]
#[derive(Default)]
pub struct CommandOptions {
    /// The revision that the command is based on, by default the newest.
    pub revision: Option<u64>,
    /// The id, in hexadecimal, of an earlier attempt whose outcome is unknown.
    pub id: Option<String>,
}

enum Route {
    Log(SocketAddr),
    Entry(String),
}

/// An action on a data centre or a host.
#[tag]
pub enum Action {
    /// Takes it out of service.
    Leave,
    /// Returns it to service.
    Return,
}

impl FromStr for Action {
    type Err = String;

    fn from_str(text: &str) -> Result<Action, String> {
        match text {
            "leave" => Ok(Action::Leave),
            "return" => Ok(Action::Return),
            other => Err(format!("\"{other}\" is not an action: say leave or return")),
        }
    }
}

impl Action {
    /// Returns the message that confirms the action on `object`.
    pub fn message(self, object: &str) -> String {
        match self {
            Action::Leave => format!("{object} gets no new work"),
            Action::Return => format!("{object} takes work again"),
        }
    }
}

impl Target {
    /// Creates a target from the flags of a command.
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
                "no target: give --log-address IP:port, --entry IP:port, or set {LOG_VARIABLE}"
            )),
        }
    }

    /// Returns the configuration in force, or prints why it can't be read.
    ///
    /// # Errors
    ///
    /// Returns the exit code of the command.
    pub fn read(&self) -> Result<Arc<Config>, ExitCode> {
        let route = self.route().map_err(|e| self.usage(&e))?;
        let read = match &route {
            Route::Log(address) => read_from_store(*address, REQUEST_TIMEOUT),
            Route::Entry(address) => read_from_host(address, REQUEST_TIMEOUT).map(Arc::new),
        };
        read.map_err(|reason| self.finish(&Outcome::Unreachable { reason }, ""))
    }

    /// Submits `change` and prints its outcome; `done` is the message if it is accepted.
    pub fn submit(&self, change: Change, options: &CommandOptions, done: &str) -> ExitCode {
        let route = match self.route() {
            Ok(route) => route,
            Err(message) => return self.usage(&message),
        };
        let id = match options.id.clone().map(CommandId::try_from).transpose() {
            Ok(id) => id,
            Err(_) => return self.usage("--id is no id: copy it from the earlier answer"),
        };
        let request = CommandRequest {
            id,
            decided_on: options.revision,
            change,
        };
        let outcome = match route {
            Route::Log(address) => submit_to_store(address, &request, REQUEST_TIMEOUT),
            Route::Entry(address) => submit_to_host(&address, &request, REQUEST_TIMEOUT),
        };
        self.finish(&outcome, done)
    }

    /// Starts a new configuration with a preset's text, if the store has lost the old one.
    pub fn begin(&self, text: &str, done: &str) -> ExitCode {
        let address = match self.route() {
            Ok(Route::Log(address)) => address,
            Ok(Route::Entry(_)) => return self.usage("begin needs the store: give --log-address"),
            Err(message) => return self.usage(&message),
        };
        let outcome = begin_in_store(address, text, SNAPSHOT_WAIT, REQUEST_TIMEOUT);
        match outcome {
            Outcome::Unknown { .. } if !self.json => {
                eprintln!("unknown: it may have been done; see `preset list` before you try again");
                ExitCode::from(EXIT_UNKNOWN)
            }
            outcome => self.finish(&outcome, done),
        }
    }

    /// Prints an error in the command line or a file, and returns the exit code.
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

/// Resolves the address of the store, a host name or IP address with a port.
///
/// # Errors
///
/// Returns a message if `log` can't be resolved.
pub fn resolve(log: &str) -> Result<SocketAddr, String> {
    let found = log.to_socket_addrs().ok().and_then(|mut a| a.next());
    found.ok_or_else(|| format!("can't resolve the store's address {log:?}: give IP:port"))
}
