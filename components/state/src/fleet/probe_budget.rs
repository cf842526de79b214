//! How often this host may ask endpoints how they do, and what it lends to others.

use std::time::Duration;

use crate::Moment;

/// The share of the granted questions that hosts save up.
///
/// The rest is for what hosts ask before they know their share, and for endpoints
/// that have left since they were counted.
const SAFETY: f64 = 0.8;

/// How long a host may save up what it doesn't use.
///
/// The bound holds over a day. Bursts last a few seconds, and are what asking is
/// for: a host that asks fifty times a second on average needs 500 then.
const SAVED: Duration = Duration::from_secs(60);

/// Questions that a host may ask before it knows its share.
///
/// It learns its share seconds after its start, and is asked for answers before.
const FIRST: f64 = 1_000.0;

/// How much of its share a host has saved when its whole site starts.
///
/// Together with `SAFETY` it keeps the bound on a day of less than a minute that
/// starts into a flood.
const START: Duration = Duration::from_secs(4);

/// How much of its share a host has saved that starts again.
///
/// Its former life may have saved more, which is lost.
const RESTART: Duration = Duration::from_secs(10);

/// How much of its share a host keeps for itself when neighbours borrow.
const RESERVE: Duration = Duration::from_secs(4);

/// Below how much of its share a host borrows.
const LOW: Duration = Duration::from_secs(1);

/// How long a host waits before it asks the next neighbour for questions.
const BORROW_PAUSE: Duration = Duration::from_millis(50);

/// This host's part of the questions that endpoints are to be asked.
///
/// Made for overload: hundreds of requests wait at all hosts, and each question
/// takes time that endpoints need for answers. The bound holds for the sum over
/// all hosts, so each takes its share of it, whatever the number of hosts.
///
/// Callers are dealt to hosts unevenly, so some have questions left that others
/// lack. They lend them to each other: what one gives away it has no more, so
/// the sum stays the same, and is smaller where a message gets lost.
#[derive(Clone, Debug)]
pub struct HostProbeBudget {
    saved: f64,
    /// How much of its share it has saved to begin with.
    start: Duration,
    /// Questions a second that this host is granted, none until it knows its share.
    granted: Option<f64>,
    filled: Moment,
    loan: Loan,
}

/// What this host wants to borrow.
#[derive(Clone, Debug, Default)]
struct Loan {
    /// The number of the last request, which its answer bears.
    number: u32,
    /// When the next neighbour may be asked.
    due: Option<Moment>,
    /// Whether the last request is unanswered.
    open: bool,
}

impl HostProbeBudget {
    /// Returns the budget of a host that started at `now`, with its whole site.
    pub fn new(now: Moment) -> HostProbeBudget {
        HostProbeBudget {
            saved: FIRST,
            start: START,
            granted: None,
            filled: now,
            loan: Loan::default(),
        }
    }

    /// Returns the budget of a host that started again at `now`.
    pub fn restarted(now: Moment) -> HostProbeBudget {
        HostProbeBudget {
            start: RESTART,
            ..HostProbeBudget::new(now)
        }
    }

    /// Takes in what is granted by now.
    ///
    /// `rate` is how many questions a second one endpoint may get from all hosts
    /// together, `endpoints` how many there are, `share` this host's part of all
    /// hosts, 0 to 1, nought until it knows.
    pub fn refill(&mut self, rate: f64, endpoints: usize, share: f64, now: Moment) {
        let mine = rate * endpoints as f64 * share * SAFETY;
        if self.granted.is_none() && mine > 0.0 {
            self.saved += mine * self.start.as_secs_f64() - FIRST;
        }
        let known = (mine > 0.0).then_some(mine);
        self.granted = known.or(self.granted);
        let most = match self.granted {
            Some(granted) => granted * SAVED.as_secs_f64(),
            None => FIRST,
        };
        let earned = mine * now.since(self.filled).as_secs_f64();
        // What was borrowed may exceed it.
        self.saved = (self.saved + earned).min(most.max(self.saved));
        self.filled = now;
    }

    /// Returns whether a question may be asked.
    pub fn is_available(&self) -> bool {
        self.saved >= 1.0
    }

    /// Counts a question.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }

    /// Returns the number of a request to borrow, where it is time for one.
    pub fn borrow(&mut self, now: Moment) -> Option<u32> {
        let low = self.granted? * LOW.as_secs_f64();
        let waits = self.loan.due.is_some_and(|due| now < due);
        if self.saved >= low || waits {
            return None;
        }
        self.loan.number = self.loan.number.wrapping_add(1);
        self.loan.due = Some(now + BORROW_PAUSE);
        self.loan.open = true;
        Some(self.loan.number)
    }

    /// Gives away half of what this host can spare.
    pub fn lend(&mut self) -> u32 {
        let Some(granted) = self.granted else {
            return 0;
        };
        let reserve = granted * RESERVE.as_secs_f64();
        let spare = (self.saved - reserve).max(0.0) / 2.0;
        let lent = spare as u32;
        self.saved -= f64::from(lent);
        lent
    }

    /// Takes in what a neighbour lends in answer to the request with this number.
    ///
    /// Each request is answered once: a datagram that comes twice counts once.
    pub fn receive_loan(&mut self, number: u32, questions: u32) {
        if self.loan.open && number == self.loan.number {
            self.loan.open = false;
            self.saved += f64::from(questions);
        }
    }
}
