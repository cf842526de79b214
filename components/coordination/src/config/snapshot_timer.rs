//! Decides when to append a snapshot, before the log drops old records.

use std::time::Duration;

use derives::{tag, value};
use state::Moment;

/// How far apart snapshots are.
#[tag]
pub struct SnapshotPolicy {
    /// The longest time between two snapshots: a quarter of the time the log
    /// keeps a record or less, so that three may be lost in a row.
    pub max_age: Duration,
    /// Records after which a snapshot is due, however young the last one is.
    pub max_records: u64,
    /// Hosts that notice together wait up to this long, each another time.
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

/// What a host sees of the stream.
#[tag]
pub struct LogView {
    /// The first record the log still has.
    pub first: u64,
    /// The offset after the log's last record.
    pub next: u64,
}

/// Says when this host should append a snapshot.
///
/// No host is set aside for it: whichever notices first does it. Hosts that
/// notice together spread over the jitter, and those whose turn comes later
/// have then read the first one's snapshot and let it be. Two at once do no
/// harm; they cost an append.
#[value]
pub struct SnapshotTimer {
    policy: SnapshotPolicy,
    last: Option<u64>,
    seen: Moment,
    due: Option<Moment>,
}

impl SnapshotTimer {
    /// Starts the timer of a host that has read nothing yet.
    pub fn new(policy: SnapshotPolicy, now: Moment) -> SnapshotTimer {
        SnapshotTimer {
            policy,
            last: None,
            seen: now,
            due: None,
        }
    }

    /// Notes a snapshot on the log, readable to all.
    pub fn snapshot_seen(&mut self, offset: u64, now: Moment) {
        self.last = Some(offset);
        self.seen = now;
        self.due = None;
    }

    /// Returns whether to append a snapshot now. `draw` is random, from 0 to 1.
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

    /// Puts the next try off after an append that failed or has not been read yet.
    pub fn append_tried(&mut self, now: Moment, draw: f64) {
        let wait = self.policy.jitter.mul_f64(1.0 + draw.clamp(0.0, 1.0));
        self.due = Some(now + wait);
    }

    fn is_wanted(&self, view: LogView, now: Moment) -> bool {
        match self.last {
            _ if view.next == 0 => false,
            // Nothing covers what has fallen off: a new host could not start.
            None if view.first > 0 => true,
            Some(last) if last < view.first => true,
            // A quiet stream gives no sign of records about to fall off.
            _ if now.since(self.seen) >= self.policy.max_age => true,
            None => view.next >= self.policy.max_records,
            Some(last) if view.next.saturating_sub(last) >= self.policy.max_records => true,
            // The snapshot is in the older half of what the log keeps. The
            // log's own bound shows only in what has fallen off.
            Some(last) if view.first > 0 => (last - view.first) < (view.next - view.first) / 2,
            Some(_) => false,
        }
    }
}
