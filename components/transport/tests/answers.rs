//! Complete and truncated answers of backend servers, and the header fields on
//! the way in both directions.

mod support;

use rstest::rstest;
use support::{Answer, EdgeServer, Reply, ScriptedServer, field, get, ok, post};
use tokio::io::AsyncWriteExt;

#[tokio::test]
async fn complete_answer() {
    let server = ScriptedServer::always(Reply::Keep(ok("free on Friday"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server
        .call(&get("/hallboard/halls/7?day=friday"))
        .await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(answer.text(), "free on Friday");
    let seen = server.requests();
    assert!(
        seen[0]
            .head
            .starts_with("GET /halls/7?day=friday HTTP/1.1\r\n")
    );
}

#[tokio::test]
async fn body_forwarded() {
    let server = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server
        .call(&post("/hallboard/deposits", "12 pounds"))
        .await;
    assert_eq!(answer.outcome(), "complete", "{answer:?}");
    assert_eq!(server.requests()[0].body, b"12 pounds");
}

/// A backend server crashes in the middle of an answer with a Content-Length.
/// The caller must not get an answer that looks complete: its connection must
/// end before that length is reached.
#[tokio::test]
async fn cut_with_length() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this much";
    let server = ScriptedServer::always(Reply::Close(head.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get("/hallboard/halls")).await;
    assert!(answer.reset || answer.body.len() < 100, "{answer:?}");
}

/// A backend server crashes between two chunks. The entry host must not send
/// the final chunk, by which a caller takes the answer for complete.
#[tokio::test]
async fn cut_in_chunks() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhalls\r\n";
    let server = ScriptedServer::always(Reply::Close(head.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get("/hallboard/halls")).await;
    assert!(!answer.text().ends_with("0\r\n\r\n"), "{answer:?}");
}

/// An HTTP/1.0 caller takes the end of its connection as the end of the answer.
/// It detects the truncation only if the connection is reset.
#[tokio::test]
async fn cut_for_http_1_0() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhalls\r\n";
    let server = ScriptedServer::always(Reply::Close(head.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server
        .call("GET /hallboard/halls HTTP/1.0\r\n\r\n")
        .await;
    assert!(answer.reset, "{answer:?}");
}

/// An answer with neither Content-Length nor chunked coding looks complete
/// wherever it is truncated, so it must not be relayed. The work may have run.
#[tokio::test]
async fn answer_without_length() {
    let server =
        ScriptedServer::always(Reply::Close("HTTP/1.1 200 OK\r\n\r\nhalf a li".into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get("/hallboard/halls")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (502, "unknown")
    );
}

/// An answer whose head is malformed must not be relayed, and the call must not run twice.
#[rstest]
#[case::coding("HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n5\r\nhalls\r\n0\r\n\r\n")]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nhalls")]
#[case::both("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::status("HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nhalls")]
#[case::unknown_status("HTTP/1.1 600 OK\r\ncontent-length: 5\r\n\r\nhalls")]
#[case::protocol("HTTP/1.1 101 Switching Protocols\r\ncontent-length: 5\r\n\r\nhalls")]
#[case::line("HTTP/1.1 200 OK\r\na: b\n\ncontent-length: 5\r\n\r\nhalls")]
#[case::name("HTTP/1.1 200 OK\r\ncontent-length : 5\r\n\r\nhalls")]
#[tokio::test]
async fn malformed_head(#[case] reply: &str) {
    let server = ScriptedServer::always(Reply::Close(reply.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&post("/hallboard/deposits", "12")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (502, "unknown")
    );
    assert_eq!(server.requests().len(), 1);
}

/// An answer with status 204 must not be relayed with a length, which HTTP forbids.
#[tokio::test]
async fn no_content() {
    let reply = "HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n";
    let server = ScriptedServer::always(Reply::Keep(reply.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server
        .call(&get("/hallboard/halls").replacen("GET", "HEAD", 1))
        .await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (204, "complete")
    );
    assert_eq!(field(&answer.head, "content-length"), None);
}

/// Hop-by-hop fields and those that `Connection` lists must not be forwarded:
/// they apply to one connection only.
#[tokio::test]
async fn hop_by_hop_fields() {
    let reply = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\nconnection: x-inner\r\nx-inner: 1\r\nx-kept: 2\r\ncontent-length: 0\r\n\r\n";
    let server = ScriptedServer::always(Reply::Keep(reply.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let request = "GET /hallboard/ HTTP/1.1\r\nhost: entry\r\nconnection: close, x-secret\r\nx-secret: 1\r\nte: trailers\r\nx-own: 3\r\nvia: 1.0 old\r\n\r\n";
    let answer = edge_server.call(request).await;
    assert_eq!(field(&answer.head, "keep-alive"), None);
    assert_eq!(field(&answer.head, "x-inner"), None);
    assert_eq!(field(&answer.head, "x-kept").as_deref(), Some("2"));
    assert_eq!(
        field(&answer.head, "via").as_deref(),
        Some("1.1 cardamomvale")
    );
    let head = &server.requests()[0].head;
    assert_eq!(field(head, "x-secret"), None);
    assert_eq!(field(head, "te"), None);
    assert_eq!(field(head, "x-own").as_deref(), Some("3"));
    assert!(head.contains("via: 1.0 old\r\n") && head.contains("via: 1.1 cardamomvale\r\n"));
    let forwarded = field(head, "forwarded").expect("a Forwarded field");
    assert!(forwarded.contains("host=\"entry\"") && forwarded.contains("for=\"127.0.0.1:"));
}

#[tokio::test]
async fn redirect_not_followed() {
    let reply = "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n";
    let server = ScriptedServer::always(Reply::Keep(reply.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get("/hallboard/old")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (302, "complete")
    );
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn compressed_body_unchanged() {
    let reply = "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nabcd";
    let server = ScriptedServer::always(Reply::Keep(reply.into())).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let answer = edge_server.call(&get("/hallboard/old")).await;
    assert_eq!(
        field(&answer.head, "content-encoding").as_deref(),
        Some("gzip")
    );
    assert_eq!(answer.text(), "abcd");
}

#[tokio::test]
async fn connections_reused() {
    let server = ScriptedServer::start(|n, _| Reply::Keep(ok(&format!("answer {n}")))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    for n in 0..5 {
        let answer = edge_server.call(&get("/hallboard/")).await;
        assert_eq!(answer.text(), format!("answer {n}"));
    }
    let mut used: Vec<_> = server.requests().iter().map(|s| s.connection).collect();
    used.dedup();
    assert!(used.len() < 5, "no connection served twice: {used:?}");
}

/// Two pipelined calls on one connection of the caller's get their answers in order.
#[tokio::test]
async fn pipelined_calls() {
    let server = ScriptedServer::start(|n, _| Reply::Keep(ok(&format!("answer {n}")))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    let mut stream = edge_server.connect().await;
    let first = "GET /hallboard/1 HTTP/1.1\r\nhost: entry\r\n\r\n";
    let both = format!("{first}{}", get("/hallboard/2"));
    stream.write_all(both.as_bytes()).await.expect("sent");
    let answers = Answer::read(&mut stream).await;
    assert!(
        answers.text().starts_with("answer 0HTTP/1.1 200 OK"),
        "{answers:?}"
    );
    assert!(answers.text().ends_with("answer 1"), "{answers:?}");
}
