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
pub(super) struct Lines {
    services: BTreeMap<ServiceKey, Waiters>,
}

#[derive(Default)]
struct Waiters {
    line: WaitQueue,
    calls: BTreeMap<Ticket, Rc<Notify>>,
}

impl Waiters {
    fn wake(&self, ticket: Option<Ticket>) {
        if let Some(call) = ticket.and_then(|t| self.calls.get(&t)) {
            call.notify_one();
        }
    }
}

/// A request's entry in its service's wait queue; dropping the entry removes it.
pub(super) struct Standing<'a> {
    gateway: &'a Gateway,
    service: ServiceKey,
    ticket: Ticket,
    call: Rc<Notify>,
}

impl Standing<'_> {
    /// Returns whether this request is first in the queue and may probe endpoints.
    pub fn is_first(&self) -> bool {
        let lines = self.gateway.lines.borrow();
        let waiters = lines.services.get(&self.service);
        waiters.and_then(|w| w.line.first()) == Some(self.ticket)
    }

    /// Waits until this request is woken, for at most `longest`.
    pub async fn wait(&self, longest: Duration) {
        // After a wake-up or a timeout the caller evaluates the endpoints again.
        let _called = timeout(longest, self.call.notified()).await;
    }
}

impl Drop for Standing<'_> {
    fn drop(&mut self) {
        let mut lines = self.gateway.lines.borrow_mut();
        if let Some(waiters) = lines.services.get_mut(&self.service) {
            waiters.calls.remove(&self.ticket);
            let next = waiters.line.remove(self.ticket);
            waiters.wake(next);
        }
    }
}

impl Gateway {
    /// Returns whether any request waits for an endpoint of the service.
    pub(super) fn anyone_waits(&self, service: ServiceKey) -> bool {
        let lines = self.lines.borrow();
        let waiters = lines.services.get(&service);
        waiters.is_some_and(|w| !w.line.is_empty())
    }

    /// Adds a request to its service's wait queue.
    pub(super) fn stand(&self, request: &Request) -> Standing<'_> {
        let mut lines = self.lines.borrow_mut();
        let waiters = lines.services.entry(request.service).or_default();
        let ticket = waiters.line.push(request.priority, request.objective);
        let call = Rc::new(Notify::new());
        waiters.calls.insert(ticket, Rc::clone(&call));
        Standing {
            gateway: self,
            service: request.service,
            ticket,
            call,
        }
    }

    /// Wakes the first request in the service's queue, when an endpoint has room.
    pub(super) fn wake_first(&self, service: ServiceKey) {
        let lines = self.lines.borrow();
        if let Some(waiters) = lines.services.get(&service) {
            waiters.wake(waiters.line.first());
        }
    }
}
