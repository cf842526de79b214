//! Decides whether a failed call may be retried.

use derives::tag;

/// The maximum number of saved retries.
///
/// Enough for all calls in flight to one endpoint at the moment it fails, and few enough
/// that a service that is down altogether gets hardly more than its own load.
const MAX_SAVED_RETRIES: u64 = 20;

/// The cost of one retry; budgets are counted in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// How an attempt failed.
#[tag]
pub enum Failure {
    /// The call was not sent, or the backend server reports that it was not run.
    NotRun,
    /// The call may have run.
    MayHaveRun,
}

/// The properties of a call whose attempt failed.
#[tag]
pub struct Attempt {
    /// How the attempt failed.
    pub failure: Failure,
    /// Whether running the call twice is harmless (RFC 9110, section 9.2.2).
    pub idempotent: bool,
    /// Whether the whole body can be sent again.
    pub replayable: bool,
    /// Whether the deadline has passed.
    pub expired: bool,
}

/// The remaining retries of one service.
///
/// Without a budget, each call of a backend server that fails under load would come back
/// as two, the other servers would fail in turn, and the retries would keep the service
/// down. Each call earns a fraction of a retry, so that retries never add more than that
/// fraction to the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            saved: MAX_SAVED_RETRIES * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Adds the fraction earned by one call, `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + u64::from(percent)).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Decides whether the call may be retried, and takes the retry from the budget.
    ///
    /// A call that may have run is retried only if that is harmless: a deposit sent twice
    /// would be booked twice.
    pub fn allow(&mut self, attempt: Attempt) -> bool {
        let safe = attempt.failure == Failure::NotRun || attempt.idempotent;
        match self.saved {
            _ if attempt.expired || !attempt.replayable || !safe => false,
            0..RETRY_COST => false,
            saved => {
                self.saved = saved - RETRY_COST;
                true
            }
        }
    }
}
