//! How many requests a host gets for a service.

use std::time::Duration;

use state::Moment;

/// The time over which requests are averaged, as the time constant of the decay.
const AVERAGING_TIME: Duration = Duration::from_millis(4_000);

/// The running mean of one host's requests for one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRate {
    /// Requests, each weighted by its age.
    weight: f64,
    /// The time in which they came, weighted in the same way, in seconds.
    time: f64,
    at: Moment,
}

impl RequestRate {
    pub fn new(now: Moment) -> RequestRate {
        RequestRate {
            weight: 0.0,
            time: 0.0,
            at: now,
        }
    }

    /// Counts a request.
    pub fn note(&mut self, now: Moment) {
        let passed = now.since(self.at).as_secs_f64();
        let kept = (-passed / AVERAGING_TIME.as_secs_f64()).exp();
        self.weight = self.weight * kept + 1.0;
        self.time = self.time * kept + passed;
        self.at = now;
    }

    /// Returns the requests per second, 0 until two have come.
    pub fn per_second(&self) -> f64 {
        match self.time > 0.0 {
            true => self.weight / self.time,
            false => 0.0,
        }
    }
}
