//! Network input and output of an entry host.
//!
//! The crates `state` and `coordination` make the decisions. This crate reads
//! the clock, draws random numbers, transfers bytes and drives their state
//! machines.

pub mod admin;
pub mod claims;
pub mod clock;
pub mod dispatch;
pub mod edge;
pub mod entry;
pub mod gateway;
pub mod log;
pub mod peers;
pub mod store;
pub mod trace;
pub mod upstream;
