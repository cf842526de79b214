//! No slot has two holders, whatever is lost, late, paused, killed or reconfigured.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coordination::slots::message::{LeaseKey, SlotKey, SlotMessage};
use coordination::slots::{Arrival, Effect, Ending, Identity, SlotManager};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::capacity::{LoadReport, Readiness};
use state::config::Member;
use state::preset::{DataCentre, Endpoint, Preset, Service};
use state::queue::CallKey;
use state::{Config, DataCentreKey, EndpointKey, HostKey, Moment, ServiceKey};

const HOSTS: u64 = 4;
const ENDPOINTS: u16 = 3;
const SLOTS: u32 = 3;
/// The length of one step, in microseconds.
const STEP: u64 = 5_000;

/// The faults of a run, as chances in 10,000, with delays in microseconds.
#[derive(Clone, Debug)]
struct Faults {
    seed: u64,
    lost: u32,
    delay: u64,
    paused: u32,
    killed: u32,
    changed: u32,
    steps: u64,
}

struct Host {
    key: HostKey,
    incarnation: u64,
    slots: SlotManager,
    seen: Config,
    paused_until: u64,
    running: Vec<(LeaseKey, u64)>,
}

struct World {
    faults: Faults,
    rng: StdRng,
    now: u64,
    config: Config,
    hosts: Vec<Host>,
    in_transit: BTreeMap<(u64, u64), (HostKey, HostKey, SlotMessage)>,
    reports: Vec<(u64, usize, EndpointKey)>,
    next: u64,
    started: u64,
    changed_at: u64,
}

fn config() -> Config {
    let service = Service {
        name: "endorse".to_owned(),
        endpoints: (0..ENDPOINTS)
            .map(|n| Endpoint {
                address: ([10, 0, 0, 1], 100 + n).into(),
                data_centre: "a".to_owned(),
            })
            .collect(),
        slots: SLOTS,
        cold_slots: 1,
        connections: 200,
        deadline_ms: 10_000,
        queue: 50,
        body_limit: 1_000,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    };
    let centre = DataCentre {
        name: "a".to_owned(),
        region: "hr-central".to_owned(),
    };
    let preset = Preset {
        name: "ordinary".to_owned(),
        data_centres: vec![centre],
        services: vec![service],
    };
    Config {
        revision: 1,
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        chosen: Some("ordinary".to_owned()),
        ..Config::default()
    }
}

