//! Runs the slot manager of this host: the state machine in `coordination::slots`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use coordination::slots::message::{LeaseKey, SlotMessage};
use coordination::slots::{self, Arrival, Effect, Identity, ServiceStatus, SlotManager};
use state::capacity::LoadReport;
use state::queue::CallKey;
use state::{Config, DataCentreKey, EndpointKey, HostKey, Moment, ServiceKey};
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot};

use super::{
    Call, DispatcherOptions, Ending, EndpointStatus, Placement, Refusal, SendMessage, counters,
    probe,
};
use crate::clock;

/// The slot manager, with its lock, timer and way to send messages.
pub struct SlotDispatcher {
    state: Mutex<State>,
    send: SendMessage,
    runtime: Handle,
    next_tick: AtomicU64,
    rescheduled: Notify,
}

struct State {
    slots: SlotManager,
    config: Option<Config>,
    alive: BTreeSet<HostKey>,
    waiting: BTreeMap<CallKey, oneshot::Sender<Acquired>>,
    reports: BTreeMap<EndpointKey, Moment>,
    next: u64,
}

/// The result of a call's wait for a slot.
type Acquired = Result<Placement, Refusal>;

/// A call that waits for a slot, cancelled in the slot manager when dropped.
struct WaitingCall<'a> {
    dispatcher: &'a SlotDispatcher,
    service: ServiceKey,
    call: CallKey,
    acquired: oneshot::Receiver<Acquired>,
}

/// The time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_millis(1_000);

impl SlotDispatcher {
    /// Returns the dispatcher, with its timer and its updates of the gauges running.
    pub fn start(options: &DispatcherOptions, send: SendMessage) -> Arc<SlotDispatcher> {
        let now = clock::now();
        let identity = Identity {
            host: options.host,
            incarnation: options.incarnation,
            centre: DataCentreKey::named(&options.data_centre),
        };
        let state = State {
            slots: SlotManager::new(identity, now),
            config: None,
            alive: BTreeSet::new(),
            waiting: BTreeMap::new(),
            reports: BTreeMap::new(),
            next: 0,
        };
        let dispatcher = Arc::new(SlotDispatcher {
            state: Mutex::new(state),
            send,
            runtime: Handle::current(),
            next_tick: AtomicU64::new(now.0),
            rescheduled: Notify::new(),
        });
        dispatcher
            .runtime
            .spawn(run_timer(Arc::downgrade(&dispatcher)));
        dispatcher
            .runtime
            .spawn(update_gauges(Arc::downgrade(&dispatcher)));
        dispatcher
    }

    /// Applies the configuration in force.
    pub fn configure(self: &Arc<Self>, config: &Config) {
        self.run_step(|state, now| {
            state.slots.configure(config, &state.alive, now);
            state.config = Some(config.clone());
        });
    }

    /// Sets the members that are alive.
    pub fn set_alive(self: &Arc<Self>, alive: BTreeSet<HostKey>) {
        self.run_step(|state, now| {
            if state.alive == alive {
                return;
            }
            state.alive = alive;
            if let Some(config) = &state.config {
                state.slots.configure(config, &state.alive, now);
            }
        });
    }

    /// Sets this host's incarnation, which changes when the host joins again.
    pub fn renew_incarnation(self: &Arc<Self>, incarnation: u64) {
        self.run_step(|state, _| state.slots.renew_incarnation(incarnation));
    }

    /// Records that this host's configuration was proved to be current at the moment `proved_at`.
    pub fn confirm(self: &Arc<Self>, proved_at: Moment) {
        self.run_step(|state, _| state.slots.confirm(proved_at));
    }

    /// Handles a message of another entry host.
    pub fn receive(self: &Arc<Self>, from: HostKey, message: SlotMessage) {
        self.run_step(|state, now| state.slots.receive(from, message, now));
    }

    /// Starts no more calls, refuses those that wait, and returns idle slots.
    pub fn stop(self: &Arc<Self>) {
        self.run_step(|state, now| state.slots.stop(now));
    }

    /// Returns the calls and slots of a service at this host, none for an unknown service.
    pub fn service_status(self: &Arc<Self>, service: ServiceKey) -> Option<ServiceStatus> {
        self.run_step(|state, _| state.slots.status(service))
    }

    /// Returns the state of each endpoint that this host owns.
    pub fn owned_endpoints(self: &Arc<Self>) -> Vec<EndpointStatus> {
        self.run_step(|state, now| {
            let owned = state.slots.owned().iter();
            owned
                .map(|(endpoint, owned)| EndpointStatus {
                    endpoint: *endpoint,
                    cap: owned.capacity.cap(),
                    leased: owned.lease_table.leased(),
                    is_degraded: owned.capacity.degradation().is_some(),
                    is_fenced: !owned.lease_table.is_open(now),
                    report_age: state.reports.get(endpoint).map(|at| now.since(*at)),
                })
                .collect()
        })
    }

    /// Waits until a slot is free for `call`.
    pub async fn acquire(self: &Arc<Self>, call: &Call) -> Acquired {
        let began = clock::now();
        let (sender, acquired) = oneshot::channel();
        let key = self.run_step(|state, now| {
            let key = CallKey(state.next);
            state.next += 1;
            state.waiting.insert(key, sender);
            let arrival = Arrival {
                call: key,
                service: call.service,
                deadline: call.deadline,
                tried: call.tried.clone(),
            };
            state.slots.arrive(&arrival, now);
            key
        });
        let mut waiting_call = WaitingCall {
            dispatcher: self,
            service: call.service,
            call: key,
            acquired,
        };
        let acquired = (&mut waiting_call.acquired)
            .await
            .unwrap_or(Err(Refusal::Stopping));
        if acquired.is_ok() {
            counters::record_wait(clock::now().since(began));
        }
        acquired
    }

