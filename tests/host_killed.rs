//! An entry host's process is killed without a shutdown.

mod common;

use common::Cluster;
use stand_ins::history::{Event, Outcome};

const SITE: &str = include_str!("common/small.toml");

// An entry host is killed while it holds slots and has calls in flight. Only its own callers may
// see broken connections. The other hosts must take over its slots, and no backend server may
// get more calls than it has slots.
#[tokio::test(flavor = "multi_thread")]
async fn other_hosts_unaffected() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(500).await;
    cluster.kill(0);
    cluster.wait_for_answers(3_000).await;
    let samples = load.stop().await;
    let killed = cluster.hosts[0].name.clone();
    let sent_to_killed: Vec<u64> = cluster.select(|r| match &r.event {
        Event::Sent { call, host, .. } if *host == killed => Some(*call),
        _ => None,
    });
    let failed = cluster.failed_samples(&samples).into_iter();
    let failed_elsewhere: Vec<_> = failed
        .filter(|s| !sent_to_killed.contains(&cluster.call_number(s)))
        .collect();
    assert!(
        failed_elsewhere.is_empty(),
        "calls through other entry hosts failed: {failed_elsewhere:?}"
    );
    cluster.assert_no_violations();
}

// An entry host is killed after it has sent a call with a key and before it has forwarded the
// answer. The caller retries with the same key through the other hosts: the call must not run
// twice, and must not be answered "not run", since it ran.
#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once() {
    let mut cluster = Cluster::start(SITE).await;
    let mut first = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=400");
    first.key = Some("deposit-of-the-hall".to_owned());
    let sending = cluster.send(0, &first);
    let number = first.number;
    let started = move |e: &Event| matches!(e, Event::Received { call, started: true, .. } if *call == number);
    cluster
        .wait_for_event("the first call is running", started)
        .await;
    cluster.kill(0);
    assert_eq!(sending.await.unwrap().outcome, Outcome::Broken);
    for host in [1, 2] {
        let mut again = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=400");
        again.key.clone_from(&first.key);
        again.repeats = Some(first.number);
        let reply = cluster.call(host, &again).await;
        assert!(
            matches!(reply.outcome, Outcome::Complete | Outcome::Unknown),
            "{reply:?}"
        );
    }
    cluster.assert_no_violations();
}
