//! Token buckets, one an endpoint, over this host's quota of what all hosts may send there.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{EndpointKey, Moment};

/// This host's tokens for endpoints that bear only so many requests a second.
///
/// Made for cold endpoints, which fall over when they get clearly more than their rate.
/// The bound holds for the sum over all hosts, so each takes only its quota: a token comes
/// once an interval, at a moment of its own. Hosts that start together therefore don't all
/// send in the same second, and a host whose interval is longer than an endpoint stays
/// cold mostly sends nothing. A bucket holds one token, and not for long.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    next: BTreeMap<EndpointKey, Moment>,
}

/// The longest interval between two tokens.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a token for a cold endpoint may be used.
///
/// Were tokens kept, those that hosts had no use for would all be used in the
/// second in which a flood begins.
const COLD_TOKEN: Duration = Duration::from_millis(500);

/// What a host may send to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second that the endpoint bears from all hosts.
    rate: f64,
    /// This host's part of all hosts, 0 to 1.
    share: f64,
    /// How long a token may be used.
    ttl: Duration,
}

impl Quota {
    /// Returns the quota of a host with this part of all hosts; tokens may be used for `ttl`.
    pub fn new(rate: f64, share: f64, ttl: Duration) -> Quota {
        Quota { rate, share, ttl }
    }

    /// Returns the quota at a cold endpoint of a host with this part of all hosts.
    pub fn cold(rate: f64, share: f64) -> Quota {
        Quota::new(rate, share, COLD_TOKEN)
    }

    /// Returns this host's part of all hosts, 0 to 1.
    pub fn share(self) -> f64 {
        self.share
    }

    /// Returns the time between two tokens.
    fn interval(self) -> Duration {
        let rate = self.rate * self.share;
        match rate > 0.0 {
            true => Duration::try_from_secs_f64(1.0 / rate).map_or(LONGEST, |p| p.min(LONGEST)),
            false => LONGEST,
        }
    }
}

impl TokenBuckets {
    /// Returns whether there is a token for an endpoint now.
    ///
    /// `draw`, a number from 0 to 1, spreads the hosts' first tokens.
    pub fn has(&mut self, key: EndpointKey, quota: Quota, draw: f64, now: Moment) -> bool {
        let interval = quota.interval();
        let next = self.next.entry(key).or_insert(now + interval.mul_f64(draw));
        // The interval may have been longer before, or unknown.
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

    /// Returns when the next token for an endpoint comes, where one was asked for.
    pub fn next(&self, key: EndpointKey) -> Option<Moment> {
        self.next.get(&key).copied()
    }

    /// Forgets all endpoints but those that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(EndpointKey) -> bool) {
        self.next.retain(|key, _| keep(*key));
    }
}
