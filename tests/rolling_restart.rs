//! A rolling restart of all entry hosts.

mod common;

use common::{Cluster, until};

const SITE: &str = include_str!("common/small.toml");

// Each entry host in turn gets SIGTERM and is replaced by a new process under load. No call may
// break, none may be answered "unknown" (except a retry whose key is still in flight), and each
// process must exit by itself with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_breaks() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.wait_for_answers(300).await;
    for host in 0..cluster.hosts.len() {
        let status = cluster.shut_down(host).await;
        assert_eq!(status.code(), Some(0), "{}", cluster.hosts[host].name);
        cluster.wait_for_answers(100).await;
        cluster.restart_host(host);
        let target = &cluster.targets[host];
        until("the new process is ready", || target.is_up()).await;
        cluster.wait_for_answers(100).await;
    }
    let samples = load.stop().await;
    let failed = cluster.failed_samples(&samples);
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        samples.len()
    );
    cluster.assert_no_violations();
}
