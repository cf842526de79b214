//! Endpoints as known to one host: registrations, health and placement.
//!
//! Endpoints share machines with other work. At any moment a quarter to a third of them
//! are four times as slow, and which ones are changes every few hundred milliseconds, so
//! knowledge about an endpoint is outdated quickly: see [`load_sample`].

pub mod announced_time;
pub mod answer_history;
pub mod centre_loss;
pub mod endpoint;
mod endpoint_index;
pub mod fair_queue;
pub mod fingerprint;
pub mod hints;
pub mod isolation;
pub mod load_sample;
pub mod observation;
pub mod observation_outbox;
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
mod scan_budget;
pub mod service_time;
pub mod subset;
mod subset_placement;
pub mod subset_size;
pub mod token_buckets;
pub mod wait_queue;

pub use announced_time::{AnnouncedTime, AnnouncedTimes};
pub use answer_history::{AnswerHistory, AnswerKind};
pub use endpoint::{Endpoint, EndpointState};
pub use fair_queue::{FairQueue, FairTicket};
pub use fingerprint::{Fingerprint, Fingerprints};
pub use hints::Hints;
pub use load_sample::LoadSample;
pub use observation::{Observation, ObservationKind};
pub use observation_outbox::ObservationOutbox;
pub use placement::{Placement, Step};
pub use probe_budget::HostProbeBudget;
pub use quarantine::Quarantine;
pub use quota_bucket::QuotaBucket;
pub use rate_limit::RateLimit;
pub use registry::{Entry, Registry};
pub use retry_budget::HostRetryBudget;
pub use subset::Subset;
pub use subset_size::SubsetSize;
pub use token_buckets::TokenBuckets;
pub use wait_queue::{Ticket, WaitQueue};
