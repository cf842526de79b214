//! What requests met at one endpoint, and whether it is to be avoided.

use std::time::Duration;

use derives::tag;

use crate::Moment;

/// How a request at an endpoint ended, as far as it speaks of the endpoint.
#[tag]
pub enum Outcome {
    /// A whole answer, good or not, made by the endpoint in about the usual time.
    Answered,
    /// A whole answer that took several times as long as the endpoint's look promised.
    Slow,
    /// An answer of the server's own failure (5xx).
    Failed,
    /// The request was rejected without being run.
    Shed,
    /// No connection could be had, or it broke, or its bytes made no sense.
    Broken,
    /// No answer in time.
    Silent,
}

/// What one host's requests met at one endpoint.
///
/// Made for endpoints whose health check lies, that fail a part of their
/// requests, hang, or go down and up by turns. Their own word can't be relied
/// on, so a host judges by its own outcomes: each failure weighs, and each good
/// answer halves what has gathered.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassiveHealth {
    badness: f64,
    avoid_until: Option<Moment>,
    spells: u32,
}

/// The badness from which an endpoint is avoided.
///
/// Two failures in a row, or one where no connection could be had. One failed
/// answer in 250 is usual and must not cost a service an endpoint.
const LIMIT: f64 = 1.5;

/// How long an endpoint is avoided at first.
///
/// Crashed endpoints come back after a few seconds; a trial a second finds
/// them soon and costs one request in a hundred of a host.
const SPELL: Duration = Duration::from_millis(1_000);

/// How many times a spell may double: 1 s, 2 s, 4 s.
const SPELLS: u32 = 2;

impl Outcome {
    fn weight(self) -> f64 {
        match self {
            Outcome::Answered => 0.0,
            Outcome::Shed => 0.5,
            Outcome::Slow => 0.75,
            Outcome::Failed => 1.0,
            Outcome::Broken | Outcome::Silent => 1.5,
        }
    }
}

impl PassiveHealth {
    /// Takes in one outcome.
    ///
    /// `shedding` is the share of requests that endpoints of its service shed all
    /// together: what all do speaks against none of them.
    pub fn note(&mut self, outcome: Outcome, shedding: f64, now: Moment) {
        if outcome == Outcome::Answered {
            self.badness /= 2.0;
            if !self.is_avoided(now) && self.badness < 0.2 {
                self.spells = 0;
            }
            return;
        }
        self.badness += match outcome {
            Outcome::Shed => outcome.weight() * (1.0 - shedding),
            _ => outcome.weight(),
        };
        if self.badness < LIMIT {
            return;
        }
        let spell = SPELL * 2u32.pow(self.spells.min(SPELLS));
        self.avoid_until = Some(now + spell);
        self.spells += 1;
        // One more failure after the spell avoids it again at once.
        self.badness = LIMIT / 2.0;
    }

    /// Returns whether it is avoided while others can be had.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}

/// How much of a service's requests its endpoints shed, as one host sees it.
///
/// Made for a service of which every endpoint rejects a part of its requests.
/// Judged each by itself, most of them would be avoided, and the few that are left
/// get all requests until they are full.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedRate {
    share: f64,
}

/// The weight of one outcome in the share: twenty settle it.
const WEIGHT: f64 = 0.05;

impl ShedRate {
    /// Takes in one outcome.
    pub fn note(&mut self, outcome: Outcome) {
        let shed = f64::from(u8::from(outcome == Outcome::Shed));
        self.share += (shed - self.share) * WEIGHT;
    }

    /// Returns the share, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
