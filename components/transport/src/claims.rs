//! Claims of idempotency keys, as the call path sees them.

use std::time::Duration;

use bytes::Bytes;
use derives::value;
use state::ServiceKey;

/// A non-idempotent call with a key, before it may be sent.
#[value]
pub struct ClaimRequest {
    /// The service called.
    pub service: ServiceKey,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// The SHA-256 of method, path, query and body.
    pub digest: [u8; 32],
}

/// What the claim of a key came to.
#[value]
pub enum Verdict {
    /// The key is this call's: send it once.
    Go(ClaimTicket),
    /// The first call with this key is answered: this is its kept answer.
    Known(KeptAnswer),
    /// The first call with this key was started and its outcome is not known here.
    Started,
    /// The key was used for another request.
    Mismatch,
    /// The claim could not be agreed: nothing ran. To be tried again after this time.
    NotRun(Duration),
}

/// Names the claim a call runs under.
#[value]
pub struct ClaimTicket {
    /// The claim's own id, drawn by the entry host.
    pub id: u128,
}

/// An answer kept for repeats of its key.
#[value]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end header fields.
    pub fields: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// How a claimed call ended, told to the claim's home.
#[value]
pub enum ClaimEnding {
    /// It was answered whole.
    Answered(KeptAnswer),
    /// It was answered whole, but the answer is too large to keep.
    AnsweredLarge,
    /// It surely did not run: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}
