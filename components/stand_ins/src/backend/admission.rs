//! Admission of calls at a backend server, which depends on whether it is cold or warm.

use std::time::Duration;

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use state::Moment;

use super::{Options, Report};

/// Counts the running calls of a backend server and decides which new calls it starts.
pub struct Admission {
    options: Options,
    boot: u64,
    warm_up: WarmUp,
    draining: bool,
    overloaded_until: Moment,
    running: u32,
    counts: Counts,
    last_report: Option<(Moment, LoadReport)>,
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
pub struct LoadReport {
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
    pub limit: u32,
    /// Whether the backend server is cold.
    pub cold: bool,
    /// Whether the work starts; the call is shed otherwise.
    pub started: bool,
}

#[tag]
enum WarmUp {
    Cold { since: Moment, completed: u32 },
    Warm,
}

impl Admission {
    /// Returns the admission state of a server that starts at `now`.
    pub fn new(options: Options, now: Moment) -> Admission {
        let warm_up = match options.cold {
            true => WarmUp::Cold {
                since: now,
                completed: 0,
            },
            false => WarmUp::Warm,
        };
        Admission {
            options,
            boot: rand::random(),
            warm_up,
            draining: false,
            overloaded_until: Moment(0),
            running: 0,
            counts: Counts::default(),
            last_report: None,
        }
    }

    /// Starts or sheds a call that arrives at `now`.
    ///
    /// A cold server that gets more calls than it can run is overloaded: it sheds all calls
    /// for a while and its warm-up starts from the beginning.
    pub fn arrive(&mut self, now: Moment) -> Arrival {
        self.advance_warm_up(now);
        let limit = self.limit();
        let cold = self.is_cold();
        let running = self.running + 1;
        let above = running > limit;
        self.counts.peak = self.counts.peak.max(running);
        self.counts.above += u64::from(above);
        if above && cold {
            self.overloaded_until = now + Duration::from_millis(self.options.overload_ms);
            self.warm_up = WarmUp::Cold {
                since: now,
                completed: 0,
            };
        }
        let started = !above && !self.draining && now >= self.overloaded_until;
        match started {
            true => {
                self.running = running;
                self.counts.started += 1;
            }
            false => self.counts.shed += 1,
        }
        Arrival {
            running,
            limit,
            cold,
            started,
        }
    }

    /// Ends a started call; `done` says whether its work was completed.
    pub fn end(&mut self, done: bool) {
        self.running = self.running.saturating_sub(1);
        match &mut self.warm_up {
            WarmUp::Cold { completed, .. } if done => *completed += 1,
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
        self.warm_up = WarmUp::Cold {
            since: now,
            completed: 0,
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
    pub fn load(&mut self, report: Report, now: Moment) -> LoadReport {
        self.counts.probes += 1;
        self.advance_warm_up(now);
        let current_load = self.current_load();
        let last_report = match (report, self.last_report.take()) {
            (Report::Frozen, Some(last_report)) => last_report,
            (Report::Lagging(ms), Some(last_report))
                if now.since(last_report.0) < Duration::from_millis(ms) =>
            {
                last_report
            }
            (Report::Idle, _) => (
                now,
                LoadReport {
                    running: 0,
                    ..current_load
                },
            ),
            _ => (now, current_load),
        };
        self.last_report.insert(last_report).1.clone()
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> Counts {
        self.counts.clone()
    }

    fn current_load(&self) -> LoadReport {
        let state = match self.warm_up {
            _ if self.draining => LoadState::Draining,
            WarmUp::Cold { .. } => LoadState::Cold,
            WarmUp::Warm => LoadState::Warm,
        };
        LoadReport {
            boot: format!("{:016x}", self.boot),
            state,
            running: self.running,
            slots: self.options.slots,
        }
    }

    fn advance_warm_up(&mut self, now: Moment) {
        match self.warm_up {
            WarmUp::Cold { completed, .. } if completed >= self.options.warm_calls => {
                self.warm_up = WarmUp::Warm;
            }
            WarmUp::Cold { since, .. }
                if now.since(since) >= Duration::from_millis(self.options.warm_ms) =>
            {
                self.warm_up = WarmUp::Warm;
            }
            _ => {}
        }
    }

    fn is_cold(&self) -> bool {
        matches!(self.warm_up, WarmUp::Cold { .. })
    }

    fn limit(&self) -> u32 {
        match self.warm_up {
            WarmUp::Cold { .. } => self.options.cold_slots,
            WarmUp::Warm => self.options.slots,
        }
    }
}
