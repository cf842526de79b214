//! Tests that a host counts what it knows by when the store was read, not by when it heard of it.

use std::time::Duration;

use coordination::read_schedule::ReadSchedule;
use state::Moment;

/// The time within which every record must be known to all hosts.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A host that read the whole topic at `now`, up to offset 18.
fn host_at(now: Moment) -> ReadSchedule {
    let mut schedule = ReadSchedule::new(now);
    schedule.begin_read();
    schedule.full_read_finished(18, 0.5, now);
    schedule
}

/// An update that waited in a queue for 1.4 s must not keep a host from reading.
#[test]
fn delayed_update() {
    let read_at = Moment::from_millis(10_000);
    let mut schedule = host_at(read_at);
    let received_at = read_at + Duration::from_millis(1_400);
    schedule.update_received(11, 18, true, 0.5, received_at);
    assert!(
        schedule.due().since(read_at) < UPDATE_TIMEOUT,
        "the read is due {:?} after the topic was read",
        schedule.due().since(read_at)
    );
}

/// A snapshot that is handed from host to host must not count as new at each of them.
#[test]
fn copied_snapshot() {
    let read_at = Moment::from_millis(10_000);
    let mut now = read_at;
    let mut schedule = host_at(read_at);
    for _ in 0..2 {
        now = now + Duration::from_millis(700);
        schedule = ReadSchedule::new(now);
        schedule.snapshot_received(18, 0.5, now);
    }
    assert!(
        schedule.due().since(read_at) < UPDATE_TIMEOUT,
        "the read is due {:?} after the topic was read",
        schedule.due().since(read_at)
    );
}
