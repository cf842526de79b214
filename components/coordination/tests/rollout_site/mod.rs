//! A site of entry hosts in virtual time: callers, two versions of a service, the store, and
//! datagrams that get lost.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coordination::rollouts::message::{
    CentreSummary, HostReport, RolloutState, Status, StoredStatus,
};
use coordination::rollouts::{Effect, NamedStatus, Rollouts, Site};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::fleet::registry::Entry;
use state::fleet::rollout::evidence::Answer;
use state::fleet::rollout::exposure::ExposureBound;
use state::fleet::rollout::{Order, Verdict, VersionRule};
use state::fleet::{Endpoint, Registry};
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey, VersionKey};

/// The length of a step, in milliseconds; also the delay of a datagram.
const STEP: u64 = 10;
/// The time between two steps of a host, in milliseconds.
const TICK: u64 = 100;
/// How long a call of the store takes, in milliseconds.
const CALL: u64 = 10;
/// How long a host waits for an answer of the store, in milliseconds.
const CALL_TIMEOUT: u64 = 1_000;
/// The mean time of the work of a request, in milliseconds.
const WORK: f64 = 120.0;

pub const BOUND: ExposureBound = ExposureBound {
    fraction: 0.1,
    slack: 50.0,
};

/// How requests to the new version go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// As those to the old one.
    None,
    /// This share of them is bad.
    Bad(f64),
    /// This share of them is bad from this time after the order, in milliseconds.
    Late(f64, u64),
    /// This share of one route's requests, a quarter of all, is bad.
    OneRoute(f64),
}

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreMode {
    Up,
    /// Doesn't answer.
    Silent,
    /// Carries calls out and doesn't answer.
    Lossy,
    /// Carries writes out two seconds late, if their condition still holds.
    Late,
}

/// The parameters of a site.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    pub centres: usize,
    /// Requests to the service per second, over all hosts.
    pub rate: f64,
    pub fault: Fault,
    pub duration: Duration,
    /// The share of bad answers of both versions.
    pub noise: f64,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// How unevenly callers are spread over hosts: 0 evenly, 1 a third gets most.
    pub skew: f64,
}

impl Plan {
    pub fn new(seed: u64, hosts: usize, fault: Fault) -> Plan {
        Plan {
            seed,
            hosts,
            centres: hosts.clamp(1, 3),
            rate: 370.0,
            fault,
            duration: Duration::from_secs(12),
            noise: 0.005,
            loss: 0.01,
            skew: 0.5,
        }
    }
}

struct Host {
    address: SocketAddr,
    centre: usize,
    rollouts: Rollouts,
    registry: Registry,
    weight: f64,
    is_up: bool,
    /// From when until when the host is cut off from all others and the store.
    cut_since: u64,
    cut_until: u64,
    last_up: u64,
    lives: u64,
}

struct Running {
    ends: u64,
    host: usize,
    lives: u64,
    version: VersionKey,
    route: u64,
    answer: Answer,
}

enum Datagram {
    State(RolloutState, bool),
    Report(SocketAddr, HostReport),
    Summary(CentreSummary, bool),
    Hello,
}

/// A call of the store.
#[derive(Clone)]
enum Call {
    Write(Order, StoredStatus),
    Learn,
}

/// Something that happens to a call later.
enum CallEvent {
    /// The store carries the write out, if its topic ends at this offset; any if none.
    Apply(StoredStatus, Option<u64>),
    /// The host gets the answer, or gives up waiting for it.
    Answer {
        host: usize,
        lives: u64,
        call: Call,
        is_answered: bool,
    },
}

/// What was seen of the roll-out from outside.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests to the service and to the new version between the order and its deadline.
    pub requests: u64,
    pub exposed: u64,
    /// When the 50th bad answer of the new version was given.
    pub fiftieth_bad: Option<u64>,
    /// When the last request was sent to the new version, by a host that wasn't cut off.
    pub last_new: u64,
    /// All verdicts written, with their times.
    pub verdicts: Vec<(VersionKey, Verdict, u64)>,
    /// Requests of hosts that weren't cut off at the old version when it was stopped.
    pub cut: usize,
    /// Requests that a host sent to the new version long after it was cut off.
    pub cut_off: u64,
    /// Requests that no version may serve.
    pub refused: u64,
    /// Store calls.
    pub calls: usize,
    /// Datagrams on the roll-out, and the most of one host.
    pub datagrams: usize,
    bad: u64,
}

