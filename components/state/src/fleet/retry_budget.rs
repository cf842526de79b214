//! How often requests may be sent a second time, over all hosts together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// The share of the granted repeats that hosts use.
///
/// Hosts cut their windows at other moments than the platform, and count a
/// request when they read it rather than when it was sent.
const SAFETY: f64 = 0.85;

/// The bounds that operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats granted for each request.
    pub ratio: f64,
    /// Repeats granted to all hosts together besides, in each window.
    pub slack: f64,
    /// The window's length.
    pub window: Duration,
}

/// The repeats that this host may still send to one service.
///
/// Made for a service that fails under load: without a bound its requests would
/// come back as two and keep down what they were meant to help. The bound holds
/// for the sum over all hosts, yet no host asks another: each takes the ratio
/// of its own requests and its share of the slack, and such parts add up to the
/// whole whatever the hosts know of each other.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    bounds: RetryBounds,
    began: Moment,
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl WindowedRetryBudget {
    /// Returns the budget of a host that started at `began`.
    pub fn new(bounds: RetryBounds, began: Moment) -> WindowedRetryBudget {
        WindowedRetryBudget {
            bounds,
            began,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Sets what operators grant from now on; what was sent before still counts.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a caller's request.
    pub fn count(&mut self, now: Moment) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Decides whether a request may be sent again, and counts it if so.
    ///
    /// `share` is this host's part of all hosts, 0 to 1.
    pub fn take(&mut self, share: f64, now: Moment) -> bool {
        self.forget(now);
        let earned = self.requests.len() as f64 * self.bounds.ratio;
        let slack = match now.since(self.began) < self.bounds.window {
            // A host that was just restarted doesn't know what it sent before;
            // with all hosts killed at once the slack would be spent twice.
            true => 0.0,
            false => self.bounds.slack * share,
        };
        let allowed = (self.repeats.len() as f64) + 1.0 <= (earned + slack) * SAFETY;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn forget(&mut self, now: Moment) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|t| now.since(*t) >= self.bounds.window)
            {
                times.pop_front();
            }
        }
    }
}
