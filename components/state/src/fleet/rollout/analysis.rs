//! Decides from the evidence whether a new version is bad.
//!
//! A cumulative sum (CUSUM, Page 1954) for each route, and one over all: each answer of
//! the new version lowers the sum by what is tolerated, a bad one raises it by one, and
//! the sum never falls below zero. A version that turns bad late is thus found as soon as
//! one that was bad from the start. What the old version shows in the same seconds is
//! tolerated too, so that noise that hits both versions is no reason to go back.

use std::time::Duration;

use super::evidence::{CELLS, Evidence, Tally};
use crate::Moment;

/// The fraction of bad answers that is tolerated above the baseline's.
///
/// With [`THRESHOLD`], a version with a quarter of bad answers is found after 33 answers,
/// one with half after 13 (medians).
const TOLERANCE: f64 = 0.1;

/// The factor on the baseline's fraction of bad answers.
///
/// Hosts avoid endpoints of the old version that fail; those of the new one they have
/// hardly tried yet.
const BASELINE_FACTOR: f64 = 1.5;

/// The sum from which a version is bad.
const THRESHOLD: f64 = 5.0;

/// The times over which the baseline is averaged, as time constants of its decay.
///
/// The larger of the two averages counts: the short one follows a burst of noise at once,
/// the long one keeps to it while its last requests end.
const BASELINE_TIMES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_500)];

/// The number of good answers that a baseline is assumed to begin with.
const BASELINE_PRIOR: f64 = 20.0;

/// The number of answers of the new version without which nothing is known of it.
const MIN_ANSWERS: u32 = 12;

/// The fraction of the expected answers of the new version without which little is known.
const MIN_EXPECTED: f64 = 0.5;

/// What the evidence says of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Too few answers.
    Unknown,
    /// No sign of a fault.
    Good,
    /// Worse than the baseline.
    Bad,
}

/// The analysis of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct Analysis {
    seen: Evidence,
    updated: Moment,
    /// When the first answer of the new version was taken in.
    first: Option<Moment>,
    /// One for each route's cell, and one over all.
    sums: [RouteSum; CELLS + 1],
    bad: bool,
}

/// A decaying average of the old version's answers.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    answers: f64,
    bad: f64,
}

impl Baseline {
    fn add(&mut self, old: Tally, age: Duration, time: Duration) {
        let kept = (-age.as_secs_f64() / time.as_secs_f64()).exp();
        self.answers = self.answers * kept + f64::from(old.answers);
        self.bad = self.bad * kept + f64::from(old.bad);
    }

    fn fraction(&self) -> f64 {
        self.bad / (self.answers + BASELINE_PRIOR)
    }
}

/// The cumulative sum and the baseline of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteSum {
    sum: f64,
    baselines: [Baseline; BASELINE_TIMES.len()],
}

impl RouteSum {
    /// Takes in the answers of the time since the last ones, which is `age`.
    fn add(&mut self, new: Tally, old: Tally, age: Duration) {
        for (baseline, time) in self.baselines.iter_mut().zip(BASELINE_TIMES) {
            baseline.add(old, age, time);
        }
        let tolerated = TOLERANCE + BASELINE_FACTOR * self.baseline();
        let change = f64::from(new.bad) - f64::from(new.answers) * tolerated;
        self.sum = (self.sum + change).max(0.0);
    }

    /// Returns the fraction of bad answers of the old version lately.
    fn baseline(&self) -> f64 {
        let fractions = self.baselines.iter().map(Baseline::fraction);
        fractions.fold(0.0, f64::max)
    }
}

impl Analysis {
    /// Takes in the evidence gathered so far, over all known hosts.
    pub fn update(&mut self, total: &Evidence, now: Moment) {
        let total = total.max(&self.seen);
        let added = total.since(&self.seen);
        let age = now.since(self.updated);
        let sum = |tallies: &[Tally]| Tally {
            answers: tallies.iter().map(|t| t.answers).sum(),
            bad: tallies.iter().map(|t| t.bad).sum(),
        };
        for cell in 0..CELLS {
            self.sums[cell].add(added.new[cell], added.old[cell], age);
        }
        self.sums[CELLS].add(sum(&added.new), sum(&added.old), age);
        self.bad |= self.sums.iter().any(|s| s.sum >= THRESHOLD);
        self.seen = total;
        self.updated = now;
        if total.new_answers() > 0 {
            self.first.get_or_insert(now);
        }
    }

    /// Returns what the evidence says so far; a version that was found bad stays bad.
    ///
    /// A version isn't good before its first answer is `observation` old and the answers are
    /// as many as the canary should bring: `expected` is their number for each answer of the
    /// old version. After a failure of many hosts a fault may not have shown yet.
    pub fn assessment(&self, expected: f64, observation: Duration, now: Moment) -> Assessment {
        let new = self.seen.new_answers();
        let enough = f64::from(self.seen.old_total().answers) * expected * MIN_EXPECTED;
        let is_observed = self.first.is_some_and(|at| now.since(at) >= observation);
        match new {
            _ if self.bad => Assessment::Bad,
            _ if new < MIN_ANSWERS || f64::from(new) < enough => Assessment::Unknown,
            _ if !is_observed => Assessment::Unknown,
            _ => Assessment::Good,
        }
    }

    /// Returns the answers of the old version per second lately.
    pub fn old_rate(&self) -> f64 {
        let baselines = self.sums[CELLS].baselines.iter().zip(BASELINE_TIMES);
        let rates = baselines.map(|(b, time)| b.answers / time.as_secs_f64());
        rates.fold(0.0, f64::max)
    }

    /// Returns the evidence taken in so far.
    pub fn evidence(&self) -> &Evidence {
        &self.seen
    }

    /// Returns the largest sum, and the fraction of bad answers of the old version lately,
    /// for the log.
    pub fn figures(&self) -> (f64, f64) {
        let largest = self.sums.iter().map(|s| s.sum).fold(0.0, f64::max);
        (largest, self.sums[CELLS].baseline())
    }
}
