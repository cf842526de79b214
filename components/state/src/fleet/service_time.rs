//! The expected service time of a route's requests on an undisturbed endpoint.

use std::time::Duration;

/// The fraction of the objective that is assumed before the first answer.
///
/// Operators set objectives to between two and a half and three times the usual service
/// time.
const INITIAL_FRACTION: f64 = 0.4;

/// The weight of one answer in the running mean.
///
/// The mean settles after twenty answers; a host sees a few answers of each route per
/// second.
const MEAN_WEIGHT: f64 = 0.05;

/// The running mean of one route's service time.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    mean: f64,
}

impl ServiceTime {
    /// Returns the initial estimate for a route with this objective.
    pub fn new(objective: Duration) -> ServiceTime {
        ServiceTime {
            mean: objective.as_secs_f64() * INITIAL_FRACTION,
        }
    }

    /// Adds an answer that took `time` at an endpoint with this expected slowdown.
    pub fn note(&mut self, time: Duration, slowdown: f64) {
        let typical = time.as_secs_f64() / slowdown.max(1.0);
        // The endpoint may have been disturbed after its load sample; such an answer must
        // not raise the mean by much.
        let typical = typical.min(self.mean * 3.0);
        self.mean += (typical - self.mean) * MEAN_WEIGHT;
    }

    /// Returns the expected service time.
    pub fn estimate(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }
}
