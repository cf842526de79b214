//! Decides whether a failed call may be tried again.

use derives::tag;

/// Retries that may be saved up, in whole calls.
///
/// Enough for the calls in flight to one endpoint when it goes, and little
/// enough that a service which is down altogether sees hardly more than its
/// own load.
const SAVED_RETRIES: u64 = 20;

/// A hundredth of a retry, the unit the budget is counted in.
const WHOLE: u64 = 100;

/// How an attempt failed.
#[tag]
pub enum Failure {
    /// Nothing of it was sent, or the backend server says that it did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// What is known of a call whose attempt failed.
#[tag]
pub struct Attempt {
    /// How it failed.
    pub failure: Failure,
    /// Whether running it twice does no harm (RFC 9110, section 9.2.2).
    pub idempotent: bool,
    /// Whether its whole body can be sent again.
    pub replayable: bool,
    /// Whether its deadline has passed.
    pub expired: bool,
}

/// The retries that one service has left.
///
/// Made for a backend server that fails under load. Without a budget each of
/// its calls would come back as two, the rest would fail in turn, and the
/// retries would keep down what they were meant to help. Each call earns a
/// share of a retry, so that retries never add more than that share.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            saved: SAVED_RETRIES * WHOLE,
        }
    }
}

impl RetryBudget {
    /// Earns what one call adds, `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + u64::from(percent)).min(SAVED_RETRIES * WHOLE);
    }

    /// Decides whether the call may be tried again, and pays for it.
    ///
    /// A call that may have run is only repeated where that does no harm: a
    /// deposit sent twice is a deposit taken twice.
    pub fn allow(&mut self, attempt: Attempt) -> bool {
        let safe = attempt.failure == Failure::NotRun || attempt.idempotent;
        match self.saved {
            _ if attempt.expired || !attempt.replayable || !safe => false,
            0..WHOLE => false,
            saved => {
                self.saved = saved - WHOLE;
                true
            }
        }
    }
}
