//! Limits the retries of requests within a time window, over all hosts together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// The fraction of the granted retries that hosts use.
///
/// Hosts don't cut their windows at the same moments as the platform, and count a request
/// when they read it rather than when it was sent.
const USED_FRACTION: f64 = 0.85;

/// The bounds set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The number of retries granted for each request.
    pub ratio: f64,
    /// The number of retries granted besides, in each window and to all hosts together.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The retries that this host may still send to one service.
///
/// Without a bound, a service that fails under load would get each failed request a
/// second time, and the retries would keep it down. The bound applies to all hosts
/// together without any communication between them: each host takes the ratio of its own
/// requests and its share of the slack, which add up to the bound.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    bounds: RetryBounds,
    started: Moment,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl WindowedRetryBudget {
    /// Returns the budget of a host that started at `started`.
    pub fn new(bounds: RetryBounds, started: Moment) -> WindowedRetryBudget {
        WindowedRetryBudget {
            bounds,
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets new bounds; retries sent before still count.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a caller's request.
    pub fn count(&mut self, now: Moment) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Decides whether a request may be sent again, and counts the retry if so.
    ///
    /// `share` is this host's share of all hosts, 0 to 1.
    pub fn take(&mut self, share: f64, now: Moment) -> bool {
        self.drop_expired(now);
        let earned = self.requests.len() as f64 * self.bounds.ratio;
        let slack = match now.since(self.started) < self.bounds.window {
            // A restarted host doesn't know what it sent before. If all hosts were killed
            // at once, the slack would be spent twice.
            true => 0.0,
            false => self.bounds.slack * share,
        };
        let allowed = (self.retries.len() as f64) + 1.0 <= (earned + slack) * USED_FRACTION;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn drop_expired(&mut self, now: Moment) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|t| now.since(*t) >= self.bounds.window)
            {
                times.pop_front();
            }
        }
    }
}
