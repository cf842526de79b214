//! Decides which of a host's waiting requests may probe endpoints.
//!
//! A burst beyond the capacity of all endpoints leaves dozens of requests at each host
//! waiting for the same few slots. If each of them probed, endpoints would be probed
//! hundreds of times a second, and several requests would see the same slot come free and
//! all be sent there, which overloads the endpoint and makes every request on it late.
//! The requests that wait for a service are therefore queued, and only the first one
//! probes.

use std::collections::BTreeSet;

use derives::key;

use crate::Moment;

/// A waiting request's position in the queue; the lowest is first.
///
/// Requests of more urgent routes come first, then those with the earlier objective,
/// since the others can wait longer and still be in time.
#[key]
pub struct Ticket {
    priority: u32,
    objective: Moment,
    number: u64,
}

/// The requests of one host that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    tickets: BTreeSet<Ticket>,
    next_number: u64,
}

impl WaitQueue {
    /// Adds a request of a route with this priority, 0 for the most urgent.
    pub fn push(&mut self, priority: u32, objective: Moment) -> Ticket {
        let ticket = Ticket {
            priority,
            objective,
            number: self.next_number,
        };
        self.next_number += 1;
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request; returns the new first request if the first one was removed.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Ticket> {
        let was_first = self.first() == Some(ticket);
        self.tickets.remove(&ticket);
        self.first().filter(|_| was_first)
    }

    /// Returns the first request, which may probe.
    pub fn first(&self) -> Option<Ticket> {
        self.tickets.first().copied()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
