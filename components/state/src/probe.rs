//! The probe budget of one endpoint.

use std::time::Duration;

use derives::value;

use crate::moment::Moment;

/// The fraction of an endpoint's slot time that probes may use, in thousandths.
pub const PROBE_SHARE_PERMILLE: u32 = 5;

/// Keeps the probes of one endpoint within [`PROBE_SHARE_PERMILLE`] thousandths of its
/// slot time.
///
/// A token bucket of slot time, from which each probe takes its cost. The bucket holds
/// the cost of at most one probe, so that a backend server in trouble never gets a burst
/// of probes. An endpoint is probed only by its owner, so the cost doesn't depend on the
/// number of entry hosts.
#[value]
pub struct ProbeBudget {
    cost: Duration,
    min_interval: Duration,
    next: Moment,
}

/// The interval between probes if the budget would allow more.
const REGULAR_INTERVAL: Duration = Duration::from_millis(500);

impl ProbeBudget {
    /// Returns the budget of an endpoint with `slots` slots, where a probe costs `cost`.
    ///
    /// The first probe has to wait like any other, since the previous owner may have sent
    /// one a moment ago. On a busy machine with late heartbeats an endpoint may change
    /// its owner several times a second, and would otherwise be probed each time.
    pub fn new(slots: u32, cost: Duration, now: Moment) -> ProbeBudget {
        let min_interval = cost * 1_000 / (PROBE_SHARE_PERMILLE * slots.max(1));
        ProbeBudget {
            cost,
            min_interval,
            next: now + min_interval,
        }
    }

    /// Returns whether a probe may be sent now, and counts the probe if so.
    pub fn take(&mut self, urgent: bool, now: Moment) -> bool {
        let due = if urgent {
            self.next
        } else {
            self.next + REGULAR_INTERVAL.saturating_sub(self.min_interval)
        };
        if due > now {
            return false;
        }
        self.next = now + self.min_interval;
        true
    }

    /// Returns the cost of one probe, in slot time.
    pub fn cost(&self) -> Duration {
        self.cost
    }
}
