//! What stands on a `claims` stream.

use derives::{tag, value};

use super::{ClaimId, ClaimKey};

/// One record: what a home appends at once.
#[value]
pub struct Batch {
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// One entry of a record.
#[value]
pub enum Entry {
    /// Claims a key. The first has it.
    Claim {
        /// The claim.
        id: ClaimId,
        /// What is claimed.
        key: ClaimKey,
        /// The request's digest.
        digest: u128,
        /// How long the key is remembered, in milliseconds.
        ttl_ms: u64,
    },
    /// Says how the call under a claim ended.
    Ended {
        /// The claim.
        id: ClaimId,
        /// What was claimed.
        key: ClaimKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// Repeats a key's holder before its record falls off the log.
    Carried {
        /// The claim that has the key.
        id: ClaimId,
        /// What is claimed.
        key: ClaimKey,
        /// The request's digest.
        digest: u128,
        /// How long the key is remembered, in milliseconds.
        ttl_ms: u64,
        /// How long ago it was claimed at the least, in milliseconds.
        age: u64,
    },
    /// Frees a key that has been remembered for its time.
    ///
    /// Forgetting stands on the stream as claiming does. Were it left to each
    /// host's clock, two hosts could give the key away at two places.
    Expired {
        /// The claim that had the key.
        id: ClaimId,
        /// What was claimed.
        key: ClaimKey,
    },
}

/// How the call under a claim ended.
#[tag]
pub enum Outcome {
    /// It was answered whole.
    Done,
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}
