//! An entry host is paused until its leases have expired.

mod common;

use common::{Cluster, until};

const SITE: &str = include_str!("common/small.toml");

// A noisy neighbour starves an entry host with queued calls of processor time until its leases have
// expired and other hosts have taken over its slots. After it resumes it must not use these slots:
// no backend server may get more calls at once than its six slots.
#[tokio::test(flavor = "multi_thread")]
async fn slot_limit_kept() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(300).await;
    for _ in 0..2 {
        cluster.pause(0);
        cluster.wait_for_answers(2_500).await;
        cluster.resume(0);
        let target = &cluster.targets[0];
        until("the host is ready again", || target.is_up()).await;
        cluster.wait_for_answers(500).await;
    }
    load.stop().await;
    cluster.assert_no_violations();
}
