//! Membership of entry hosts: joining, leaving, removal after a crash, and joining again.

mod entry_hosts;

use std::time::Duration;

use entry_hosts::{Site, until};
use stand_ins::store::Outage;
use transport::claims::WorkerOptions;
use transport::peers::fetch_config;

#[tokio::test(flavor = "multi_thread")]
async fn join_and_leave() {
    let site = Site::start(3, WorkerOptions::default()).await;
    for host in &site.hosts {
        until(|| host.members.is_member() && host.members.may_act()).await;
    }
    assert!(site.hosts[0].members.leave(Duration::from_secs(20)).await);
    let left = site.hosts[0].key;
    for host in &site.hosts[1..] {
        until(|| !host.links.view().borrow().peers.contains_key(&left)).await;
        until(|| !host.links.is_linked(left)).await;
    }
    assert!(!site.hosts[0].members.may_act());
}

// A host crashes without leaving. The others must detect it, and one of them
// must submit its removal; otherwise its slots would keep a dead owner.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_host() {
    let mut site = Site::start(4, WorkerOptions::default()).await;
    let dead = site.kill(1);
    for host in &site.hosts {
        until(|| !host.links.view().borrow().is_alive(dead)).await;
    }
    for host in &site.hosts {
        until(|| !host.links.view().borrow().peers.contains_key(&dead)).await;
    }
}

// The store is down when a host crashes, so no removal can be written. Neither
// an empty list of hosts nor a missing one may remove a member. The hosts that
// are alive must be able to act as owners: their watchers confirm that no newer
// configuration is known.
#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let mut site = Site::start(4, WorkerOptions::default()).await;
    site.log.set_hosts(Vec::new());
    site.log.change(|b| b.outage = Some(Outage::Refusing));
    let dead = site.kill(1);
    for host in &site.hosts {
        until(|| !host.links.view().borrow().is_alive(dead)).await;
        let progress = host.follower.progress();
        until(|| {
            !progress
                .borrow()
                .is_fresh(transport::clock::now(), Duration::from_secs(3))
        })
        .await;
        until(|| host.members.may_act()).await;
        assert!(host.links.view().borrow().peers.contains_key(&dead));
    }
    site.log.change(|b| b.outage = None);
    for host in &site.hosts {
        until(|| !host.links.view().borrow().peers.contains_key(&dead)).await;
    }
}

// A host was removed, as happens after a long pause of its process. It must
// notice the removal and join again under a new incarnation, and the others must
// link to it again.
#[tokio::test(flavor = "multi_thread")]
async fn removed_and_rejoined() {
    use coordination::config::Change;
    use transport::log::{CommandRequest, Outcome, Submission};

    let site = Site::start(3, WorkerOptions::default()).await;
    let host = &site.hosts[0];
    let old = host.members.own_id();
    let follower = std::sync::Arc::clone(&site.hosts[1].follower);
    let submission = Submission::new(site.client(), follower, Duration::from_secs(10));
    let request = CommandRequest {
        id: None,
        decided_on: None,
        change: Change::Remove {
            host: old.host,
            incarnation: old.incarnation,
        },
    };
    let outcome = tokio::task::spawn_blocking(move || submission.submit(&request))
        .await
        .unwrap();
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    until(|| host.members.own_id() != old && host.members.is_member()).await;
    for other in &site.hosts[1..] {
        until(|| other.links.is_linked(host.key) && other.links.view().borrow().is_alive(host.key))
            .await;
    }
    until(|| host.members.may_act()).await;
}

// A new host starts while the store is down. It must get the configuration, with
// its revision, from a peer.
#[tokio::test(flavor = "multi_thread")]
async fn config_from_peer() {
    let site = Site::start(2, WorkerOptions::default()).await;
    let config = site.hosts[0].follower.config().borrow().clone();
    let address = config.members[&site.hosts[0].key].peer;
    site.log.change(|b| b.outage = Some(Outage::Refusing));
    let late = site
        .start_host("entry-9", 9, WorkerOptions::default())
        .await;
    let offer = fetch_config(address).await.unwrap();
    assert!(late.follower.install_record(&offer.body));
    until(|| late.follower.config().borrow().revision == config.revision).await;
    assert_eq!(late.follower.config().borrow().members, config.members);
}
