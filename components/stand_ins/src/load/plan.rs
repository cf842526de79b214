//! The plan of calls and their times, which depends only on the experiment and its seed.

use std::time::Duration;

use derives::value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::experiment::{Experiment, Flow, Work};

/// All calls of an experiment, sorted by time.
#[value]
#[derive(Default)]
pub struct Plan {
    /// The calls; a call's number is its index.
    pub calls: Vec<PlannedCall>,
}

/// One planned call.
#[value]
pub struct PlannedCall {
    /// The time to send the call, from the start of the run.
    pub at: Duration,
    /// The index of the call's flow, from 0.
    pub flow: usize,
    /// The index of the entry host that receives the call, from 0.
    pub entry: usize,
    /// The duration of the work.
    pub work: Duration,
    /// The number of the earlier call that is repeated, with the same key and work.
    pub repeats: Option<usize>,
}

impl Plan {
    /// Draws the plan of `experiment`.
    pub fn draw(experiment: &Experiment) -> Plan {
        let mut calls = Vec::new();
        for (number, flow) in experiment.flows.iter().enumerate() {
            let seed = experiment.seed ^ (number as u64) << 32;
            let mut random = SmallRng::seed_from_u64(seed);
            calls.extend(draw_flow(experiment, number, flow, &mut random));
        }
        calls.sort_by_key(|call: &PlannedCall| call.at);
        let mut random = SmallRng::seed_from_u64(!experiment.seed);
        repeat(&mut calls, &experiment.flows, &mut random);
        Plan { calls }
    }
}

/// Draws Poisson arrivals by thinning: candidates arrive at the highest rate of all bursts, and
/// each is kept with the probability (current rate / highest rate).
fn draw_flow(
    experiment: &Experiment,
    number: usize,
    flow: &Flow,
    random: &mut SmallRng,
) -> Vec<PlannedCall> {
    let rate = experiment.rate(flow);
    let peak = flow.bursts.iter().map(|b| b.factor).fold(1.0, f64::max);
    let hosts = experiment.deployment.entry_hosts as usize;
    let end = experiment.seconds as f64;
    let mut calls = Vec::new();
    let mut at = exponential(1.0 / (rate * peak), random);
    while at < end {
        let factor = factor_at(flow, at);
        if random.random_bool((factor / peak).clamp(0.0, 1.0)) {
            let entry = match random.random_bool(flow.skew) {
                true => 0,
                false => random.random_range(0..hosts),
            };
            calls.push(PlannedCall {
                at: Duration::from_secs_f64(at),
                flow: number,
                entry,
                work: draw_work(flow.work, random),
                repeats: None,
            });
        }
        at += exponential(1.0 / (rate * peak), random);
    }
    calls
}

/// Turns some keyed calls into repeats of the last new call of their flow.
fn repeat(calls: &mut [PlannedCall], flows: &[Flow], random: &mut SmallRng) {
    let mut last = vec![None; flows.len()];
    for number in 0..calls.len() {
        let flow = calls[number].flow;
        let is_repeat = flows[flow].keyed && random.random_bool(flows[flow].repeats);
        match last[flow] {
            Some(first) if is_repeat => {
                calls[number].repeats = Some(first);
                calls[number].work = calls[first].work;
            }
            _ => last[flow] = Some(number),
        }
    }
}

fn factor_at(flow: &Flow, at: f64) -> f64 {
    let ms = (at * 1_000.0) as u64;
    flow.bursts
        .iter()
        .find(|b| (b.at_ms..b.at_ms + b.for_ms).contains(&ms))
        .map_or(1.0, |b| b.factor)
}

fn draw_work(work: Work, random: &mut SmallRng) -> Duration {
    let ms = match work {
        Work::Fixed(ms) => ms,
        Work::Exponential(mean) => exponential(mean, random),
        Work::Mixed {
            long_ms,
            long_share,
            ..
        } if random.random_bool(long_share) => long_ms,
        Work::Mixed { short_ms, .. } => short_ms,
    };
    Duration::from_secs_f64(ms / 1_000.0)
}

fn exponential(mean: f64, random: &mut SmallRng) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}
