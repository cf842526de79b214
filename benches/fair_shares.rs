//! Compares ways of sharing a service's capacity among accounts, in virtual time.
//!
//! `turns`: each host gives accounts turns by itself. `usage`: hosts tell each other the
//! requests that they placed by account, and each serves the account with the least use
//! first. `home`: one host computes max-min shares, and hosts hold back accounts beyond
//! theirs. One data centre is modelled, since shares are computed in each by itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use coordination::shares::home::ShareHome;
use coordination::shares::host::HostShares;
use coordination::shares::{self, ShareKey, UsageReport, max_min_level};
use protocol::neighbour::NeighbourMessage;
use protocol::share_message::ShareMessage;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::fair_queue::is_timely;
use state::fleet::placement::Request;
use state::fleet::{FairQueue, FairTicket, retry_after};
use state::{AccountKey, DataCentreKey, FlowKey, Moment, ServiceKey};

const CENTRES: usize = 3;
const ACCOUNTS: usize = 73;

/// The accounts whose callers come to all hosts; callers of others come to three each.
const HEAVY: usize = 3;

const WORK: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(1_000);
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
const WARM_UP: u64 = 2_000;
const LENGTH: u64 = 8_000;

/// Requests per second of capacity for each host.
const CAPACITY: f64 = 16.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Method {
    Turns,
    Usage,
    Home,
}

struct Waiting {
    request: Request,
    account: usize,
    is_retry: bool,
    decide_at: Moment,
}

struct Host {
    queue: FairQueue,
    waiting: BTreeMap<FairTicket, Waiting>,
    shares: HostShares,
    next_probe: Moment,
    next_report: Moment,
    /// Requests placed since the last report, and the known use in the last second.
    placed: BTreeMap<FlowKey, u32>,
    used: VecDeque<(Moment, FlowKey, u32)>,
    use_by_flow: BTreeMap<FlowKey, u32>,
}

struct Model {
    method: Method,
    hosts: Vec<Host>,
    home: ShareHome,
    random: StdRng,
    free: usize,
    /// Ends of running requests, with the host.
    running: BTreeSet<(Moment, u64, usize)>,
    returning: BTreeMap<(Moment, u64), Waiting>,
    in_time: Vec<f64>,
    late: u64,
    requests: u64,
    messages: u64,
    bytes: u64,
    number: u64,
}

fn service() -> ServiceKey {
    ServiceKey::named("svc")
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], 7_000))
}

fn key(request: &Request) -> ShareKey {
    ShareKey {
        priority: request.priority,
        flow: request.flow(),
    }
}

/// Returns each account's requests per second; the heavy ones ask for 0.9 of the capacity.
fn demands(capacity: f64) -> Vec<f64> {
    let heavy = [0.5, 0.3, 0.1].map(|part| part * capacity);
    let light = 0.6 * capacity / (ACCOUNTS - HEAVY) as f64;
    let all = heavy.into_iter();
    all.chain(std::iter::repeat_n(light, ACCOUNTS - HEAVY))
        .collect()
}

impl Model {
    fn new(method: Method, hosts: usize, seed: u64) -> Model {
        let host = || Host {
            queue: FairQueue::default(),
            waiting: BTreeMap::new(),
            shares: HostShares::default(),
            next_probe: Moment::default(),
            next_report: Moment::default(),
            placed: BTreeMap::new(),
            used: VecDeque::new(),
            use_by_flow: BTreeMap::new(),
        };
        Model {
            method,
            hosts: std::iter::repeat_with(host).take(hosts).collect(),
            home: ShareHome::default(),
            random: StdRng::seed_from_u64(seed),
            free: (CAPACITY * hosts as f64 * WORK.as_secs_f64()).round() as usize,
            running: BTreeSet::new(),
            returning: BTreeMap::new(),
            in_time: vec![0.0; ACCOUNTS],
            late: 0,
            requests: 0,
            messages: 0,
            bytes: 0,
            number: 0,
        }
    }

    fn run(&mut self) {
        let capacity = CAPACITY * self.hosts.len() as f64;
        let demands = demands(capacity);
        let interval = shares::report_interval(self.hosts.len());
        for host in &mut self.hosts {
            host.next_report = Moment::default() + interval.mul_f64(self.random.random());
        }
        for tick in 0..LENGTH {
            let now = Moment::from_millis(10_000 + tick);
            self.end_requests(now);
            for (account, demand) in demands.iter().enumerate() {
                let mut due = demand / 1_000.0;
                while due > 0.0 && self.random.random_bool(due.min(1.0)) {
                    due -= 1.0;
                    self.arrive(account, now);
                }
            }
            while let Some(((at, number), _)) = self.returning.first_key_value()
                && *at <= now
            {
                let at = (*at, *number);
                if let Some(waiting) = self.returning.remove(&at) {
                    let host = self.random.random_range(0..self.hosts.len());
                    self.enter(host, waiting, now);
                }
            }
            self.serve(now);
            self.exchange(interval, now);
        }
    }

