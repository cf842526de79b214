//! Entry hosts during an outage of the platform's store.

mod common;

use common::Cluster;
use stand_ins::history::{Event, Outcome};
use stand_ins::store::Outage;

const SITE: &str = include_str!("common/small.toml");

// While the store is down, calls without a key must be served as usual. A call with a new key
// can't be claimed: it must be refused as not run before its deadline, and succeed after the
// outage.
#[rstest::rstest]
#[case::silent(Outage::Silent)]
#[case::refusing(Outage::Refusing)]
#[tokio::test(flavor = "multi_thread")]
async fn new_keys_refused(#[case] outage: Outage) {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(300).await;
    cluster.site.store.change(|b| b.outage = Some(outage));
    let mut deposit = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
    deposit.key = Some("deposit-in-outage".to_owned());
    let refused = cluster.call(0, &deposit).await;
    assert_eq!(refused.outcome, Outcome::NotRun, "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
    for _ in 0..20 {
        let free = cluster.new_call("GET", "/hallboard/free?work-ms=5");
        assert_eq!(cluster.call(1, &free).await.outcome, Outcome::Complete);
    }
    cluster.site.store.change(|b| b.outage = None);
    let taken = async {
        loop {
            let mut again = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
            again.key.clone_from(&deposit.key);
            let reply = cluster.call(2, &again).await;
            match reply.outcome {
                Outcome::NotRun => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
                outcome => break outcome,
            }
        }
    };
    let outcome = tokio::time::timeout(common::WAIT_TIMEOUT, taken)
        .await
        .unwrap();
    assert_eq!(outcome, Outcome::Complete);
    load.stop().await;
    let failed = cluster.select(|r| match &r.event {
        Event::Answered { outcome, .. } => {
            matches!(outcome, Outcome::Broken | Outcome::Unreachable).then_some(())
        }
        _ => None,
    });
    assert_eq!(failed.len(), 0);
    cluster.assert_no_violations();
}
