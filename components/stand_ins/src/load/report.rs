//! The figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::value;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::experiment::Experiment;
use super::limit::Ideal;
use super::plan::Plan;
use crate::history::Outcome;

/// The longest time that is recorded, in microseconds (1 hour); longer times count as this.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant decimal digits of each recorded time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of one call of a plan.
#[value]
pub struct Sample {
    /// The call's number in the plan.
    pub call: usize,
    /// The outcome that the caller observed.
    pub outcome: Outcome,
    /// The time from the planned start to the end of the call.
    ///
    /// Measuring from the planned start avoids coordinated omission: a late sender can't hide a
    /// wait.
    pub latency: Duration,
    /// How much later than planned the call was sent.
    pub lag: Duration,
    /// The duration of the work, if known.
    pub work: Option<Duration>,
    /// The text of a refusal or failure; empty for a complete answer.
    pub why: String,
}

/// The figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The name of the entry hosts' policy.
    pub policy: String,
    /// The experiment's seed.
    pub seed: u64,
    /// The figures of all calls after the warm-up.
    pub all: Figures,
    /// The figures of each flow, by its number and service.
    pub flows: BTreeMap<String, Figures>,
    /// The lateness of the load tool itself in sending calls.
    pub lag: Quantiles,
}

/// The figures of a set of calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Figures {
    /// Calls sent.
    pub calls: u64,
    /// Calls answered completely.
    pub complete: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls answered with an unknown outcome.
    pub unknown: u64,
    /// Calls whose connection broke.
    pub broken: u64,
    /// Calls for which no connection could be opened.
    pub unreachable: u64,
    /// Calls answered completely per second.
    pub goodput: f64,
    /// Time from the planned start to the end of a complete answer.
    pub latency: Quantiles,
    /// Latency minus the duration of the work.
    pub wait: Quantiles,
    /// Time from the planned start to a refusal.
    pub refusal: Quantiles,
    /// Latency at the limit.
    pub limit_latency: Quantiles,
    /// Wait at the limit.
    pub limit_wait: Quantiles,
    /// Calls that could not meet their deadline at the limit.
    pub limit_refused: u64,
}

/// Quantiles of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// A histogram of durations.
pub struct TimeHistogram(Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
        TimeHistogram(histogram.expect("the histogram's bounds are valid"))
    }
}

impl TimeHistogram {
    /// Adds one duration.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the quantile for `fraction`, from 0 to 1, in milliseconds.
    pub fn quantile(&self, fraction: f64) -> f64 {
        self.0.value_at_quantile(fraction) as f64 / 1_000.0
    }

    /// Returns the main quantiles.
    pub fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50: self.quantile(0.5),
            p90: self.quantile(0.9),
            p99: self.quantile(0.99),
            p999: self.quantile(0.999),
            max: self.0.max() as f64 / 1_000.0,
        }
    }
}

/// The distributions behind [`Figures`].
#[derive(Default)]
pub struct Distributions {
    /// Latency of complete answers.
    pub latency: TimeHistogram,
    /// Latency of complete answers without the work.
    pub wait: TimeHistogram,
    /// Time to a refusal.
    pub refusal: TimeHistogram,
    /// Latency at the limit.
    pub limit_latency: TimeHistogram,
    /// Latency at the limit without the work.
    pub limit_wait: TimeHistogram,
    counts: Figures,
}

impl Distributions {
    /// Adds one call and its result at the limit.
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

    /// Returns the figures; `seconds` is the time over which the calls were sent.
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
    /// Computes the figures of a run; `ideals` is indexed by call number.
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
        let mut lag = TimeHistogram::default();
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
