//! A stand-in for the platform's append-only log, with the ways it fails.

mod groups;
mod server;
mod store;

pub use server::LogStandIn;
pub use store::{Behaviour, Counts, Loss, Outage};
