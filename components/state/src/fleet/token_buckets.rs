//! Token buckets, one per endpoint, for this host's quota of what all hosts may send
//! there.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{EndpointKey, Moment};

/// This host's tokens for endpoints that take only a limited number of requests per
/// second.
///
/// Cold endpoints fail if they get clearly more than their rate. The limit applies to all
/// hosts together, so each host uses only its quota: one token per interval, with a
/// random phase. The phase keeps hosts that start together from sending in the same
/// second, and a host whose interval is longer than an endpoint's cold phase usually
/// sends nothing. A bucket holds one token, for a short time only.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    next: BTreeMap<EndpointKey, Moment>,
}

/// The longest interval between two tokens.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a token for a cold endpoint remains valid.
///
/// If unused tokens were kept, all of them would be used in the second in which a flood
/// of requests begins.
const COLD_TOKEN_TTL: Duration = Duration::from_millis(500);

/// The number of requests that a host may send to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The number of requests per second that the endpoint takes from all hosts together.
    rate: f64,
    /// This host's share of all hosts, 0 to 1.
    share: f64,
    /// How long a token remains valid.
    ttl: Duration,
}

impl Quota {
    /// Returns the quota of a host with this share of all hosts; tokens remain valid for
    /// `ttl`.
    pub fn new(rate: f64, share: f64, ttl: Duration) -> Quota {
        Quota { rate, share, ttl }
    }

    /// Returns the quota for a cold endpoint of a host with this share of all hosts.
    pub fn cold(rate: f64, share: f64) -> Quota {
        Quota::new(rate, share, COLD_TOKEN_TTL)
    }

    /// Returns this host's share of all hosts, 0 to 1.
    pub fn share(self) -> f64 {
        self.share
    }

    /// Returns the time between two tokens.
    fn interval(self) -> Duration {
        let rate = self.rate * self.share;
        match rate > 0.0 {
            true => Duration::try_from_secs_f64(1.0 / rate)
                .map_or(MAX_INTERVAL, |p| p.min(MAX_INTERVAL)),
            false => MAX_INTERVAL,
        }
    }
}

impl TokenBuckets {
    /// Returns whether there is a token for an endpoint now.
    ///
    /// `draw`, a random number from 0 to 1, is the phase of the first token.
    pub fn has(&mut self, key: EndpointKey, quota: Quota, draw: f64, now: Moment) -> bool {
        let interval = quota.interval();
        let next = self.next.entry(key).or_insert(now + interval.mul_f64(draw));
        // The previous interval may have been longer, or unknown.
        *next = (*next).min(now + interval);
        let late = now.since(*next);
        if late > quota.ttl {
            let missed = (late.as_secs_f64() / interval.as_secs_f64()).ceil();
            *next = *next + interval.mul_f64(missed);
        }
        *next <= now
    }

    /// Takes the token for an endpoint, if there is one.
    pub fn take(&mut self, key: EndpointKey, quota: Quota, draw: f64, now: Moment) -> bool {
        let had = self.has(key, quota, draw, now);
        if had {
            self.next.insert(key, now + quota.interval());
        }
        had
    }

    /// Returns when the next token for an endpoint comes, if the endpoint has a bucket.
    pub fn next(&self, key: EndpointKey) -> Option<Moment> {
        self.next.get(&key).copied()
    }

    /// Drops the buckets of all endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(EndpointKey) -> bool) {
        self.next.retain(|key, _| keep(*key));
    }
}
