//! Limits the rate of reports that this host sends to all others.

use std::time::Duration;

use state::Moment;

/// Maximum number of reports within one window.
const MAX_REPORTS: usize = 8;

/// The window in which reports are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A rate limiter for one kind of report.
#[derive(Default)]
pub(super) struct ReportLimiter {
    began: Moment,
    count: usize,
}

impl ReportLimiter {
    /// Returns how many of the `wanted` reports may be sent now, and counts these.
    pub fn grant(&mut self, wanted: usize, now: Moment) -> usize {
        if now.since(self.began) >= WINDOW {
            self.began = now;
            self.count = 0;
        }
        let granted = wanted.min(MAX_REPORTS - self.count);
        self.count += granted;
        granted
    }
}
