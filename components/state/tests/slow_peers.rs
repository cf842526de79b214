//! How long a peer that transfers slowly is tolerated.

use std::time::Duration;

use state::stall::{MIN_RATE, STALL_TIMEOUT, StallTimer};

/// Returns how many seconds a peer is tolerated that moves `bytes` per second.
fn tolerated(bytes: u64) -> u64 {
    let mut timer = StallTimer::default();
    for second in 0..3_600 {
        if timer.remaining() < Duration::from_secs(1) {
            return second;
        }
        timer.note_wait(Duration::from_secs(1));
        timer.note_bytes(bytes);
    }
    3_600
}

/// A thousand callers send a byte a second each, and would hold slots for hours.
#[test]
fn trickle_ends() {
    assert!(tolerated(1) <= STALL_TIMEOUT.as_secs());
}

#[test]
fn half_rate_ends() {
    assert!(tolerated(MIN_RATE / 2) <= 2 * STALL_TIMEOUT.as_secs());
}

/// A long upload on a slow but usable line must complete.
#[test]
fn minimum_rate_completes() {
    assert_eq!(tolerated(MIN_RATE), 3_600);
}

/// A fast start must not earn hours of tolerance.
#[test]
fn no_credit_for_the_past() {
    let mut timer = StallTimer::default();
    timer.note_bytes(1 << 40);
    assert_eq!(timer.remaining(), STALL_TIMEOUT);
}
