//! Connections to backend servers that go silent, and kept ones that are closed.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use support::{Reply, Server, Site, get, get_within, ok, until};

/// Something between the two ends loses track of all open connections. The
/// first call on a kept one is lost; those after it must not try the others.
#[tokio::test]
async fn kept_connections_doubted() {
    let lost = Arc::new(AtomicUsize::new(0));
    let lost_below = Arc::clone(&lost);
    let server =
        Server::start(
            move |_, seen| match seen.connection < lost_below.load(Ordering::SeqCst) {
                true => Reply::Hang(String::new()),
                false => Reply::Keep(ok("well")),
            },
        )
        .await;
    let site = Site::start(&[&server]).await;
    while site.edge.idle_connections() < 2 {
        assert_eq!(site.ask(&get("/hallboard/")).await.text(), "well");
    }
    lost.store(server.accepted(), Ordering::SeqCst);
    let first = site.ask(&get_within("/hallboard/", 1_000)).await;
    assert_eq!(
        (first.status(), first.outcome().as_str()),
        (504, "unknown"),
        "{first:?}"
    );
    for _ in 0..5 {
        let next = site.ask(&get("/hallboard/")).await;
        assert_eq!(next.text(), "well", "{next:?}");
    }
}

/// A backend server closes its idle connections. A call must not be sent on a
/// closed one, where it would be lost between the two ends.
#[tokio::test]
async fn closed_while_idle() {
    let server = Server::always(Reply::Close(ok("well"))).await;
    let site = Site::start(&[&server]).await;
    for n in 0..20 {
        let request = support::post("/hallboard/deposits", "12 pounds");
        let answer = site.ask(&request).await;
        assert_eq!(answer.outcome(), "complete", "call {n}: {answer:?}");
    }
    assert_eq!(server.seen().len(), 20);
}

/// Idle connections are given up before the backend server would close them.
#[tokio::test]
async fn idle_aged_out() {
    let server = Server::always(Reply::Keep(ok("well"))).await;
    let site = Site::start(&[&server]).await;
    site.ask(&get("/hallboard/")).await;
    assert!(site.edge.idle_connections() > 0);
    until(|| site.edge.idle_connections() == 0).await;
}
