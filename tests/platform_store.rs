//! How entry hosts handle the store's records and its outages.

mod site;

use std::time::Duration;

use site::store::Mode;
use site::{Endpoint, Host, ROUTES, Store, config, until};

const ONE_ROUTE: &str = r#"["other","a.example","/other/","safe",2.0,0.5,2,null,2,"svc"]"#;

/// A host without a configuration can't tell which routes exist. It must answer 503 with
/// `Retry-After`: a 404 would stop the caller from retrying.
#[tokio::test(flavor = "multi_thread")]
async fn no_configuration() {
    let store = Store::start().await;
    let host = Host::start("entry", &store).await;
    assert_eq!(host.readiness().await, 503);
    let answer = host.request("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.has_header("retry-after"));
}

/// The store holds a configuration with an unknown service, a truncated one and one with an older
/// version. The host must ignore all three, or callers would lose routes in force.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_configurations() {
    let (store, _endpoint) = site::store_and_endpoint(&config(5, ROUTES)).await;
    let host = Host::ready("entry", &store).await;
    let unknown = ONE_ROUTE.replace("svc", "nowhere");
    store.put("keyed.op", "config", Some(&config(6, &unknown)));
    store.put("keyed.op", "config", Some("{\"version\":7,"));
    store.put("keyed.op", "config", Some(&config(4, ONE_ROUTE)));
    let marker = r#"["marker","m.example","/","safe",2.0,0.5,2,null,2,"svc"]"#;
    store.put(
        "keyed.op",
        "config",
        Some(&config(8, &format!("{ROUTES},{marker}"))),
    );
    until("version 8 is in force", async || {
        let request =
            "GET /x HTTP/1.1\r\nHost: m.example\r\nAttempt-Id: m\r\nConnection: close\r\n\r\n";
        site::exchange(host.callers, request)
            .await
            .is_some_and(|a| a.status == 200)
    })
    .await;
    assert_eq!(host.request("GET", "/read/x", "r1").await.status, 200);
    assert_eq!(host.request("GET", "/other/x", "r2").await.status, 404);
}

/// Unreadable endpoint records must not keep the host from using the valid ones.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_endpoints() {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    store.put("keyed.servers", "i-0", Some("\u{1}not json"));
    store.put(
        "keyed.servers",
        "i-9",
        Some(r#"{"service":"svc","address":17}"#),
    );
    let endpoint = Endpoint::start("i-1").await;
    endpoint.register(&store, "ready");
    let host = Host::ready("entry", &store).await;
    assert_eq!(host.request("GET", "/read/x", "r1").await.status, 200);
}

/// An endpoint that registers as draining must get no more requests.
#[tokio::test(flavor = "multi_thread")]
async fn draining_endpoint() {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
    endpoints.iter().for_each(|e| e.register(&store, "ready"));
    let host = Host::ready("entry", &store).await;
    endpoints[0].register(&store, "draining");
    until(
        "ten requests in a row go to the other endpoint",
        async || {
            let before = endpoints[0].runs().len();
            for _ in 0..10 {
                host.request("GET", "/read/x", "r").await;
            }
            endpoints[0].runs().len() == before
        },
    )
    .await;
}

/// Requests are refused with 503 while a data centre is evacuated, and served afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_centre() {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let host = Host::ready("entry", &store).await;
    store.put("keyed.op", "evacuate/here", Some("{}"));
    until("requests are refused", async || {
        host.request("GET", "/read/x", "r").await.status == 503
    })
    .await;
    store.put("keyed.op", "evacuate/here", None);
    until("requests are served again", async || {
        host.request("GET", "/read/x", "r").await.status == 200
    })
    .await;
}

/// During an outage of the store, silent or refusing, the host must serve with the configuration
/// that it has, and must apply a new version soon after the outage.
#[rstest::rstest]
#[case(Mode::Silent)]
#[case(Mode::Refusing)]
#[tokio::test(flavor = "multi_thread")]
async fn store_outage(#[case] mode: Mode) {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let host = Host::ready("entry", &store).await;
    store.set_mode(mode);
    let calls = store.calls();
    until("the store receives a call during the outage", async || {
        store.calls() > calls
    })
    .await;
    assert_eq!(host.request("GET", "/read/x", "r1").await.status, 200);
    store.set_mode(Mode::Up);
    store.put("keyed.op", "config", Some(&config(2, ONE_ROUTE)));
    until("version 2 is in force", async || {
        host.request("GET", "/other/x", "r2").await.status == 200
    })
    .await;
}

