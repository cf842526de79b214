//! The coordination layer: what entry hosts agree on.
//!
//! Members, configuration, slot leases and claims, each a state machine that
//! takes messages and the time and returns what to send. No socket, clock or
//! thread here: the transport layer runs these machines.

pub mod claims;
pub mod config;
pub mod feed;
pub mod fragments;
pub mod joins;
pub mod members;
pub mod neighbours;
pub mod outbox;
pub mod recent;
pub mod relay;
pub mod slots;
