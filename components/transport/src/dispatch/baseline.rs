//! The baseline policies: each entry host chooses endpoints by itself, without leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use coordination::slots::ServiceStatus;
use state::keys::rendezvous;
use state::policy::{Choice, Policy};
use state::{Config, EndpointKey, HostKey, ServiceKey};
use tokio::sync::Notify;

use super::{Call, Placement, Refusal};
use crate::clock;

/// Chooses endpoints for calls by a baseline policy.
pub struct BaselineDispatcher {
    policy: Policy,
    own_key: Option<HostKey>,
    state: Mutex<State>,
    freed: Notify,
    stopping: AtomicBool,
}

#[derive(Default)]
struct State {
    services: BTreeMap<ServiceKey, Vec<Target>>,
    running: BTreeMap<EndpointKey, u32>,
    calls: u64,
}

#[derive(Clone, Copy)]
struct Target {
    endpoint: EndpointKey,
    address: SocketAddr,
    share: u32,
}

/// The result of looking for an endpoint.
enum Search {
    Found(Placement),
    Busy,
    Refused(Refusal),
}

impl BaselineDispatcher {
    /// Returns a dispatcher with no configuration yet; `own_key` is the key of this host.
    pub fn new(policy: Policy, own_key: Option<HostKey>) -> BaselineDispatcher {
        BaselineDispatcher {
            policy,
            own_key,
            state: Mutex::default(),
            freed: Notify::new(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Applies the configuration in force.
    pub fn configure(&self, config: &Config) {
        let mut services = BTreeMap::new();
        for service in config.services() {
            let targets = service
                .endpoints
                .iter()
                .filter(|e| !config.is_leaving(&e.data_centre, e.address))
                .map(|e| Target {
                    endpoint: e.key(service),
                    address: e.address,
                    share: self.share(config, e.key(service), service.slots),
                })
                .collect();
            services.insert(service.key(), targets);
        }
        self.state().services = services;
        self.freed.notify_waiters();
    }

    /// Chooses an endpoint. Waits only with [`Policy::FixedShare`], until a slot of
    /// this host's is free.
    pub async fn acquire(&self, call: &Call) -> Result<Placement, Refusal> {
        loop {
            let freed = self.freed.notified();
            match self.choose_endpoint(call) {
                Search::Found(placement) => return Ok(placement),
                Search::Refused(refusal) => return Err(refusal),
                Search::Busy => {}
            }
            let left = clock::now().until(call.deadline);
            if tokio::time::timeout(left, freed).await.is_err() {
                return Err(Refusal::Expired);
            }
        }
    }

    /// Counts one call less in flight at `endpoint`.
    pub fn release(&self, endpoint: EndpointKey) {
        if let Some(running) = self.state().running.get_mut(&endpoint) {
            *running = running.saturating_sub(1);
        }
        self.freed.notify_one();
    }

    /// Refuses every call from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.freed.notify_waiters();
    }

    /// Returns the calls in flight of a service, none for an unknown service.
    pub fn service_status(&self, service: ServiceKey) -> Option<ServiceStatus> {
        let state = self.state();
        let targets = state.services.get(&service)?;
        let running = targets
            .iter()
            .filter_map(|t| state.running.get(&t.endpoint))
            .sum();
        Some(ServiceStatus {
            waiting: 0,
            held: running,
            idle: 0,
        })
    }

    fn choose_endpoint(&self, call: &Call) -> Search {
        if self.stopping.load(Ordering::Relaxed) {
            return Search::Refused(Refusal::Stopping);
        }
        let mut state = self.state();
        let Some(targets) = state.services.get(&call.service) else {
            return Search::Refused(Refusal::UnknownService);
        };
        let untried: Vec<Target> = targets
            .iter()
            .filter(|t| !call.tried.contains(&t.endpoint))
            .copied()
            .collect();
        if untried.is_empty() {
            return Search::Refused(Refusal::NoBackend);
        }
        let running = |t: &Target| state.running.get(&t.endpoint).copied().unwrap_or(0);
        let choices: Vec<Choice> = untried
            .iter()
            .filter(|t| self.policy != Policy::FixedShare || running(t) < t.share)
            .map(|t| Choice {
                endpoint: t.endpoint,
                running: running(t),
            })
            .collect();
        let chosen = self.policy.choose(&choices, state.calls, rand::random());
        state.calls += 1;
        let Some(target) = untried.iter().find(|t| Some(t.endpoint) == chosen) else {
            return Search::Busy;
        };
        *state.running.entry(target.endpoint).or_default() += 1;
        Search::Found(Placement {
            endpoint: target.endpoint,
            address: target.address,
            lease: None,
        })
    }

    /// Returns how many slots of an endpoint belong to this host: each slot is
    /// assigned to a member by rendezvous hashing.
    fn share(&self, config: &Config, endpoint: EndpointKey, slots: u32) -> u32 {
        let owner = |slot: u32| {
            let item = endpoint.0 ^ u64::from(slot);
            config
                .members
                .keys()
                .max_by_key(|host| rendezvous(host.0, item))
                .copied()
        };
        let own = |slot: &u32| owner(*slot).is_none_or(|host| Some(host) == self.own_key);
        (0..slots).filter(own).count() as u32
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
