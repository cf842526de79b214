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

/// What a host counted at a service since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Callers' requests.
    pub requests: u32,
    /// Retries that were charged.
    pub charged: u32,
    /// Requests sent again without a charge, since they had reached no endpoint.
    pub uncharged: u32,
    /// Retries that the budget didn't allow.
    pub turned_down: u32,
}

/// The state of a host's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryReport {
    /// What was counted since the last report.
    pub counts: RetryCounts,
    /// The charged retries of the last window.
    pub in_window: usize,
    /// The retries granted for the requests of the last window.
    pub earned: f64,
    /// The retries granted besides.
    pub slack: f64,
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
    counts: RetryCounts,
}

impl WindowedRetryBudget {
    /// Returns the budget of a host that started at `started`.
    pub fn new(bounds: RetryBounds, started: Moment) -> WindowedRetryBudget {
        WindowedRetryBudget {
            bounds,
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            counts: RetryCounts::default(),
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
        self.counts.requests += 1;
    }

    /// Counts a request that is sent again though it isn't charged.
    pub fn note_uncharged(&mut self) {
        self.counts.uncharged += 1;
    }

    /// Decides whether a request may be sent again, and counts the retry if so.
    ///
    /// `share` is this host's share of all hosts, 0 to 1.
    pub fn take(&mut self, share: f64, now: Moment) -> bool {
        self.drop_expired(now);
        let granted = self.earned() + self.slack(share, now);
        let allowed = (self.retries.len() as f64) + 1.0 <= granted * USED_FRACTION;
        if allowed {
            self.retries.push_back(now);
            self.counts.charged += 1;
        } else {
            self.counts.turned_down += 1;
        }
        allowed
    }

    /// Returns the state of the budget and starts the counts anew; `None` if no request was
    /// to be sent again.
    pub fn report(&mut self, share: f64, now: Moment) -> Option<RetryReport> {
        let RetryCounts {
            charged,
            uncharged,
            turned_down,
            ..
        } = self.counts;
        if charged + uncharged + turned_down == 0 {
            return None;
        }
        self.drop_expired(now);
        Some(RetryReport {
            counts: std::mem::take(&mut self.counts),
            in_window: self.retries.len(),
            earned: self.earned() * USED_FRACTION,
            slack: self.slack(share, now) * USED_FRACTION,
        })
    }

    fn earned(&self) -> f64 {
        self.requests.len() as f64 * self.bounds.ratio
    }

    fn slack(&self, share: f64, now: Moment) -> f64 {
        match now.since(self.started) < self.bounds.window {
            // A restarted host doesn't know what it sent before. If all hosts were killed
            // at once, the slack would be spent twice.
            true => 0.0,
            false => self.bounds.slack * share,
        }
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
