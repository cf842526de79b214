//! The protocol layer: typed messages between entry hosts and on the log, and their codecs.
//!
//! Everything that arrives is distrusted: a message that is cut, too long, of
//! another version or of an unknown kind is an error and never a panic.

pub mod claim;
pub mod config_record;
pub mod crash_report;
pub mod heartbeat;
pub mod limit_report;
pub mod neighbour;
pub mod peer;
pub mod slots;

pub use peer::{PeerMessage, ProtocolError};