    fn arrive(&mut self, account: usize, now: Moment) {
        let hosts = self.hosts.len();
        let host = match account < HEAVY {
            true => self.random.random_range(0..hosts),
            false => (account * 37 + self.random.random_range(0..3)) % hosts,
        };
        self.requests += 1;
        let request = Request {
            service: service(),
            centre: DataCentreKey::named("near"),
            objective: now + OBJECTIVE,
            deadline: now + DEADLINE,
            service_time: WORK,
            priority: 1,
            account: Some(AccountKey(account as u64 + 1)),
            route: 0,
            draw: 0.5,
        };
        let waiting = Waiting {
            request,
            account,
            is_retry: false,
            decide_at: now,
        };
        self.enter(host, waiting, now);
    }

    fn enter(&mut self, host: usize, mut waiting: Waiting, now: Moment) {
        let request = waiting.request;
        let timely = is_timely(&request, now);
        let host = &mut self.hosts[host];
        let ticket = host.queue.push(&request, now);
        let last = request.objective - WORK.mul_f64(1.5) - PROBE_INTERVAL;
        waiting.decide_at = match timely {
            true => last,
            false => now + now.until(request.deadline).mul_f64(0.25),
        };
        if timely {
            host.shares.count_wanted(service(), key(&request), now);
        }
        if self.free == 0 || host.waiting.len() > 1 {
            host.shares.note_waiting(service(), now);
        }
        if host.waiting.is_empty() {
            host.next_probe = now;
        }
        host.waiting.insert(ticket, waiting);
    }

    /// Returns the request that a host would place now.
    fn first(&self, host: usize, now: Moment) -> Option<FairTicket> {
        let host = &self.hosts[host];
        let least = host.waiting.values().map(|w| w.request.flow());
        let used = |flow: &FlowKey| host.use_by_flow.get(flow).copied().unwrap_or_default();
        let least = least.min_by_key(|flow| (used(flow), *flow));
        let first = host.queue.first(&|priority, flow| match self.method {
            Method::Turns => false,
            Method::Usage => Some(flow) != least,
            Method::Home => {
                let key = ShareKey { priority, flow };
                host.shares.held_for(service(), key, now).is_some()
            }
        })?;
        let contended = self.method == Method::Home && host.shares.is_contended(service(), now);
        let yields = host.queue.yields_for(first, contended, now);
        yields.is_none().then_some(first)
    }

    fn place(&mut self, at: usize, now: Moment) -> bool {
        if self.free == 0 {
            return false;
        }
        let Some(ticket) = self.first(at, now) else {
            return false;
        };
        let host = &mut self.hosts[at];
        let Some(waiting) = host.waiting.remove(&ticket) else {
            return false;
        };
        host.queue.remove(ticket, true);
        let request = &waiting.request;
        host.shares.count_placed(service(), key(request), now);
        *host.placed.entry(request.flow()).or_default() += 1;
        host.note_use(request.flow(), 1, now);
        self.free -= 1;
        self.number += 1;
        let work = WORK.mul_f64(self.random.random_range(0.6..1.4));
        self.running.insert((now + work, self.number, at));
        let is_measured = now >= Moment::from_millis(10_000 + WARM_UP);
        match now + work <= request.objective {
            true if is_measured => self.in_time[waiting.account] += 1.0,
            false if is_measured => self.late += 1,
            _ => {}
        }
        true
    }

    /// Ends requests; the host of one learns first that its slot is free.
    fn end_requests(&mut self, now: Moment) {
        while let Some((end, number, host)) = self.running.first().copied()
            && end <= now
        {
            self.running.remove(&(end, number, host));
            self.free += 1;
            self.place(host, now);
        }
    }

    /// Lets hosts probe in random order, and refuses what can't wait longer.
    fn serve(&mut self, now: Moment) {
        let start = self.random.random_range(0..self.hosts.len());
        for at in 0..self.hosts.len() {
            let at = (start + at) % self.hosts.len();
            self.hosts[at].queue.advance(now);
            if self.hosts[at].next_probe <= now && !self.hosts[at].waiting.is_empty() {
                while self.place(at, now) {}
                self.hosts[at].next_probe = now + PROBE_INTERVAL;
            }
            self.refuse(at, now);
        }
    }

