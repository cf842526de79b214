//! Which of a host's waiting requests may ask endpoints next.
//!
//! Made for a burst beyond what all endpoints bear. Each host then has dozens
//! of requests waiting for the same few slots. Were each to ask for itself,
//! endpoints would be asked hundreds of times a second, and several requests
//! would see the same slot come free and all be sent there: the endpoint is
//! past its knee, and every request on it late. So the requests that wait for a
//! service stand in line, and only the first one asks.

use std::collections::BTreeSet;

use derives::key;

use crate::Moment;

/// A waiting request's place in the line; the lowest is first.
///
/// More urgent routes go first, then the request that ceases first to be in
/// time: one that has to wait longer still can.
#[key]
pub struct Ticket {
    priority: u32,
    objective: Moment,
    number: u64,
}

/// The requests of one host that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiters: BTreeSet<Ticket>,
    taken: u64,
}

impl WaitQueue {
    /// Takes in a request of a route with this rank, 0 before all others.
    pub fn push(&mut self, priority: u32, objective: Moment) -> Ticket {
        let ticket = Ticket {
            priority,
            objective,
            number: self.taken,
        };
        self.taken += 1;
        self.waiters.insert(ticket);
        ticket
    }

    /// Lets a request go; returns who is first then, where that was not so before.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Ticket> {
        let was_first = self.first() == Some(ticket);
        self.waiters.remove(&ticket);
        self.first().filter(|_| was_first)
    }

    /// Returns whose turn it is.
    pub fn first(&self) -> Option<Ticket> {
        self.waiters.first().copied()
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
