//! Queues of requests that wait for an endpoint, one per service.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coordination::shares::ShareKey;
use derives::key;
use state::fleet::fair_queue::is_timely;
use state::fleet::placement::Request;
use state::fleet::{FairQueue, FairTicket, Ticket, WaitQueue};
use state::{FlowKey, Moment, ServiceKey};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Gateway;
use super::shares::share_key;
use crate::clock;

/// The wait queues of all services.
#[derive(Default)]
pub(super) struct WaitQueues {
    services: BTreeMap<ServiceKey, Waiters>,
}

/// A request's entry in one of a service's two queues.
#[key]
enum Position {
    /// In the queue of a configuration without client accounts.
    Turn(Ticket),
    /// In the queue of a configuration with client accounts.
    Fair(FairTicket),
}

/// The wait queues of one service, and the notification for each waiting request.
#[derive(Default)]
struct Waiters {
    queue: WaitQueue,
    fair: FairQueue,
    /// The request that was last found to be first in the fair queue.
    fair_first: Option<FairTicket>,
    notifies: BTreeMap<Position, Rc<Notify>>,
}

impl Waiters {
    fn wake(&self, position: Option<Position>) {
        if let Some(notify) = position.and_then(|p| self.notifies.get(&p)) {
            notify.notify_one();
        }
    }

    /// Updates the order of the fair queue, and wakes its first request if it is a new one.
    fn refresh(&mut self, now: Moment, is_held: &dyn Fn(u32, FlowKey) -> bool) {
        self.fair.advance(now);
        let first = self.fair.first(is_held);
        if first != self.fair_first {
            self.fair_first = first;
            self.wake(first.map(Position::Fair));
        }
    }

    fn remove(&mut self, position: Position) {
        self.notifies.remove(&position);
        match position {
            Position::Turn(ticket) => {
                let next = self.queue.remove(ticket);
                self.wake(next.map(Position::Turn));
            }
            Position::Fair(ticket) => {
                self.fair.remove(ticket, self.fair_first == Some(ticket));
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.fair.is_empty()
    }
}

/// A request's entry in its service's wait queue; dropping the entry removes it.
pub(super) struct QueueEntry<'a> {
    gateway: &'a Gateway,
    service: ServiceKey,
    position: Position,
    key: ShareKey,
    notify: Rc<Notify>,
}

impl QueueEntry<'_> {
    /// Returns whether this request is first in the queue and may probe endpoints.
    pub fn is_first(&self) -> bool {
        self.gateway
            .with_waiters(self.service, |waiters| match self.position {
                Position::Turn(ticket) => waiters.queue.first() == Some(ticket),
                Position::Fair(ticket) => waiters.fair_first == Some(ticket),
            })
    }

    /// Returns how long this request yields to others, `None` if it may be placed now.
    pub fn yields_for(&self) -> Option<Duration> {
        let Position::Fair(ticket) = self.position else {
            return None;
        };
        let now = clock::now();
        let is_contended = self.gateway.is_contended(self.service);
        let credit_in = self.gateway.held_for(self.service, self.key);
        self.gateway.with_waiters(self.service, |waiters| {
            let yields = waiters.fair.yields_for(ticket, is_contended, now);
            let held = credit_in.and_then(|time| waiters.fair.holds_for(ticket, time, now));
            yields.max(held)
        })
    }

    /// Waits until this request is woken, for at most `limit`.
    pub async fn wait(&self, limit: Duration) {
        // After a wake-up or a timeout the endpoints are evaluated again.
        let _notified = timeout(limit, self.notify.notified()).await;
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let gateway = self.gateway;
        gateway.with_waiters(self.service, |waiters| waiters.remove(self.position));
        gateway.with_waiters(self.service, |_| ());
    }
}

impl Gateway {
    /// Runs `act` on the wait queues of a service, in their present order.
    fn with_waiters<R>(&self, service: ServiceKey, act: impl FnOnce(&mut Waiters) -> R) -> R {
        let mut queues = self.queues.borrow_mut();
        let waiters = queues.services.entry(service).or_default();
        waiters.refresh(clock::now(), &|priority, flow| {
            let key = ShareKey { priority, flow };
            self.held_for(service, key).is_some()
        });
        act(waiters)
    }

    /// Enters a new request into its service's wait queue if others wait for the service, or
    /// if it has to yield to requests at other hosts.
    pub(super) fn join_queue(&self, request: &Request) -> Option<QueueEntry<'_>> {
        let service = request.service;
        let is_timely = is_timely(request, clock::now());
        self.note_wanted(request, is_timely);
        let yields = match is_timely {
            true => self.held_for(service, share_key(request)).is_some(),
            false => self.is_contended(service),
        };
        (self.has_waiting(service) || yields).then(|| self.enqueue(request))
    }

    /// Returns the number of requests that wait for the service and can be in time.
    pub(super) fn timely_waiting(&self, service: ServiceKey) -> u32 {
        let timely = self.with_waiters(service, |waiters| waiters.fair.timely());
        u32::try_from(timely).unwrap_or(u32::MAX)
    }

    /// Returns whether any request waits for an endpoint of the service.
    fn has_waiting(&self, service: ServiceKey) -> bool {
        let queues = self.queues.borrow();
        let waiters = queues.services.get(&service);
        waiters.is_some_and(|w| !w.is_empty())
    }

    /// Adds a request to its service's wait queue.
    pub(super) fn enqueue(&self, request: &Request) -> QueueEntry<'_> {
        let is_fair = self.has_accounts();
        let key = share_key(request);
        if is_fair {
            self.note_waiting(request);
        }
        let notify = Rc::new(Notify::new());
        let position = self.with_waiters(request.service, |waiters| {
            let position = match is_fair {
                true => Position::Fair(waiters.fair.push(request, clock::now())),
                false => Position::Turn(waiters.queue.push(
                    request.priority,
                    request.account,
                    request.objective,
                )),
            };
            waiters.notifies.insert(position, Rc::clone(&notify));
            position
        });
        QueueEntry {
            gateway: self,
            service: request.service,
            position,
            key,
            notify,
        }
    }

    /// Wakes all requests in the service's queue, when no endpoint answers this host.
    pub(super) fn wake_all(&self, service: ServiceKey) {
        let queues = self.queues.borrow();
        if let Some(waiters) = queues.services.get(&service) {
            waiters.notifies.values().for_each(|n| n.notify_one());
        }
    }

    /// Wakes the first request in the service's queue, when an endpoint has room.
    pub(super) fn wake_first(&self, service: ServiceKey) {
        self.with_waiters(service, |waiters| {
            waiters.wake(waiters.queue.first().map(Position::Turn));
            waiters.wake(waiters.fair_first.map(Position::Fair));
        });
    }
}
