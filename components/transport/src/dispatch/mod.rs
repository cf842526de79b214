//! Finds a slot for a call, or says why there is none.
//!
//! The decisions are made by `coordination::slots`; this module runs them:
//! a lock, wake-ups of waiting calls, a timer, messages and probes.

mod counters;
mod naive;
mod probe;
mod shared;

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

use naive::Naive;
use shared::Shared;

/// A call that asks for a slot.
#[value]
pub struct Call {
    /// The service called.
    pub service: ServiceKey,
    /// When its answer is of no more use.
    pub deadline: Moment,
    /// Endpoints that have already failed it, not to be tried again.
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
    /// The call was given up: the caller hung up or the deadline passed.
    Cancelled,
}

/// Who this entry host is, and how it places its calls.
#[value]
pub struct DispatcherOptions {
    /// The host's key.
    pub host: HostKey,
    /// Its incarnation, as in the configuration's members.
    pub incarnation: u64,
    /// The name of the data centre it stands in.
    pub data_centre: String,
    /// How it places calls.
    pub policy: Policy,
}

/// Sends a message to another entry host; never blocks, may lose it.
pub type SendMessage = Arc<dyn Fn(HostKey, SlotMessage) + Send + Sync>;

/// A slot that a call may use, given back by [`Grant::finish`] or by dropping it unused.
pub struct Grant {
    /// The endpoint the slot belongs to.
    pub endpoint: EndpointKey,
    /// Where the endpoint listens.
    pub address: SocketAddr,
    lease: Option<LeaseKey>,
    dispatcher: Arc<Dispatcher>,
    ended: bool,
}

/// Places calls on the endpoints of their services.
#[derive(Default)]
pub struct Dispatcher {
    way: Way,
}

/// Ours, or a baseline.
enum Way {
    Naive(Naive),
    Shared(Arc<Shared>),
}

impl Default for Way {
    fn default() -> Way {
        Way::Naive(Naive::new(Policy::LeastInFlight, None))
    }
}

impl Dispatcher {
    /// Returns a dispatcher that places calls as `setup` says.
    ///
    /// With [`Policy::Shared`] its timer and probes run on the current runtime
    /// until it is dropped.
    ///
    /// # Panics
    ///
    /// Where no tokio runtime is entered.
    pub fn new(setup: &DispatcherOptions, send: SendMessage) -> Arc<Dispatcher> {
        let way = match setup.policy {
            Policy::Shared => Way::Shared(Shared::run(setup, send)),
            policy => Way::Naive(Naive::new(policy, Some(setup.host))),
        };
        Arc::new(Dispatcher { way })
    }

    /// Takes over the configuration in force.
    pub fn configure(&self, config: &Config) {
        match &self.way {
            Way::Naive(naive) => naive.configure(config),
            Way::Shared(shared) => shared.configure(config),
        }
    }

    /// Takes over who is alive.
    pub fn set_alive(&self, alive: BTreeSet<HostKey>) {
        if let Way::Shared(shared) = &self.way {
            shared.set_alive(alive);
        }
    }

    /// Takes over this host's incarnation, where it has joined anew.
    pub fn renew_incarnation(&self, incarnation: u64) {
        if let Way::Shared(shared) = &self.way {
            shared.renew_incarnation(incarnation);
        }
    }

    /// Notes that the configuration known here was shown to be current at `shown`.
    ///
    /// This host may act as an owner for some time after. To be called each
    /// 100 ms or so with the failure detector's latest word.
    pub fn confirm(&self, shown: Moment) {
        if let Way::Shared(shared) = &self.way {
            shared.confirm(shown);
        }
    }

    /// Takes in a message of another entry host.
    pub fn receive(&self, from: HostKey, message: SlotMessage) {
        if let Way::Shared(shared) = &self.way {
            shared.receive(from, message);
        }
    }

    /// Starts no more calls, refuses those that wait and gives idle slots to other hosts.
    pub fn stop(&self) {
        match &self.way {
            Way::Naive(naive) => naive.stop(),
            Way::Shared(shared) => shared.stop(),
        }
    }

    /// Returns how a service stands at this host, for `status`.
    pub fn standing(&self, service: ServiceKey) -> Option<ServiceStatus> {
        match &self.way {
            Way::Naive(naive) => naive.standing(service),
            Way::Shared(shared) => shared.standing(service),
        }
    }

    /// Returns how the endpoints owned by this host stand, for `status`.
    pub fn owned(&self) -> Vec<EndpointStanding> {
        match &self.way {
            Way::Naive(_) => Vec::new(),
            Way::Shared(shared) => shared.owned(),
        }
    }

    /// Waits until a slot is free for `call`.
    ///
    /// # Errors
    ///
    /// Says why the call is refused; it has not run then.
    pub async fn acquire(self: &Arc<Self>, call: &Call) -> Result<Grant, Refusal> {
        let found = match &self.way {
            Way::Naive(naive) => naive.acquire(call).await,
            Way::Shared(shared) => shared.acquire(call).await,
        };
        match found {
            Ok(placed) => Ok(Grant {
                endpoint: placed.endpoint,
                address: placed.address,
                lease: placed.lease,
                dispatcher: Arc::clone(self),
                ended: false,
            }),
            Err(refusal) => {
                counters::refused(&refusal);
                Err(refusal)
            }
        }
    }
}

/// How one endpoint stands at its owner.
#[value]
pub struct EndpointStanding {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Slots that may be out now, over all entry hosts.
    pub cap: u32,
    /// Slots that are out.
    pub out: u32,
    /// It is slow or can't be reached, and gets only trials.
    pub doubted: bool,
    /// Its leases wait for the earlier owner's to end.
    pub fenced: bool,
    /// How long ago it answered a probe.
    pub report_age: Option<Duration>,
}

/// Where a call may go.
struct Placed {
    endpoint: EndpointKey,
    address: SocketAddr,
    lease: Option<LeaseKey>,
}

impl Grant {
    /// Returns whether the slot may still be used. Ask right before sending.
    ///
    /// A process that was paused past its lease would otherwise send a call on
    /// a slot that another host has been given meanwhile.
    pub fn may_send(&self) -> bool {
        match (&self.dispatcher.way, self.lease) {
            (Way::Shared(shared), Some(lease)) => shared.may_send(lease),
            _ => true,
        }
    }

    /// Gives the slot back and says how the call ended.
    pub fn finish(mut self, ending: Ending) {
        self.ended = true;
        self.release(Some(ending));
    }

    fn release(&self, ending: Option<Ending>) {
        match (&self.dispatcher.way, self.lease) {
            (Way::Shared(shared), Some(lease)) => shared.finish(lease, ending),
            (Way::Naive(naive), _) => naive.release(self.endpoint),
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
