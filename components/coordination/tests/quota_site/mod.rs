//! Hosts of several data centres that divide accounts' quotas, in virtual time.
// Each file compiles this module and uses only some of its items.
#![allow(dead_code)]

pub mod callers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coordination::quota::contention::{Refused, TokenRequest, Urgency};
use coordination::quota::demand::Demand;
use coordination::quota::held::{Decision, HeldTokens};
use coordination::quota::home::{Centres, Claim, Grant, QuotaHomes};
use coordination::quota::{self, DemandEntry, DemandReport};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::accounts::QuotaLimit;
use state::fleet::QuotaBucket;
use state::{AccountKey, DataCentreKey, Moment};

pub const STEP: Duration = Duration::from_millis(10);
const REPORT_STEPS: u64 = 50;
const START: Moment = Moment::from_millis(10_000);

/// The time from the start of all hosts to the first request.
const LEAD_TIME: Duration = Duration::from_secs(10);

/// How long a host that has gone still counts as running.
const LIVE_TIME: Duration = Duration::from_millis(2_500);

/// How long a host that has gone is still counted among those that there should be.
const KNOWN_TIME: Duration = Duration::from_secs(20);

/// Sizes of messages in bytes, headers of UDP and IP included.
const CLAIM_BYTES: u64 = 50;
const REPORT_BYTES: u64 = 45;
const ENTRY_BYTES: u64 = 12;

/// How a home grants tokens under contention.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// First come, first served; each request is a claim.
    Arrival,
    /// Late requests yield; each request is a claim.
    Yield,
    /// Late requests yield, and hosts refuse without asking.
    YieldLocally,
}

/// How hosts divide the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One home a data centre grants tokens.
    Home,
    /// Each host uses a part of the quota, by the demand that all hosts report.
    Shares,
}

struct Host {
    address: SocketAddr,
    held: HeldTokens,
    homes: QuotaHomes,
    /// Since when the host is down or cut off.
    gone: Option<Moment>,
    /// Whether a host that is gone still has callers: it is cut off, not down.
    is_cut: bool,
    demands: BTreeMap<AccountKey, Demand>,
    buckets: BTreeMap<AccountKey, QuotaBucket>,
}

impl Host {
    fn new(address: SocketAddr, now: Moment) -> Host {
        Host {
            address,
            held: HeldTokens::default(),
            homes: QuotaHomes::new(now),
            gone: None,
            is_cut: false,
            demands: BTreeMap::new(),
            buckets: BTreeMap::new(),
        }
    }

    fn is_heard(&self, now: Moment) -> bool {
        self.gone.is_none_or(|since| now.since(since) < LIVE_TIME)
    }
}

/// What the site has done so far.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub messages: u64,
    pub bytes: u64,
    pub cross_bytes: u64,
    pub asked: u64,
    pub granted: u64,
}

pub struct Site {
    policy: Policy,
    pub order: Order,
    centres: Vec<Vec<Host>>,
    pub now: Moment,
    steps: u64,
    random: SmallRng,
    /// The fraction of messages that are lost.
    pub loss: f64,
    /// The excess over the quota that the bound allows, as a fraction and as requests.
    pub overage: f64,
    pub slack: f64,
    pub limits: BTreeMap<AccountKey, QuotaLimit>,
    pub granted: BTreeMap<AccountKey, Vec<Moment>>,
    pub totals: Totals,
    /// The demand of each host as last reported, for `Policy::Shares`.
    reported: BTreeMap<(AccountKey, SocketAddr), f64>,
}

impl Site {
    pub fn new(policy: Policy, centres: usize, hosts: usize, seed: u64) -> Site {
        let centre = |c: usize| {
            let address =
                move |h: usize| SocketAddr::from(([10, c as u8, (h >> 8) as u8, h as u8], 1));
            (0..hosts)
                .map(move |h| Host::new(address(h), START))
                .collect()
        };
        Site {
            policy,
            order: Order::YieldLocally,
            centres: (0..centres).map(centre).collect(),
            now: START + LEAD_TIME,
            steps: 0,
            random: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            overage: 0.1,
            slack: 20.0,
            limits: BTreeMap::new(),
            granted: BTreeMap::new(),
            totals: Totals::default(),
            reported: BTreeMap::new(),
        }
    }

