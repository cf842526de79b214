//! A host that is shut down while requests still come, with nothing else wrong.

mod site;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;
use site::raw::{HEALTHY, RawEndpoint, ReceivedRequest, Reply, header};
use site::{Host, ROUTES, Store, config, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The grace period of the tests' hosts.
const GRACE: Duration = Duration::from_secs(6);

/// How long after SIGTERM a late request is sent, while a host still takes requests.
const LATE: Duration = Duration::from_millis(1_500);

/// How long after SIGTERM a host takes no requests.
const TOO_LATE: Duration = Duration::from_millis(3_200);

/// More time than a host has after SIGTERM.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Work that fits into what is left of the grace period for a late request.
const SHORT_WORK: Duration = Duration::from_millis(300);

/// Work that doesn't fit into the whole grace period.
const LONG_WORK: Duration = Duration::from_secs(8);

/// The objective of routes whose usual work is short, in seconds.
const USUAL: &str = "0.8";

/// The objective of routes whose usual work is longer than what is left for a late request.
const LONG_USUAL: &str = "12.0";

/// A caller's connection.
struct Caller {
    stream: TcpStream,
}

/// An answer, or what came in its place.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The endpoint's answer.
    Served,
    /// The host's own answer, with this status.
    Own(u16),
    /// The connection was closed without an answer.
    Closed,
}

impl Caller {
    async fn connect(host: &Host) -> Caller {
        let stream = TcpStream::connect(host.callers).await;
        Caller {
            stream: stream.expect("the host accepts"),
        }
    }

    /// Sends a request and reads the answer.
    async fn request(&mut self, method: &str, id: &str) -> Outcome {
        let path = match method {
            "GET" => "/read/x",
            _ => "/write/x",
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nTime-Remaining: 20000\r\nContent-Length: 0\r\n\r\n"
        );
        if self.stream.write_all(request.as_bytes()).await.is_err() {
            return Outcome::Closed;
        }
        match timeout(END_TIMEOUT, self.read()).await {
            Ok(outcome) => outcome,
            Err(_) => panic!("no end of {id}"),
        }
    }

    /// Reads a complete answer.
    async fn read(&mut self) -> Outcome {
        let mut text = String::new();
        let mut piece = [0; 4_096];
        loop {
            if let Some((head, body)) = text.split_once("\r\n\r\n")
                && let Some(Ok(length)) = header(head, "content-length").map(str::parse::<usize>)
                && body.len() == length
            {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
                return match header(head, "server-signature") {
                    Some(_) => Outcome::Served,
                    None => Outcome::Own(status.expect("a status")),
                };
            }
            match self.stream.read(&mut piece).await {
                Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&piece[..count])),
                Ok(0) | Err(_) => return Outcome::Closed,
            }
        }
    }
}

fn valid(received: &ReceivedRequest) -> String {
    let id = received.id();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"
    )
}

/// Answers at once, or after the work that the request's ID names.
fn work(received: &ReceivedRequest) -> Reply {
    let id = received.id();
    let work = match id.split('-').next() {
        Some("short") => SHORT_WORK,
        Some("long") => LONG_WORK,
        _ => return Reply::Keep(valid(received)),
    };
    Reply::Twice(String::new(), work, valid(received))
}

/// Starts a store, an endpoint and a host; routes have this objective, by
/// which the host estimates the usual work.
async fn start(
    objective: &str,
    script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> (Store, RawEndpoint, Host) {
    let store = Store::start().await;
    let routes = ROUTES.replace("2.0,0.5", &format!("20.0,{objective}"));
    store.put("keyed.op", "config", Some(&config(1, &routes)));
    let endpoint = RawEndpoint::start_unhealthy(script).await;
    endpoint.register(&store, "svc");
    let host = Host::ready("entry", &store).await;
    (store, endpoint, host)
}

fn healthy_work(received: &ReceivedRequest) -> Reply {
    match received.is_probe() {
        true => Reply::Keep(HEALTHY.to_owned()),
        false => work(received),
    }
}

/// Sends SIGTERM, and a request late in the grace, on a kept or on a new connection.
async fn request_late(host: &Host, method: &str, id: &str, is_kept: bool) -> Outcome {
    let mut caller = Caller::connect(host).await;
    if is_kept {
        assert_eq!(caller.request(method, "first").await, Outcome::Served);
    }
    host.terminate();
    sleep(LATE).await;
    match is_kept {
        true => caller.request(method, id).await,
        false => Caller::connect(host).await.request(method, id).await,
    }
}

async fn assert_exits(mut host: Host) {
    let exited = async {
        while host.exit_success().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(END_TIMEOUT, exited).await.expect("the host exits");
    assert_eq!(host.exit_success(), Some(true));
}

/// A late request must be answered by its endpoint if its work fits into the grace.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn late_short_work(#[values("GET", "POST")] method: &str, #[values(false, true)] kept: bool) {
    let (_store, _endpoint, host) = start(USUAL, healthy_work).await;
    let outcome = request_late(&host, method, "short", kept).await;
    assert_eq!(outcome, Outcome::Served);
    assert_exits(host).await;
}

/// A late request whose work turns out longer than the grace must get an answer of the host, and
/// its endpoint no more time than the host has.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn late_long_work(#[values("GET", "POST")] method: &str, #[values(false, true)] kept: bool) {
    let (_store, endpoint, host) = start(USUAL, healthy_work).await;
    let outcome = request_late(&host, method, "long", kept).await;
    assert!(matches!(outcome, Outcome::Own(502 | 504)), "{outcome:?}");
    let received = endpoint.received();
    let late = received.iter().find(|r| r.id() == "long");
    let remaining = header(&late.expect("it was sent").head, "time-remaining");
    let remaining: u64 = remaining.and_then(|r| r.parse().ok()).expect("a time");
    let remaining = Duration::from_millis(remaining);
    assert!(remaining <= GRACE - LATE, "{remaining:?}");
    assert_exits(host).await;
}

