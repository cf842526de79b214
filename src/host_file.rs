//! The settings file of an entry host on the platform.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use state::topology::Topology;
use transport::gateway::{Bounds, Live, Settings};

/// The environment variable that names the settings file.
pub const VARIABLE: &str = "CARDAMOMVALE_SETTINGS";

/// What the settings file holds, in TOML. Unknown keys are passed by, since
/// the platform adds some at times.
#[derive(Debug, Deserialize)]
struct HostFile {
    /// The host's name, unlike every other entry host's.
    name: String,
    /// The data centre the host stands in.
    data_centre: String,
    /// Where callers reach it, an IP number and a port.
    caller_address: String,
    /// Where the platform's balancer asks whether it is ready.
    readiness_address: String,
    /// Where the other hosts of its data centre reach it, by datagrams.
    peer_address: String,
    /// Addresses of a few hosts to greet first; only their IP numbers count,
    /// since all hosts have the same peer port.
    #[serde(default)]
    seeds: Vec<String>,
    /// Where the platform's log listens.
    log_address: String,
    /// Whether the whole site starts for the first time.
    #[serde(default)]
    first_start: bool,
    /// Partitions of each topic of the log.
    #[serde(default = "default_partitions")]
    partitions: usize,
    /// Open files that the process may have.
    #[serde(default = "default_files")]
    open_files: usize,
    /// Seconds that the process may take to end.
    #[serde(default = "default_grace")]
    grace_seconds: f64,
    /// Repeats granted for each request.
    #[serde(default = "default_ratio")]
    repeat_ratio: f64,
    /// Repeats granted to all hosts together besides, in each window.
    #[serde(default)]
    repeat_slack: f64,
    /// Seconds of the window in which repeats are counted.
    #[serde(default = "default_window")]
    repeat_window_seconds: f64,
    /// Health checks a second that one endpoint may get from all hosts together.
    #[serde(default = "default_asks")]
    probes_per_second: f64,
    /// The region of each data centre; one that isn't named lies in the same.
    #[serde(default)]
    regions: BTreeMap<String, String>,
}

/// Partitions of a topic where the file doesn't say: what the platform had first.
fn default_partitions() -> usize {
    12
}

/// Health checks a second where the file doesn't say: what operators grant today.
fn default_asks() -> f64 {
    60.0
}

/// Open files where the file doesn't say: the smallest host's.
fn default_files() -> usize {
    1_024
}

/// The time to end in where the file doesn't say: common for service managers.
fn default_grace() -> f64 {
    10.0
}

/// A fifth of the requests, the customary bound of repeats.
fn default_ratio() -> f64 {
    0.2
}

/// The window of repeats where the file doesn't say.
fn default_window() -> f64 {
    10.0
}

/// Open files that are not for callers: ports, the store, files.
const OTHER_FILES: usize = 300;

/// The share of open files that callers may take; the rest is for endpoints.
const CALLERS_SHARE: usize = 2;

/// Returns where the settings file is: the flag's, or the environment's.
///
/// # Errors
///
/// Says so where neither names one.
pub fn path(flag: Option<PathBuf>) -> Result<PathBuf, Vec<String>> {
    flag.or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            vec![format!(
                "no settings file: give --settings or set {VARIABLE}"
            )]
        })
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns one line for each fault, each saying what to mend.
pub fn read(path: &Path) -> Result<Settings, Vec<String>> {
    let text = fs::read_to_string(path)
        .map_err(|e| vec![format!("{}: {e}; is the path right?", path.display())])?;
    let file: HostFile =
        toml::from_str(&text).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    check(file)
}

fn check(file: HostFile) -> Result<Settings, Vec<String>> {
    let mut faults = Vec::new();
    for (key, value) in [("name", &file.name), ("data_centre", &file.data_centre)] {
        if value.is_empty() {
            faults.push(format!("{key}: must not be empty"));
        }
    }
    let callers = address("caller_address", &file.caller_address, &mut faults);
    let readiness = address("readiness_address", &file.readiness_address, &mut faults);
    let peers = address("peer_address", &file.peer_address, &mut faults);
    let seeds: Vec<SocketAddr> = file
        .seeds
        .iter()
        .filter_map(|seed| address("seeds", seed, &mut faults))
        .collect();
    let log = address("log_address", &file.log_address, &mut faults);
    let grace = seconds("grace_seconds", file.grace_seconds, &mut faults);
    let window = seconds(
        "repeat_window_seconds",
        file.repeat_window_seconds,
        &mut faults,
    );
    for (key, value) in [
        ("repeat_ratio", file.repeat_ratio),
        ("repeat_slack", file.repeat_slack),
        ("probes_per_second", file.probes_per_second),
    ] {
        if !value.is_finite() || value < 0.0 {
            faults.push(format!("{key}: must be 0 or more, is {value}"));
        }
    }
    if file.open_files <= OTHER_FILES * 2 {
        faults.push(format!("open_files: must be above {}", OTHER_FILES * 2));
    }
    let regions = file.regions.iter().map(|(c, r)| (c.as_str(), r.as_str()));
    match (callers, readiness, peers, log, grace, window) {
        (Some(callers), Some(readiness), Some(peers), Some(log), Some(grace), Some(window))
            if faults.is_empty() =>
        {
            Ok(Settings {
                name: file.name,
                data_centre: file.data_centre,
                topology: Topology::new(regions),
                callers,
                readiness,
                seeds: seeds
                    .iter()
                    .map(|seed| SocketAddr::new(seed.ip(), peers.port()))
                    .collect(),
                peers,
                log,
                first_start: file.first_start,
                partitions: file.partitions,
                live: Live {
                    bounds: Bounds {
                        grace,
                        repeat_ratio: file.repeat_ratio,
                        repeat_slack: file.repeat_slack,
                        repeat_window: window,
                        ask_rate: file.probes_per_second,
                    },
                    callers_limit: (file.open_files - OTHER_FILES) / CALLERS_SHARE,
                },
            })
        }
        _ => Err(faults),
    }
}

fn address(key: &str, text: &str, faults: &mut Vec<String>) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            faults.push(format!(
                "{key}: must be an IP number and a port, is {text:?}"
            ));
            None
        }
    }
}

fn seconds(key: &str, value: f64, faults: &mut Vec<String>) -> Option<Duration> {
    match Duration::try_from_secs_f64(value) {
        Ok(time) if !time.is_zero() => Some(time),
        _ => {
            faults.push(format!("{key}: must be above 0, is {value}"));
            None
        }
    }
}
