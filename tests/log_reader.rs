//! What reads a host's log.

mod site;

use std::io::Read;
use std::time::{Duration, Instant};

use site::{Host, ROUTES, config, until};

/// More lines than a pipe holds, which is 64 KB by default.
const LINES: usize = 80;

/// The length of a request's ID, which its line contains.
const ID_LENGTH: usize = 1_000;

/// The reader of a host's log stops. A host that waits for it stands still: callers get their
/// answers long after the deadline, and other hosts take it for dead.
#[tokio::test(flavor = "multi_thread")]
async fn reader_stops() {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let (host, mut log) = Host::start_with_log("entry", &store).await;
    until("the host is ready", async || host.readiness().await == 200).await;
    let id = "r".repeat(ID_LENGTH);
    for number in 0..LINES {
        let sent = Instant::now();
        let answer = host.request("GET", "/unknown/x", &id).await;
        assert_eq!(answer.status, 404);
        assert!(sent.elapsed() < Duration::from_secs(2), "request {number}");
    }
    assert_eq!(host.request("GET", "/read/x", "r").await.status, 200);
    // Once somebody reads again, the log tells what is missing.
    let reader = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        let mut part = [0; 4_096];
        while !text.contains("E0514 log-lines-dropped") {
            let length = log.read(&mut part).expect("the log can be read");
            assert!(length > 0, "the log ends without E0514");
            text.push_str(&String::from_utf8_lossy(&part[..length]));
        }
    });
    until("the log tells what was dropped", async || {
        host.request("GET", "/unknown/x", "r").await;
        reader.is_finished()
    })
    .await;
    reader.await.expect("the log names the dropped lines");
}
