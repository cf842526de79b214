//! What a host answers by itself after its home's last grants.

use std::time::Duration;

use coordination::quota::contention::Urgency;
use coordination::quota::held::{Decision, HeldTokens};
use coordination::quota::home::Grant;
use state::{AccountKey, Moment};

const ACCOUNT: AccountKey = AccountKey(7);
const NOW: Moment = Moment::from_millis(10_000);

fn none(retry_after: u64, none_for: u64) -> Grant {
    Grant {
        tokens: 0,
        retry_after: Duration::from_millis(retry_after),
        none_for: Duration::from_millis(none_for),
    }
}

/// Guards against a Retry-After that was computed for requests of the other urgency.
#[test]
fn separate_times() {
    let in_time = (Urgency::InTime, none(150, 100));
    let late = (Urgency::Late, none(5_000, 100));
    for answers in [[in_time, late], [late, in_time]] {
        let mut held = HeldTokens::default();
        for (urgency, grant) in answers {
            let _refused = held.granted(ACCOUNT, urgency, grant, NOW);
        }
        for (urgency, grant) in answers {
            let decision = held.decide(ACCOUNT, urgency, NOW);
            assert_eq!(decision, Decision::Refuse(grant.retry_after));
        }
    }
}
