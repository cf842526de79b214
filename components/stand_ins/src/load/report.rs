//! What a run came to, in figures.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::value;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::experiment::Experiment;
use super::limit::Ideal;
use super::plan::Plan;
use crate::history::Outcome;

/// Longer times count as this long: an hour.
const LONGEST_MICROS: u64 = 3_600_000_000;
/// Significant digits of each time.
const DIGITS: u8 = 3;

/// What became of one call of a plan.
#[value]
pub struct Sample {
    /// Its number.
    pub call: usize,
    /// What the caller was told.
    pub outcome: Outcome,
    /// From its intended start until its end: a late sender can't hide a wait.
    pub latency: Duration,
    /// How much later than intended it was sent.
    pub lag: Duration,
    /// The time its work took.
    pub work: Option<Duration>,
    /// The line that says why it was not answered whole.
    pub why: String,
}

/// The figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The entry hosts' policy.
    pub policy: String,
    /// The experiment's seed.
    pub seed: u64,
    /// All calls after the warm-up.
    pub all: Figures,
    /// The same for each flow, by its number and service.
    pub flows: BTreeMap<String, Figures>,
    /// The lateness of the load tool itself in sending.
    pub lag: Quantiles,
}

/// The figures of some calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Figures {
    /// Calls sent.
    pub calls: u64,
    /// Answered whole.
    pub complete: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Answered as unknown.
    pub unknown: u64,
    /// Broken off.
    pub broken: u64,
    /// No connection.
    pub unreachable: u64,
    /// Calls answered whole a second.
    pub goodput: f64,
    /// Of whole answers, from the intended start.
    pub latency: Quantiles,
    /// The same without the time of the work.
    pub wait: Quantiles,
    /// From the intended start until the refusal.
    pub refusal: Quantiles,
    /// Latency at the limit.
    pub limit_latency: Quantiles,
    /// Wait at the limit.
    pub limit_wait: Quantiles,
    /// Calls that the limit could not serve in time.
    pub limit_refused: u64,
}

/// Points of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// 90 in 100 are at most this.
    pub p90: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// 999 in 1,000 are at most this.
    pub p999: f64,
    /// The greatest.
    pub max: f64,
}

/// A distribution of times.
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_MICROS, DIGITS);
        Times(histogram.expect("the bounds are allowed"))
    }
}

impl Times {
    /// Adds one time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the time, in milliseconds, that this share of all doesn't exceed.
    pub fn at(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1_000.0
    }

    /// Returns its main points.
    pub fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50: self.at(0.5),
            p90: self.at(0.9),
            p99: self.at(0.99),
            p999: self.at(0.999),
            max: self.0.max() as f64 / 1_000.0,
        }
    }
}

/// The distributions behind [`Figures`].
#[derive(Default)]
pub struct Distributions {
    /// Of whole answers.
    pub latency: Times,
    /// Of whole answers, without the work.
    pub wait: Times,
    /// Of refusals.
    pub refusal: Times,
    /// At the limit.
    pub limit_latency: Times,
    /// At the limit, without the work.
    pub limit_wait: Times,
    counts: Figures,
}

impl Distributions {
    /// Adds one call and what the limit makes of it.
    pub fn add(&mut self, sample: &Sample, ideal: &Ideal) {
        self.counts.calls += 1;
        match sample.outcome {
            Outcome::Complete => {
                self.counts.complete += 1;
                self.latency.add(sample.latency);
                let work = sample.work.unwrap_or_default();
                self.wait.add(sample.latency.saturating_sub(work));
            }
            Outcome::NotRun => {
                self.counts.refused += 1;
                self.refusal.add(sample.latency);
            }
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::Broken => self.counts.broken += 1,
            Outcome::Unreachable => self.counts.unreachable += 1,
        }
        match ideal.latency {
            Some(latency) => {
                self.limit_latency.add(latency);
                self.limit_wait.add(ideal.wait);
            }
            None => self.counts.limit_refused += 1,
        }
    }

    /// Returns the figures over `seconds`.
    pub fn figures(&self, seconds: f64) -> Figures {
        Figures {
            goodput: self.counts.complete as f64 / seconds,
            latency: self.latency.quantiles(),
            wait: self.wait.quantiles(),
            refusal: self.refusal.quantiles(),
            limit_latency: self.limit_latency.quantiles(),
            limit_wait: self.limit_wait.quantiles(),
            ..self.counts.clone()
        }
    }
}

impl Report {
    /// Works out the figures of a run; `ideals` is by call number.
    pub fn of(
        experiment: &Experiment,
        policy: &str,
        plan: &Plan,
        samples: &[Sample],
        ideals: &[Ideal],
    ) -> Report {
        let warm = Duration::from_secs(experiment.warm_up);
        let seconds = experiment.seconds.saturating_sub(experiment.warm_up) as f64;
        let mut all = Distributions::default();
        let mut flows: BTreeMap<String, Distributions> = BTreeMap::new();
        let mut lag = Times::default();
        for sample in samples {
            let planned = &plan.calls[sample.call];
            if planned.at < warm {
                continue;
            }
            let ideal = &ideals[sample.call];
            let service = &experiment.flows[planned.flow].service;
            all.add(sample, ideal);
            flows
                .entry(format!("{} {service}", planned.flow))
                .or_default()
                .add(sample, ideal);
            lag.add(sample.lag);
        }
        Report {
            experiment: experiment.name.clone(),
            policy: policy.to_owned(),
            seed: experiment.seed,
            all: all.figures(seconds),
            flows: flows
                .iter()
                .map(|(name, d)| (name.clone(), d.figures(seconds)))
                .collect(),
            lag: lag.quantiles(),
        }
    }
}