impl World {
    fn new(faults: Faults) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(faults.seed),
            faults,
            now: 0,
            config: config(),
            hosts: Vec::new(),
            in_transit: BTreeMap::new(),
            reports: Vec::new(),
            next: 0,
            started: 0,
            changed_at: 0,
        };
        for n in 0..HOSTS {
            let host = world.host(HostKey(n + 1));
            world.hosts.push(host);
        }
        for n in 0..HOSTS as usize {
            world.join(n);
        }
        world
    }

    fn host(&mut self, key: HostKey) -> Host {
        let incarnation = self.rng.random_range(1..u64::MAX / 2);
        let me = Identity {
            host: key,
            incarnation,
            centre: DataCentreKey::named("a"),
        };
        let mut slots = SlotManager::new(me, Moment(self.now));
        let empty = config();
        slots.configure(&empty, &BTreeSet::new(), Moment(self.now));
        Host {
            key,
            incarnation,
            slots,
            seen: empty,
            paused_until: 0,
            running: Vec::new(),
        }
    }

    fn join(&mut self, n: usize) {
        let (key, number) = (self.hosts[n].key, self.hosts[n].incarnation);
        self.config.revision += 1;
        let member = Member {
            name: format!("entry-{}", key.0),
            incarnation: number,
            peer: ([10, 0, 0, 2], 9).into(),
            data_centre: "a".to_owned(),
            joined: self.config.revision,
        };
        self.config.members.insert(key, member);
        self.changed_at = self.now;
    }

    fn run(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..self.faults.steps {
            self.now += STEP;
            self.inject_faults();
            self.deliver();
            for n in 0..self.hosts.len() {
                if self.hosts[n].paused_until <= self.now {
                    self.step(n);
                }
            }
            self.check()?;
        }
        Ok(())
    }

    /// Pauses, kills and reconfigures hosts at random.
    fn inject_faults(&mut self) {
        for n in 0..self.hosts.len() {
            if self.chance(self.faults.paused) {
                let pause = self.rng.random_range(100_000..9_000_000);
                self.hosts[n].paused_until = self.now + pause;
            }
            if self.chance(self.faults.killed) {
                let key = self.hosts[n].key;
                self.hosts[n] = self.host(key);
                self.config.members.remove(&key);
                self.config.revision += 1;
                self.join(n);
            }
        }
        if self.chance(self.faults.changed) {
            let n = self.rng.random_range(0..self.hosts.len());
            let key = self.hosts[n].key;
            if self.config.members.remove(&key).is_none() {
                self.join(n);
            }
            self.config.revision += 1;
            self.changed_at = self.now;
        }
    }

    fn deliver(&mut self) {
        let due: Vec<(u64, u64)> = self
            .in_transit
            .range(..=(self.now, u64::MAX))
            .map(|(k, _)| *k)
            .collect();
        for key in due {
            let Some((from, to, message)) = self.in_transit.remove(&key) else {
                continue;
            };
            let Some(n) = self.hosts.iter().position(|h| h.key == to) else {
                continue;
            };
            if self.hosts[n].paused_until > self.now {
                let later = (self.hosts[n].paused_until, key.1);
                self.in_transit.insert(later, (from, to, message));
                continue;
            }
            let now = Moment(self.now);
            self.hosts[n].slots.receive(from, message, now);
            self.apply_effects(n);
        }
    }

    /// Runs one step of a host that is not paused: configuration, authority, calls and time.
    fn step(&mut self, n: usize) {
        let now = Moment(self.now);
        // The configuration reaches each host after some time. Only a host with the
        // newest one gets a proof that it is current, as from reading the end of the log.
        if self.hosts[n].seen.revision != self.config.revision && self.chance(50) {
            let alive = self.config.members.keys().copied().collect();
            self.hosts[n].seen = self.config.clone();
            self.hosts[n].slots.configure(&self.config, &alive, now);
            self.apply_effects(n);
        }
        if self.hosts[n].seen.revision == self.config.revision && self.chance(100) {
            self.hosts[n].slots.confirm(now);
        }
        if self.chance(300) {
            self.next += 1;
            let arrival = Arrival {
                call: CallKey(self.next),
                service: ServiceKey::named("endorse"),
                deadline: now + Duration::from_millis(2_000),
                tried: Vec::new(),
            };
            self.hosts[n].slots.arrive(&arrival, now);
            self.apply_effects(n);
        }
        let done: Vec<LeaseKey> = self.hosts[n]
            .running
            .extract_if(.., |(_, end)| *end <= now.0)
            .map(|(lease, _)| lease)
            .collect();
        for lease in done {
            let ending = match self.rng.random_range(0..20) {
                0 => Ending::Shed,
                1 => Ending::Broken,
                _ => Ending::Answered,
            };
            self.hosts[n].slots.finish(lease, ending, now);
            self.apply_effects(n);
        }
        for (_, _, endpoint) in self
            .reports
            .extract_if(.., |(at, host, _)| *at <= now.0 && *host == n)
        {
            let report = LoadReport {
                boot: "a".to_owned(),
                readiness: Readiness::Warm,
                running: 0,
            };
            self.hosts[n].slots.probed(endpoint, Some(&report), now);
        }
        self.hosts[n].slots.tick(now);
        self.apply_effects(n);
    }

    fn apply_effects(&mut self, n: usize) {
        for effect in self.hosts[n].slots.take_effects() {
            match effect {
                Effect::Send(to, message) => self.post(n, to, message),
                Effect::Start { lease, .. } => {
                    self.started += 1;
                    let work = self.rng.random_range(1_000..60_000);
                    self.hosts[n].running.push((lease, self.now + work));
                }
                Effect::Probe(endpoint, _) => self.reports.push((self.now + STEP, n, endpoint)),
                Effect::Refuse(..) => {}
            }
        }
    }

    fn post(&mut self, n: usize, to: HostKey, message: SlotMessage) {
        if self.chance(self.faults.lost) {
            return;
        }
        self.next += 1;
        let late = self.rng.random_range(0..=self.faults.delay);
        let at = (self.now + late, self.next);
        self.in_transit.insert(at, (self.hosts[n].key, to, message));
    }

    /// Checks that no two hosts, paused or not, consider themselves holders of the same slot.
    fn check(&self) -> Result<(), TestCaseError> {
        let mut holders: BTreeMap<SlotKey, HostKey> = BTreeMap::new();
        for host in &self.hosts {
            for held in host.slots.held_leases().iter() {
                let slot = held.lease.slot;
                if held.end.0 <= self.now {
                    continue;
                }
                let before = holders.insert(slot, host.key);
                prop_assert!(
                    before.is_none(),
                    "{slot:?} is held by {before:?} and {:?} at {} us",
                    host.key,
                    self.now
                );
                prop_assert!(slot.number < SLOTS);
            }
        }
        Ok(())
    }

    fn chance(&mut self, per_10_000: u32) -> bool {
        self.rng.random_range(0..10_000) < per_10_000
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let chances = (
        0..2_000_u32,
        0..1_500_000_u64,
        0..20_u32,
        0..5_u32,
        0..10_u32,
    );
    (any::<u64>(), chances).prop_map(|(seed, (lost, delay, paused, killed, changed))| Faults {
        seed,
        lost,
        delay,
        paused,
        killed,
        changed,
        steps: 6_000,
    })
}

fn cases() -> u32 {
    let wanted = std::env::var("SLOT_SAFETY_CASES").ok();
    wanted.and_then(|n| n.parse().ok()).unwrap_or(24)
}

// Messages are lost or late, hosts are paused for seconds or killed, and members
// join and leave. A slot with two holders would put, for instance, seven calls on
// a backend server that takes six.
#[test]
fn one_holder() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Cases {
        cases: cases(),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Cases::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&faults(), |faults| World::new(faults).run());
    outcome.unwrap();
}

// Without faults the same state machines must be useful: calls get slots.
#[test]
fn no_faults() {
    let mut world = World::new(Faults {
        seed: 5,
        lost: 0,
        delay: 500,
        paused: 0,
        killed: 0,
        changed: 0,
        steps: 4_000,
    });
    world.run().unwrap();
    assert!(world.started > 400, "{}", world.started);
}
