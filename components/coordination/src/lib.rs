//! The coordination layer: what entry hosts agree on.
//!
//! Members, configuration, slot leases and claims, each a state machine that
//! takes messages and the time and returns what to send. No socket, clock or
//! thread here: the transport layer runs these machines.

pub mod claims;
pub mod config;
pub mod fragment_queue;
pub mod fragments;
pub mod group_joins;
pub mod members;
pub mod neighbours;
pub mod read_schedule;
pub mod recent_records;
pub mod relay;
pub mod slots;
