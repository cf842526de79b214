//! The state layer: pure data and the decisions under load.
//!
//! Code in this crate opens no sockets, reads no clocks, starts no threads and draws no
//! random numbers. Time and randomness are passed in, so that a decision runs in a test
//! exactly as it does in production.

pub mod accounts;
pub mod admission;
pub mod capacity;
pub mod config;
pub mod fleet;
pub mod keys;
pub mod latency;
pub mod moment;
pub mod policy;
pub mod preset;
pub mod probe;
pub mod queue;
pub mod retry;
pub mod routing;
pub mod stall;
pub mod topology;

pub use config::Config;
pub use keys::{
    AccountKey, DataCentreKey, EndpointKey, FlowKey, HostKey, RegionKey, ServiceKey, VersionKey,
};
pub use moment::Moment;
pub use preset::Preset;
