//! The broker of one service in one region: finds idle slots for waiting calls.
//!
//! A broker only decides which host gets a slot next. The slots that it gives
//! away are leases of its own host, and other hosts may decline its transfer
//! requests. A duplicate, wrong or missing broker therefore costs waiting time
//! but never puts two calls on one slot.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derives::value;
use state::{HostKey, Moment};

use super::message::{Demand, Stamp};

/// Demand and supply of the hosts that want or hold slots of one service.
#[value]
pub struct Broker {
    demands: BTreeMap<HostKey, HostDemand>,
    shortage: bool,
    last_unmet: Moment,
    last_planned: Moment,
}

/// One host's demand and supply, by its last report.
#[value]
pub struct HostDemand {
    stamp: Stamp,
    waiting: u32,
    unmet: u32,
    oldest_since: Moment,
    spare: u32,
    held: u32,
    idle: u32,
    received: u32,
    incoming: VecDeque<Moment>,
    requested: VecDeque<Moment>,
    outgoing: VecDeque<Moment>,
    last_report: Moment,
    last_sent: Moment,
}

/// A transfer of one slot between two other hosts.
#[value]
pub struct PlannedTransfer {
    /// The host that gives the slot away.
    pub from: HostKey,
    /// The host that receives the slot.
    pub to: HostKey,
    /// The latest stamp of the receiving host.
    pub echo: Stamp,
    /// How long the call that the slot is for has waited.
    pub oldest: Duration,
}

/// How long a slot counts as in transit. The sender may have had no idle slot to send.
const IN_TRANSIT_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a requested slot counts as pending. The holder may have had no idle slot to send.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(10);
/// A host without a report for this long counts as wanting and holding nothing.
const REPORT_TTL: Duration = Duration::from_millis(3_000);
/// The minimum time between two rounds of transfers.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(2);
/// The minimum difference of waiting times for a transfer, which costs the slot half a round trip.
const MIN_WAIT_GAIN: Duration = Duration::from_millis(4);
/// A shortage lasts until no call has lacked a slot for this long. Hosts then keep spares again.
const SHORTAGE_HOLD: Duration = Duration::from_millis(10);
/// A host that was sent nothing for this long gets a shortage message, for the stamp in it.
const STAMP_INTERVAL: Duration = Duration::from_millis(500);

impl Broker {
    /// Returns a broker without any reports.
    pub fn new(now: Moment) -> Broker {
        Broker {
            demands: BTreeMap::new(),
            shortage: false,
            last_unmet: now,
            last_planned: now,
        }
    }

    /// Records a host's report. Returns whether the host is due a shortage message.
    pub fn record(&mut self, from: HostKey, stamp: Stamp, demand: &Demand, now: Moment) -> bool {
        let known = self.demands.contains_key(&from);
        let entry = self
            .demands
            .entry(from)
            .or_insert_with(|| HostDemand::new(now));
        if entry.stamp.incarnation != stamp.incarnation {
            *entry = HostDemand::new(now);
            entry.received = demand.received;
        }
        let arrived = demand.received.wrapping_sub(entry.received) as usize;
        let arrived = arrived.min(entry.incoming.len());
        entry.incoming.drain(..arrived);
        let gone = entry.held.saturating_sub(demand.held) as usize;
        entry.outgoing.drain(..gone.min(entry.outgoing.len()));
        entry.received = demand.received;
        entry.stamp = stamp;
        entry.expire_pending(now);
        let served = entry.unmet.saturating_sub(demand.waiting) as usize;
        entry.requested.drain(..served.min(entry.requested.len()));
        entry.waiting = demand.waiting;
        entry.unmet = demand.waiting.saturating_sub(entry.incoming.len() as u32);
        entry.oldest_since = now - demand.oldest;
        entry.spare = demand.spare;
        entry.held = demand.held;
        entry.idle = demand.idle;
        entry.last_report = now;
        let due = now.since(entry.last_sent) >= STAMP_INTERVAL;
        if due {
            entry.last_sent = now;
        }
        due || (self.shortage && !known)
    }

    /// Removes the hosts that `alive` rejects.
    pub fn retain(&mut self, alive: impl Fn(HostKey) -> bool) {
        self.demands.retain(|host, _| alive(*host));
    }

    /// Returns the host, other than `except`, whose calls without a slot in transit have
    /// waited longest, and how long they have waited.
    pub fn longest_waiting(
        &self,
        except: Option<HostKey>,
        now: Moment,
    ) -> Option<(HostKey, Duration)> {
        self.demands
            .iter()
            .filter(|(host, c)| Some(**host) != except && c.unmet(now) > 0)
            .map(|(host, c)| (*host, c.estimated_wait(now)))
            .max_by_key(|(host, age)| (*age, *host))
    }

    /// Returns the host whose calls without a requested slot have waited longest, and how long.
    fn longest_unrequested(&self, now: Moment) -> Option<(HostKey, Duration)> {
        self.demands
            .iter()
            .filter(|(_, c)| c.unmet(now) > c.requested.len() as u32)
            .map(|(host, c)| (*host, c.estimated_wait(now)))
            .max_by_key(|(host, age)| (*age, *host))
    }

