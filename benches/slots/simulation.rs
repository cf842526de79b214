//! Simulates the slot managers of all hosts in virtual time, with delayed messages between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use coordination::slots::message::{LeaseKey, SlotBody, SlotMessage};
use coordination::slots::{Arrival, Effect, Ending, Identity, SlotManager};
use protocol::PeerMessage;
use state::capacity::{LoadReport, Readiness};
use state::config::Member;
use state::preset::{DataCentre, Endpoint, Preset, Service};
use state::queue::CallKey;
use state::{Config, DataCentreKey, EndpointKey, HostKey, Moment, ServiceKey};

use crate::outcome::{Meter, Outcome};
use crate::scenario::{Job, Scenario};

/// When calls begin to arrive, in microseconds.
///
/// By then the fence of new owners is over and slots are spread over the hosts.
pub const LOAD_START: u64 = 8_000_000;
/// How often each host's configuration is confirmed as current, in microseconds.
const CONFIRM_INTERVAL: u64 = 500_000;
const CENTRES: [&str; 3] = ["trent", "severn", "soar"];

/// An event of the simulation; calls and hosts are named by index.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Done(usize, usize),
    Wake(usize),
    Confirm,
    Report(usize, EndpointKey),
    Message(usize),
}

struct RunningCall {
    host: usize,
    lease: LeaseKey,
    work: u64,
}

struct Delivery {
    from: HostKey,
    to: HostKey,
    message: SlotMessage,
}

/// A discrete-event simulation of a run; times in microseconds.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    jobs: &'a [Job],
    now: u64,
    /// Numbers events and messages, so that events of one time keep their order.
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    hosts: Vec<SlotManager>,
    host_indices: BTreeMap<HostKey, usize>,
    wakes: Vec<u64>,
    deliveries: BTreeMap<usize, Delivery>,
    running: BTreeMap<usize, RunningCall>,
    service: ServiceKey,
    endpoints: Vec<EndpointKey>,
    busy: BTreeMap<EndpointKey, u32>,
    meter: Meter,
    spent: Duration,
    steps: u64,
}

/// Returns a configuration with one service and all hosts as members.
pub fn config(scenario: &Scenario) -> Config {
    let centres = CENTRES.map(|name| DataCentre {
        name: name.to_owned(),
        region: "midlands".to_owned(),
    });
    let endpoints = (0..scenario.endpoints).map(|n| Endpoint {
        address: format!("10.0.{}.{}:80", n / 250, n % 250 + 1)
            .parse()
            .expect("the address is valid"),
        data_centre: CENTRES[n % CENTRES.len()].to_owned(),
    });
    let service = Service {
        name: "hallboard".to_owned(),
        endpoints: endpoints.collect(),
        slots: scenario.slots,
        cold_slots: 1,
        connections: 200,
        deadline_ms: scenario.deadline / 1_000,
        queue: 400,
        body_limit: 0,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    };
    let preset = Preset {
        name: "ordinary".to_owned(),
        data_centres: centres.to_vec(),
        services: vec![service],
    };
    let members = (0..scenario.hosts).map(|n| {
        let name = format!("entry-{n}");
        let member = Member {
            name: name.clone(),
            incarnation: incarnation(n),
            peer: format!("10.1.{}.{}:9", n / 250, n % 250 + 1)
                .parse()
                .expect("the address is valid"),
            data_centre: CENTRES[n % CENTRES.len()].to_owned(),
            joined: 1,
        };
        (HostKey::named(&name), member)
    });
    Config {
        revision: 1,
        offset: 1,
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        chosen: Some("ordinary".to_owned()),
        members: members.collect(),
        ..Config::default()
    }
}

