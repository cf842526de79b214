//! Counts the requests that were still unanswered at their route's timeout.

use std::sync::Mutex;
use std::time::Duration;

use crate::record::{Record, lock};

/// How long after its route's timeout a request must have its final answer, as the rule says.
const SLACK: Duration = Duration::from_millis(500);

/// The rule needs this many requests.
const MIN_COUNT: u64 = 8;

/// The requests of a run, by how long they were without a whole answer.
#[derive(Default)]
pub struct Tally {
    counts: Mutex<(u64, u64, u64)>,
}

impl Tally {
    /// Counts a request that was sent at once, and answered after this time if at all.
    pub fn note(&self, timeout: Duration, answered: Option<Duration>) {
        let longer = |limit: Duration| u64::from(answered.is_none_or(|time| time > limit));
        let mut counts = lock(&self.counts);
        counts.0 += 1;
        counts.1 += longer(timeout);
        counts.2 += longer(timeout + SLACK);
    }

    /// Returns whether the rule was broken, by both of its sentences: of the requests that were
    /// unanswered at their timeout, more than half, and eight or more, had no answer half a
    /// second later.
    pub fn judge(&self, record: &Record, what: &str) -> bool {
        let (all, late, lost) = *lock(&self.counts);
        let broken = lost >= MIN_COUNT && lost * 2 > late;
        record.say(&format!(
            "{what}: sent={all} unanswered_at_timeout={late} unanswered_half_a_second_later={lost} \
             broken={broken}"
        ));
        broken
    }
}
