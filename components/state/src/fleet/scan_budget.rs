//! Limits how often a host looks at all endpoints of a service for one request.

use std::time::Duration;

use crate::Moment;

/// The number of endpoints that a host may look at in this way per second.
///
/// An endpoint takes about 50 ns, so this costs half a percent of a core.
const SCANNED_PER_SECOND: f64 = 100_000.0;

/// The longest time for which unused looks are saved.
const MAX_SAVED: Duration = Duration::from_secs(1);

/// The endpoints that a host may look at beyond the bounded choice of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScanBudget {
    saved: f64,
    refilled_at: Moment,
}

impl Default for ScanBudget {
    fn default() -> ScanBudget {
        ScanBudget {
            saved: SCANNED_PER_SECOND * MAX_SAVED.as_secs_f64(),
            refilled_at: Moment(0),
        }
    }
}

impl ScanBudget {
    /// Takes a look at `endpoints` from the budget; returns false if it is used up.
    ///
    /// A single look may exceed the budget, which is then paid back.
    pub fn take(&mut self, endpoints: usize, now: Moment) -> bool {
        let earned = now.since(self.refilled_at).as_secs_f64() * SCANNED_PER_SECOND;
        let max_saved = MAX_SAVED.as_secs_f64() * SCANNED_PER_SECOND;
        self.saved = (self.saved + earned).min(max_saved);
        self.refilled_at = now;
        let allowed = self.saved > 0.0;
        if allowed {
            self.saved -= endpoints as f64;
        }
        allowed
    }
}