    /// Returns whether a call may be sent now on the slot of `lease`.
    pub fn may_send(&self, lease: LeaseKey) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.slots.may_send(lease, clock::now())
    }

    /// Ends a call's use of a lease; `ending` is none if no call was sent.
    pub fn finish(self: &Arc<Self>, lease: LeaseKey, ending: Option<Ending>) {
        let ending = match ending {
            Some(Ending::Answered) => slots::Ending::Answered,
            Some(Ending::Shed) => slots::Ending::Shed,
            Some(Ending::Unreachable) => slots::Ending::Unreachable,
            Some(Ending::Broken) => slots::Ending::Broken,
            Some(Ending::Cancelled) => slots::Ending::Cancelled,
            None => slots::Ending::Unused,
        };
        self.run_step(|state, now| state.slots.finish(lease, ending, now));
    }

    /// Runs one step of the slot manager and carries out the effects that it returns.
    ///
    /// Messages are queued under the lock, so that two threads can't send them
    /// in another order than that of the decisions. Sending never blocks.
    fn run_step<R>(self: &Arc<Self>, step: impl FnOnce(&mut State, Moment) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = step(&mut state, clock::now());
        for effect in state.slots.take_effects() {
            self.carry_out(&mut state, effect);
        }
        if state.slots.next_wake().0 < self.next_tick.load(Ordering::Relaxed) {
            self.rescheduled.notify_one();
        }
        result
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, effect: Effect) {
        match effect {
            Effect::Send(to, message) => (self.send)(to, message),
            Effect::Start {
                call,
                lease,
                address,
            } => {
                let placement = Placement {
                    endpoint: lease.slot.endpoint,
                    address,
                    lease: Some(lease),
                };
                let taken = match state.waiting.remove(&call) {
                    Some(sender) => sender.send(Ok(placement)).is_ok(),
                    None => false,
                };
                if !taken {
                    self.release_unused(lease);
                }
            }
            Effect::Refuse(call, refusal) => {
                if let Some(sender) = state.waiting.remove(&call) {
                    sender.send(Err(refusal)).ok();
                }
            }
            Effect::Probe(endpoint, address) => {
                let dispatcher = Arc::downgrade(self);
                let roles = state.slots.roles().endpoints.get(&endpoint);
                let service = roles.and_then(|s| state.slots.roles().services.get(&s.service));
                let cost = service.map_or(Duration::ZERO, |p| p.probe_cost);
                self.runtime.spawn(async move {
                    let report = probe::fetch_report(address).await;
                    counters::count_probe(cost, report.is_some());
                    if let Some(dispatcher) = dispatcher.upgrade() {
                        dispatcher.probed(endpoint, report.as_ref());
                    }
                });
            }
        }
    }

    /// Releases a slot whose caller hung up at the moment when the slot was granted.
    fn release_unused(self: &Arc<Self>, lease: LeaseKey) {
        let dispatcher = Arc::downgrade(self);
        self.runtime.spawn(async move {
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.finish(lease, None);
            }
        });
    }

    fn probed(self: &Arc<Self>, endpoint: EndpointKey, report: Option<&LoadReport>) {
        self.run_step(|state, now| {
            if report.is_some() {
                state.reports.insert(endpoint, now);
            }
            state.slots.probed(endpoint, report, now);
        });
    }

    fn totals(&self) -> ServiceStatus {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let services = state.slots.roles().services.keys();
        let statuses = services.filter_map(|s| state.slots.status(*s));
        statuses.fold(ServiceStatus::default(), |sum, s| ServiceStatus {
            waiting: sum.waiting + s.waiting,
            held: sum.held + s.held,
            idle: sum.idle + s.idle,
        })
    }
}

/// Calls the slot manager's `tick` whenever it is due, until the dispatcher is dropped.
async fn run_timer(dispatcher: Weak<SlotDispatcher>) {
    while let Some(strong) = dispatcher.upgrade() {
        let next_tick = strong.run_step(|state, now| {
            state.slots.tick(now);
            let next_tick = state.slots.next_wake();
            strong.next_tick.store(next_tick.0, Ordering::Relaxed);
            next_tick
        });
        let pause = tokio::time::sleep(clock::now().until(next_tick));
        tokio::select! {
            () = pause => {}
            () = strong.rescheduled.notified() => {}
        }
    }
}

/// Updates the gauges periodically, until the dispatcher is dropped.
async fn update_gauges(dispatcher: Weak<SlotDispatcher>) {
    while let Some(strong) = dispatcher.upgrade() {
        let sum = strong.totals();
        drop(strong);
        counters::set_gauges(sum.waiting, sum.held, sum.idle);
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.acquired.close();
        let mut state = self
            .dispatcher
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waits = state.waiting.remove(&self.call).is_some();
        if waits {
            state.slots.cancel(self.service, self.call, clock::now());
        } else if let Ok(Ok(Placement {
            lease: Some(lease), ..
        })) = self.acquired.try_recv()
        {
            state
                .slots
                .finish(lease, slots::Ending::Unused, clock::now());
        }
        drop(state);
        self.dispatcher.rescheduled.notify_one();
    }
}
