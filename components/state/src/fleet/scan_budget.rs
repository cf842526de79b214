//! Limits how often a host looks at all endpoints of a service for one request.

use std::time::Duration;

use crate::Moment;

/// The number of endpoints that a host may look at in this way per second.
///
/// An endpoint takes about 50 ns, so this costs half a percent of a core.
const SCANNED_PER_SECOND: f64 = 100_000.0;

/// The time after which an unused budget is full.
const FULL_AFTER: Duration = Duration::from_secs(1);

/// The endpoints that a host may look at beyond the bounded choice of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScanBudget {
    available: f64,
    refilled_at: Moment,
}

impl Default for ScanBudget {
    fn default() -> ScanBudget {
        ScanBudget {
            available: SCANNED_PER_SECOND * FULL_AFTER.as_secs_f64(),
            refilled_at: Moment(0),
        }
    }
}

impl ScanBudget {
    /// Takes the cost of looking at `endpoints` from the budget; returns false if it is used up.
    ///
    /// The last look may exceed the budget, which is then negative until it has refilled.
    pub fn take(&mut self, endpoints: usize, now: Moment) -> bool {
        let earned = now.since(self.refilled_at).as_secs_f64() * SCANNED_PER_SECOND;
        let most = FULL_AFTER.as_secs_f64() * SCANNED_PER_SECOND;
        self.available = (self.available + earned).min(most);
        self.refilled_at = now;
        let allowed = self.available > 0.0;
        if allowed {
            self.available -= endpoints as f64;
        }
        allowed
    }
}
