//! Calls with the same idempotency key at several entry hosts.

mod common;

use common::Cluster;
use stand_ins::history::Outcome;

const SITE: &str = include_str!("common/small.toml");

// A user submits a form twice, and the balancer sends the two calls with the same key to two entry
// hosts at the same moment. Only one may run.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls() {
    let mut cluster = Cluster::start(SITE).await;
    for round in 0..20 {
        let key = Some(format!("deposit-{round}"));
        let mut first = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=30");
        first.key.clone_from(&key);
        let mut second = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=30");
        second.key = key;
        second.repeats = Some(first.number);
        let sending = [cluster.send(0, &first), cluster.send(1, &second)];
        for reply in sending {
            let reply = reply.await.unwrap();
            assert!(
                matches!(reply.outcome, Outcome::Complete | Outcome::Unknown),
                "{reply:?}"
            );
        }
    }
    assert_eq!(cluster.run_count(), 20);
    cluster.assert_no_violations();
}

// A caller that missed the first call's answer retries with the same key, through each host. Each
// retry must get the cached answer of the first call.
#[tokio::test(flavor = "multi_thread")]
async fn later_retry() {
    let mut cluster = Cluster::start(SITE).await;
    let mut first = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
    first.key = Some("deposit-later".to_owned());
    assert_eq!(cluster.call(0, &first).await.outcome, Outcome::Complete);
    for host in 0..3 {
        let mut again = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
        again.key.clone_from(&first.key);
        again.repeats = Some(first.number);
        let reply = cluster.call(host, &again).await;
        assert_eq!((reply.outcome, reply.own), (Outcome::Complete, true));
    }
    cluster.assert_no_violations();
}

// A different request that carries the key of an earlier call by mistake must be refused as not
// run (422). It may neither run nor get the earlier call's answer.
#[tokio::test(flavor = "multi_thread")]
async fn other_request() {
    let cluster = Cluster::start(SITE).await;
    let mut first = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
    first.key = Some("deposit-other".to_owned());
    assert_eq!(cluster.call(0, &first).await.outcome, Outcome::Complete);
    let mut other = cluster.new_call("POST", "/ledgerhouse/fees?work-ms=5");
    other.key.clone_from(&first.key);
    let reply = cluster.call(1, &other).await;
    assert_eq!((reply.outcome, reply.status), (Outcome::NotRun, Some(422)));
    assert_eq!(cluster.run_count(), 1);
}
