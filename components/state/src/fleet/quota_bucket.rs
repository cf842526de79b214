//! A token bucket for the requests of one client account.

use std::time::Duration;

use crate::Moment;
use crate::accounts::QuotaLimit;

/// The longest time that is reported until a bucket has a token.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A token bucket: filled at a rate, up to the burst that may come at once.
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    limit: QuotaLimit,
    level: f64,
    filled_at: Moment,
}

impl QuotaBucket {
    /// Returns a bucket with this many tokens at first.
    pub fn new(limit: QuotaLimit, level: f64, now: Moment) -> QuotaBucket {
        QuotaBucket {
            limit,
            level: level.min(limit.burst),
            filled_at: now,
        }
    }

    /// Sets a new limit; tokens beyond the new burst are lost.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Moment) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    fn fill(&mut self, now: Moment) {
        let earned = self.limit.rate * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + earned).min(self.limit.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Removes all tokens.
    pub fn drain(&mut self, now: Moment) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&mut self, now: Moment) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `needed` tokens, and as many of `wanted` as leave half of the burst in place.
    ///
    /// Tokens that one host takes in advance are lost to all others, so none are given in
    /// advance once the bucket runs low.
    pub fn take(&mut self, needed: u32, wanted: u32, now: Moment) -> u32 {
        self.fill(now);
        let spare = self.level - self.limit.burst / 2.0;
        let ahead = (spare.max(0.0) as u32).min(wanted);
        let taken = needed.max(ahead).min(self.level.max(0.0) as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Returns the time until the bucket has a token and those before it are taken by
    /// `ahead` others.
    pub fn wait(&self, ahead: f64) -> Duration {
        let missing = (1.0 - self.level).max(0.0) + ahead;
        Duration::try_from_secs_f64(missing / self.limit.rate).map_or(MAX_WAIT, |t| t.min(MAX_WAIT))
    }
}
