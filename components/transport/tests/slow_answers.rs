//! Reads from a store whose answers arrive slowly or stop midway.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;
use transport::store::{StoreClient, StoreError};

/// Number of pieces in which an answer is sent, one every [`PAUSE`].
const PIECES: usize = 10;

/// Time between two pieces: much shorter than the client's time-out for silence, which all pieces
/// together exceed.
const PAUSE: Duration = Duration::from_millis(200);

/// Starts a store that answers one read with `record`, and stops after `sent` pieces.
async fn slow_store(record: &Bytes, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut body = vec![0; 16];
    body[7] = 1;
    body.extend_from_slice(&platform::store::frame([record]));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = [0; 1_024];
        let _ = stream
            .read(&mut request)
            .await
            .expect("the client sends a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the client reads");
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

/// A slow answer must be read to its end while bytes keep arriving. When many
/// hosts read a change at once and shared the store's bandwidth, their answers
/// took a second. The time-out applied to the whole answer instead of the store's
/// silence, so some hosts gave up, within 70 ms of each other and with up to all
/// of their 575 KB received, and read again a second and a half later. The change
/// was in force at these hosts a second too late.
#[tokio::test]
async fn slow_answer_awaited() {
    let record = Bytes::from(vec![7; 200_000]);
    let address = slow_store(&record, PIECES).await;
    assert_eq!(
        read(address).await.expect("the answer is complete"),
        [record]
    );
}

/// An answer that stops midway must time out. A host that waited for the rest for
/// ever would receive no further change.
#[tokio::test]
async fn stopped_answer_given_up() {
    let record = Bytes::from(vec![7; 200_000]);
    let address = slow_store(&record, PIECES / 2).await;
    match read(address).await {
        Err(StoreError::Silent { received, .. }) => assert!(received > 0),
        other => panic!("{other:?}"),
    }
}
