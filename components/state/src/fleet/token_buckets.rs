//! Token buckets, one per endpoint, for this host's quota of what all hosts may send
//! there.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::keys::rendezvous;
use crate::{EndpointKey, Moment};

/// This host's tokens for endpoints that take only a limited number of requests per
/// second.
///
/// Cold endpoints fail if they get clearly more than their rate. The limit applies to all
/// hosts together, so each host uses only its quota: one token per interval, with a
/// phase of its own. The phase keeps hosts that start together from sending in the same
/// second, and a host whose interval is longer than an endpoint's cold phase usually
/// sends nothing. A bucket holds one token, for a short time only.
///
/// The phase follows from the host's name and its machine's uptime, so that a host that is
/// killed goes on with the tokens of the process before it.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    phase: HostPhase,
    next: BTreeMap<EndpointKey, Moment>,
}

/// What a host's phases follow from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostPhase {
    /// Identifies the host, the same after each start.
    pub host: u64,
    /// The machine's uptime when the process started.
    pub uptime: Duration,
}

impl HostPhase {
    /// Returns the time to this host's next turn for an endpoint, as a fraction of `interval`.
    fn time_to_turn(self, key: EndpointKey, interval: Duration, now: Moment) -> f64 {
        if interval.is_zero() {
            return 0.0;
        }
        let uptime = self.uptime + now.since(Moment(0));
        let turns = uptime.as_secs_f64() / interval.as_secs_f64();
        let offset = rendezvous(self.host, key.0) as f64 / u64::MAX as f64;
        1.0 - (turns - offset).rem_euclid(1.0)
    }
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
    /// Returns the empty buckets of a host.
    pub fn new(phase: HostPhase) -> TokenBuckets {
        TokenBuckets {
            phase,
            next: BTreeMap::new(),
        }
    }

    /// Returns whether there is a token for an endpoint now.
    pub fn has(&mut self, key: EndpointKey, quota: Quota, now: Moment) -> bool {
        let interval = quota.interval();
        let phase = self.phase;
        let next = self.next.entry(key).or_insert_with(|| {
            let fraction = phase.time_to_turn(key, interval, now);
            now + interval.mul_f64(fraction)
        });
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
    pub fn take(&mut self, key: EndpointKey, quota: Quota, now: Moment) -> bool {
        let had = self.has(key, quota, now);
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
