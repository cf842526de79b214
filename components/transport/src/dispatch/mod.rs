//! Acquires a slot of an endpoint for a call, or refuses the call.
//!
//! The decisions are made by `coordination::slots`. This module adds what that
//! state machine needs to run: a lock, wake-ups of waiting calls, a timer,
//! messages and probes.

mod baseline;
mod counters;
mod probe;
mod slot_dispatcher;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use coordination::slots::Refusal;
use coordination::slots::ServiceStatus;
use coordination::slots::message::{LeaseKey, SlotMessage};
use derives::{tag, value};
use state::policy::Policy;
use state::{Config, EndpointKey, HostKey, Moment, ServiceKey};

use baseline::BaselineDispatcher;
use slot_dispatcher::SlotDispatcher;

/// A call that needs a slot.
#[value]
pub struct Call {
    /// The service called.
    pub service: ServiceKey,
    /// When the call's answer is of no more use.
    pub deadline: Moment,
    /// The endpoints at which earlier attempts of the call failed, not to be used again.
    pub tried: Vec<EndpointKey>,
}

/// How a call that got a slot ended.
#[tag]
pub enum Ending {
    /// A complete answer was received.
    Answered,
    /// The backend server rejected the call as not run.
    Shed,
    /// No connection could be opened, so that nothing was sent.
    Unreachable,
    /// The connection broke or went silent after something had been sent.
    Broken,
    /// The call was abandoned: the caller hung up or the deadline passed.
    Cancelled,
}

/// The identity of this entry host, and how it chooses endpoints.
#[value]
pub struct DispatcherOptions {
    /// The host's key.
    pub host: HostKey,
    /// The host's incarnation, as in the configuration's members.
    pub incarnation: u64,
    /// The name of the data centre that the host runs in.
    pub data_centre: String,
    /// How endpoints are chosen for calls.
    pub policy: Policy,
}

/// Sends a message to another entry host. Never blocks; the message may be lost.
pub type SendMessage = Arc<dyn Fn(HostKey, SlotMessage) + Send + Sync>;

/// A slot that a call may use, released by [`Grant::finish`], or as unused by dropping it.
pub struct Grant {
    /// The endpoint that the slot belongs to.
    pub endpoint: EndpointKey,
    /// The address of the endpoint.
    pub address: SocketAddr,
    lease: Option<LeaseKey>,
    dispatcher: Arc<Dispatcher>,
    ended: bool,
}

/// Assigns calls to the endpoints of their services, by slots or by a baseline policy.
#[derive(Default)]
pub struct Dispatcher {
    strategy: Strategy,
}

/// How endpoints are chosen: by leased slots, or by one of the baselines that
/// leased slots are compared with.
enum Strategy {
    Baseline(BaselineDispatcher),
    Slots(Arc<SlotDispatcher>),
}

impl Default for Strategy {
    fn default() -> Strategy {
        Strategy::Baseline(BaselineDispatcher::new(Policy::LeastInFlight, None))
    }
}

impl Dispatcher {
    /// Returns a dispatcher with the identity and policy in `options`.
    ///
    /// With [`Policy::Shared`] its timer and probes run on the current tokio
    /// runtime until it is dropped.
    ///
    /// # Panics
    ///
    /// Panics with [`Policy::Shared`] outside a tokio runtime.
    pub fn new(options: &DispatcherOptions, send: SendMessage) -> Arc<Dispatcher> {
        let strategy = match options.policy {
            Policy::Shared => Strategy::Slots(SlotDispatcher::start(options, send)),
            policy => Strategy::Baseline(BaselineDispatcher::new(policy, Some(options.host))),
        };
        Arc::new(Dispatcher { strategy })
    }

    /// Applies the configuration in force.
    pub fn configure(&self, config: &Config) {
        match &self.strategy {
            Strategy::Baseline(baseline) => baseline.configure(config),
            Strategy::Slots(slots) => slots.configure(config),
        }
    }

    /// Sets the members that are alive.
    pub fn set_alive(&self, alive: BTreeSet<HostKey>) {
        if let Strategy::Slots(slots) = &self.strategy {
            slots.set_alive(alive);
        }
    }

