//! Links between entry hosts.
//!
//! One TCP link a pair of members, made on demand. Up to [`FULL_MESH_LIMIT`] members
//! each host keeps a link to each, so that no message waits for a dial; above
//! that a link lives while it is used: to watchers, owners and brokers.

mod counters;
mod handshake;
pub mod host_list;
mod links;
mod members;
mod outbox;
mod socket;
mod table;

pub use coordination::members::LiveView;
pub use handshake::{MeetError, fetch_config};
pub use links::{Identity, Links, MessageHandler};
pub use members::{Members, MembersOptions};

use std::time::Duration;

/// Members up to which a host keeps a link to each of them.
///
/// An idle link costs two TCP keep-alive probes each [`KEEPALIVE_IDLE`]: at 33
/// links about 0.7 KB/s. At 300 it would be a quarter of the whole budget.
pub const FULL_MESH_LIMIT: usize = 34;

/// How long a link may be unused before it is closed, above [`FULL_MESH_LIMIT`] members.
pub const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// How long an idle link is trusted before the kernel probes it.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

/// How long the kernel waits for sent bytes to be acknowledged.
///
/// Something between two hosts can lose track of a link, which then swallows
/// all that is sent. Two seconds later the link ends and a new one is dialled.
pub const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to say who it is.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepted connections at once that have not yet said who they are.
pub const STRANGERS: usize = 64;
