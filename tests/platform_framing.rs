//! HTTP framing between callers, entry hosts and endpoints: bodies that are early, late, chunked
//! or without a length.

mod site;

use std::time::Duration;

use rstest::rstest;
use site::raw::{RawEndpoint, ReceivedRequest, Reply, header};
use site::{Answer, Host, ROUTES, Store, config, exchange, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The length, in bytes, of a body that the host forwards before it has received all of it.
const LONG_BODY: usize = 600_000;

async fn start(
    script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> (Store, RawEndpoint, Host) {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    let endpoint = RawEndpoint::start(script).await;
    endpoint.register(&store, "svc");
    let host = Host::ready("entry", &store).await;
    (store, endpoint, host)
}

/// Returns a signed answer to the attempt `id` with the body `text`.
fn signed(id: &str, text: &str) -> String {
    let length = text.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\nContent-Length: {length}\r\n\r\n{text}"
    )
}

/// Returns a signed answer without a length, which the end of the connection delimits.
fn unframed(id: &str, text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n\r\n{text}")
}

fn ids(endpoint: &RawEndpoint) -> Vec<String> {
    let seen = endpoint.received();
    seen.iter().map(|s| s.id().to_owned()).collect()
}

/// An endpoint writes a second answer after a complete one. On a reused connection the host would
/// take it for the answer to the next request, and send a caller another caller's data.
#[tokio::test(flavor = "multi_thread")]
async fn extra_answers() {
    let (_store, endpoint, host) = start(|seen| {
        let answer = signed(seen.id(), &format!("for {}", seen.id()));
        Reply::Keep(format!("{answer}{}", signed("stray", "stray")))
    })
    .await;
    for n in 0..6 {
        let id = format!("w{n}");
        let answer = host.request("POST", "/write/x", &id).await;
        assert_eq!((answer.status, answer.body), (200, format!("for {id}")));
    }
    assert_eq!(ids(&endpoint), ["w0", "w1", "w2", "w3", "w4", "w5"]);
}

/// An endpoint answers that it did not run an earlier attempt. If the host took that as the answer
/// to the present request, it would send a running request again, which would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn late_rejection() {
    let (_store, endpoint, host) = start(|_| {
        let stray = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        Reply::Keep(stray.to_owned())
    })
    .await;
    let answer = host.request("POST", "/write/x", "w1").await;
    assert_eq!(answer.status, 502, "the request may have run: {answer:?}");
    assert_eq!(ids(&endpoint), ["w1"]);
}

/// An answer without a length ends with its connection. It is complete if the connection is closed
/// with FIN, and must count as cut if the connection is reset.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_answers() {
    let (_store, _endpoint, host) = start(|seen| match seen.id() {
        "whole" => Reply::Close(unframed("whole", "all of it")),
        id => Reply::Reset(unframed(id, "half")),
    })
    .await;
    let whole = host.request("POST", "/write/x", "whole").await;
    assert_eq!((whole.status, whole.body.as_str()), (200, "all of it"));
    let cut = host.request("POST", "/write/x", "cut").await;
    assert_eq!(cut.status, 502, "a cut answer was forwarded: {cut:?}");
}

/// The connection of a long answer without a length is reset after the caller has received a part
/// of it. The answer must not look complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn long_unframed_cut() {
    let (_store, _endpoint, host) =
        start(|seen| Reply::Reset(unframed(seen.id(), &"x".repeat(LONG_BODY)))).await;
    let head = "POST /write/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w1\r\nTime-Remaining: 2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let mut stream = TcpStream::connect(host.callers)
        .await
        .expect("the host accepts");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the host reads");
    let mut bytes = Vec::new();
    // A reset, too, shows the caller that the answer is cut, as a missing last chunk does.
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes);
    let fails = text.starts_with("HTTP/1.1 502");
    assert!(
        fails || !text.ends_with("0\r\n\r\n"),
        "the answer looks complete"
    );
}

/// Chunked bodies must arrive unchanged in both directions.
#[rstest]
#[case(10)]
#[case(LONG_BODY)]
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies(#[case] size: usize) {
    let (_store, endpoint, host) = start(|seen| {
        Reply::Keep(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n",
            seen.id()
        ))
    })
    .await;
    let body = "b".repeat(size);
    let request = format!(
        "POST /write/x?a=1&b=%20 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w1\r\nTime-Remaining: 2000\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"
    );
    let answer = exchange(host.callers, &request).await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("whole"), "{answer:?}");
    let seen = endpoint.received();
    assert!(seen[0].head.starts_with("POST /write/x?a=1&b=%20 HTTP/1.1"));
    assert_eq!(seen[0].body, format!("abc{body}").as_bytes());
}

