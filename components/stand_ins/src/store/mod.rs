//! A stand-in for the platform's append-only log, with the ways it fails.

mod groups;
mod server;
mod topics;

pub use server::StoreStandIn;
pub use topics::{Behaviour, Counts, Loss, Outage};
