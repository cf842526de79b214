//! Slots of backend servers, shared between entry hosts.
//!
//! Each endpoint has one owner that leases its slots, each service a broker
//! that says where idle ones are wanted, and every host holds leases and
//! queues its calls. [`Slots`] is all three roles of one host: it takes calls,
//! messages and the time, and returns what to do. It has no clock, no socket
//! and no random numbers.

pub mod broker;
pub mod desk;
mod handing;
pub mod holder;
mod holding;
pub mod ledger;
pub mod map;
pub mod message;
pub mod owned;
mod owning;
mod renewing;
mod settling;
pub mod terms;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use derives::{tag, value};
use state::queue::CallKey;
use state::warmth::LoadReport;
use state::{Config, DataCentreKey, EndpointKey, HostKey, Moment, ServiceKey};

use broker::Broker;
use desk::{Desk, Order};
use handing::ORDER;
use holder::Holder;
use map::Map;
use message::{Estate, Handed, LeaseKey, Returned, Seen, SlotBody, SlotKey, SlotMessage, Stamp};
use owned::Owned;
use terms::FRESHNESS;

/// Who this host is.
#[value]
pub struct Identity {
    /// Its key.
    pub host: HostKey,
    /// Its incarnation, drawn anew each time the process starts.
    pub life: u64,
    /// The data centre it stands in.
    pub centre: DataCentreKey,
}

/// A call that asks for a slot.
#[value]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// The service called.
    pub service: ServiceKey,
    /// When its answer is of no more use.
    pub deadline: Moment,
    /// Endpoints that have failed it already.
    pub tried: Vec<EndpointKey>,
}

/// How a started call ended.
#[tag]
pub enum Ending {
    /// A whole answer came.
    Answered,
    /// The backend server refused it and said so.
    Shed,
    /// No connection could be opened, so that nothing was sent.
    Unreachable,
    /// The connection broke or went silent after something was sent.
    Broken,
    /// The call was given up and its work has stopped.
    Cancelled,
    /// It was never sent.
    Unused,
}

/// Why a call is not started. Its work has not run.
#[tag]
pub enum Refusal {
    /// No service has this key.
    UnknownService,
    /// Too many calls wait already.
    QueueFull,
    /// It can't be served in time; to be tried again after this time.
    TooLate(Duration),
    /// Its deadline passed while it waited.
    Expired,
    /// No backend server may take it.
    NoBackend,
    /// This host is shutting down.
    Stopping,
}

/// What is to be done.
#[value]
pub enum Effect {
    /// Send a message.
    Send(HostKey, SlotMessage),
    /// Start a call on a lease.
    Start {
        /// The call.
        call: CallKey,
        /// The lease it runs on.
        lease: LeaseKey,
        /// Where the endpoint listens.
        address: SocketAddr,
    },
    /// Refuse a call.
    Refuse(CallKey, Refusal),
    /// Ask an endpoint for its load report.
    Probe(EndpointKey, SocketAddr),
}

/// How a service stands at this host, for operators and metrics.
#[value]
#[derive(Default)]
pub struct Standing {
    /// Calls that wait.
    pub waiting: u32,
    /// Slots held.
    pub held: u32,
    /// Slots held that are idle.
    pub idle: u32,
}

/// The slots of one entry host: holder, owner and broker.
#[derive(Debug)]
pub struct Slots {
    me: Identity,
    map: Map,
    desks: BTreeMap<ServiceKey, Desk>,
    holder: Holder,
    owned: BTreeMap<EndpointKey, Owned>,
    brokers: BTreeMap<ServiceKey, Broker>,
    stamps: BTreeMap<HostKey, Heard>,
    estates: BTreeMap<EndpointKey, Left>,
    /// Endpoints laid down lately of which slots had been leased here.
    leased: BTreeMap<EndpointKey, Moment>,
    revision: u64,
    tally: BTreeMap<EndpointKey, Seen>,
    tallied: Option<Moment>,
    renewals: BTreeMap<HostKey, Moment>,
    returns: Vec<Returned>,
    hands: BTreeMap<HostKey, Parcel>,
    confirmed: Option<Moment>,
    /// The revision of the last configuration, where that had no members.
    empty: Option<u64>,
    serial: u64,
    stopping: bool,
    swept: Moment,
    inbox: VecDeque<SlotMessage>,
    effects: Vec<Effect>,
}

/// The latest stamp of another host.
#[derive(Debug)]
struct Heard {
    stamp: Stamp,
    at: Moment,
}

/// Leases on their way to another host.
#[derive(Debug)]
struct Parcel {
    echo: Stamp,
    leases: Vec<Handed>,
}

