//! Claims: which call has an idempotency key.
//!
//! The first claim of a key in the offset order of a `claims` stream has it.
//! [`ClaimTable`] folds a stream, the same at every host; [`Home`] gathers the
//! claims of many callers into few appends and keeps answers for repeats.

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

/// How many `claims` streams there are.
///
/// A stream takes some thirty appends a second within the budget, and its home
/// bears about 1,000 claims in each: more streams spread homes and memory.
pub const STREAMS: u64 = 8;

/// Names one claim: drawn by the entry host for one call.
#[key]
pub struct ClaimId(pub u128);

/// Names what is claimed: a hash of the service and the caller's key.
#[key]
pub struct ClaimKey(pub u128);

/// Asks for a key.
#[value]
pub struct KeyRequest {
    /// The claim's id.
    pub id: ClaimId,
    /// What is claimed.
    pub key: ClaimKey,
    /// A hash of the request: the same key with another is refused.
    pub digest: u128,
    /// How long the key is remembered.
    pub ttl: Duration,
}

/// What became of an ask.
#[value]
pub enum Answer {
    /// The key is this claim's: send the call once.
    Granted,
    /// The first call with this key has this answer.
    Known(CachedAnswer),
    /// The first call with this key is running; another answer follows when it ends.
    ///
    /// Should none come in time, the caller may not be told "not run".
    InProgress,
    /// The first call with this key was started; its outcome is not known here.
    Started,
    /// The key was used for another request.
    Mismatch,
    /// Not agreed. To be tried again after this time.
    NotRun(Duration),
}

/// An answer kept for repeats of its key.
#[value]
pub struct CachedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end header fields.
    pub fields: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// How a claimed call ended.
#[value]
pub enum Ending {
    /// It was answered whole.
    Answered(CachedAnswer),
    /// It was answered whole, but the answer is too large to keep.
    AnsweredLarge,
    /// It was sent and surely did not run: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
    /// It was never sent and never will be: its caller has been told "not run".
    GivenUp,
}

/// A message about claims between an entry host and a key's home.
#[value]
pub enum ClaimMessage {
    /// The entry host asks for a key, and waits this long for the answer.
    Request(KeyRequest, Duration),
    /// The home has the ask and works on it.
    RequestAck(ClaimId),
    /// The home's answer.
    Answer(ClaimId, Answer),
    /// The entry host says how the call ended.
    End(ClaimId, ClaimKey, Ending),
    /// The home has taken note of the ending.
    EndAck(ClaimId),
}

/// How much longer than its call a key is remembered at the least.
const KEY_TTL_MARGIN: Duration = Duration::from_secs(60);

/// Returns how long a key is remembered: `ttl`, but longer than its call may take.
///
/// Were it forgotten while its call can still be sent, a repeat would claim it
/// anew, and both would run. `left` is the time to the call's deadline.
pub fn key_ttl(ttl: Duration, left: Duration) -> Duration {
    ttl.max(left + KEY_TTL_MARGIN)
}

/// Decides whether a `Granted` that is taken up at `now` still lets the call be sent.
///
/// An entry host that was paused finds the answer waiting when it resumes, long
/// after it was given. By then the key's time may be over and another call may
/// have run under it; after the deadline nobody waits for this one anyway.
pub fn may_start(now: Moment, deadline: Moment) -> bool {
    now < deadline
}

impl ClaimKey {
    /// Returns the number of the stream the key is claimed on.
    pub fn stream(self) -> u64 {
        (self.0 >> 64) as u64 % STREAMS
    }
}

impl CachedAnswer {
    /// Returns it in memory of its own.
    ///
    /// Its parts are slices of the buffers they came in, which are far larger.
    /// Kept for minutes, they would hold several times the memory that
    /// [`CachedAnswer::size`] counts, and a node would outgrow its budget.
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

    /// Returns about how many bytes it takes.
    pub fn size(&self) -> usize {
        let fields = self.fields.iter().map(|(n, v)| n.len() + v.len() + 64);
        self.body.len() + fields.sum::<usize>() + 128
    }
}
