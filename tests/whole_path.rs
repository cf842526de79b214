//! Calls through each entry host to the backend servers and back.

mod common;

use common::Cluster;
use stand_ins::history::Outcome;

const SITE: &str = include_str!("common/small.toml");

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers() {
    let mut cluster = Cluster::start(SITE).await;
    for host in 0..cluster.hosts.len() {
        let mut call = cluster.new_call("GET", "/hallboard/free?work-ms=5&size=200000&chunked=1");
        call.size = 200_000;
        let reply = cluster.call(host, &call).await;
        assert_eq!((reply.outcome, reply.own), (Outcome::Complete, true));
        let deposit = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
        let reply = cluster.call(host, &deposit).await;
        assert_eq!((reply.outcome, reply.own), (Outcome::Complete, true));
    }
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_service() {
    let mut cluster = Cluster::start(SITE).await;
    let call = cluster.new_call("GET", "/nowhere/free");
    let reply = cluster.call(0, &call).await;
    assert_eq!((reply.outcome, reply.status), (Outcome::NotRun, Some(404)));
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn mixed_load() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(1_000).await;
    let samples = load.stop().await;
    let failed = cluster.describe_failures(&samples);
    assert!(failed.is_empty(), "of {}:\n{failed}", samples.len());
    cluster.assert_no_violations();
}
