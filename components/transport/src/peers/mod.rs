//! Links between entry hosts.
//!
//! Each pair of members has at most one TCP link, dialled on demand. Up to
//! [`FULL_MESH_LIMIT`] members, each host keeps a link to every other one, so that no
//! message waits for a dial. Above that, a link is kept while it is in use: to
//! watchers, owners and brokers.

mod counters;
mod handshake;
pub mod host_list;
mod links;
mod members;
mod outbox;
mod socket;
mod table;

pub use coordination::members::LiveView;
pub use handshake::{HandshakeError, fetch_config};
pub use links::{Identity, Links, MessageHandler};
pub use members::{Members, MembersOptions};

use std::time::Duration;

/// Number of members up to which every host keeps a link to every other one.
///
/// An idle link costs two TCP keep-alive probes every [`KEEPALIVE_IDLE`]: about
/// 0.7 KB/s for 33 links. With 300 links, these probes alone would take a
/// quarter of the whole traffic budget.
pub const FULL_MESH_LIMIT: usize = 34;

/// How long a link may be unused before it is closed, with more than [`FULL_MESH_LIMIT`] members.
pub const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Idle time after which the kernel sends TCP keep-alive probes on a link.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

/// How long the kernel waits for sent bytes to be acknowledged.
///
/// A device between two hosts can lose the state of a connection and then
/// silently drop all packets. Two seconds later the link is closed and a new
/// one is dialled.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to send its hello message.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of accepted connections whose handshake is not complete.
pub const MAX_PENDING_HANDSHAKES: usize = 64;
