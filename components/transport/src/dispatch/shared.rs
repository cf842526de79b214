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
    Call, DispatcherOptions, Ending, EndpointStanding, Placed, Refusal, SendMessage, counters,
    probe,
};
use crate::clock;

/// The slot manager, with its lock, timer and way to send messages.
pub struct Shared {
    core: Mutex<Core>,
    send: SendMessage,
    runtime: Handle,
    due: AtomicU64,
    earlier: Notify,
}

struct Core {
    slots: SlotManager,
    config: Option<Config>,
    alive: BTreeSet<HostKey>,
    waiting: BTreeMap<CallKey, oneshot::Sender<Verdict>>,
    reports: BTreeMap<EndpointKey, Moment>,
    next: u64,
}

/// The result of a call's wait for a slot.
type Verdict = Result<Placed, Refusal>;

/// A call that waits for a slot, cancelled in the slot manager when dropped.
struct Pending<'a> {
    shared: &'a Shared,
    service: ServiceKey,
    call: CallKey,
    verdict: oneshot::Receiver<Verdict>,
}

/// The time between two updates of the gauges.
const GAUGES: Duration = Duration::from_millis(1_000);

impl Shared {
    /// Returns the dispatcher, with its timer and its updates of the gauges running.
    pub fn run(setup: &DispatcherOptions, send: SendMessage) -> Arc<Shared> {
        let now = clock::now();
        let me = Identity {
            host: setup.host,
            incarnation: setup.incarnation,
            centre: DataCentreKey::named(&setup.data_centre),
        };
        let core = Core {
            slots: SlotManager::new(me, now),
            config: None,
            alive: BTreeSet::new(),
            waiting: BTreeMap::new(),
            reports: BTreeMap::new(),
            next: 0,
        };
        let shared = Arc::new(Shared {
            core: Mutex::new(core),
            send,
            runtime: Handle::current(),
            due: AtomicU64::new(now.0),
            earlier: Notify::new(),
        });
        shared.runtime.spawn(keep_time(Arc::downgrade(&shared)));
        shared.runtime.spawn(show(Arc::downgrade(&shared)));
        shared
    }

    /// Applies the configuration in force.
    pub fn configure(self: &Arc<Self>, config: &Config) {
        self.act(|core, now| {
            core.slots.configure(config, &core.alive, now);
            core.config = Some(config.clone());
        });
    }

    /// Sets the members that are alive.
    pub fn set_alive(self: &Arc<Self>, alive: BTreeSet<HostKey>) {
        self.act(|core, now| {
            if core.alive == alive {
                return;
            }
            core.alive = alive;
            if let Some(config) = &core.config {
                core.slots.configure(config, &core.alive, now);
            }
        });
    }

    /// Sets this host's incarnation, which changes when the host joins again.
    pub fn renew_incarnation(self: &Arc<Self>, incarnation: u64) {
        self.act(|core, _| core.slots.renew_incarnation(incarnation));
    }

    /// Records that this host's configuration was proved to be current at the moment `shown`.
    pub fn confirm(self: &Arc<Self>, shown: Moment) {
        self.act(|core, _| core.slots.confirm(shown));
    }

    /// Handles a message of another entry host.
    pub fn receive(self: &Arc<Self>, from: HostKey, message: SlotMessage) {
        self.act(|core, now| core.slots.receive(from, message, now));
    }

    /// Starts no more calls, refuses those that wait, and returns idle slots.
    pub fn stop(self: &Arc<Self>) {
        self.act(|core, now| core.slots.stop(now));
    }

    /// Returns the calls and slots of a service at this host, none for an unknown service.
    pub fn standing(self: &Arc<Self>, service: ServiceKey) -> Option<ServiceStatus> {
        self.act(|core, _| core.slots.status(service))
    }

    /// Returns the state of each endpoint that this host owns.
    pub fn owned(self: &Arc<Self>) -> Vec<EndpointStanding> {
        self.act(|core, now| {
            let owned = core.slots.owned().iter();
            owned
                .map(|(endpoint, owned)| EndpointStanding {
                    endpoint: *endpoint,
                    cap: owned.capacity.cap(),
                    out: owned.lease_table.leased(),
                    doubted: owned.capacity.degradation().is_some(),
                    fenced: !owned.lease_table.is_open(now),
                    report_age: core.reports.get(endpoint).map(|at| now.since(*at)),
                })
                .collect()
        })
    }

    /// Waits until a slot is free for `call`.
    pub async fn acquire(self: &Arc<Self>, call: &Call) -> Verdict {
        let began = clock::now();
        let (sender, verdict) = oneshot::channel();
        let key = self.act(|core, now| {
            let key = CallKey(core.next);
            core.next += 1;
            core.waiting.insert(key, sender);
            let arrival = Arrival {
                call: key,
                service: call.service,
                deadline: call.deadline,
                tried: call.tried.clone(),
            };
            core.slots.arrive(&arrival, now);
            key
        });
        let mut pending = Pending {
            shared: self,
            service: call.service,
            call: key,
            verdict,
        };
        let verdict = (&mut pending.verdict)
            .await
            .unwrap_or(Err(Refusal::Stopping));
        if verdict.is_ok() {
            counters::waited(clock::now().since(began));
        }
        verdict
    }

