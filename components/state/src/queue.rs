//! The queue of calls at an entry host that wait for a slot of one service.

use std::collections::VecDeque;
use std::time::Duration;

use derives::{key, value};

use crate::keys::EndpointKey;
use crate::moment::Moment;

/// Identifies a call within one entry host.
#[key]
pub struct CallKey(pub u64);

/// A call that waits for a slot.
#[value]
pub struct WaitingCall {
    /// The call.
    pub call: CallKey,
    /// The time of arrival.
    pub arrived: Moment,
    /// The time after which an answer is useless.
    pub deadline: Moment,
    /// Endpoints on which the call has failed already.
    pub tried: Vec<EndpointKey>,
}

/// The calls that wait for one service, oldest first.
///
/// The length is bounded, so that a flood of calls uses only limited memory and waiting
/// time. Each service has its own queue, so that a flood for one service delays no other.
#[value]
pub struct Queue {
    limit: usize,
    calls: VecDeque<WaitingCall>,
    earliest_deadline: Moment,
}

/// The number of calls examined for one free slot; examining more would cost more than
/// the slot is worth.
const SCAN_LIMIT: usize = 16;

impl Queue {
    /// Returns an empty queue of at most `limit` calls.
    pub fn new(limit: usize) -> Queue {
        Queue {
            limit,
            calls: VecDeque::new(),
            earliest_deadline: Moment(u64::MAX),
        }
    }

    /// Changes the limit; calls already waiting stay.
    pub fn resize(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether no further call may be added.
    pub fn is_full(&self) -> bool {
        self.calls.len() >= self.limit
    }

    /// Returns how long the oldest call has waited.
    pub fn oldest(&self, now: Moment) -> Duration {
        self.calls
            .front()
            .map_or(Duration::ZERO, |w| now.since(w.arrived))
    }

    /// Appends a call.
    pub fn push(&mut self, waiting: WaitingCall) {
        self.earliest_deadline = self.earliest_deadline.min(waiting.deadline);
        self.calls.push_back(waiting);
    }

    /// Puts back a call that was taken but could not be started.
    pub fn push_front(&mut self, waiting: WaitingCall) {
        self.earliest_deadline = self.earliest_deadline.min(waiting.deadline);
        self.calls.push_front(waiting);
    }

    /// Takes the oldest call that may use a slot of `endpoint`.
    pub fn take(&mut self, endpoint: EndpointKey) -> Option<WaitingCall> {
        let index = self
            .calls
            .iter()
            .take(SCAN_LIMIT)
            .position(|w| !w.tried.contains(&endpoint))?;
        self.calls.remove(index)
    }

    /// Removes a call whose caller has disconnected.
    pub fn cancel(&mut self, call: CallKey) -> bool {
        let index = self.calls.iter().position(|w| w.call == call);
        index.and_then(|i| self.calls.remove(i)).is_some()
    }

    /// Removes and returns the calls whose deadline has passed.
    ///
    /// Does no work until the earliest deadline is reached.
    pub fn expire(&mut self, now: Moment) -> Vec<WaitingCall> {
        if self.earliest_deadline > now {
            return Vec::new();
        }
        let (late, rest): (Vec<_>, Vec<_>) = self.calls.drain(..).partition(|w| w.deadline <= now);
        self.calls = rest.into();
        self.earliest_deadline = self
            .calls
            .iter()
            .map(|w| w.deadline)
            .min()
            .unwrap_or(Moment(u64::MAX));
        late
    }

    /// Removes and returns all calls.
    pub fn clear(&mut self) -> Vec<WaitingCall> {
        self.earliest_deadline = Moment(u64::MAX);
        self.calls.drain(..).collect()
    }
}
