//! Requests that wait for an endpoint, and which of them probes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::placement::{Context, Request};
use state::fleet::rollout::VersionRule;
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Step, Ticket, WaitQueue};
use state::topology::Topology;
use state::{AccountKey, DataCentreKey, EndpointKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);
const TICK: Duration = Duration::from_millis(1);
const SLOTS: u32 = 4;

/// How long an endpoint takes to answer a probe; others probe it meanwhile.
const PROBE_TIME: Duration = Duration::from_millis(2);

/// One host whose requests all wait for the same few endpoints.
struct Host {
    registry: Registry,
    queue: WaitQueue,
    waiting: Vec<Waiting>,
    random: StdRng,
    /// The number of requests that each endpoint runs for all hosts.
    running: BTreeMap<EndpointKey, u32>,
    probes: usize,
    placed: Vec<(usize, EndpointKey)>,
}

struct Waiting {
    number: usize,
    request: Request,
    placement: Placement,
    ticket: Option<Ticket>,
    due: Moment,
    probing: Option<EndpointKey>,
}

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        instance: name.to_owned(),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named("near"),
        version: None,
        slots: SLOTS,
        draining: false,
        cold: Duration::ZERO,
    }
}

impl Host {
    /// Returns a host whose endpoints are all full.
    fn full(names: &[&str]) -> Host {
        let mut registry = Registry::default();
        let mut running = BTreeMap::new();
        for name in names {
            let endpoint = endpoint(name);
            running.insert(endpoint.key(), SLOTS);
            registry.apply(name, Some(Entry::Endpoint(endpoint)), START);
        }
        Host {
            registry,
            queue: WaitQueue::default(),
            waiting: Vec::new(),
            random: StdRng::seed_from_u64(3),
            running,
            probes: 0,
            placed: Vec::new(),
        }
    }

    fn arrive(&mut self, number: usize, priority: u32, now: Moment) {
        let request = Request {
            service: ServiceKey::named("svc"),
            centre: DataCentreKey::named("near"),
            objective: now + Duration::from_millis(600),
            deadline: now + Duration::from_millis(2_000),
            service_time: Duration::from_millis(60),
            priority,
            account: None,
            route: 0,
            draw: 1.0,
        };
        let ticket =
            (!self.queue.is_empty()).then(|| self.queue.push(priority, None, request.objective));
        self.waiting.push(Waiting {
            number,
            request,
            placement: Placement::default(),
            ticket,
            due: now,
            probing: None,
        });
    }

    /// Runs all requests that are due.
    fn step(&mut self, now: Moment) {
        for mut waiting in std::mem::take(&mut self.waiting) {
            match waiting.due > now || self.step_one(&mut waiting, now) {
                true => self.waiting.push(waiting),
                false => self.remove(waiting.ticket, now),
            }
        }
    }

    /// Runs one request's next step; returns whether it is still waiting.
    fn step_one(&mut self, waiting: &mut Waiting, now: Moment) -> bool {
        if let Some(key) = waiting.probing.take() {
            self.update_sample(key, now);
        }
        let is_first = waiting.ticket.is_none_or(|t| self.queue.first() == Some(t));
        let random = &mut self.random;
        let mut draw = || random.random::<f64>();
        let mut context = Context {
            registry: &mut self.registry,
            is_connected: &|_| false,
            leaving_centres: &BTreeSet::new(),
            topology: &Topology::default(),
            regions: &BTreeSet::new(),
            versions: &VersionRule::All,
            cold: Quota::cold(0.0, 0.0),
            is_first,
            may_probe: true,
        };
        let request = &waiting.request;
        match waiting
            .placement
            .next(&mut context, request, now, &mut draw)
        {
            Step::Probe(key) => {
                self.probes += 1;
                waiting.probing = Some(key);
                waiting.due = now + PROBE_TIME;
                true
            }
            Step::Place(key) => {
                self.registry
                    .get_mut(key)
                    .expect("the endpoint is known")
                    .start();
                *self.running.entry(key).or_default() += 1;
                self.placed.push((waiting.number, key));
                false
            }
            Step::Wait(time) => {
                let rank = (request.priority, request.objective);
                waiting
                    .ticket
                    .get_or_insert_with(|| self.queue.push(rank.0, None, rank.1));
                waiting.due = now + time;
                true
            }
            Step::Refuse(_) => false,
        }
    }

    /// Removes a request from the queue and wakes the new first one.
    fn remove(&mut self, ticket: Option<Ticket>, now: Moment) {
        let next = ticket.and_then(|t| self.queue.remove(t));
        self.wake(next, now);
    }

    fn update_sample(&mut self, key: EndpointKey, now: Moment) {
        let sample = LoadSample {
            at: now,
            running: self.running[&key],
            waiting: 0,
            slots: SLOTS,
            slowness: 100,
            healthy: true,
            reported: true,
        };
        self.registry
            .get_mut(key)
            .expect("the endpoint is known")
            .set_sample(sample);
    }

    /// Ends a request of this host at an endpoint, whose answer reports its load.
    fn end(&mut self, name: &str, left: u32, now: Moment) {
        let key = endpoint(name).key();
        self.running.insert(key, left);
        self.update_sample(key, now);
        self.wake(self.queue.first(), now);
    }

