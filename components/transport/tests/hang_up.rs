//! Callers that disconnect before the end of their answer.

mod support;

use support::{EdgeServer, Reply, ScriptedServer, get, get_within, ok, until};
use tokio::io::AsyncWriteExt;
use transport::edge::Limits;

/// A caller disconnects while the backend server works on the call. The work
/// must be cancelled at once, by closing the connection to the backend server.
#[tokio::test]
async fn cancels_work() {
    let server = ScriptedServer::always(Reply::Hang(String::new())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut stream = edge_server.connect().await;
    stream
        .write_all(get("/hallboard/").as_bytes())
        .await
        .expect("sent");
    until(|| server.requests().len() == 1).await;
    assert_eq!(server.cancelled(), 0);
    drop(stream);
    until(|| server.cancelled() == 1).await;
}

/// The caller disconnects in the middle of a long answer.
#[tokio::test]
async fn cancels_answer() {
    let begun = "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nthe beginning";
    let server = ScriptedServer::always(Reply::Hang(begun.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut stream = edge_server.connect().await;
    stream
        .write_all(get("/hallboard/").as_bytes())
        .await
        .expect("sent");
    until(|| server.requests().len() == 1).await;
    drop(stream);
    until(|| server.cancelled() == 1).await;
}

/// The caller disconnects while it still sends a long body.
#[tokio::test]
async fn cancels_upload() {
    let server = ScriptedServer::always(Reply::Keep(ok("never"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut stream = edge_server.connect().await;
    let head = "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ncontent-length: 1000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&vec![b'a'; 500_000]).await.expect("sent");
    until(|| server.accepted() >= 1).await;
    drop(stream);
    until(|| edge_server.edge.callers() == 0).await;
    assert_eq!(
        server.requests(),
        [],
        "a truncated body was taken for complete"
    );
}

/// An abandoned call may still be answered late. Its connection must not be
/// reused, or the late answer would reach another caller.
#[tokio::test]
async fn late_answer_discarded() {
    let server = ScriptedServer::start(|n, _| match n {
        0 => Reply::Hang("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nfor the first".into()),
        _ => Reply::Keep(ok("for the second")),
    })
    .await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut first = edge_server.connect().await;
    first
        .write_all(get("/hallboard/1").as_bytes())
        .await
        .expect("sent");
    until(|| server.requests().len() == 1).await;
    drop(first);
    let second = edge_server.call(&get("/hallboard/2")).await;
    assert_eq!(second.text(), "for the second");
    let seen = server.requests();
    assert_ne!(seen[0].connection, seen[1].connection);
}

/// A backend server ignores the cancellation and goes on working. Its slot must
/// not go to another call until the deadline, or the server would get more calls
/// than it has slots.
#[tokio::test]
async fn slot_held_until_deadline() {
    let server = ScriptedServer::start(|n, _| match n {
        0 => Reply::Ignore,
        _ => Reply::Keep(ok("free")),
    })
    .await;
    let one_slot = |service: &mut state::preset::Service| service.slots = 1;
    let edge_server = EdgeServer::with(&[&server], one_slot, Limits::default()).await;
    let mut first = edge_server.connect().await;
    let request = get_within("/hallboard/1", 5_000);
    first.write_all(request.as_bytes()).await.expect("sent");
    until(|| server.requests().len() == 1).await;
    drop(first);
    until(|| edge_server.edge.callers() == 0).await;
    let second = edge_server.call(&get_within("/hallboard/2", 200)).await;
    assert_eq!(
        (second.status(), second.outcome().as_str()),
        (503, "not-run"),
        "{second:?}"
    );
    assert_eq!(
        server.requests().len(),
        1,
        "two calls at a server with one slot"
    );
    let third = edge_server.call(&get("/hallboard/3")).await;
    assert_eq!(third.text(), "free", "{third:?}");
}

/// The backend server honours the cancellation. Its slot must serve the next
/// call long before the deadline of the first.
#[tokio::test]
async fn slot_free_once_cancelled() {
    let server = ScriptedServer::start(|n, _| match n {
        0 => Reply::Hang(String::new()),
        _ => Reply::Keep(ok("free")),
    })
    .await;
    let one_slot = |service: &mut state::preset::Service| {
        service.slots = 1;
        service.deadline_ms = 600_000;
    };
    let edge_server = EdgeServer::with(&[&server], one_slot, Limits::default()).await;
    let mut first = edge_server.connect().await;
    first
        .write_all(get("/hallboard/1").as_bytes())
        .await
        .expect("sent");
    until(|| server.requests().len() == 1).await;
    drop(first);
    let second = edge_server.call(&get("/hallboard/2")).await;
    assert_eq!(second.text(), "free", "{second:?}");
}
