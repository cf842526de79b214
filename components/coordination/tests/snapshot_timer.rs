//! Tests when a host appends a snapshot, so that the log trims no record before a
//! snapshot covers it.

use std::time::Duration;

use coordination::config::{LogView, SnapshotPolicy, SnapshotTimer};
use rstest::rstest;
use state::Moment;

const POLICY: SnapshotPolicy = SnapshotPolicy {
    max_age: Duration::from_secs(100),
    max_records: 50,
    jitter: Duration::from_secs(2),
};

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

#[rstest]
#[case::empty(None, 0, 0, 500, false)]
#[case::young(None, 0, 10, 99, false)]
#[case::never_written(None, 0, 50, 1, true)]
#[case::fallen_off(None, 3, 10, 1, true)]
#[case::covered(Some(9), 0, 10, 1, false)]
#[case::many_since(Some(9), 0, 59, 1, true)]
#[case::older_half(Some(4), 2, 10, 1, true)]
#[case::younger_half(Some(7), 2, 10, 1, false)]
#[case::lost(Some(4), 5, 10, 1, true)]
#[case::quiet(Some(9), 0, 10, 100, true)]
fn wanted(
    #[case] last: Option<u64>,
    #[case] first: u64,
    #[case] next: u64,
    #[case] seconds: u64,
    #[case] due: bool,
) {
    let mut timer = SnapshotTimer::new(POLICY, at(0));
    if let Some(offset) = last {
        timer.snapshot_seen(offset, at(0));
    }
    assert_eq!(timer.is_due(LogView { first, next }, at(seconds), 0.0), due);
}

// Seventeen hosts notice at the same moment that a snapshot is due. Each waits for
// another random delay, and those with longer delays append none after the first one's.
#[test]
fn one_of_many() {
    let view = LogView { first: 3, next: 10 };
    let mut timers: Vec<SnapshotTimer> =
        (0..17).map(|_| SnapshotTimer::new(POLICY, at(0))).collect();
    let mut appended = 0;
    for tick in 0..60 {
        let now = Moment::from_millis(tick * 50);
        let mut draws = (0..17).map(|n| f64::from(n) / 17.0);
        let due = timers.iter_mut().filter_map(|t| {
            let draw = draws.next().unwrap_or(1.0);
            t.is_due(view, now, draw).then_some(())
        });
        if due.count() > 0 {
            appended += 1;
            timers.iter_mut().for_each(|t| t.snapshot_seen(11, now));
        }
    }
    assert_eq!(appended, 1);
}

#[test]
fn failed_append() {
    let view = LogView { first: 3, next: 10 };
    let mut timer = SnapshotTimer::new(POLICY, at(0));
    assert!(timer.is_due(view, at(1), 0.0));
    timer.append_tried(at(1), 0.5);
    assert!(!timer.is_due(view, at(3), 0.0));
    assert!(timer.is_due(view, at(4), 0.0));
}
