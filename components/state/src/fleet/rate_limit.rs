//! Rate limits that endpoints in need advertise in their answers.
//!
//! Made for endpoints that bear a few requests a second from all hosts together. Each
//! host sends its quota, by its part of all hosts, and such quotas add up to the limit
//! whatever the hosts know of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::tag;

use super::token_buckets::{Quota, TokenBuckets};
use crate::{EndpointKey, Moment};

/// How long a token for an endpoint that advertises a limit may be used.
///
/// Most hosts of many have a request for it by then. In four seconds all hosts together
/// send half as much again as the limit allows, at most.
const TOKEN_TTL: Duration = Duration::from_secs(2);

/// The least that an endpoint gets, in requests a second from all hosts together.
///
/// Only its answers tell that a limit has ended.
const LEAST_RATE: f64 = 0.1;

/// By what factor a limit has to change for the other hosts to be told at once.
const NOTABLE: f64 = 1.25;

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

    fn quota(self, share: f64) -> Quota {
        Quota::new(self.rate.max(LEAST_RATE), share, TOKEN_TTL)
    }
}

/// What one host tells others of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitUpdate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The limit that it advertises, none where it advertises none any more.
    pub rate: Option<f64>,
}

/// A limit, and what other hosts know of it.
#[derive(Clone, Copy, Debug)]
struct Known {
    limit: RateLimit,
    /// The limit that all hosts were told last.
    told: f64,
}

impl Known {
    /// Returns whether the other hosts are to be told of the limit as it is now.
    fn is_outdated(&self, rate: f64) -> bool {
        let factor = rate.max(LEAST_RATE) / self.told.max(LEAST_RATE);
        !(1.0 / NOTABLE..=NOTABLE).contains(&factor)
    }
}

/// The limits of all endpoints that advertise one, and this host's tokens for them.
///
/// Made for hundreds of hosts, of which each sends an endpoint a request in minutes: one
/// that has heard a limit tells the others, and when it has ended. A host that missed
/// it learns it from the answer to its next request there.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointKey, Known>,
    buckets: TokenBuckets,
}

impl RateLimits {
    /// Takes in an endpoint's answer, and returns what other hosts are to be told.
    pub fn observe(
        &mut self,
        endpoint: EndpointKey,
        rate: Option<f64>,
        source: Source,
    ) -> Option<RateLimitUpdate> {
        let known = self.limits.get(&endpoint).copied();
        let limit = RateLimit::after(known.map(|k| k.limit), rate, source);
        let Some(limit) = limit else {
            self.forget(endpoint);
            let ended = RateLimitUpdate {
                endpoint,
                rate: None,
            };
            return known.map(|_| ended);
        };
        // A probe that names none leaves a limit as it was.
        rate?;
        let news = known.is_none_or(|k| k.is_outdated(limit.rate));
        let told = known.filter(|_| !news).map_or(limit.rate, |k| k.told);
        self.limits.insert(endpoint, Known { limit, told });
        news.then_some(RateLimitUpdate { endpoint, rate })
    }

    /// Takes in what another host has heard of an endpoint.
    pub fn apply(&mut self, advice: &RateLimitUpdate) {
        let Some(rate) = advice.rate else {
            self.forget(advice.endpoint);
            return;
        };
        let known = self.limits.get(&advice.endpoint);
        let probed = known.is_some_and(|k| k.limit.probed);
        let heard = Known {
            limit: RateLimit { rate, probed },
            told: rate,
        };
        self.limits.insert(advice.endpoint, heard);
    }

    /// Returns whether an endpoint is known to advertise a limit.
    pub fn contains(&self, endpoint: EndpointKey) -> bool {
        self.limits.contains_key(&endpoint)
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, key: EndpointKey) {
        if self.limits.remove(&key).is_some() {
            self.buckets.retain(|other| other != key);
        }
    }

    /// Returns the endpoints for which this host has no token now, and when the next comes.
    ///
    /// `share` is this host's part of all hosts, 0 to 1; `draw` gives numbers from 0 to 1.
    pub fn exhausted(
        &mut self,
        share: f64,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> BTreeMap<EndpointKey, Moment> {
        let mut exhausted = BTreeMap::new();
        for (key, known) in &self.limits {
            let quota = known.limit.quota(share);
            if !self.buckets.has(*key, quota, draw(), now) {
                let next = self.buckets.next(*key).unwrap_or(now);
                exhausted.insert(*key, next);
            }
        }
        exhausted
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count(&mut self, key: EndpointKey, share: f64, now: Moment) {
        if let Some(known) = self.limits.get(&key) {
            self.buckets.take(key, known.limit.quota(share), 0.0, now);
        }
    }
}
