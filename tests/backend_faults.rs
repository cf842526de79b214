//! Backend servers that turn cold, slow down or stop answering under load.

mod common;

use common::Cluster;
use stand_ins::backend::{Knobs, Report};
use stand_ins::history::{Event, Outcome};

const SITE: &str = include_str!("common/small.toml");

// A backend server restarts cold at the same address, and can run only one call at once for a
// while. It must get no more than that, or it sheds all calls; the others must serve the rest.
#[tokio::test(flavor = "multi_thread")]
async fn turns_cold() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(300).await;
    cluster.site.backends("hallboard")[0].set(&Knobs {
        turn_cold: true,
        ..Knobs::default()
    });
    cluster.wait_for_answers(3_000).await;
    let samples = load.stop().await;
    let failed = cluster.describe_failures(&samples);
    assert!(failed.is_empty(), "of {}:\n{failed}", samples.len());
    cluster.assert_no_violations();
}

// A noisy neighbour makes one backend server 20 times slower, while its load report says that it
// is idle. Entry hosts must detect this from its latency and send it less than a tenth of the
// calls of another.
#[tokio::test(flavor = "multi_thread")]
async fn false_load_report() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(500).await;
    let slow = &cluster.site.backends("hallboard")[0];
    let others: Vec<_> = cluster.site.backends("hallboard")[1..].iter().collect();
    slow.set(&Knobs {
        slow: Some(20),
        report: Some(Report::Idle),
        ..Knobs::default()
    });
    cluster.wait_for_answers(1_000).await;
    let before = (slow.counts().started, others[0].counts().started);
    cluster.wait_for_answers(1_500).await;
    let got = slow.counts().started - before.0;
    let fair = others[0].counts().started - before.1;
    assert!(
        got * 10 < fair,
        "the slow backend server got {got} calls, another {fair}"
    );
    let samples = load.stop().await;
    let broken: Vec<_> = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Broken)
        .collect();
    assert_eq!(broken.len(), 0);
    cluster.assert_no_violations();
}

// A middlebox loses its connection state: open connections to a backend server stop passing data
// without a reset, new ones work. Calls on the open ones may fail, but must be answered before
// their deadline, and later calls must use new connections.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let mut cluster = Cluster::start_proxied(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(300).await;
    cluster.site.proxies("hallboard")[0].silence();
    let silent = cluster.site.backends("hallboard")[0].address();
    cluster.wait_for_answers(500).await;
    let since = cluster.history.sorted().last().unwrap().at;
    let answered = |r: &stand_ins::history::Record| match r.event {
        Event::Received { endpoint, .. } if endpoint == silent && r.at > since => Some(()),
        _ => None,
    };
    common::until("new connections are used", || {
        !cluster.select(answered).is_empty()
    })
    .await;
    load.stop().await;
    cluster.assert_no_violations();
}
