//! Slots of backend servers, shared between entry hosts.
//!
//! Each endpoint has one owner that leases its slots. Each service has a broker
//! per region that directs idle slots to where calls wait. Every host holds leases
//! and queues its calls. [`SlotManager`] runs all three roles of one host: it takes
//! calls, messages and the time, and returns the actions to perform. It has no
//! clock, socket or random numbers.

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

/// The identity of this host.
#[value]
pub struct Identity {
    /// The key of the host.
    pub host: HostKey,
    /// The incarnation of the host, drawn at random each time the process starts.
    pub incarnation: u64,
    /// The data centre of the host.
    pub centre: DataCentreKey,
}

/// A call that needs a slot.
#[value]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// The service called.
    pub service: ServiceKey,
    /// When the caller stops waiting for the answer.
    pub deadline: Moment,
    /// Endpoints on which the call has already failed.
    pub tried: Vec<EndpointKey>,
}

/// How a started call ended.
#[tag]
pub enum Ending {
    /// A complete answer arrived.
    Answered,
    /// The backend server refused the call explicitly.
    Shed,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The connection broke or became silent after something was sent.
    Broken,
    /// The call was cancelled and its work has stopped.
    Cancelled,
    /// The call was never sent.
    Unused,
}

/// Why a call is not started. A refused call has not run.
#[tag]
pub enum Refusal {
    /// No service has this key.
    UnknownService,
    /// Too many calls are waiting already.
    QueueFull,
    /// The call cannot be served before its deadline. Contains the time to wait before a retry.
    TooLate(Duration),
    /// The call's deadline passed while it waited.
    Expired,
    /// No backend server may take the call.
    NoBackend,
    /// This host is shutting down.
    Stopping,
}

/// An action for the caller of the state machine.
#[value]
pub enum Effect {
    /// Sends a message.
    Send(HostKey, SlotMessage),
    /// Starts a call on a lease.
    Start {
        /// The call.
        call: CallKey,
        /// The lease that the call runs on.
        lease: LeaseKey,
        /// The address that the endpoint listens on.
        address: SocketAddr,
    },
    /// Refuses a call.
    Refuse(CallKey, Refusal),
    /// Probes an endpoint for its load report.
    Probe(EndpointKey, SocketAddr),
}

/// The state of a service at this host, for operators and metrics.
#[value]
#[derive(Default)]
pub struct ServiceStatus {
    /// The number of waiting calls.
    pub waiting: u32,
    /// The number of slots held.
    pub held: u32,
    /// The number of idle slots held.
    pub idle: u32,
}

/// The slots of one entry host in its roles as holder, owner and broker.
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
    /// Endpoints that this host stopped owning recently after it had leased slots of them,
    /// and when it stopped.
    recently_leased: BTreeMap<EndpointKey, Moment>,
    revision: u64,
    call_stats: BTreeMap<EndpointKey, CallStats>,
    stats_due: Option<Moment>,
    renewals: BTreeMap<HostKey, Moment>,
    returns: Vec<ReturnedLease>,
    transfers: BTreeMap<HostKey, PendingTransfer>,
    confirmed_at: Option<Moment>,
    /// The revision of the last configuration, if that had no members.
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

/// Leases to be sent to another host.
#[derive(Debug)]
struct PendingTransfer {
    echo: Stamp,
    leases: Vec<TransferredLease>,
}

/// A handoff that arrived before the configuration that makes this host the owner.
#[derive(Debug)]
struct EarlyHandoff {
    from: HostKey,
    handoff: EndpointHandoff,
    at: Moment,
}

/// The time between two sweeps of deadlines, leases and owned endpoints.
const SWEEP_INTERVAL: Duration = Duration::from_millis(5);
/// How long a handoff is kept if no configuration makes this host the owner.
const HANDOFF_TTL: Duration = Duration::from_millis(10_000);

impl SlotManager {
    /// Returns the state of a host that has no configuration yet.
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
            confirmed_at: None,
            empty_revision: None,
            stopping: false,
            last_sweep: now,
            inbox: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Applies a configuration, or a new set of living members.
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

    /// Starts a new incarnation of this member, after the host was removed and joins again.
    ///
    /// Other hosts may by now own the endpoints of this host and have leased their
    /// slots. Acting on the old state would put two calls on one slot, so all of it
    /// is dropped. Leases that this host holds end with their own term.
    pub fn renew_incarnation(&mut self, incarnation: u64) {
        if incarnation == self.me.incarnation {
            return;
        }
        self.me.incarnation = incarnation;
        self.serial = incarnation;
        self.confirmed_at = None;
        self.stats_due = None;
        self.owned.clear();
        self.handoffs.clear();
        self.renewals.clear();
    }

