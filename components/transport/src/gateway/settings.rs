//! What an entry host on the platform has to be told.

use std::net::SocketAddr;
use std::time::Duration;

use state::topology::Topology;

/// Checked settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unlike every other entry host's.
    pub name: String,
    /// The data centre the host stands in.
    pub data_centre: String,
    /// Where the data centres lie.
    pub topology: Topology,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the platform's balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where the other hosts of its data centre reach it, by datagrams.
    pub peers: SocketAddr,
    /// Where a few hosts may be reached by datagrams; any may be down.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's log listens.
    pub log: SocketAddr,
    /// Whether the whole site starts for the first time, so that no caller comes yet.
    pub first_start: bool,
    /// Partitions of each topic of the log.
    pub partitions: usize,
    /// What may change while the host runs.
    pub live: Live,
}

/// What a running host takes over from a changed settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Live {
    /// What is promised to operators.
    pub bounds: Bounds,
    /// Callers' connections held at once.
    pub callers_limit: usize,
}

/// What is promised to operators, as the platform sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long a process may take to end after it was told to.
    pub grace: Duration,
    /// Repeats granted for each request.
    pub repeat_ratio: f64,
    /// Repeats granted to all hosts together besides, in each window.
    pub repeat_slack: f64,
    /// The window in which repeats are counted.
    pub repeat_window: Duration,
    /// Questions a second that one endpoint may get from all hosts together.
    pub ask_rate: f64,
}