/// A late request whose usual work is longer than what is left must be rejected at once as not
/// run, and reach no endpoint.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn late_usual_work(#[values("GET", "POST")] method: &str, #[values(false, true)] kept: bool) {
    let (_store, endpoint, host) = start(LONG_USUAL, healthy_work).await;
    let outcome = request_late(&host, method, "long", kept).await;
    assert_eq!(outcome, Outcome::Own(503));
    assert!(endpoint.received().iter().all(|r| r.id() != "long"));
    assert_exits(host).await;
}

/// A request that runs when SIGTERM comes and outlasts the grace must get an answer of the host.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn running_long_work(
    #[values("GET", "POST")] method: &'static str,
    #[values(false, true)] kept: bool,
) {
    let (_store, endpoint, host) = start(USUAL, healthy_work).await;
    let mut caller = Caller::connect(&host).await;
    if kept {
        assert_eq!(caller.request(method, "first").await, Outcome::Served);
    }
    let running = tokio::spawn(async move { caller.request(method, "long").await });
    until("the endpoint runs the request", async || {
        endpoint.received().iter().any(|r| r.id() == "long")
    })
    .await;
    host.terminate();
    let outcome = running.await.expect("the request ends");
    assert!(matches!(outcome, Outcome::Own(502 | 504)), "{outcome:?}");
    assert_exits(host).await;
}

/// A request that waits for an endpoint without room until the host stops must be rejected as not
/// run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn waiting_request(#[values("GET", "POST")] method: &'static str) {
    let is_full = Arc::new(AtomicBool::new(false));
    let shared = Arc::clone(&is_full);
    let (_store, endpoint, host) = start(USUAL, move |received| {
        let is_full = shared.load(Ordering::Relaxed);
        match received.is_probe() {
            true if is_full => Reply::Keep(HEALTHY.replace("0,0,6", "6,4,6")),
            true => Reply::Keep(HEALTHY.to_owned()),
            false => Reply::Keep(valid(received)),
        }
    })
    .await;
    is_full.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(300)).await;
    let mut caller = Caller::connect(&host).await;
    let waiting = tokio::spawn(async move { caller.request(method, "waits").await });
    sleep(Duration::from_millis(300)).await;
    host.terminate();
    let outcome = waiting.await.expect("the request ends");
    let received = endpoint.received();
    let was_sent = received.iter().any(|r| r.id() == "waits");
    assert_eq!((outcome, was_sent), (Outcome::Own(503), false));
    assert_exits(host).await;
}

/// A request that comes when the host takes none any more must be rejected as not run, or its
/// connection be closed before it is read.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn too_late(#[values("GET", "POST")] method: &str) {
    let (_store, endpoint, host) = start(USUAL, healthy_work).await;
    let mut kept = Caller::connect(&host).await;
    assert_eq!(kept.request(method, "first").await, Outcome::Served);
    let mut running = Caller::connect(&host).await;
    let running = tokio::spawn(async move { running.request("GET", "long").await });
    until("the endpoint runs the request", async || {
        endpoint.received().iter().any(|r| r.id() == "long")
    })
    .await;
    host.terminate();
    sleep(TOO_LATE).await;
    let outcome = Caller::connect(&host).await.request(method, "new").await;
    assert_eq!(outcome, Outcome::Own(503));
    let outcome = kept.request(method, "kept").await;
    assert!(
        matches!(outcome, Outcome::Own(503) | Outcome::Closed),
        "{outcome:?}"
    );
    let received = endpoint.received();
    assert!(received.iter().all(|r| !matches!(r.id(), "new" | "kept")));
    let outcome = running.await.expect("the request ends");
    assert!(matches!(outcome, Outcome::Own(502 | 504)), "{outcome:?}");
    assert_exits(host).await;
}
