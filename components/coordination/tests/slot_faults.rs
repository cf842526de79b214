//! Faults of backend servers and entry hosts, and their effect on the slots of a few hosts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use coordination::slots::message::{LeaseKey, SlotMessage};
use coordination::slots::timing::LEASE_TERM;
use coordination::slots::{Arrival, Effect, Ending, Identity, Refusal, SlotManager};
use state::capacity::{LoadReport, Readiness};
use state::config::Member;
use state::preset::{DataCentre, Endpoint, Preset, Service};
use state::queue::CallKey;
use state::{Config, DataCentreKey, EndpointKey, HostKey, Moment};

const SLOTS: u32 = 6;
/// The length of a step and the delay of a message, in milliseconds.
const STEP: u64 = 1;

/// Some hosts and the backend servers of two data centres, simulated in steps of 1 ms.
struct Site {
    config: Config,
    now: u64,
    hosts: Vec<Option<SlotManager>>,
    in_transit: VecDeque<(u64, HostKey, HostKey, SlotMessage)>,
    running: Vec<(u64, usize, LeaseKey)>,
    refused: Vec<Refusal>,
    work: BTreeMap<EndpointKey, u64>,
    sheds: BTreeMap<EndpointKey, usize>,
    boot: String,
    calls: u64,
    probes: u64,
    served: BTreeMap<EndpointKey, u64>,
}

fn service() -> Service {
    let endpoint = |n: u16, centre: &str| Endpoint {
        address: ([10, 0, 0, 1], n).into(),
        data_centre: centre.to_owned(),
    };
    Service {
        name: "dossier".to_owned(),
        endpoints: vec![
            endpoint(1, "a"),
            endpoint(2, "a"),
            endpoint(3, "b"),
            endpoint(4, "b"),
        ],
        slots: SLOTS,
        cold_slots: 1,
        connections: 250,
        deadline_ms: 10_000,
        queue: 100,
        body_limit: 1_000,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    }
}

fn endpoint(n: usize) -> EndpointKey {
    let service = service();
    service.endpoints[n].key(&service)
}

impl Site {
    /// Returns a site whose backend servers are warm and whose slots are all leased.
    fn new(hosts: u64) -> Site {
        let centre = |name: &str| DataCentre {
            name: name.to_owned(),
            region: "hr-central".to_owned(),
        };
        let preset = Preset {
            name: "peak".to_owned(),
            data_centres: vec![centre("a"), centre("b")],
            services: vec![service()],
        };
        let config = Config {
            revision: 1,
            presets: BTreeMap::from([("peak".to_owned(), preset)]),
            chosen: Some("peak".to_owned()),
            ..Config::default()
        };
        let mut site = Site {
            config,
            now: 0,
            hosts: Vec::new(),
            in_transit: VecDeque::new(),
            running: Vec::new(),
            refused: Vec::new(),
            work: BTreeMap::new(),
            sheds: BTreeMap::new(),
            boot: "first".to_owned(),
            calls: 0,
            probes: 0,
            served: BTreeMap::new(),
        };
        for n in 0..hosts {
            let me = Identity {
                host: HostKey(n),
                incarnation: n + 1,
                centre: DataCentreKey::named(if n % 2 == 0 { "a" } else { "b" }),
            };
            site.hosts.push(Some(SlotManager::new(me, Moment(0))));
        }
        site.configure();
        for n in 0..hosts {
            site.config.revision += 1;
            let member = Member {
                name: format!("entry-{n}"),
                incarnation: n + 1,
                peer: ([10, 0, 1, 1], 9).into(),
                data_centre: if n % 2 == 0 { "a" } else { "b" }.to_owned(),
                joined: site.config.revision,
            };
            site.config.members.insert(HostKey(n), member);
            site.configure();
        }
        site.run(1_500, 0);
        site
    }

