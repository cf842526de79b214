//! Admission of calls at a backend server, which depends on whether it is cold or warm.

use std::time::Duration;

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use state::Moment;

use super::{Options, Report};

/// Counts the running calls of a backend server and decides which new calls it starts.
pub struct Bearing {
    options: Options,
    boot: u64,
    warmth: Warmth,
    draining: bool,
    fallen_until: Moment,
    running: u32,
    counts: Counts,
    told: Option<(Moment, Load)>,
}

/// Counters of a backend server since its start.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls started.
    pub started: u64,
    /// Calls shed.
    pub shed: u64,
    /// Calls that ended before their work was done: the caller hung up or the deadline passed.
    pub cancelled: u64,
    /// The most calls at once, including those that were shed.
    pub peak: u32,
    /// Calls that arrived while the limit of running calls was reached.
    pub above: u64,
    /// Load reports sent.
    pub probes: u64,
    /// Connections open now.
    pub connections: u32,
    /// The most connections at once.
    pub peak_connections: u32,
}

/// The body of a load report.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// A random number drawn at each start, in hexadecimal.
    pub boot: String,
    /// Whether the backend server is cold, warm or draining.
    pub state: LoadState,
    /// Running calls.
    pub running: u32,
    /// Calls that the backend server can run at once when warm.
    pub slots: u32,
}

/// The state in a load report.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadState {
    /// The backend server can run only a few calls at once.
    Cold,
    /// The backend server can run as many calls at once as it has slots.
    Warm,
    /// The backend server sheds new calls.
    Draining,
}

/// The decision on an arriving call.
#[tag]
pub struct Arrival {
    /// Calls at the backend server, including this one.
    pub running: u32,
    /// Calls that the backend server can currently run at once.
    pub bears: u32,
    /// Whether the backend server is cold.
    pub cold: bool,
    /// Whether the work starts; the call is shed otherwise.
    pub started: bool,
}

#[tag]
enum Warmth {
    Cold { since: Moment, good: u32 },
    Warm,
}

impl Bearing {
    /// Returns the admission state of a server that starts at `now`.
    pub fn new(options: Options, now: Moment) -> Bearing {
        let warmth = match options.cold {
            true => Warmth::Cold {
                since: now,
                good: 0,
            },
            false => Warmth::Warm,
        };
        Bearing {
            options,
            boot: rand::random(),
            warmth,
            draining: false,
            fallen_until: Moment(0),
            running: 0,
            counts: Counts::default(),
            told: None,
        }
    }

    /// Starts or sheds a call that arrives at `now`.
    ///
    /// A cold server that gets more calls than it can run is overloaded: it sheds all calls
    /// for a while and its warm-up starts from the beginning.
    pub fn arrive(&mut self, now: Moment) -> Arrival {
        self.warm_by_age(now);
        let bears = self.bears();
        let cold = self.is_cold();
        let running = self.running + 1;
        let above = running > bears;
        self.counts.peak = self.counts.peak.max(running);
        self.counts.above += u64::from(above);
        if above && cold {
            self.fallen_until = now + Duration::from_millis(self.options.fall_ms);
            self.warmth = Warmth::Cold {
                since: now,
                good: 0,
            };
        }
        let started = !above && !self.draining && now >= self.fallen_until;
        match started {
            true => {
                self.running = running;
                self.counts.started += 1;
            }
            false => self.counts.shed += 1,
        }
        Arrival {
            running,
            bears,
            cold,
            started,
        }
    }

    /// Ends a started call; `done` says whether its work was completed.
    pub fn end(&mut self, done: bool) {
        self.running = self.running.saturating_sub(1);
        match &mut self.warmth {
            Warmth::Cold { good, .. } if done => *good += 1,
            _ if !done => self.counts.cancelled += 1,
            _ => {}
        }
    }

    /// Starts or stops draining; a draining backend server sheds new calls.
    pub fn drain(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Makes the backend server cold from `now` on, as if its process had been restarted.
    pub fn turn_cold(&mut self, now: Moment) {
        self.boot = rand::random();
        self.warmth = Warmth::Cold {
            since: now,
            good: 0,
        };
    }

    /// Counts a new connection; returns false if too many are open.
    pub fn connect(&mut self) -> bool {
        let open = self.counts.connections + 1;
        self.counts.peak_connections = self.counts.peak_connections.max(open);
        if open > self.options.connections {
            return false;
        }
        self.counts.connections = open;
        true
    }

    /// Counts a closed connection.
    pub fn disconnect(&mut self) {
        self.counts.connections = self.counts.connections.saturating_sub(1);
    }

    /// Returns the load report, falsified as `report` says.
    pub fn load(&mut self, report: Report, now: Moment) -> Load {
        self.counts.probes += 1;
        self.warm_by_age(now);
        let fresh = self.fresh();
        let told = match (report, self.told.take()) {
            (Report::Frozen, Some(told)) => told,
            (Report::Lagging(ms), Some(told)) if now.since(told.0) < Duration::from_millis(ms) => {
                told
            }
            (Report::Idle, _) => (
                now,
                Load {
                    running: 0,
                    ..fresh
                },
            ),
            _ => (now, fresh),
        };
        self.told.insert(told).1.clone()
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> Counts {
        self.counts.clone()
    }

    fn fresh(&self) -> Load {
        let state = match self.warmth {
            _ if self.draining => LoadState::Draining,
            Warmth::Cold { .. } => LoadState::Cold,
            Warmth::Warm => LoadState::Warm,
        };
        Load {
            boot: format!("{:016x}", self.boot),
            state,
            running: self.running,
            slots: self.options.slots,
        }
    }

    fn warm_by_age(&mut self, now: Moment) {
        match self.warmth {
            Warmth::Cold { good, .. } if good >= self.options.warm_calls => {
                self.warmth = Warmth::Warm;
            }
            Warmth::Cold { since, .. }
                if now.since(since) >= Duration::from_millis(self.options.warm_ms) =>
            {
                self.warmth = Warmth::Warm;
            }
            _ => {}
        }
    }

    fn is_cold(&self) -> bool {
        matches!(self.warmth, Warmth::Cold { .. })
    }

    fn bears(&self) -> u32 {
        match self.warmth {
            Warmth::Cold { .. } => self.options.cold_slots,
            Warmth::Warm => self.options.slots,
        }
    }
}
