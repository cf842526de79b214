//! How many requests a new version gets before its verdict.

use std::time::Duration;

use super::evidence::CELLS;

/// The bound that operators set on the requests that a bad version may get.
///
/// From the order to its deadline, a bad version may get `fraction` of the service's
/// requests and `slack` more, from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// The fraction of the service's requests, 0 to 1.
    pub fraction: f64,
    /// The number of requests besides.
    pub slack: f64,
}

/// The part of the bound that the canary uses. The rest is left for the ramp, in which a
/// version may show a fault that the canary could not.
const CANARY_PART: f64 = 0.5;

/// The largest fraction of a host's requests that goes to the canary.
///
/// A host with hardly any requests can't use its share of the slack.
pub const MAX_FRACTION: f64 = 0.25;

/// One step of the ramp.
struct RampStep {
    /// How long before the end of the ramp the step ends.
    ends: Duration,
    fraction: f64,
}

/// The ramp, from the first step to the last. A version that fails under load shows it in
/// the first steps, before it has all requests.
const RAMP: [RampStep; 2] = [
    RampStep {
        ends: Duration::from_millis(200),
        fraction: 0.2,
    },
    RampStep {
        ends: Duration::ZERO,
        fraction: 0.5,
    },
];

/// The time that the ramp takes.
pub const RAMP_TIME: Duration = Duration::from_millis(500);

impl ExposureBound {
    /// Returns the fraction of all requests that go to the canary at least.
    pub fn min_canary_fraction(&self) -> f64 {
        CANARY_PART * self.fraction
    }

    /// Returns the fraction of one host's requests that go to the canary.
    ///
    /// `rate` is the host's requests for the service per second, `share` its share of all
    /// hosts, 0 to 1. The hosts' parts of the bound add up to [`CANARY_PART`] of it, no
    /// matter how unevenly callers are spread: the fraction applies to the requests that
    /// each host has, and the slack is divided by shares.
    pub fn canary_fraction(&self, rate: f64, share: f64, duration: Duration) -> f64 {
        let slack_rate = self.slack * share / duration.as_secs_f64().max(1.0);
        let extra = if rate > 0.0 { slack_rate / rate } else { 0.0 };
        (CANARY_PART * (self.fraction + extra)).clamp(0.0, MAX_FRACTION)
    }
}

/// The part of the canary that is divided evenly among routes; the rest follows requests.
const BY_ROUTE: f64 = 0.5;

/// The fraction of a service's requests below which a route gets no extra part.
const MIN_ROUTE: f64 = 0.02;

/// Returns the factor on the canary's fraction for one route, by the requests counted for
/// each route so far.
///
/// A fault that shows on a rare route only would meet hardly any canary request. So half of
/// the canary is divided evenly among the routes; over all routes the factors average to 1.
pub fn route_factor(requests: &[u32; CELLS], cell: usize) -> f64 {
    let total: f64 = requests.iter().map(|n| f64::from(*n)).sum();
    let part = |n: u32| f64::from(n) / total.max(1.0);
    let routes = requests.iter().filter(|n| part(**n) >= MIN_ROUTE).count();
    match part(requests[cell]) {
        own if own >= MIN_ROUTE => 1.0 - BY_ROUTE + BY_ROUTE / (own * routes as f64),
        _ => 1.0,
    }
}

/// Returns the fraction of the requests that go to the new version during the ramp, which
/// ends in `left`.
pub fn ramp_fraction(left: Duration) -> f64 {
    let step = RAMP.iter().find(|step| left > step.ends);
    step.map_or(1.0, |step| step.fraction)
}