    fn configure(&mut self) {
        let alive: BTreeSet<HostKey> = (0..self.hosts.len())
            .filter(|n| self.hosts[*n].is_some())
            .map(|n| HostKey(n as u64))
            .collect();
        for n in 0..self.hosts.len() {
            let config = self.config.clone();
            self.act(n, |s, now| {
                s.confirm(now);
                s.configure(&config, &alive, now);
            });
        }
    }

    /// Runs for `millis` with a call every `gap` milliseconds, spread over the hosts.
    fn run(&mut self, millis: u64, gap: u64) {
        for _ in 0..millis / STEP {
            self.now += STEP;
            let now = self.now;
            while self.in_transit.front().is_some_and(|(at, ..)| *at <= now) {
                if let Some((_, from, to, message)) = self.in_transit.pop_front() {
                    self.act(to.0 as usize, |s, now| s.receive(from, message, now));
                }
            }
            let done: Vec<_> = self.running.extract_if(.., |r| r.0 <= now).collect();
            for (_, host, lease) in done {
                *self.served.entry(lease.slot.endpoint).or_default() += 1;
                self.act(host, |s, now| s.finish(lease, Ending::Answered, now));
            }
            if gap > 0 && now.is_multiple_of(gap) {
                self.call((now / gap) as usize % self.hosts.len());
            }
            for n in 0..self.hosts.len() {
                self.act(n, |s, now| {
                    s.confirm(now);
                    s.tick(now);
                });
            }
        }
    }

    fn call(&mut self, host: usize) {
        self.calls += 1;
        let arrival = Arrival {
            call: CallKey(self.calls),
            service: service().key(),
            deadline: Moment::from_millis(self.now + 5_000),
            tried: Vec::new(),
        };
        self.act(host, |s, now| s.arrive(&arrival, now));
    }

    fn act(&mut self, n: usize, step: impl FnOnce(&mut SlotManager, Moment)) {
        let now = Moment::from_millis(self.now);
        let Some(slots) = &mut self.hosts[n] else {
            return;
        };
        step(slots, now);
        for effect in slots.take_effects() {
            self.apply_effect(n, effect);
        }
    }

    fn apply_effect(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send(to, message) => {
                let at = self.now + STEP;
                self.in_transit
                    .push_back((at, HostKey(n as u64), to, message));
            }
            Effect::Start { lease, .. } => self.start(n, lease),
            Effect::Refuse(_, refusal) => self.refused.push(refusal),
            Effect::Probe(endpoint, _) => {
                self.probes += 1;
                let report = LoadReport {
                    boot: self.boot.clone(),
                    readiness: Readiness::Warm,
                    running: 0,
                };
                self.act(n, |s, now| s.probed(endpoint, Some(&report), now));
            }
        }
    }

    fn start(&mut self, n: usize, lease: LeaseKey) {
        let endpoint = lease.slot.endpoint;
        let capacity = self.sheds.get(&endpoint).copied().unwrap_or(usize::MAX);
        if self.at(endpoint) >= capacity {
            self.act(n, |s, now| s.finish(lease, Ending::Shed, now));
            return;
        }
        let work = self.work.get(&endpoint).copied().unwrap_or(10);
        self.running.push((self.now + work, n, lease));
        assert!(self.at(endpoint) <= SLOTS as usize);
    }

    /// Returns the number of calls that run at one endpoint now.
    fn at(&self, endpoint: EndpointKey) -> usize {
        let there = |r: &&(u64, usize, LeaseKey)| r.2.slot.endpoint == endpoint;
        self.running.iter().filter(there).count()
    }

    /// Returns the leases of one endpoint over all hosts.
    fn leased(&self, endpoint: EndpointKey) -> usize {
        let hosts = self.hosts.iter().flatten();
        hosts
            .map(|s| s.held_leases().of_endpoint(endpoint).count())
            .sum()
    }

    fn all_leased(&self) -> usize {
        (0..4).map(|n| self.leased(endpoint(n))).sum()
    }

    /// Returns whether `slots` are held, with none in transit, at some step of the next 200 ms.
    fn settles(&mut self, slots: usize) -> bool {
        (0..200).any(|_| {
            self.run(STEP, 0);
            self.all_leased() == slots
        })
    }

    fn broker(&self) -> usize {
        let hosts = self.hosts.iter().flatten();
        let found = hosts
            .filter_map(|s| s.roles().broker(service().key()))
            .next();
        found.unwrap().0 as usize
    }
}

