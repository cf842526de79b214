//! The settings file of `serve`, which runs an entry host on the platform.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use state::fleet::rollout::exposure::ExposureBound;
use state::topology::Topology;
use transport::gateway::{Bounds, Live, Settings};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "CARDAMOMVALE_SETTINGS";

/// The contents of the settings file, in TOML.
///
/// Unknown keys are ignored, since the platform may add some.
#[derive(Debug, Deserialize)]
struct SettingsFile {
    /// The host's name, unique among entry hosts.
    name: String,
    /// The data centre that the host is in.
    data_centre: String,
    /// The IP address and port on which the host accepts callers' requests.
    caller_address: String,
    /// The address on which the host answers readiness checks of the platform's balancer.
    readiness_address: String,
    /// The address on which the host receives datagrams from other entry hosts.
    peer_address: String,
    /// The addresses of a few hosts to contact first.
    ///
    /// Only their IP addresses are used, since all hosts have the same peer port.
    #[serde(default)]
    seeds: Vec<String>,
    /// The local IP address from which the host opens connections to endpoints.
    ///
    /// Without it the system chooses, which is right unless the host has several addresses
    /// and endpoints accept only one of them.
    source_address: Option<IpAddr>,
    /// The address of the platform's store.
    log_address: String,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    first_start: bool,
    /// The number of partitions of each topic of the store.
    #[serde(default = "default_partitions")]
    partitions: usize,
    /// The maximum number of files that the process may have open.
    #[serde(default = "default_open_files")]
    open_files: usize,
    /// The time in seconds that the process may take to shut down.
    #[serde(default = "default_grace")]
    grace_seconds: f64,
    /// The number of retries granted per request, usually a fraction.
    #[serde(default = "default_ratio")]
    repeat_ratio: f64,
    /// The number of additional retries granted to all hosts together in each window.
    #[serde(default)]
    repeat_slack: f64,
    /// The length in seconds of the window in which retries are counted; the limits hold in
    /// windows of any length.
    #[serde(default = "default_window")]
    repeat_window_seconds: f64,
    /// Probes per second that one endpoint may receive from all hosts together.
    #[serde(default = "default_probe_rate")]
    probes_per_second: f64,
    /// The fraction of a service's requests that a bad version may get before it is rolled
    /// back. Without it there are no roll-outs.
    exposure_ratio: Option<f64>,
    /// The number of requests that a bad version may get besides.
    #[serde(default)]
    exposure_slack: f64,
    /// The number of requests by which all hosts together may exceed an account's quota.
    #[serde(default)]
    quota_slack: f64,
    /// The time in seconds after which a changed configuration must be in force. Without it a
    /// host rejects what it doesn't know as final, however old its configuration may be.
    configuration_seconds: Option<f64>,
    /// The time in seconds after which a revoked API key must run nothing more.
    revocation_seconds: Option<f64>,
    /// Whether a host that hears nothing for that time serves no API key.
    #[serde(default)]
    fail_closed: bool,
    /// The region of each data centre.
    ///
    /// A data centre that is not listed is assumed to be in the same region as any other.
    #[serde(default)]
    regions: BTreeMap<String, String>,
}

/// Returns the default of `partitions`, the platform's original number.
fn default_partitions() -> usize {
    12
}

/// Returns the default of `probes_per_second`, the rate that operators grant at present.
fn default_probe_rate() -> f64 {
    60.0
}

/// Returns the default of `open_files`, the limit of the smallest hosts.
fn default_open_files() -> usize {
    1_024
}

/// Returns the default of `grace_seconds`, a common default of service managers.
fn default_grace() -> f64 {
    10.0
}

/// Returns the default of `repeat_ratio`: a fifth of the requests, a common limit for retries.
fn default_ratio() -> f64 {
    0.2
}

/// Returns the default of `repeat_window_seconds`.
fn default_window() -> f64 {
    10.0
}

/// The number of open files reserved for listeners, connections to the store, and regular files.
const RESERVED_FILES: usize = 300;

/// Callers may use the open files divided by this number; the rest is for endpoints.
const CALLERS_DIVISOR: usize = 2;

