//! Detects services none of whose endpoints answer this host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::outcome::Outcome;
use crate::{EndpointKey, Moment};

/// The number of endpoints of a service that must fail in a row for the host to count as
/// isolated from the service.
///
/// One or two endpoints are down at any time, while the others answer in between.
const FAILED_ENDPOINTS: usize = 3;

/// How long an endpoint that didn't answer counts as out of this host's reach.
///
/// Endpoints that are avoided are tried again within this time.
const SILENCE_TTL: Duration = Duration::from_secs(5);

/// The outcomes of this host's requests and probes at the endpoints of one service.
///
/// A host that has lost its links to the endpoints can't tell from any single failure that
/// the next endpoint won't answer either. Every request would try one endpoint after the
/// other until its time is used up, though other hosts still reach all of them.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// The endpoints that failed since any endpoint of the service answered.
    failed: BTreeSet<EndpointKey>,
    since: Option<Moment>,
    /// When each endpoint failed that hasn't answered since.
    silent: BTreeMap<EndpointKey, Moment>,
}

impl Isolation {
    /// Records an outcome at one of the service's `endpoints` usable endpoints.
    pub fn note(&mut self, key: EndpointKey, outcome: Outcome, endpoints: usize, now: Moment) {
        match outcome {
            Outcome::Answered | Outcome::Slow | Outcome::Failed | Outcome::Shed => {
                self.note_answer(key);
            }
            Outcome::Silent => {}
            Outcome::Broken => self.note_failure(key, endpoints, now),
        }
    }

    fn note_answer(&mut self, key: EndpointKey) {
        self.failed.clear();
        self.since = None;
        self.silent.remove(&key);
    }

    /// Returns whether none of the service's endpoints seems to answer this host.
    pub fn is_isolated(&self) -> bool {
        self.since.is_some()
    }

    /// Returns how long the host has been isolated from the service, `None` if it isn't.
    pub fn lasted(&self, now: Moment) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }

    /// Returns the number of endpoints that failed since any of them answered.
    pub fn failures(&self) -> usize {
        self.failed.len()
    }

    /// Returns whether at least half of the service's usable endpoints don't answer this host,
    /// though some may; `endpoints` counts the usable ones.
    ///
    /// Open connections may live on while new ones are refused. The few endpoints that they
    /// lead to are soon full, though the others have room for requests of other hosts.
    pub fn reaches_few(&self, endpoints: impl FnOnce() -> usize, now: Moment) -> bool {
        let silent = self.silent.values();
        let count = silent.filter(|at| now.since(**at) < SILENCE_TTL).count();
        count >= FAILED_ENDPOINTS && count * 2 >= endpoints()
    }

    /// Returns whether any endpoint of the service has lately failed and not answered since.
    pub fn has_silent(&self, now: Moment) -> bool {
        let mut silent = self.silent.values();
        silent.any(|at| now.since(*at) < SILENCE_TTL)
    }

    fn note_failure(&mut self, key: EndpointKey, endpoints: usize, now: Moment) {
        self.failed.insert(key);
        self.silent.retain(|_, at| now.since(*at) < SILENCE_TTL);
        self.silent.insert(key, now);
        if self.failed.len() >= FAILED_ENDPOINTS.min(endpoints) {
            self.since.get_or_insert(now);
        }
    }
}
