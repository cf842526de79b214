//! Calls with an idempotency key at the edge, with claims kept in memory.

mod support;

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coordination::claims::{ClaimId, ClaimKey};
use support::{EdgeServer, Reply, ScriptedServer, field, ok, until};
use tokio::io::AsyncWriteExt;
use transport::claims::{ClaimEnding, ClaimRequest, ClaimTicket, Verdict};
use transport::edge::KeyClaims;

/// Claims of keys, held in memory.
#[derive(Default)]
struct ClaimTable {
    rows: Mutex<BTreeMap<String, Row>>,
    down: Mutex<bool>,
}

struct Row {
    id: ClaimId,
    digest: [u8; 32],
    ending: Option<ClaimEnding>,
}

impl KeyClaims for ClaimTable {
    fn claim(&self, request: ClaimRequest) -> Pin<Box<dyn Future<Output = Verdict> + Send + '_>> {
        Box::pin(async move { self.decide(request) })
    }

    fn end(&self, ticket: ClaimTicket, ending: ClaimEnding) {
        let mut rows = self.rows.lock().expect("rows");
        match ending {
            ClaimEnding::NotRun => rows.retain(|_, row| row.id != ticket.id),
            _ => {
                let row = rows.values_mut().find(|row| row.id == ticket.id);
                row.expect("a claimed key").ending = Some(ending);
            }
        }
    }
}

impl ClaimTable {
    fn decide(&self, request: ClaimRequest) -> Verdict {
        let mut rows = self.rows.lock().expect("rows");
        let id = ClaimId(rows.len() as u128);
        match rows.get(&request.key) {
            _ if *self.down.lock().expect("down") => Verdict::NotRun(Duration::from_secs(3)),
            None => {
                let digest = request.digest;
                rows.insert(
                    request.key,
                    Row {
                        id,
                        digest,
                        ending: None,
                    },
                );
                Verdict::Granted(ClaimTicket {
                    id,
                    key: ClaimKey(0),
                })
            }
            Some(row) if row.digest != request.digest => Verdict::Mismatch,
            Some(Row {
                ending: Some(ClaimEnding::Answered(kept)),
                ..
            }) => Verdict::Known(kept.clone()),
            Some(_) => Verdict::Started,
        }
    }

    fn ending(&self, key: &str) -> Option<ClaimEnding> {
        self.rows.lock().expect("rows").get(key)?.ending.clone()
    }

    fn is_claimed(&self, key: &str) -> bool {
        self.rows.lock().expect("rows").contains_key(key)
    }
}

async fn edge_with_claims(server: &ScriptedServer) -> (EdgeServer, Arc<ClaimTable>) {
    let edge_server = EdgeServer::start(&[server]).await;
    let table = Arc::new(ClaimTable::default());
    edge_server.edge.set_claims(Arc::clone(&table) as _);
    (edge_server, table)
}

fn deposit(key: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /hallboard/deposits HTTP/1.1\r\nhost: e\r\nidempotency-key: {key}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// A caller loses the answer to its call and repeats the call with the same key.
/// The call must run once, and each repeat must get the first answer.
#[tokio::test]
async fn repeat_gets_first_answer() {
    let reply = "HTTP/1.1 201 Created\r\nx-receipt: 17\r\ncontent-length: 5\r\n\r\ntaken";
    let server = ScriptedServer::always(Reply::Keep(reply.into())).await;
    let (edge_server, _table) = edge_with_claims(&server).await;
    for _ in 0..3 {
        let answer = edge_server.call(&deposit("k1", "12 pounds")).await;
        assert_eq!(
            (answer.status(), answer.outcome().as_str()),
            (201, "complete"),
            "{answer:?}"
        );
        assert_eq!(field(&answer.head, "x-receipt").as_deref(), Some("17"));
        assert_eq!(answer.text(), "taken");
    }
    assert_eq!(server.requests().len(), 1);
}

/// One key is used for two different requests by mistake. The second must
/// neither run nor get the answer of the first.
#[tokio::test]
async fn other_body_refused() {
    let server = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let (edge_server, _table) = edge_with_claims(&server).await;
    edge_server.call(&deposit("k1", "12 pounds")).await;
    let answer = edge_server.call(&deposit("k1", "13 pounds")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (422, "not-run"),
        "{answer:?}"
    );
    assert_eq!(server.requests().len(), 1);
}

/// The connection breaks after the call has been sent. A repeat of its key must
/// not send it again: it may have run.
#[tokio::test]
async fn broken_then_unknown() {
    let server = ScriptedServer::always(Reply::Close(String::new())).await;
    let (edge_server, _table) = edge_with_claims(&server).await;
    for status in [502, 504] {
        let answer = edge_server.call(&deposit("k1", "12 pounds")).await;
        assert_eq!(
            (answer.status(), answer.outcome().as_str()),
            (status, "unknown"),
            "{answer:?}"
        );
    }
    assert_eq!(server.requests().len(), 1);
}

/// The backend server rejects the call as not run. The key must be released, so
/// that a repeat can succeed.
#[tokio::test]
async fn shed_frees_key() {
    let shed = "HTTP/1.1 503 Busy\r\ncardamomvale-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let server = ScriptedServer::start(move |n, _| match n {
        0 => Reply::Keep(shed.into()),
        _ => Reply::Keep(ok("taken")),
    })
    .await;
    let (edge_server, _table) = edge_with_claims(&server).await;
    let first = edge_server.call(&deposit("k1", "12 pounds")).await;
    assert_eq!(
        (first.status(), first.outcome().as_str()),
        (503, "not-run"),
        "{first:?}"
    );
    let second = edge_server.call(&deposit("k1", "12 pounds")).await;
    assert_eq!(
        (second.text().as_str(), second.outcome().as_str()),
        ("taken", "complete")
    );
}

