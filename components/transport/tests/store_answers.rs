//! Malformed answers of the platform's store.

use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use transport::store::StoreClient;

/// After a malformed answer an append must count as one that may have taken effect.
#[rstest]
#[case::coding("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n")]
#[case::length("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n")]
#[case::status("HTTP/1.1 000 Unavailable\r\nContent-Length: 0\r\n\r\n")]
#[case::unknown_status("HTTP/1.1 700 Unavailable\r\nContent-Length: 0\r\n\r\n")]
#[case::line("HTTP/1.1 503 Unavailable\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn append_unknown(#[case] answer: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let store = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        let _read = stream.read(&mut request).await.expect("a request");
        let written = stream.write_all(answer.as_bytes()).await;
        written.expect("the client reads");
    });
    let calls = LocalSet::new();
    let appended = calls.run_until(async {
        let mut client = StoreClient::new(address);
        client.append("topic", &Bytes::from_static(b"record")).await
    });
    let error = appended.await.expect_err("the answer is malformed");
    assert!(!error.is_not_applied(), "{error:?}");
    store.await.expect("the store has answered");
}
