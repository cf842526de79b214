//! Slots of backend servers, shared between entry hosts.
//!
//! Each endpoint has one owner that leases its slots, each service a broker
//! that says where idle ones are wanted, and every host holds leases and
//! queues its calls. [`SlotManager`] is all three roles of one host: it takes calls,
//! messages and the time, and returns what to do. It has no clock, no socket
//! and no random numbers.

mod assignment;
pub mod broker;
mod calls;
pub mod held;
pub mod lease_table;
pub mod message;
pub mod owned_endpoint;
mod owner;
pub mod pool;
mod renewals;
pub mod role_map;
pub mod timing;
mod transfers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use derives::{tag, value};
use state::capacity::LoadReport;
use state::queue::CallKey;
use state::{Config, DataCentreKey, EndpointKey, HostKey, Moment, ServiceKey};

use broker::Broker;
use held::HeldLeases;
use message::{
    CallStats, EndpointHandoff, LeaseKey, ReturnedLease, SlotBody, SlotKey, SlotMessage, Stamp,
    TransferredLease,
};
use owned_endpoint::OwnedEndpoint;
use pool::{SlotPool, TransferRequest};
use role_map::RoleMap;
use timing::AUTHORITY_WINDOW;
use transfers::TRANSFER_REQUEST_TTL;