/// An estate that came before the configuration that calls for it.
#[derive(Debug)]
struct Left {
    from: HostKey,
    estate: Estate,
    at: Moment,
}

/// The time between two sweeps of deadlines, leases and owned endpoints.
const SWEEP: Duration = Duration::from_millis(5);
/// An estate that no configuration called for is forgotten after this.
const UNCLAIMED: Duration = Duration::from_millis(10_000);

impl Slots {
    /// Returns the slots of a host that knows no configuration yet.
    pub fn new(me: Identity, now: Moment) -> Slots {
        Slots {
            serial: me.life,
            me,
            map: Map::default(),
            desks: BTreeMap::new(),
            holder: Holder::default(),
            owned: BTreeMap::new(),
            brokers: BTreeMap::new(),
            stamps: BTreeMap::new(),
            estates: BTreeMap::new(),
            leased: BTreeMap::new(),
            revision: 0,
            tally: BTreeMap::new(),
            tallied: None,
            renewals: BTreeMap::new(),
            returns: Vec::new(),
            hands: BTreeMap::new(),
            confirmed: None,
            empty: None,
            stopping: false,
            swept: now,
            inbox: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Takes over a configuration, or a new view of who is alive.
    pub fn configure(&mut self, config: &Config, alive: &BTreeSet<HostKey>, now: Moment) {
        self.revision = config.revision;
        let before = std::mem::replace(&mut self.map, Map::new(config, self.me.host, alive));
        self.configure_desks(&before, now);
        self.configure_owned(self.is_first(config), now);
        self.empty = config.members.is_empty().then_some(config.revision);
        self.configure_brokers(now);
        let peers = &self.map.peers;
        self.stamps
            .retain(|host, heard| peers.get(host).is_some_and(|p| p.life == heard.stamp.life));
        self.vacate(now);
        self.pump(now);
    }

    /// Begins a new life as a member, after this host was removed and joins anew.
    ///
    /// Other hosts may own by now what this one owned and have leased it to
    /// others. Acting on what it knew then would put two calls on one slot, so
    /// nothing of it is taken along; leases held end by their own term.
    pub fn renew_life(&mut self, life: u64) {
        if life == self.me.life {
            return;
        }
        self.me.life = life;
        self.serial = life;
        self.confirmed = None;
        self.tallied = None;
        self.owned.clear();
        self.estates.clear();
        self.renewals.clear();
    }

    /// Notes that the configuration was shown to be the current one at `shown`.
    ///
    /// A host that was paused or cut off may own endpoints that another host
    /// has owned meanwhile. One would notice two calls on one slot. So an
    /// owner acts only within [`FRESHNESS`] of that moment, and after a
    /// longer gap takes nothing it knew for granted. The moment is that of the
    /// proof and not of hearing of it: counted from the latter, an owner would
    /// act for twice as long as its successor waits.
    pub fn confirm(&mut self, shown: Moment) {
        let gap = self.confirmed.map_or(Duration::ZERO, |at| shown.since(at));
        let now = self.confirmed.map_or(shown, |at| at.max(shown));
        self.confirmed = Some(now);
        if gap > FRESHNESS {
            for (endpoint, owned) in &mut self.owned {
                let site = self.map.sites.get(endpoint);
                if let Some(plan) = site.and_then(|s| self.map.plans.get(&s.service)) {
                    owned.fence(*endpoint, plan, now);
                }
            }
        }
    }

    /// Takes in a message of another host.
    ///
    /// Those of a host that is no member, or of an earlier life of one, are
    /// ignored: they speak of leases and clocks that are gone.
    pub fn receive(&mut self, from: HostKey, message: SlotMessage, now: Moment) {
        let known = self.map.peers.get(&from);
        if known.is_none_or(|p| p.life != message.stamp.life) {
            return;
        }
        let heard = Heard {
            stamp: message.stamp,
            at: now,
        };
        let newer = self
            .stamps
            .get(&from)
            .is_none_or(|h| h.stamp < heard.stamp || h.stamp.life != heard.stamp.life);
        if newer {
            self.stamps.insert(from, heard);
        }
        self.take_in(from, message, now);
        self.pump(now);
    }

    /// Takes in what a probe found, none where it got no answer.
    pub fn probed(&mut self, endpoint: EndpointKey, report: Option<&LoadReport>, now: Moment) {
        if let (Some(owned), Some(report)) = (self.owned.get_mut(&endpoint), report) {
            owned.warmth.note_report(report, now);
            self.lease_out(endpoint, now);
        }
        self.pump(now);
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.sweep_leases(now);
            self.sweep_desks(now);
            self.sweep_owned(now);
            self.renew(now);
            self.estates
                .retain(|_, left| now.since(left.at) < UNCLAIMED);
            self.leased.retain(|_, at| now.since(*at) < UNCLAIMED);
        }
        self.pump(now);
    }

    /// Returns when [`Slots::tick`] is next due.
    pub fn next_wake(&self) -> Moment {
        let sweep = self.swept + SWEEP;
        let broker = |service: &ServiceKey| self.map.broker(*service);
        let reports = self
            .desks
            .iter()
            .filter(|(service, _)| broker(service).is_some_and(|b| b != self.me.host))
            .filter_map(|(_, desk)| desk.report_due());
        reports.min().map_or(sweep, |due| due.min(sweep))
    }

    /// Takes what is to be done.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns how a service stands here.
    pub fn standing(&self, service: ServiceKey) -> Option<Standing> {
        self.desks.get(&service).map(|desk| Standing {
            waiting: desk.queue.len() as u32,
            held: desk.held,
            idle: desk.idle.len() as u32,
        })
    }

    /// Returns the leases this host holds.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the endpoints this host owns.
    pub fn owned(&self) -> &BTreeMap<EndpointKey, Owned> {
        &self.owned
    }

    /// Returns what was worked out from the configuration.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Finishes one step: own messages, reports, brokerage, and what has piled up to send.
    fn pump(&mut self, now: Moment) {
        loop {
            while let Some(message) = self.inbox.pop_front() {
                self.take_in(self.me.host, message, now);
            }
            self.report(now);
            self.review_brokers(now);
            self.flush(now);
            if self.inbox.is_empty() {
                return;
            }
        }
    }

    fn take_in(&mut self, from: HostKey, message: SlotMessage, now: Moment) {
        let stamp = message.stamp;
        match message.body {
            SlotBody::Renew { leases, seen } => self.on_renew(from, stamp, &leases, &seen, now),
            SlotBody::Renewed {
                echo,
                ended,
                pending,
            } => self.on_renewed(from, echo, &ended, &pending, now),
            SlotBody::Recall(leases) => self.on_recall(&leases, now),
            SlotBody::Return { leases, seen } => self.on_return(&leases, &seen, now),
            SlotBody::Hand { echo, leases } => self.on_hand(from, echo, &leases, now),
            SlotBody::Demand(demand) => self.on_demand(from, stamp, &demand, now),
            SlotBody::Yield {
                service,
                to,
                echo,
                count,
                oldest,
            } => {
                let order = Order {
                    to,
                    echo,
                    count,
                    since: now - oldest,
                    until: now + ORDER,
                };
                self.on_yield(from, service, order, now);
            }
            SlotBody::Pulse { service, hungry } => self.on_pulse(from, service, hungry, now),
            SlotBody::Handoff(estates) => self.on_handoff(from, estates, now),
        }
    }

    fn send(&mut self, to: HostKey, body: SlotBody, now: Moment) {
        let message = SlotMessage {
            stamp: self.stamp(now),
            body,
        };
        if to == self.me.host {
            self.inbox.push_back(message);
        } else {
            self.effects.push(Effect::Send(to, message));
        }
    }

    fn stamp(&self, now: Moment) -> Stamp {
        Stamp {
            life: self.me.life,
            clock: now.0,
        }
    }

    /// Returns the latest stamp of a host, where it is fresh enough to hand it a lease.
    fn stamp_of(&self, host: HostKey, now: Moment) -> Option<Stamp> {
        if host == self.me.host {
            return Some(self.stamp(now));
        }
        let heard = self.stamps.get(&host)?;
        (now.since(heard.at) < STALE).then_some(heard.stamp)
    }

    /// Returns whether this host may act as an owner now.
    fn has_authority(&self, now: Moment) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) <= FRESHNESS)
    }

    /// Returns whether this host is the first member after there was none.
    ///
    /// A member that is the last one leaves by its own word, after it has
    /// drained, so nothing is out when there are no members. The first to join
    /// then owned every endpoint, if only for a moment.
    fn is_first(&self, config: &Config) -> bool {
        let joined = config.members.get(&self.me.host).map(|m| m.joined);
        let next = self.empty.map(|revision| revision + 1);
        joined.is_some() && joined == next
    }

    fn owner_of(&self, slot: SlotKey) -> Option<HostKey> {
        self.map.sites.get(&slot.endpoint)?.owner
    }
}

/// A stamp older than this would leave too little of a lease handed with it.
const STALE: Duration = Duration::from_millis(1_500);