    /// Records that the configuration was proved to be the current one at `proved_at`.
    ///
    /// A host that was paused or cut off may consider itself the owner of endpoints
    /// that another host has owned meanwhile, and two calls could run on one slot.
    /// An owner therefore acts only within [`AUTHORITY_WINDOW`] of the proof, and after a
    /// longer gap it fences all its endpoints. `proved_at` is the time of the proof, not
    /// of its receipt: counted from the receipt, an owner would act for twice as long
    /// as its successor waits.
    pub fn confirm(&mut self, proved_at: Moment) {
        let gap = self
            .confirmed_at
            .map_or(Duration::ZERO, |at| proved_at.since(at));
        let now = self.confirmed_at.map_or(proved_at, |at| at.max(proved_at));
        self.confirmed_at = Some(now);
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

    /// Handles a message of another host.
    ///
    /// Messages of a host that is not a member, or of an earlier incarnation of a
    /// member, are ignored, because their leases and clocks are no longer valid.
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
        self.dispatch(from, message, now);
        self.finish_step(now);
    }

    /// Records the result of a probe, `None` if the endpoint did not answer.
    pub fn probed(&mut self, endpoint: EndpointKey, report: Option<&LoadReport>, now: Moment) {
        if let (Some(owned), Some(report)) = (self.owned.get_mut(&endpoint), report) {
            owned.capacity.note_report(report, now);
            self.lease_out(endpoint, now);
        }
        self.finish_step(now);
    }

    /// Performs the work that is due by now.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep_leases(now);
            self.sweep_pools(now);
            self.sweep_owned(now);
            self.renew(now);
            self.handoffs
                .retain(|_, early| now.since(early.at) < HANDOFF_TTL);
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

    /// Takes the actions collected since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the state of a service at this host.
    pub fn status(&self, service: ServiceKey) -> Option<ServiceStatus> {
        self.pools.get(&service).map(|pool| ServiceStatus {
            waiting: pool.queue.len() as u32,
            held: pool.held,
            idle: pool.idle.len() as u32,
        })
    }

    /// Returns the leases that this host holds.
    pub fn held_leases(&self) -> &HeldLeases {
        &self.leases
    }

    /// Returns the endpoints that this host owns.
    pub fn owned(&self) -> &BTreeMap<EndpointKey, OwnedEndpoint> {
        &self.owned
    }

    /// Returns the roles derived from the configuration.
    pub fn roles(&self) -> &RoleMap {
        &self.roles
    }

    /// Finishes a step: handles messages to itself, sends reports, runs the brokers and flushes.
    fn finish_step(&mut self, now: Moment) {
        loop {
            while let Some(message) = self.inbox.pop_front() {
                self.dispatch(self.me.host, message, now);
            }
            self.report(now);
            self.review_brokers(now);
            self.flush(now);
            if self.inbox.is_empty() {
                return;
            }
        }
    }

    fn dispatch(&mut self, from: HostKey, message: SlotMessage, now: Moment) {
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
                    expires: now + TRANSFER_REQUEST_TTL,
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

    /// Returns the latest stamp of a host if it is fresh enough for a transfer.
    fn fresh_stamp(&self, host: HostKey, now: Moment) -> Option<Stamp> {
        if host == self.me.host {
            return Some(self.stamp(now));
        }
        let latest = self.stamps.get(&host)?;
        (now.since(latest.at) < STAMP_TTL).then_some(latest.stamp)
    }

    /// Returns whether this host may act as an owner now.
    fn has_authority(&self, now: Moment) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) <= AUTHORITY_WINDOW)
    }

    /// Returns whether this host is the first member after a configuration without members.
    ///
    /// The last member leaves by its own command after it has drained, so no slot is
    /// leased while there are no members. The first host to join then owned every
    /// endpoint, if only for a moment.
    fn is_first(&self, config: &Config) -> bool {
        let joined = config.members.get(&self.me.host).map(|m| m.joined);
        let next = self.empty_revision.map(|revision| revision + 1);
        joined.is_some() && joined == next
    }

    fn owner_of(&self, slot: SlotKey) -> Option<HostKey> {
        self.roles.endpoints.get(&slot.endpoint)?.owner
    }
}

/// An older stamp would leave too little time of a lease that is transferred with it.
const STAMP_TTL: Duration = Duration::from_millis(1_500);
