//! What an entry host is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use derives::value;
use state::policy::Policy;

/// An entry host's settings, already checked.
#[value]
pub struct Settings {
    /// Its name, unlike every other entry host's.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where its peers reach it.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where the platform's log listens.
    pub log: SocketAddr,
    /// How calls are placed.
    pub policy: Policy,
    /// How long calls in flight may take to end on shutdown.
    pub drain: Duration,
    /// One call in this many is traced, none where 0.
    pub trace_every: u64,
}
