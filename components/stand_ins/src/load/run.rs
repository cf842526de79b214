//! Sends the calls of a plan at their times, independent of their results (open loop).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::caller::{Call, Caller, Target};
use super::experiment::Experiment;
use super::plan::{Plan, PlannedCall};
use super::report::Sample;
use crate::history::Outcome;

const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Sends the calls of a plan.
#[derive(Clone)]
pub struct LoadGenerator {
    /// The experiment that describes the calls.
    pub experiment: Arc<Experiment>,
    /// The plan with the times of the calls.
    pub plan: Arc<Plan>,
    /// The targets of the calls, at least one.
    pub targets: Arc<Vec<Target>>,
    /// The caller that sends the calls.
    pub caller: Caller,
    /// The number of the first call.
    pub first: u64,
    /// Stops the sending of further calls once it is true.
    pub stop: Arc<AtomicBool>,
}

impl LoadGenerator {
    /// Sends all calls and returns the result of each.
    ///
    /// The sender never waits for an answer (open loop), so that a slow system
    /// gets no fewer calls.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, or if there is no target.
    pub async fn run(self) -> Vec<Sample> {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let pacer = Pacer {
            load: self,
            sender,
            runtime: Handle::current(),
        };
        // Calls are paced on a separate thread because the runtime's timers have a resolution of
        // 1 ms.
        let pacing = thread::spawn(move || pacer.pace());
        let mut samples = Vec::new();
        while let Some(sample) = receiver.recv().await {
            samples.push(sample);
        }
        pacing
            .join()
            .expect("the pacer panics only if a task can't be spawned");
        samples.sort_by_key(|s: &Sample| s.call);
        samples
    }
}

/// Returns the actual duration of each call's work, or the planned one if it isn't known.
pub fn work_times(plan: &Plan, samples: &[Sample]) -> Vec<Duration> {
    let mut work: Vec<Duration> = plan.calls.iter().map(|c| c.work).collect();
    for sample in samples {
        if let Some(took) = sample.work {
            work[sample.call] = took;
        }
    }
    work
}

struct Pacer {
    load: LoadGenerator,
    sender: mpsc::UnboundedSender<Sample>,
    runtime: Handle,
}

impl Pacer {
    fn pace(self) {
        let start = Instant::now();
        let pacer = Arc::new(self);
        for (number, planned) in pacer.load.plan.calls.iter().enumerate() {
            let due = start + planned.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if pacer.load.stop.load(Ordering::SeqCst) {
                return;
            }
            let pacer = Arc::clone(&pacer);
            pacer.runtime.clone().spawn(async move {
                pacer.send(number, due).await;
            });
        }
    }

    async fn send(&self, number: usize, due: Instant) {
        let planned = &self.load.plan.calls[number];
        let call = self.load.call(number, planned);
        let lag = due.elapsed();
        let target = self.load.target(planned.entry);
        let reply = self.load.caller.call(target, &call).await;
        let sample = Sample {
            call: number,
            outcome: reply.outcome,
            latency: due.elapsed(),
            lag,
            work: reply.work.filter(|_| reply.outcome == Outcome::Complete),
            why: reply.why,
        };
        // The receiver is dropped only after all senders.
        let _ = self.sender.send(sample);
    }
}

impl LoadGenerator {
    /// Returns the planned entry host, or the next one that the balancer sends calls to.
    fn target(&self, entry: usize) -> &Target {
        let count = self.targets.len();
        (0..count)
            .map(|i| &self.targets[(entry + i) % count])
            .find(|t| t.is_up())
            .unwrap_or(&self.targets[entry % count])
    }

    fn call(&self, number: usize, planned: &PlannedCall) -> Call {
        let flow = &self.experiment.flows[planned.flow];
        let deadline = self
            .experiment
            .deployment
            .service(&flow.service)
            .map_or(DEFAULT_DEADLINE_MS, |s| s.deadline_ms);
        let number = self.first + number as u64;
        let repeats = planned.repeats.map(|n| self.first + n as u64);
        let key = repeats.unwrap_or(number);
        let work_ms = planned.work.as_secs_f64() * 1_000.0;
        let (service, size) = (&flow.service, flow.size);
        Call {
            number,
            method: flow.method.clone(),
            path: format!("/{service}/work?work-ms={work_ms:.3}&size={size}"),
            key: flow.keyed.then(|| format!("key-{key}")),
            repeats,
            deadline: Duration::from_millis(deadline),
            size,
        }
    }
}
