//! The protocol layer: typed messages between entry hosts and on the log, and their codecs.
//!
//! Everything that arrives is distrusted: a message that is cut, too long, of
//! another version or of an unknown kind is an error and never a panic.

pub mod claim;
pub mod crashes;
pub mod heartbeat;
pub mod limits;
pub mod news;
pub mod peer;
pub mod record;
pub mod slots;

pub use peer::{PeerMessage, ProtocolError};
