//! Answers of backend servers that are cut or too late.

mod common;

use std::time::Duration;

use common::Cluster;
use stand_ins::backend::Knobs;
use stand_ins::history::Outcome;

const SITE: &str = include_str!("common/small.toml");

// A backend server breaks the connection in the middle of an answer. The caller must never take
// the part for the whole: either its own connection breaks too, or it gets a complete answer from
// another backend server.
#[rstest::rstest]
#[case::with_length("/hallboard/free?size=300000")]
#[case::chunked("/hallboard/free?size=300000&chunked=1")]
#[case::small("/hallboard/free?size=300")]
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_detected(#[case] path: &str) {
    let mut cluster = Cluster::start(SITE).await;
    for backend in cluster.site.backends("hallboard") {
        backend.set(&Knobs {
            cut_answers: Some(2),
            ..Knobs::default()
        });
    }
    for round in 0..24 {
        let mut call = cluster.new_call("GET", path);
        call.size = if path.contains("300000") {
            300_000
        } else {
            300
        };
        let reply = cluster.call(round % 3, &call).await;
        assert!(
            matches!(
                (reply.outcome, reply.own),
                (Outcome::Broken, _) | (Outcome::Complete, true)
            ),
            "{reply:?}"
        );
    }
    // The entry hosts choose the backend server: one may not have been called yet, and would cut
    // the last answer too.
    for backend in cluster.site.backends("hallboard") {
        backend.set(&Knobs {
            cut_answers: Some(0),
            ..Knobs::default()
        });
    }
    let mut call = cluster.new_call("GET", path);
    call.size = if path.contains("300000") {
        300_000
    } else {
        300
    };
    assert_eq!(cluster.call(0, &call).await.outcome, Outcome::Complete);
    cluster.assert_no_violations();
}

// The answer to a POST is cut, so the call may have run. It must not be answered "not run" and
// must not be retried.
#[tokio::test(flavor = "multi_thread")]
async fn post_not_retried() {
    let mut cluster = Cluster::start(SITE).await;
    for backend in cluster.site.backends("ledgerhouse") {
        backend.set(&Knobs {
            cut_answers: Some(10),
            ..Knobs::default()
        });
    }
    for host in 0..3 {
        let call = cluster.new_call("POST", "/ledgerhouse/deposits?work-ms=5");
        let reply = cluster.call(host, &call).await;
        assert!(
            matches!(reply.outcome, Outcome::Broken | Outcome::Unknown),
            "{reply:?}"
        );
    }
    assert_eq!(cluster.run_count(), 3);
    cluster.assert_no_violations();
}

// Calls reach their deadline while their answers are still on the way. They must be answered in
// time, and the next calls through the same hosts must get their own answers and never the late
// ones.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers_dropped() {
    let mut cluster = Cluster::start(SITE).await;
    for round in 0..12 {
        let mut slow = cluster.new_call("GET", "/hallboard/free?work-ms=150");
        slow.deadline = Duration::from_millis(100);
        let late = cluster.send(round % 3, &slow);
        let next: Vec<_> = (0..4)
            .map(|_| cluster.new_call("GET", "/hallboard/free?work-ms=1"))
            .map(|call| cluster.send(round % 3, &call))
            .collect();
        assert_ne!(late.await.unwrap().outcome, Outcome::Broken);
        for reply in next {
            let reply = reply.await.unwrap();
            assert_eq!((reply.outcome, reply.own), (Outcome::Complete, true));
        }
    }
    cluster.assert_no_violations();
}
