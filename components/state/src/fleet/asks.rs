//! How often this host may ask endpoints how they do.

use std::time::Duration;

use crate::Moment;

/// The share of the granted questions that hosts save up.
///
/// The rest is for what hosts ask before they know their share, and for endpoints
/// that have left since they were counted.
const SAFETY: f64 = 0.8;

/// How long a host may save up what it doesn't use.
///
/// The bound holds over a day. Bursts last a few seconds, and are what asking is
/// for: a host that asks fifty times a second on average needs 500 then. With ten
/// seconds saved, requests placed unasked were late, and more was lost than by
/// asking (0.02 of what the heaviest day earns).
const SAVED: Duration = Duration::from_secs(60);

/// Questions that a host may ask before it knows its share.
///
/// It learns its share seconds after its start, and is asked for answers before.
const FIRST: f64 = 1_000.0;

/// This host's part of the questions that endpoints are to be asked.
///
/// Made for overload: hundreds of requests wait at all hosts, and each question
/// takes time that endpoints need for answers. The bound holds for the sum over
/// all hosts, so each takes its share of it, whatever the number of hosts.
#[derive(Clone, Debug)]
pub struct AskBudget {
    saved: f64,
    filled: Moment,
}

impl AskBudget {
    /// Returns the budget of a host that started at `now`.
    pub fn new(now: Moment) -> AskBudget {
        AskBudget {
            saved: FIRST,
            filled: now,
        }
    }

    /// Takes in what is granted by now.
    ///
    /// `rate` is how many questions a second one endpoint may get from all hosts
    /// together, `endpoints` how many there are, `share` this host's part of all
    /// hosts, 0 to 1.
    pub fn fill(&mut self, rate: f64, endpoints: usize, share: f64, now: Moment) {
        let mine = rate * endpoints as f64 * share * SAFETY;
        let most = FIRST + mine * SAVED.as_secs_f64();
        let earned = mine * now.since(self.filled).as_secs_f64();
        self.saved = (self.saved + earned).min(most);
        self.filled = now;
    }

    /// Returns whether a question may be asked.
    pub fn is_left(&self) -> bool {
        self.saved >= 1.0
    }

    /// Counts a question.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
