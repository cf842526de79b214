//! The queue of waiting calls, and admission to it.

use std::time::Duration;

use state::admission::{Admission, AdmissionControl, STANDING_AFTER, STANDING_WAIT_LIMIT};
use state::queue::{CallKey, Queue, WaitingCall};
use state::{EndpointKey, Moment};

fn waiting(call: u64, arrived: u64, deadline: u64) -> WaitingCall {
    WaitingCall {
        call: CallKey(call),
        arrived: Moment::from_millis(arrived),
        deadline: Moment::from_millis(deadline),
        tried: Vec::new(),
    }
}

#[test]
fn oldest_first() {
    let mut queue = Queue::new(2);
    queue.push(waiting(1, 0, 100));
    queue.push(waiting(2, 5, 100));
    assert!(queue.is_full());
    assert_eq!(
        queue.oldest(Moment::from_millis(9)),
        Duration::from_millis(9)
    );
    assert_eq!(queue.take(EndpointKey(7)).unwrap().call, CallKey(1));
    assert_eq!(queue.take(EndpointKey(7)).unwrap().call, CallKey(2));
    assert!(queue.is_empty());
}

#[test]
fn tried_endpoint_skipped() {
    let mut queue = Queue::new(9);
    let mut first = waiting(1, 0, 100);
    first.tried = vec![EndpointKey(7)];
    queue.push(first);
    assert_eq!(queue.take(EndpointKey(7)), None);
    queue.push(waiting(2, 1, 100));
    assert_eq!(queue.take(EndpointKey(7)).unwrap().call, CallKey(2));
    assert_eq!(queue.take(EndpointKey(8)).unwrap().call, CallKey(1));
}

// A call waits past its deadline because every slot runs long work. It must be answered
// as not run at its deadline, not when a slot becomes free at last.
#[test]
fn expired_removed() {
    let mut queue = Queue::new(9);
    queue.push(waiting(1, 0, 100));
    queue.push(waiting(2, 0, 50));
    assert_eq!(queue.expire(Moment::from_millis(49)), vec![]);
    let late = queue.expire(Moment::from_millis(50));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].call, CallKey(2));
    assert_eq!(queue.expire(Moment::from_millis(100)).len(), 1);
    assert!(queue.is_empty());
}

/// Returns admission control that has seen a waiting call start each `interval`.
fn with_starts(interval: u64, starts: u64) -> AdmissionControl {
    let mut admission = AdmissionControl::new(Moment(0));
    for n in 0..starts {
        admission.note_start(10, Moment::from_millis(n * interval));
    }
    admission
}

#[test]
fn hopeless_rejected() {
    let admission = with_starts(10, 50);
    let now = Moment::from_millis(490);
    let short = admission.decide(20, false, Duration::from_millis(150), now);
    assert!(matches!(short, Admission::TooLate(wait) if wait > Duration::from_millis(150)));
    let long = admission.decide(20, false, Duration::from_millis(300), now);
    assert_eq!(long, Admission::Wait);
    let full = admission.decide(20, true, Duration::from_millis(300), now);
    assert_eq!(full, Admission::Full);
}

// Twice the load that all slots can take, for seconds. The queue never becomes empty, and
// every call would wait as long as it is deep. New calls must be rejected at once, so
// that those admitted wait only briefly.
#[test]
fn standing_queue() {
    let admission = with_starts(1, 12_000);
    let now = Moment::from_millis(11_999);
    assert!(now.since(Moment(0)) > STANDING_AFTER * 10);
    let left = Duration::from_secs(10);
    let beyond = 2 * STANDING_WAIT_LIMIT.as_millis() as usize;
    assert!(matches!(
        admission.decide(beyond, false, left, now),
        Admission::TooLate(_)
    ));
    assert_eq!(admission.decide(10, false, left, now), Admission::Wait);
}

#[test]
fn limit_falls_slowly() {
    let admission = with_starts(1, 2_000);
    let now = Moment::from_millis(1_999);
    let left = Duration::from_secs(10);
    assert_eq!(admission.decide(390, false, left, now), Admission::Wait);
    let beyond = admission.decide(600, false, left, now);
    assert!(matches!(beyond, Admission::TooLate(_)));
}

#[test]
fn burst_queued() {
    let admission = with_starts(1, 200);
    let now = Moment::from_millis(199);
    let left = Duration::from_secs(10);
    assert_eq!(admission.decide(390, false, left, now), Admission::Wait);
}

#[test]
fn stalled_starts_noticed() {
    let admission = with_starts(1, 100);
    let now = Moment::from_millis(99 + 700);
    let soon = admission.decide(1, false, Duration::from_millis(500), now);
    assert!(matches!(soon, Admission::TooLate(_)));
}
