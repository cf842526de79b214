//! What a host knows of the endpoints: who they are, how they do, where to send.
//!
//! Endpoints share machines with others. At any moment a quarter to a third of
//! them take four times as long, drawn anew every few hundred milliseconds, so
//! nothing known of an endpoint stays true for long: see [`load_sample`].

pub mod endpoint;
pub mod fingerprint;
pub mod load_sample;
pub mod outcome;
pub mod placement;
pub mod probe_budget;
pub mod quarantine;
pub mod rate_limit;
pub mod reachability;
pub mod registry;
pub mod retry_after;
pub mod retry_budget;
pub mod service_time;
pub mod token_buckets;
pub mod wait_queue;

pub use endpoint::{Endpoint, EndpointState};
pub use fingerprint::{Fingerprint, Fingerprints};
pub use load_sample::LoadSample;
pub use placement::{Placement, Step};
pub use probe_budget::HostProbeBudget;
pub use quarantine::Quarantine;
pub use rate_limit::RateLimit;
pub use registry::{Entry, Registry};
pub use retry_budget::WindowedRetryBudget;
pub use token_buckets::TokenBuckets;
pub use wait_queue::{Ticket, WaitQueue};
