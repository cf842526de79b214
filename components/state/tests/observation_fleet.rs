//! Observations shared by the hosts of a data centre, in virtual time.
//!
//! Run with `--nocapture` for the figures.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::fleet::observation_outbox::{
    BURST_BYTES, BYTES_PER_SECOND, DATAGRAM_BYTES, ENDPOINT_BYTES, GROUP_BYTES,
};
use state::fleet::outcome::Outcome;
use state::fleet::{
    Endpoint, Entry, Hints, Observation, ObservationKind, ObservationOutbox, Registry,
};
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);

/// The one-way latency between two hosts of a data centre, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 400..2_000;

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        instance: format!("i-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named("near"),
        version: None,
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn address(host: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(host).expect("few hosts").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_540))
}

/// What happens at a host.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request, sent to an endpoint.
    Request(usize),
    /// The gathered observations may be due.
    Due,
    /// Observations of another host: their numbers, and their ages.
    Told(usize, Vec<(usize, Duration)>),
}

struct Host {
    registry: Registry,
    hints: Hints,
    outbox: ObservationOutbox,
    sent_bytes: usize,
}

struct Site {
    hosts: Vec<Host>,
    keys: BTreeMap<EndpointKey, usize>,
    events: BinaryHeap<Reverse<(Moment, u64, usize, Event)>>,
    number: u64,
    random: StdRng,
    shares: bool,
    kind: ObservationKind,
    /// Requests that met the failed endpoints.
    failed_requests: usize,
    datagrams: usize,
    bytes: usize,
    /// When each host first avoided the first endpoint.
    known: BTreeMap<usize, Moment>,
}

impl Site {
    fn new(hosts: usize, endpoints: usize, shares: bool, seed: u64) -> Site {
        let hosts = (0..hosts).map(|_| {
            let mut own = Registry::default();
            for number in 0..endpoints {
                let endpoint = endpoint(number);
                let name = endpoint.instance.clone();
                own.apply(&name, Some(Entry::Endpoint(endpoint)), START);
            }
            Host {
                registry: own,
                hints: Hints::default(),
                outbox: ObservationOutbox::default(),
                sent_bytes: 0,
            }
        });
        Site {
            hosts: hosts.collect(),
            keys: (0..endpoints).map(|n| (endpoint(n).key(), n)).collect(),
            events: BinaryHeap::new(),
            number: 0,
            random: StdRng::seed_from_u64(seed),
            shares,
            kind: ObservationKind::Unconnected,
            failed_requests: 0,
            datagrams: 0,
            bytes: 0,
            known: BTreeMap::new(),
        }
    }

    fn push(&mut self, at: Moment, host: usize, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, host, event)));
    }

    /// A host's connection to an endpoint is refused.
    fn fail(&mut self, host: usize, endpoint_number: usize, now: Moment) {
        let key = endpoint(endpoint_number).key();
        let hosts = self.hosts.len();
        let draw = self.random.random();
        let own = &mut self.hosts[host];
        self.failed_requests += 1;
        let avoided = own.registry.note_outcome(key, Outcome::Broken, now);
        self.known.entry(host).or_insert(now);
        if avoided && self.shares {
            let due = own.outbox.note_failure(key, self.kind, hosts, draw, now);
            if let Some(due) = due {
                self.push(due, host, Event::Due);
            }
        }
    }

    fn tell(&mut self, host: usize, now: Moment) {
        let receivers = self.hosts.len() - 1;
        let told = self.hosts[host].outbox.take_due(receivers, now);
        if told.is_empty() {
            return;
        }
        let size = DATAGRAM_BYTES + GROUP_BYTES + ENDPOINT_BYTES * told.len();
        self.hosts[host].sent_bytes += size * receivers;
        self.bytes += size * receivers;
        self.datagrams += receivers;
        let told: Vec<(usize, Duration)> = told
            .iter()
            .map(|o| (self.keys[&o.endpoint], o.age))
            .collect();
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            let latency = Duration::from_micros(self.random.random_range(LATENCY_US));
            self.push(now + latency, other, Event::Told(host, told.clone()));
        }
    }

    fn take_in(&mut self, host: usize, from: usize, told: &[(usize, Duration)], now: Moment) {
        let kind = self.kind;
        let told: Vec<Observation> = told
            .iter()
            .map(|(number, age)| Observation {
                endpoint: endpoint(*number).key(),
                kind,
                age: *age,
            })
            .collect();
        let own = &mut self.hosts[host];
        own.outbox.note_told(address(from), &told, now);
        let effect = own
            .hints
            .take_in(address(from), &told, &mut own.registry, now);
        if !effect.avoided.is_empty() {
            self.known.entry(host).or_insert(now);
        }
    }

    /// Sends a request to an endpoint that isn't avoided; the first `failed` are down.
    fn request(&mut self, host: usize, failed: usize, now: Moment) {
        let own = &self.hosts[host];
        let used: Vec<usize> = (0..self.keys.len())
            .filter(|n| {
                let state = own.registry.get(endpoint(*n).key());
                state.is_some_and(|s| !s.health.is_avoided(now))
            })
            .collect();
        let chosen = self.random.random_range(0..used.len().max(1));
        let chosen = used.get(chosen).copied();
        if let Some(chosen) = chosen.filter(|n| *n < failed) {
            self.fail(host, chosen, now);
        }
    }

    fn run(&mut self, until: Moment, failed: usize) {
        while let Some(Reverse((now, _, host, event))) = self.events.pop() {
            if now > until {
                return;
            }
            match event {
                Event::Request(_) => self.request(host, failed, now),
                Event::Due => self.tell(host, now),
                Event::Told(from, told) => self.take_in(host, from, &told, now),
            }
        }
    }
}

