//! Estimates the rate of requests from their arrivals.

use std::time::Duration;

use state::Moment;

/// The time over which arrivals are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// A rate of requests, averaged with exponentially decreasing weight of the past.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    rate: f64,
    updated: Moment,
}

impl Demand {
    /// Returns a rate of zero.
    pub fn new(now: Moment) -> Demand {
        Demand {
            rate: 0.0,
            updated: now,
        }
    }

    /// Counts requests that have just come.
    pub fn count(&mut self, requests: u32, now: Moment) {
        self.rate = self.rate(now) + f64::from(requests) / AVERAGING_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Returns the rate in requests per second.
    pub fn rate(&self, now: Moment) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.rate * (-age).exp()
    }
}
