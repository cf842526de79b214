//! Operators race one another, and repeat commands.

mod common;

use common::{Cluster, until};
use stand_ins::history::{Event, Order};
use stand_ins::site::SiteError;
use transport::log::Outcome;

const SITE: &str = include_str!("common/small.toml");

// In a flood, two operators choose the peak and the maintenance preset at the same
// moment, each having looked at the same revision. One of them must be told that
// the other was first, and every entry host must act on the same choice.
#[tokio::test(flavor = "multi_thread")]
async fn one_choice() {
    let mut cluster = Cluster::start(SITE).await;
    cluster.site.put_preset("peak").await.unwrap();
    let looked = cluster.site.put_preset("maintenance").await.unwrap();
    let choose = |name| {
        cluster
            .site
            .order_at_revision(Some(looked), Order::Choose, name)
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
        cluster.event("the choice is in force", shows).await;
    }
    cluster.assert_kept();
}

// A data centre is taken out and brought back twice within seconds, at once with a
// change of the preset, by operators who can't agree. Calls go on, and the last
// word is in force everywhere.
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
        cluster.more_answers(100).await;
        cluster
            .site
            .order(Order::CentreReturns, "severn")
            .await
            .unwrap();
        cluster.more_answers(100).await;
    }
    load.stop().await;
    let revision = cluster.picked(|r| match r.event {
        Event::Ordered { revision, .. } => Some(revision),
        _ => None,
    });
    let last = revision.into_iter().max().unwrap();
    let shown = |host: &str| {
        let seen = cluster.picked(|r| match &r.event {
            Event::Seen {
                host: h, revision, ..
            } if h == host => Some(*revision),
            _ => None,
        });
        seen.last().is_some_and(|r| *r >= last)
    };
    until("the last word is in force", || {
        cluster.hosts.iter().all(|h| shown(&h.name))
    })
    .await;
    let tally = cluster.tally();
    assert_eq!((tally.broken, tally.unreachable), (0, 0), "{tally:?}");
    cluster.assert_kept();
}
