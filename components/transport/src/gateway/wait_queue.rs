//! Queues of requests that wait for an endpoint, one per service.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use derives::key;
use state::fleet::placement::Request;
use state::fleet::{FairQueue, FairTicket, Ticket, WaitQueue};
use state::{FlowKey, Moment, ServiceKey};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Gateway;
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
    fn refresh(&mut self, now: Moment, is_held: &dyn Fn(FlowKey) -> bool) {
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
        self.gateway.with_waiters(self.service, |waiters| {
            waiters.fair.yields_for(ticket, false, now)
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
        waiters.refresh(clock::now(), &|_| false);
        act(waiters)
    }

    /// Returns whether any request waits for an endpoint of the service.
    pub(super) fn has_waiting(&self, service: ServiceKey) -> bool {
        let queues = self.queues.borrow();
        let waiters = queues.services.get(&service);
        waiters.is_some_and(|w| !w.is_empty())
    }

    /// Adds a request to its service's wait queue.
    pub(super) fn enqueue(&self, request: &Request) -> QueueEntry<'_> {
        let is_fair = self.has_accounts();
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