    pub fn hosts(&self) -> usize {
        self.centres.iter().map(Vec::len).sum()
    }

    pub fn draw(&mut self) -> f64 {
        self.random.random()
    }

    /// Draws a data centre and one of its hosts.
    pub fn draw_host(&mut self) -> (usize, usize) {
        let centre = (self.draw() * self.centres.len() as f64) as usize;
        let host = (self.draw() * self.centres[centre].len() as f64) as usize;
        (centre, host)
    }

    /// Stops hosts, or cuts them off from all others.
    pub fn remove(&mut self, fraction: f64, is_cut: bool) {
        let now = self.now;
        for at in 0..self.centres.len() {
            for host in 0..self.centres[at].len() {
                if self.random.random::<f64>() < fraction {
                    self.centres[at][host].gone = Some(now);
                    self.centres[at][host].is_cut = is_cut;
                }
            }
        }
    }

    /// Brings all hosts back: those that were down know nothing.
    pub fn restore(&mut self) {
        for host in self.centres.iter_mut().flatten() {
            if host.gone.take().is_some() && !host.is_cut {
                *host = Host::new(host.address, self.now);
            }
            host.is_cut = false;
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        if self.steps.is_multiple_of(REPORT_STEPS) {
            match self.policy {
                Policy::Home => self.report_homes(),
                Policy::Shares => self.report_hosts(),
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random::<f64>() < self.loss
    }

    fn count_message(&mut self, bytes: u64, cross: bool) {
        self.totals.messages += 1;
        self.totals.bytes += bytes;
        self.totals.cross_bytes += if cross { bytes } else { 0 };
    }

    fn report_homes(&mut self) {
        let now = self.now;
        for from in 0..self.centres.len() {
            for host in 0..self.centres[from].len() {
                if self.centres[from][host].gone.is_some() && !self.centres[from][host].is_cut {
                    continue;
                }
                let heard = self.heard(from, host);
                if heard.is_none() {
                    self.centres[from][host].homes.cut_off(now);
                }
                let own = self.centres[from][host].address;
                let is_first = |account| {
                    let hosts = heard.clone().unwrap_or_default();
                    quota::homes(account, hosts).is_some_and(|h| h.first == own)
                };
                let entries = self.centres[from][host].homes.report(is_first, now);
                if !entries.is_empty() {
                    self.send_report(from, &entries);
                }
            }
        }
    }

    fn send_report(&mut self, from: usize, entries: &[DemandEntry]) {
        for to in (0..self.centres.len()).filter(|to| *to != from) {
            self.count_message(REPORT_BYTES + ENTRY_BYTES * entries.len() as u64, true);
            if self.is_lost() {
                continue;
            }
            for entry in entries {
                let Some(home) = self.first_home(to, entry.account) else {
                    continue;
                };
                self.count_message(REPORT_BYTES + ENTRY_BYTES, false);
                let report = DemandReport {
                    centre: DataCentreKey(from as u64),
                    entries: vec![*entry],
                };
                let now = self.now;
                self.centres[to][home].homes.demand_reported(&report, now);
            }
        }
    }

    /// Returns the running first choice of home in a data centre.
    fn first_home(&self, centre: usize, account: AccountKey) -> Option<usize> {
        let hosts = &self.centres[centre];
        let heard = hosts.iter().filter(|h| h.is_heard(self.now));
        let first = quota::homes(account, heard.map(|h| h.address))?.first;
        let at = hosts.iter().position(|h| h.address == first)?;
        hosts[at].gone.is_none().then_some(at)
    }

    fn report_hosts(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for host in self.centres.iter().flatten().filter(|h| h.gone.is_none()) {
            let entries: Vec<(AccountKey, f64)> = host
                .demands
                .iter()
                .map(|(account, demand)| (*account, demand.rate(now)))
                .filter(|(_, rate)| *rate > 0.01)
                .collect();
            reports.push((host.address, entries));
        }
        let per_centre = self.centres[0].len() as u64;
        let centres = self.centres.len() as u64;
        for (address, entries) in reports {
            if entries.is_empty() {
                continue;
            }
            let size = REPORT_BYTES + ENTRY_BYTES * entries.len() as u64;
            for _ in 0..per_centre {
                self.count_message(size, false);
            }
            for _ in 1..centres {
                self.count_message(size, true);
            }
            if !self.is_lost() {
                for (account, rate) in entries {
                    self.reported.insert((account, address), rate);
                }
            }
        }
    }

    /// Handles a request of an account at one host; returns whether it may run.
    pub fn request(&mut self, centre: usize, host: usize, account: AccountKey) -> bool {
        let in_time = TokenRequest {
            latest_start: self.now + STEP,
        };
        self.request_for(centre, host, account, in_time).is_ok()
    }

    /// Handles a request of this urgency; returns the time after which a refused one returns.
    pub fn request_for(
        &mut self,
        centre: usize,
        host: usize,
        account: AccountKey,
        request: TokenRequest,
    ) -> Result<(), Duration> {
        let is_down = {
            let h = &self.centres[centre][host];
            h.gone.is_some() && !h.is_cut
        };
        if is_down {
            return Err(Duration::ZERO);
        }
        self.totals.asked += 1;
        let result = match self.policy {
            Policy::Home => self.request_home(centre, host, account, request),
            Policy::Shares => match self.request_share(centre, host, account) {
                true => Ok(()),
                false => Err(Duration::ZERO),
            },
        };
        if result.is_ok() {
            self.totals.granted += 1;
            let now = self.now;
            self.granted.entry(account).or_default().push(now);
        }
        result
    }

    /// Returns the tokens that expired unused at all hosts.
    pub fn expired(&self) -> u64 {
        let hosts = self.centres.iter().flatten();
        hosts.map(|h| h.held.expired()).sum()
    }

    fn request_share(&mut self, centre: usize, host: usize, account: AccountKey) -> bool {
        let now = self.now;
        let limit = self.limits[&account];
        let address = self.centres[centre][host].address;
        let range = (account, SocketAddr::from(([0, 0, 0, 0], 0)))..;
        let all = self.reported.range(range);
        let all = all.take_while(|((key, _), _)| *key == account);
        let hosts = self.hosts() as f64;
        let base = limit.rate * 0.05 / hosts;
        let total: f64 = all.map(|(_, rate)| rate).sum::<f64>() + base * hosts;
        let own = self.reported.get(&(account, address)).unwrap_or(&0.0) + base;
        let part = own / total;
        let limit = QuotaLimit {
            rate: limit.rate * part,
            burst: (limit.burst * part + self.slack / 2.0 / hosts).max(1.0),
        };
        let h = &mut self.centres[centre][host];
        let demand = h.demands.entry(account).or_insert_with(|| Demand::new(now));
        demand.count(1, now);
        let bucket = h
            .buckets
            .entry(account)
            .or_insert_with(|| QuotaBucket::new(limit, 1.0, now));
        bucket.set_limit(limit, now);
        bucket.take(1, 1, now) > 0
    }

    fn request_home(
        &mut self,
        centre: usize,
        host: usize,
        account: AccountKey,
        request: TokenRequest,
    ) -> Result<(), Duration> {
        let now = self.now;
        let limit = self.limits[&account];
        let share = 1.0 / self.hosts() as f64;
        let request = match self.order {
            Order::Arrival => TokenRequest { latest_start: now },
            Order::Yield | Order::YieldLocally => request,
        };
        let urgency = request.urgency(now);
        let held = &mut self.centres[centre][host].held;
        match held.decide(account, request, now) {
            Decision::Run => return Ok(()),
            Decision::Refuse(time) => return Err(time),
            Decision::Ask => {}
        }
        let wanted = held.wanted(account, now);
        let refused = held.take_refused(account, now);
        let grant = self.claim(centre, host, account, (wanted, urgency, refused));
        let held = &mut self.centres[centre][host].held;
        match grant {
            None => held.take_reserve(account, limit, share, now),
            Some(mut grant) => {
                if self.order != Order::YieldLocally {
                    grant.none_for = Duration::ZERO;
                }
                held.granted(account, request, urgency, grant, now)
            }
        }
    }

    /// Returns the hosts that one host hears of, or `None` if it is cut off from most.
    fn heard(&self, centre: usize, host: usize) -> Option<Vec<SocketAddr>> {
        let hosts = &self.centres[centre];
        let sender = &hosts[host];
        let is_alone = !sender.is_heard(self.now);
        let others = hosts.iter().filter(|h| h.address != sender.address);
        let known = others
            .clone()
            .filter(|h| {
                h.gone
                    .is_none_or(|since| self.now.since(since) < KNOWN_TIME)
            })
            .count();
        let heard = others.filter(|h| !is_alone && h.is_heard(self.now));
        let mut heard: Vec<SocketAddr> = heard.map(|h| h.address).collect();
        if !quota::has_majority(heard.len(), known) {
            return None;
        }
        heard.push(sender.address);
        Some(heard)
    }

    fn claim(
        &mut self,
        centre: usize,
        host: usize,
        account: AccountKey,
        mut wanted: (u32, Urgency, Refused),
    ) -> Option<Grant> {
        let now = self.now;
        let homes = quota::homes(account, self.heard(centre, host)?)?;
        let sender = &mut self.centres[centre][host].held;
        if !sender.has_failed(account, now) {
            for _ in 0..3 {
                let grant = self.claim_from(centre, host, homes.first, account, wanted);
                if grant.is_some() {
                    return grant;
                }
                wanted.2 = Refused::default();
            }
            self.centres[centre][host].held.home_failed(account, now);
        }
        self.claim_from(centre, host, homes.second?, account, wanted)
    }

    fn claim_from(
        &mut self,
        centre: usize,
        host: usize,
        home: SocketAddr,
        account: AccountKey,
        wanted: (u32, Urgency, Refused),
    ) -> Option<Grant> {
        let now = self.now;
        let at = self.centres[centre]
            .iter()
            .position(|h| h.address == home)?;
        if at != host {
            self.count_message(CLAIM_BYTES, false);
            self.count_message(CLAIM_BYTES, false);
            let is_cut = self.centres[centre][host].gone.is_some();
            let is_gone = self.centres[centre][at].gone.is_some();
            if is_cut || is_gone || self.is_lost() || self.is_lost() {
                return None;
            }
        }
        let is_first = {
            let heard = self.heard(centre, at)?;
            quota::homes(account, heard)?.first == home
        };
        let claim = Claim {
            account,
            limit: self.limits[&account],
            wanted: wanted.0,
            is_first,
            sender: self.centres[centre][host].address,
            urgency: wanted.1,
            refused: wanted.2,
        };
        let others = (0..self.centres.len()).filter(|c| *c != centre);
        let centres = Centres {
            others: others.map(|c| DataCentreKey(c as u64)).collect(),
        };
        let slack = self.slack;
        let homes = &mut self.centres[centre][at].homes;
        Some(homes.grant(&claim, &centres, slack, now))
    }

    /// Returns the most requests granted within any window, as a fraction of the bound.
    pub fn worst_window(&self, account: AccountKey, window: Duration) -> f64 {
        let limit = self.limits[&account];
        let bound =
            (limit.rate * window.as_secs_f64() + limit.burst) * (1.0 + self.overage) + self.slack;
        let times = &self.granted[&account];
        let mut first = 0;
        let mut most = 0;
        for (last, at) in times.iter().enumerate() {
            while at.since(times[first]) >= window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 / bound
    }
}
