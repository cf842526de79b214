//! Orders the requests of one host that wait for a service for which client accounts compete.
//!
//! Designed for overload in which callers come back late in their time: most of a burst is
//! refused once, and what comes back can no longer be in time. A host that takes a returning
//! request for a fresh one gives it slots that requests in time could use, and soon all are
//! late. Requests are ordered by priority, then those that can still be in time, then by the
//! turn of their flow, then by objective.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::{key, tag};

use super::placement::Request;
use crate::{FlowKey, Moment};

/// The factor on the expected service time within which work usually completes.
const SERVICE_TIME_MARGIN: f64 = 1.5;

/// The part of its remaining time for which a late request yields to requests in time.
///
/// Callers come back within a third of their remaining time, so a request that is refused
/// after a quarter of it leaves its caller time for another attempt.
const YIELD_FRACTION: f64 = 0.25;

/// The time before its latest start at which a held request is decided.
///
/// Equals the delay after which placement probes again: a request that waits longer is
/// refused.
const DECISION_TIME: Duration = Duration::from_millis(40);

/// Identifies a request in a [`FairQueue`].
#[key]
pub struct FairTicket(u64);

/// Requests among which flows take turns.
#[key]
struct Class {
    priority: u32,
    is_late: bool,
}

/// A request's position in the queue; the lowest is first.
#[key]
struct Rank {
    class: Class,
    turn: u64,
    objective: Moment,
    ticket: FairTicket,
}

/// The waiting requests of one flow in one class.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    waiting: usize,
    /// The turn of the flow's next request.
    next_turn: u64,
}

/// A waiting request.
#[tag]
struct Waiting {
    rank: Rank,
    flow: FlowKey,
    /// The last moment at which the request can start and still be in time.
    latest_start: Moment,
    deadline: Moment,
    /// The time until which the request yields to requests in time, once it is late.
    yields_until: Moment,
}

/// The requests of one host that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<FairTicket, Waiting>,
    order: BTreeSet<Rank>,
    /// The requests that can be in time, by their latest start.
    timely: BTreeSet<(Moment, FairTicket)>,
    backlogs: BTreeMap<(Class, FlowKey), Backlog>,
    /// The turn of the last request of each class that was first.
    turns: BTreeMap<Class, u64>,
    last_ticket: u64,
}

impl FairQueue {
    /// Adds a request.
    pub fn push(&mut self, request: &Request, now: Moment) -> FairTicket {
        self.last_ticket += 1;
        let ticket = FairTicket(self.last_ticket);
        let latest_start = latest_start(request);
        let class = Class {
            priority: request.priority,
            is_late: !is_timely(request, now),
        };
        let flow = request.flow();
        let rank = Rank {
            class,
            turn: self.take_turn(class, flow),
            objective: request.objective,
            ticket,
        };
        let waiting = Waiting {
            rank,
            flow,
            latest_start,
            deadline: request.deadline,
            yields_until: yield_end(now, request.deadline),
        };
        self.insert(ticket, waiting);
        ticket
    }

    fn insert(&mut self, ticket: FairTicket, waiting: Waiting) {
        if !waiting.rank.class.is_late {
            self.timely.insert((waiting.latest_start, ticket));
        }
        self.order.insert(waiting.rank);
        self.waiting.insert(ticket, waiting);
    }

    /// Gives the flow's next request a turn; a flow has one request in each turn.
    fn take_turn(&mut self, class: Class, flow: FlowKey) -> u64 {
        let current = self.turns.get(&class).copied().unwrap_or_default();
        let backlog = self.backlogs.entry((class, flow)).or_default();
        let turn = backlog.next_turn.max(current);
        backlog.waiting += 1;
        backlog.next_turn = turn + 1;
        turn
    }

    /// Removes a request that is placed or refused; `was_first` tells whether it was first.
    pub fn remove(&mut self, ticket: FairTicket, was_first: bool) {
        let rank = self.take(ticket).map(|waiting| waiting.rank);
        if let Some(rank) = rank.filter(|_| was_first) {
            let turn = self.turns.entry(rank.class).or_default();
            *turn = rank.turn.max(*turn);
        }
    }

    fn take(&mut self, ticket: FairTicket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&waiting.rank);
        self.timely.remove(&(waiting.latest_start, ticket));
        self.leave(waiting.rank.class, waiting.flow);
        Some(waiting)
    }

    fn leave(&mut self, class: Class, flow: FlowKey) {
        if let Some(backlog) = self.backlogs.get_mut(&(class, flow)) {
            backlog.waiting -= 1;
            if backlog.waiting == 0 {
                self.backlogs.remove(&(class, flow));
            }
        }
    }

    /// Moves requests that can no longer be in time behind those that can.
    pub fn advance(&mut self, now: Moment) {
        while let Some((latest_start, ticket)) = self.timely.first().copied()
            && latest_start < now
        {
            let Some(mut late) = self.take(ticket) else {
                return;
            };
            late.rank.class.is_late = true;
            late.rank.turn = self.take_turn(late.rank.class, late.flow);
            late.yields_until = yield_end(now, late.deadline);
            self.insert(ticket, late);
        }
    }

    /// Returns the first request, which may probe; those of flows that are held are left out.
    ///
    /// `is_held` tells whether a flow is held at a priority.
    pub fn first(&self, is_held: &dyn Fn(u32, FlowKey) -> bool) -> Option<FairTicket> {
        let may_go = |rank: &&Rank| {
            let waiting = self.waiting.get(&rank.ticket);
            waiting.is_some_and(|w| !is_held(rank.class.priority, w.flow))
        };
        self.order.iter().find(may_go).map(|rank| rank.ticket)
    }

    /// Returns how long a request of a held flow waits until its credit at `credit_in`,
    /// `None` if it can't wait any longer and be in time.
    pub fn holds_for(
        &self,
        ticket: FairTicket,
        credit_in: Duration,
        now: Moment,
    ) -> Option<Duration> {
        let waiting = self.waiting.get(&ticket)?;
        let left = now.until(waiting.latest_start);
        let left = left.saturating_sub(DECISION_TIME);
        (left > Duration::ZERO).then(|| left.min(credit_in))
    }

    /// Returns how long a late request yields, `None` if it may be placed now.
    ///
    /// `is_contended` tells that requests in time wait at other hosts. A request yields for
    /// a part of its remaining time only, and may then take what is free or be refused.
    pub fn yields_for(
        &self,
        ticket: FairTicket,
        is_contended: bool,
        now: Moment,
    ) -> Option<Duration> {
        let waiting = self.waiting.get(&ticket)?;
        let yields = waiting.rank.class.is_late && (is_contended || self.has_timely());
        let left = now.until(waiting.yields_until);
        (yields && left > Duration::ZERO).then_some(left)
    }

    /// Returns whether a request waits that can still be in time.
    pub fn has_timely(&self) -> bool {
        !self.timely.is_empty()
    }

    /// Returns the number of waiting requests that can still be in time.
    pub fn timely(&self) -> usize {
        self.timely.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns whether a request that starts now can be in time.
pub fn is_timely(request: &Request, now: Moment) -> bool {
    now <= latest_start(request)
}

/// Returns the last moment at which a request can start and still be in time.
fn latest_start(request: &Request) -> Moment {
    request.objective - request.service_time.mul_f64(SERVICE_TIME_MARGIN)
}

fn yield_end(now: Moment, deadline: Moment) -> Moment {
    now + now.until(deadline).mul_f64(YIELD_FRACTION)
}
