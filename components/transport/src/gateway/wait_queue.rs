//! Queues of requests that wait for an endpoint, one per service.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use state::ServiceKey;
use state::fleet::placement::Request;
use state::fleet::{Ticket, WaitQueue};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Gateway;

/// The wait queues of all services.
#[derive(Default)]
pub(super) struct WaitQueues {
    services: BTreeMap<ServiceKey, Waiters>,
}

/// The wait queue of one service, and the notification for each waiting request.
#[derive(Default)]
struct Waiters {
    queue: WaitQueue,
    notifies: BTreeMap<Ticket, Rc<Notify>>,
}

impl Waiters {
    fn wake(&self, ticket: Option<Ticket>) {
        if let Some(notify) = ticket.and_then(|t| self.notifies.get(&t)) {
            notify.notify_one();
        }
    }
}

/// A request's entry in its service's wait queue; dropping the entry removes it.
pub(super) struct QueueEntry<'a> {
    gateway: &'a Gateway,
    service: ServiceKey,
    ticket: Ticket,
    notify: Rc<Notify>,
}

impl QueueEntry<'_> {
    /// Returns whether this request is first in the queue and may probe endpoints.
    pub fn is_first(&self) -> bool {
        let queues = self.gateway.queues.borrow();
        let waiters = queues.services.get(&self.service);
        waiters.and_then(|w| w.queue.first()) == Some(self.ticket)
    }

    /// Waits until this request is woken, for at most `limit`.
    pub async fn wait(&self, limit: Duration) {
        // After a wake-up or a timeout the endpoints are evaluated again.
        let _notified = timeout(limit, self.notify.notified()).await;
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut queues = self.gateway.queues.borrow_mut();
        if let Some(waiters) = queues.services.get_mut(&self.service) {
            waiters.notifies.remove(&self.ticket);
            let next = waiters.queue.remove(self.ticket);
            waiters.wake(next);
        }
    }
}

impl Gateway {
    /// Returns whether any request waits for an endpoint of the service.
    pub(super) fn has_waiting(&self, service: ServiceKey) -> bool {
        let queues = self.queues.borrow();
        let waiters = queues.services.get(&service);
        waiters.is_some_and(|w| !w.queue.is_empty())
    }

    /// Adds a request to its service's wait queue.
    pub(super) fn enqueue(&self, request: &Request) -> QueueEntry<'_> {
        let mut queues = self.queues.borrow_mut();
        let waiters = queues.services.entry(request.service).or_default();
        let ticket = waiters
            .queue
            .push(request.priority, request.account, request.objective);
        let notify = Rc::new(Notify::new());
        waiters.notifies.insert(ticket, Rc::clone(&notify));
        QueueEntry {
            gateway: self,
            service: request.service,
            ticket,
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
        let queues = self.queues.borrow();
        if let Some(waiters) = queues.services.get(&service) {
            waiters.wake(waiters.queue.first());
        }
    }
}
