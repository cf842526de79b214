//! A cache of answers for repeated calls with the same key.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use state::Moment;

use super::{CachedAnswer, ClaimId, ClaimKey};

/// The maximum size of a cached answer in bytes: a body of 64 KiB with its header fields.
pub const CACHED_ANSWER_LIMIT: usize = 80 * 1_024;

/// The maximum size of all cached answers of one stream, in bytes.
pub const ANSWER_CACHE_LIMIT: usize = 4 * 1_024 * 1_024;

/// How long an answer is cached. A later repeat is answered that the call was started.
pub const CACHED_ANSWER_TTL: Duration = Duration::from_secs(600);

/// Cached answers of one stream; the oldest are dropped first.
#[derive(Default)]
pub struct AnswerCache {
    answers: BTreeMap<ClaimKey, (ClaimId, CachedAnswer)>,
    order: VecDeque<(Moment, ClaimKey, ClaimId)>,
    bytes: usize,
}

impl AnswerCache {
    /// Caches an answer, unless it is too large or the key has one already.
    pub fn insert(&mut self, key: ClaimKey, id: ClaimId, answer: &CachedAnswer, now: Moment) {
        if answer.size() > CACHED_ANSWER_LIMIT || self.answers.contains_key(&key) {
            return;
        }
        self.bytes += answer.size();
        self.answers.insert(key, (id, answer.detached()));
        self.order.push_back((now, key, id));
        while self.bytes > ANSWER_CACHE_LIMIT {
            self.drop_first();
        }
    }

    /// Returns the answer to the call that ran under claim `id`.
    pub fn get(&self, key: ClaimKey, id: ClaimId) -> Option<&CachedAnswer> {
        let (cached, answer) = self.answers.get(&key)?;
        (*cached == id).then_some(answer)
    }

    /// Drops expired answers.
    pub fn expire(&mut self, now: Moment) {
        while let Some((at, ..)) = self.order.front() {
            if now.since(*at) < CACHED_ANSWER_TTL {
                break;
            }
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((_, key, _)) = self.order.pop_front() else {
            return;
        };
        if let Some((_, answer)) = self.answers.remove(&key) {
            self.bytes -= answer.size();
        }
    }
}
