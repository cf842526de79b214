//! Entries of another writer among those of the endpoints.

mod site;

use std::cell::Cell;
use std::time::Duration;

use rstest::rstest;
use site::raw::{RawEndpoint, Reply};
use site::{Endpoint, ROUTES, Store, config, until};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// How deeply nested values are.
const DEPTH: usize = 60_000;

/// A key as long as a record allows.
const LONG_KEY: usize = 255;

/// Returns an entry like that of a usable endpoint, with this text in place of a field's value.
fn with_field(field: &str, value: &str, address: &str) -> String {
    let address_value = format!("\"{address}\"");
    let fields = [
        ("service", "\"svc\""),
        ("address", address_value.as_str()),
        ("zone", "\"here\""),
        ("version", "\"v1\""),
        ("slots", "6"),
        ("state", "\"ready\""),
        ("warmupRemainingS", "0"),
        ("sequence", "1"),
        ("born", "1"),
    ];
    let members: Vec<String> = fields
        .iter()
        .map(|(name, usual)| {
            let text = if *name == field { value } else { usual };
            format!("\"{name}\":{text}")
        })
        .collect();
    format!("{{{}}}", members.join(","))
}

/// Returns entries that name no usable endpoint; those with an address name `address`.
fn invalid_entries(address: &str) -> Vec<String> {
    let nested = ["[".repeat(DEPTH), "]".repeat(DEPTH)].concat();
    let unclosed = "[".repeat(DEPTH);
    let nested_objects = [
        "{\"a\":".repeat(DEPTH / 4),
        "1".to_owned(),
        "}".repeat(DEPTH / 4),
    ]
    .concat();
    let digits = "9".repeat(10_000);
    let numbers = [
        "1e400",
        "-1e400",
        "1e309",
        "1e300",
        "1e30",
        "-1",
        "1.5e0x",
        "NaN",
        "Infinity",
        "\"6\"",
        "null",
        "true",
        "[]",
        "{}",
        "18446744073709551616",
        "-9223372036854775809",
        "0x10",
        &digits,
    ];
    let mut entries: Vec<String> = vec![
        String::new(),
        " ".into(),
        "null".into(),
        "true".into(),
        "1".into(),
        "\"text\"".into(),
        "[]".into(),
        "{}".into(),
        "{".into(),
        "}".into(),
        "\u{0}".into(),
        "\u{feff}{}".into(),
        nested.clone(),
        unclosed.clone(),
        nested_objects.clone(),
        digits.clone(),
        "x".repeat(200_000),
    ];
    for number in numbers {
        for field in ["slots", "warmupRemainingS", "sequence", "born"] {
            entries.push(with_field(field, number, address));
        }
    }
    for value in [
        nested.as_str(),
        &nested_objects,
        &unclosed,
        "1",
        "null",
        "\"\\ud800\"",
    ] {
        for field in [
            "service",
            "address",
            "zone",
            "state",
            "slots",
            "warmupRemainingS",
        ] {
            let is_number = matches!(field, "slots" | "warmupRemainingS");
            if !(value == "1" && is_number) {
                entries.push(with_field(field, value, address));
            }
        }
    }
    let (ip, _) = address.rsplit_once(':').expect("an address has a port");
    for port in [
        "65536",
        "70000",
        "99999",
        "-1",
        "4294967296",
        "0x50",
        "",
        "80x",
        "+80",
        "1e4",
        " 80",
    ] {
        entries.push(with_field("address", &format!("\"{ip}:{port}\""), address));
    }
    for other in [
        "",
        "here",
        "localhost:80",
        "127.0.0.1",
        "256.0.0.1:80",
        "[::1:80",
        ":80",
        "//127.0.0.1:80",
    ] {
        entries.push(with_field("address", &format!("\"{other}\""), address));
    }
    for state in ["Ready", "gone", "", "ready "] {
        entries.push(with_field("state", &format!("\"{state}\""), address));
    }
    for slots in ["0", "65536", "4294967294", "4294967295"] {
        entries.push(with_field("slots", slots, address));
    }
    entries.push(with_field("slots", "6,\"slots\":7", address));
    entries
}

/// Returns well-formed entries of endpoints of another service that can't be reached, some with
/// figures that no endpoint has.
fn unreachable_entries() -> Vec<String> {
    let mut entries = Vec::new();
    for target in [
        "127.0.0.1:0",
        "0.0.0.0:0",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "[::1]:1",
        "[::]:0",
        "127.0.0.1:1",
    ] {
        entries.push(with_field("zone", "\"here\"", target));
    }
    for (field, value) in [
        ("warmupRemainingS", "1e18"),
        ("warmupRemainingS", "1e19"),
        ("warmupRemainingS", "1e30"),
        ("warmupRemainingS", "1e-300"),
        ("sequence", "18446744073709551615"),
        ("born", "18446744073709551615"),
        ("zone", "\"\""),
        ("zone", "\"\\u0000\\n\""),
        ("version", "\"\""),
        ("service", "\"\""),
    ] {
        entries.push(with_field(field, value, "127.0.0.1:1"));
    }
    entries.push(with_field(
        "version",
        &format!("\"{}\"", "v".repeat(100_000)),
        "127.0.0.1:1",
    ));
    let nested = ["[".repeat(DEPTH), "]".repeat(DEPTH)].concat();
    for extra in [nested.as_str(), "1e999", "{\"a\":null}"] {
        let value = format!("1,\"extra\":{extra}");
        entries.push(with_field("born", &value, "127.0.0.1:1"));
    }
    let other = |entry: String| entry.replace("\"svc\"", "\"other\"");
    entries.into_iter().map(other).collect()
}

