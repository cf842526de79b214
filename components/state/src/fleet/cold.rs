//! How many requests a cold endpoint gets, over all hosts together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{EndpointKey, Moment};

/// This host's part of what cold endpoints bear.
///
/// A cold endpoint falls over when it gets clearly more than its rate. The
/// bound holds for the sum over all hosts, so each takes only its share of
/// the rate, and begins each endpoint with nothing saved: were every host to
/// start with one request in hand, they would all come in the same second.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    next: BTreeMap<EndpointKey, Moment>,
}

/// The longest pause between two requests of one host to a cold endpoint.
///
/// Longer than any endpoint stays cold: a host whose share is that small sends
/// nothing.
const LONGEST: Duration = Duration::from_secs(30);

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
        let first = now + allowed.pause().mul_f64(draw);
        *self.next.entry(key).or_insert(first) <= now
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
