//! The proxy injects the fault that is set.

use std::io::ErrorKind;
use std::time::Duration;

use stand_ins::proxy::{Fault, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(20);
const SILENCE: Duration = Duration::from_millis(200);

/// Starts an echo server and a proxy before it.
async fn echo() -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    proxy
}

async fn connect(proxy: &Proxy) -> TcpStream {
    TcpStream::connect(proxy.address()).await.unwrap()
}

async fn ping(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping").await?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}

#[tokio::test]
async fn passes_all() {
    let proxy = echo().await;
    let mut stream = connect(&proxy).await;
    assert_eq!(&ping(&mut stream).await.unwrap(), b"ping");
}

#[rstest::rstest]
#[case::requests(Fault::LoseRequests)]
#[case::answers(Fault::LoseAnswers)]
#[tokio::test]
async fn one_way_loss(#[case] fault: Fault) {
    let proxy = echo().await;
    let mut stream = connect(&proxy).await;
    proxy.set(fault);
    assert!(timeout(SILENCE, ping(&mut stream)).await.is_err());
    proxy.set(Fault::Pass);
    assert_eq!(&ping(&mut stream).await.unwrap(), b"ping");
}

#[tokio::test]
async fn cut_and_mended() {
    let proxy = echo().await;
    let mut stream = connect(&proxy).await;
    ping(&mut stream).await.unwrap();
    proxy.set(Fault::Cut);
    assert!(timeout(TIMEOUT, ping(&mut stream)).await.unwrap().is_err());
    proxy.set(Fault::Pass);
    assert_eq!(&ping(&mut connect(&proxy).await).await.unwrap(), b"ping");
}

#[tokio::test]
async fn half_answer() {
    let proxy = echo().await;
    let mut stream = connect(&proxy).await;
    proxy.set(Fault::CutAnswers(6));
    ping(&mut stream).await.unwrap();
    let error = timeout(TIMEOUT, ping(&mut stream))
        .await
        .unwrap()
        .unwrap_err();
    assert!(matches!(
        error.kind(),
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
    ));
}

#[tokio::test]
async fn silent_for_good() {
    let proxy = echo().await;
    let mut old = connect(&proxy).await;
    ping(&mut old).await.unwrap();
    proxy.silence();
    assert!(timeout(SILENCE, ping(&mut old)).await.is_err());
    assert_eq!(&ping(&mut connect(&proxy).await).await.unwrap(), b"ping");
}
