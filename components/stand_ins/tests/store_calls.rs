//! The store's stand-in, called by the client that entry hosts use.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use coordination::group_joins;
use stand_ins::store::{Behaviour, Loss, Outage, StoreStandIn};
use transport::store::{StoreClient, StoreError};

/// The longest wait for an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn started() -> (StoreStandIn, StoreClient) {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let client = StoreClient::new(store.address());
    (store, client)
}

fn put(store: &StoreStandIn, key: &str, value: Option<&'static str>) {
    store.put("keyed.op", key, value.map(Bytes::from));
}

#[tokio::test]
async fn newest_of_keys() {
    let (store, mut client) = started();
    put(&store, "a", Some("1"));
    put(&store, "b", Some("2"));
    put(&store, "a", Some("3"));
    put(&store, "b", None);
    let page = client.newest("keyed.op", None).await.unwrap();
    let found: Vec<_> = page.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!((found, page.end), (vec!["a"], 4));
    assert_eq!(page.records[0].value.as_deref(), Some(b"3".as_slice()));
    for n in 0..501 {
        put(&store, &format!("k{n:03}"), Some("x"));
    }
    let first = client.newest("keyed.op", None).await.unwrap();
    let after = first.after.expect("more than one page");
    let second = client.newest("keyed.op", Some(&after)).await.unwrap();
    assert_eq!(first.records.len() + second.records.len(), 502);
    assert_eq!(second.after, None);
}

/// The store compacts a topic that operators write. A host that reads on must get an error that
/// records are missing, with the first offset that is left.
#[tokio::test]
async fn compacted_records() {
    let (store, mut client) = started();
    put(&store, "a", Some("1"));
    store.compact("keyed.op");
    let read = client.read("keyed.op", 0, Duration::ZERO, None).await;
    assert!(
        matches!(read, Err(StoreError::Forgotten(Some(1)))),
        "{read:?}"
    );
    let page = client.newest("keyed.op", None).await.unwrap();
    assert_eq!((page.records.len(), page.end), (1, 1));
}

#[tokio::test]
async fn waiting_read() {
    let (store, mut client) = started();
    put(&store, "a", Some("1"));
    let from_end = client.read("keyed.op", 1, Duration::ZERO, None);
    assert!(from_end.await.unwrap().records.is_empty());
    let (read, ()) = tokio::join!(
        client.read("keyed.op", 1, Duration::from_secs(20), None),
        async { put(&store, "b", Some("2")) }
    );
    assert_eq!(read.unwrap().records.len(), 1);
}

#[tokio::test]
async fn short_pages() {
    let (store, mut client) = started();
    for _ in 0..4 {
        store.append("claims-0", Bytes::from(vec![b'x'; 600]));
    }
    let read = client.read("claims-0", 1, Duration::ZERO, Some(1)).await;
    let read = read.unwrap();
    assert_eq!((read.records.len(), read.next(), read.end), (1, 2, 4));
}

/// Two hosts get half of the partitions each; when one stops joining, the other gets them all.
/// Bounds over all hosts together depend on this.
#[tokio::test]
async fn even_partitions() {
    let (store, mut client) = started();
    let mut other = StoreClient::new(store.address());
    let topics = ["hosts-0".to_owned(), "hosts-1".to_owned()];
    let body = |member, timeout| platform::store::join_body("g", member, &topics, timeout, 0);
    let alone = client.join(body("one", 60.0)).await.unwrap();
    assert_eq!(alone.partitions, 24);
    let second = other.join(body("two", 60.0)).await.unwrap();
    assert_eq!(second.partitions, 12);
    assert!(second.generation > alone.generation);
    let owners = client.owners("g").await.unwrap();
    assert_eq!(owners, BTreeSet::from(["one".to_owned(), "two".to_owned()]));
    // With a timeout of 0 the membership ends with this call.
    other.join(body("two", 0.0)).await.unwrap();
    let again = client.join(body("one", 60.0)).await.unwrap();
    assert_eq!(again.partitions, 24);
}

/// Hosts divide bounds by the number of partitions. A partition that the store assigns to no host
/// would be a part of each bound that no host uses.
#[tokio::test]
async fn all_partitions() {
    let (_store, mut client) = started();
    let topics = group_joins::group_topics();
    let body = platform::store::join_body("g", "one", &topics, 60.0, 0);
    let alone = client.join(body).await.unwrap();
    assert_eq!(alone.partitions, group_joins::GROUP_TOPICS * 12);
}

/// The store refuses reads above its budget per second, and refuses calls while down. Only an
/// answer of the store itself counts as "not applied"; a gateway's 504 doesn't.
#[tokio::test]
async fn refusals() {
    let (store, mut client) = started();
    store.change(|b| b.reads_second = 3);
    let mut refused = 0;
    for _ in 0..12 {
        let read = client.read("claims-0", 0, Duration::ZERO, None).await;
        refused += u32::from(read.is_err_and(|e| e.is_not_applied()));
    }
    assert!(refused > 0);
    store.change(|b| b.outage = Some(Outage::Refusing));
    let record = Bytes::from_static(b"x");
    let down = client.append("claims-0", &record).await;
    assert!(down.is_err_and(|e| e.is_not_applied()));
    store.change(|b| (b.outage, b.loss, b.losses) = (None, Some(Loss::Gateway), 1));
    let lost = client.append("claims-0", &record).await;
    assert!(lost.is_err_and(|e| !e.is_not_applied()));
    assert_eq!(store.counts().appends, 1);
}

/// Hosts connect at the same moment and keep their connections open. The server must answer on
/// every one of them, or a host's read stays without an answer until another host disconnects.
#[test]
fn simultaneous_connections() {
    for round in 0..40 {
        let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
        let connect = |_| TcpStream::connect(store.address()).unwrap();
        let mut connections: Vec<TcpStream> = (0..32).map(connect).collect();
        for connection in &mut connections {
            let request = b"GET /counts HTTP/1.1\r\nHost: store\r\n\r\n";
            connection.write_all(request).unwrap();
        }
        for (index, connection) in connections.iter_mut().enumerate() {
            connection.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            let mut status = [0; 15];
            let read = connection.read_exact(&mut status);
            assert!(
                read.is_ok(),
                "round {round}: connection {index} got no answer: {read:?}"
            );
            assert_eq!(&status, b"HTTP/1.1 200 OK");
        }
    }
}
