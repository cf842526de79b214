//! Decides when to append a snapshot, before the log trims old records.

use std::time::Duration;

use derives::{tag, value};
use state::Moment;

/// How often snapshots are appended.
#[tag]
pub struct SnapshotPolicy {
    /// The longest time between two snapshots: at most a quarter of the time for which
    /// the log retains a record, so that three may be lost in a row.
    pub max_age: Duration,
    /// Number of records after which a snapshot is due, however recent the last one is.
    pub max_records: u64,
    /// The largest random delay between noticing that a snapshot is due and appending
    /// one.
    pub jitter: Duration,
}

impl Default for SnapshotPolicy {
    fn default() -> SnapshotPolicy {
        SnapshotPolicy {
            max_age: Duration::from_secs(600),
            max_records: 512,
            jitter: Duration::from_secs(2),
        }
    }
}

/// The range of the stream that a host sees.
#[tag]
pub struct LogView {
    /// The offset of the first record that the log still has.
    pub first: u64,
    /// The offset after the log's last record.
    pub next: u64,
}

/// Decides when this host appends a snapshot.
///
/// No host is responsible for snapshots: the first one to notice that one is due appends
/// it. Hosts that notice at the same time wait for random delays up to the jitter, so
/// that those with longer delays read the first one's snapshot and don't append another.
/// Two at once do no harm; they cost an append.
#[value]
pub struct SnapshotTimer {
    policy: SnapshotPolicy,
    last: Option<u64>,
    last_at: Moment,
    due: Option<Moment>,
}

impl SnapshotTimer {
    /// Returns the timer of a host that has read nothing yet.
    pub fn new(policy: SnapshotPolicy, now: Moment) -> SnapshotTimer {
        SnapshotTimer {
            policy,
            last: None,
            last_at: now,
            due: None,
        }
    }

    /// Notes a snapshot read from the log, which every host can read too.
    pub fn snapshot_seen(&mut self, offset: u64, now: Moment) {
        self.last = Some(offset);
        self.last_at = now;
        self.due = None;
    }

    /// Returns whether to append a snapshot now; `draw` is a random number from 0 to 1.
    pub fn is_due(&mut self, view: LogView, now: Moment, draw: f64) -> bool {
        if !self.is_wanted(view, now) {
            self.due = None;
            return false;
        }
        let due = *self
            .due
            .get_or_insert(now + self.policy.jitter.mul_f64(draw.clamp(0.0, 1.0)));
        now >= due
    }

    /// Delays the next attempt after an append that failed or has not been read yet.
    pub fn append_tried(&mut self, now: Moment, draw: f64) {
        let wait = self.policy.jitter.mul_f64(1.0 + draw.clamp(0.0, 1.0));
        self.due = Some(now + wait);
    }

    fn is_wanted(&self, view: LogView, now: Moment) -> bool {
        match self.last {
            _ if view.next == 0 => false,
            // No snapshot covers the trimmed records: a new host could not start.
            None if view.first > 0 => true,
            Some(last) if last < view.first => true,
            // An idle stream doesn't show that records are about to be trimmed.
            _ if now.since(self.last_at) >= self.policy.max_age => true,
            None => view.next >= self.policy.max_records,
            Some(last) if view.next.saturating_sub(last) >= self.policy.max_records => true,
            // The snapshot is in the older half of what the log retains. The retention
            // limit of the log shows only in the records already trimmed.
            Some(last) if view.first > 0 => (last - view.first) < (view.next - view.first) / 2,
            Some(_) => false,
        }
    }
}
