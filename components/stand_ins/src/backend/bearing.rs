//! How much a backend server bears at each moment.

use std::time::Duration;

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use state::Moment;

use super::{Options, Report};

/// Counts the calls at a backend server and says which it bears.
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

/// What a backend server counted since it came up.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that were started.
    pub started: u64,
    /// Calls that were shed.
    pub shed: u64,
    /// Calls whose caller hung up.
    pub cancelled: u64,
    /// The most calls at once, those that were shed among them.
    pub peak: u32,
    /// Calls that came while as many as it bears were running.
    pub above: u64,
    /// Load reports given.
    pub probes: u64,
    /// Connections open now.
    pub connections: u32,
    /// The most connections at once.
    pub peak_connections: u32,
}

/// What the load report says.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Drawn anew at each start.
    pub boot: String,
    /// Whether it is cold, warm or draining.
    pub state: LoadState,
    /// Calls running.
    pub running: u32,
    /// Calls it bears when warm.
    pub slots: u32,
}

/// The state that a load report tells.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadState {
    /// It bears little.
    Cold,
    /// It bears as many calls as it has slots.
    Warm,
    /// It takes no new calls.
    Draining,
}

/// What becomes of a call that arrives.
#[tag]
pub struct Arrival {
    /// Calls there now, this one among them.
    pub running: u32,
    /// Calls it bears now.
    pub bears: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether the work starts.
    pub started: bool,
}

#[tag]
enum Warmth {
    Cold { since: Moment, good: u32 },
    Warm,
}

impl Bearing {
    /// Returns the bearing of a server that starts at `now`.
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

    /// Takes in a call at `now`, or sheds it.
    ///
    /// A cold server that gets more than it bears falls over: it sheds all for
    /// a while and has to prove itself anew.
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

    /// Ends the work of a call that was started.
    pub fn end(&mut self, done: bool) {
        self.running = self.running.saturating_sub(1);
        match &mut self.warmth {
            Warmth::Cold { good, .. } if done => *good += 1,
            _ if !done => self.counts.cancelled += 1,
            _ => {}
        }
    }

    /// Stops or goes on taking calls.
    pub fn drain(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Is cold from `now` on, as a process that was started anew.
    pub fn turn_cold(&mut self, now: Moment) {
        self.boot = rand::random();
        self.warmth = Warmth::Cold {
            since: now,
            good: 0,
        };
    }

    /// Counts a connection that was opened, or says that there are too many.
    pub fn connect(&mut self) -> bool {
        let open = self.counts.connections + 1;
        self.counts.peak_connections = self.counts.peak_connections.max(open);
        if open > self.options.connections {
            return false;
        }
        self.counts.connections = open;
        true
    }

    /// Counts a connection that was closed.
    pub fn disconnect(&mut self) {
        self.counts.connections = self.counts.connections.saturating_sub(1);
    }

    /// Returns the load report, as far from the truth as `report` says.
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

    /// Returns what was counted so far.
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
