//! How many requests a cold endpoint gets, over all hosts together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{EndpointKey, Moment};

/// This host's part of what cold endpoints bear.
///
/// A cold endpoint falls over when it gets clearly more than its rate. The
/// bound holds for the sum over all hosts, so each takes only its share of
/// the rate: its turn comes once a pause, at a moment of its own. Hosts that
/// start together therefore don't all send in the same second, and a host whose
/// pause is longer than an endpoint stays cold mostly sends nothing.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    next: BTreeMap<EndpointKey, Moment>,
}

/// The longest pause between two requests of one host to a cold endpoint.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a host may use its turn.
///
/// Were turns kept, those that hosts had no use for would all be used in the
/// second in which a flood begins.
const TURN: Duration = Duration::from_millis(500);

/// What a host may send to cold endpoints of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests a second that one cold endpoint bears from all hosts.
    pub rate: f64,
    /// This host's part of all hosts, 0 to 1.
    pub share: f64,
}

impl Allowance {
    /// Returns the time between two requests of this host to one endpoint.
    fn pause(self) -> Duration {
        let rate = self.rate * self.share;
        match rate > 0.0 {
            true => Duration::try_from_secs_f64(1.0 / rate).map_or(LONGEST, |p| p.min(LONGEST)),
            false => LONGEST,
        }
    }
}

impl ColdShare {
    /// Returns whether a request may go to a cold endpoint now.
    ///
    /// `draw`, a number from 0 to 1, spreads the hosts' first requests.
    pub fn is_due(&mut self, key: EndpointKey, allowed: Allowance, draw: f64, now: Moment) -> bool {
        let pause = allowed.pause();
        let next = self.next.entry(key).or_insert(now + pause.mul_f64(draw));
        let late = now.since(*next);
        if late > TURN {
            let missed = (late.as_secs_f64() / pause.as_secs_f64()).ceil();
            *next = *next + pause.mul_f64(missed);
        }
        *next <= now
    }

    /// Does the same, and counts the request where it may go.
    pub fn take(&mut self, key: EndpointKey, allowed: Allowance, draw: f64, now: Moment) -> bool {
        let due = self.is_due(key, allowed, draw, now);
        if due {
            self.next.insert(key, now + allowed.pause());
        }
        due
    }

    /// Forgets endpoints that `keep` says are cold no more.
    pub fn retain(&mut self, keep: impl Fn(EndpointKey) -> bool) {
        self.next.retain(|key, _| keep(*key));
    }
}
