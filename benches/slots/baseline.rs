//! The baseline policies and the single-queue bound, simulated over the same calls.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::EndpointKey;
use state::keys::rendezvous;
use state::policy::{Choice, Policy};

use crate::outcome::{Meter, Outcome};
use crate::scenario::{Job, Scenario};
use crate::simulation::LOAD_START;

/// A first-in, first-out queue in front of the slots of an endpoint, of a host or of the service.
struct Station {
    slots: u32,
    busy: u32,
    queue: VecDeque<usize>,
    /// The factor on a call's working time.
    factor: u64,
}

/// A simulation of calls at stations in virtual time.
struct Run<'a> {
    scenario: &'a Scenario,
    jobs: &'a [Job],
    stations: Vec<Station>,
    /// Calls waiting or running, by host and station.
    in_flight: BTreeMap<(usize, usize), u32>,
    turns: Vec<u64>,
    rng: StdRng,
}

/// Returns the results of a single queue before all slots, with perfect knowledge.
///
/// The slots of a slow backend server are left out for the whole run, because
/// such a queue sends nothing to a slow backend server.
pub fn single_queue_bound(scenario: &Scenario, jobs: &[Job]) -> Outcome {
    let slow = u32::from(scenario.slow.is_some()) * scenario.slots;
    let mut run = Run::new(scenario, jobs);
    run.stations = vec![Station::new(scenario.capacity() - slow)];
    run.simulate(|_, _, _| 0)
}

/// Returns the results of a baseline policy.
pub fn simulate(policy: Policy, scenario: &Scenario, jobs: &[Job]) -> Outcome {
    let mut run = Run::new(scenario, jobs);
    if policy == Policy::FixedShare {
        run.stations = slots_by_host(scenario);
        return run.simulate(|run, n, _| run.jobs[n].host);
    }
    run.stations = (0..scenario.endpoints)
        .map(|_| Station::new(scenario.slots))
        .collect();
    run.simulate(|run, n, _| run.choose(policy, run.jobs[n].host))
}

/// Assigns each slot to one of the hosts with the fewest slots so far, by rendezvous hashing.
///
/// Each host gets at least one slot if there are as many slots as hosts.
fn slots_by_host(scenario: &Scenario) -> Vec<Station> {
    let mut slots = vec![0; scenario.hosts];
    for slot in 0..u64::from(scenario.capacity()) {
        let least = slots.iter().min().copied().unwrap_or(0);
        let owner = (0..scenario.hosts)
            .filter(|h| slots[*h] == least)
            .max_by_key(|h| rendezvous(*h as u64, slot))
            .unwrap_or(0);
        slots[owner] += 1;
    }
    slots.into_iter().map(Station::new).collect()
}

impl Station {
    fn new(slots: u32) -> Station {
        Station {
            slots,
            busy: 0,
            queue: VecDeque::new(),
            factor: 1,
        }
    }
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, jobs: &'a [Job]) -> Run<'a> {
        Run {
            scenario,
            jobs,
            stations: Vec::new(),
            in_flight: BTreeMap::new(),
            turns: vec![0; scenario.hosts],
            rng: StdRng::seed_from_u64(99),
        }
    }

    /// Runs all calls; `place` returns the station of an arriving call.
    fn simulate(mut self, place: impl Fn(&mut Run<'a>, usize, u64) -> usize) -> Outcome {
        let mut meter = Meter::new(self.scenario);
        let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
        let (mut next, mut now) = (0, LOAD_START);
        loop {
            let arrival = self.jobs.get(next).map(|j| LOAD_START + j.at);
            let end = ends.peek().map(|Reverse((at, _, _))| *at);
            let arrives = match (arrival, end) {
                (None, None) => break,
                (Some(a), Some(e)) => a <= e,
                (arrival, _) => arrival.is_some(),
            };
            let at = if arrives { arrival } else { end }.unwrap_or(now);
            meter.advance(now, at);
            now = at;
            let station = if arrives {
                meter.arrive();
                let station = place(&mut self, next, now);
                *self
                    .in_flight
                    .entry((self.jobs[next].host, station))
                    .or_default() += 1;
                self.stations[station].queue.push_back(next);
                next += 1;
                station
            } else {
                let Some(Reverse((_, call, station))) = ends.pop() else {
                    break;
                };
                meter.end(call, &self.jobs[call], now);
                *self
                    .in_flight
                    .entry((self.jobs[call].host, station))
                    .or_default() -= 1;
                self.stations[station].busy -= 1;
                station
            };
            self.start_queued(station, now, &mut meter, &mut ends);
        }
        meter.finish(now - LOAD_START)
    }

    /// Starts queued calls while a station has free slots; refuses those past their deadline.
    fn start_queued(
        &mut self,
        index: usize,
        now: u64,
        meter: &mut Meter,
        ends: &mut BinaryHeap<Reverse<(u64, usize, usize)>>,
    ) {
        let slow = self.scenario.slow.filter(|s| now >= LOAD_START + s.from);
        let many = self.stations.len() > 1;
        let station = &mut self.stations[index];
        if let Some(slow) = slow.filter(|_| many && index == 0) {
            station.factor = slow.factor;
        }
        while station.busy < station.slots {
            let Some(call) = station.queue.pop_front() else {
                return;
            };
            let job = &self.jobs[call];
            if now > LOAD_START + job.at + self.scenario.deadline {
                meter.refuse(job, now);
                *self.in_flight.entry((job.host, index)).or_default() -= 1;
                continue;
            }
            station.busy += 1;
            meter.start(job, now, station.busy);
            ends.push(Reverse((now + job.work * station.factor, call, index)));
        }
    }

    /// Returns the endpoint that `policy` chooses for a call at `host`.
    fn choose(&mut self, policy: Policy, host: usize) -> usize {
        let turn = self.turns[host];
        self.turns[host] += 1;
        let choices: Vec<Choice> = (0..self.stations.len())
            .map(|n| Choice {
                endpoint: EndpointKey(n as u64),
                running: self.known_calls(policy, host, n),
            })
            .collect();
        let draw = self.rng.random();
        let found = policy.choose(&choices, turn, draw);
        found.map_or(0, |e| e.0 as usize)
    }

    /// Returns the number of calls at `station` that `policy` knows of at `host`.
    ///
    /// Two choices gets the true number, as from probes without cost and delay;
    /// other policies get the host's own calls in flight.
    fn known_calls(&self, policy: Policy, host: usize, station: usize) -> u32 {
        match policy {
            Policy::TwoChoices => {
                let station = &self.stations[station];
                station.busy + station.queue.len() as u32
            }
            _ => self.in_flight.get(&(host, station)).copied().unwrap_or(0),
        }
    }
}
