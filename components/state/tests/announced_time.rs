//! The usual time that callers of a route announce, and what retrying ones have used of it.

use std::time::Duration;

use state::AccountKey;
use state::fleet::{AnnouncedTime, AnnouncedTimes};

const USUAL: Duration = Duration::from_millis(1_000);

fn after(values: impl IntoIterator<Item = u64>) -> AnnouncedTime {
    let mut times = AnnouncedTime::default();
    values
        .into_iter()
        .for_each(|v| times.note(Duration::from_millis(v)));
    times
}

/// Guards against retries that make first attempts seem to have used no time, or too much.
#[test]
fn many_retries() {
    let times = after((0..640).map(|n| if n % 3 == 0 { 1_000 } else { 667 }));
    assert_eq!(times.used(USUAL), Duration::ZERO);
    let used = times.used(Duration::from_millis(667));
    assert_eq!(used, Duration::from_millis(333));
}

/// Guards against a few callers with a longer or shorter time that make others seem late.
#[test]
fn unusual_times() {
    let announced = |n| match n % 10 {
        0 | 5 => 60_000,
        1 | 2 => 5,
        _ => 1_000,
    };
    assert_eq!(after((0..640).map(announced)).usual(), Some(USUAL));
}

/// Guards against an inference from the first few requests of a host.
#[test]
fn few_requests() {
    let times = after([1_000; 3]);
    assert_eq!(times.used(Duration::from_millis(1)), Duration::ZERO);
}

/// Guards against an old usual time that stays after operators or callers changed it.
#[test]
fn changed_time() {
    let times = after((0..200).map(|n| if n < 136 { 5_000 } else { 1_000 }));
    assert_eq!(times.usual(), Some(USUAL));
}

/// Guards against an account with long times that makes the requests of others seem late.
#[test]
fn long_account() {
    let mut times = AnnouncedTimes::default();
    let [long, usual] = [AccountKey(1), AccountKey(2)];
    for _ in 0..64 {
        times.note(long, "reads", Duration::from_secs(60));
        assert_eq!(times.note(usual, "reads", USUAL), Duration::ZERO);
    }
}

/// Guards against memory that grows with accounts and routes, or stays after they are gone.
#[test]
fn bounded_number() {
    let mut times = AnnouncedTimes::default();
    for account in 0..10_000 {
        times.note(AccountKey(account), "reads", USUAL);
    }
    assert_eq!(times.len(), 4_096);
    times.retain(|account, route| account == AccountKey(3) && route == "reads");
    assert_eq!(times.len(), 1);
}

/// Guards against an account with few requests whose retries count as first attempts.
#[test]
fn small_accounts() {
    let mut times = AnnouncedTimes::default();
    for account in 0..64 {
        assert_eq!(
            times.note(AccountKey(account), "reads", USUAL),
            Duration::ZERO
        );
    }
    let used = times.note(AccountKey(70), "reads", Duration::from_millis(667));
    assert_eq!(used, Duration::from_millis(333));
}
