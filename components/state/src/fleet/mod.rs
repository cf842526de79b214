//! Endpoints as known to one host: registrations, health and placement.
//!
//! Endpoints share machines with other work. At any moment a quarter to a third of them
//! are four times as slow, and which ones are changes every few hundred milliseconds, so
//! knowledge about an endpoint is outdated quickly: see [`load_sample`].

pub mod announced_time;
pub mod endpoint;
pub mod fingerprint;
pub mod isolation;
pub mod load_sample;
pub mod outcome;
pub mod placement;
pub mod probe_budget;
pub mod quarantine;
pub mod quota_bucket;
pub mod rate_limit;
pub mod reachability;
pub mod registry;
pub mod retry_after;
pub mod retry_budget;
pub mod rollout;
pub mod service_time;
pub mod token_buckets;
pub mod wait_queue;

pub use announced_time::{AnnouncedTime, AnnouncedTimes};
pub use endpoint::{Endpoint, EndpointState};
pub use fingerprint::{Fingerprint, Fingerprints};
pub use load_sample::LoadSample;
pub use placement::{Placement, Step};
pub use probe_budget::HostProbeBudget;
pub use quarantine::Quarantine;
pub use quota_bucket::QuotaBucket;
pub use rate_limit::RateLimit;
pub use registry::{Entry, Registry};
pub use retry_budget::WindowedRetryBudget;
pub use token_buckets::TokenBuckets;
pub use wait_queue::{Ticket, WaitQueue};
