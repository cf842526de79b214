//! Which calls may be retried, and how often.

use rstest::rstest;
use state::retry::{Attempt, Failure, RetryBudget};

const LOOKUP: Attempt = Attempt {
    failure: Failure::MayHaveRun,
    idempotent: true,
    replayable: true,
    expired: false,
};

const REFUSED_DEPOSIT: Attempt = Attempt {
    failure: Failure::NotRun,
    idempotent: false,
    replayable: true,
    expired: false,
};

/// A deposit that may have run must not be sent again, or it is booked twice.
#[rstest]
#[case::broken_lookup(LOOKUP, true)]
#[case::refused_deposit(REFUSED_DEPOSIT, true)]
#[case::broken_deposit(Attempt { failure: Failure::MayHaveRun, ..REFUSED_DEPOSIT }, false)]
#[case::streamed_body(Attempt { replayable: false, ..REFUSED_DEPOSIT }, false)]
#[case::too_late(Attempt { expired: true, ..LOOKUP }, false)]
fn allowed(#[case] attempt: Attempt, #[case] expected: bool) {
    assert_eq!(RetryBudget::default().allow(attempt), expected);
}

/// All backend servers of a service fail for a while. Retries must not add more than
/// their share to the load.
#[rstest]
#[case(10, 10_000, 1_020)]
#[case(0, 10_000, 20)]
#[case(100, 10_000, 10_000)]
fn share_kept(#[case] percent: u32, #[case] calls: usize, #[case] most: usize) {
    let mut budget = RetryBudget::default();
    let retries = (0..calls)
        .filter(|_| {
            budget.earn(percent);
            budget.allow(LOOKUP)
        })
        .count();
    assert!(retries <= most, "{retries} retries of {calls} calls");
    assert!(
        retries + 20 >= most,
        "only {retries} retries of {calls} calls"
    );
}

/// A burst of calls fails after a quiet hour. The number of saved retries must stay
/// small.
#[test]
fn saving_bounded() {
    let mut budget = RetryBudget::default();
    for _ in 0..1_000_000 {
        budget.earn(10);
    }
    let retries = (0..1_000).filter(|_| budget.allow(LOOKUP)).count();
    assert_eq!(retries, 20);
}

/// A call that may not be retried must not use up the budget of others.
#[test]
fn denial_costs_nothing() {
    let mut budget = RetryBudget::default();
    let denied = Attempt {
        replayable: false,
        ..LOOKUP
    };
    for _ in 0..100 {
        assert!(!budget.allow(denied));
    }
    assert!(budget.allow(LOOKUP));
}
