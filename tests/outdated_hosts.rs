//! Hosts that hear from their neighbours, but nothing that shows that they know the newest
//! configuration.

mod site;

use std::net::SocketAddr;
use std::time::Duration;

use protocol::neighbour::{NeighbourMessage, RecordUpdate, Topic};
use site::store::Mode;
use site::{Host, ROUTES, config, until};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// A route that the second configuration adds.
const ADDED: &str = r#",["new","a.example","/new/","safe",2.0,0.5,2,null,2,"svc"]"#;

/// The pause between messages of the scripted neighbour.
const MESSAGE_PAUSE: Duration = Duration::from_millis(40);

/// Returns an update without records, from a host whose reads make others stop reading; it
/// read the store this long ago.
fn empty_update(from: u64, age: Duration) -> NeighbourMessage {
    let reader = SocketAddr::from(([127, 0, 0, 1], 1));
    NeighbourMessage::Update(RecordUpdate {
        topic: Topic::Operators,
        reader,
        relay_root: reader,
        cross_centre: false,
        from,
        age: Some(age),
        records: Vec::new(),
    })
}

/// Sends a message to a host again and again.
async fn repeat(host: &Host, message: NeighbourMessage) -> JoinHandle<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let to = host.peers();
    let send = async move |message: &NeighbourMessage| {
        socket
            .send_to(&message.encode(), to)
            .await
            .expect("the datagram is sent");
    };
    // The host knows the first record, and another one is the reader.
    send(&empty_update(1, Duration::ZERO)).await;
    tokio::spawn(async move {
        loop {
            send(&message).await;
            sleep(MESSAGE_PAUSE).await;
        }
    })
}

/// Runs a host that hears only this message, and waits until it serves an added route.
async fn await_added_route(message: NeighbourMessage) {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let host = Host::ready("entry", &store).await;
    let messages = repeat(&host, message).await;
    store.put(
        "keyed.op",
        "config",
        Some(&config(2, &format!("{ROUTES}{ADDED}"))),
    );
    until("the host serves the added route", async || {
        host.request("GET", "/new/x", "r").await.status == 200
    })
    .await;
    messages.abort();
}

/// Neighbours that announce reads, and never what they read, must not keep a host from reading.
#[tokio::test(flavor = "multi_thread")]
async fn reads_announced() {
    await_added_route(NeighbourMessage::ReadStarted(Topic::Operators)).await;
}

/// A neighbour that repeats what it once knew must not keep a host from reading.
#[tokio::test(flavor = "multi_thread")]
async fn old_news() {
    await_added_route(empty_update(1, Duration::from_secs(10))).await;
}

/// A host that can't read the store must not tell callers for good that a route doesn't exist: it
/// may have been added, and callers don't retry a 404.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_route_outdated() {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let host = Host::ready("entry", &store).await;
    let setting = "repeat_slack = 50\n";
    host.change_settings(setting, &format!("{setting}configuration_seconds = 2\n"));
    assert_eq!(host.request("GET", "/new/x", "r").await.status, 404);
    store.set_mode(Mode::Refusing);
    until("the host calls its configuration outdated", async || {
        let answer = host.request("GET", "/new/x", "r").await;
        answer.status == 503 && answer.has_header("retry-after")
    })
    .await;
    assert_eq!(host.request("GET", "/read/x", "r").await.status, 200);
    store.set_mode(Mode::Up);
    until("the host has read the store", async || {
        host.request("GET", "/new/x", "r").await.status == 404
    })
    .await;
}
