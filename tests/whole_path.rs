//! A call goes from its caller through any entry host to a backend server and back.

mod common;

use common::Rig;
use stand_ins::history::Outcome;

const SITE: &str = include_str!("common/small.toml");

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers() {
    let mut rig = Rig::start(SITE).await;
    for host in 0..rig.hosts.len() {
        let mut call = rig.new_call("GET", "/hallboard/free?work-ms=5&size=200000&chunked=1");
        call.size = 200_000;
        let reply = rig.call(host, &call).await;
        assert_eq!((reply.outcome, reply.own), (Outcome::Complete, true));
        let deposit = rig.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
        let reply = rig.call(host, &deposit).await;
        assert_eq!((reply.outcome, reply.own), (Outcome::Complete, true));
    }
    rig.assert_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_service() {
    let mut rig = Rig::start(SITE).await;
    let call = rig.new_call("GET", "/nowhere/free");
    let reply = rig.call(0, &call).await;
    assert_eq!((reply.outcome, reply.status), (Outcome::NotRun, Some(404)));
    rig.assert_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn mixed_load() {
    let mut rig = Rig::start(SITE).await;
    let load = rig.load();
    rig.more_answers(1_000).await;
    let samples = load.stop().await;
    let hurt = samples.iter().filter(|s| s.outcome != Outcome::Complete);
    assert_eq!(hurt.count(), 0);
    rig.assert_kept();
}
