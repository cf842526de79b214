//! Bounds how much this host tells all others of its own accord.

use std::time::Duration;

use state::Moment;

/// Reports that this host tells the others in one span.
const REPORTS: usize = 8;

/// The span in which reports are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Counts reports of one kind.
#[derive(Default)]
pub(super) struct Reports {
    began: Moment,
    count: usize,
}

impl Reports {
    /// Returns how many of so many reports may be told now, and counts them.
    pub fn take(&mut self, wanted: usize, now: Moment) -> usize {
        if now.since(self.began) >= SPAN {
            self.began = now;
            self.count = 0;
        }
        let granted = wanted.min(REPORTS - self.count);
        self.count += granted;
        granted
    }
}
