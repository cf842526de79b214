//! The store's answers that take long.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;
use transport::store::{StoreClient, StoreError};

/// Pieces of the answer, one every [`PAUSE`].
const PIECES: usize = 10;

/// Far less than an answer may keep silent; all pieces take longer than that.
const PAUSE: Duration = Duration::from_millis(200);

/// Starts a store that answers one read with a record, and stops after so many pieces.
async fn slow_store(record: &Bytes, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let mut body = vec![0; 16];
    body[7] = 1;
    body.extend_from_slice(&platform::store::frame([record]));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client comes");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.expect("it asks");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.expect("it listens");
        for piece in body.chunks(body.len().div_ceil(PIECES)).take(sent) {
            sleep(PAUSE).await;
            if stream.write_all(piece).await.is_err() {
                return;
            }
        }
        sleep(Duration::from_secs(60)).await;
    });
    address
}

async fn read(address: SocketAddr) -> Result<Vec<Bytes>, StoreError> {
    let mut store = StoreClient::new(address);
    let read = store.read("keyed.op", 0, Duration::ZERO, None).await?;
    Ok(read.records)
}

/// Operators saw a change in force a second too late at some hosts. Many hosts read
/// it at the same moment and shared what the store gives: a second for all of them.
/// Some gave their read up then, though its bytes were coming, and began anew a
/// second and a half later. The whole answer was timed, not the store's silence; the
/// logs had those hosts give up within 70 ms of each other with up to all of their
/// 575 KB received.
#[tokio::test]
async fn slow_answer_awaited() {
    let record = Bytes::from(vec![7; 200_000]);
    let address = slow_store(&record, PIECES).await;
    assert_eq!(read(address).await.expect("it comes"), [record]);
}

/// An answer stops midway for good. A host that waited for the rest for ever would
/// learn of no change any more.
#[tokio::test]
async fn stopped_answer_given_up() {
    let record = Bytes::from(vec![7; 200_000]);
    let address = slow_store(&record, PIECES / 2).await;
    match read(address).await {
        Err(StoreError::Silent { received, .. }) => assert!(received > 0),
        other => panic!("{other:?}"),
    }
}
