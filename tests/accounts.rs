//! API keys and client accounts, through a real entry host.

mod site;

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use site::accounts::config;
use site::raw::{RawEndpoint, Reply, header};
use site::{Answer, Endpoint, Host, Store, exchange, until};
use tokio::time::sleep;

const ALICE: &str = r#"["alice",["key-a1","key-a2"],1,null,null]"#;
const BOB: &str = r#"["bob",["key-b"],2,0,0]"#;

/// Sends a GET with these further header lines, each with its line end.
async fn get(host: &Host, path: &str, lines: &str) -> Answer {
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nTime-Remaining: 2000\r\nConnection: close\r\n{lines}\r\n"
    );
    exchange(host.callers, &head).await.expect("an answer")
}

async fn start_raw() -> (Store, RawEndpoint, Host) {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, &[ALICE, BOB])));
    let endpoint = RawEndpoint::start(|_| {
        Reply::Keep(
            "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
        )
    })
    .await;
    endpoint.register(&store, "svc");
    let host = Host::ready("entry", &store).await;
    (store, endpoint, host)
}

async fn put(store: &Store, host: &Host, version: u64, accounts: &[&str], key: &str, status: u16) {
    store.put("keyed.op", "config", Some(&config(version, accounts)));
    let line = format!("Credential: {key}\r\n");
    until("the configuration is in force", async || {
        get(host, "/read/x", &line).await.status == status
    })
    .await;
}

/// The endpoint is told the account that holds the key, never the key, nor an account that
/// the caller names itself.
#[rstest]
#[case("/read/x", "Credential: key-a1\r\n", Some("alice"))]
#[case("/read/x", "Credential: key-a2\r\nTenant: bob\r\n", Some("alice"))]
#[case("/read/x", "Tenant: alice\r\ncredential: key-b\r\n", Some("bob"))]
#[case("/open/x", "", None)]
#[case("/open/x", "Tenant: alice\r\n", None)]
#[case("/open/x", "Credential: nobodys\r\nTenant: alice\r\n", None)]
#[case("/open/x", "Credential: key-b\r\n", Some("bob"))]
#[tokio::test(flavor = "multi_thread")]
async fn account_named(#[case] path: &str, #[case] lines: &str, #[case] account: Option<&str>) {
    let (_store, endpoint, host) = start_raw().await;
    assert_eq!(get(&host, path, lines).await.status, 200);
    let received = endpoint.received();
    let head = &received[0].head;
    assert_eq!(header(head, "tenant"), account, "{head}");
    assert_eq!(header(head, "credential"), None, "{head}");
}

/// A request without a valid key is rejected at once and reaches no endpoint.
#[rstest]
#[case("")]
#[case("Credential: nobodys\r\n")]
#[case("Credential: key-a\r\n")]
#[case("Credential:\r\n")]
#[case("Credential: key-a1\r\nCredential: key-b\r\n")]
#[case("Credential: key-a1, key-b\r\n")]
#[case("Tenant: alice\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_keys(#[case] lines: &str) {
    let (_store, endpoint, host) = start_raw().await;
    assert_eq!(get(&host, "/read/x", lines).await.status, 401);
    let long = format!("Credential: {}\r\n", "k".repeat(5_000));
    assert_eq!(get(&host, "/read/x", &long).await.status, 401);
    assert!(endpoint.received().is_empty());
}

/// A caller that announces a long body learns that its key is unknown before it sends it.
#[tokio::test(flavor = "multi_thread")]
async fn body_unread() {
    let (_store, endpoint, host) = start_raw().await;
    let head = "POST /write/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nConnection: close\r\nContent-Length: 100000\r\nCredential: nobodys\r\n\r\n";
    let answer = exchange(host.callers, head).await.expect("an answer");
    assert_eq!(answer.status, 401);
    assert!(endpoint.received().is_empty());
}

/// A key that operators revoke stops working, also its account's last one; a key that they
/// add works soon.
#[tokio::test(flavor = "multi_thread")]
async fn keys_change() {
    let (store, _endpoint, host) = start_raw().await;
    assert_eq!(
        get(&host, "/read/x", "Credential: key-b\r\n").await.status,
        200
    );
    let keyless = r#"["bob",[],2,0,0]"#;
    put(&store, &host, 2, &[ALICE, keyless], "key-b", 401).await;
    assert_eq!(
        get(&host, "/read/x", "Credential: key-a1\r\n").await.status,
        200
    );
    let renewed = r#"["bob",["key-n"],2,0,0]"#;
    put(&store, &host, 3, &[ALICE, renewed], "key-n", 200).await;
    assert_eq!(
        get(&host, "/read/x", "Credential: key-b\r\n").await.status,
        401
    );
    put(&store, &host, 4, &[], "key-n", 401).await;
}

/// A configuration whose accounts are invalid is not used; the last good one stays.
#[rstest]
#[case(r#"["carol",["key-a1"],1,null,null]"#)]
#[case(r#"["alice",["key-c"],1,null,null]"#)]
#[case(r#"["carol",["key-c"],1,-5,1]"#)]
#[case(r#"["carol",["key-c"],1,5,-1]"#)]
#[case(r#"["carol",["key-c"],1,1e999,1]"#)]
#[case(r#"["carol",[""],1,null,null]"#)]
#[case(r#"["carol",["key-c"],1,null]"#)]
#[case(r#"["carol","key-c",1,null,null]"#)]
#[case(r#"["car\nol",["key-c"],1,null,null]"#)]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_accounts(#[case] row: &str) {
    let (store, _endpoint, host) = start_raw().await;
    store.put("keyed.op", "config", Some(&config(2, &[ALICE, row])));
    put(
        &store,
        &host,
        3,
        &[ALICE, BOB, r#"["dave",["key-d"],1,null,null]"#],
        "key-d",
        200,
    )
    .await;
    assert_eq!(
        get(&host, "/read/x", "Credential: key-c\r\n").await.status,
        401
    );
    assert_eq!(
        get(&host, "/read/x", "Credential: key-a1\r\n").await.status,
        200
    );
}

/// A request that waits for an endpoint while its key is revoked must not run.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_while_waiting() {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, &[ALICE, BOB])));
    let endpoint = Endpoint::start("i-1").await;
    endpoint.register(&store, "ready");
    endpoint.set_latency(2_000);
    let host = Host::ready("entry", &store).await;
    let host = &host;
    let revoke = async {
        sleep(Duration::from_millis(20)).await;
        put(&store, host, 2, &[ALICE], "key-b", 401).await;
        endpoint.set_latency(100);
    };
    let (answer, ()) = tokio::join!(get(host, "/read/x", "Credential: key-b\r\n"), revoke);
    let runs: BTreeSet<String> = endpoint.runs().into_iter().collect();
    match answer.status {
        401 | 503 => assert!(runs.is_empty(), "{runs:?}"),
        // The request was sent before the host had heard of the revocation.
        status => assert_eq!(status, 200),
    }
}
