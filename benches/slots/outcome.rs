//! The measured results of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::scenario::{Job, Scenario};
use crate::simulation::LOAD_START;

/// Records measurements during a run; times in microseconds.
pub struct Meter {
    capacity: u32,
    hosts: usize,
    waiting: u32,
    running: u32,
    peak: u32,
    idle: u64,
    waits: Histogram<u64>,
    totals: Histogram<u64>,
    refused: u64,
    done: u64,
    last: u64,
    refusals: Histogram<u64>,
    /// Messages between hosts.
    pub messages: u64,
    /// Messages by kind.
    pub kinds: BTreeMap<&'static str, u64>,
    /// Bytes of the messages between hosts, with the frames' length prefixes.
    pub bytes: u64,
    /// Probes sent, since the start of the simulation.
    pub probes: u64,
}

/// The results of a run; times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Waits at p50, p99 and p99.9.
    pub wait: [f64; 3],
    /// Times from arrival to answer at p50, p99 and p99.9.
    pub total: [f64; 3],
    /// Slot time that was idle while a call waited, in percent of all slot time.
    pub idle: f64,
    /// Refused calls, in percent.
    pub refused: f64,
    /// The time from arrival to refusal at p99.
    pub refusal_p99: f64,
    /// Work of answered calls, in percent of all slot time.
    pub goodput: f64,
    /// The most calls at one endpoint at once.
    pub peak: u32,
    /// Messages a second from each host.
    pub messages: f64,
    /// Messages a second from each host, by kind.
    pub kinds: BTreeMap<&'static str, f64>,
    /// Bytes of messages a second from each host.
    pub bytes: f64,
    /// Processor time of a step of a host's slot manager, in nanoseconds; 0 for baselines.
    pub step_nanos: f64,
    /// Processor time of a host's slot manager a second, as a fraction of a core; 0 for baselines.
    pub cpu: f64,
}

impl Meter {
    /// Returns a meter without measurements.
    pub fn new(scenario: &Scenario) -> Meter {
        let histogram =
            || Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid");
        Meter {
            capacity: scenario.capacity(),
            hosts: scenario.hosts,
            waiting: 0,
            running: 0,
            peak: 0,
            idle: 0,
            waits: histogram(),
            totals: histogram(),
            refused: 0,
            done: 0,
            last: 0,
            refusals: histogram(),
            messages: 0,
            kinds: BTreeMap::new(),
            bytes: 0,
            probes: 0,
        }
    }

    /// Adds the slot time from `from` to `to` that is idle while calls wait.
    ///
    /// The numbers of running and waiting calls must not have changed in between.
    pub fn advance(&mut self, from: u64, to: u64) {
        let idle = self.capacity.saturating_sub(self.running);
        self.idle += u64::from(idle.min(self.waiting)) * (to - from);
    }

    /// Records an arrival.
    pub fn arrive(&mut self) {
        self.waiting += 1;
    }

    /// Records the start of a call at an endpoint that now runs `busy` calls.
    pub fn start(&mut self, job: &Job, now: u64, busy: u32) {
        self.waiting -= 1;
        self.running += 1;
        self.peak = self.peak.max(busy);
        self.waits.saturating_record(now - LOAD_START - job.at);
    }

    /// Records an answered call.
    pub fn end(&mut self, _call: usize, job: &Job, now: u64) {
        self.running -= 1;
        self.done += job.work;
        self.last = now;
        self.totals.saturating_record(now - LOAD_START - job.at);
    }

    /// Records a refused call.
    pub fn refuse(&mut self, job: &Job, now: u64) {
        self.waiting -= 1;
        self.refused += 1;
        self.refusals.saturating_record(now - LOAD_START - job.at);
    }

    /// Returns the results of a run that took `span` microseconds.
    pub fn finish(&self, span: u64) -> Outcome {
        let seconds = span as f64 / 1e6;
        let calls = (self.totals.len() + self.refused).max(1) as f64;
        let slot_time = f64::from(self.capacity) * span as f64;
        let hosts = self.hosts as f64;
        Outcome {
            wait: quantiles(&self.waits),
            total: quantiles(&self.totals),
            idle: 100.0 * self.idle as f64 / slot_time,
            refused: 100.0 * self.refused as f64 / calls,
            refusal_p99: self.refusals.value_at_quantile(0.99) as f64 / 1e3,
            goodput: 100.0 * self.done as f64 / slot_time,
            peak: self.peak,
            messages: self.messages as f64 / seconds / hosts,
            kinds: self
                .kinds
                .iter()
                .map(|(kind, n)| (*kind, *n as f64 / seconds / hosts))
                .collect(),
            bytes: self.bytes as f64 / seconds / hosts,
            step_nanos: 0.0,
            cpu: 0.0,
        }
    }
}

/// Returns p50, p99 and p99.9 in milliseconds.
fn quantiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.99, 0.999].map(|q| histogram.value_at_quantile(q) as f64 / 1e3)
}
