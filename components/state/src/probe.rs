//! The budget of probes at one endpoint.

use std::time::Duration;

use derives::value;

use crate::moment::Moment;

/// The share of an endpoint's slot time that probes may cost, in a thousandth.
pub const SHARE: u32 = 5;

/// Keeps the probes of one endpoint within [`SHARE`] thousandths of its slot time.
///
/// A bucket of slot time: it fills with the slots' time and each probe takes
/// its cost. At most one probe's cost is saved up, so that no burst of probes
/// hits a backend server that is in trouble already. The endpoint's owner is
/// its only prober, so the cost doesn't grow with the entry hosts.
#[value]
pub struct ProbeBudget {
    cost: Duration,
    gap: Duration,
    next: Moment,
}

/// The gap between probes where the budget would allow more.
const ORDINARY: Duration = Duration::from_millis(500);

impl ProbeBudget {
    /// Returns the budget of an endpoint with `slots`, where a probe costs `cost`.
    ///
    /// The first probe waits for its time like any other. The owner before may
    /// have probed a moment ago: were each to begin with a probe, an endpoint
    /// whose owner changes several times a second, as on a busy machine whose
    /// heartbeats come late, would get one each time.
    pub fn new(slots: u32, cost: Duration, now: Moment) -> ProbeBudget {
        let gap = cost * 1_000 / (SHARE * slots.max(1));
        ProbeBudget {
            cost,
            gap,
            next: now + gap,
        }
    }

    /// Returns whether a probe may be sent now, and counts it if so.
    pub fn take(&mut self, urgent: bool, now: Moment) -> bool {
        let due = if urgent {
            self.next
        } else {
            self.next + ORDINARY.saturating_sub(self.gap)
        };
        if due > now {
            return false;
        }
        self.next = now + self.gap;
        true
    }

    /// Returns what one probe costs the endpoint, in slot time.
    pub fn cost(&self) -> Duration {
        self.cost
    }
}