/// Who this host is.
#[value]
pub struct Identity {
    /// Its key.
    pub host: HostKey,
    /// Its incarnation, drawn anew each time the process starts.
    pub incarnation: u64,
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
pub struct ServiceStatus {
    /// Calls that wait.
    pub waiting: u32,
    /// Slots held.
    pub held: u32,
    /// Slots held that are idle.
    pub idle: u32,
}

/// The slots of one entry host: holder, owner and broker.
#[derive(Debug)]
pub struct SlotManager {
    me: Identity,
    roles: RoleMap,
    pools: BTreeMap<ServiceKey, SlotPool>,
    leases: HeldLeases,
    owned: BTreeMap<EndpointKey, OwnedEndpoint>,
    brokers: BTreeMap<ServiceKey, Broker>,
    stamps: BTreeMap<HostKey, LatestStamp>,
    handoffs: BTreeMap<EndpointKey, EarlyHandoff>,
    /// Endpoints laid down lately of which slots had been leased here.
    recently_leased: BTreeMap<EndpointKey, Moment>,
    revision: u64,
    call_stats: BTreeMap<EndpointKey, CallStats>,
    stats_due: Option<Moment>,
    renewals: BTreeMap<HostKey, Moment>,
    returns: Vec<ReturnedLease>,
    transfers: BTreeMap<HostKey, PendingTransfer>,
    confirmed: Option<Moment>,
    /// The revision of the last configuration, where that had no members.
    empty_revision: Option<u64>,
    serial: u64,
    stopping: bool,
    last_sweep: Moment,
    inbox: VecDeque<SlotMessage>,
    effects: Vec<Effect>,
}

/// The latest stamp of another host.
#[derive(Debug)]
struct LatestStamp {
    stamp: Stamp,
    at: Moment,
}

/// Leases on their way to another host.
#[derive(Debug)]
struct PendingTransfer {
    echo: Stamp,
    leases: Vec<TransferredLease>,
}

/// An estate that came before the configuration that calls for it.
#[derive(Debug)]
struct EarlyHandoff {
    from: HostKey,
    handoff: EndpointHandoff,
    at: Moment,
}

/// The time between two sweeps of deadlines, leases and owned endpoints.
const SWEEP_INTERVAL: Duration = Duration::from_millis(5);
/// An estate that no configuration called for is forgotten after this.
const HANDOFF_TTL: Duration = Duration::from_millis(10_000);

impl SlotManager {
    /// Returns the slots of a host that knows no configuration yet.
    pub fn new(me: Identity, now: Moment) -> SlotManager {
        SlotManager {
            serial: me.incarnation,
            me,
            roles: RoleMap::default(),
            pools: BTreeMap::new(),
            leases: HeldLeases::default(),
            owned: BTreeMap::new(),
            brokers: BTreeMap::new(),
            stamps: BTreeMap::new(),
            handoffs: BTreeMap::new(),
            recently_leased: BTreeMap::new(),
            revision: 0,
            call_stats: BTreeMap::new(),
            stats_due: None,
            renewals: BTreeMap::new(),
            returns: Vec::new(),
            transfers: BTreeMap::new(),
            confirmed: None,
            empty_revision: None,
            stopping: false,
            last_sweep: now,
            inbox: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Takes over a configuration, or a new view of who is alive.
    pub fn configure(&mut self, config: &Config, alive: &BTreeSet<HostKey>, now: Moment) {
        self.revision = config.revision;
        let before = std::mem::replace(&mut self.roles, RoleMap::new(config, self.me.host, alive));
        self.configure_pools(&before, now);
        self.configure_owned(self.is_first(config), now);
        self.empty_revision = config.members.is_empty().then_some(config.revision);
        self.configure_brokers(now);
        let members = &self.roles.members;
        self.stamps.retain(|host, latest| {
            members
                .get(host)
                .is_some_and(|p| p.incarnation == latest.stamp.incarnation)
        });
        self.return_leaving(now);
        self.finish_step(now);
    }

    /// Begins a new life as a member, after this host was removed and joins anew.
    ///
    /// Other hosts may own by now what this one owned and have leased it to
    /// others. Acting on what it knew then would put two calls on one slot, so
    /// nothing of it is taken along; leases held end by their own term.
    pub fn renew_incarnation(&mut self, incarnation: u64) {
        if incarnation == self.me.incarnation {
            return;
        }
        self.me.incarnation = incarnation;
        self.serial = incarnation;
        self.confirmed = None;
        self.stats_due = None;
        self.owned.clear();
        self.handoffs.clear();
        self.renewals.clear();
    }

    /// Notes that the configuration was shown to be the current one at `shown`.
    ///
    /// A host that was paused or cut off may own endpoints that another host
    /// has owned meanwhile. One would notice two calls on one slot. So an
    /// owner acts only within [`AUTHORITY_WINDOW`] of that moment, and after a
    /// longer gap takes nothing it knew for granted. The moment is that of the
    /// proof and not of hearing of it: counted from the latter, an owner would
    /// act for twice as long as its successor waits.
    pub fn confirm(&mut self, shown: Moment) {
        let gap = self.confirmed.map_or(Duration::ZERO, |at| shown.since(at));
        let now = self.confirmed.map_or(shown, |at| at.max(shown));
        self.confirmed = Some(now);
        if gap > AUTHORITY_WINDOW {
            for (endpoint, owned) in &mut self.owned {
                let endpoint_roles = self.roles.endpoints.get(endpoint);
                if let Some(service_roles) =
                    endpoint_roles.and_then(|s| self.roles.services.get(&s.service))
                {
                    owned.fence(*endpoint, service_roles, now);
                }
            }
        }
    }

    /// Takes in a message of another host.
    ///
    /// Those of a host that is no member, or of an earlier life of one, are
    /// ignored: they speak of leases and clocks that are gone.
    pub fn receive(&mut self, from: HostKey, message: SlotMessage, now: Moment) {
        let known = self.roles.members.get(&from);
        if known.is_none_or(|p| p.incarnation != message.stamp.incarnation) {
            return;
        }
        let latest = LatestStamp {
            stamp: message.stamp,
            at: now,
        };
        let newer = self.stamps.get(&from).is_none_or(|h| {
            h.stamp < latest.stamp || h.stamp.incarnation != latest.stamp.incarnation
        });
        if newer {
            self.stamps.insert(from, latest);
        }
        self.take_in(from, message, now);
        self.finish_step(now);
    }

    /// Takes in what a probe found, none where it got no answer.
    pub fn probed(&mut self, endpoint: EndpointKey, report: Option<&LoadReport>, now: Moment) {
        if let (Some(owned), Some(report)) = (self.owned.get_mut(&endpoint), report) {
            owned.capacity.note_report(report, now);
            self.lease_out(endpoint, now);
        }
        self.finish_step(now);
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep_leases(now);
            self.sweep_pools(now);
            self.sweep_owned(now);
            self.renew(now);
            self.handoffs
                .retain(|_, left| now.since(left.at) < HANDOFF_TTL);
            self.recently_leased
                .retain(|_, at| now.since(*at) < HANDOFF_TTL);
        }
        self.finish_step(now);
    }

    /// Returns when [`SlotManager::tick`] is next due.
    pub fn next_wake(&self) -> Moment {
        let sweep = self.last_sweep + SWEEP_INTERVAL;
        let broker = |service: &ServiceKey| self.roles.broker(*service);
        let reports = self
            .pools
            .iter()
            .filter(|(service, _)| broker(service).is_some_and(|b| b != self.me.host))
            .filter_map(|(_, pool)| pool.report_due());
        reports.min().map_or(sweep, |due| due.min(sweep))
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns how a service stands here.
    pub fn status(&self, service: ServiceKey) -> Option<ServiceStatus> {
        self.pools.get(&service).map(|pool| ServiceStatus {
            waiting: pool.queue.len() as u32,
            held: pool.held,
            idle: pool.idle.len() as u32,
        })
    }

    /// Returns the leases this host holds.
    pub fn held_leases(&self) -> &HeldLeases {
        &self.leases
    }

    /// Returns the endpoints this host owns.
    pub fn owned(&self) -> &BTreeMap<EndpointKey, OwnedEndpoint> {
        &self.owned
    }

    /// Returns what was worked out from the configuration.
    pub fn roles(&self) -> &RoleMap {
        &self.roles
    }

    /// Finishes one step: own messages, reports, brokerage, and what has piled up to send.
    fn finish_step(&mut self, now: Moment) {
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
            SlotBody::Renew { leases, stats } => self.on_renew(from, stamp, &leases, &stats, now),
            SlotBody::Renewed {
                echo,
                ended,
                pending,
            } => self.on_renewed(from, echo, &ended, &pending, now),
            SlotBody::Recall(leases) => self.on_recall(&leases, now),
            SlotBody::Return { leases, stats } => self.on_return(&leases, &stats, now),
            SlotBody::Transfer { echo, leases } => self.on_transfer(from, echo, &leases, now),
            SlotBody::Demand(demand) => self.on_demand(from, stamp, &demand, now),
            SlotBody::TransferRequest {
                service,
                to,
                echo,
                count,
                oldest,
            } => {
                let request = TransferRequest {
                    to,
                    echo,
                    count,
                    since: now - oldest,
                    until: now + TRANSFER_REQUEST_TTL,
                };
                self.on_transfer_request(from, service, request, now);
            }
            SlotBody::Shortage { service, active } => self.on_shortage(from, service, active, now),
            SlotBody::Handoff(handoffs) => self.on_handoff(from, handoffs, now),
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
            incarnation: self.me.incarnation,
            clock: now.0,
        }
    }

    /// Returns the latest stamp of a host, where it is fresh enough to hand it a lease.
    fn fresh_stamp(&self, host: HostKey, now: Moment) -> Option<Stamp> {
        if host == self.me.host {
            return Some(self.stamp(now));
        }
        let latest = self.stamps.get(&host)?;
        (now.since(latest.at) < STAMP_TTL).then_some(latest.stamp)
    }

    /// Returns whether this host may act as an owner now.
    fn has_authority(&self, now: Moment) -> bool {
        self.confirmed
            .is_some_and(|at| now.since(at) <= AUTHORITY_WINDOW)
    }

    /// Returns whether this host is the first member after there was none.
    ///
    /// A member that is the last one leaves by its own word, after it has
    /// drained, so nothing is out when there are no members. The first to join
    /// then owned every endpoint, if only for a moment.
    fn is_first(&self, config: &Config) -> bool {
        let joined = config.members.get(&self.me.host).map(|m| m.joined);
        let next = self.empty_revision.map(|revision| revision + 1);
        joined.is_some() && joined == next
    }

    fn owner_of(&self, slot: SlotKey) -> Option<HostKey> {
        self.roles.endpoints.get(&slot.endpoint)?.owner
    }
}

/// A stamp older than this would leave too little of a lease handed with it.
const STAMP_TTL: Duration = Duration::from_millis(1_500);
