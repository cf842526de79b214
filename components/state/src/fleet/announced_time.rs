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

/// The rank of the usual time among recent values of all accounts on a route.
///
/// Used for accounts with few requests. Half of the requests may belong to accounts with
/// longer times without effect.
const ROUTE_QUANTILE: f64 = 0.5;

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
        self.quantile(QUANTILE)
    }

    fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.recent.len() < MIN_VALUES {
            return None;
        }
        let mut sorted = self.recent.clone();
        let rank = ((sorted.len() - 1) as f64 * quantile) as usize;
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
/// requests of others seem late. An account with few requests at this host is judged by the
/// median of its route.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedTimes {
    times: BTreeMap<(AccountKey, String), AnnouncedTime>,
    routes: BTreeMap<String, AnnouncedTime>,
}

impl AnnouncedTimes {
    /// Takes in the time that a request announced; returns the time that its caller has
    /// presumably used since its first attempt.
    ///
    /// Accounts beyond the limit on the number of entries are judged by their route.
    pub fn note(&mut self, account: AccountKey, route: &str, announced: Duration) -> Duration {
        let of_route = self.note_route(route, announced);
        let of_account = self.note_account(account, route, announced);
        let usual = of_account.or(of_route).unwrap_or_default();
        usual.saturating_sub(announced)
    }

    fn note_route(&mut self, route: &str, announced: Duration) -> Option<Duration> {
        let times = self.routes.entry(String::from(route)).or_default();
        times.note(announced);
        times.quantile(ROUTE_QUANTILE)
    }

    fn note_account(
        &mut self,
        account: AccountKey,
        route: &str,
        announced: Duration,
    ) -> Option<Duration> {
        let is_full = self.times.len() >= MAX_ENTRIES;
        let key = (account, String::from(route));
        if is_full && !self.times.contains_key(&key) {
            return None;
        }
        let times = self.times.entry(key).or_default();
        times.note(announced);
        times.usual()
    }

    /// Drops the accounts and routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(AccountKey, &str) -> bool) {
        self.times
            .retain(|(account, route), _| keep(*account, route));
        let times = &self.times;
        self.routes
            .retain(|route, _| times.keys().any(|(_, known)| known == route));
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