/// An endpoint answers before it has read a long body, and reads the rest afterwards. If its
/// connection were reused immediately, the endpoint would take the next request as the rest of that
/// body. If the caller's connection were closed while the caller still sends its body, the caller
/// would get a reset, often before it has read the answer.
#[tokio::test(flavor = "multi_thread")]
async fn early_answers() {
    let (_store, endpoint, host) = start(|seen| Reply::Early(signed(seen.id(), "early"))).await;
    let body = "b".repeat(LONG_BODY);
    let (start, rest) = body.split_at(LONG_BODY / 2);
    let mut stream = TcpStream::connect(host.callers)
        .await
        .expect("the host accepts");
    for n in 0..4 {
        let head = format!(
            "POST /write/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w{n}\r\nTime-Remaining: 2000\r\nContent-Length: {LONG_BODY}\r\n\r\n{start}"
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the host reads");
        let answer = timeout(Duration::from_secs(10), first_line(&mut stream)).await;
        let line = answer.expect("an answer in time");
        assert!(line.starts_with("HTTP/1.1 200"), "{line}");
        let sent = stream.write_all(rest.as_bytes()).await;
        sent.expect("the rest of the body is read too");
    }
    // The host may forward the rest or close; whatever arrives must belong to the same request.
    for seen in endpoint.received() {
        assert!(seen.head.starts_with("POST /write/x HTTP/1.1\r\n"));
        assert_eq!(
            seen.body,
            body.as_bytes(),
            "the body has bytes of another request"
        );
    }
}

async fn first_line(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 512];
    let count = stream.read(&mut bytes).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// A reused connection to an endpoint stops passing data without a reset. Requests sent on it
/// would be lost, and whether they ran would stay unknown.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let (_store, endpoint, host) = start(|seen| match seen.id() {
        "mute" => Reply::Silent,
        id => Reply::Keep(signed(id, "whole")),
    })
    .await;
    for n in 0..5 {
        host.request("POST", "/write/x", &format!("before-{n}"))
            .await;
    }
    // The timeout must close the connection, so that no later request uses it.
    assert_eq!(host.request("GET", "/read/x", "mute").await.status, 504);
    until("the endpoint serves again", async || {
        let answer = host.request("POST", "/write/x", "after").await;
        answer.status == 200
    })
    .await;
    let silent = endpoint
        .received()
        .iter()
        .find(|s| s.id() == "mute")
        .map(|s| s.connection);
    let after = endpoint.received().last().map(|s| s.connection);
    assert_ne!(after, silent);
}

/// The host must close the connection of a caller that sends its head too slowly, or one that is
/// too large. Otherwise a thousand such callers would use up the host's file descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_heads() {
    let (_store, endpoint, host) = start(|seen| Reply::Keep(signed(seen.id(), "whole"))).await;
    let large = format!(
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\nBig: {}\r\n\r\n",
        "x".repeat(64 * 1024)
    );
    let status = exchange(host.callers, &large).await.map(|a| a.status);
    assert!(matches!(status, None | Some(431)), "{status:?}");
    let mut slow = TcpStream::connect(host.callers)
        .await
        .expect("the host accepts");
    slow.write_all(b"GET /read/x HTTP/1.1\r\nHost:")
        .await
        .expect("the host reads");
    let mut rest = Vec::new();
    timeout(Duration::from_secs(10), slow.read_to_end(&mut rest))
        .await
        .expect("the host closes the connection")
        .ok();
    assert!(endpoint.received().is_empty());
}

/// A caller reuses its connection after four fifths of the configured idle timeout. If the host
/// closed the connection earlier, the caller's next request could cross the close and be lost.
#[tokio::test(flavor = "multi_thread")]
async fn idle_callers() {
    let store = Store::start().await;
    let short = config(1, ROUTES).replace("\"idleTimeoutS\":15", "\"idleTimeoutS\":5");
    store.put("keyed.op", "config", Some(&short));
    let endpoint = RawEndpoint::start(|seen| Reply::Keep(signed(seen.id(), "whole"))).await;
    endpoint.register(&store, "svc");
    let host = Host::ready("entry", &store).await;
    let mut stream = TcpStream::connect(host.callers)
        .await
        .expect("the host accepts");
    for n in 0..2 {
        let request = format!(
            "POST /write/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w{n}\r\nTime-Remaining: 2000\r\nContent-Length: 0\r\n\r\n"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the connection is open");
        let line = first_line(&mut stream).await;
        assert!(line.starts_with("HTTP/1.1 200"), "{line}");
        if n == 0 {
            sleep(Duration::from_secs(4)).await;
        }
    }
    assert_eq!(ids(&endpoint), ["w0", "w1"]);
}

/// One weighted service of a route has no endpoints. Its fraction of the requests must be refused
/// with `Retry-After`: sent to the other service, they would exceed the weight set by operators.
#[tokio::test(flavor = "multi_thread")]
async fn empty_service() {
    let store = Store::start().await;
    let weighted = r#"["read","a.example","/read/","safe",2.0,0.5,2,[{"service":"svc","weight":50},{"service":"none","weight":50}],2,null]"#;
    let short = r#",["none","/health",220,"h1",false,3.0,6.0]]},"limits""#;
    let both = config(1, weighted).replace(r#"]},"limits""#, short);
    store.put("keyed.op", "config", Some(&both));
    let endpoint = RawEndpoint::start(|seen| Reply::Keep(signed(seen.id(), "whole"))).await;
    endpoint.register(&store, "svc");
    let host = Host::ready("entry", &store).await;
    let mut answers: Vec<Answer> = Vec::new();
    for n in 0..200 {
        answers.push(host.request("GET", "/read/x", &format!("r{n}")).await);
    }
    let served = answers.iter().filter(|a| a.status == 200).count();
    // Half of 200, with five standard deviations of a fair coin on either side.
    assert!((65..=135).contains(&served), "{served} of 200");
    let rejected: Vec<&Answer> = answers.iter().filter(|a| a.status != 200).collect();
    for answer in rejected {
        assert_eq!(answer.status, 503);
        assert!(header(&answer.head, "retry-after").is_some());
    }
    assert_eq!(endpoint.received().len(), served);
}
