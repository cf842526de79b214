//! The settings of an entry host on the platform.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Serialize;
use state::fleet::rollout::exposure::ExposureBound;
use state::topology::Topology;

/// The addresses that a running entry host listens on.
#[derive(Clone, Debug, Serialize)]
pub struct Ports {
    /// The TCP address for callers.
    pub callers: SocketAddr,
    /// The TCP address for the readiness checks of the platform's balancer.
    pub readiness: SocketAddr,
    /// The address for datagrams and forwarded requests from other hosts, UDP and TCP.
    pub peers: SocketAddr,
}

/// Validated settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unique among all entry hosts.
    pub name: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// The locations of all data centres.
    pub topology: Topology,
    /// The TCP address for callers. Port 0 stands for any free port, here and below.
    pub callers: SocketAddr,
    /// The TCP address for the readiness checks of the platform's balancer.
    pub readiness: SocketAddr,
    /// The address for datagrams and forwarded requests from other hosts, UDP and TCP.
    pub peers: SocketAddr,
    /// The UDP addresses of a few hosts, each of which may be down.
    pub seeds: Vec<SocketAddr>,
    /// The local address from which connections to endpoints are opened; `None` leaves it to
    /// the system.
    pub source: Option<IpAddr>,
    /// The TCP address of the platform's store.
    pub log: SocketAddr,
    /// Whether the whole site starts for the first time, so that there are no callers yet.
    pub first_start: bool,
    /// The number of partitions of each topic of the store.
    pub partitions: usize,
    /// The bound on requests to a bad version; without one there are no roll-outs.
    pub exposure: Option<ExposureBound>,
    /// The settings that may change while the host runs.
    pub live: Live,
}

/// The settings that a running host reloads from a changed settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Live {
    /// The limits that are promised to operators.
    pub bounds: Bounds,
    /// Maximum number of open connections from callers.
    pub callers_limit: usize,
}

/// The limits that are promised to operators, with the values that the platform sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long the process may take to end after the signal to stop.
    pub grace: Duration,
    /// The number of retries allowed per request, as a ratio.
    pub repeat_ratio: f64,
    /// Additional retries allowed to all hosts together within each window.
    pub repeat_slack: f64,
    /// Maximum number of probes per second to one endpoint from all hosts together.
    pub ask_rate: f64,
    /// Requests by which all hosts together may exceed an account's quota in a window.
    pub quota_slack: f64,
    /// How soon a changed configuration must be in force.
    pub configuration: Option<Duration>,
    /// How soon a revoked API key must run nothing more.
    pub revocation: Option<Duration>,
    /// Whether a host that hears nothing for that time serves no API key.
    pub fail_closed: bool,
}
