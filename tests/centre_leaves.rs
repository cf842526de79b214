//! Operators take a data centre out of service under load and bring it back.

mod common;

use common::{Cluster, until};
use stand_ins::history::{Event, Order, Outcome};

const SITE: &str = include_str!("common/small.toml");

// A data centre is taken out of service while long calls are in flight there. No call may break,
// none that the other data centres have room for may be refused, and after a few seconds the
// data centre must get no new calls. After it is brought back it must serve again.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_fails() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(300).await;
    let long: Vec<_> = (0..4)
        .map(|_| cluster.new_call("GET", "/hallboard/archive?work-ms=3000"))
        .map(|call| cluster.send(1, &call))
        .collect();
    cluster.wait_for_answers(50).await;
    cluster
        .site
        .order(Order::CentreLeaves, "trent")
        .await
        .unwrap();
    for reply in long {
        assert_eq!(reply.await.unwrap().outcome, Outcome::Complete);
    }
    cluster.wait_for_answers(1_500).await;
    cluster
        .site
        .order(Order::CentreReturns, "trent")
        .await
        .unwrap();
    let back = cluster.history.sorted().last().unwrap().at;
    let trent = cluster.site.backends("hallboard")[0].address();
    let served = |r: &stand_ins::history::Record| match r.event {
        Event::Received { endpoint, .. } if endpoint == trent && r.at > back => Some(()),
        _ => None,
    };
    until("trent serves again", || !cluster.select(served).is_empty()).await;
    cluster.wait_for_answers(500).await;
    let samples = load.stop().await;
    let failed = cluster.describe_failures(&samples);
    assert!(failed.is_empty(), "of {}:\n{failed}", samples.len());
    cluster.assert_no_violations();
}
