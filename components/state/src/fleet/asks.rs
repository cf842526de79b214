//! How often this host may ask endpoints how they do.

use std::time::Duration;

use crate::Moment;

/// The share of the granted questions that hosts save up.
///
/// The rest is for endpoints that have left since they were counted, and for hosts
/// that estimate their share too high before they know it.
const SAFETY: f64 = 0.8;

/// How long a host may save up what it doesn't use.
///
/// The bound holds over a day. Bursts last a few seconds, and are what asking is
/// for: a host that asks fifty times a second on average needs 500 then. With ten
/// seconds saved, requests placed unasked were late, and more was lost than by
/// asking (0.02 of what the heaviest day earns).
const SAVED: Duration = Duration::from_secs(60);

/// How much of what it will be granted a host may use at its start, ahead of time.
///
/// It has saved nothing yet, and is asked for answers at once.
const ADVANCE: Duration = Duration::from_secs(10);

/// By when a host has paid that back.
///
/// Were the advance a gift, a day shorter than a minute, or one on which hosts are
/// started again, would see the bound broken under a flood.
const PAID_BACK: Duration = Duration::from_secs(30);

/// This host's part of the questions that endpoints are to be asked.
///
/// Made for overload: hundreds of requests wait at all hosts, and each question
/// takes time that endpoints need for answers. The bound holds for the sum over
/// all hosts, so each takes its share of it, whatever the number of hosts.
#[derive(Clone, Debug)]
pub struct AskBudget {
    /// Questions saved, below nought where some were asked ahead of time.
    saved: f64,
    /// How many may be asked ahead of time now.
    advance: f64,
    started: Moment,
    filled: Moment,
}

impl AskBudget {
    /// Returns the budget of a host that started at `now`.
    pub fn new(now: Moment) -> AskBudget {
        AskBudget {
            saved: 0.0,
            advance: 0.0,
            started: now,
            filled: now,
        }
    }

    /// Takes in what is granted by now.
    ///
    /// `rate` is how many questions a second one endpoint may get from all hosts
    /// together, `endpoints` how many there are, `share` this host's part of all
    /// hosts, 0 to 1, or what it takes for that until it knows.
    pub fn fill(&mut self, rate: f64, endpoints: usize, share: f64, now: Moment) {
        let mine = rate * endpoints as f64 * share * SAFETY;
        let most = mine * SAVED.as_secs_f64();
        let paid = now.since(self.started).as_secs_f64() / PAID_BACK.as_secs_f64();
        self.advance = mine * ADVANCE.as_secs_f64() * (1.0 - paid).max(0.0);
        let earned = mine * now.since(self.filled).as_secs_f64();
        self.saved = (self.saved + earned).min(most);
        self.filled = now;
    }

    /// Returns whether a question may be asked.
    pub fn is_left(&self) -> bool {
        self.saved + self.advance >= 1.0
    }

    /// Counts a question.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
