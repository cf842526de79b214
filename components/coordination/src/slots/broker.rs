//! Finds idle slots for waiting calls, for one service in one region.
//!
//! A broker only decides who gets a slot next. The slots it has to give are
//! leases its own host holds, and what it asks of others they may decline: a
//! broker that is doubled, wrong or gone costs time and never safety.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derives::value;
use state::{HostKey, Moment};

use super::message::{Demand, Stamp};

/// What a broker knows of the hosts that want or hold slots of its service.
#[value]
pub struct Broker {
    demands: BTreeMap<HostKey, HostDemand>,
    shortage: bool,
    last_unmet: Moment,
    last_planned: Moment,
}

/// One host, by its last report.
#[value]
pub struct HostDemand {
    stamp: Stamp,
    waiting: u32,
    unmet: u32,
    since: Moment,
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

/// A slot to be moved from one holder to another.
#[value]
pub struct PlannedTransfer {
    /// Who gives it.
    pub from: HostKey,
    /// Who gets it.
    pub to: HostKey,
    /// The stamp of the host that gets it.
    pub echo: Stamp,
    /// How long the call waits that it is for.
    pub oldest: Duration,
}

/// A slot on its way is forgotten after this: the giver may have had none free.
const IN_TRANSIT_TIMEOUT: Duration = Duration::from_millis(20);
/// A slot asked for is forgotten after this: the giver may have had none free.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(10);
/// A host unheard of for this long wants and holds nothing.
const REPORT_TTL: Duration = Duration::from_millis(3_000);
/// The least time between two rounds of moves.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(2);
/// A difference of waits worth a move, which costs the slot half a round trip.
const MIN_WAIT_GAIN: Duration = Duration::from_millis(4);
/// Calls must have found slots for this long before hosts may keep spares again.
const SHORTAGE_HOLD: Duration = Duration::from_millis(10);
/// A client spoken to longer ago than this is sent a pulse, for its stamp.
const STAMP_INTERVAL: Duration = Duration::from_millis(500);

impl Broker {
    /// Returns a broker that has heard nothing.
    pub fn new(now: Moment) -> Broker {
        Broker {
            demands: BTreeMap::new(),
            shortage: false,
            last_unmet: now,
            last_planned: now,
        }
    }

    /// Takes in a report; returns whether the host should be sent a pulse.
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
        entry.since = now - demand.oldest;
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

    /// Forgets hosts that are gone.
    pub fn retain(&mut self, alive: impl Fn(HostKey) -> bool) {
        self.demands.retain(|host, _| alive(*host));
    }

    /// Returns the host, but for `except`, whose calls have waited longest without a
    /// slot on the way, and how long they have.
    pub fn longest_waiting(
        &self,
        except: Option<HostKey>,
        now: Moment,
    ) -> Option<(HostKey, Duration)> {
        self.demands
            .iter()
            .filter(|(host, c)| Some(**host) != except && c.unmet(now) > 0)
            .map(|(host, c)| (*host, c.age(now)))
            .max_by_key(|(host, age)| (*age, *host))
    }

    /// Returns the host whose calls have waited longest with no slot asked for, and how long.
    fn longest_unrequested(&self, now: Moment) -> Option<(HostKey, Duration)> {
        self.demands
            .iter()
            .filter(|(_, c)| c.unmet(now) > c.requested.len() as u32)
            .map(|(host, c)| (*host, c.age(now)))
            .max_by_key(|(host, age)| (*age, *host))
    }

    /// Returns a host, but for `except`, that wants a spare slot for its next calls.
    pub fn spare_candidate(&self, except: HostKey, now: Moment) -> Option<HostKey> {
        self.demands
            .iter()
            .filter(|(host, c)| **host != except && c.spare_demand(now) > 0)
            .max_by_key(|(host, c)| (c.spare_demand(now), **host))
            .map(|(host, _)| *host)
    }

    /// Returns the last stamp of a host.
    pub fn stamp(&self, host: HostKey) -> Option<Stamp> {
        self.demands.get(&host).map(|c| c.stamp)
    }

    /// Notes that a slot is on its way to a host.
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

    /// Decides which slots move between other hosts; `own` is this host's oldest wait.
    ///
    /// Made for more waiting calls than idle slots. Without it the calls of a
    /// host that has few slots wait long while younger ones elsewhere are
    /// started; each move costs a slot half a round trip, so only differences
    /// above [`MIN_WAIT_GAIN`] are worth one, and a round moves one slot a giver.
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

    /// Returns the new state where hosts have to be told that it changed.
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
            .map(|(host, c)| (*host, c.age(now)))
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
            since: now,
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

    /// Returns the wait of its oldest call that has no slot on the way, as a guess.
    fn age(&self, now: Moment) -> Duration {
        match (self.waiting, self.unmet(now)) {
            (0, _) | (_, 0) => Duration::ZERO,
            (waiting, unmet) => now.since(self.since) * unmet / waiting.max(unmet),
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