    /// Returns whether a call may be sent now on the slot of `lease`.
    pub fn may_send(&self, lease: LeaseKey) -> bool {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.slots.may_send(lease, clock::now())
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
        self.act(|core, now| core.slots.finish(lease, ending, now));
    }

    /// Runs one step of the slot manager and carries out the effects that it returns.
    ///
    /// Messages are queued under the lock, so that two threads can't send them
    /// in another order than that of the decisions. Sending never blocks.
    fn act<R>(self: &Arc<Self>, step: impl FnOnce(&mut Core, Moment) -> R) -> R {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let result = step(&mut core, clock::now());
        for effect in core.slots.take_effects() {
            self.carry_out(&mut core, effect);
        }
        if core.slots.next_wake().0 < self.due.load(Ordering::Relaxed) {
            self.earlier.notify_one();
        }
        result
    }

    fn carry_out(self: &Arc<Self>, core: &mut Core, effect: Effect) {
        match effect {
            Effect::Send(to, message) => (self.send)(to, message),
            Effect::Start {
                call,
                lease,
                address,
            } => {
                let placed = Placed {
                    endpoint: lease.slot.endpoint,
                    address,
                    lease: Some(lease),
                };
                let taken = match core.waiting.remove(&call) {
                    Some(sender) => sender.send(Ok(placed)).is_ok(),
                    None => false,
                };
                if !taken {
                    self.put_back(lease);
                }
            }
            Effect::Refuse(call, refusal) => {
                if let Some(sender) = core.waiting.remove(&call) {
                    sender.send(Err(refusal)).ok();
                }
            }
            Effect::Probe(endpoint, address) => {
                let shared = Arc::downgrade(self);
                let site = core.slots.roles().endpoints.get(&endpoint);
                let plan = site.and_then(|s| core.slots.roles().services.get(&s.service));
                let cost = plan.map_or(Duration::ZERO, |p| p.probe_cost);
                self.runtime.spawn(async move {
                    let report = probe::ask(address).await;
                    counters::probed(cost, report.is_some());
                    if let Some(shared) = shared.upgrade() {
                        shared.probed(endpoint, report.as_ref());
                    }
                });
            }
        }
    }

    /// Releases a slot whose caller hung up at the moment when the slot was granted.
    fn put_back(self: &Arc<Self>, lease: LeaseKey) {
        let shared = Arc::downgrade(self);
        self.runtime.spawn(async move {
            if let Some(shared) = shared.upgrade() {
                shared.finish(lease, None);
            }
        });
    }

    fn probed(self: &Arc<Self>, endpoint: EndpointKey, report: Option<&LoadReport>) {
        self.act(|core, now| {
            if report.is_some() {
                core.reports.insert(endpoint, now);
            }
            core.slots.probed(endpoint, report, now);
        });
    }

    fn totals(&self) -> ServiceStatus {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let services = core.slots.roles().services.keys();
        let standings = services.filter_map(|s| core.slots.status(*s));
        standings.fold(ServiceStatus::default(), |sum, s| ServiceStatus {
            waiting: sum.waiting + s.waiting,
            held: sum.held + s.held,
            idle: sum.idle + s.idle,
        })
    }
}

/// Calls the slot manager's `tick` whenever it is due, until the dispatcher is dropped.
async fn keep_time(shared: Weak<Shared>) {
    while let Some(strong) = shared.upgrade() {
        let due = strong.act(|core, now| {
            core.slots.tick(now);
            let due = core.slots.next_wake();
            strong.due.store(due.0, Ordering::Relaxed);
            due
        });
        let pause = tokio::time::sleep(clock::now().until(due));
        tokio::select! {
            () = pause => {}
            () = strong.earlier.notified() => {}
        }
    }
}

/// Updates the gauges periodically, until the dispatcher is dropped.
async fn show(shared: Weak<Shared>) {
    while let Some(strong) = shared.upgrade() {
        let sum = strong.totals();
        drop(strong);
        counters::standing(sum.waiting, sum.held, sum.idle);
        tokio::time::sleep(GAUGES).await;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.verdict.close();
        let mut core = self
            .shared
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waits = core.waiting.remove(&self.call).is_some();
        if waits {
            core.slots.cancel(self.service, self.call, clock::now());
        } else if let Ok(Ok(Placed {
            lease: Some(lease), ..
        })) = self.verdict.try_recv()
        {
            core.slots
                .finish(lease, slots::Ending::Unused, clock::now());
        }
        drop(core);
        self.shared.earlier.notify_one();
    }
}