#[test]
fn all_slots_leased() {
    let mut site = Site::new(4);
    assert_eq!(site.all_leased(), 24);
    site.run(1_000, 1);
    assert!(site.refused.is_empty());
    assert!(site.settles(24));
}

// A backend server restarts cold at the peak, under the same address, and takes one
// call at a time. It sheds the rest. Within a few milliseconds of the first shed
// all hosts together must send it one call at a time.
#[test]
fn cold_at_peak() {
    let mut site = Site::new(4);
    site.run(500, 1);
    site.sheds.insert(endpoint(0), 1);
    site.run(60, 1);
    let before = site.calls;
    assert!(
        site.leased(endpoint(0)) <= 1,
        "{}",
        site.leased(endpoint(0))
    );
    site.run(100, 1);
    assert!(site.calls > before);
    assert!(site.at(endpoint(0)) <= 1);
}

// A backend server becomes warm again: its answers restore its slots.
#[test]
fn warm_again() {
    let mut site = Site::new(4);
    site.run(300, 1);
    site.sheds.insert(endpoint(0), 1);
    site.run(200, 1);
    site.sheds.clear();
    site.run(9_000, 1);
    assert_eq!(site.leased(endpoint(0)), SLOTS as usize);
}

// A backend server answers forty times slower while its report says warm and idle.
// Once its running calls show it, it gets one trial a second, and the other
// servers carry on.
#[test]
fn slow_server() {
    let mut site = Site::new(4);
    site.run(1_000, 1);
    site.work.insert(endpoint(0), 400);
    site.run(1_500, 1);
    let before = site.served.get(&endpoint(0)).copied().unwrap_or(0);
    site.run(5_000, 1);
    let trials = site.served[&endpoint(0)] - before;
    assert!((1..=12).contains(&trials), "{trials}");
    assert!(site.refused.is_empty());
    site.work.clear();
    site.run(9_000, 1);
    assert_eq!(site.leased(endpoint(0)), SLOTS as usize);
}

// All backend servers become slow at once, as with a slow database behind them.
// Taking them out of service would leave no server for callers.
#[test]
fn all_slow() {
    let mut site = Site::new(4);
    site.run(1_000, 2);
    for n in 0..4 {
        site.work.insert(endpoint(n), 100);
    }
    site.run(6_000, 10);
    assert!(site.all_leased() >= 12, "{}", site.all_leased());
}

// Operators take a data centre out of service. A host that knows this starts no
// more calls there; running calls may finish, and the slots are returned.
#[test]
fn centre_leaves() {
    let mut site = Site::new(4);
    for n in 0..4 {
        site.work.insert(endpoint(n), 40);
    }
    site.run(400, 2);
    let inside = site.at(endpoint(2));
    assert!(inside > 0);
    site.config.revision += 1;
    site.config.leaving_centres.insert("b".to_owned());
    site.configure();
    site.run(41, 4);
    assert_eq!(site.at(endpoint(2)) + site.at(endpoint(3)), 0);
    site.run(100, 4);
    assert_eq!(site.leased(endpoint(2)) + site.leased(endpoint(3)), 0);
    assert!(site.refused.is_empty());
    site.config.revision += 1;
    site.config.leaving_centres.clear();
    site.configure();
    // A slot in transit when the owners changed is leased again after its term.
    site.run(LEASE_TERM.as_millis() as u64 + 500, 4);
    assert!(site.settles(24));
}

