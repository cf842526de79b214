//! Claims of idempotency keys: which call may run under a key.
//!
//! The first claim of a key in the offset order of a `claims` stream holds the
//! key. [`ClaimTable`] is the state folded from a stream and the same at every host.
//! [`Home`] batches the claims of many callers into few appends and caches
//! answers for repeats.

mod answer_cache;
mod budget;
mod home;
mod record;
mod table;

use std::time::Duration;

use bytes::Bytes;
use derives::{key, value};
use state::Moment;

pub use answer_cache::{ANSWER_CACHE_LIMIT, CACHED_ANSWER_LIMIT, CACHED_ANSWER_TTL};
pub use budget::AppendBudget;
pub use home::{CARRY_AFTER, Home, Reply};
pub use record::{Batch, Entry, Outcome};
pub use table::{ClaimTable, KEY_LIMIT, KeyHolder, RELEASED_CLAIM_TTL};

/// The number of `claims` streams.
///
/// A stream gets about 30 appends a second within the budget, and its home can
/// put 1,000 claims into each. More streams spread homes and memory further.
pub const STREAMS: u64 = 8;

/// Names one claim, with a random number that the entry host draws for one call.
#[key]
pub struct ClaimId(pub u128);

/// Names a claimed key, by a hash of the service and the caller's key.
#[key]
pub struct ClaimKey(pub u128);

/// A request to claim a key for a call.
#[value]
pub struct KeyRequest {
    /// The id of the claim.
    pub id: ClaimId,
    /// The key to claim.
    pub key: ClaimKey,
    /// A hash of the call's request. The same key with another request is refused.
    pub digest: u128,
    /// How long the key is held.
    pub ttl: Duration,
}

/// The answer to a key request.
#[value]
pub enum Answer {
    /// The claim holds the key: the call may be sent once.
    Granted,
    /// The first call with this key has ended with this answer.
    Known(CachedAnswer),
    /// The first call with this key is running. Another answer follows when it ends.
    ///
    /// If none arrives in time, the caller must not be answered "not run".
    InProgress,
    /// The first call with this key was started, and its outcome is not known here.
    Started,
    /// The key was used for another request.
    Mismatch,
    /// The key was not claimed. Contains the time to wait before a retry.
    NotRun(Duration),
}

/// A cached answer for repeats of a key.
#[value]
pub struct CachedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end header fields.
    pub fields: Vec<(String, Bytes)>,
    /// The complete body.
    pub body: Bytes,
}

/// How a claimed call ended.
#[value]
pub enum Ending {
    /// The call was answered completely.
    Answered(CachedAnswer),
    /// The call was answered completely, but the answer is too large to cache.
    AnsweredLarge,
    /// The call was sent and certainly did not run, so the key is free again.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The call was never sent and never will be: its caller was answered "not run".
    GivenUp,
}

/// A message about claims between an entry host and a key's home.
#[value]
pub enum ClaimMessage {
    /// Entry host to home: requests a key, and waits this long for the answer.
    Request(KeyRequest, Duration),
    /// Home to entry host: acknowledges the request, before the answer.
    RequestAck(ClaimId),
    /// Home to entry host: answers the request.
    Answer(ClaimId, Answer),
    /// Entry host to home: reports how the call ended.
    End(ClaimId, ClaimKey, Ending),
    /// Home to entry host: acknowledges the ending.
    EndAck(ClaimId),
}

/// The minimum time for which a key is held after its call's deadline.
const KEY_TTL_MARGIN: Duration = Duration::from_secs(60);

/// Returns how long a key is held: at least `ttl`, and longer than its call may take.
///
/// If the key expired while its call can still be sent, a repeat would claim the
/// key again and both would run. `left` is the time to the call's deadline.
pub fn key_ttl(ttl: Duration, left: Duration) -> Duration {
    ttl.max(left + KEY_TTL_MARGIN)
}

/// Returns whether a granted claim that is processed at `now` may still start its call.
///
/// An entry host that was paused processes the answer when it resumes, long
/// after the home sent it. By then the key may have expired and another call may
/// have run under it. After the deadline no caller waits for the answer anyway.
pub fn may_start(now: Moment, deadline: Moment) -> bool {
    now < deadline
}

impl ClaimKey {
    /// Returns the number of the stream on which the key is claimed.
    pub fn stream(self) -> u64 {
        (self.0 >> 64) as u64 % STREAMS
    }
}

impl CachedAnswer {
    /// Returns a copy that owns its memory.
    ///
    /// The parts of an answer are slices of much larger receive buffers. Cached for
    /// minutes, they would hold several times the memory that [`CachedAnswer::size`]
    /// counts, and the process would exceed its memory budget.
    pub fn detached(&self) -> CachedAnswer {
        let copy = |(name, value): &(String, Bytes)| {
            let value = Bytes::copy_from_slice(value);
            (name.as_str().to_owned(), value)
        };
        CachedAnswer {
            status: self.status,
            fields: self.fields.iter().map(copy).collect(),
            body: Bytes::copy_from_slice(&self.body),
        }
    }

    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        let fields = self.fields.iter().map(|(n, v)| n.len() + v.len() + 64);
        self.body.len() + fields.sum::<usize>() + 128
    }
}
