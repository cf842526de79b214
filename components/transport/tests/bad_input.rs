//! Requests that are malformed, too large, too slow or not HTTP at all.
//!
//! Most get a 4xx answer with the outcome "not-run" and one line that states
//! what is wrong, and no backend server receives them.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{Answer, EdgeServer, Reply, ScriptedServer, get, ok};
use tokio::io::AsyncWriteExt;
use transport::edge::Limits;

fn too_many_fields() -> String {
    let fields: String = (0..5_000).map(|n| format!("x-{n}: filler\r\n")).collect();
    format!("GET /hallboard/ HTTP/1.1\r\nhost: entry\r\n{fields}")
}

/// A faulty or hostile caller sends an invalid request. The answer must state
/// what is wrong, and that nothing ran.
#[rstest]
#[case::not_http("\u{1}\u{2}\u{3} hello\r\n\r\n".into(), 400, "valid HTTP/1.1")]
#[case::http_2("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(), 400, "valid HTTP/1.1")]
#[case::two_lengths(
    "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd".into(),
    400, "valid HTTP/1.1"
)]
#[case::length_no_number(
    "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ncontent-length: ten\r\n\r\n".into(),
    400, "valid HTTP/1.1"
)]
#[case::lying_chunk(
    "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcdefg\r\n0\r\n\r\n".into(),
    400, "body of the request is broken"
)]
#[case::chunk_no_number(
    "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n".into(),
    400, "body of the request is broken"
)]
#[case::too_many_fields(too_many_fields(), 431, "head of the request is too large")]
#[case::long_field(
    format!("GET /hallboard/ HTTP/1.1\r\nx: {}", "a".repeat(100_000)),
    431, "head of the request is too large"
)]
#[case::large_body(
    "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ncontent-length: 2000000\r\n\r\n".into(),
    413, "larger than 1048576 bytes"
)]
#[case::unknown_service(get("/ledgerhouse/accounts"), 404, "\"ledgerhouse\"")]
#[case::no_service(get("/"), 404, "no service is named")]
#[case::bad_deadline(
    "GET /hallboard/ HTTP/1.1\r\nhost: e\r\ncardamomvale-deadline-ms: soon\r\nconnection: close\r\n\r\n".into(),
    400, "whole number of milliseconds"
)]
#[case::empty_key(
    "POST /hallboard/ HTTP/1.1\r\nhost: e\r\nidempotency-key: \r\ncontent-length: 0\r\nconnection: close\r\n\r\n".into(),
    400, "Idempotency-Key"
)]
#[case::tunnel(
    "CONNECT hallboard:80 HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n".into(),
    501, "CONNECT"
)]
#[tokio::test]
async fn refused(#[case] request: String, #[case] status: u16, #[case] line: &str) {
    let server = ScriptedServer::always(Reply::Keep(ok("reached"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&request).await;
    assert_eq!(answer.status(), status, "{answer:?}");
    assert_eq!(answer.outcome(), "not-run", "{answer:?}");
    assert!(answer.text().contains(line), "{answer:?}");
    assert_eq!(answer.text().lines().count(), 1, "{answer:?}");
    assert_eq!(server.requests(), [], "the backend server saw something");
}

/// A valid call is followed by bytes that are no request, on the same
/// connection. The call must still get its own answer.
#[tokio::test]
async fn garbage_after_call() {
    let server =
        ScriptedServer::always(Reply::Keep(ok("HTTP/1.1 400 is what the page is about"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut stream = edge_server.connect().await;
    let call = "GET /hallboard/ HTTP/1.1\r\nhost: entry\r\n\r\n";
    stream.write_all(call.as_bytes()).await.expect("sent");
    support::until(|| server.requests().len() == 1).await;
    stream
        .write_all(b"and now for nonsense\r\n\r\n")
        .await
        .expect("sent");
    let answer = Answer::read(&mut stream).await;
    assert!(
        answer
            .text()
            .starts_with("HTTP/1.1 400 is what the page is about"),
        "{answer:?}"
    );
}

/// Request smuggling: a request has both a Content-Length and chunked coding,
/// and the two disagree. A balancer in front that uses the length takes the rest
/// as part of the body. The entry host must not run that rest as a second call,
/// which would count as another caller's.
#[tokio::test]
async fn smuggled_call() {
    let server = ScriptedServer::always(Reply::Keep(ok("first"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let hidden = "GET /hallboard/hidden HTTP/1.1\r\nhost: e\r\n\r\n";
    let length = hidden.len() + 5;
    let request = format!(
        "POST /hallboard/a HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"
    );
    let answer = edge_server.call(&request).await;
    assert_eq!(answer.text(), "first", "{answer:?}");
    let seen = server.requests();
    assert_eq!(seen.len(), 1, "{seen:?}");
    assert_eq!(
        support::field(&seen[0].head, "content-length").as_deref(),
        Some("0")
    );
}

/// A thousand slow or hostile callers never finish the head of their request.
/// Another caller must still be answered, and each of the thousand times out.
#[tokio::test]
async fn slow_heads() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let limits = Limits {
        head_timeout: Duration::from_millis(500),
        ..Limits::default()
    };
    let edge_server = EdgeServer::with(&[&server], |_| {}, limits).await;
    let mut slow = Vec::new();
    for _ in 0..1_000 {
        let mut stream = edge_server.connect().await;
        stream.write_all(b"GET /hallboard/ HT").await.expect("sent");
        slow.push(stream);
    }
    assert_eq!(edge_server.call(&get("/hallboard/")).await.text(), "prompt");
    for stream in &mut slow {
        let answer = Answer::read(stream).await;
        assert_eq!(
            (answer.status(), answer.outcome().as_str()),
            (408, "not-run"),
            "{answer:?}"
        );
    }
}

/// Callers announce a body and send only its beginning. They must occupy no
/// slots: a body this small is read before a slot is acquired.
#[tokio::test]
async fn slow_bodies_hold_no_slot() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut slow = Vec::new();
    for _ in 0..200 {
        let mut stream = edge_server.connect().await;
        let start = "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ncontent-length: 60000\r\n\r\nabc";
        stream.write_all(start.as_bytes()).await.expect("sent");
        slow.push(stream);
    }
    assert_eq!(edge_server.call(&get("/hallboard/")).await.text(), "prompt");
    assert_eq!(server.requests().len(), 1);
}

/// More callers connect than the limit allows. Each one beyond the limit must get
/// a 503 with the outcome "not-run" at once.
#[tokio::test]
async fn too_many_callers() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let limits = Limits {
        max_callers: 3,
        ..Limits::default()
    };
    let edge_server = EdgeServer::with(&[&server], |_| {}, limits).await;
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(edge_server.connect().await);
    }
    support::until(|| edge_server.edge.callers() == 3).await;
    let answer = edge_server.call(&get("/hallboard/")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    assert!(support::field(&answer.head, "retry-after").is_some());
}

/// A chunked body exceeds the limit after its beginning has been forwarded. The
/// backend server never gets its end, but may have started: the outcome is "unknown".
#[tokio::test]
async fn chunked_over_limit() {
    let server = ScriptedServer::always(Reply::Keep(ok("reached"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    let head = "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = edge_server.connect().await;
    let (mut reading, mut writing) = stream.split();
    let send = async {
        writing.write_all(head.as_bytes()).await?;
        for _ in 0..40 {
            writing.write_all(chunk.as_bytes()).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    let receive = async {
        let mut bytes = vec![0; 4096];
        let n = tokio::io::AsyncReadExt::read(&mut reading, &mut bytes)
            .await
            .expect("an answer");
        String::from_utf8_lossy(&bytes[..n]).into_owned()
    };
    let (_, answer) = tokio::join!(send, receive);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(answer.contains("cardamomvale-outcome: unknown"), "{answer}");
    assert_eq!(server.requests(), [], "no whole request arrived");
}

/// Randomly mutated requests arrive. Each must get an answer with an outcome or
/// have its connection closed, and the host must go on serving.
#[tokio::test]
async fn random_bytes() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let limits = Limits {
        head_timeout: Duration::from_millis(200),
        ..Limits::default()
    };
    let edge_server = EdgeServer::with(&[&server], |_| {}, limits).await;
    let mut random = SmallRng::seed_from_u64(24);
    for round in 0..300 {
        let request = mutated(&mut random);
        let mut stream = edge_server.connect().await;
        stream.write_all(&request).await.expect("sent");
        stream.shutdown().await.expect("half closed");
        let answer = Answer::read(&mut stream).await;
        let answered_or_closed = answer.head.is_empty() || !answer.outcome().is_empty();
        assert!(
            answered_or_closed,
            "round {round}: {answer:?} to {:?}",
            request.escape_ascii().to_string()
        );
    }
    assert_eq!(edge_server.call(&get("/hallboard/")).await.text(), "prompt");
}

/// Returns a valid request with some of its bytes changed, removed or duplicated.
fn mutated(random: &mut SmallRng) -> Vec<u8> {
    let whole = "POST /hallboard/x HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut bytes = whole.as_bytes().to_vec();
    for _ in 0..random.random_range(1..6) {
        let at = random.random_range(0..bytes.len());
        match random.random_range(0..3) {
            0 => bytes[at] = random.random(),
            1 => drop(bytes.remove(at)),
            _ => bytes.insert(at, bytes[at]),
        }
    }
    bytes
}