/// Returns keys under which another writer may leave an entry.
fn unusual_keys() -> Vec<String> {
    vec![
        String::new(),
        " ".into(),
        "\n".into(),
        "\u{0}".into(),
        "i-1\r\nX: a".into(),
        "é".into(),
        "\"".into(),
        "{}".into(),
        "k".repeat(LONG_KEY),
    ]
}

/// Writes all entries of another writer, each under a key of its own; the invalid ones name
/// `address`.
fn put_entries(store: &Store, address: &str) {
    let entries = [invalid_entries(address), unreachable_entries()].concat();
    for (n, entry) in entries.iter().enumerate() {
        store.put("keyed.servers", &format!("other-{n}"), Some(entry));
    }
    for key in unusual_keys() {
        let entry = with_field("service", "\"other\"", "127.0.0.1:1");
        store.put("keyed.servers", &key, Some(&entry));
    }
}

/// When the invalid entries are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Time {
    /// Before hosts start; they read them from the list of all entries.
    Before,
    /// While hosts run; they read them as changes, and send them to each other.
    After,
}

/// Invalid entries must neither end a host nor keep it from following the list, and none of them may
/// get a request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn list_followed(#[values(Time::Before, Time::After)] time: Time) {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    let first = Endpoint::start("i-1").await;
    first.register(&store, "ready");
    // Nothing may connect to the address that invalid entries name.
    let unused = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = unused.local_addr().expect("an address").to_string();
    if time == Time::Before {
        put_entries(&store, &address);
    }
    let mut hosts = site::start_hosts(&store, 2).await;
    if time == Time::After {
        put_entries(&store, &address);
    }
    // What comes behind the invalid entries must be followed, too.
    let second = Endpoint::start("i-2").await;
    second.register(&store, "ready");
    first.register(&store, "draining");
    for (at, host) in hosts.iter().enumerate() {
        let sent = Cell::new(0);
        until(
            "the new endpoint is used, and the old one isn't",
            async || {
                sent.set(sent.get() + 1);
                host.try_request("GET", "/read/x", &format!("r-{at}-{}", sent.get()))
                    .await;
                second.runs().contains(&format!("r-{at}-{}", sent.get()))
            },
        )
        .await;
    }
    for (at, host) in hosts.iter().enumerate() {
        for n in 0..20 {
            until("the request is served", async || {
                let id = format!("w-{at}-{n}");
                host.request("POST", "/write/x", &id).await.status == 200
            })
            .await;
        }
    }
    for host in &mut hosts {
        assert_eq!(host.exit_success(), None, "the host has ended");
        until("the host is ready", async || host.readiness().await == 200).await;
    }
    let accepted = timeout(Duration::from_millis(100), unused.accept());
    assert!(accepted.await.is_err(), "an invalid entry was used");
}

/// Figures in the answers of an endpoint that no endpoint has must neither end a host nor keep it
/// from serving requests.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_counts() {
    const LARGEST: &str = "4294967295";
    let fields = [
        format!("Server-Load: {LARGEST},{LARGEST},{LARGEST},{LARGEST}"),
        format!("Server-Load: {LARGEST},0,{LARGEST},1"),
        format!("Server-Load: 0,{LARGEST},1,0"),
        format!("Server-Load: 1,1,0,{LARGEST}"),
        "Server-Load: 99999999999,0,6,100".to_owned(),
        "Server-Load: 0,0,0,0".to_owned(),
        "Server-Load: -1,-1,-1,-1".to_owned(),
        "Server-Load: 0,0,6,100\r\nWarmup-Remaining: 1e300".to_owned(),
        "Server-Load: 0,0,6,100\r\nWarmup-Remaining: 1e18".to_owned(),
        "Server-Load: 0,0,6,100\r\nWarmup-Remaining: NaN".to_owned(),
        "Server-Load: 0,0,6,100\r\nKeep-Alive: timeout=18446744073709551615".to_owned(),
        "Server-Load: 0,0,6,100\r\nKeep-Alive: timeout=0".to_owned(),
        "Server-Load: 0,0,6,100\r\nServer-Limit: 1e308".to_owned(),
        "Server-Load: 0,0,6,100\r\nServer-Limit: inf".to_owned(),
        "Server-Load: 0,0,6,100\r\nRetry-After: 1e19".to_owned(),
    ];
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(1, ROUTES)));
    let mut endpoints = Vec::new();
    for (n, field) in fields.into_iter().enumerate() {
        let instance = format!("other-{n}");
        let name = instance.clone();
        let endpoint = RawEndpoint::start_unhealthy(move |received| {
            let id = received.id();
            Reply::Keep(match received.is_probe() {
                true => format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\n{field}\r\nContent-Length: 0\r\n\r\n"
                ),
                false => format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n{field}\r\nContent-Length: 5\r\n\r\nwhole"
                ),
            })
        })
        .await;
        endpoint.register_as(&instance, &store, "svc");
        endpoints.push(endpoint);
    }
    let mut hosts = site::start_hosts(&store, 2).await;
    for n in 0..200 {
        let host = &hosts[n % 2];
        let answer = host.request("GET", "/read/x", &format!("r{n}")).await;
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    }
    for host in &mut hosts {
        until("a request is served", async || {
            host.request("GET", "/read/x", "last").await.status == 200
        })
        .await;
        assert_eq!(host.exit_success(), None, "the host has ended");
        until("the host is ready", async || host.readiness().await == 200).await;
    }
}