// An entry host dies while it holds slots. They are unused until its leases have
// ended at their owners, after at most one term, and then serve calls again.
#[test]
fn holder_dies() {
    let mut site = Site::new(4);
    site.run(500, 1);
    let dead = (0..4).find(|n| *n != site.broker()).unwrap();
    let owned = site.hosts[dead].as_ref().unwrap().owned().clone();
    let kept: Vec<EndpointKey> = (0..4)
        .map(endpoint)
        .filter(|e| !owned.contains_key(e))
        .collect();
    site.hosts[dead] = None;
    site.running.retain(|r| r.1 != dead);
    site.run(LEASE_TERM.as_millis() as u64 + 100, 2);
    for endpoint in kept {
        assert_eq!(site.leased(endpoint), SLOTS as usize);
    }
}

// The broker dies while it holds idle slots. The members elect another one from
// those alive, and calls find slots through it.
#[test]
fn broker_dies() {
    let mut site = Site::new(5);
    site.run(500, 2);
    let dead = site.broker();
    site.hosts[dead] = None;
    site.running.retain(|r| r.1 != dead);
    site.run(800, 0);
    site.configure();
    assert_ne!(site.broker(), dead);
    site.refused.clear();
    site.run(4_000, 2);
    assert!(site.refused.is_empty(), "{:?}", site.refused);
}

// An owner leaves and hands off its leases. The next owner continues with them: no
// slot stays unused, and none is leased twice.
#[test]
fn owner_changes() {
    let mut site = Site::new(4);
    site.run(500, 1);
    site.config.revision += 1;
    site.config.leaving_hosts.insert("entry-1".to_owned());
    site.configure();
    site.run(50, 1);
    let fenced = site.hosts.iter().flatten().flat_map(|s| s.owned().values());
    let now = Moment::from_millis(site.now);
    assert_eq!(fenced.filter(|o| !o.lease_table.is_open(now)).count(), 0);
    site.run(2_000, 1);
    assert!(site.settles(24));
    assert!(site.refused.is_empty());
}

// More entry hosts must not cause more probes: each endpoint has one prober.
#[test]
fn probes_same() {
    let count = |hosts| {
        let mut site = Site::new(hosts);
        site.probes = 0;
        site.run(10_000, 5);
        site.probes
    };
    let (few, many) = (count(3), count(9));
    let budget = 4 * 10_000 / 200;
    assert!(few <= budget && many <= budget);
    assert!(few.abs_diff(many) <= 8, "{few} {many}");
}

// Load of twice what all slots can take, for seconds. Calls are refused as they
// arrive, and every slot stays busy.
#[test]
fn saturated() {
    let mut site = Site::new(4);
    for n in 0..4 {
        site.work.insert(endpoint(n), 24);
    }
    site.run(4_000, 0);
    let busy: usize = (0..3_000)
        .map(|_| {
            site.run(STEP, 1);
            site.call(0);
            (0..4).map(|n| site.at(endpoint(n))).sum::<usize>()
        })
        .sum();
    let share = busy as f64 / (3_000.0 * 24.0);
    assert!(share > 0.9, "{share}");
    assert!(!site.refused.is_empty());
    let in_time = |r: &Refusal| matches!(r, Refusal::TooLate(_) | Refusal::QueueFull);
    assert!(site.refused.iter().all(in_time));
}

// All hosts stand still for most of a second, as when their machine is starved, and the calls
// that came meanwhile arrive at once. All leases have ended by then. The hosts have room for
// these calls and the deadline is seconds away, so none may be refused.
#[test]
fn all_paused() {
    for pause in [300, 800, 1_500] {
        let mut site = Site::new(4);
        site.run(2_000, 3);
        site.now += pause;
        for n in 0..pause as usize / 5 {
            site.call(n % 4);
        }
        site.run(3_000, 3);
        assert_eq!(site.refused, [], "after a pause of {pause} ms");
    }
}
