//! How many requests an endpoint gets from all hosts together, where that is bounded.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{EndpointKey, Moment};

/// This host's part of the requests a second that each of some endpoints bears.
///
/// Made for cold endpoints, which fall over when they get clearly more than their rate.
/// The bound holds for the sum over all hosts, so each takes only its share of
/// the rate: its turn comes once a pause, at a moment of its own. Hosts that
/// start together therefore don't all send in the same second, and a host whose
/// pause is longer than an endpoint stays cold mostly sends nothing.
#[derive(Clone, Debug, Default)]
pub struct RateShare {
    next: BTreeMap<EndpointKey, Moment>,
}

/// The longest pause between two requests of one host to an endpoint.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a host may use its turn at a cold endpoint.
///
/// Were turns kept, those that hosts had no use for would all be used in the
/// second in which a flood begins.
const COLD_TURN: Duration = Duration::from_millis(500);

/// What a host may send to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests a second that the endpoint bears from all hosts.
    rate: f64,
    /// This host's part of all hosts, 0 to 1.
    share: f64,
    /// How long a turn may be used.
    turn: Duration,
}

impl Allowance {
    /// Returns what a host with this part of all hosts may send; a turn is kept so long.
    pub fn new(rate: f64, share: f64, turn: Duration) -> Allowance {
        Allowance { rate, share, turn }
    }

    /// Returns what a host with this part of all hosts may send to a cold endpoint.
    pub fn cold(rate: f64, share: f64) -> Allowance {
        Allowance::new(rate, share, COLD_TURN)
    }

    /// Returns this host's part of all hosts, 0 to 1.
    pub fn share(self) -> f64 {
        self.share
    }

    /// Returns the time between two requests of this host to one endpoint.
    fn pause(self) -> Duration {
        let rate = self.rate * self.share;
        match rate > 0.0 {
            true => Duration::try_from_secs_f64(1.0 / rate).map_or(LONGEST, |p| p.min(LONGEST)),
            false => LONGEST,
        }
    }
}

impl RateShare {
    /// Returns whether a request may go to an endpoint now.
    ///
    /// `draw`, a number from 0 to 1, spreads the hosts' first requests.
    pub fn is_due(&mut self, key: EndpointKey, allowed: Allowance, draw: f64, now: Moment) -> bool {
        let pause = allowed.pause();
        let next = self.next.entry(key).or_insert(now + pause.mul_f64(draw));
        // The pause may have been longer before, or unknown.
        *next = (*next).min(now + pause);
        let late = now.since(*next);
        if late > allowed.turn {
            let missed = (late.as_secs_f64() / pause.as_secs_f64()).ceil();
            *next = *next + pause.mul_f64(missed);
        }
        *next <= now
    }

    /// Returns when a request may go to an endpoint next, where that has been asked.
    pub fn next(&self, key: EndpointKey) -> Option<Moment> {
        self.next.get(&key).copied()
    }

    /// Does the same as `is_due`, and counts the request where it may go.
    pub fn take(&mut self, key: EndpointKey, allowed: Allowance, draw: f64, now: Moment) -> bool {
        let due = self.is_due(key, allowed, draw, now);
        if due {
            self.next.insert(key, now + allowed.pause());
        }
        due
    }

    /// Forgets all endpoints but those that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(EndpointKey) -> bool) {
        self.next.retain(|key, _| keep(*key));
    }
}
