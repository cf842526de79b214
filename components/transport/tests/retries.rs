//! What is tried again, and what never is.

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

/// A backend server refuses a deposit and says that it did not run. It is
/// safe, and kinder to the caller, to ask another one.
#[tokio::test]
async fn shed_goes_elsewhere() {
    let full = ScriptedServer::always(Reply::Keep(SHED.into())).await;
    let free = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let site = EdgeServer::start(&[&full, &free]).await;
    for _ in 0..4 {
        let answer = site.call(&post("/hallboard/deposits", "12 pounds")).await;
        assert_eq!(
            (answer.text().as_str(), answer.outcome().as_str()),
            ("taken", "complete")
        );
    }
    assert_eq!(free.requests().len(), 4);
}

/// All refuse: the caller learns that nothing ran, and when to come back.
#[tokio::test]
async fn all_shed() {
    let servers = [
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
    ];
    let site = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    let answer = site.call(&post("/hallboard/deposits", "12 pounds")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    assert_eq!(field(&answer.head, "retry-after").as_deref(), Some("7"));
    assert_eq!(servers[0].requests().len() + servers[1].requests().len(), 2);
}

/// A backend server is down: nothing was sent, so even a deposit may go elsewhere.
#[tokio::test]
async fn unreachable_goes_elsewhere() {
    let free = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let down = closed_port().await;
    let site = EdgeServer::with(
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
        let answer = site.call(&post("/hallboard/deposits", "12 pounds")).await;
        assert_eq!(answer.text(), "taken", "{answer:?}");
    }
}

/// A backend server takes a deposit and its connection breaks before the
/// answer. The deposit may be taken: sending it again might take it twice.
#[tokio::test]
async fn deposit_sent_once() {
    let servers = [
        ScriptedServer::always(Reply::Close(String::new())).await,
        ScriptedServer::always(Reply::Close(String::new())).await,
    ];
    let site = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    let answer = site.call(&post("/hallboard/deposits", "12 pounds")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (502, "unknown"),
        "{answer:?}"
    );
    assert_eq!(servers[0].requests().len() + servers[1].requests().len(), 1);
}

/// The same break with a lookup: asking again does no harm.
#[tokio::test]
async fn lookup_sent_again() {
    let broken = ScriptedServer::always(Reply::Close(String::new())).await;
    let well = ScriptedServer::always(Reply::Keep(ok("free on Friday"))).await;
    let site = EdgeServer::start(&[&broken, &well]).await;
    for _ in 0..4 {
        let answer = site.call(&get("/hallboard/halls")).await;
        assert_eq!(answer.text(), "free on Friday", "{answer:?}");
    }
}

/// A lookup may have run at one backend server and is then refused by the
/// rest. "Not run" would be untrue of it.
#[tokio::test]
async fn unknown_stays_unknown() {
    let broken = ScriptedServer::always(Reply::Close(String::new())).await;
    let full = ScriptedServer::start(|_, _| Reply::Keep(SHED.into())).await;
    let site = EdgeServer::start(&[&broken, &full]).await;
    let mut outcomes = Vec::new();
    for _ in 0..4 {
        let before = broken.requests().len();
        let answer = site.call(&get("/hallboard/halls")).await;
        let reached = broken.requests().len() > before;
        outcomes.push((reached, answer.outcome()));
    }
    assert!(outcomes.contains(&(true, "unknown".into())), "{outcomes:?}");
    assert!(
        !outcomes.contains(&(true, "not-run".into())),
        "{outcomes:?}"
    );
}

/// Everything fails for a while. Without a budget each call would become two,
/// and the backend servers would be kept down by the retries.
#[tokio::test]
async fn budget_holds() {
    let servers = [
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
    ];
    let site = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    for _ in 0..200 {
        site.call(&get("/hallboard/halls")).await;
    }
    let sent = servers[0].requests().len() + servers[1].requests().len();
    assert!(sent <= 200 + 20 + 20, "200 calls became {sent}");
}

/// A body too long to keep is sent once: its beginning is gone by then.
#[tokio::test]
async fn long_body_sent_once() {
    let servers = [
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
        ScriptedServer::always(Reply::Keep(SHED.into())).await,
    ];
    let site = EdgeServer::start(&[&servers[0], &servers[1]]).await;
    let mut stream = site.connect().await;
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
