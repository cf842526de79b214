//! A request that crashes endpoints and arrives at many hosts that exchange reports, in
//! virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::Moment;
use state::fleet::quarantine::{Crash, Decision, Quarantine, QuarantineUpdate, Reporter};
use state::fleet::{Fingerprint, Fingerprints};

/// How long an endpoint runs the request before it crashes, in milliseconds.
const RUN_TIME: u64 = 60;

/// The delay of a message from one host to another, in milliseconds.
const MESSAGE_DELAY: u64 = 5;

/// The time after the third crash by which all hosts must know the request, in
/// milliseconds.
const KNOWN_AFTER: u64 = 3_000;

/// The time after a host's start from which its requests count, in milliseconds.
const SETTLING_TIME: u64 = 3_000;

/// The number of later arrivals that are tolerated.
const TOLERATED: usize = 3;

/// The maximum number of endpoints that one request of a caller is sent to.
const ATTEMPTS: u32 = 2;

const FATAL: Fingerprints = Fingerprints {
    content: Fingerprint(1),
    request: Fingerprint(2),
};

/// An event of the simulation.
#[derive(Clone)]
enum Event {
    Arrival {
        host: usize,
        attempt: u32,
    },
    RunEnd {
        host: usize,
        attempt: u32,
        sent: Moment,
    },
    Report {
        to: usize,
        crash: Crash,
    },
    Updates {
        to: usize,
        updates: Vec<QuarantineUpdate>,
    },
    Reminders,
    Restart {
        host: usize,
    },
}

/// The simulated hosts and the pending events.
struct Fleet {
    hosts: Vec<Quarantine>,
    /// The start of each host, in milliseconds.
    started: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    random: SmallRng,
    /// The fraction of messages that are lost.
    loss: f64,
    crashes: Vec<u64>,
    arrivals: Vec<u64>,
}

impl Fleet {
    fn new(hosts: usize, loss: f64, seed: u64) -> Fleet {
        Fleet {
            hosts: vec![Quarantine::default(); hosts],
            started: vec![0; hosts],
            events: BTreeMap::new(),
            next: 0,
            random: SmallRng::seed_from_u64(seed),
            loss,
            crashes: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn at(&mut self, millis: u64, event: Event) {
        self.next += 1;
        self.events.insert((millis, self.next), event);
    }

    /// Sends an event to one host, unless the message is lost.
    fn send(&mut self, millis: u64, event: Event) {
        if self.random.random::<f64>() >= self.loss {
            self.at(millis + MESSAGE_DELAY, event);
        }
    }

    fn send_all(&mut self, from: usize, millis: u64, crash: Crash, updates: &[QuarantineUpdate]) {
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.send(millis, Event::Report { to, crash });
            if !updates.is_empty() {
                let updates = updates.to_vec();
                self.send(millis, Event::Updates { to, updates });
            }
        }
    }

    /// Processes all events until `end`.
    fn run(&mut self, end: u64) {
        while let Some(((millis, _), event)) = self.events.pop_first() {
            if millis > end {
                return;
            }
            self.take(millis, event);
        }
    }

    fn take(&mut self, millis: u64, event: Event) {
        let now = Moment::from_millis(millis);
        match event {
            Event::Arrival { host, attempt } => {
                if matches!(self.hosts[host].admit(FATAL, now), Decision::Reject(_)) {
                    return;
                }
                if millis >= self.started[host] + SETTLING_TIME {
                    self.arrivals.push(millis);
                }
                let ends = Event::RunEnd {
                    host,
                    attempt,
                    sent: now,
                };
                self.at(millis + RUN_TIME, ends);
            }
            Event::RunEnd {
                host,
                attempt,
                sent,
            } => {
                self.crashes.push(millis);
                let crash = Crash {
                    request: FATAL,
                    sent,
                    at: now,
                };
                let updates = self.hosts[host].note_crash(&crash, Reporter::ThisHost);
                self.send_all(host, millis, crash, &updates);
                if attempt < ATTEMPTS {
                    let attempt = attempt + 1;
                    self.at(millis + 1, Event::Arrival { host, attempt });
                }
            }
            Event::Report { to, crash } => {
                let late = Duration::from_millis(MESSAGE_DELAY);
                let crash = Crash {
                    sent: crash.sent + late,
                    at: crash.at + late,
                    ..crash
                };
                self.hosts[to].note_crash(&crash, Reporter::OtherHost);
            }
            Event::Updates { to, updates } => {
                for update in &updates {
                    self.hosts[to].apply(update, now);
                }
            }
            Event::Reminders => {
                for host in 0..self.hosts.len() {
                    let updates = self.hosts[host].updates(now);
                    let to = self.random.random_range(0..self.hosts.len());
                    self.send(millis, Event::Updates { to, updates });
                }
                self.at(millis + 1_000, Event::Reminders);
            }
            Event::Restart { host } => {
                self.hosts[host] = Quarantine::default();
                self.started[host] = millis;
                let other = (host + 1) % self.hosts.len();
                let updates = self.hosts[other].updates(now);
                self.send(millis + MESSAGE_DELAY, Event::Updates { to: host, updates });
            }
        }
    }

    /// Returns how often the request was sent to an endpoint after all hosts had to know
    /// it.
    fn late_arrivals(&self) -> usize {
        let third = self
            .crashes
            .get(2)
            .copied()
            .unwrap_or(u64::MAX - KNOWN_AFTER);
        let late = self.arrivals.iter().filter(|a| **a > third + KNOWN_AFTER);
        late.count()
    }
}

/// A request that crashes endpoints must be stopped even if each time another of many
/// hosts receives it, messages are lost, and hosts restart without any memory of it.
#[rstest]
fn known_everywhere(
    #[values(3, 13, 472)] hosts: usize,
    #[values(0.0, 0.1)] loss: f64,
    #[values(250, 1_000, 5_000)] pause: u64,
) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(hosts, loss, seed);
        fleet.at(500, Event::Reminders);
        for millis in
            (0..100_000).step_by(usize::try_from(pause).expect("the pause fits into usize"))
        {
            let host = fleet.random.random_range(0..hosts);
            fleet.at(millis, Event::Arrival { host, attempt: 1 });
        }
        for number in 0..10 {
            let host = fleet.random.random_range(0..hosts);
            fleet.at(20_000 + number * 5_000, Event::Restart { host });
        }
        fleet.run(100_000);
        let late = fleet.late_arrivals();
        assert!(late <= TOLERATED, "{late} late arrivals with seed {seed}");
    }
}
