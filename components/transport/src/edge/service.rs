//! The edge's state of each service: its retry budget and its metrics.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use metrics::{Counter, Histogram, counter, histogram};
use state::ServiceKey;
use state::retry::{Attempt, RetryBudget};

use super::outcome::Outcome;

/// The state of each service that has been called so far.
#[derive(Default)]
pub struct Services {
    all: Mutex<BTreeMap<ServiceKey, Arc<ServiceState>>>,
}

/// The retry budget and the metrics of one service.
pub struct ServiceState {
    budget: Mutex<RetryBudget>,
    complete: Counter,
    not_run: Counter,
    unknown: Counter,
    cut: Counter,
    retries: Counter,
    seconds: Histogram,
}

impl Services {
    /// Returns the state of a service of the preset in force, created on first use.
    ///
    /// Callers can't make the map grow, since only names from a preset are looked up.
    pub fn get(&self, key: ServiceKey, name: &str) -> Arc<ServiceState> {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let state = all
            .entry(key)
            .or_insert_with(|| Arc::new(ServiceState::new(name)));
        Arc::clone(state)
    }
}

impl ServiceState {
    fn new(name: &str) -> ServiceState {
        let calls = |outcome: Outcome| counter!("cardamomvale_calls_total", "service" => name.to_owned(), "outcome" => outcome.name());
        ServiceState {
            budget: Mutex::default(),
            complete: calls(Outcome::Complete),
            not_run: calls(Outcome::NotRun),
            unknown: calls(Outcome::Unknown),
            cut: counter!("cardamomvale_answers_cut_total", "service" => name.to_owned()),
            retries: counter!("cardamomvale_retries_total", "service" => name.to_owned()),
            seconds: histogram!("cardamomvale_call_seconds", "service" => name.to_owned()),
        }
    }

    /// Counts a call by its outcome, and records the time to the head of its answer.
    pub fn count_call(&self, outcome: Outcome, time: Duration) {
        match outcome {
            Outcome::Complete => self.complete.increment(1),
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
        }
        self.seconds.record(time.as_secs_f64());
    }

    /// Counts an answer that was truncated after its head had been sent.
    pub fn count_cut(&self) {
        self.cut.increment(1);
    }

    /// Adds `percent` hundredths of a retry to the budget, for one new call.
    pub fn earn_retry(&self, percent: u32) {
        self.budget().earn(percent);
    }

    /// Decides whether a call may be retried, and counts the retry if so.
    pub fn allow_retry(&self, attempt: Attempt) -> bool {
        let allowed = self.budget().allow(attempt);
        if allowed {
            self.retries.increment(1);
        }
        allowed
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
