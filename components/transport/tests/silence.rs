//! Connections to backend servers that go silent, and idle ones that are closed.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use support::{EdgeServer, Reply, ScriptedServer, get, get_within, ok, until};

/// A middlebox loses track of all open connections. The first call on a reused
/// connection is lost; later ones must not use the other old connections.
#[tokio::test]
async fn idle_connections_dropped() {
    let lost = Arc::new(AtomicUsize::new(0));
    let lost_below = Arc::clone(&lost);
    let server = ScriptedServer::start(move |_, seen| {
        match seen.connection < lost_below.load(Ordering::SeqCst) {
            true => Reply::Hang(String::new()),
            false => Reply::Keep(ok("well")),
        }
    })
    .await;
    let edge_server = EdgeServer::start(&[&server]).await;
    while edge_server.edge.idle_connections() < 2 {
        assert_eq!(edge_server.call(&get("/hallboard/")).await.text(), "well");
    }
    lost.store(server.accepted(), Ordering::SeqCst);
    let first = edge_server.call(&get_within("/hallboard/", 1_000)).await;
    assert_eq!(
        (first.status(), first.outcome().as_str()),
        (504, "unknown"),
        "{first:?}"
    );
    for _ in 0..5 {
        let next = edge_server.call(&get("/hallboard/")).await;
        assert_eq!(next.text(), "well", "{next:?}");
    }
}

/// A backend server closes its idle connections. A call must not be sent on a
/// closed one, where it would be lost.
#[tokio::test]
async fn closed_while_idle() {
    let server = ScriptedServer::always(Reply::Close(ok("well"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    for n in 0..20 {
        let request = support::post("/hallboard/deposits", "12 pounds");
        let answer = edge_server.call(&request).await;
        assert_eq!(answer.outcome(), "complete", "call {n}: {answer:?}");
    }
    assert_eq!(server.requests().len(), 20);
}

/// Idle connections must be closed before the backend server would close them.
#[tokio::test]
async fn idle_expired() {
    let server = ScriptedServer::always(Reply::Keep(ok("well"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    edge_server.call(&get("/hallboard/")).await;
    assert!(edge_server.edge.idle_connections() > 0);
    until(|| edge_server.edge.idle_connections() == 0).await;
}
