//! Concurrent and repeated commands of operators.

mod common;

use common::{Cluster, until};
use stand_ins::history::{Event, Order};
use stand_ins::site::SiteError;
use transport::log::Outcome;

const SITE: &str = include_str!("common/small.toml");

// Two operators choose different presets at the same moment, both based on the same revision. One
// command must be refused, and every entry host must apply the other one.
#[tokio::test(flavor = "multi_thread")]
async fn one_choice() {
    let mut cluster = Cluster::start(SITE).await;
    cluster.site.put_preset("peak").await.unwrap();
    let base_revision = cluster.site.put_preset("maintenance").await.unwrap();
    let choose = |name| {
        cluster
            .site
            .order_at_revision(Some(base_revision), Order::Choose, name)
    };
    let (peak, maintenance) = tokio::join!(choose("peak"), choose("maintenance"));
    let accepted = [&peak, &maintenance].into_iter().flatten().count();
    let refused = [&peak, &maintenance]
        .into_iter()
        .filter(|r| matches!(r, Err(SiteError::NotAccepted(Outcome::Refused { .. }))));
    assert_eq!(
        (accepted, refused.count()),
        (1, 1),
        "{peak:?} {maintenance:?}"
    );
    let chosen = if peak.is_ok() { "peak" } else { "maintenance" };
    for host in cluster.hosts.iter().map(|h| h.name.clone()) {
        let shows = |e: &Event| {
            matches!(e, Event::Seen { host: h, preset, .. }
                if *h == host && preset.as_deref() == Some(chosen))
        };
        cluster
            .wait_for_event("the choice is in force", shows)
            .await;
    }
    cluster.assert_no_violations();
}

// A data centre is taken out of service and brought back twice within seconds, at the same time as
// presets are chosen. No call may fail to connect or break, and the last revision must reach every
// entry host.
#[tokio::test(flavor = "multi_thread")]
async fn twice_in_a_row() {
    let mut cluster = Cluster::start(SITE).await;
    let load = cluster.load();
    cluster.site.put_preset("peak").await.unwrap();
    for _ in 0..2 {
        let leave = cluster.site.order(Order::CentreLeaves, "severn");
        let choose = cluster.site.order(Order::Choose, "peak");
        let (leave, choose) = tokio::join!(leave, choose);
        assert!(leave.is_ok() && choose.is_ok(), "{leave:?} {choose:?}");
        cluster.wait_for_answers(100).await;
        cluster
            .site
            .order(Order::CentreReturns, "severn")
            .await
            .unwrap();
        cluster.wait_for_answers(100).await;
    }
    load.stop().await;
    let revision = cluster.select(|r| match r.event {
        Event::Ordered { revision, .. } => Some(revision),
        _ => None,
    });
    let last = revision.into_iter().max().unwrap();
    let shown = |host: &str| {
        let seen = cluster.select(|r| match &r.event {
            Event::Seen {
                host: h, revision, ..
            } if h == host => Some(*revision),
            _ => None,
        });
        seen.last().is_some_and(|r| *r >= last)
    };
    until("the last revision is in force", || {
        cluster.hosts.iter().all(|h| shown(&h.name))
    })
    .await;
    let tally = cluster.tally();
    assert_eq!((tally.broken, tally.unreachable), (0, 0), "{tally:?}");
    cluster.assert_no_violations();
}
