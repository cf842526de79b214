//! The settings of `entry`, from flags and environment variables.
//!
//! All errors are collected and reported together, so that an operator can correct
//! them at once. Nothing is started with incomplete settings.

use std::env;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use state::policy::Policy;
use transport::entry::Settings;

use crate::cli;

const VARIABLE_PREFIX: &str = "CARDAMOMVALE_";
const DEFAULT_DRAIN_SECONDS: u64 = 30;

/// Checked settings of the `entry` command.
pub struct EntrySettings {
    /// The settings of the entry host itself.
    pub host: Settings,
    /// The most detailed level that is logged.
    pub level: LevelFilter,
}

/// Returns the flag's value or, if not given, that of its environment variable.
pub fn or_env(flag: &str, given: Option<String>) -> Option<String> {
    given.or_else(|| {
        env::var(variable(flag))
            .ok()
            .filter(|value| !value.is_empty())
    })
}

/// Checks the settings of an entry host.
///
/// # Errors
///
/// Returns one line for each error, which says how to correct it.
pub fn check(flags: cli::Entry) -> Result<EntrySettings, Vec<String>> {
    let mut reader = FlagReader { errors: Vec::new() };
    let name: Option<String> = reader.required("name", flags.name);
    let data_centre: Option<String> = reader.required("data-centre", flags.data_centre);
    let callers = reader.required("caller-address", flags.caller_address);
    let peers = reader.required("peer-address", flags.peer_address);
    let admin = reader.required("admin-address", flags.admin_address);
    let log = reader.required("log-address", flags.log_address);
    let policy = reader.optional("policy", flags.policy, Policy::Shared);
    let drain = reader.optional("drain-seconds", flags.drain_seconds, DEFAULT_DRAIN_SECONDS);
    let trace_every = reader.optional("trace-every", flags.trace_every, 0);
    let level = reader.optional("log-level", flags.log_level, LevelFilter::Info);
    if let (Some(name), Some(centre)) = (&name, &data_centre) {
        reader.check_no_whitespace("name", name);
        reader.check_no_whitespace("data-centre", centre);
    }
    if let (Some(callers), Some(peers), Some(admin)) = (callers, peers, admin) {
        reader.check_distinct([("caller-address", callers), ("peer-address", peers)]);
        reader.check_distinct([("caller-address", callers), ("admin-address", admin)]);
        reader.check_distinct([("peer-address", peers), ("admin-address", admin)]);
    }
    let settings = (|| {
        Some(Settings {
            name: name?,
            data_centre: data_centre?,
            callers: callers?,
            peers: peers?,
            admin: admin?,
            log: log?,
            policy,
            drain: Duration::from_secs(drain),
            trace_every,
        })
    })();
    match settings {
        Some(host) if reader.errors.is_empty() => Ok(EntrySettings { host, level }),
        _ => Err(reader.errors),
    }
}

struct FlagReader {
    errors: Vec<String>,
}

impl FlagReader {
    fn required<T>(&mut self, flag: &str, given: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = or_env(flag, given) else {
            let variable = variable(flag);
            self.errors
                .push(format!("--{flag} is missing: give it, or set {variable}"));
            return None;
        };
        self.parse(flag, &text)
    }

    fn optional<T>(&mut self, flag: &str, given: Option<String>, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match or_env(flag, given) {
            Some(text) => self.parse(flag, &text).unwrap_or(default),
            None => default,
        }
    }

    fn parse<T>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.parse()
            .map_err(|error| self.errors.push(format!("--{flag} is {text:?}: {error}")))
            .ok()
    }

    fn check_no_whitespace(&mut self, flag: &str, text: &str) {
        if text.is_empty() || text.contains(char::is_whitespace) {
            self.errors.push(format!(
                "--{flag} is {text:?}: use a name without whitespace"
            ));
        }
    }

    fn check_distinct(&mut self, pair: [(&str, std::net::SocketAddr); 2]) {
        let [(first, a), (second, b)] = pair;
        if a == b && a.port() != 0 {
            self.errors.push(format!(
                "--{first} and --{second} are both {a}: use different ports"
            ));
        }
    }
}

fn variable(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}