    /// Returns a host, other than `except`, that wants a spare slot for its next calls.
    pub fn spare_candidate(&self, except: HostKey, now: Moment) -> Option<HostKey> {
        self.demands
            .iter()
            .filter(|(host, c)| **host != except && c.spare_demand(now) > 0)
            .max_by_key(|(host, c)| (c.spare_demand(now), **host))
            .map(|(host, _)| *host)
    }

    /// Returns the latest stamp of a host.
    pub fn stamp(&self, host: HostKey) -> Option<Stamp> {
        self.demands.get(&host).map(|c| c.stamp)
    }

    /// Records that a slot was sent to a host.
    pub fn note_sent(&mut self, to: HostKey, now: Moment) {
        if let Some(entry) = self.demands.get_mut(&to) {
            entry.incoming.push_back(now);
            match entry.unmet {
                0 => entry.spare = entry.spare.saturating_sub(1),
                _ => entry.unmet -= 1,
            }
            entry.last_sent = now;
        }
    }

    /// Plans the transfers of slots between other hosts.
    ///
    /// Load pattern: more calls wait than there are idle slots. Without transfers,
    /// calls at a host with few slots wait long while younger calls elsewhere
    /// start. A transfer leaves its slot unused for half a round trip, so only
    /// differences above `MIN_WAIT_GAIN` lead to one, and each round takes at most one
    /// slot from a host.
    pub fn plan_transfers(&mut self, now: Moment) -> Vec<PlannedTransfer> {
        if now.since(self.last_planned) < TRANSFER_INTERVAL {
            return Vec::new();
        }
        self.last_planned = now;
        for entry in self.demands.values_mut() {
            entry.expire_pending(now);
        }
        let mut transfers = Vec::new();
        let mut donors = self.donors(now);
        while let Some((to, wait)) = self.longest_unrequested(now) {
            let Some(index) = donors
                .iter()
                .position(|(from, age)| *from != to && *age + MIN_WAIT_GAIN < wait)
            else {
                break;
            };
            let (from, _) = donors.swap_remove(index);
            let echo = self.stamp(to).unwrap_or_default();
            if let Some(entry) = self.demands.get_mut(&to) {
                entry.requested.push_back(now + REQUEST_TIMEOUT);
            }
            if let Some(donor) = self.demands.get_mut(&from) {
                donor.outgoing.push_back(now);
                donor.last_sent = now;
            }
            transfers.push(PlannedTransfer {
                from,
                to,
                echo,
                oldest: wait,
            });
        }
        transfers
    }

    /// Returns the new state of the shortage if it changed and hosts have to be informed.
    pub fn update_shortage(&mut self, now: Moment) -> Option<bool> {
        let unmet = self.longest_waiting(None, now).is_some();
        if unmet {
            self.last_unmet = now;
        }
        let shortage = unmet || (self.shortage && now.since(self.last_unmet) < SHORTAGE_HOLD);
        let changed = shortage != self.shortage;
        self.shortage = shortage;
        changed.then_some(shortage)
    }

    /// Returns whether calls wait that no idle slot can serve.
    pub fn has_shortage(&self) -> bool {
        self.shortage
    }

    /// Returns the hosts that hold slots.
    pub fn holders(&self) -> Vec<HostKey> {
        let holding = self.demands.iter().filter(|(_, c)| c.held > 0);
        holding.map(|(host, _)| *host).collect()
    }

    fn donors(&self, now: Moment) -> Vec<(HostKey, Duration)> {
        let mut donors: Vec<(HostKey, Duration)> = self
            .demands
            .iter()
            .filter(|(_, c)| c.held as usize > c.outgoing.len())
            .map(|(host, c)| (*host, c.estimated_wait(now)))
            .collect();
        donors.sort_by_key(|(host, age)| (*age, *host));
        donors
    }
}

impl HostDemand {
    fn new(now: Moment) -> HostDemand {
        HostDemand {
            stamp: Stamp::default(),
            waiting: 0,
            unmet: 0,
            oldest_since: now,
            spare: 0,
            held: 0,
            idle: 0,
            received: 0,
            incoming: VecDeque::new(),
            requested: VecDeque::new(),
            outgoing: VecDeque::new(),
            last_report: now,
            last_sent: Moment(0),
        }
    }

    fn unmet(&self, now: Moment) -> u32 {
        if now.since(self.last_report) > REPORT_TTL {
            return 0;
        }
        self.unmet
    }

    fn spare_demand(&self, now: Moment) -> u32 {
        if now.since(self.last_report) > REPORT_TTL {
            return 0;
        }
        self.unmet + self.spare
    }

    /// Estimates the wait of the oldest call without a slot in transit.
    fn estimated_wait(&self, now: Moment) -> Duration {
        match (self.waiting, self.unmet(now)) {
            (0, _) | (_, 0) => Duration::ZERO,
            (waiting, unmet) => now.since(self.oldest_since) * unmet / waiting.max(unmet),
        }
    }

    fn expire_pending(&mut self, now: Moment) {
        self.incoming
            .retain(|at| now.since(*at) < IN_TRANSIT_TIMEOUT);
        self.requested.retain(|until| *until > now);
        self.outgoing
            .retain(|at| now.since(*at) < IN_TRANSIT_TIMEOUT);
    }
}
