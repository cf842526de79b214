//! Passive health checks: the outcomes of requests, and whether an endpoint is avoided.

use std::time::Duration;

use derives::tag;

use crate::Moment;

/// The outcome of a request, as far as it shows the endpoint's health.
#[tag]
pub enum Outcome {
    /// A complete answer from the endpoint, of any status but 5xx, in about the usual
    /// time.
    Answered,
    /// A complete answer that took several times as long as the load sample predicted.
    Slow,
    /// An answer with the server's own failure (5xx).
    Failed,
    /// A rejection without running the request.
    Shed,
    /// No connection, a broken connection, or bytes that could not be parsed.
    Broken,
    /// No answer in time.
    Silent,
}

/// The outcomes of one host's requests at one endpoint.
///
/// Some endpoints fail a part of their requests, hang, or go down and come back
/// repeatedly while their health checks are good. A host therefore judges an endpoint by
/// the outcomes of its own requests: each failure adds to a score, and each good answer
/// halves it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassiveHealth {
    failure_score: f64,
    avoid_until: Option<Moment>,
    avoidances: u32,
    /// Until when the endpoint is avoided because other hosts reported it.
    hinted_until: Option<Moment>,
    answered_at: Option<Moment>,
}

/// The score from which an endpoint is avoided.
///
/// Reached by two failures in a row, or by a single failure to connect. One failed answer
/// in 250 is usual and must not take an endpoint out of use.
const AVOIDANCE_SCORE: f64 = 1.5;

/// How long an endpoint is avoided the first time.
///
/// Crashed endpoints come back after a few seconds. One trial per second finds them soon
/// and costs a host one request in a hundred.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(1_000);

/// How often the time may double: 1 s, 2 s, 4 s.
const MAX_DOUBLINGS: u32 = 2;

impl Outcome {
    fn penalty(self) -> f64 {
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
    /// Records an outcome.
    ///
    /// `shed_rate` is the fraction of requests that all endpoints of the service together
    /// shed, 0 to 1. Shedding as much as the others doesn't count against an endpoint.
    pub fn note(&mut self, outcome: Outcome, shed_rate: f64, now: Moment) {
        if outcome == Outcome::Answered {
            self.note_answer(now);
            self.failure_score /= 2.0;
            if !self.is_failing(now) && self.failure_score < 0.2 {
                self.avoidances = 0;
            }
            return;
        }
        self.failure_score += match outcome {
            Outcome::Shed => outcome.penalty() * (1.0 - shed_rate),
            _ => outcome.penalty(),
        };
        if self.failure_score < AVOIDANCE_SCORE {
            return;
        }
        let avoidance = FIRST_AVOIDANCE * 2u32.pow(self.avoidances.min(MAX_DOUBLINGS));
        self.avoid_until = Some(now + avoidance);
        self.avoidances += 1;
        // One more failure after this time avoids the endpoint again at once.
        self.failure_score = AVOIDANCE_SCORE / 2.0;
    }

    /// Returns whether the endpoint is avoided as long as there are others.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.is_failing(now) || self.is_hinted(now)
    }

    /// Returns whether the endpoint is avoided for what this host has seen itself.
    pub fn is_failing(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint is avoided because other hosts reported it.
    pub fn is_hinted(&self, now: Moment) -> bool {
        self.hinted_until.is_some_and(|until| now < until)
    }

    /// Returns when the endpoint last gave this host a good answer.
    pub fn answered_at(&self) -> Option<Moment> {
        self.answered_at
    }

    /// Notes a good answer to a request or a probe, which outweighs other hosts' reports.
    pub(super) fn note_answer(&mut self, now: Moment) {
        self.answered_at = Some(now);
        self.hinted_until = None;
    }

    /// Avoids the endpoint until then because other hosts reported it.
    pub(super) fn hint(&mut self, until: Moment) {
        self.hinted_until = Some(until);
    }

    /// Ends an avoidance because of other hosts' reports.
    pub(super) fn release_hint(&mut self) {
        self.hinted_until = None;
    }
}

/// The fraction of a service's requests that its endpoints shed, as seen by one host.
///
/// If every endpoint of a service rejects a part of its requests, judging each endpoint
/// by itself would avoid most of them, and the remaining few would get all requests until
/// they are full.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedRate {
    rate: f64,
}

/// The weight of one outcome in the running mean, which settles after twenty outcomes.
const MEAN_WEIGHT: f64 = 0.05;

impl ShedRate {
    /// Records an outcome.
    pub fn note(&mut self, outcome: Outcome) {
        let shed = f64::from(u8::from(outcome == Outcome::Shed));
        self.rate += (shed - self.rate) * MEAN_WEIGHT;
    }

    /// Returns the fraction of shed requests, 0 to 1.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
