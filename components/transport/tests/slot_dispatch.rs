//! Dispatchers of several entry hosts that share the slots of backend servers, in
//! real time and without network.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use state::config::Member;
use state::policy::Policy;
use state::preset::{DataCentre, Endpoint, Preset, Service};
use state::{Config, HostKey, Moment, ServiceKey};
use tokio::time::timeout;
use transport::clock;
use transport::dispatch::{Call, Dispatcher, DispatcherOptions, Ending, Refusal, SendMessage};

const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(20);

/// The dispatchers of some entry hosts, whose messages are delivered directly.
struct Site {
    config: Config,
    hosts: Vec<(HostKey, Arc<Dispatcher>)>,
}

type Peers = Arc<OnceLock<BTreeMap<HostKey, Weak<Dispatcher>>>>;

/// Returns a configuration of one service with `endpoints` and no members.
///
/// Nothing listens at the endpoints: the tests end where a call gets its slot.
fn config(endpoints: u16) -> Config {
    let service = Service {
        name: "hallboard".to_owned(),
        endpoints: (0..endpoints)
            .map(|n| Endpoint {
                address: ([127, 0, 0, 1], 1 + n).into(),
                data_centre: "trent".to_owned(),
            })
            .collect(),
        slots: 6,
        cold_slots: 2,
        connections: 200,
        deadline_ms: 10_000,
        queue: 50,
        body_limit: 1_000,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    };
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

impl Site {
    /// Starts `count` hosts that join one after another.
    fn start(count: u64, endpoints: u16) -> Site {
        let peers: Peers = Arc::default();
        let mut site = Site {
            config: config(endpoints),
            hosts: Vec::new(),
        };
        for n in 0..count {
            site.add(n, &peers);
        }
        let map = site.hosts.iter().map(|(k, d)| (*k, Arc::downgrade(d)));
        peers.set(map.collect()).ok();
        for n in 0..count {
            site.join(n);
        }
        site.confirm();
        site
    }

    fn add(&mut self, n: u64, peers: &Peers) {
        let host = HostKey(n + 1);
        let peers = Arc::clone(peers);
        let send: SendMessage = Arc::new(move |to, message| {
            let peer = peers.get().and_then(|p| p.get(&to)).cloned();
            tokio::spawn(async move {
                if let Some(peer) = peer.and_then(|p| p.upgrade()) {
                    peer.receive(host, message);
                }
            });
        });
        let options = DispatcherOptions {
            host,
            incarnation: 100 + n,
            data_centre: "trent".to_owned(),
            policy: Policy::Shared,
        };
        self.hosts.push((host, Dispatcher::new(&options, send)));
    }

    fn join(&mut self, n: u64) {
        if n == 0 {
            self.configure();
        }
        self.config.revision += 1;
        let member = Member {
            name: format!("entry-{n}"),
            incarnation: 100 + n,
            peer: ([127, 0, 0, 1], 9).into(),
            data_centre: "trent".to_owned(),
            joined: self.config.revision,
        };
        self.config.members.insert(HostKey(n + 1), member);
        self.confirm_once();
        self.configure();
    }

    fn configure(&self) {
        let alive: BTreeSet<HostKey> = self.hosts.iter().map(|(k, _)| *k).collect();
        for (_, host) in &self.hosts {
            host.set_alive(alive.clone());
            host.configure(&self.config);
        }
    }

    fn confirm_once(&self) {
        for (_, host) in &self.hosts {
            host.confirm(clock::now());
        }
    }

    /// Confirms every 100 ms that each host's configuration is current, until
    /// the site is dropped.
    fn confirm(&self) {
        for (_, host) in &self.hosts {
            let host = Arc::downgrade(host);
            tokio::spawn(async move {
                while let Some(host) = host.upgrade() {
                    host.confirm(clock::now());
                    drop(host);
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        }
    }

    fn host(&self, n: usize) -> &Arc<Dispatcher> {
        &self.hosts[n].1
    }
}

fn call(left: Duration) -> Call {
    Call {
        service: ServiceKey::named("hallboard"),
        deadline: clock::now() + left,
        tried: Vec::new(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slot_waits_for_release() {
    let site = Site::start(1, 1);
    let host = site.host(0);
    let first = host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap();
    let second = host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap();
    assert!(first.may_send());
    let third = host.acquire(&call(Duration::from_millis(30))).await;
    assert_eq!(third.err(), Some(Refusal::Expired));
    first.finish(Ending::Answered);
    let fourth = host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap();
    drop(fourth);
    second.finish(Ending::Answered);
}

// All calls arrive at one entry host, then at another. The slots must move to
// it; with a fixed share the second host's calls would wait forever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_follow_callers() {
    let site = Site::start(3, 2);
    for n in [0, 1, 2, 0] {
        let mut grants = Vec::new();
        for _ in 0..4 {
            let found = site.host(n).acquire(&call(ACQUIRE_TIMEOUT)).await;
            grants.push(found.ok().unwrap());
        }
        let most = grants
            .iter()
            .filter(|g| g.endpoint == grants[0].endpoint)
            .count();
        assert_eq!(most, 2, "more calls than the slots of a cold endpoint");
        for grant in grants {
            grant.finish(Ending::Answered);
        }
    }
}

// A caller hangs up while its call waits. The next free slot must go to another
// call, not to the cancelled one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_call() {
    let site = Site::start(1, 1);
    let host = site.host(0);
    let first = host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap();
    let second = host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap();
    let asked = call(ACQUIRE_TIMEOUT);
    let gone = host.acquire(&asked);
    assert!(timeout(Duration::from_millis(20), gone).await.is_err());
    let service = ServiceKey::named("hallboard");
    assert_eq!(host.service_status(service).unwrap().waiting, 0);
    first.finish(Ending::Answered);
    assert!(host.acquire(&call(ACQUIRE_TIMEOUT)).await.is_ok());
    drop(second);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_refuses() {
    let site = Site::start(1, 1);
    let host = Arc::clone(site.host(0));
    let held = [
        host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap(),
        host.acquire(&call(ACQUIRE_TIMEOUT)).await.ok().unwrap(),
    ];
    let waiter = Arc::clone(&host);
    let waiting = tokio::spawn(async move { waiter.acquire(&call(ACQUIRE_TIMEOUT)).await.err() });
    let service = ServiceKey::named("hallboard");
    while host.service_status(service).unwrap().waiting == 0 {
        tokio::task::yield_now().await;
    }
    host.stop();
    assert_eq!(waiting.await.unwrap(), Some(Refusal::Stopping));
    let late = host.acquire(&call(ACQUIRE_TIMEOUT)).await;
    assert_eq!(late.err(), Some(Refusal::Stopping));
    assert!(held.iter().all(|g| g.may_send()));
}

// An entry host that knows no members can't know which other hosts lease slots.
// It must start no call, and refuse each one by its deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_members() {
    let options = DispatcherOptions {
        host: HostKey(1),
        incarnation: 1,
        data_centre: "trent".to_owned(),
        policy: Policy::Shared,
    };
    let host = Dispatcher::new(&options, Arc::new(|_, _| {}));
    host.configure(&config(1));
    host.confirm(clock::now());
    let found = host.acquire(&call(Duration::from_millis(30))).await;
    assert_eq!(found.err(), Some(Refusal::Expired));
    let unknown = Call {
        service: ServiceKey::named("nothing"),
        deadline: Moment(u64::MAX),
        tried: Vec::new(),
    };
    let found = host.acquire(&unknown).await;
    assert_eq!(found.err(), Some(Refusal::UnknownService));
}
