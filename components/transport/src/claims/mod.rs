//! Claims of idempotency keys: the interface for calls, and the homes that this host runs.
//!
//! The keys are divided among several streams on the store. Each stream has a
//! home: the entry host that appends the claims of its keys. A claim is sent to
//! the home of its key's stream, which is another entry host as a rule. If
//! the home can't be reached, this host acts as home itself. Two homes of one
//! stream do no harm, since the order of the stream's records decides which
//! claim has the key.

mod client;
mod local_homes;
mod worker;

use std::time::Duration;

use coordination::claims::{ClaimId, ClaimKey};
use derives::{tag, value};
use state::{Moment, ServiceKey};

pub use client::{Claims, ClaimsOptions, claim_key};
pub use coordination::claims::{CACHED_ANSWER_LIMIT, CachedAnswer, Ending as ClaimEnding};
pub use local_homes::home_of;
pub use worker::WorkerOptions;

/// The claim of a key for a non-idempotent call, which must be granted before the call is sent.
#[value]
pub struct ClaimRequest {
    /// The service that is called.
    pub service: ServiceKey,
    /// The value of the caller's `Idempotency-Key` header.
    pub key: String,
    /// The SHA-256 of method, path, query and body.
    pub digest: [u8; 32],
    /// How long the key and its answer are kept: the service's `key-seconds`.
    pub ttl: Duration,
    /// The call's deadline, after which a verdict is of no use.
    pub deadline: Moment,
}

/// The result of a claim.
#[value]
pub enum Verdict {
    /// The key is granted to this call, which is to be sent once.
    Granted(ClaimTicket),
    /// The first call with this key has been answered; holds its cached answer.
    Known(CachedAnswer),
    /// The first call with this key was started, and its outcome is unknown.
    Started,
    /// The key was already used for a different request.
    Mismatch,
    /// The claim could not be decided, and no call ran. May be retried after this time.
    NotRun(Duration),
}

/// The granted claim under which a call runs.
#[tag]
pub struct ClaimTicket {
    /// The claim's random id, drawn by the entry host that received the call.
    pub id: ClaimId,
    /// The claimed key.
    pub key: ClaimKey,
}