pub struct World {
    pub plan: Plan,
    pub now: u64,
    pub store: StoreMode,
    pub seen: Seen,
    random: SmallRng,
    hosts: Vec<Host>,
    running: Vec<Running>,
    datagrams: BTreeMap<u64, Vec<(usize, usize, Datagram)>>,
    calls: Vec<(u64, CallEvent)>,
    /// The store's records of the state.
    records: Vec<StoredStatus>,
    ordered: Option<(Order, u64)>,
    /// Whether the order's record is still in the store.
    order_stays: bool,
    /// When the endpoints of the new version started.
    new_since: Option<u64>,
    sent_by: Vec<usize>,
    /// A data centre whose hosts reach no other one, only the store.
    pub split: Option<usize>,
}

pub const SERVICE: &str = "ledger";

pub fn version(name: &str) -> VersionKey {
    VersionKey::named(name)
}

pub fn service() -> ServiceKey {
    ServiceKey::named(SERVICE)
}

pub fn order(name: &str, duration: Duration) -> Order {
    Order {
        service: service(),
        service_name: SERVICE.to_owned(),
        version: version(name),
        version_name: name.to_owned(),
        duration,
    }
}

/// The time of day at the start of virtual time, in milliseconds.
const UNIX_START: u64 = 1_000_000;

fn endpoint(name: &str, version_name: &str, started: u64) -> Entry {
    Entry::Endpoint(Endpoint {
        instance: name.to_owned(),
        started_ms: UNIX_START + started,
        service: service(),
        address: ([10, 0, 0, 1], 80).into(),
        centre: DataCentreKey::named("a"),
        version: Some(version(version_name)),
        slots: 100,
        draining: false,
        cold: Duration::ZERO,
    })
}

impl World {
    /// Returns a site that has run for a few seconds, all of whose endpoints run "v1".
    pub fn new(plan: Plan) -> World {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let hosts = (0..plan.hosts)
            .map(|index| {
                let weight = match index % 3 {
                    0 => 1.0,
                    _ => 1.0 - plan.skew * 0.9,
                };
                Host::new(index, index % plan.centres, weight, &mut random)
            })
            .collect();
        let mut world = World {
            sent_by: vec![0; plan.hosts],
            split: None,
            plan,
            now: 0,
            store: StoreMode::Up,
            seen: Seen::default(),
            random,
            hosts,
            running: Vec::new(),
            datagrams: BTreeMap::new(),
            calls: Vec::new(),
            records: Vec::new(),
            ordered: None,
            order_stays: true,
            new_since: None,
        };
        for host in &mut world.hosts {
            host.list(None, Moment(0));
        }
        world.run(3_000);
        world
    }

    /// Orders the plan's roll-out of "v2", whose endpoints register within a second.
    pub fn order(&mut self) {
        let order = order("v2", self.plan.duration);
        self.ordered = Some((order.clone(), self.now));
        let now = self.moment();
        for host in self.hosts.iter_mut().filter(|h| h.is_up) {
            host.rollouts.order_received(order.clone(), true, now);
        }
        self.run(700);
        self.register_new();
    }

    fn register_new(&mut self) {
        let now = self.moment();
        let entry = endpoint("new", "v2", self.now);
        self.new_since = Some(self.now);
        for host in self.hosts.iter_mut().filter(|h| h.is_up) {
            host.registry.apply("new", Some(entry.clone()), now);
            host.rollouts.endpoint_registered(service(), version("v2"));
        }
    }

    /// Orders another roll-out, of a version whose endpoints are there already.
    pub fn order_other(&mut self, name: &str) {
        let order = order(name, self.plan.duration);
        self.ordered = Some((order.clone(), self.now));
        let now = self.moment();
        for host in self.hosts.iter_mut().filter(|h| h.is_up) {
            host.rollouts.order_received(order.clone(), true, now);
        }
    }

    /// Removes the order's record: hosts that start from now on don't see it.
    pub fn drop_order(&mut self) {
        self.order_stays = false;
    }

    /// Runs until the deadline and some seconds more, or until `millis` have passed.
    pub fn finish(&mut self) {
        let duration = u64::try_from(self.plan.duration.as_millis()).unwrap_or(u64::MAX);
        self.run(duration + 4_000);
    }

