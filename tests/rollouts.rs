//! Roll-outs of a good and of a bad version, with real hosts, endpoints and store.

mod site;

use std::sync::Arc;
use std::time::Duration;

use site::endpoint::Behaviour;
use site::{Endpoint, Host, ROUTES, Store, config, until};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// How many hosts the site has.
const HOST_COUNT: usize = 3;

/// The time between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// What endpoints do if there is no fault.
const WORK: Behaviour = Behaviour::Delay(15);

/// How many requests a bad version may get: a tenth of all, and the slack.
fn allowed(requests: usize) -> usize {
    requests / 10 + 20
}

struct Site {
    store: Store,
    old: Vec<Endpoint>,
    new: Vec<Endpoint>,
    hosts: Vec<Arc<Host>>,
}

impl Site {
    /// Starts hosts and endpoints of "v1".
    async fn start() -> Site {
        let store = Store::start().await;
        store.put("keyed.op", "config", Some(&config(1, ROUTES)));
        let old = endpoints("old", "v1", &store).await;
        old.iter().for_each(|e| e.set_behaviour(WORK));
        let hosts = site::start_hosts(&store, HOST_COUNT).await;
        Site {
            store,
            old,
            new: Vec::new(),
            hosts: hosts.into_iter().map(Arc::new).collect(),
        }
    }

    /// Orders a roll-out of "v2", whose endpoints handle requests like this.
    async fn order(&mut self, seconds: &str, behaviour: Behaviour) {
        self.put_order(&format!(
            r#"{{"service":"svc","targetVersion":"v2","durationS":{seconds}}}"#
        ));
        self.new = endpoints("new", "v2", &self.store).await;
        self.new.iter().for_each(|e| e.set_behaviour(behaviour));
    }

    fn put_order(&self, order: &str) {
        self.store.put("keyed.op", "rollout/svc", Some(order));
    }

    async fn status(&self) -> Option<String> {
        self.store.value("keyed.status", "rollout/svc").await
    }

    async fn has_state(&self, state: &str) -> bool {
        let expected = format!("\"state\":\"{state}\"");
        self.status().await.is_some_and(|s| s.contains(&expected))
    }

    /// Sends requests to all hosts in turn until the roll-out has this state; returns how many
    /// were sent.
    async fn send_until(&self, state: &str) -> usize {
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        let mut sent = 0;
        while !self.has_state(state).await {
            assert!(sent < 4_000, "no {state} after {sent} requests");
            for _ in 0..10 {
                ticks.tick().await;
                self.send(&mut running, sent);
                sent += 1;
            }
        }
        while running.join_next().await.is_some() {}
        sent
    }

    fn send(&self, running: &mut JoinSet<u16>, number: usize) {
        let host = Arc::clone(&self.hosts[number % HOST_COUNT]);
        running.spawn(async move {
            let id = format!("r-{number}");
            host.request("GET", "/read/x", &id).await.status
        });
    }

    /// Sends requests to all hosts, and returns how many were served.
    async fn served(&self, count: usize) -> usize {
        let mut running = JoinSet::new();
        for number in 0..count {
            self.send(&mut running, number);
        }
        let statuses = running.join_all().await;
        statuses.iter().filter(|status| **status == 200).count()
    }
}

async fn endpoints(name: &str, version: &str, store: &Store) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let id = format!("{name}-{number}");
        let endpoint = Endpoint::start_version(&id, version).await;
        endpoint.register(store, "ready");
        endpoints.push(endpoint);
    }
    endpoints
}

fn runs(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|e| e.runs().len()).sum()
}

/// A good version must get a few requests first and all of them in the end, and the old one
/// must get none from the moment at which operators read that the roll-out is completed.
#[tokio::test(flavor = "multi_thread")]
async fn good_version() {
    let mut site = Site::start().await;
    site.order("5", WORK).await;
    site.send_until("running").await;
    site.send_until("completed").await;
    let before = runs(&site.old);
    assert_eq!(site.served(60).await, 60);
    assert_eq!(runs(&site.old), before);
    let status = site.status().await.unwrap_or_default();
    assert!(status.contains("\"targetVersion\":\"v2\""), "{status}");
}

/// A version whose requests all fail must go back after a few of them, and get none later,
/// also from a host that starts afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version() {
    let mut site = Site::start().await;
    site.order("20", Behaviour::Fail).await;
    let sent = site.send_until("rolled_back").await;
    let exposed = runs(&site.new);
    assert!(
        exposed <= allowed(sent),
        "{exposed} of {sent} requests met the bad version"
    );
    let late = site.hosts[0].join("late", &site.store).await;
    until("the late host is ready", async || {
        late.readiness().await == 200
    })
    .await;
    for number in 0..30 {
        let id = format!("late-{number}");
        assert_eq!(late.request("GET", "/read/x", &id).await.status, 200);
    }
    assert_eq!(site.served(60).await, 60);
    assert_eq!(runs(&site.new), exposed);
}

/// Endpoints of a version that nobody ordered must get nothing beside those in use, and an
/// order that can't be read must not change that.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_orders() {
    let site = Site::start().await;
    let new = endpoints("new", "v2", &site.store).await;
    for order in [
        "{",
        r#"{"service":"svc","targetVersion":"v2"}"#,
        r#"{"service":"svc","targetVersion":"v2","durationS":-1}"#,
        r#"{"service":"svc","targetVersion":"v2","durationS":"soon"}"#,
        r#"{"service":"other","targetVersion":"v2","durationS":5}"#,
    ] {
        site.put_order(order);
        assert_eq!(site.served(40).await, 40, "{order}");
    }
    assert_eq!(runs(&new), 0);
    assert_eq!(site.status().await, None);
}

/// All hosts start anew after a version was rolled back, and the order still stands. They must
/// learn the verdict from the store and send the bad version nothing.
#[tokio::test(flavor = "multi_thread")]
async fn verdict_survives() {
    let mut site = Site::start().await;
    site.order("20", Behaviour::Fail).await;
    site.send_until("rolled_back").await;
    let exposed = runs(&site.new);
    site.hosts.clear();
    let hosts = site::start_hosts(&site.store, HOST_COUNT).await;
    site.hosts = hosts.into_iter().map(Arc::new).collect();
    assert_eq!(site.served(90).await, 90);
    assert_eq!(runs(&site.new), exposed);
    assert!(site.has_state("rolled_back").await);
}
