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

impl ColdShare {
    /// Returns whether a request may go to a cold endpoint, and counts it if so.
    ///
    /// `rate` is what the endpoint bears a second from all hosts, `share` this
    /// host's part of the hosts, and `draw` a number from 0 to 1 that spreads
    /// the hosts' first requests.
    pub fn take(
        &mut self,
        key: EndpointKey,
        rate: f64,
        share: f64,
        draw: f64,
        now: Moment,
    ) -> bool {
        let pause = pause(rate * share);
        let first = now + pause.mul_f64(draw);
        let next = self.next.entry(key).or_insert(first);
        if now < *next {
            return false;
        }
        *next = now + pause;
        true
    }

    /// Returns whether [`ColdShare::take`] would allow a request now.
    pub fn is_due(
        &mut self,
        key: EndpointKey,
        rate: f64,
        share: f64,
        draw: f64,
        now: Moment,
    ) -> bool {
        let first = now + pause(rate * share).mul_f64(draw);
        *self.next.entry(key).or_insert(first) <= now
    }

    /// Forgets endpoints that `keep` says are cold no more.
    pub fn retain(&mut self, keep: impl Fn(EndpointKey) -> bool) {
        self.next.retain(|key, _| keep(*key));
    }
}

fn pause(rate: f64) -> Duration {
    match rate > 0.0 {
        true => Duration::try_from_secs_f64(1.0 / rate).map_or(LONGEST, |p| p.min(LONGEST)),
        false => LONGEST,
    }
}
