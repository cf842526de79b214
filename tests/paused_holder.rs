//! An entry host is paused past its leases.

mod common;

use common::{Cluster, until};

const SITE: &str = include_str!("common/small.toml");

// A noisy neighbour starves an entry host of processor time for longer than its
// slots are leased to it, with calls queued. When it runs on it must not use the
// slots that others hold by now: no backend server may ever get a seventh call.
#[tokio::test(flavor = "multi_thread")]
async fn never_a_seventh_call() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.more_answers(300).await;
    for _ in 0..2 {
        cluster.pause(0);
        cluster.more_answers(2_500).await;
        cluster.resume(0);
        let target = &cluster.targets[0];
        until("the host is ready again", || target.is_up()).await;
        cluster.more_answers(500).await;
    }
    load.stop().await;
    cluster.assert_kept();
}
