//! An entry host is paused while the configuration changes.

mod common;

use std::time::{Duration, Instant};

use common::Cluster;
use coordination::config::Record;
use protocol::config_record::decode_record;
use stand_ins::history::{Order, Outcome};
use transport::log::{BlockingStoreClient, CONFIG_STREAM, STORE_TIMEOUT};

const SITE: &str = include_str!("common/small.toml");

async fn revision(cluster: &Cluster, host: usize) -> u64 {
    cluster.status(host).await["revision"].as_u64().unwrap()
}

/// Waits until the hosts that are not paused show a revision, so that the store drops no record
/// that they still need.
async fn wait_for_revision(cluster: &Cluster, expected: u64) {
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    for host in [1, 2] {
        while revision(cluster, host).await < expected {
            assert!(
                Instant::now() < deadline,
                "revision {expected} is not in force"
            );
        }
    }
}

/// Returns whether the store holds a snapshot for hosts that missed records.
fn has_snapshot(cluster: &Cluster) -> bool {
    let client = BlockingStoreClient::new(cluster.site.store.address(), STORE_TIMEOUT);
    let page = client.read(CONFIG_STREAM, 0, None, Duration::ZERO).unwrap();
    let mut records = page.records.iter().map(decode_record);
    records.any(|r| matches!(r, Ok(Record::Snapshot(_))))
}

// An entry host's process is paused (by a migration of its virtual machine, for instance) while
// operators take a data centre out of service and the store drops the record of that. Calls that
// reach the host wait in its sockets. After it resumes, it must send no call to that data centre,
// its revision must never go down, and it must catch up although the records are gone.
#[tokio::test(flavor = "multi_thread")]
async fn missed_records() {
    let mut cluster = Cluster::start(SITE).await;
    let before = revision(&cluster, 0).await;
    cluster.pause(0);
    let left = cluster
        .site
        .order(Order::CentreLeaves, "trent")
        .await
        .unwrap();
    wait_for_revision(&cluster, left).await;
    cluster.site.store.change(|b| b.keep_records = Some(8));
    let waiting: Vec<_> = (0..12)
        .map(|_| cluster.new_call("GET", "/hallboard/free?work-ms=5"))
        .map(|call| cluster.send(0, &call))
        .collect();
    for _ in 0..6 {
        for order in [Order::CentreLeaves, Order::CentreReturns] {
            let expected = cluster.site.order(order, "soar").await.unwrap();
            wait_for_revision(&cluster, expected).await;
        }
    }
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    while !has_snapshot(&cluster) {
        assert!(Instant::now() < deadline, "no host writes a snapshot");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    cluster.resume(0);
    let mut shown = before;
    while shown < left {
        assert!(Instant::now() < deadline, "revision {shown}, not {left}");
        let now = revision(&cluster, 0).await;
        assert!(now >= shown, "revision {now} after {shown}");
        shown = now;
    }
    for reply in waiting {
        assert_eq!(reply.await.unwrap().outcome, Outcome::Complete);
    }
    cluster.assert_no_violations();
}
