//! Limits the retries of requests within a time window, over all hosts together.

/// The fraction of the granted ratio that hosts use.
///
/// A host counts a request when it reads it, which may be in a later window than the one in
/// which the request was sent, and a retry takes time to arrive.
const USED_FRACTION: f64 = 0.9;

/// The bounds set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The number of retries granted for each request.
    pub ratio: f64,
    /// The number of retries granted besides, in each window and to all hosts together.
    pub slack: f64,
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
    /// The retries that may be sent now.
    pub left: f64,
    /// The most that may be saved.
    pub capacity: f64,
}

/// What a host knows of its part of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostPart {
    /// This host's share of all hosts, 0 to 1; 0 while unknown.
    pub share: f64,
    /// The number of all hosts.
    pub hosts: usize,
}

/// The retries that this host may still send to one service: a token bucket.
///
/// Without a bound, a service that fails under load would get each failed request a
/// second time, and the retries would keep it down. The bound applies to all hosts
/// together without any communication between them. Each request adds the ratio to the
/// bucket of the host that receives it, and all buckets together hold no more than the slack.
/// So the retries within a window come from the requests of the same window, or from what the
/// buckets held when it began: hosts may be killed and start with an empty bucket, and callers
/// may move between hosts, but nothing that one host has spent is earned by another one.
#[derive(Clone, Debug)]
pub struct HostRetryBudget {
    bounds: RetryBounds,
    tokens: f64,
    counts: RetryCounts,
}

impl HostRetryBudget {
    /// Returns the budget of a host that starts together with its whole site.
    pub fn new(bounds: RetryBounds) -> HostRetryBudget {
        HostRetryBudget {
            bounds,
            tokens: bounds.slack,
            counts: RetryCounts::default(),
        }
    }

    /// Returns the budget of a host that starts while others run, or after others have run.
    pub fn restarted(bounds: RetryBounds) -> HostRetryBudget {
        HostRetryBudget {
            tokens: 0.0,
            ..HostRetryBudget::new(bounds)
        }
    }

    /// Sets new bounds.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a caller's request.
    pub fn count(&mut self, part: HostPart) {
        self.counts.requests += 1;
        self.tokens += self.bounds.ratio * USED_FRACTION;
        self.tokens = self.tokens.min(self.capacity(part));
    }

    /// Counts a request that is sent again though it isn't charged.
    pub fn note_uncharged(&mut self) {
        self.counts.uncharged += 1;
    }

    /// Decides whether a request may be sent again, and counts the retry if so.
    pub fn take(&mut self, part: HostPart) -> bool {
        self.tokens = self.tokens.min(self.capacity(part));
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
            self.counts.charged += 1;
        } else {
            self.counts.turned_down += 1;
        }
        allowed
    }

    /// Returns the state of the budget and starts the counts anew; `None` if no request was
    /// to be sent again.
    pub fn report(&mut self, part: HostPart) -> Option<RetryReport> {
        let RetryCounts {
            charged,
            uncharged,
            turned_down,
            ..
        } = self.counts;
        if charged + uncharged + turned_down == 0 {
            return None;
        }
        Some(RetryReport {
            counts: std::mem::take(&mut self.counts),
            left: self.tokens,
            capacity: self.capacity(part),
        })
    }

    /// Returns the most that the bucket of a host with this part may hold.
    ///
    /// A bucket that holds less than one token never allows a retry, so each host has one,
    /// also while it doesn't know its share; the rest of the slack is shared.
    fn capacity(&self, part: HostPart) -> f64 {
        let shared = self.bounds.slack - part.hosts as f64;
        1.0 + shared.max(0.0) * part.share
    }
}
