//! The protocol layer: typed messages between entry hosts, records of the log, and their codecs.
//!
//! Received bytes are untrusted: a truncated, oversized or unknown message, or
//! one of another version, decodes to an error and never causes a panic.

pub mod answer_head;
pub mod claim;
pub mod config_record;
pub mod crash_report;
pub mod envelope;
pub mod forwarded_request;
pub mod limit_report;
pub mod member;
pub mod neighbour;
pub mod observation_report;
pub mod peer;
pub mod quota_message;
pub mod record_runs;
pub mod request_splitter;
pub mod rollout_message;
pub mod share_message;
pub mod slots;

pub use peer::{PeerMessage, ProtocolError};
