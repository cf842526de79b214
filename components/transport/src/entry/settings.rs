//! The settings of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use derives::value;
use state::policy::Policy;

/// The settings of an entry host, already checked.
#[value]
pub struct Settings {
    /// The host's name, unique among all entry hosts.
    pub name: String,
    /// The name of the data centre that the host runs in.
    pub data_centre: String,
    /// The address to listen on for callers.
    pub callers: SocketAddr,
    /// The address to listen on for other entry hosts.
    pub peers: SocketAddr,
    /// The address to listen on for operators.
    pub admin: SocketAddr,
    /// The address of the platform's store.
    pub log: SocketAddr,
    /// How endpoints are chosen for calls.
    pub policy: Policy,
    /// How long calls in flight may take to end on shutdown.
    pub drain: Duration,
    /// One call in this many is traced, none if 0.
    pub trace_every: u64,
}