    /// Sets this host's incarnation, which changes when the host joins again.
    pub fn renew_incarnation(&self, incarnation: u64) {
        if let Strategy::Slots(slots) = &self.strategy {
            slots.renew_incarnation(incarnation);
        }
    }

    /// Records that this host's configuration was proved to be current at the moment `proved_at`.
    ///
    /// This host may act as an owner for a limited time after that moment. To
    /// be called about every 100 ms with the failure detector's latest result.
    pub fn confirm(&self, proved_at: Moment) {
        if let Strategy::Slots(slots) = &self.strategy {
            slots.confirm(proved_at);
        }
    }

    /// Handles a message of another entry host.
    pub fn receive(&self, from: HostKey, message: SlotMessage) {
        if let Strategy::Slots(slots) = &self.strategy {
            slots.receive(from, message);
        }
    }

    /// Starts no more calls, refuses those that wait, and returns idle slots for
    /// other hosts to use.
    pub fn stop(&self) {
        match &self.strategy {
            Strategy::Baseline(baseline) => baseline.stop(),
            Strategy::Slots(slots) => slots.stop(),
        }
    }

    /// Returns the calls and slots of a service at this host, none for an
    /// unknown service.
    pub fn service_status(&self, service: ServiceKey) -> Option<ServiceStatus> {
        match &self.strategy {
            Strategy::Baseline(baseline) => baseline.service_status(service),
            Strategy::Slots(slots) => slots.service_status(service),
        }
    }

    /// Returns the state of each endpoint that this host owns.
    pub fn owned_endpoints(&self) -> Vec<EndpointStatus> {
        match &self.strategy {
            Strategy::Baseline(_) => Vec::new(),
            Strategy::Slots(slots) => slots.owned_endpoints(),
        }
    }

    /// Waits until a slot is free for `call`.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused. A refused call has not run.
    pub async fn acquire(self: &Arc<Self>, call: &Call) -> Result<Grant, Refusal> {
        let found = match &self.strategy {
            Strategy::Baseline(baseline) => baseline.acquire(call).await,
            Strategy::Slots(slots) => slots.acquire(call).await,
        };
        match found {
            Ok(placement) => Ok(Grant {
                endpoint: placement.endpoint,
                address: placement.address,
                lease: placement.lease,
                dispatcher: Arc::clone(self),
                ended: false,
            }),
            Err(refusal) => {
                counters::count_refusal(&refusal);
                Err(refusal)
            }
        }
    }
}

/// The state of one endpoint, as its owner knows it.
#[value]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// How many slots may be leased now, over all entry hosts.
    pub cap: u32,
    /// How many slots are leased.
    pub leased: u32,
    /// Whether the endpoint is slow or unreachable, and gets only trial calls.
    pub is_degraded: bool,
    /// Whether no slot may be leased until the previous owner's leases have ended.
    pub is_fenced: bool,
    /// The time since the endpoint last answered a probe, none if it never has.
    pub report_age: Option<Duration>,
}

/// The endpoint chosen for a call, with the lease of its slot; a baseline has no leases.
struct Placement {
    endpoint: EndpointKey,
    address: SocketAddr,
    lease: Option<LeaseKey>,
}

impl Grant {
    /// Returns whether the slot may still be used. To be checked right before sending.
    ///
    /// A process that was paused until after its lease's end would otherwise
    /// send a call on a slot that has been leased to another host.
    pub fn may_send(&self) -> bool {
        match (&self.dispatcher.strategy, self.lease) {
            (Strategy::Slots(slots), Some(lease)) => slots.may_send(lease),
            _ => true,
        }
    }

    /// Releases the slot and records how the call ended.
    pub fn finish(mut self, ending: Ending) {
        self.ended = true;
        self.release(Some(ending));
    }

    fn release(&self, ending: Option<Ending>) {
        match (&self.dispatcher.strategy, self.lease) {
            (Strategy::Slots(slots), Some(lease)) => slots.finish(lease, ending),
            (Strategy::Baseline(baseline), _) => baseline.release(self.endpoint),
            _ => {}
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.ended {
            self.release(None);
        }
    }
}
