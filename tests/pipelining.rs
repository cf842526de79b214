//! Callers that send further requests before the first one is answered.

mod site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use site::endpoint::Behaviour;
use site::{
    CutMode, Endpoint, Host, Network, ROUTES, Store, config, start_hosts, store_and_endpoint,
    store_and_endpoints_on, until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The requests of one connection that an entry host runs ahead of the one being answered.
const MAX_AHEAD: usize = 8;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller's connection.
struct Caller {
    stream: TcpStream,
    received: String,
}

impl Caller {
    async fn connect(address: SocketAddr) -> Caller {
        Caller {
            stream: TcpStream::connect(address).await.expect("the host accepts"),
            received: String::new(),
        }
    }

    /// Sends these requests in one piece.
    async fn send(&mut self, requests: &[String]) {
        let bytes = requests.concat();
        let sent = self.stream.write_all(bytes.as_bytes()).await;
        sent.expect("the connection is open");
    }

    /// Reads until `count` answers have come or the connection ends; returns their ids.
    async fn answers(&mut self, count: usize) -> Vec<String> {
        loop {
            let ids = self.ids();
            let mut chunk = [0; 4_096];
            if ids.len() >= count {
                return ids;
            }
            let read = timeout(ANSWER_TIMEOUT, self.stream.read(&mut chunk)).await;
            match read.expect("an answer comes") {
                Ok(0) | Err(_) => return ids,
                Ok(n) => self
                    .received
                    .push_str(&String::from_utf8_lossy(&chunk[..n])),
            }
        }
    }

    /// Returns the ids of the complete answers so far; the body of each is `whole`.
    fn ids(&self) -> Vec<String> {
        let answers = self.received.split_inclusive("whole");
        let complete = answers.filter(|a| a.ends_with("whole"));
        complete
            .filter_map(|a| site::raw::header(a, "attempt-id").map(str::to_owned))
            .collect()
    }
}

fn get(id: usize) -> String {
    format!(
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r{id}\r\nTime-Remaining: 8000\r\n\r\n"
    )
}

fn post(id: usize) -> String {
    format!(
        "POST /write/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r{id}\r\nTime-Remaining: 8000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(|n| format!("r{n}")).collect()
}

/// Returns the ids that have run; hedged requests count once.
fn ran(endpoint: &Endpoint) -> BTreeSet<String> {
    endpoint.runs().into_iter().collect()
}

async fn start() -> (Store, Endpoint, Host) {
    let routes = ROUTES.replace("2.0,0.5", "9.0,8.0");
    let (store, endpoint) = store_and_endpoint(&config(1, &routes)).await;
    let host = Host::ready("entry", &store).await;
    (store, endpoint, host)
}

/// Requests that were sent together run together: one after the other, the last of four
/// would wait for three times the work.
#[tokio::test(flavor = "multi_thread")]
async fn run_together() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Hang);
    let mut caller = Caller::connect(host.callers).await;
    caller.send(&[1, 2, 3, 4].map(get)).await;
    until("all requests run", async || ran(&endpoint).len() == 4).await;
}

/// The same, where the bytes of a request arrive in pieces.
#[tokio::test(flavor = "multi_thread")]
async fn sent_in_pieces() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Hang);
    let mut caller = Caller::connect(host.callers).await;
    let all = [1, 2, 3].map(get).concat();
    for piece in all.as_bytes().chunks(37) {
        caller
            .send(&[String::from_utf8_lossy(piece).into_owned()])
            .await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    until("all requests run", async || ran(&endpoint).len() == 3).await;
}

/// Answers go out in the order of the requests, also if later ones are ready first.
#[tokio::test(flavor = "multi_thread")]
async fn answers_in_order() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Delay(700));
    let mut caller = Caller::connect(host.callers).await;
    caller.send(&[get(1)]).await;
    until("the first runs", async || ran(&endpoint).len() == 1).await;
    endpoint.set_behaviour(Behaviour::Serve);
    caller.send(&[2, 3, 4, 5].map(get)).await;
    assert_eq!(caller.answers(5).await, names(1..=5));
}

