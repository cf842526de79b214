//! The usual time that callers of a route announce, and what retrying ones have used of it.

use std::time::Duration;

use state::fleet::AnnouncedTime;

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
fn odd_callers() {
    let odd = |n| match n % 10 {
        0 | 5 => 60_000,
        1 | 2 => 5,
        _ => 1_000,
    };
    assert_eq!(after((0..640).map(odd)).usual(), Some(USUAL));
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