    fn refuse(&mut self, at: usize, now: Moment) {
        let host = &mut self.hosts[at];
        let due = host.waiting.iter().filter(|(_, w)| w.decide_at <= now);
        let due: Vec<FairTicket> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            let Some(mut waiting) = host.waiting.remove(&ticket) else {
                continue;
            };
            host.queue.remove(ticket, false);
            if waiting.is_retry {
                continue;
            }
            let delay = retry_after::retry_after(&waiting.request, self.random.random(), now);
            waiting.is_retry = true;
            self.number += 1;
            self.returning.insert((now + delay, self.number), waiting);
        }
    }

    fn exchange(&mut self, interval: Duration, now: Moment) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].next_report > now {
                continue;
            }
            self.hosts[at].next_report = now + interval;
            if self.hosts[at].shares.active(now).is_empty() {
                continue;
            }
            match self.method {
                Method::Turns => {}
                Method::Usage => self.tell_all(at, now),
                Method::Home => self.ask_home(at, now),
            }
        }
    }

    fn count(&mut self, message: ShareMessage, copies: u64) {
        self.messages += copies;
        let size = NeighbourMessage::Shares(message).encode().len() as u64;
        self.bytes += size * copies;
    }

    fn report(&mut self, at: usize, now: Moment) -> UsageReport {
        let host = &mut self.hosts[at];
        let timely = host.queue.timely() as u32;
        host.shares.report(service(), timely, now)
    }

    fn tell_all(&mut self, at: usize, now: Moment) {
        let report = self.report(at, now);
        let others = self.hosts.len() as u64 - 1;
        self.count(ShareMessage::Report(report), others);
        let placed = std::mem::take(&mut self.hosts[at].placed);
        for (other, host) in self.hosts.iter_mut().enumerate() {
            for (flow, count) in placed.iter().filter(|_| other != at) {
                host.note_use(*flow, *count, now);
            }
        }
    }

    fn ask_home(&mut self, at: usize, now: Moment) {
        let report = self.report(at, now);
        let lifetime = shares::lifetime(self.hosts.len());
        let limits = self
            .home
            .report_received(address(at), report.clone(), lifetime, now);
        if at != 0 {
            self.count(ShareMessage::Report(report), 1);
            self.count(ShareMessage::Limits(limits.clone()), 1);
        }
        let host = &mut self.hosts[at];
        host.shares.limits_received(&limits, lifetime, now);
    }

    /// Returns the smallest and largest share against max-min, of accounts that are entitled
    /// to at least 20 requests.
    fn spread(&self) -> (f64, f64) {
        let seconds = (LENGTH - WARM_UP) as f64 / 1_000.0;
        let wants = demands(CAPACITY * self.hosts.len() as f64);
        let served = self.in_time.iter().sum::<f64>() / seconds;
        let level = max_min_level(served, wants.iter().copied());
        let ratios = wants.iter().zip(&self.in_time).filter_map(|(want, got)| {
            let entitled = want.min(level) * seconds;
            (entitled >= 20.0).then(|| got / entitled)
        });
        let ratios: Vec<f64> = ratios.collect();
        (
            ratios.iter().copied().fold(f64::INFINITY, f64::min),
            ratios.iter().copied().fold(0.0, f64::max),
        )
    }

    fn goodput(&self) -> f64 {
        let seconds = (LENGTH - WARM_UP) as f64 / 1_000.0;
        self.in_time.iter().sum::<f64>() / seconds / (CAPACITY * self.hosts.len() as f64)
    }
}

impl Host {
    fn note_use(&mut self, flow: FlowKey, count: u32, now: Moment) {
        self.used.push_back((now, flow, count));
        *self.use_by_flow.entry(flow).or_default() += count;
        while let Some((at, flow, count)) = self.used.front().copied()
            && now.since(at) > Duration::from_secs(1)
        {
            self.used.pop_front();
            if let Some(used) = self.use_by_flow.get_mut(&flow) {
                *used -= count;
            }
        }
    }
}

fn main() {
    println!(
        "hosts method seed  smallest share  largest share  goodput  late/s  messages/request  bytes/request  bytes/s a host"
    );
    for hosts in [13, 97, 984] {
        for method in [Method::Turns, Method::Usage, Method::Home] {
            for seed in [7, 8, 9] {
                let mut model = Model::new(method, hosts / CENTRES, seed);
                model.run();
                let (smallest, largest) = model.spread();
                let requests = model.requests as f64;
                let seconds = LENGTH as f64 / 1_000.0;
                println!(
                    "{hosts:5} {:6} {seed:4} {smallest:15.2} {largest:14.2} {:8.3} {:7.1} {:17.2} {:14.1} {:15.0}",
                    format!("{method:?}").to_lowercase(),
                    model.goodput(),
                    model.late as f64 / 6.0,
                    model.messages as f64 / requests,
                    model.bytes as f64 / requests,
                    model.bytes as f64 / seconds / model.hosts.len() as f64,
                );
            }
        }
    }
}
