//! Claims of idempotency keys: the call path's view, and the homes that this host runs.
//!
//! A claim goes to the home of its key's stream, another entry host as a rule.
//! Where that can't be reached this host acts as home itself: the stream
//! decides, so two homes do no harm.

mod entry;
mod steward;
mod worker;

use std::time::Duration;

use coordination::claims::{ClaimId, ClaimKey};
use derives::{tag, value};
use state::{Moment, ServiceKey};

pub use coordination::claims::{CACHED_ANSWER_LIMIT, CachedAnswer, Ending as ClaimEnding};
pub use entry::{Claims, ClaimsOptions, claim_key};
pub use steward::home_of;
pub use worker::WorkerOptions;

/// A non-idempotent call with a key, before it may be sent.
#[value]
pub struct ClaimRequest {
    /// The service called.
    pub service: ServiceKey,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// The SHA-256 of method, path, query and body.
    pub digest: [u8; 32],
    /// How long the key is remembered: the service's `key-seconds`.
    pub ttl: Duration,
    /// When a verdict is of no more use to the call.
    pub deadline: Moment,
}

/// What the claim of a key came to.
#[value]
pub enum Verdict {
    /// The key is this call's: send it once.
    Granted(ClaimTicket),
    /// The first call with this key is answered: this is its kept answer.
    Known(CachedAnswer),
    /// The first call with this key was started and its outcome is not known here.
    Started,
    /// The key was used for another request.
    Mismatch,
    /// The claim could not be agreed: nothing ran. To be tried again after this time.
    NotRun(Duration),
}

/// Names the claim a call runs under.
#[tag]
pub struct ClaimTicket {
    /// The claim's own id, drawn by the entry host.
    pub id: ClaimId,
    /// What is claimed.
    pub key: ClaimKey,
}
