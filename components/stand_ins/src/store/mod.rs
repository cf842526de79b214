//! A stand-in for the platform's store of append-only topics, and the faults of that store.

mod groups;
mod server;
mod topics;

pub use server::StoreStandIn;
pub use topics::{Behaviour, Counts, Loss, Outage};
