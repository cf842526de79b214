//! The coordination layer: state on which entry hosts agree.
//!
//! Covers members, configuration, slot leases and claims. Each is a state machine that
//! takes messages and the current time and returns what to send. The layer has no
//! sockets, clocks or threads: the transport layer runs the state machines.

pub mod claims;
pub mod config;
pub mod datagram_queue;
pub mod fragment_queue;
pub mod fragments;
pub mod group_joins;
pub mod helpers;
pub mod members;
pub mod missing_records;
pub mod neighbours;
pub mod quota;
pub mod read_schedule;
pub mod recent_records;
pub mod relay;
pub mod rollouts;
pub mod shares;
pub mod slots;
pub mod superseded;
