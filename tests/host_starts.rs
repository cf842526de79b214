//! Hosts that start, one by one beside running neighbours and all at once.

mod site;

use std::time::Duration;

use site::{Endpoint, Host, ROUTES, Store, config, until};
use tokio::time::sleep;

/// A host that starts must load routes and endpoints from its neighbours. With hundreds of hosts,
/// reading everything from the store would make thousands of calls.
#[tokio::test(flavor = "multi_thread")]
async fn loads_from_neighbours() {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let first = Host::ready("first", &store).await;
    let before = store.listings();
    let mut others = Vec::new();
    for n in 1..6 {
        let host = first.join(&format!("h-{n}"), &store).await;
        until("the host is ready", async || host.readiness().await == 200).await;
        others.push(host);
    }
    let read = store.listings() - before;
    // A host that reads everything from the store reads two pages.
    assert!(read <= 4, "{} hosts read {read} pages", others.len());
    assert_eq!(others[0].request("GET", "/read/x", "r1").await.status, 200);
}

/// While no host has a configuration yet, a rejected caller would retry at another host that
/// rejects it too, and give up. Requests must wait a moment for the configuration instead.
#[tokio::test(flavor = "multi_thread")]
async fn request_waits() {
    let store = Store::start().await;
    let endpoint = Endpoint::start("i-1").await;
    endpoint.register(&store, "ready");
    let first = Host::start("first", &store).await;
    let second = first.join("second", &store).await;
    let calls = store.calls();
    until("one host reads the store for both", async || {
        store.calls() > calls + 4
    })
    .await;
    let request = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nTime-Remaining: 8000\r\nConnection: close\r\n\r\n";
    let served = async {
        let answers = tokio::join!(
            site::exchange(first.callers, request),
            site::exchange(second.callers, request)
        );
        [answers.0, answers.1]
    };
    let known = async {
        sleep(Duration::from_millis(100)).await;
        store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    };
    let (answers, ()) = tokio::join!(served, known);
    for answer in answers {
        assert_eq!(answer.map(|a| a.status), Some(200));
    }
}

/// A host that gets no configuration must reject waiting requests as not run, with 503 and
/// `Retry-After`.
#[tokio::test(flavor = "multi_thread")]
async fn wait_ends() {
    let store = Store::start().await;
    let host = Host::start("entry", &store).await;
    let answer = host.request("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.has_header("retry-after"));
}
