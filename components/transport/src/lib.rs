//! The transport layer: all input and output of an entry host.
//!
//! Decisions don't live here. This layer reads the clock, draws random
//! numbers, moves bytes and runs the state machines of the layers below.

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
