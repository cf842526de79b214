//! Tokens and claims of an account with a small quota.

use std::time::Duration;

use coordination::quota::contention::{Contention, Refused, Urgency};
use coordination::quota::home::Claim;
use state::accounts::QuotaLimit;
use state::fleet::QuotaBucket;
use state::{AccountKey, Moment};

const LIMIT: QuotaLimit = QuotaLimit {
    rate: 5.0,
    burst: 5.0,
};

fn claim(urgency: Urgency, host: u8) -> Claim {
    Claim {
        account: AccountKey(7),
        limit: LIMIT,
        wanted: 1,
        is_first: true,
        sender: ([10, 0, 0, host], 1).into(),
        urgency,
        refused: Refused::default(),
    }
}

/// Guards against an allowance of late requests that is spent while the bucket is empty.
#[test]
fn empty_bucket() {
    let start = Moment::from_millis(10_000);
    let mut bucket = QuotaBucket::new(LIMIT, 1.0, start);
    let mut contention = Contention::new(start);
    let mut take = |urgency, millis| {
        let now = start + Duration::from_millis(millis);
        contention.take(&mut bucket, LIMIT, &claim(urgency, 1), now)
    };
    // Requests in time take each token as it comes; the allowance grows for 12 s.
    for step in 0..60 {
        assert_eq!(take(Urgency::InTime, step * 200), 1);
        assert_eq!(take(Urgency::Late, step * 200 + 100), 0);
    }
    assert_eq!(take(Urgency::Late, 12_000), 1);
}

/// Guards against hosts that don't ask for longer than their turns take: hosts that no longer
/// ask are counted, or a wait outlasts the load by more than 200 ms.
#[test]
fn fewer_hosts() {
    let start = Moment::from_millis(10_000);
    let mut bucket = QuotaBucket::new(LIMIT, 0.0, start);
    let mut contention = Contention::new(start);
    let mut none_for = |host, millis| {
        let now = start + Duration::from_millis(millis);
        bucket.drain(now);
        let claim = claim(Urgency::InTime, host);
        contention.none_for(&mut bucket, LIMIT, &claim, 0, now)
    };
    let bound = Duration::from_millis(200);
    assert!((0..10).all(|host| none_for(host, 0) <= bound));
    let fast = QuotaLimit {
        rate: 50.0,
        burst: 50.0,
    };
    let now = start + Duration::from_millis(600);
    let mut bucket = QuotaBucket::new(fast, 0.0, now);
    let alone = contention.none_for(&mut bucket, fast, &claim(Urgency::InTime, 1), 0, now);
    assert_eq!(alone, Duration::from_millis(20));
}
