//! How an owner reads the load reports of its endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use stand_ins::backend::{Backend, Options};
use stand_ins::history::History;
use state::config::Member;
use state::policy::Policy;
use state::preset::{DataCentre, Endpoint, Preset, Service};
use state::{Config, HostKey};
use tokio::time::{sleep, timeout};
use transport::clock;
use transport::dispatch::{Dispatcher, DispatcherOptions};

const WARM_TIMEOUT: Duration = Duration::from_secs(20);
const SLOTS: u32 = 6;

fn service(addresses: impl Iterator<Item = SocketAddr>) -> Service {
    let endpoints = addresses.map(|address| Endpoint {
        address,
        data_centre: "trent".to_owned(),
    });
    Service {
        name: "hallboard".to_owned(),
        endpoints: endpoints.collect(),
        slots: SLOTS,
        cold_slots: 1,
        connections: 200,
        deadline_ms: 10_000,
        queue: 50,
        body_limit: 1_000,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    }
}

fn config(service: Service) -> Config {
    let centre = DataCentre {
        name: "trent".to_owned(),
        region: "midlands".to_owned(),
    };
    let preset = Preset {
        name: "ordinary".to_owned(),
        data_centres: vec![centre],
        services: vec![service],
    };
    Config {
        revision: 1,
        offset: 1,
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        chosen: Some("ordinary".to_owned()),
        ..Config::default()
    }
}

/// Starts a dispatcher whose host owns all endpoints of this service.
fn dispatcher(service: Service) -> Arc<Dispatcher> {
    let host = HostKey::named("north");
    let options = DispatcherOptions {
        host,
        incarnation: 1,
        data_centre: "trent".to_owned(),
        policy: Policy::Shared,
    };
    let dispatcher = Dispatcher::new(&options, Arc::new(|_, _| {}));
    let mut config = config(service);
    dispatcher.set_alive(BTreeSet::from([host]));
    dispatcher.configure(&config);
    config.revision = 2;
    let member = Member {
        name: "north".to_owned(),
        incarnation: 1,
        peer: ([127, 0, 0, 1], 9).into(),
        data_centre: "trent".to_owned(),
        joined: 2,
    };
    config.members.insert(host, member);
    dispatcher.confirm(clock::now());
    dispatcher.configure(&config);
    dispatcher
}

/// The system starts with backend servers that report that they are warm. Each closes
/// its connection together with its report, and most reports were lost because
/// of that close. Callers were then refused for more than a second while five of
/// six slots were idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_read_despite_close() {
    let history = History::default();
    let backends: Vec<Backend> = (0..8)
        .map(|_| {
            let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
            Backend::start(listener, Options::default(), history.clone()).unwrap()
        })
        .collect();
    let dispatcher = dispatcher(service(backends.iter().map(Backend::address)));
    let all_warm = async {
        loop {
            dispatcher.confirm(clock::now());
            let owned = dispatcher.owned_endpoints();
            if owned.len() == backends.len() && owned.iter().all(|e| e.cap == SLOTS) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(WARM_TIMEOUT, all_warm)
        .await
        .expect("every endpoint is known to be warm");
}

/// A report in a malformed answer must not count: an endpoint that is cold would get as many calls
/// as a warm one.
#[rstest]
#[case::valid("Content-Length: 43\r\n", SLOTS)]
#[case::two_lengths("Content-Length: 43\r\nContent-Length: 43\r\n", 1)]
#[case::coding("Transfer-Encoding: gzip\r\n", 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_report(#[case] framing: &str, #[case] expected_cap: u32) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let report = r#"{"boot":"one","state":"warm","running":0  }"#;
    let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{report}");
    let probed = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&probed);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _request = stream.read(&mut [0; 4_096]).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    let dispatcher = dispatcher(service(std::iter::once(address)));
    let cap = || dispatcher.owned_endpoints().first().map(|e| e.cap);
    let probing = async {
        while probed.load(Ordering::Relaxed) < 3 || cap().is_none() {
            dispatcher.confirm(clock::now());
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(WARM_TIMEOUT, probing).await.expect("probes come");
    assert_eq!(cap(), Some(expected_cap));
}