/// Returns the path of the settings file, from the flag or from the environment variable.
///
/// # Errors
///
/// Returns a message if neither is set.
pub fn path(flag: Option<PathBuf>) -> Result<PathBuf, Vec<String>> {
    flag.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            vec![format!(
                "no settings file: give --settings or set {SETTINGS_VARIABLE}"
            )]
        })
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns one line for each error, which says how to correct it.
pub fn read(path: &Path) -> Result<Settings, Vec<String>> {
    let text = fs::read_to_string(path)
        .map_err(|e| vec![format!("{}: {e}; is the path right?", path.display())])?;
    let file: SettingsFile =
        toml::from_str(&text).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    check(file)
}

fn check(file: SettingsFile) -> Result<Settings, Vec<String>> {
    let mut errors = Vec::new();
    for (key, value) in [("name", &file.name), ("data_centre", &file.data_centre)] {
        if value.is_empty() {
            errors.push(format!("{key}: must not be empty"));
        }
    }
    let callers = address("caller_address", &file.caller_address, &mut errors);
    let readiness = address("readiness_address", &file.readiness_address, &mut errors);
    let peers = address("peer_address", &file.peer_address, &mut errors);
    let seeds: Vec<SocketAddr> = file
        .seeds
        .iter()
        .filter_map(|seed| address("seeds", seed, &mut errors))
        .collect();
    if peers.is_some_and(|p| p.port() == 0) && !seeds.is_empty() {
        errors.push("peer_address: needs a port, which is also that of the seeds".to_owned());
    }
    let log = address("log_address", &file.log_address, &mut errors);
    let grace = seconds("grace_seconds", file.grace_seconds, &mut errors);
    seconds(
        "repeat_window_seconds",
        file.repeat_window_seconds,
        &mut errors,
    );
    let configuration = file
        .configuration_seconds
        .and_then(|time| seconds("configuration_seconds", time, &mut errors));
    let revocation = file
        .revocation_seconds
        .and_then(|time| seconds("revocation_seconds", time, &mut errors));
    for (key, value) in [
        ("repeat_ratio", file.repeat_ratio),
        ("repeat_slack", file.repeat_slack),
        ("probes_per_second", file.probes_per_second),
        ("exposure_ratio", file.exposure_ratio.unwrap_or_default()),
        ("exposure_slack", file.exposure_slack),
        ("quota_slack", file.quota_slack),
    ] {
        if !value.is_finite() || value < 0.0 {
            errors.push(format!("{key}: must be 0 or more, is {value}"));
        }
    }
    if file.open_files <= RESERVED_FILES * 2 {
        errors.push(format!("open_files: must be above {}", RESERVED_FILES * 2));
    }
    let regions = file.regions.iter().map(|(c, r)| (c.as_str(), r.as_str()));
    match (callers, readiness, peers, log, grace) {
        (Some(callers), Some(readiness), Some(peers), Some(log), Some(grace))
            if errors.is_empty() =>
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
                source: file.source_address,
                log,
                first_start: file.first_start,
                partitions: file.partitions,
                exposure: file.exposure_ratio.map(|fraction| ExposureBound {
                    fraction,
                    slack: file.exposure_slack,
                }),
                live: Live {
                    bounds: Bounds {
                        grace,
                        repeat_ratio: file.repeat_ratio,
                        repeat_slack: file.repeat_slack,
                        ask_rate: file.probes_per_second,
                        quota_slack: file.quota_slack,
                        configuration,
                        revocation,
                        fail_closed: file.fail_closed,
                    },
                    callers_limit: (file.open_files - RESERVED_FILES) / CALLERS_DIVISOR,
                },
            })
        }
        _ => Err(errors),
    }
}

fn address(key: &str, text: &str, errors: &mut Vec<String>) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            errors.push(format!(
                "{key}: must be an IP address and a port, is {text:?}"
            ));
            None
        }
    }
}

fn seconds(key: &str, value: f64, errors: &mut Vec<String>) -> Option<Duration> {
    match Duration::try_from_secs_f64(value) {
        Ok(time) if !time.is_zero() => Some(time),
        _ => {
            errors.push(format!("{key}: must be above 0, is {value}"));
            None
        }
    }
}
