//! How many calls a backend server bears now, as its endpoint's owner believes.

use std::time::Duration;

use derives::{tag, value};

use crate::latency::SlowRate;
use crate::moment::Moment;

/// Why an endpoint gets only trials.
#[tag]
pub enum Degradation {
    /// Its answers are far slower than its service's.
    Slow,
    /// It can't be reached.
    Down,
    /// It refuses even the least it was given.
    Shedding,
}

/// What an endpoint's load report says.
#[value]
pub struct LoadReport {
    /// Drawn anew by the backend server at each start.
    pub boot: String,
    /// What it says of itself.
    pub readiness: Readiness,
    /// Calls it says it runs.
    pub running: u32,
}

/// What a backend server says of itself.
#[tag]
pub enum Readiness {
    /// It has just started and bears only a little.
    Cold,
    /// It bears all its slots.
    Warm,
    /// It takes no new work.
    Draining,
}

/// Keeps the cap on calls at one endpoint over all entry hosts together.
///
/// A report may lower the cap or let it grow step by step; it never raises it
/// by itself past what answers have proven, since reports are stale, frozen or
/// wrong at times. Sheds count more than any report.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    slots: u32,
    cold: u32,
    cap: u32,
    boot: Option<String>,
    readiness: Option<Readiness>,
    degradation: Option<Degradation>,
    tempo: SlowRate,
    answered: u32,
    shed: bool,
    grown: Moment,
    trial: Moment,
    proofs: u32,
}

/// The least time between two growths of a cap.
///
/// A backend server that falls over does so within a few calls; growing by one
/// slot a quarter of a second gives its first sheds time to be heard.
const GROWTH: Duration = Duration::from_millis(250);
/// The time between two trials of an endpoint in doubt.
///
/// One call a second at a server twenty times too slow is one in thousands:
/// below the 99.9th percentile of a service of today's size.
pub const TRIAL: Duration = Duration::from_millis(1_000);
/// Good trials that end a doubt.
const PROOFS: u32 = 3;

impl Capacity {
    /// Returns the warmth of an endpoint nothing is known of: as if cold.
    pub fn unknown(slots: u32, cold: u32, now: Moment) -> Capacity {
        Capacity {
            slots,
            cold: cold.clamp(1, slots.max(1)),
            cap: cold.clamp(1, slots.max(1)),
            boot: None,
            readiness: None,
            degradation: None,
            tempo: SlowRate::default(),
            answered: 0,
            shed: false,
            grown: now,
            trial: now,
            proofs: 0,
        }
    }

    /// Takes over the sizes of a new configuration.
    pub fn resize(&mut self, slots: u32, cold: u32) {
        let whole = self.cap >= self.slots;
        self.slots = slots;
        self.cold = cold.clamp(1, slots.max(1));
        self.cap = if whole { slots } else { self.cap.min(slots) };
    }

    /// Sets the cap that the owner before has reached.
    pub fn inherit(&mut self, cap: u32) {
        self.cap = cap.clamp(self.cold, self.slots.max(self.cold));
    }

    /// Returns how many slots may be out now.
    pub fn cap(&self) -> u32 {
        match (self.degradation, self.readiness) {
            (_, Some(Readiness::Draining)) | (Some(_), _) => 0,
            _ => self.cap,
        }
    }

    /// Returns the cap without regard to doubts, for the next owner.
    pub fn base_cap(&self) -> u32 {
        self.cap
    }

    /// Returns why it gets only trials, if it does.
    pub fn degradation(&self) -> Option<Degradation> {
        self.degradation
    }

    /// Returns whether a single slot may go out as a trial, and counts it.
    pub fn take_trial(&mut self, now: Moment) -> bool {
        let due = self.degradation.is_some()
            && self.readiness != Some(Readiness::Draining)
            && self.trial <= now;
        if due {
            self.trial = now + TRIAL;
        }
        due
    }

    /// Takes in a shed: the backend server bears less than it was given.
    ///
    /// One that sheds at its least has fallen over. A shed takes it far less
    /// time than any work, so its one slot would be free again at once and draw
    /// call after call: callers would see refusals while other backend servers
    /// have free slots. So it rests, and only trials show when it is back.
    pub fn note_shed(&mut self, now: Moment) {
        let least = self.cap <= self.cold;
        self.shed = true;
        self.chill(now);
        if least {
            self.suspect(Degradation::Shedding, now);
        }
    }

    /// Takes in that no connection could be opened.
    pub fn note_unreachable(&mut self, now: Moment) {
        self.chill(now);
        self.suspect(Degradation::Down, now);
    }

    /// Takes in what an entry host saw of its answers.
    pub fn note_answers(&mut self, over: u32, total: u32, now: Moment) {
        self.answered = self.answered.saturating_add(total);
        self.tempo.note(over, total);
        match self.degradation {
            Some(_) if over > 0 => self.proofs = 0,
            Some(_) if total > 0 => self.prove(now),
            None if self.tempo.is_slow() => self.suspect(Degradation::Slow, now),
            _ => {}
        }
    }

    /// Takes in a load report.
    pub fn note_report(&mut self, report: &LoadReport, now: Moment) {
        let first = self.boot.is_none();
        let restarted = self.boot.as_ref().is_some_and(|b| *b != report.boot);
        self.boot = Some(report.boot.clone());
        self.readiness = Some(report.readiness);
        match report.readiness {
            Readiness::Cold => self.chill(now),
            _ if restarted => self.chill(now),
            // Calls may be answered before the first report comes. Were the
            // report then not believed, each start of a site under load would
            // serve a fraction of its slots for seconds and refuse the rest.
            Readiness::Warm if first && !self.shed && self.degradation.is_none() => {
                self.cap = self.slots;
            }
            _ => {}
        }
        if self.degradation == Some(Degradation::Down) {
            self.trial = self.trial.min(now);
        }
    }

    /// Lets the cap grow where the slots out have proven themselves.
    pub fn grow(&mut self, now: Moment) {
        let held = self.readiness == Some(Readiness::Cold);
        let proven = self.answered >= self.cap && now.since(self.grown) >= GROWTH;
        if held || !proven || self.cap >= self.slots {
            return;
        }
        self.cap += 1;
        self.answered = 0;
        self.grown = now;
    }

    fn chill(&mut self, now: Moment) {
        self.cap = self.cap.min(self.cold);
        self.answered = 0;
        self.grown = now;
    }

    fn suspect(&mut self, degradation: Degradation, now: Moment) {
        self.degradation = Some(degradation);
        self.proofs = 0;
        self.trial = now + TRIAL;
    }

    fn prove(&mut self, now: Moment) {
        self.proofs += 1;
        self.trial = now;
        if self.proofs < PROOFS {
            return;
        }
        self.degradation = None;
        self.tempo = SlowRate::default();
    }
}
