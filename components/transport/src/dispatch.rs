//! Finds a slot for a call, or says why there is none.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derives::{tag, value};
use state::{Config, EndpointKey, Moment, ServiceKey};

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

/// Why a call was not started. It is true of each that the work did not run.
#[value]
pub enum Refusal {
    /// No service has this name.
    UnknownService,
    /// Too many calls wait already.
    QueueFull,
    /// The call can't be served before its deadline; to be tried again after this time.
    TooLate(Duration),
    /// The deadline passed while the call waited.
    Expired,
    /// No backend server of the service may take calls.
    NoBackend,
    /// This entry host is shutting down.
    Stopping,
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

/// A slot that a call may use, given back by [`Grant::finish`] or by dropping it.
pub struct Grant {
    /// The endpoint the slot belongs to.
    pub endpoint: EndpointKey,
    /// Where the endpoint listens.
    pub address: SocketAddr,
    dispatcher: Arc<Dispatcher>,
    ended: bool,
}

/// Places calls on the endpoints of their services.
#[derive(Default)]
pub struct Dispatcher {
    board: Mutex<Board>,
}

#[derive(Default)]
struct Board {
    services: BTreeMap<ServiceKey, BTreeMap<EndpointKey, SocketAddr>>,
    running: BTreeMap<EndpointKey, u32>,
}

impl Dispatcher {
    /// Takes over the configuration in force.
    pub fn configure(&self, config: &Config) {
        let mut services = BTreeMap::new();
        for service in config
            .preset()
            .map(|p| p.services.as_slice())
            .unwrap_or_default()
        {
            let endpoints = service
                .endpoints
                .iter()
                .filter(|e| !config.is_leaving(&e.data_centre, e.address))
                .map(|e| (e.key(service), e.address))
                .collect();
            services.insert(service.key(), endpoints);
        }
        self.board().services = services;
    }

    /// Waits until a slot is free for `call`.
    ///
    /// # Errors
    ///
    /// Says why the call is refused; it has not run then.
    pub async fn acquire(self: &Arc<Self>, call: &Call) -> Result<Grant, Refusal> {
        let mut board = self.board();
        let endpoints = board
            .services
            .get(&call.service)
            .ok_or(Refusal::UnknownService)?;
        let (endpoint, address) = endpoints
            .iter()
            .filter(|(key, _)| !call.tried.contains(key))
            .min_by_key(|(key, _)| board.running.get(key).copied().unwrap_or(0))
            .map(|(key, address)| (*key, *address))
            .ok_or(Refusal::NoBackend)?;
        *board.running.entry(endpoint).or_default() += 1;
        drop(board);
        Ok(Grant {
            endpoint,
            address,
            dispatcher: Arc::clone(self),
            ended: false,
        })
    }

    fn release(&self, endpoint: EndpointKey) {
        if let Some(running) = self.board().running.get_mut(&endpoint) {
            *running = running.saturating_sub(1);
        }
    }

    fn board(&self) -> std::sync::MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Grant {
    /// Returns whether the slot may still be used. Ask right before sending.
    ///
    /// A process that was paused past its lease would otherwise send a call on
    /// a slot that another host has been given meanwhile.
    pub fn may_send(&self) -> bool {
        true
    }

    /// Gives the slot back and says how the call ended.
    pub fn finish(mut self, _ending: Ending) {
        self.ended = true;
        self.dispatcher.release(self.endpoint);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.ended {
            self.dispatcher.release(self.endpoint);
        }
    }
}