/// The caller disconnects while the call is running. Whether it ran is not
/// known, and a repeat must get the outcome "unknown".
#[tokio::test]
async fn hang_up_is_unknown() {
    let server = ScriptedServer::always(Reply::Hang(String::new())).await;
    let (edge_server, table) = edge_with_claims(&server).await;
    let mut stream = edge_server.connect().await;
    stream
        .write_all(deposit("k1", "12 pounds").as_bytes())
        .await
        .expect("sent");
    until(|| server.requests().len() == 1).await;
    drop(stream);
    until(|| table.ending("k1") == Some(ClaimEnding::Unknown)).await;
    let answer = edge_server.call(&deposit("k1", "12 pounds")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (504, "unknown")
    );
    assert_eq!(server.requests().len(), 1);
}

/// The store is down, so that no claim can be granted: the call must not be sent.
#[tokio::test]
async fn claims_down() {
    let server = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let (edge_server, table) = edge_with_claims(&server).await;
    *table.down.lock().expect("down") = true;
    let answer = edge_server.call(&deposit("k1", "12 pounds")).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (503, "not-run"),
        "{answer:?}"
    );
    assert_eq!(field(&answer.head, "retry-after").as_deref(), Some("3"));
    assert_eq!(server.requests(), []);
}

/// An answer too large to be cached must still be relayed completely, and a
/// repeat must not run the call again.
#[tokio::test]
async fn large_answer_not_kept() {
    let large = "a".repeat(200_000);
    let server = ScriptedServer::always(Reply::Keep(ok(&large))).await;
    let (edge_server, table) = edge_with_claims(&server).await;
    let answer = edge_server.call(&deposit("k1", "12 pounds")).await;
    assert_eq!(answer.body.len(), 200_000);
    until(|| table.ending("k1") == Some(ClaimEnding::AnsweredLarge)).await;
    let again = edge_server.call(&deposit("k1", "12 pounds")).await;
    assert_eq!(again.outcome(), "unknown");
    assert_eq!(server.requests().len(), 1);
}

/// A body larger than the limit for calls with a key: the key must not be
/// claimed, and the call not be sent.
#[tokio::test]
async fn large_body_refused() {
    let server = ScriptedServer::always(Reply::Keep(ok("taken"))).await;
    let edge_server =
        EdgeServer::with(&[&server], |s| s.body_limit = 64 << 20, Default::default()).await;
    let table = Arc::new(ClaimTable::default());
    edge_server.edge.set_claims(Arc::clone(&table) as _);
    let mut stream = edge_server.connect().await;
    let request = deposit("k1", &"a".repeat(1_100_000));
    stream.write_all(request.as_bytes()).await.expect("sent");
    let answer = support::Answer::read(&mut stream).await;
    assert_eq!(
        (answer.status(), answer.outcome().as_str()),
        (413, "not-run"),
        "{answer:?}"
    );
    assert!(!table.is_claimed("k1"));
    assert_eq!(server.requests(), []);
}

/// An idempotent method needs no claim, even with a key.
#[tokio::test]
async fn lookup_needs_none() {
    let server = ScriptedServer::always(Reply::Keep(ok("free"))).await;
    let (edge_server, table) = edge_with_claims(&server).await;
    let request = "GET /hallboard/halls HTTP/1.1\r\nhost: e\r\nidempotency-key: k1\r\nconnection: close\r\n\r\n";
    assert_eq!(edge_server.call(request).await.text(), "free");
    assert!(!table.is_claimed("k1"));
}
