//! Every entry host is replaced in turn.

mod common;

use common::{Rig, until};

const SITE: &str = include_str!("common/small.toml");

// Operators replace the entry hosts one by one on a working day, each by SIGTERM
// and a new process. A secretary must not notice: no call may break, none may be
// answered "unknown" (but for repeats of a key that is still in flight), and the process must end by itself with 0.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_breaks() {
    let mut rig = Rig::start(SITE).await;
    let load = rig.load();
    rig.more_answers(300).await;
    for host in 0..rig.hosts.len() {
        let status = rig.shut_down(host).await;
        assert_eq!(status.code(), Some(0), "{}", rig.hosts[host].name);
        rig.more_answers(100).await;
        rig.start_again(host);
        let target = &rig.targets[host];
        until("the new process is ready", || target.is_up()).await;
        rig.more_answers(100).await;
    }
    let samples = load.stop().await;
    let harmed = rig.harmed(&samples);
    assert!(
        harmed.is_empty(),
        "{} of {}: {harmed:?}",
        harmed.len(),
        samples.len()
    );
    rig.assert_kept();
}