    pub fn deadline(&self) -> u64 {
        let (order, at) = self.ordered.as_ref().expect("a roll-out was ordered");
        at + u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX)
    }

    pub fn verdict(&self) -> Option<(Verdict, u64)> {
        self.seen.verdicts.first().map(|(_, v, at)| (*v, *at))
    }

    /// Kills a host, which starts again after `down` milliseconds.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].is_up = false;
        self.running.retain(|r| r.host != index);
    }

    /// Starts a host anew: it knows nothing but what the store's topics hold.
    pub fn start(&mut self, index: usize) {
        let now = self.moment();
        let lives = self.hosts[index].lives + 1;
        let weight = self.hosts[index].weight;
        let centre = self.hosts[index].centre;
        let mut host = Host::new(index, centre, weight, &mut self.random);
        host.lives = lives;
        if self.order_stays
            && let Some((order, _)) = &self.ordered
        {
            host.rollouts.order_received(order.clone(), false, now);
        }
        host.list(self.new_since, now);
        self.hosts[index] = host;
        // A neighbour answers the greeting with what it knows.
        let states = self.any_neighbour(index).map(|n| {
            let host = &self.hosts[n];
            (n, host.rollouts.states(now))
        });
        for (from, state) in states
            .into_iter()
            .flat_map(|(n, states)| states.into_iter().map(move |s| (n, s)))
        {
            self.send(from, index, Datagram::State(state, false));
        }
    }

    /// Cuts a host off from all others and the store.
    pub fn cut(&mut self, index: usize, millis: u64) {
        self.hosts[index].cut_since = self.now;
        self.hosts[index].cut_until = self.now + millis;
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.carry_out_calls();
            self.end_requests();
            self.send_requests();
            for index in 0..self.hosts.len() {
                // Hosts don't step at the same moments.
                if (self.now + index as u64 * STEP).is_multiple_of(TICK) {
                    self.tick(index);
                }
                if (self.now + index as u64 * STEP).is_multiple_of(1_000) {
                    self.greet(index);
                }
            }
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn is_linked(&self, index: usize) -> bool {
        self.hosts[index].is_up && self.hosts[index].cut_until <= self.now
    }

    fn any_neighbour(&mut self, index: usize) -> Option<usize> {
        let centre = self.hosts[index].centre;
        let all: Vec<usize> = (0..self.hosts.len())
            .filter(|n| *n != index && self.hosts[*n].centre == centre && self.is_linked(*n))
            .collect();
        (!all.is_empty()).then(|| all[self.random.random_range(0..all.len())])
    }

    fn neighbours(&self, index: usize) -> Vec<SocketAddr> {
        let me = &self.hosts[index];
        let lately = |h: &&Host| h.centre == me.centre && h.last_up + 2_500 > self.now;
        let known = self.hosts.iter().filter(lately);
        known
            .map(|h| h.address)
            .filter(|a| *a != me.address)
            .collect()
    }

    fn tick(&mut self, index: usize) {
        if !self.hosts[index].is_up {
            return;
        }
        if self.is_linked(index) {
            self.hosts[index].last_up = self.now;
        }
        let neighbours = self.neighbours(index);
        let runs = |r: &&Running| r.host == index && r.version == version("v1");
        let is_running_old = self.running.iter().any(|r| runs(&r));
        let now = self.moment();
        let effects = self.with_site(index, &neighbours, |host, site| {
            if let Some(old) = host.registry.get_mut(host.old_key()) {
                old.running = u32::from(is_running_old);
            }
            host.rollouts.tick(site, &host.registry, now)
        });
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn with_site<R>(
        &mut self,
        index: usize,
        neighbours: &[SocketAddr],
        act: impl FnOnce(&mut Host, &Site<'_>) -> R,
    ) -> R {
        let centre = self.hosts[index].centre;
        let names: Vec<String> = (0..self.plan.centres)
            .filter(|c| *c != centre)
            .map(|c| format!("centre-{c}"))
            .collect();
        let site = Site {
            neighbours,
            centres: &names,
            share: 1.0 / self.plan.hosts as f64,
            unix_ms: UNIX_START + self.now,
            service_time: &|_| Duration::from_millis(120),
        };
        act(&mut self.hosts[index], &site)
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Announce(state) => self.announce(index, &state),
            Effect::Report(hosts, report) => {
                for to in hosts {
                    let from = self.hosts[index].address;
                    self.send_to(index, to, Datagram::Report(from, report.clone()));
                }
            }
            Effect::Summarise(summary) => {
                for to in self.remote_targets(index) {
                    // One of the two hosts of each centre gets it.
                    if self.random.random_bool(0.5) {
                        self.send(index, to, Datagram::Summary(summary.clone(), true));
                    }
                }
            }
            Effect::Write(order, status) => {
                let record = StoredStatus {
                    version: order.version,
                    status,
                };
                self.call(index, Call::Write(order, record));
            }
            Effect::Learn => self.call(index, Call::Learn),
            Effect::Overdue(_) => {}
        }
    }

    fn announce(&mut self, index: usize, state: &RolloutState) {
        // The announcement is repeated twice, as hosts do.
        for _ in 0..3 {
            self.broadcast(index, state);
            for to in self.remote_targets(index) {
                self.send(index, to, Datagram::State(state.clone(), true));
            }
        }
    }

    fn broadcast(&mut self, index: usize, state: &RolloutState) {
        for to in self.neighbours(index) {
            self.send_to(index, to, Datagram::State(state.clone(), false));
        }
    }

    /// Returns two hosts of each other centre.
    fn remote_targets(&self, index: usize) -> Vec<usize> {
        let mine = self.hosts[index].centre;
        let centres = (0..self.plan.centres).filter(|c| *c != mine);
        centres
            .flat_map(|c| {
                let known = (0..self.hosts.len())
                    .filter(move |n| self.hosts[*n].centre == c)
                    .filter(|n| self.hosts[*n].last_up + 20_000 > self.now);
                known.take(2)
            })
            .collect()
    }

    fn send_to(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        if let Some(index) = self.hosts.iter().position(|h| h.address == to) {
            self.send(from, index, datagram);
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        if !matches!(datagram, Datagram::Hello) {
            self.seen.datagrams += 1;
            self.sent_by[from] += 1;
        }
        let [here, there] = [from, to].map(|n| Some(self.hosts[n].centre));
        let is_split = here != there && (here == self.split || there == self.split);
        let lost = is_split || self.random.random_bool(self.plan.loss);
        if !lost && self.is_linked(from) && self.is_linked(to) {
            let at = self.datagrams.entry(self.now + STEP).or_default();
            at.push((from, to, datagram));
        }
    }

    fn greet(&mut self, index: usize) {
        if !self.is_linked(index) {
            return;
        }
        if let Some(to) = self.any_neighbour(index) {
            self.send(index, to, Datagram::Hello);
            let now = self.moment();
            for state in self.hosts[index].rollouts.reminders(now) {
                self.send(index, to, Datagram::State(state, false));
            }
        }
        // Others greet this host as well.
        if let Some(from) = self.any_neighbour(index) {
            self.send(from, index, Datagram::Hello);
        }
        for to in self.remote_targets(index).into_iter().take(1) {
            self.send(index, to, Datagram::Hello);
            self.send(to, index, Datagram::Hello);
        }
    }

    fn deliver(&mut self) {
        let due = self.datagrams.remove(&self.now).unwrap_or_default();
        let now = self.moment();
        for (_, to, datagram) in due {
            if !self.is_linked(to) {
                continue;
            }
            let rollouts = &mut self.hosts[to].rollouts;
            rollouts.note_contact(now);
            match datagram {
                Datagram::Hello => {}
                Datagram::State(state, is_remote) => {
                    if rollouts.state_received(&state, now) && is_remote {
                        self.broadcast(to, &state);
                    }
                }
                Datagram::Report(from, report) => rollouts.report_received(from, &report, now),
                Datagram::Summary(summary, is_remote) => {
                    rollouts.summary_received(&summary, now);
                    if is_remote {
                        let neighbours = self.neighbours(to);
                        let gathering = self.hosts[to].rollouts.gathering_hosts(&neighbours);
                        for host in gathering {
                            self.send_to(to, host, Datagram::Summary(summary.clone(), false));
                        }
                    }
                }
            }
        }
    }

    fn call(&mut self, host: usize, call: Call) {
        self.seen.calls += 1;
        let lives = self.hosts[host].lives;
        let mode = match self.is_linked(host) {
            true => self.store,
            false => StoreMode::Silent,
        };
        let applied = match mode {
            StoreMode::Up => Some((CALL, None)),
            StoreMode::Lossy => Some((CALL, Some(self.records.len() as u64))),
            StoreMode::Late => Some((2 * CALL_TIMEOUT, Some(self.records.len() as u64))),
            StoreMode::Silent => None,
        };
        if let (Call::Write(_, record), Some((delay, end))) = (&call, applied) {
            let event = CallEvent::Apply(*record, end);
            self.calls.push((self.now + delay, event));
        }
        let is_answered = mode == StoreMode::Up;
        let delay = if is_answered { CALL } else { CALL_TIMEOUT };
        let answer = CallEvent::Answer {
            host,
            lives,
            call,
            is_answered,
        };
        self.calls.push((self.now + delay, answer));
    }

    fn carry_out_calls(&mut self) {
        let now = self.now;
        let due: Vec<(u64, CallEvent)> = self.calls.extract_if(.., |c| c.0 <= now).collect();
        for (_, event) in due {
            match event {
                CallEvent::Apply(record, end) => self.write(record, end),
                CallEvent::Answer {
                    host,
                    lives,
                    call,
                    is_answered,
                } if self.hosts[host].is_up && self.hosts[host].lives == lives => {
                    self.answer_call(host, &call, is_answered);
                }
                CallEvent::Answer { .. } => {}
            }
        }
    }

    fn answer_call(&mut self, host: usize, call: &Call, is_answered: bool) {
        let neighbours = self.neighbours(host);
        let now = self.moment();
        let last = self.records.last().copied().filter(|_| is_answered);
        let news: Vec<RolloutState> = self.with_site(host, &neighbours, |h, site| match call {
            Call::Write(order, _) => {
                let (service, version) = (order.service, order.version);
                let rollouts = &mut h.rollouts;
                let news = rollouts.call_finished(service, version, last, site, &h.registry, now);
                news.into_iter().collect()
            }
            Call::Learn => {
                let named = last.map(|r| NamedStatus {
                    service: SERVICE.to_owned(),
                    version: "v2".to_owned(),
                    status: r.status,
                });
                let all: Vec<NamedStatus> = named.into_iter().collect();
                let all = is_answered.then_some(all);
                h.rollouts.learned(all.as_deref(), site, &h.registry, now)
            }
        });
        for state in news {
            self.announce(host, &state);
        }
    }

    /// Writes a record as hosts do: unless the last one may not become it, and if `end` is
    /// where the topic still ends.
    fn write(&mut self, record: StoredStatus, end: Option<u64>) {
        let last = self.records.last();
        let is_final = last.is_some_and(|last| !last.may_become(&record));
        let has_moved = end.is_some_and(|end| end != self.records.len() as u64);
        if is_final || has_moved {
            return;
        }
        self.records.push(record);
        if let Status::Decided(verdict) = record.status {
            self.decided(record.version, verdict);
        }
    }

    fn decided(&mut self, version_key: VersionKey, verdict: Verdict) {
        self.seen.verdicts.push((version_key, verdict, self.now));
        if verdict == Verdict::Completed {
            let now = self.now;
            let hosts = &self.hosts;
            let cut =
                |r: &&Running| r.version == version("v1") && hosts[r.host].cut_until + 3_000 <= now;
            self.seen.cut += self.running.iter().filter(cut).count();
        }
    }

    fn send_requests(&mut self) {
        let total: f64 = self.hosts.iter().map(|h| h.weight).sum();
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_up {
                continue;
            }
            let expected =
                self.plan.rate * STEP as f64 / 1_000.0 * self.hosts[index].weight / total;
            let mut count = expected as usize;
            count += usize::from(self.random.random_bool(expected.fract()));
            for _ in 0..count {
                self.request(index);
            }
        }
    }

    fn request(&mut self, index: usize) {
        let now = self.moment();
        let draw: f64 = self.random.random();
        let route = u64::from(self.random.random_bool(0.25));
        let rollouts = &mut self.hosts[index].rollouts;
        rollouts.note_request(service(), route, now);
        let canary = rollouts.canary(service(), route, draw, now).is_some();
        let is_registered = self.hosts[index].registry.len() > 1;
        let rule = self.hosts[index].rollouts.rule(service(), draw, now);
        let is_new = is_registered
            && match &rule {
                _ if canary => true,
                VersionRule::Only(only) => *only == version("v2"),
                VersionRule::Except(except) if except.contains(&version("v1")) => true,
                VersionRule::Except(_) => false,
                VersionRule::All => self.random.random_bool(0.5),
            };
        // Endpoints of a version that may not be used serve nothing.
        if let VersionRule::Except(except) = &rule
            && !canary
            && ["v1", "v2"].iter().all(|v| except.contains(&version(v)))
        {
            self.seen.refused += 1;
            return;
        }
        self.count(index, is_new);
        let chosen = version(if is_new { "v2" } else { "v1" });
        let work = -WORK * (1.0 - self.random.random::<f64>()).ln();
        let ends = self.now + (work as u64).clamp(20, 600);
        let answer = self.answer(is_new, route);
        let lives = self.hosts[index].lives;
        self.running.push(Running {
            ends,
            host: index,
            lives,
            version: chosen,
            route,
            answer,
        });
    }

    fn answer(&mut self, is_new: bool, route: u64) -> Answer {
        let since = self.ordered.as_ref().map_or(0, |(_, at)| self.now - at);
        let share = match self.plan.fault {
            Fault::Bad(share) if is_new => share,
            Fault::Late(share, after) if is_new && since >= after => share,
            Fault::OneRoute(share) if is_new && route == 1 => share,
            _ => 0.0,
        };
        let bad = self.random.random_bool(share) || self.random.random_bool(self.plan.noise);
        if bad { Answer::Bad } else { Answer::Good }
    }

    fn count(&mut self, index: usize, is_new: bool) {
        let Some((_, at)) = &self.ordered else {
            return;
        };
        let is_linked = self.hosts[index].cut_until + 3_000 <= self.now;
        let in_time = self.now >= *at && self.now <= self.deadline();
        if in_time {
            self.seen.requests += 1;
            self.seen.exposed += u64::from(is_new && is_linked);
        }
        if is_new && is_linked {
            self.seen.last_new = self.now;
        }
        let host = &self.hosts[index];
        let is_cut_off = self.now < host.cut_until && self.now > host.cut_since + 2_600;
        self.seen.cut_off += u64::from(is_new && is_cut_off);
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended: Vec<Running> = self.running.extract_if(.., |r| r.ends <= now).collect();
        for r in ended {
            if r.version == version("v2") && r.answer == Answer::Bad {
                self.seen.bad += 1;
                if self.seen.bad == 50 {
                    self.seen.fiftieth_bad = Some(now);
                }
            }
            let host = &mut self.hosts[r.host];
            if host.is_up && host.lives == r.lives {
                let rollouts = &mut host.rollouts;
                rollouts.note_answer(service(), Some(r.version), r.route, r.answer);
            }
        }
    }

    /// Returns the most datagrams that one host sent.
    pub fn busiest(&self) -> usize {
        self.sent_by.iter().copied().max().unwrap_or_default()
    }

    /// Returns the number of requests that a bad version may get.
    pub fn allowed(&self) -> u64 {
        (self.seen.requests as f64 * BOUND.fraction + BOUND.slack) as u64
    }
}

impl Host {
    fn new(index: usize, centre: usize, weight: f64, random: &mut SmallRng) -> Host {
        let number = u16::try_from(index).expect("a few hundred hosts");
        let address = SocketAddr::from(([10, 1, 0, 1], 1_000 + number));
        let name = format!("centre-{centre}");
        Host {
            address,
            centre,
            rollouts: Rollouts::new(address, random.random(), &name, Some(BOUND)),
            registry: Registry::default(),
            weight,
            is_up: true,
            cut_since: 0,
            cut_until: 0,
            last_up: 0,
            lives: 0,
        }
    }

    /// Lists the endpoints: those of the old version, and of the new one if it has started.
    fn list(&mut self, new_since: Option<u64>, now: Moment) {
        let mut entries = BTreeMap::from([("old".to_owned(), endpoint("old", "v1", 0))]);
        if let Some(since) = new_since {
            entries.insert("new".to_owned(), endpoint("new", "v2", since));
        }
        self.registry.replace(entries, now);
        self.rollouts.endpoints_listed(&self.registry, now);
    }

    fn old_key(&self) -> EndpointKey {
        match endpoint("old", "v1", 0) {
            Entry::Endpoint(endpoint) => endpoint.key(),
            Entry::Unusable => EndpointKey(0),
        }
    }
}