/// Returns the kind of a message as it is printed.
fn kind(message: &SlotMessage) -> &'static str {
    match message.body {
        SlotBody::Renew { .. } => "renew",
        SlotBody::Renewed { .. } => "renewed",
        SlotBody::Recall(_) => "recall",
        SlotBody::Return { .. } => "return",
        SlotBody::Transfer { .. } => "hand",
        SlotBody::Demand(_) => "demand",
        SlotBody::TransferRequest { .. } => "yield",
        SlotBody::Shortage { .. } => "pulse",
        SlotBody::Handoff(_) => "handoff",
    }
}

/// Returns the incarnation of the host with index `n`, a large number as real ones are.
fn incarnation(n: usize) -> u64 {
    (n as u64 + 1) << 40
}

impl<'a> Simulation<'a> {
    /// Returns a simulation before its first event.
    pub fn new(scenario: &'a Scenario, jobs: &'a [Job]) -> Simulation<'a> {
        let config = config(scenario);
        let keys: Vec<HostKey> = (0..scenario.hosts)
            .map(|n| HostKey::named(&format!("entry-{n}")))
            .collect();
        let alive: BTreeSet<HostKey> = keys.iter().copied().collect();
        let hosts = (0..scenario.hosts).map(|n| {
            let identity = Identity {
                host: keys[n],
                incarnation: incarnation(n),
                centre: DataCentreKey::named(CENTRES[n % CENTRES.len()]),
            };
            let mut slots = SlotManager::new(identity, Moment(0));
            slots.confirm(Moment(0));
            slots.configure(&config, &alive, Moment(0));
            slots
        });
        let preset = config
            .preset()
            .expect("the configuration has a chosen preset");
        let service = &preset.services[0];
        let mut simulation = Simulation {
            scenario,
            jobs,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            hosts: hosts.collect(),
            host_indices: keys.iter().enumerate().map(|(n, k)| (*k, n)).collect(),
            wakes: vec![u64::MAX; scenario.hosts],
            deliveries: BTreeMap::new(),
            running: BTreeMap::new(),
            service: service.key(),
            endpoints: service.endpoints.iter().map(|e| e.key(service)).collect(),
            busy: BTreeMap::new(),
            meter: Meter::new(scenario),
            spent: Duration::ZERO,
            steps: 0,
        };
        simulation.push(CONFIRM_INTERVAL, Event::Confirm);
        for host in 0..scenario.hosts {
            simulation.schedule_wake(host);
        }
        for (n, job) in jobs.iter().enumerate() {
            simulation.push(LOAD_START + job.at, Event::Arrive(n));
        }
        simulation
    }

    /// Runs until the last call has ended, and returns the results.
    pub fn run(mut self) -> Outcome {
        let mut left = self.jobs.len();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.meter.advance(self.now, at);
            self.now = at;
            left -= self.handle(&event);
            if left == 0 {
                break;
            }
        }
        let mut outcome = self.meter.finish(self.now - LOAD_START);
        outcome.step_nanos = self.spent.as_nanos() as f64 / self.steps.max(1) as f64;
        outcome.cpu =
            self.spent.as_secs_f64() / (self.now as f64 / 1e6) / self.scenario.hosts as f64;
        outcome
    }

    /// Handles an event and returns how many calls it ended.
    fn handle(&mut self, event: &Event) -> usize {
        match *event {
            Event::Arrive(n) => self.arrive(n),
            Event::Done(n, host) => {
                let Some(running) = self.running.remove(&n) else {
                    return 0;
                };
                let endpoint = running.lease.slot.endpoint;
                *self.busy.entry(endpoint).or_default() -= 1;
                self.meter.end(n, &self.jobs[n], self.now);
                self.run_step(host, |s, now| {
                    s.finish(running.lease, Ending::Answered, now);
                }) + 1
            }
            Event::Wake(host) if self.wakes[host] <= self.now => {
                self.wakes[host] = u64::MAX;
                self.run_step(host, |s, now| s.tick(now))
            }
            Event::Wake(_) => 0,
            Event::Confirm => {
                self.push(self.now + CONFIRM_INTERVAL, Event::Confirm);
                for host in &mut self.hosts {
                    host.confirm(Moment(self.now));
                }
                0
            }
            Event::Report(host, endpoint) => {
                let report = LoadReport {
                    boot: "a".to_owned(),
                    readiness: Readiness::Warm,
                    running: 0,
                };
                self.run_step(host, |s, now| s.probed(endpoint, Some(&report), now))
            }
            Event::Message(id) => {
                let Some(sent) = self.deliveries.remove(&id) else {
                    return 0;
                };
                let host = self.host_indices[&sent.to];
                self.run_step(host, |s, now| s.receive(sent.from, sent.message, now))
            }
        }
    }

    /// Handles the arrival of a call at its host and returns how many calls ended.
    fn arrive(&mut self, n: usize) -> usize {
        self.meter.arrive();
        let job = &self.jobs[n];
        let arrival = Arrival {
            call: CallKey(n as u64),
            service: self.service,
            deadline: Moment(self.now + self.scenario.deadline),
            tried: Vec::new(),
        };
        self.run_step(job.host, |s, now| s.arrive(&arrival, now))
    }

    /// Runs one step of a host's slot manager and its effects, and returns how many calls ended.
    fn run_step(&mut self, host: usize, act: impl FnOnce(&mut SlotManager, Moment)) -> usize {
        let began = Instant::now();
        act(&mut self.hosts[host], Moment(self.now));
        let effects = self.hosts[host].take_effects();
        self.spent += began.elapsed();
        self.steps += 1;
        let ended = effects.into_iter().map(|e| self.apply(host, e)).sum();
        self.schedule_wake(host);
        ended
    }

    /// Carries out an effect and returns how many calls ended.
    fn apply(&mut self, host: usize, effect: Effect) -> usize {
        match effect {
            Effect::Send(to, message) => self.send(host, to, message),
            Effect::Start { call, lease, .. } => {
                let n = call.0 as usize;
                let endpoint = lease.slot.endpoint;
                let busy = self.busy.entry(endpoint).or_default();
                *busy += 1;
                self.meter.start(&self.jobs[n], self.now, *busy);
                let work = self.jobs[n].work * self.slowdown(endpoint);
                let running = RunningCall { host, lease, work };
                self.push(self.now + running.work, Event::Done(n, running.host));
                self.running.insert(n, running);
                return 0;
            }
            Effect::Refuse(call, _) => {
                let job = &self.jobs[call.0 as usize];
                self.meter.refuse(job, self.now);
                return 1;
            }
            Effect::Probe(endpoint, _) => {
                self.meter.probes += 1;
                self.push(self.now + 6_000, Event::Report(host, endpoint));
            }
        }
        0
    }

    /// Sends a message, which arrives after the one-way delay.
    fn send(&mut self, host: usize, to: HostKey, message: SlotMessage) {
        let from = *self
            .host_indices
            .iter()
            .find(|(_, n)| **n == host)
            .expect("every host has a key")
            .0;
        if self.now >= LOAD_START {
            self.meter.messages += 1;
            *self.meter.kinds.entry(kind(&message)).or_default() += 1;
            self.meter.bytes += 4 + PeerMessage::Slots(message.clone()).encode().len() as u64;
        }
        let id = self.sequence as usize;
        self.deliveries.insert(id, Delivery { from, to, message });
        self.push(self.now + self.scenario.one_way, Event::Message(id));
    }

    /// Returns the factor on working times at `endpoint`.
    fn slowdown(&self, endpoint: EndpointKey) -> u64 {
        match self.scenario.slow {
            Some(slow) if self.endpoints[0] == endpoint && self.now >= LOAD_START + slow.from => {
                slow.factor
            }
            _ => 1,
        }
    }

    /// Schedules the next wake of a host's slot manager.
    fn schedule_wake(&mut self, host: usize) {
        let due = self.hosts[host].next_wake().0.max(self.now + 1);
        if due < self.wakes[host] {
            self.wakes[host] = due;
            self.push(due, Event::Wake(host));
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}
