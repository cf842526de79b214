//! Which requests are quarantined because they crash the endpoints that run them.

use std::time::Duration;

use state::Moment;
use state::fleet::quarantine::{Crash, Decision, Quarantine, QuarantineUpdate, Reporter};
use state::fleet::{Fingerprint, Fingerprints};

/// The first caller's request that crashes endpoints.
const FATAL: Fingerprints = sent_by(1, 10);

const fn sent_by(content: u64, caller: u64) -> Fingerprints {
    Fingerprints {
        content: Fingerprint(content),
        request: Fingerprint(content * 1_000 + caller),
    }
}

const fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns a crash of a run that was sent 60 ms before.
fn crash(request: Fingerprints, millis: u64) -> Crash {
    Crash {
        request,
        sent: at(millis - 60),
        at: at(millis),
    }
}

/// Returns a quarantine after three crashes by the same request, the last at 1 s.
fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for millis in [200, 600, 1_000] {
        quarantine.note_crash(&crash(FATAL, millis), Reporter::ThisHost);
    }
    quarantine
}

fn update(crashes: u32, remaining: u64, age: u64) -> QuarantineUpdate {
    QuarantineUpdate {
        request: FATAL.request,
        crashes,
        remaining: Duration::from_millis(remaining),
        age: Duration::from_millis(age),
    }
}

#[test]
fn third_crash() {
    let mut quarantine = Quarantine::default();
    for millis in [200, 600] {
        let updates = quarantine.note_crash(&crash(FATAL, millis), Reporter::OtherHost);
        assert_eq!(
            (updates, quarantine.remaining(FATAL, at(millis))),
            (vec![], None)
        );
    }
    let updates = quarantine.note_crash(&crash(FATAL, 1_000), Reporter::ThisHost);
    assert_eq!(updates, [update(3, 10_000, 0)]);
    assert_eq!(
        quarantine.admit(FATAL, at(1_001)),
        Decision::Reject(Duration::from_millis(9_999))
    );
}

/// Other callers must not be rejected because of one caller's requests.
#[test]
fn one_caller() {
    let mut quarantine = quarantined();
    assert_eq!(quarantine.admit(sent_by(1, 11), at(1_001)), Decision::Pass);
    assert_eq!(quarantine.admit(sent_by(2, 10), at(1_001)), Decision::Pass);
}

/// A request that crashes endpoints must be quarantined even if another caller sends it
/// each time.
#[test]
fn many_callers() {
    let mut quarantine = Quarantine::default();
    for caller in 1..=3 {
        let request = sent_by(1, caller);
        quarantine.note_crash(&crash(request, 400 * caller), Reporter::OtherHost);
    }
    let remaining = quarantine.remaining(sent_by(1, 99), at(1_300));
    assert_eq!(remaining, Some(Duration::from_millis(9_900)));
}

/// A popular request must not be quarantined because many endpoints crash at the same
/// moment.
#[test]
fn mass_crash() {
    let mut quarantine = Quarantine::default();
    for millis in [1_000, 1_001, 1_010, 1_030, 1_059] {
        quarantine.note_crash(&crash(FATAL, millis), Reporter::ThisHost);
        quarantine.note_crash(&crash(FATAL, millis + 1), Reporter::OtherHost);
    }
    assert_eq!(quarantine.remaining(FATAL, at(1_070)), None);
}

/// A popular request must not be quarantined because it often runs at the same time as a
/// fatal one.
#[test]
fn answered_between() {
    let mut quarantine = Quarantine::default();
    for millis in (200..10_000).step_by(200) {
        quarantine.note_crash(&crash(FATAL, millis), Reporter::ThisHost);
        quarantine.note_answer(FATAL, at(millis + 100));
        assert_eq!(quarantine.remaining(FATAL, at(millis + 101)), None);
    }
}

/// Trials must not crash an endpoint every few seconds, nor several endpoints at once.
#[test]
fn rare_trials() {
    let mut quarantine = quarantined();
    let mut trials = Vec::new();
    for millis in (1_000..600_000).step_by(50) {
        if matches!(quarantine.admit(FATAL, at(millis)), Decision::Trial(_)) {
            trials.push(millis);
            assert_eq!(
                quarantine.admit(FATAL, at(millis + 1)),
                Decision::Reject(Duration::from_millis(9_999))
            );
            quarantine.note_crash(&crash(FATAL, millis + 60), Reporter::ThisHost);
        }
    }
    assert_eq!(trials, [11_000, 51_100, 211_200]);
}

/// A request must be served again once an endpoint has answered its trial.
#[test]
fn trial_answered() {
    let mut quarantine = quarantined();
    assert!(matches!(
        quarantine.admit(FATAL, at(11_000)),
        Decision::Trial(_)
    ));
    let updates = quarantine.note_answer(FATAL, at(11_200));
    assert!(updates.contains(&update(0, 0, 0)));
    assert_eq!(quarantine.admit(FATAL, at(11_201)), Decision::Pass);
}

/// A host that was away must learn which requests the others have quarantined and
/// cleared.
#[test]
fn learned() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.apply(&update(3, 8_000, 2_000), at(5_000)));
    assert!(!quarantine.apply(&update(3, 8_000, 2_000), at(5_010)));
    let remaining = quarantine.remaining(FATAL, at(5_000));
    assert_eq!(remaining, Some(Duration::from_millis(8_000)));
    assert!(quarantine.apply(&update(0, 0, 100), at(6_000)));
    assert_eq!(quarantine.remaining(FATAL, at(6_000)), None);
}

/// A delayed update must not quarantine a request that was answered in the meantime.
#[test]
fn late_update() {
    let mut quarantine = quarantined();
    quarantine.note_answer(FATAL, at(2_000));
    assert!(!quarantine.apply(&update(3, 9_000, 1_100), at(2_100)));
    assert_eq!(quarantine.remaining(FATAL, at(2_100)), None);
}

/// An outage in which thousands of requests fail must not evict the one that keeps
/// crashing endpoints.
#[test]
fn flood_of_failures() {
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        let millis = 100 + number * 6;
        quarantine.note_crash(&crash(sent_by(2 + number, 1), millis), Reporter::OtherHost);
        if number % 300 == 0 {
            quarantine.note_crash(&crash(FATAL, millis), Reporter::OtherHost);
        }
    }
    assert!(quarantine.len() <= 4_096);
    assert!(quarantine.remaining(FATAL, at(60_000)).is_some());
    let updates = quarantine.updates(at(60_000));
    assert!(updates.iter().any(|f| f.request == FATAL.request));
}

/// Suspects must not be kept forever.
#[test]
fn forgotten() {
    let mut quarantine = quarantined();
    quarantine.forget(at(600_000));
    assert!(!quarantine.is_empty());
    quarantine.forget(at(1_000_000));
    assert!(quarantine.is_empty());
}
