//! What a host knows of the endpoints: who they are, how they do, where to send.
//!
//! Endpoints share machines with others. At any moment a quarter to a third of
//! them take four times as long, drawn anew every few hundred milliseconds, so
//! nothing known of an endpoint stays true for long: see [`look`].

pub mod asks;
pub mod comeback;
pub mod endpoint;
pub mod fingerprint;
pub mod line;
pub mod look;
pub mod outcome;
pub mod placing;
pub mod quarantine;
pub mod rate_limit;
pub mod reach;
pub mod registry;
pub mod repeats;
pub mod tempo;
pub mod token_buckets;

pub use asks::AskBudget;
pub use endpoint::{Endpoint, EndpointState};
pub use fingerprint::{Fingerprint, Fingerprints};
pub use line::{Line, Ticket};
pub use look::Look;
pub use placing::{Placing, Step};
pub use quarantine::Quarantine;
pub use rate_limit::RateLimit;
pub use registry::{Entry, Registry};
pub use repeats::RepeatBudget;
pub use token_buckets::TokenBuckets;