/// All hosts see a failure within a millisecond. If each told all, the datagrams would grow with
/// the square of the number of hosts.
#[rstest]
#[case(13, 4)]
#[case(97, 32)]
#[case(984, 200)]
fn seen_by_all(#[case] site_size: usize, #[case] hosts: usize) {
    const SEEDS: u64 = 10;
    for kind in [ObservationKind::Unconnected, ObservationKind::Broken] {
        let mut tellers = Vec::new();
        for seed in 0..SEEDS {
            let mut site = Site::new(hosts, 8, true, seed);
            site.kind = kind;
            for host in 0..hosts {
                let at = START + Duration::from_micros(site.random.random_range(0..1_000));
                site.fail(host, 0, at);
            }
            site.run(START + Duration::from_secs(1), 0);
            tellers.push(site.datagrams / (hosts - 1));
        }
        tellers.sort_unstable();
        println!(
            "site={site_size} hosts={hosts} kind={kind:?} tellers middle={} most={}, without suppression {hosts}",
            tellers[tellers.len() / 2],
            tellers[tellers.len() - 1]
        );
        let limit = 4 * kind.needed_hosts();
        let mean = tellers.iter().sum::<usize>() / tellers.len();
        assert!(mean <= limit.min(hosts), "{tellers:?}");
    }
}

/// A tenth of the endpoints go down. Each host must not find each of them by a request of its own,
/// and no host may exceed its byte budget.
#[rstest]
#[case(13, 4, 60, 40.0)]
#[case(97, 32, 65, 10.0)]
#[case(984, 200, 200, 1.0)]
fn requests_spared(
    #[case] site_size: usize,
    #[case] hosts: usize,
    #[case] endpoints: usize,
    #[case] rate: f64,
) {
    const SECONDS: u64 = 10;
    let failed = endpoints / 10;
    let mut failures = Vec::new();
    for shares in [false, true] {
        let mut site = Site::new(hosts, endpoints, shares, 7);
        for host in 0..hosts {
            let mut at = START;
            while at < START + Duration::from_secs(SECONDS) {
                let gap: f64 = site.random.random::<f64>() * 2.0 / rate;
                at = at + Duration::from_secs_f64(gap);
                site.push(at, host, Event::Request(0));
            }
        }
        site.run(START + Duration::from_secs(SECONDS), failed);
        let most = site.hosts.iter().map(|h| h.sent_bytes).max();
        let limit = u64::from(BURST_BYTES) + SECONDS * u64::from(BYTES_PER_SECOND);
        println!(
            "site={site_size} hosts={hosts} endpoints={endpoints} down={failed} rate={rate} shares={shares} failed_requests={} datagrams={} bytes_per_host_s={} most_bytes_of_a_host={:?} budget={limit}",
            site.failed_requests,
            site.datagrams,
            site.bytes as u64 / SECONDS / hosts as u64,
            most
        );
        assert!(most.is_none_or(|bytes| bytes as u64 <= limit));
        failures.push(site.failed_requests);
    }
    assert!(failures[1] < failures[0], "{failures:?}");
}

/// One host of a large data centre meets a dead endpoint. The others must know within tens of
/// milliseconds.
#[test]
fn told_soon() {
    const HOSTS: usize = 200;
    for seed in 0..10 {
        let mut site = Site::new(HOSTS, 20, true, seed);
        site.fail(0, 0, START);
        site.run(START + Duration::from_secs(1), 0);
        let last = site.known.values().max().copied();
        assert_eq!(site.known.len(), HOSTS);
        assert!(last.is_some_and(|at| at <= START + Duration::from_millis(25)));
    }
}
