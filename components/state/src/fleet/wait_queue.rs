//! Decides which of a host's waiting requests may probe endpoints.
//!
//! A burst beyond the capacity of all endpoints leaves dozens of requests at each host
//! waiting for the same few slots. If each of them probed, endpoints would be probed
//! hundreds of times a second, and several requests would see the same slot come free and
//! all be sent there, which overloads the endpoint and makes every request on it late.
//! The requests that wait for a service are therefore queued, and only the first one
//! probes.
//!
//! Client accounts take turns: an account that sends many times its usual load would
//! otherwise have most of the places in the queue, and so most of the slots.

use std::collections::{BTreeMap, BTreeSet};

use derives::key;

use crate::{AccountKey, Moment};

/// A waiting request's position in the queue; the lowest is first.
///
/// Requests of more urgent routes or accounts come first, then those of an earlier turn,
/// then those with the earlier objective, since the others can wait longer and still be in
/// time.
#[key]
pub struct Ticket {
    priority: u32,
    turn: u64,
    objective: Moment,
    number: u64,
    account: Option<AccountKey>,
}

/// The waiting requests of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    waiting: usize,
    /// The turn of the account's next request.
    next_turn: u64,
}

/// The requests of one host that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    tickets: BTreeSet<Ticket>,
    next_number: u64,
    /// The turn of the last request that was first.
    turn: u64,
    backlogs: BTreeMap<AccountKey, Backlog>,
}

impl WaitQueue {
    /// Adds a request with this priority, 0 for the most urgent.
    ///
    /// Each account has one request in each turn. Requests without an account aren't
    /// limited to one.
    pub fn push(
        &mut self,
        priority: u32,
        account: Option<AccountKey>,
        objective: Moment,
    ) -> Ticket {
        let ticket = Ticket {
            priority,
            turn: account.map_or(self.turn, |account| self.take_turn(account)),
            objective,
            number: self.next_number,
            account,
        };
        self.next_number += 1;
        self.tickets.insert(ticket);
        ticket
    }

    fn take_turn(&mut self, account: AccountKey) -> u64 {
        let backlog = self.backlogs.entry(account).or_default();
        let turn = backlog.next_turn.max(self.turn);
        backlog.waiting += 1;
        backlog.next_turn = turn + 1;
        turn
    }

    /// Removes a request; returns the new first request if the first one was removed.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Ticket> {
        let was_first = self.first() == Some(ticket);
        if was_first {
            self.turn = self.turn.max(ticket.turn);
        }
        if self.tickets.remove(&ticket) {
            ticket.account.inspect(|account| self.leave(*account));
        }
        self.first().filter(|_| was_first)
    }

    fn leave(&mut self, account: AccountKey) {
        if let Some(backlog) = self.backlogs.get_mut(&account) {
            backlog.waiting -= 1;
            if backlog.waiting == 0 {
                self.backlogs.remove(&account);
            }
        }
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
