//! The cap on calls at a backend server, the detection of slow ones, and the cost of
//! probes.

use std::time::Duration;

use state::Moment;
use state::capacity::{Capacity, Degradation, LoadReport, Readiness};
use state::latency::{LatencyBaseline, SlowRate};
use state::probe::ProbeBudget;

const SLOTS: u32 = 6;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn report(boot: &str, readiness: Readiness) -> LoadReport {
    LoadReport {
        boot: boot.to_owned(),
        readiness,
        running: 0,
    }
}

fn warm() -> Capacity {
    let mut capacity = Capacity::unknown(SLOTS, 1, at(0));
    capacity.note_report(&report("a", Readiness::Warm), at(0));
    assert_eq!(capacity.cap(), SLOTS);
    capacity
}

/// Reports enough answers for the cap to grow, every 50 ms.
fn answer_calls(capacity: &mut Capacity, from: u64, millis: u64) {
    for now in (from..from + millis).step_by(50) {
        capacity.note_answers(0, 20, at(now));
        capacity.grow(at(now));
    }
}

#[test]
fn unknown_is_cold() {
    let capacity = Capacity::unknown(SLOTS, 1, at(0));
    assert_eq!(capacity.cap(), 1);
}

// A backend server becomes cold during a peak under the same address, while its report
// still says warm. The first shed must cut the cap for all hosts, and only answers may
// raise it again, step by step, or callers see rejected calls.
#[test]
fn shed_resets_cap() {
    let mut capacity = warm();
    capacity.note_shed(at(1_000));
    assert_eq!(capacity.cap(), 1);
    capacity.note_report(&report("a", Readiness::Warm), at(1_100));
    capacity.grow(at(2_000));
    assert_eq!(capacity.cap(), 1);
    answer_calls(&mut capacity, 2_000, 500);
    assert!(capacity.cap() > 1 && capacity.cap() < SLOTS);
    answer_calls(&mut capacity, 2_500, 3_000);
    assert_eq!(capacity.cap(), SLOTS);
}

#[test]
fn restart_resets_cap() {
    let mut capacity = warm();
    capacity.note_report(&report("b", Readiness::Warm), at(1_000));
    assert_eq!(capacity.cap(), 1);
}

// A backend server that has failed sheds within a fraction of a millisecond. If its one
// slot is used again at once, it attracts call after call, and callers see rejections
// although other backend servers have free slots.
#[test]
fn failed_gets_trials() {
    let mut capacity = warm();
    capacity.note_shed(at(1_000));
    assert_eq!(capacity.cap(), 1);
    capacity.note_shed(at(1_001));
    assert_eq!(capacity.cap(), 0);
    assert!(!capacity.take_trial(at(1_500)));
    assert!(capacity.take_trial(at(2_001)));
    for now in [2_100, 2_110, 2_120] {
        capacity.note_answers(0, 1, at(now));
    }
    assert_eq!(capacity.cap(), 1);
}

// A site starts under load, and the first answers arrive before the first load report. If
// that report is ignored, calls are rejected for seconds while five of six slots are
// idle.
#[test]
fn answers_before_report() {
    let mut capacity = Capacity::unknown(6, 1, at(0));
    capacity.note_answers(0, 1, at(5));
    capacity.note_report(&report("a", Readiness::Warm), at(10));
    assert_eq!(capacity.cap(), 6);
}

// A first report that says warm after a shed is stale.
#[test]
fn shed_before_report() {
    let mut capacity = Capacity::unknown(6, 1, at(0));
    capacity.note_shed(at(5));
    capacity.note_report(&report("a", Readiness::Warm), at(10));
    assert_eq!(capacity.cap(), 0);
    assert_eq!(capacity.base_cap(), 1);
}

#[test]
fn cold_stays_low() {
    let mut capacity = warm();
    capacity.note_report(&report("b", Readiness::Cold), at(1_000));
    answer_calls(&mut capacity, 1_000, 5_000);
    assert_eq!(capacity.cap(), 1);
    capacity.note_report(&report("b", Readiness::Warm), at(6_000));
    answer_calls(&mut capacity, 6_000, 3_000);
    assert_eq!(capacity.cap(), SLOTS);
}

