//! Rate limits that endpoints in need advertise in their answers.
//!
//! Made for endpoints that bear a few requests a second from all hosts together. Each
//! host sends its quota, by its part of all hosts, and such quotas add up to the limit
//! whatever the hosts know of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::tag;

use super::rate_share::{Allowance, RateShare};
use crate::{EndpointKey, Moment};

/// How long a host may use its turn at an endpoint that advertises a limit.
///
/// Most hosts of many have a request for it by then. In four seconds all hosts together
/// send half as much again as the limit allows, at most.
const TURN: Duration = Duration::from_secs(2);

/// The least that an endpoint gets, in requests a second from all hosts together.
///
/// Only its answers tell that a limit has ended.
const LEAST_RATE: f64 = 0.1;

/// What kind of answer an endpoint gave.
#[tag]
pub enum Source {
    /// An answer to a probe.
    Probe,
    /// An answer to a caller's request.
    Request,
}

/// A limit as it is known after an endpoint's last answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second that the endpoint takes from all hosts together.
    pub rate: f64,
    /// Whether answers to probes name it too.
    probed: bool,
}

impl RateLimit {
    /// Returns the limit after an answer that names `rate`, or names none.
    ///
    /// An answer without a limit ends it only where answers of its kind have named it:
    /// an endpoint may leave it out of what it says to probes.
    pub fn after(known: Option<RateLimit>, rate: Option<f64>, source: Source) -> Option<RateLimit> {
        match (rate, source) {
            (Some(rate), _) => Some(RateLimit {
                rate,
                probed: source == Source::Probe || known.is_some_and(|l| l.probed),
            }),
            (None, Source::Probe) => known.filter(|l| !l.probed),
            (None, Source::Request) => None,
        }
    }

    fn allowance(self, share: f64) -> Allowance {
        Allowance::new(self.rate.max(LEAST_RATE), share, TURN)
    }
}

/// The limits of all endpoints that advertise one, and this host's turns there.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointKey, RateLimit>,
    turns: RateShare,
}

impl RateLimits {
    /// Takes in an endpoint's answer; true where it names a limit and didn't before, or
    /// names none any more.
    pub fn learn(&mut self, key: EndpointKey, rate: Option<f64>, source: Source) -> bool {
        let known = self.limits.get(&key).copied();
        let limit = RateLimit::after(known, rate, source);
        match limit {
            Some(limit) => {
                self.limits.insert(key, limit);
            }
            None => self.forget(key),
        }
        known.is_some() != limit.is_some()
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, key: EndpointKey) {
        if self.limits.remove(&key).is_some() {
            self.turns.retain(|other| other != key);
        }
    }

    /// Returns the endpoints that get no request of this host now, and when they may next.
    ///
    /// `share` is this host's part of all hosts, 0 to 1; `draw` gives numbers from 0 to 1.
    pub fn spent(
        &mut self,
        share: f64,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> BTreeMap<EndpointKey, Moment> {
        let mut spent = BTreeMap::new();
        for (key, limit) in &self.limits {
            let allowed = limit.allowance(share);
            if !self.turns.is_due(*key, allowed, draw(), now) {
                let next = self.turns.next(*key).unwrap_or(now);
                spent.insert(*key, next);
            }
        }
        spent
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count(&mut self, key: EndpointKey, share: f64, now: Moment) {
        if let Some(limit) = self.limits.get(&key) {
            self.turns.take(key, limit.allowance(share), 0.0, now);
        }
    }
}
