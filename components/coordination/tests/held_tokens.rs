//! What a host answers by itself after its home's last grants.

use std::time::Duration;

use coordination::quota::contention::{Refused, TokenRequest, Urgency};
use coordination::quota::held::{Decision, HeldTokens};
use coordination::quota::home::{Claim, Grant};
use state::accounts::QuotaLimit;
use state::{AccountKey, Moment};

const ACCOUNT: AccountKey = AccountKey(7);
const NOW: Moment = Moment::from_millis(10_000);

fn none(retry_after: u64, none_for: u64) -> Grant {
    Grant {
        tokens: 0,
        retry_after: Duration::from_millis(retry_after),
        room_after: Duration::ZERO,
        none_for: Duration::from_millis(none_for),
    }
}

fn request(slack: u64) -> TokenRequest {
    TokenRequest {
        latest_start: NOW + Duration::from_millis(slack),
    }
}

/// Guards against a Retry-After that was computed for requests of the other urgency.
#[test]
fn separate_times() {
    let room_after = Duration::from_millis(5_000);
    let in_time = Grant {
        room_after,
        ..none(150, 100)
    };
    let in_time = (request(200), in_time);
    let late = (TokenRequest::LATE, none(5_000, 100));
    for answers in [[in_time, late], [late, in_time]] {
        let mut held = HeldTokens::default();
        for (request, grant) in answers {
            let _refused = held.granted(ACCOUNT, request, request.urgency(NOW), grant, NOW);
        }
        for (request, grant) in answers {
            let decision = held.decide(ACCOUNT, request, NOW);
            assert_eq!(decision, Decision::Refuse(grant.retry_after));
        }
    }
}

/// Guards against callers told to return at a time when their request is late and yields.
#[test]
fn remaining_time() {
    let grant = Grant {
        room_after: Duration::from_secs(5),
        ..none(150, 100)
    };
    let cases = [(150, 150), (149, 5_000)];
    for (slack, expected) in cases {
        let mut held = HeldTokens::default();
        let expected = Duration::from_millis(expected);
        let asked = held.granted(ACCOUNT, request(slack), Urgency::InTime, grant, NOW);
        assert_eq!(asked, Err(expected));
        let refused = held.decide(ACCOUNT, request(slack), NOW);
        assert_eq!(refused, Decision::Refuse(expected));
    }
}

/// Guards against a demand that is reported long after it was there, or twice.
#[test]
fn old_refusals() {
    for (age, expected) in [(100, 1), (1_001, 0)] {
        let mut held = HeldTokens::default();
        let asked = request(500);
        let _refused = held.granted(ACCOUNT, asked, Urgency::InTime, none(150, 100), NOW);
        let decision = held.decide(ACCOUNT, asked, NOW);
        assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
        let later = NOW + Duration::from_millis(age);
        assert_eq!(held.take_refused(ACCOUNT, later).total(), expected);
        assert_eq!(held.take_refused(ACCOUNT, later), Refused::default());
    }
}

/// Guards against refused requests that are counted with each transmission of a claim.
#[test]
fn repeated_claim() {
    let limit = QuotaLimit {
        rate: 5.0,
        burst: 5.0,
    };
    let claim = Claim {
        account: ACCOUNT,
        limit,
        wanted: 3,
        is_first: false,
        sender: ([10, 0, 0, 1], 1).into(),
        urgency: Urgency::InTime,
        refused: Refused {
            in_time: 4,
            late: 9,
        },
    };
    let again = claim.repeated();
    assert_eq!(again.refused, Refused::default());
    assert_eq!(again.wanted, claim.wanted);
}
