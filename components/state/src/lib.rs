//! The state layer: pure data and the decisions under load.
//!
//! Nothing here may open a socket, read a clock, start a thread or draw a
//! random number by itself: time and randomness are passed in, so that every
//! decision runs in a test as it runs in production.

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
pub use keys::{DataCentreKey, EndpointKey, HostKey, RegionKey, ServiceKey};
pub use moment::Moment;
pub use preset::Preset;
