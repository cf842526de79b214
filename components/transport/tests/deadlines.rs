//! Deadlines of calls: how they are capped, forwarded and enforced.

mod support;

use support::{Answer, EdgeServer, Reply, ScriptedServer, field, get_within, ok, until};
use tokio::io::AsyncWriteExt;
use transport::edge::Limits;

fn forwarded_deadline(server: &ScriptedServer) -> u64 {
    let head = &server.requests()[0].head;
    let time = field(head, "cardamomvale-deadline-ms").expect("a deadline");
    time.parse().expect("a number")
}

#[tokio::test]
async fn deadline_forwarded() {
    let server = ScriptedServer::always(Reply::Keep(ok("done"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    edge_server.call(&get_within("/hallboard/", 15_000)).await;
    let forwarded = forwarded_deadline(&server);
    assert!(
        (1..=15_000).contains(&forwarded),
        "forwarded {forwarded} ms"
    );
}

#[tokio::test]
async fn capped_by_service() {
    let server = ScriptedServer::always(Reply::Keep(ok("done"))).await;
    let edge_server =
        EdgeServer::with(&[&server], |s| s.deadline_ms = 3_000, Limits::default()).await;
    edge_server
        .call(&get_within("/hallboard/", 3_600_000))
        .await;
    let forwarded = forwarded_deadline(&server);
    assert!((1..=3_000).contains(&forwarded), "forwarded {forwarded} ms");
}

/// A call arrives with no time left. It must not be sent: the backend server
/// would do work whose answer no one waits for.
#[tokio::test]
async fn no_time_left() {
    let server = ScriptedServer::always(Reply::Keep(ok("done"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get_within("/hallboard/", 0)).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    assert_eq!(server.requests(), []);
}

/// Under overload calls get their slot when hardly any time is left. A backend server that
/// receives 0 ms rejects the call as not run, which looks like an overloaded server, and the host
/// would give it fewer calls for a second. Such a call must not be sent.
#[tokio::test]
async fn last_millisecond() {
    let server = ScriptedServer::always(Reply::Keep(ok("done"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    for _ in 0..50 {
        edge_server.call(&get_within("/hallboard/", 1)).await;
    }
    edge_server.call(&get_within("/hallboard/", 15_000)).await;
    let sent_without_time = server
        .requests()
        .iter()
        .filter(|r| field(&r.head, "cardamomvale-deadline-ms").as_deref() == Some("0"))
        .count();
    assert_eq!(sent_without_time, 0);
}

/// A backend server accepts the request and never answers. At the deadline the
/// caller must get the outcome "unknown", and the work must be cancelled.
#[tokio::test]
async fn silent_server() {
    let server = ScriptedServer::always(Reply::Hang(String::new())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get_within("/hallboard/", 200)).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (504, "unknown"),
        "{answer:?}"
    );
    until(|| server.cancelled() == 1).await;
}

/// An answer begins and then stalls past the deadline. Its head has been sent,
/// so the caller's connection must be closed before the answer looks complete.
#[tokio::test]
async fn stalled_answer() {
    let begun = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nthe beginning";
    let server = ScriptedServer::always(Reply::Hang(begun.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get_within("/hallboard/", 200)).await;
    assert!(answer.reset || answer.body.len() < 1000, "{answer:?}");
    until(|| server.cancelled() == 1).await;
}

/// A host shuts down with a call in flight. The call must complete, with
/// `Connection: close` in its answer, before the drain ends.
#[tokio::test]
async fn drain_waits() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut held = edge_server.connect().await;
    let start = "POST /hallboard/slow HTTP/1.1\r\nhost: e\r\ncontent-length: 4\r\n\r\nab";
    held.write_all(start.as_bytes()).await.expect("sent");
    until(|| edge_server.edge.callers() == 1).await;
    let drained = tokio::spawn(edge_server.edge.drain(std::time::Duration::ZERO));
    held.write_all(b"cd").await.expect("sent");
    let answer = Answer::read(&mut held).await;
    assert_eq!(answer.text(), "prompt");
    assert_eq!(field(&answer.head, "connection").as_deref(), Some("close"));
    tokio::time::timeout(support::GENEROUS, drained)
        .await
        .expect("the drain ends")
        .expect("without a panic");
    let late = tokio::net::TcpStream::connect(edge_server.address).await;
    assert!(late.is_err(), "a drained host accepts nobody");
}
