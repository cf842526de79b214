//! Which failed calls are retried, and which must not be.

mod support;

use std::net::SocketAddr;

use support::{Answer, EdgeServer, Reply, ScriptedServer, field, get, ok, post};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use transport::edge::Limits;

const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\ncardamomvale-not-run: 1\r\nretry-after: 7\r\ncontent-length: 4\r\n\r\nshed";

/// Returns an address where nothing listens.
async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// A backend server rejects a non-idempotent call as not run. It is safe to
/// retry the call at another one, and the caller gets its answer.
#[tokio::test]
async fn rejection_retried() {
    let full = ScriptedServer::always(Reply::Keep(SHED.into())).await;
    let free = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let edge_server = EdgeServer::start(&[&full, &free]).await;
    for _ in 0..4 {
        let answer = edge_server
            .call(&post("/hallboard/deposits", "12 pounds"))
            .await;
        assert_eq!(
            (answer.text().as_str(), answer.outcome().as_str()),
            ("taken", "complete")
        );
    }
    assert_eq!(free.requests().len(), 4);
}

/// All backend servers reject the call: the answer must be "not-run" with the
/// `Retry-After` of the backend server.
#[tokio::test]
async fn all_reject() {
    let servers = [
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
    ];
    let edge_server = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    let answer = edge_server
        .call(&post("/hallboard/deposits", "12 pounds"))
        .await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    assert_eq!(field(&answer.head, "retry-after").as_deref(), Some("7"));
    assert_eq!(servers[0].requests().len() + servers[1].requests().len(), 2);
}

/// A backend server is down: nothing was sent, so that even a non-idempotent
/// call must be retried at another one.
#[tokio::test]
async fn unreachable_retried() {
    let free = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let down = closed_port().await;
    let edge_server = EdgeServer::with(
        &[&free],
        |service| {
            let mut endpoint = service.endpoints[0].clone();
            endpoint.address = down;
            service.endpoints.push(endpoint);
        },
        Limits::default(),
    )
    .await;
    for _ in 0..4 {
        let answer = edge_server
            .call(&post("/hallboard/deposits", "12 pounds"))
            .await;
        assert_eq!(answer.text(), "taken", "{answer:?}");
    }
}

/// The connection breaks after a non-idempotent call has been sent. The call may
/// have run, so a retry could run it twice.
#[tokio::test]
async fn non_idempotent_sent_once() {
    let servers = [
        ScriptedServer::always(Reply::Close(String::new())).await,
        ScriptedServer::always(Reply::Close(String::new())).await,
    ];
    let edge_server = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    let answer = edge_server
        .call(&post("/hallboard/deposits", "12 pounds"))
        .await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (502, "unknown"),
        "{answer:?}"
    );
    assert_eq!(servers[0].requests().len() + servers[1].requests().len(), 1);
}

/// The connection breaks after an idempotent call has been sent: a retry is safe.
#[tokio::test]
async fn idempotent_retried() {
    let broken = ScriptedServer::always(Reply::Close(String::new())).await;
    let healthy = ScriptedServer::always(Reply::Keep(ok("free on Friday"))).await;
    let edge_server = EdgeServer::start(&[&broken, &healthy]).await;
    for _ in 0..4 {
        let answer = edge_server.call(&get("/hallboard/halls")).await;
        assert_eq!(answer.text(), "free on Friday", "{answer:?}");
    }
}

/// An idempotent call may have run at one backend server, and the others then
/// reject its retry. The outcome must not be "not-run".
#[tokio::test]
async fn unknown_stays_unknown() {
    let broken = ScriptedServer::always(Reply::Close(String::new())).await;
    let full = ScriptedServer::start(|_, _| Reply::Keep(SHED.into())).await;
    let edge_server = EdgeServer::start(&[&broken, &full]).await;
    let mut outcomes = Vec::new();
    for _ in 0..4 {
        let before = broken.requests().len();
        let answer = edge_server.call(&get("/hallboard/halls")).await;
        let reached = broken.requests().len() > before;
        outcomes.push((reached, answer.outcome()));
    }
    assert!(outcomes.contains(&(true, "unknown".into())), "{outcomes:?}");
    assert!(
        !outcomes.contains(&(true, "not-run".into())),
        "{outcomes:?}"
    );
}

/// All calls fail for a while. Without a retry budget each call would be sent
/// twice, and the retries would keep the backend servers overloaded.
#[tokio::test]
async fn retry_budget_limits() {
    let servers = [
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
    ];
    let edge_server = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    for _ in 0..200 {
        edge_server.call(&get("/hallboard/halls")).await;
    }
    let sent = servers[0].requests().len() + servers[1].requests().len();
    assert!(sent <= 200 + 20 + 20, "200 calls became {sent}");
}

/// A body too long to be buffered must be sent only once: its beginning can't be
/// sent again.
#[tokio::test]
async fn long_body_sent_once() {
    let servers = [
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
    ];
    let edge_server = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    let mut stream = edge_server.connect().await;
    let request = post("/hallboard/scores", &"a".repeat(300_000));
    stream.write_all(request.as_bytes()).await.expect("sent");
    let answer = Answer::read(&mut stream).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    let seen = [servers[0].requests(), servers[1].requests()].concat();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].body.len(), 300_000);
}
