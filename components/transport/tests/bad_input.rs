//! Requests that are broken, too large, too slow or not HTTP at all.
//!
//! Each gets an answer of the 4xx kind that says "not run" and, in one line,
//! what is wrong; the backend server sees none of it.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{Answer, EdgeServer, Reply, ScriptedServer, get, ok};
use tokio::io::AsyncWriteExt;
use transport::edge::Limits;

fn endless_fields() -> String {
    let fields: String = (0..5_000).map(|n| format!("x-{n}: filler\r\n")).collect();
    format!("GET /hallboard/ HTTP/1.1\r\nhost: entry\r\n{fields}")
}

/// A caller's program is faulty, or somebody tries what the host bears. The
/// caller has to learn what is wrong, and that nothing ran.
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
#[case::endless_fields(endless_fields(), 431, "head of the request is too large")]
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
    let site = EdgeServer::start(&[&server]).await;
    let answer = site.call(&request).await;
    assert_eq!(answer.status(), status, "{answer:?}");
    assert_eq!(answer.outcome(), "not-run", "{answer:?}");
    assert!(answer.text().contains(line), "{answer:?}");
    assert_eq!(answer.text().lines().count(), 1, "{answer:?}");
    assert_eq!(server.requests(), [], "the backend server saw something");
}

/// A good call comes first, and the bytes after it on the same connection are
/// none. The good call's answer must be untouched by the refusal.
#[tokio::test]
async fn garbage_after_call() {
    let server =
        ScriptedServer::always(Reply::Keep(ok("HTTP/1.1 400 is what the page is about"))).await;
    let site = EdgeServer::start(&[&server]).await;
    let mut stream = site.connect().await;
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

/// A request has a length and chunked coding, and the two disagree. A balancer
/// in front that goes by the length takes the rest for part of the body; here it
/// would run as a second call, in the name of another caller.
#[tokio::test]
async fn smuggled_call() {
    let server = ScriptedServer::always(Reply::Keep(ok("first"))).await;
    let site = EdgeServer::start(&[&server]).await;
    let hidden = "GET /hallboard/hidden HTTP/1.1\r\nhost: e\r\n\r\n";
    let length = hidden.len() + 5;
    let request = format!(
        "POST /hallboard/a HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"
    );
    let answer = site.call(&request).await;
    assert_eq!(answer.text(), "first", "{answer:?}");
    let seen = server.requests();
    assert_eq!(seen.len(), 1, "{seen:?}");
    assert_eq!(
        support::field(&seen[0].head, "content-length").as_deref(),
        Some("0")
    );
}

/// A caller's connection is so slow, or so hostile, that a head never ends.
/// A thousand of these must not keep another caller from its answer.
#[tokio::test]
async fn slow_heads() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let limits = Limits {
        head_time: Duration::from_millis(500),
        ..Limits::default()
    };
    let site = EdgeServer::with(&[&server], |_| {}, limits).await;
    let mut slow = Vec::new();
    for _ in 0..1_000 {
        let mut stream = site.connect().await;
        stream.write_all(b"GET /hallboard/ HT").await.expect("sent");
        slow.push(stream);
    }
    assert_eq!(site.call(&get("/hallboard/")).await.text(), "prompt");
    for stream in &mut slow {
        let answer = Answer::read(stream).await;
        assert_eq!(
            (answer.status(), answer.outcome().as_str()),
            (408, "not-run"),
            "{answer:?}"
        );
    }
}

/// A caller announces a body and sends only its beginning. It must hold no
/// slot meanwhile: the body is read before the call is placed.
#[tokio::test]
async fn slow_bodies_hold_no_slot() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let site = EdgeServer::start(&[&server]).await;
    let mut slow = Vec::new();
    for _ in 0..200 {
        let mut stream = site.connect().await;
        let start = "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ncontent-length: 60000\r\n\r\nabc";
        stream.write_all(start.as_bytes()).await.expect("sent");
        slow.push(stream);
    }
    assert_eq!(site.call(&get("/hallboard/")).await.text(), "prompt");
    assert_eq!(server.requests().len(), 1);
}

/// More callers connect than the host takes. Each beyond the limit is told so
/// at once, and that nothing ran.
#[tokio::test]
async fn too_many_callers() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let limits = Limits {
        callers: 3,
        ..Limits::default()
    };
    let site = EdgeServer::with(&[&server], |_| {}, limits).await;
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(site.connect().await);
    }
    support::until(|| site.edge.callers() == 3).await;
    let answer = site.call(&get("/hallboard/")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    assert!(support::field(&answer.head, "retry-after").is_some());
}

/// A chunked body goes past the limit after its beginning has been passed on.
/// The backend server never saw its end, but may have begun: "unknown" is true.
#[tokio::test]
async fn chunked_over_limit() {
    let server = ScriptedServer::always(Reply::Keep(ok("reached"))).await;
    let site = EdgeServer::start(&[&server]).await;
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    let head = "POST /hallboard/ HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = site.connect().await;
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

/// Bytes of all kinds arrive at the callers' port. Each connection gets an
/// answer with an outcome or is closed, and the host serves on.
#[tokio::test]
async fn random_bytes() {
    let server = ScriptedServer::always(Reply::Keep(ok("prompt"))).await;
    let limits = Limits {
        head_time: Duration::from_millis(200),
        ..Limits::default()
    };
    let site = EdgeServer::with(&[&server], |_| {}, limits).await;
    let mut random = SmallRng::seed_from_u64(24);
    for round in 0..300 {
        let request = mutated(&mut random);
        let mut stream = site.connect().await;
        stream.write_all(&request).await.expect("sent");
        stream.shutdown().await.expect("half closed");
        let answer = Answer::read(&mut stream).await;
        let told = answer.head.is_empty() || !answer.outcome().is_empty();
        assert!(
            told,
            "round {round}: {answer:?} to {:?}",
            request.escape_ascii().to_string()
        );
    }
    assert_eq!(site.call(&get("/hallboard/")).await.text(), "prompt");
}

/// Returns a good request with some of its bytes changed, lost or doubled.
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
