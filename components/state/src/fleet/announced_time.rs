//! How long the callers of a route usually wait for an answer, and the time that one has used.
//!
//! A retrying caller announces the rest of its time, which is less than first attempts on the
//! same route announce. Designed for an account far over its quota, where up to two thirds of
//! the requests are retries; prevents tokens from going to requests that are already late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::AccountKey;

/// The number of recent values from which the usual time is estimated.
const VALUES: usize = 64;

/// The number of values below which nothing is inferred.
const MIN_VALUES: usize = 4;

/// The rank of the usual time among recent values, as a fraction.
///
/// A quarter of the callers may announce more without effect, and two thirds of the requests
/// may be retries, which announce less.
const QUANTILE: f64 = 0.75;

/// The most accounts and routes for which times are kept, some 1 KB each.
const MAX_ENTRIES: usize = 4_096;

/// The times that recent requests of one account and route announced.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedTime {
    recent: Vec<Duration>,
    next: usize,
}

impl AnnouncedTime {
    /// Takes in the time that a request announced.
    pub fn note(&mut self, announced: Duration) {
        match self.recent.len() < VALUES {
            true => self.recent.push(announced),
            false => self.recent[self.next] = announced,
        }
        self.next = (self.next + 1) % VALUES;
    }

    /// Returns what first attempts usually announce, or `None` while too little is known.
    pub fn usual(&self) -> Option<Duration> {
        if self.recent.len() < MIN_VALUES {
            return None;
        }
        let mut sorted = self.recent.clone();
        let rank = ((sorted.len() - 1) as f64 * QUANTILE) as usize;
        let (_, usual, _) = sorted.select_nth_unstable(rank);
        Some(*usual)
    }

    /// Returns the time that a caller has presumably used since its first attempt.
    ///
    /// Wrong for a caller with a shorter time of its own: it must not decide whether a
    /// request may run.
    pub fn used(&self, announced: Duration) -> Duration {
        let usual = self.usual().unwrap_or_default();
        usual.saturating_sub(announced)
    }
}

/// The announced times of all routes, by account.
///
/// Kept by account, so that callers of one account that announce long times don't make the
/// requests of others seem late.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedTimes {
    times: BTreeMap<(AccountKey, String), AnnouncedTime>,
}

impl AnnouncedTimes {
    /// Takes in the time that a request announced; returns the time that its caller has
    /// presumably used since its first attempt.
    ///
    /// Nothing is inferred for entries beyond the limit on their number.
    pub fn note(&mut self, account: AccountKey, route: &str, announced: Duration) -> Duration {
        let is_full = self.times.len() >= MAX_ENTRIES;
        let key = (account, String::from(route));
        if is_full && !self.times.contains_key(&key) {
            return Duration::ZERO;
        }
        let times = self.times.entry(key).or_default();
        times.note(announced);
        times.used(announced)
    }

    /// Drops the accounts and routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(AccountKey, &str) -> bool) {
        self.times
            .retain(|(account, route), _| keep(*account, route));
    }

    /// Returns the number of accounts and routes for which times are kept.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns whether no times are kept.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
