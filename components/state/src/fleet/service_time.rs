//! How long a route's work takes on an undisturbed endpoint.

use std::time::Duration;

/// The share of the objective assumed before the first answer.
///
/// Operators set objectives at two and a half to three times the usual work.
const FIRST_SHARE: f64 = 0.4;

/// The weight of one answer in the running mean.
///
/// Twenty answers settle it; a host sees a few of each kind a second.
const WEIGHT: f64 = 0.05;

/// The usual time of one route's work, learned from answers.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    mean: f64,
}

impl ServiceTime {
    /// Returns what is assumed of a route with this objective.
    pub fn new(objective: Duration) -> ServiceTime {
        ServiceTime {
            mean: objective.as_secs_f64() * FIRST_SHARE,
        }
    }

    /// Takes in an answer that took `time` at an endpoint of this pace.
    pub fn note(&mut self, time: Duration, pace: f64) {
        let usual = time.as_secs_f64() / pace.max(1.0);
        // One answer from an endpoint that was disturbed after the look must
        // not stretch the mean by much.
        let usual = usual.min(self.mean * 3.0);
        self.mean += (usual - self.mean) * WEIGHT;
    }

    /// Returns the usual time.
    pub fn estimate(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }
}
