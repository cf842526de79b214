//! The records of a `claims` stream.

use derives::{tag, value};

use super::{ClaimId, ClaimKey};

/// One record: the entries that a home appends together.
#[value]
pub struct Batch {
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// One entry of a record.
#[value]
pub enum Entry {
    /// Claims a key. The first claim of a key holds it.
    Claim {
        /// The id of the claim.
        id: ClaimId,
        /// The claimed key.
        key: ClaimKey,
        /// The digest of the request.
        digest: u128,
        /// How long the key is held, in milliseconds.
        ttl_ms: u64,
    },
    /// Records how the call under a claim ended.
    Ended {
        /// The id of the claim.
        id: ClaimId,
        /// The claimed key.
        key: ClaimKey,
        /// How the call ended.
        outcome: Outcome,
    },
    /// Repeats a key's holder before the earlier record is trimmed.
    Carried {
        /// The claim that holds the key.
        id: ClaimId,
        /// The claimed key.
        key: ClaimKey,
        /// The digest of the request.
        digest: u128,
        /// How long the key is held, in milliseconds.
        ttl_ms: u64,
        /// The minimum time since the key was claimed, in milliseconds.
        age: u64,
    },
    /// Frees a key whose TTL is over.
    ///
    /// Expiry is recorded on the stream like claims are. If it depended on each host's
    /// clock, two hosts could grant the same key to two calls.
    Expired {
        /// The claim that held the key.
        id: ClaimId,
        /// The claimed key.
        key: ClaimKey,
    },
}

/// How the call under a claim ended.
#[tag]
pub enum Outcome {
    /// The call was answered completely.
    Done,
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}
