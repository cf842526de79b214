//! Rate limits that overloaded endpoints advertise in their answers.
//!
//! Such an endpoint takes only a few requests a second from all hosts together. Each host
//! sends its quota, which follows from its share of all hosts. The quotas add up to the
//! limit, whatever the hosts know about each other's requests.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::tag;

use super::token_buckets::{HostPhase, Quota, TokenBuckets};
use crate::{EndpointKey, Moment};

/// How long a token for an endpoint that advertises a limit remains valid.
///
/// In a site of many hosts, most hosts have a request for the endpoint within this time.
/// In four seconds all hosts together send at most half as much again as the limit
/// allows.
const TOKEN_TTL: Duration = Duration::from_secs(2);

/// The minimum rate of an endpoint, in requests per second from all hosts together.
///
/// Needed because only an endpoint's answers show that its limit has ended.
const MIN_RATE: f64 = 0.1;

/// The factor by which a limit has to change to be sent to the other hosts at once.
const UPDATE_FACTOR: f64 = 1.25;

/// The kind of answer that an endpoint gave.
#[tag]
pub enum Source {
    /// An answer to a probe.
    Probe,
    /// An answer to a caller's request.
    Request,
}

/// The limit known after an endpoint's last answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The number of requests per second that the endpoint accepts from all hosts
    /// together.
    pub rate: f64,
    /// Whether answers to probes carry the limit too.
    probed: bool,
}

impl RateLimit {
    /// Returns the limit after an answer that carries `rate`, or carries none.
    ///
    /// An answer to a request that carries no limit ends the limit. An answer to a probe
    /// does so only if answers to probes have carried it before, since an endpoint may
    /// leave the limit out of them.
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
        Quota::new(self.rate.max(MIN_RATE), share, TOKEN_TTL)
    }
}

/// An update on an endpoint's rate limit that one host sends to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitUpdate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The advertised limit; none if it has ended.
    pub rate: Option<f64>,
}

/// A limit, and what other hosts know of it.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: RateLimit,
    /// The limit that was last sent to all hosts, by this host or another.
    sent_rate: f64,
}

impl KnownLimit {
    /// Returns whether the limit has changed enough to be sent to the other hosts.
    fn is_outdated(&self, rate: f64) -> bool {
        let factor = rate.max(MIN_RATE) / self.sent_rate.max(MIN_RATE);
        !(1.0 / UPDATE_FACTOR..=UPDATE_FACTOR).contains(&factor)
    }
}

/// The limits of all endpoints that advertise one, and this host's tokens for them.
///
/// In a site of hundreds of hosts each host sends an endpoint one request in minutes. A
/// host that receives a limit therefore sends it to the others, and does the same when
/// the limit ends. A host that missed the message learns the limit from the answer to its
/// next request.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointKey, KnownLimit>,
    buckets: TokenBuckets,
}

impl RateLimits {
    /// Returns the limits as known to a host that has just started: none.
    pub fn new(phase: HostPhase) -> RateLimits {
        RateLimits {
            limits: BTreeMap::new(),
            buckets: TokenBuckets::new(phase),
        }
    }

    /// Applies an endpoint's answer, and returns the update to send to other hosts.
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
        // An answer to a probe without a limit leaves a known limit unchanged.
        rate?;
        let must_send = known.is_none_or(|k| k.is_outdated(limit.rate));
        let sent_rate = known
            .filter(|_| !must_send)
            .map_or(limit.rate, |k| k.sent_rate);
        self.limits
            .insert(endpoint, KnownLimit { limit, sent_rate });
        must_send.then_some(RateLimitUpdate { endpoint, rate })
    }

    /// Applies an update from another host.
    pub fn apply(&mut self, update: &RateLimitUpdate) {
        let Some(rate) = update.rate else {
            self.forget(update.endpoint);
            return;
        };
        let known = self.limits.get(&update.endpoint);
        let probed = known.is_some_and(|k| k.limit.probed);
        let received = KnownLimit {
            limit: RateLimit { rate, probed },
            sent_rate: rate,
        };
        self.limits.insert(update.endpoint, received);
    }

    /// Returns whether an endpoint is known to advertise a limit.
    pub fn contains(&self, endpoint: EndpointKey) -> bool {
        self.limits.contains_key(&endpoint)
    }

    /// Drops an endpoint's limit and tokens.
    pub fn forget(&mut self, key: EndpointKey) {
        if self.limits.remove(&key).is_some() {
            self.buckets.retain(|other| other != key);
        }
    }

    /// Returns the endpoints for which this host has no token now, and when each next
    /// token comes.
    ///
    /// `share` is this host's share of all hosts, 0 to 1.
    pub fn exhausted(&mut self, share: f64, now: Moment) -> BTreeMap<EndpointKey, Moment> {
        let mut exhausted = BTreeMap::new();
        for (key, known) in &self.limits {
            let quota = known.limit.quota(share);
            if !self.buckets.has(*key, quota, now) {
                let next = self.buckets.next(*key).unwrap_or(now);
                exhausted.insert(*key, next);
            }
        }
        exhausted
    }

    /// Returns whether this host may send a request to an endpoint now: it has a token, or
    /// the endpoint advertises no limit.
    pub fn has_token(&mut self, key: EndpointKey, share: f64, now: Moment) -> bool {
        let quota = self.limits.get(&key).map(|known| known.limit.quota(share));
        quota.is_none_or(|quota| self.buckets.has(key, quota, now))
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count(&mut self, key: EndpointKey, share: f64, now: Moment) {
        if let Some(known) = self.limits.get(&key) {
            self.buckets.take(key, known.limit.quota(share), now);
        }
    }
}