/// A host that starts during an outage of the store must load routes and endpoints from its
/// neighbour. Otherwise it refuses all callers until the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn outage_start() {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let [_old, new] = site::start_in_outage(&store).await;
    assert_eq!(new.request("GET", "/read/x", "r1").await.status, 200);
}

/// A host that starts during an outage of the store doesn't learn its share of the probes from
/// it. It must probe all the same, or its callers get the endpoints that happen to be slow.
#[tokio::test(flavor = "multi_thread")]
async fn outage_probes() {
    let (store, endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let [_old, new] = site::start_in_outage(&store).await;
    let before = endpoint.probes().len();
    until("the new host probes", async || {
        assert_eq!(new.request("GET", "/read/x", "r").await.status, 200);
        endpoint.probes().len() > before
    })
    .await;
}

/// The store drops old records that a host has not read yet. The host must start over from the
/// newest record of each key, and must notice that an endpoint has been removed.
#[tokio::test(flavor = "multi_thread")]
async fn compacted_topics() {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
    endpoints.iter().for_each(|e| e.register(&store, "ready"));
    let host = Host::ready("entry", &store).await;
    store.set_mode(Mode::Refusing);
    store.put("keyed.servers", "i-1", None);
    store.put("keyed.op", "config", Some(&config(2, ONE_ROUTE)));
    store.compact("keyed.servers");
    store.compact("keyed.op");
    store.set_mode(Mode::Up);
    until("only the other endpoint serves, by version 2", async || {
        let before = endpoints[0].runs().len();
        let mut served = true;
        for _ in 0..10 {
            served &= host.request("GET", "/other/x", "r").await.status == 200;
        }
        served && endpoints[0].runs().len() == before
    })
    .await;
}

/// Entries of another service, which make the topic too large for a datagram.
const OTHER_ENDPOINTS: u64 = 6_000;

/// The records of a page of the store.
const PAGE_RECORDS: u64 = 500;

fn other_endpoint(number: u64) -> String {
    let [.., high, low] = number.to_be_bytes();
    format!(
        r#"{{"service":"other","address":"127.9.{high}.{low}:80","zone":"here","version":"v{}","slots":6,"state":"ready","warmupRemainingS":0,"sequence":1,"born":{}}}"#,
        number * 7_919 % 1_000,
        number * 104_729
    )
}

/// The store drops records that no host has read yet. One host reads the whole topic and leads
/// the others from where they were to its end: if each read it, a large site would send the
/// store thousands of calls at once.
#[tokio::test(flavor = "multi_thread")]
async fn compacted_once() {
    let (store, endpoints) = site::store_and_endpoints(4).await;
    for number in 0..OTHER_ENDPOINTS {
        store.put(
            "keyed.servers",
            &format!("o-{number}"),
            Some(&other_endpoint(number)),
        );
    }
    let hosts = site::start_hosts(&store, 8).await;
    // Only hosts that have just taken in the whole topic read it again by themselves.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = store.listings();
    store.set_mode(Mode::Refusing);
    store.put("keyed.servers", "i-1", None);
    endpoints[1].register(&store, "ready");
    store.compact("keyed.servers");
    store.set_mode(Mode::Up);
    for host in &hosts {
        until("the removed endpoint gets nothing", async || {
            let runs = endpoints[0].runs().len();
            for _ in 0..12 {
                host.request("GET", "/read/x", "r").await;
            }
            endpoints[0].runs().len() == runs
        })
        .await;
    }
    let pages = store.listings() - before;
    let whole = OTHER_ENDPOINTS.div_ceil(PAGE_RECORDS) + 1;
    assert!(
        pages <= whole * 2,
        "{pages} pages read; the topic has {whole}"
    );
}
