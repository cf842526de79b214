//! The loss of a whole data centre, with its endpoints and hosts, while requests are there.

mod site;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use site::endpoint::Behaviour;
use site::{CutMode, Endpoint, Host, Network, ROUTES, Store, config, until};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// The hosts of the data centre that remains; as many share what they observe.
const HOST_COUNT: usize = 6;

/// The endpoints of each of the two other data centres.
const ENDPOINT_COUNT: usize = 6;

/// How long an endpoint runs a request, in milliseconds: too long for a second copy within the
/// route's objective of 500 ms, so that only the loss makes a host send a request again.
const WORK_MS: u64 = 300;

/// The time between two requests of the load, to all hosts in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// How long requests are sent before and after the loss.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

/// The requests that each host gets before the load, so that it has earned retries.
const FIRST_REQUESTS: usize = 12;

/// One in this many requests may fail: those whose retry met the lost data centre again.
const FAILED_DIVISOR: usize = 25;

struct Site {
    lost_network: Network,
    _store: Store,
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<Host>>,
    lost_hosts: Vec<Host>,
}

/// A request and its answer.
#[derive(Debug)]
struct Sent {
    id: String,
    status: u16,
    /// When the request was sent, after the loss or before it (negative), in milliseconds.
    sent_ms: i128,
    took: Duration,
}

impl Site {
    async fn start() -> Site {
        let store = Store::start().await;
        store.put("keyed.op", "config", Some(&config(1, ROUTES)));
        let lost_network = Network::default();
        let mut endpoints = Vec::new();
        for (centre, network) in [("there", &lost_network), ("away", &Network::default())] {
            for number in 0..ENDPOINT_COUNT {
                let id = format!("{centre}-{number}");
                let endpoint = Endpoint::start_on(network, &id, "v1").await;
                endpoint.set_behaviour(Behaviour::Delay(WORK_MS));
                endpoint.register_in(centre, &store);
                endpoints.push(endpoint);
            }
        }
        let mut hosts = vec![Arc::new(Host::start("host-0", &store).await)];
        for number in 1..HOST_COUNT {
            let host = hosts[0].join(&format!("host-{number}"), &store).await;
            hosts.push(Arc::new(host));
        }
        let mut lost_hosts = Vec::new();
        for number in 0..2 {
            let name = format!("lost-{number}");
            lost_hosts.push(hosts[0].join_in("there", &name, &store).await);
        }
        for host in hosts.iter().map(|h| &**h).chain(&lost_hosts) {
            until("the host is ready", async || host.readiness().await == 200).await;
        }
        Site {
            lost_network,
            _store: store,
            endpoints,
            hosts,
            lost_hosts,
        }
    }

    /// Sends the hosts requests that earn retries for later ones.
    async fn warm_up(&self) {
        let mut running = JoinSet::new();
        for number in 0..FIRST_REQUESTS * self.hosts.len() {
            let host = Arc::clone(&self.hosts[number % self.hosts.len()]);
            let id = format!("first-{number}");
            running.spawn(async move { host.try_request("GET", "/read/x", &id).await });
        }
        running.join_all().await;
    }

    /// Ends the data centre that is lost, as seen from the others.
    fn lose(&self, mode: CutMode) {
        let hosts: Vec<&Host> = self.hosts.iter().map(|h| &**h).collect();
        self.lost_network.cut(&hosts, mode);
        for host in &self.lost_hosts {
            match mode {
                CutMode::Hang => host.freeze(),
                CutMode::Reset | CutMode::RefuseNew => host.kill(),
            }
        }
    }

    /// Sends requests to all hosts in turn, and loses a data centre meanwhile.
    async fn run(&self, method: &'static str, mode: CutMode) -> Vec<Sent> {
        let path = match method {
            "GET" => "/read/x",
            _ => "/write/x",
        };
        let began = Instant::now();
        let loss = began + LOAD_TIME;
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        let mut is_lost = false;
        for number in 0.. {
            ticks.tick().await;
            let sent = Instant::now();
            if sent >= loss && !is_lost {
                is_lost = true;
                self.lose(mode);
            }
            if sent >= loss + LOAD_TIME {
                break;
            }
            let host = Arc::clone(&self.hosts[number % self.hosts.len()]);
            let id = format!("{method}-{number}");
            running.spawn(async move {
                let answer = host.try_request(method, path, &id).await;
                Sent {
                    id,
                    status: answer.map_or(0, |a| a.status),
                    sent_ms: sent.duration_since(began).as_millis() as i128
                        - LOAD_TIME.as_millis() as i128,
                    took: sent.elapsed(),
                }
            });
        }
        let mut all = running.join_all().await;
        all.sort_by_key(|s| s.sent_ms);
        all
    }
}

/// Prints the answers to requests that were under way when the data centre was lost, and to those
/// sent later.
fn print(all: &[Sent]) {
    for (name, range) in [
        ("before", -2_000..-300),
        ("under way", -300..0),
        ("after", 0..2_000),
    ] {
        let part: Vec<&Sent> = all.iter().filter(|s| range.contains(&s.sent_ms)).collect();
        let served = part.iter().filter(|s| s.status == 200).count();
        let longest = part.iter().map(|s| s.took.as_millis()).max();
        let mut took: Vec<u128> = part.iter().map(|s| s.took.as_millis()).collect();
        took.sort_unstable();
        println!(
            "{name}: sent {}, served {served}, middle {:?} ms, longest {longest:?} ms",
            part.len(),
            took.get(took.len() / 2)
        );
    }
    for failed in all.iter().filter(|s| s.status != 200) {
        println!("{failed:?}");
    }
}

/// Requests that may run again must be served elsewhere once their data centre is lost, rather
/// than wait there until their deadline, and new ones must not wait for it.
#[rstest]
#[case::hangs(CutMode::Hang)]
#[case::resets(CutMode::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn reads_served(#[case] mode: CutMode) {
    let site = Site::start().await;
    sleep(Duration::from_secs(2)).await;
    site.warm_up().await;
    let all = site.run("GET", mode).await;
    print(&all);
    let failed = all.iter().filter(|s| s.status != 200).count();
    assert!(
        failed <= all.len() / FAILED_DIVISOR,
        "{failed} of {}",
        all.len()
    );
}

/// Requests that may run only once must not run twice, and what was rejected as not run must not
/// have run.
#[rstest]
#[case::hangs(CutMode::Hang)]
#[case::resets(CutMode::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn writes_once(#[case] mode: CutMode) {
    let site = Site::start().await;
    sleep(Duration::from_secs(2)).await;
    let all = site.run("POST", mode).await;
    print(&all);
    let runs: Vec<String> = site.endpoints.iter().flat_map(Endpoint::runs).collect();
    let unique: BTreeSet<&String> = runs.iter().collect();
    assert_eq!(unique.len(), runs.len(), "a request ran twice");
    for rejected in all.iter().filter(|s| s.status == 503) {
        assert!(!unique.contains(&rejected.id), "{rejected:?} ran");
    }
}