    fn wake(&mut self, ticket: Option<Ticket>, now: Moment) {
        let mut waiting = self.waiting.iter_mut();
        let first = waiting.find(|w| ticket.is_some() && w.ticket == ticket);
        if let Some(first) = first.filter(|w| w.probing.is_none()) {
            first.due = now;
        }
    }

    fn run(&mut self, from: Moment, time: Duration) {
        let mut now = from;
        while now < from + time {
            self.step(now);
            now = now + TICK;
        }
    }
}

/// In a burst beyond the capacity of all endpoints forty requests wait at one host. If
/// each of them probed, this host alone would send its endpoints 2,000 probes in 300 ms,
/// and the hosts of a site would spend more time on probes than on requests.
#[test]
fn one_probes() {
    let mut host = Host::full(&["a", "b", "c", "d"]);
    (0..40).for_each(|n| host.arrive(n, 0, START));
    host.run(START, Duration::from_millis(50));
    host.probes = 0;
    host.run(
        START + Duration::from_millis(50),
        Duration::from_millis(300),
    );
    assert!(host.placed.is_empty());
    // Four endpoints, probed again every 40 ms.
    assert!(host.probes <= 4 * 9, "{} probes in 300 ms", host.probes);
}

/// A slot becomes free as a request of this host ends. The host knows before any other
/// host can probe: the first waiting request, and no other, must get the slot at once
/// without a probe.
#[test]
fn freed_slot_reused() {
    let mut host = Host::full(&["a", "b"]);
    host.arrive(0, 0, START);
    host.run(START, Duration::from_millis(8));
    let now = START + Duration::from_millis(10);
    (1..10).for_each(|n| host.arrive(n, 0, now));
    host.probes = 0;
    host.end("a", 2, now);
    host.step(now);
    assert_eq!(host.placed, [(0, endpoint("a").key())]);
    assert_eq!(host.probes, 0);
}

/// Lookups and deposits wait for the same endpoints. An urgent deposit must not be
/// rejected because lookups arrived a moment earlier.
#[test]
fn urgent_first() {
    let mut host = Host::full(&["a"]);
    host.arrive(0, 2, START);
    host.arrive(1, 2, START);
    host.run(START, Duration::from_millis(5));
    let now = START + Duration::from_millis(10);
    host.arrive(2, 1, now);
    host.step(now);
    host.end("a", 2, now);
    host.step(now);
    assert_eq!(host.placed, [(2, endpoint("a").key())]);
}

/// When the first request gives up, the next one must take over probing, or the whole
/// queue would stand still until its deadline.
#[test]
fn next_is_first() {
    let mut queue = WaitQueue::default();
    let first = queue.push(1, None, START);
    let second = queue.push(1, None, START + TICK);
    let third = queue.push(1, None, START + TICK);
    assert_eq!(queue.remove(third), None);
    assert_eq!(queue.remove(first), Some(second));
    assert_eq!(queue.remove(second), None);
    assert!(queue.is_empty());
}

/// Returns how many of the first `count` requests in the queue are of this account.
fn served(queue: &mut WaitQueue, tickets: &BTreeMap<Ticket, AccountKey>, count: usize) -> usize {
    let first = (0..count).filter_map(|_| {
        let ticket = queue.first()?;
        queue.remove(ticket);
        tickets.get(&ticket)
    });
    first.filter(|account| **account == HOT).count()
}

const HOT: AccountKey = AccountKey(1);

/// An account that sends ten times as much as the others gets no more slots than each of
/// them while they wait, whoever came first.
#[test]
fn accounts_take_turns() {
    let mut queue = WaitQueue::default();
    let mut tickets = BTreeMap::new();
    for number in 0..40 {
        let ticket = queue.push(1, Some(HOT), START + TICK * number);
        tickets.insert(ticket, HOT);
    }
    for number in 0..4 {
        for account in 2..=4 {
            let account = AccountKey(account);
            let ticket = queue.push(1, Some(account), START + TICK * (100 + number));
            tickets.insert(ticket, account);
        }
    }
    assert_eq!(served(&mut queue, &tickets, 16), 4);
    // An account that comes later gets its turn at once, and no more for the time before.
    for number in 0..3 {
        let ticket = queue.push(1, Some(AccountKey(9)), START + TICK * (200 + number));
        tickets.insert(ticket, AccountKey(9));
    }
    assert_eq!(served(&mut queue, &tickets, 6), 3);
}

/// An urgent account goes before all others.
#[test]
fn urgent_account() {
    let mut queue = WaitQueue::default();
    queue.push(2, Some(HOT), START);
    let urgent = queue.push(0, Some(AccountKey(2)), START + TICK);
    assert_eq!(queue.first(), Some(urgent));
}

/// Without accounts, requests keep the order of their objectives.
#[test]
fn no_accounts() {
    let mut queue = WaitQueue::default();
    let late = queue.push(1, None, START + TICK * 9);
    for number in 0..5 {
        let ticket = queue.push(1, None, START + TICK * number);
        assert_eq!(queue.first(), Some(ticket));
        queue.remove(ticket);
    }
    assert_eq!(queue.first(), Some(late));
}
