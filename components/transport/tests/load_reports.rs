//! How an owner reads the load reports of its endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

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

fn service(backends: &[Backend]) -> Service {
    let endpoints = backends.iter().map(|backend| Endpoint {
        address: backend.address(),
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
    let host = HostKey::named("north");
    let options = DispatcherOptions {
        host,
        incarnation: 1,
        data_centre: "trent".to_owned(),
        policy: Policy::Shared,
    };
    let dispatcher = Dispatcher::new(&options, Arc::new(|_, _| {}));
    let mut config = config(service(&backends));
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
