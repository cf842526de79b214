//! Limits how often a host probes endpoints, and lends unused probes to neighbours.

use std::time::Duration;

use crate::Moment;

/// The fraction of the granted probes that hosts use.
///
/// The rest covers endpoints that have left since they were counted, and what is earned before
/// callers arrive.
const USED_FRACTION: f64 = 0.86;

/// The longest time for which unused probes are saved.
///
/// The limit is defined over a whole day, while probes are needed in bursts of a few
/// seconds: a host that sends 50 probes a second on average needs 500 then.
const MAX_SAVED: Duration = Duration::from_secs(60);

/// The number of probes that a host may send in advance when its whole site starts.
///
/// A host learns its share seconds after its start, and receives requests before that.
const INITIAL_PROBES: f64 = 1_000.0;

/// The probes that a host doesn't lend, as time at its rate.
const LENDING_RESERVE: Duration = Duration::from_secs(4);

/// The level below which a host borrows probes, as time at its rate.
const BORROW_THRESHOLD: Duration = Duration::from_secs(1);

/// The interval between two requests to borrow, each to another neighbour.
const BORROW_INTERVAL: Duration = Duration::from_millis(50);

/// The probes that this host may send: a token bucket filled by its share of the limit.
///
/// The limit matters under overload: hundreds of requests wait at all hosts, and each
/// probe takes time that endpoints need for answers. The limit applies to all hosts
/// together, so each host uses its share of it, whatever the number of hosts.
///
/// Callers are spread unevenly over hosts, so some hosts have probes left that others
/// lack. Hosts lend probes to each other. A lender gives up what it lends, so the total
/// never grows, and it shrinks if a message is lost.
///
/// A restarted host has none: what it had saved before is lost, and what it had spent is
/// forgotten. So hosts that are killed again and again send no more than others.
#[derive(Clone, Debug)]
pub struct HostProbeBudget {
    saved: f64,
    /// The probes granted in advance, until this host knows its share.
    advance: f64,
    /// The host's rate in probes per second; none until the host knows its share.
    granted_rate: Option<f64>,
    refilled_at: Moment,
    borrowing: BorrowState,
}

/// The state of a host's requests to borrow.
#[derive(Clone, Debug, Default)]
struct BorrowState {
    /// The id of the last request to borrow; its answer carries the same id.
    request_id: u32,
    /// The time from which the next neighbour may be asked to lend.
    next_request: Option<Moment>,
    /// Whether the last request is unanswered.
    unanswered: bool,
}

impl HostProbeBudget {
    /// Returns the budget of a host that started at `now` together with its whole site.
    pub fn new(now: Moment) -> HostProbeBudget {
        HostProbeBudget {
            saved: INITIAL_PROBES,
            advance: INITIAL_PROBES,
            granted_rate: None,
            refilled_at: now,
            borrowing: BorrowState::default(),
        }
    }

    /// Returns the budget of a single host that restarted at `now`.
    pub fn restarted(now: Moment) -> HostProbeBudget {
        HostProbeBudget {
            saved: 0.0,
            advance: 0.0,
            ..HostProbeBudget::new(now)
        }
    }

    /// Adds the probes earned since the last call.
    ///
    /// `rate` is the number of probes per second that one endpoint accepts from all hosts
    /// together, `endpoints` the number of endpoints, and `share` this host's share of
    /// all hosts from 0 to 1, which is 0 while unknown.
    pub fn refill(&mut self, rate: f64, endpoints: usize, share: f64, now: Moment) {
        let own_rate = rate * endpoints as f64 * share * USED_FRACTION;
        if own_rate > 0.0 {
            self.saved -= std::mem::take(&mut self.advance);
        }
        let known = (own_rate > 0.0).then_some(own_rate);
        self.granted_rate = known.or(self.granted_rate);
        let max_saved = match self.granted_rate {
            Some(granted_rate) => granted_rate * MAX_SAVED.as_secs_f64(),
            None => self.advance,
        };
        let earned = own_rate * now.since(self.refilled_at).as_secs_f64();
        // Borrowed probes may exceed the limit on saved ones.
        self.saved = (self.saved + earned).min(max_saved.max(self.saved));
        self.refilled_at = now;
    }

    /// Returns whether a probe may be sent.
    pub fn is_available(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes one probe from the budget.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }

    /// Returns the id of a new request to borrow, if the budget is low and a request is
    /// due.
    pub fn borrow(&mut self, now: Moment) -> Option<u32> {
        let low = self.granted_rate? * BORROW_THRESHOLD.as_secs_f64();
        let waits = self
            .borrowing
            .next_request
            .is_some_and(|next_request| now < next_request);
        if self.saved >= low || waits {
            return None;
        }
        self.borrowing.request_id = self.borrowing.request_id.wrapping_add(1);
        self.borrowing.next_request = Some(now + BORROW_INTERVAL);
        self.borrowing.unanswered = true;
        Some(self.borrowing.request_id)
    }

    /// Takes half of the probes that this host can spare from the budget, to lend them.
    pub fn lend(&mut self) -> u32 {
        let Some(granted_rate) = self.granted_rate else {
            return 0;
        };
        let reserve = granted_rate * LENDING_RESERVE.as_secs_f64();
        let spare = (self.saved - reserve).max(0.0) / 2.0;
        let lent = spare as u32;
        self.saved -= f64::from(lent);
        lent
    }

    /// Adds the probes that a neighbour lends in answer to the request with this id.
    ///
    /// Each request is answered once, so a duplicated datagram counts once.
    pub fn receive_loan(&mut self, request_id: u32, probes: u32) {
        if self.borrowing.unanswered && request_id == self.borrowing.request_id {
            self.borrowing.unanswered = false;
            self.saved += f64::from(probes);
        }
    }
}