#[test]
fn draining_gets_none() {
    let mut capacity = warm();
    capacity.note_report(&report("a", Readiness::Draining), at(1_000));
    assert_eq!(capacity.cap(), 0);
    assert!(!capacity.take_trial(at(9_000)));
}

// One backend server answers twenty times slower than usual while it reports itself idle.
// Its callers wait, so once its answers show it, it must get no more than one trial call a
// second.
#[test]
fn slow_gets_trials() {
    let mut capacity = warm();
    for n in 0..8 {
        capacity.note_answers(1, 1, at(n));
    }
    assert_eq!(capacity.degradation(), Some(Degradation::Slow));
    assert_eq!(capacity.cap(), 0);
    capacity.note_report(&report("a", Readiness::Warm), at(100));
    assert_eq!(capacity.cap(), 0);
    assert!(!capacity.take_trial(at(500)));
    assert!(capacity.take_trial(at(1_100)));
    assert!(!capacity.take_trial(at(1_200)));
    for n in 0..3 {
        capacity.note_answers(0, 1, at(2_000 + n));
    }
    assert_eq!(capacity.degradation(), None);
    assert!(capacity.cap() > 0);
}

#[test]
fn unreachable_gets_trials() {
    let mut capacity = warm();
    capacity.note_unreachable(at(10));
    assert_eq!(capacity.degradation(), Some(Degradation::Down));
    assert_eq!(capacity.cap(), 0);
    capacity.note_report(&report("b", Readiness::Cold), at(300));
    assert!(capacity.take_trial(at(300)));
}

/// Returns the baseline for a mix of 99 calls of 1 ms to one of 2 s.
fn mixed() -> LatencyBaseline {
    let mut baseline = LatencyBaseline::default();
    for n in 0..500 {
        let millis = if n % 100 == 99 { 2_000 } else { 1 };
        baseline.record(Duration::from_millis(millis));
    }
    baseline
}

// Long work among short work must not make the server that happens to run it look slow,
// or that server is taken out of use for nothing.
#[test]
fn long_work_is_rare() {
    let mut baseline = mixed();
    let mut slow_rate = SlowRate::default();
    for n in 0..1_000 {
        let millis = if n % 100 == 99 { 2_000 } else { 1 };
        let slow = baseline.record(Duration::from_millis(millis));
        slow_rate.note(u32::from(slow), 1);
        assert!(!slow_rate.is_slow());
    }
}

#[test]
fn slow_server_shows() {
    let baseline = mixed();
    assert!(baseline.is_slow(Duration::from_millis(20)));
    assert!(!baseline.is_slow(Duration::from_millis(1)));
}

// Everything behind a service becomes slow at once. No endpoint is the cause, and taking
// them out of use one after the other would leave none.
#[test]
fn shared_slowness() {
    let mut baseline = mixed();
    let blamed = (0..500)
        .filter(|_| baseline.record(Duration::from_millis(50)))
        .count();
    assert!(blamed < 50, "{blamed}");
    assert!(!baseline.is_slow(Duration::from_millis(50)));
}

#[test]
fn probes_within_budget() {
    let cost = Duration::from_millis(6);
    let mut budget = ProbeBudget::new(SLOTS, cost, at(0));
    let sent = (0..60_000).filter(|ms| budget.take(true, at(*ms))).count();
    let spent = cost * sent as u32;
    let slot_time = Duration::from_secs(60) * SLOTS;
    assert!(spent * 1_000 <= (slot_time + cost * 1_000) * 5, "{sent}");
    assert!(sent > 250, "{sent}");
    let mut ordinary = ProbeBudget::new(SLOTS, cost, at(0));
    let sent = (0..60_000)
        .filter(|ms| ordinary.take(false, at(*ms)))
        .count();
    assert!((100..=121).contains(&sent), "{sent}");
}