/// A request that isn't idempotent never runs before those in front of it are answered:
/// its caller sends it again if one of those answers closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_waits() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Delay(300));
    let mut caller = Caller::connect(host.callers).await;
    caller.send(&[get(1), post(2), get(3), get(4)]).await;
    until("the first runs", async || !ran(&endpoint).is_empty()).await;
    assert_eq!(ran(&endpoint), BTreeSet::from(["r1".to_owned()]));
    assert_eq!(caller.answers(4).await, names(1..=4));
    let runs = endpoint.runs();
    let place = |id: &str| runs.iter().position(|r| r == id);
    assert!(
        place("r2") < place("r3") && place("r1") < place("r2"),
        "{runs:?}"
    );
}

/// Requests behind one that isn't idempotent must see what it did: none runs before its answer.
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_runs_alone() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Delay(400));
    let mut caller = Caller::connect(host.callers).await;
    caller.send(&[post(1), get(2), get(3)]).await;
    assert_eq!(caller.answers(3).await, names(1..=3));
    let arrivals = endpoint.arrivals();
    let (first, others) = arrivals.split_first().expect("requests have run");
    assert_eq!(first.0, "r1");
    let answered = first.1 + Duration::from_millis(400);
    assert!(others.iter().all(|(_, at)| *at >= answered), "{arrivals:?}");
}

/// A caller that sends without end is served a few requests at a time, and all of them.
#[tokio::test(flavor = "multi_thread")]
async fn many_requests() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Hang);
    let mut caller = Caller::connect(host.callers).await;
    let requests: Vec<String> = (1..=300).map(get).collect();
    caller.send(&requests).await;
    until("requests run", async || ran(&endpoint).len() > MAX_AHEAD).await;
    assert_eq!(
        ran(&endpoint),
        names(1..=MAX_AHEAD + 1).into_iter().collect()
    );
    let mut second = Caller::connect(host.callers).await;
    endpoint.set_behaviour(Behaviour::Serve);
    second.send(&requests).await;
    assert_eq!(second.answers(300).await, names(1..=300));
}

/// A caller that hangs up cancels all its requests, also those that were started early.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Hang);
    let mut caller = Caller::connect(host.callers).await;
    caller.send(&[1, 2, 3].map(get)).await;
    until("all requests run", async || ran(&endpoint).len() == 3).await;
    drop(caller);
    until("all requests are cancelled", async || {
        endpoint.cancelled() >= 3
    })
    .await;
}

/// A host that is told to stop answers what it has passed on, and runs nothing behind it.
#[tokio::test(flavor = "multi_thread")]
async fn host_stops() {
    let (_store, endpoint, host) = start().await;
    endpoint.set_behaviour(Behaviour::Delay(600));
    let mut caller = Caller::connect(host.callers).await;
    caller.send(&[get(1), get(2), get(3), post(4)]).await;
    until("three requests run", async || ran(&endpoint).len() == 3).await;
    host.terminate();
    assert_eq!(caller.answers(9).await, names(1..=3));
    assert_eq!(ran(&endpoint).len(), 3);
}

/// A host that reaches no endpoint must have pipelined requests served too, in their order.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_host() {
    let network = Network::default();
    let (store, _endpoints) = store_and_endpoints_on(&network, 4).await;
    let hosts = start_hosts(&store, 2).await;
    network.cut(&[&hosts[0]], CutMode::Reset);
    until("requests are forwarded", async || {
        hosts[0].request("GET", "/read/x", "first").await.status == 200
    })
    .await;
    let mut caller = Caller::connect(hosts[0].callers).await;
    caller.send(&[1, 2, 3, 4].map(get)).await;
    assert_eq!(caller.answers(4).await, names(1..=4));
}
