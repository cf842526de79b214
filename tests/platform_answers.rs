//! How a real entry host forwards, retries or replaces the answers of endpoints.

mod site;

use std::time::Duration;

use rstest::rstest;
use site::endpoint::Behaviour;
use site::{Endpoint, Host, ROUTES, Store, config, until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn start(names: &[&str]) -> (Store, Vec<Endpoint>, Host) {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    let mut endpoints = Vec::new();
    for name in names {
        let endpoint = Endpoint::start(name).await;
        endpoint.register(&store, "ready");
        endpoints.push(endpoint);
    }
    let host = Host::ready("entry", &store).await;
    (store, endpoints, host)
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_forwarded() {
    let (_store, endpoints, host) = start(&["i-1"]).await;
    let answer = host.request("GET", "/read/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    assert!(answer.has_header("server-signature") && answer.has_header("attempt-id"));
    assert_eq!(endpoints[0].runs(), ["r1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes() {
    let (_store, _endpoints, host) = start(&["i-1"]).await;
    assert_eq!(host.request("GET", "/none/x", "r1").await.status, 404);
}

/// An endpoint's answer to an unsafe request is invalid: cut, another request's, unsigned, encoded,
/// or a 503 without `Not-Executed`. Forwarded, it would give the caller partial data or another
/// caller's; retried, the request would run twice. The host must answer 502 instead.
#[rstest]
#[case(Behaviour::Cut)]
#[case(Behaviour::WrongAttempt)]
#[case(Behaviour::Unsigned)]
#[case(Behaviour::Encoded)]
#[case(Behaviour::Unavailable)]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_answer_unsafe(#[case] behaviour: Behaviour) {
    let (_store, endpoints, host) = start(&["i-1", "i-2"]).await;
    endpoints.iter().for_each(|e| e.set_behaviour(behaviour));
    let answer = host.request("POST", "/write/x", "w1").await;
    assert_eq!(answer.status, 502);
    assert!(!answer.has_header("server-signature"));
    let runs: Vec<String> = endpoints.iter().flat_map(Endpoint::runs).collect();
    assert_eq!(runs, ["w1"]);
}

/// An endpoint's answer to a safe request is invalid or failed. The host must retry at another
/// endpoint, whose answer the caller gets.
#[rstest]
#[case(Behaviour::Cut)]
#[case(Behaviour::WrongAttempt)]
#[case(Behaviour::Unsigned)]
#[case(Behaviour::Fail)]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_answer_retried(#[case] behaviour: Behaviour) {
    let (_store, endpoints, host) = start(&["i-1", "i-2"]).await;
    // The retry budget is a fraction of the requests served before.
    for n in 0..10 {
        host.request("GET", "/read/x", &format!("before-{n}")).await;
    }
    endpoints[0].set_behaviour(behaviour);
    for n in 0..2 {
        let answer = host.request("GET", "/read/x", &format!("r-{n}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    }
}

/// All endpoints reject a request without running it. The caller must get 503 ("not run") with
/// `Retry-After`, and no endpoint may have run the request.
#[tokio::test(flavor = "multi_thread")]
async fn all_reject() {
    let (_store, endpoints, host) = start(&["i-1", "i-2"]).await;
    endpoints
        .iter()
        .for_each(|e| e.set_behaviour(Behaviour::Reject));
    let answer = host.request("POST", "/write/x", "w1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.has_header("retry-after"));
    assert!(endpoints.iter().all(|e| e.runs().is_empty()));
}

/// An endpoint never answers. The caller must get 504 at the route's timeout, not 503, which
/// would mean "not run".
#[tokio::test(flavor = "multi_thread")]
async fn silent_endpoint() {
    let (_store, endpoints, host) = start(&["i-1"]).await;
    endpoints[0].set_behaviour(Behaviour::Hang);
    let answer = host.request("POST", "/write/x", "w1").await;
    assert_eq!(answer.status, 504);
    until("the endpoint's request is cancelled", async || {
        endpoints[0].cancelled() == 1
    })
    .await;
}

/// One endpoint fails a request, and the endpoint that gets the retry never answers. The caller
/// must get the first endpoint's answer instead of a timeout.
#[tokio::test(flavor = "multi_thread")]
async fn failed_then_silent() {
    let (_store, endpoints, host) = start(&["i-1", "i-2"]).await;
    for n in 0..10 {
        host.request("GET", "/read/x", &format!("before-{n}")).await;
    }
    endpoints[0].set_behaviour(Behaviour::Fail);
    endpoints[1].set_behaviour(Behaviour::Hang);
    let answer = host.request("GET", "/read/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert!(answer.has_header("server-signature"));
}

/// The address of an endpoint that has ended was reassigned to another instance. A request sent
/// there could run at the wrong service.
#[tokio::test(flavor = "multi_thread")]
async fn reused_address() {
    let (store, endpoints, host) = start(&["i-1"]).await;
    let entry = format!(
        r#"{{"service":"svc","address":"{}","zone":"here","version":"v1","slots":6,"state":"ready","warmupRemainingS":0,"sequence":1,"born":2}}"#,
        endpoints[0].address
    );
    store.put("keyed.servers", "i-1", None);
    store.put("keyed.servers", "i-old", Some(&entry));
    until("the request is not run", async || {
        host.request("POST", "/write/x", "probe").await.status == 503
    })
    .await;
}

/// A caller closes its connection while its request runs. The host must cancel the request, or the
/// slot would stay taken by work that nobody waits for.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let (_store, endpoints, host) = start(&["i-1"]).await;
    endpoints[0].set_behaviour(Behaviour::Hang);
    let mut stream = TcpStream::connect(host.callers)
        .await
        .expect("the host accepts");
    let request = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nTime-Remaining: 60000\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the host reads");
    until("the endpoint runs the request", async || {
        endpoints[0].runs().len() == 1
    })
    .await;
    drop(stream);
    until("the endpoint's request is cancelled", async || {
        endpoints[0].cancelled() == 1
    })
    .await;
}

/// One of three endpoints, on an overloaded machine, reports four times the usual latency. The host
/// must send its requests to the other two.
#[tokio::test(flavor = "multi_thread")]
async fn slow_endpoint() {
    let (_store, endpoints, host) = start(&["i-1", "i-2", "i-3"]).await;
    endpoints[1].set_latency(400);
    for n in 0..30 {
        host.request("GET", "/read/x", &format!("r-{n}")).await;
    }
    assert!(endpoints[1].runs().is_empty());
}

/// SIGTERM arrives while a request runs and new ones still arrive. The host must answer the running
/// request, report that it is not ready, still serve new requests, and exit in time with success.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop() {
    let (_store, endpoints, mut host) = start(&["i-1"]).await;
    endpoints[0].set_behaviour(Behaviour::Delay(800));
    let callers = host.callers;
    let running = tokio::spawn(async move {
        let request = "POST /write/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w1\r\nTime-Remaining: 2000\r\nContent-Length: 0\r\n\r\n";
        site::exchange(callers, request).await
    });
    until("the endpoint runs the request", async || {
        endpoints[0].runs().len() == 1
    })
    .await;
    host.terminate();
    until("the host is not ready", async || {
        host.readiness().await == 503
    })
    .await;
    let answer = running
        .await
        .expect("the task ends")
        .expect("the request is answered");
    assert_eq!(answer.status, 200);
    assert!(answer.has_header("connection"));
    endpoints[0].set_behaviour(Behaviour::Serve);
    assert_eq!(host.request("GET", "/read/x", "r2").await.status, 200);
    for _ in 0..500 {
        if host.exit_success().is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(host.exit_success(), Some(true));
}

/// Operators lower a running host's limit of open files. If the limit were applied only at the next
/// start, callers above it would hold the file descriptors that the host needs for endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn changed_settings() {
    let (_store, _endpoints, host) = start(&["i-1"]).await;
    let status = async || {
        let answer = host.try_request("GET", "/read/x", "r1").await;
        answer.map(|a| a.status)
    };
    // As many connections as `open_files = 601` leaves for callers.
    let mut held = Vec::new();
    for _ in 0..150 {
        held.push(
            TcpStream::connect(host.callers)
                .await
                .expect("the host accepts"),
        );
    }
    assert_eq!(status().await, Some(200));
    host.change_settings("grace_seconds", "open_files = 601\ngrace_seconds");
    until("one more connection is refused", async || {
        status().await.is_none()
    })
    .await;
    drop(held);
    until("a connection is accepted again", async || {
        status().await == Some(200)
    })
    .await;
}
