//! The limit: a simulated single queue before all slots of a service, with perfect knowledge.
//!
//! It serves calls first come, first served over all slots, without network or control traffic.
//! A policy that doesn't know the duration of a call's work can't be expected to do
//! better on average, so policies are compared with this limit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use derives::value;

use super::experiment::{Action, Experiment};
use super::plan::Plan;

/// The result of one call at the limit.
#[value]
pub struct Ideal {
    /// The time from arrival to answer; `None` if the deadline could not be met.
    pub latency: Option<Duration>,
    /// The time from arrival to the start of the work.
    pub wait: Duration,
}

/// Computes the limit for each call of `plan`; `work` is the actual duration of each.
///
/// # Panics
///
/// Panics if the experiment would not pass the checks of [`Experiment::parse`].
pub fn limit(experiment: &Experiment, plan: &Plan, work: &[Duration]) -> Vec<Ideal> {
    let mut queues: BTreeMap<&str, Queue> = experiment
        .deployment
        .services
        .iter()
        .map(|s| (s.name.as_str(), Queue::new(experiment, &s.name)))
        .collect();
    plan.calls
        .iter()
        .zip(work)
        .map(|(call, work)| {
            let service = experiment.flows[call.flow].service.as_str();
            let queue = queues
                .get_mut(service)
                .expect("the experiment names its services");
            queue.serve(call.at, *work)
        })
        .collect()
}

/// The slots of one service, ordered by the time at which each becomes free.
struct Queue {
    free: BinaryHeap<Reverse<(Duration, usize)>>,
    /// For each slot, the intervals in which it must not be used.
    unusable: Vec<Vec<(Duration, Duration)>>,
    deadline: Duration,
}

impl Queue {
    fn new(experiment: &Experiment, name: &str) -> Queue {
        let service = experiment
            .deployment
            .service(name)
            .expect("the name is a service's own");
        let unusable: Vec<_> = (0..service.endpoints)
            .flat_map(|e| {
                let times = unusable_times(experiment, name, e);
                std::iter::repeat_n(times, service.slots as usize)
            })
            .collect();
        Queue {
            free: (0..unusable.len())
                .map(|i| Reverse((Duration::ZERO, i)))
                .collect(),
            unusable,
            deadline: Duration::from_millis(service.deadline_ms),
        }
    }

    fn serve(&mut self, arrival: Duration, work: Duration) -> Ideal {
        while let Some(Reverse((free, slot))) = self.free.pop() {
            let start = free.max(arrival);
            let gap = self.unusable[slot]
                .iter()
                .find(|(a, b)| (*a..*b).contains(&start));
            if let Some((_, back)) = gap {
                self.free.push(Reverse((*back, slot)));
                continue;
            }
            let wait = start - arrival;
            if wait + work > self.deadline {
                self.free.push(Reverse((free, slot)));
                return Ideal {
                    latency: None,
                    wait,
                };
            }
            self.free.push(Reverse((start + work, slot)));
            return Ideal {
                latency: Some(wait + work),
                wait,
            };
        }
        Ideal {
            latency: None,
            wait: Duration::ZERO,
        }
    }
}

/// Returns the intervals in which an endpoint is unusable: its data centre has left, or it is
/// slow.
fn unusable_times(
    experiment: &Experiment,
    service: &str,
    endpoint: u32,
) -> Vec<(Duration, Duration)> {
    let centre = experiment.deployment.centre(endpoint);
    let mut times = Vec::new();
    let mut since = None;
    for event in &experiment.events {
        let at = Duration::from_millis(event.at_ms);
        let starts = match &event.action {
            Action::Leave(name) if name == centre => true,
            Action::Return(name) if name == centre => false,
            Action::Backend {
                service: s,
                endpoint: e,
                set,
            } if s == service && *e == endpoint && set.slow.is_some() => set.slow > Some(1),
            _ => continue,
        };
        match (starts, since) {
            (true, None) => since = Some(at),
            (false, Some(from)) => {
                times.push((from, at));
                since = None;
            }
            _ => {}
        }
    }
    times.extend(since.map(|from| (from, Duration::MAX)));
    times
}
