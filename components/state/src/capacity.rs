//! Limits how many calls a backend server gets at once, as decided by its endpoint's
//! owner.

use std::time::Duration;

use derives::{tag, value};

use crate::latency::SlowRate;
use crate::moment::Moment;

/// The reason why an endpoint gets only trial calls.
#[tag]
pub enum Degradation {
    /// The endpoint's answers are far slower than those of its service.
    Slow,
    /// The endpoint can't be reached.
    Down,
    /// The endpoint sheds calls even at its minimum cap.
    Shedding,
}

/// An endpoint's load report.
#[value]
pub struct LoadReport {
    /// The id of this run of the backend server, drawn at random at each start.
    pub boot: String,
    /// The state that the server reports.
    pub readiness: Readiness,
    /// The number of running calls that the server reports.
    pub running: u32,
}

/// The state that a backend server reports.
#[tag]
pub enum Readiness {
    /// The server has just started and can take only a few calls.
    Cold,
    /// The server can take calls in all its slots.
    Warm,
    /// The server takes no new calls.
    Draining,
}

/// Keeps the cap on calls at one endpoint, over all entry hosts together.
///
/// A load report may lower the cap or let it grow step by step. Apart from the first
/// report of a warm server that has shed nothing, it never raises the cap above what
/// answers have proven, since reports may be stale, frozen or wrong. A shed call counts
/// more than any report.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    slots: u32,
    cold: u32,
    cap: u32,
    boot: Option<String>,
    readiness: Option<Readiness>,
    degradation: Option<Degradation>,
    slow_rate: SlowRate,
    answered: u32,
    has_shed: bool,
    grown_at: Moment,
    next_trial: Moment,
    successes: u32,
}

/// The least time between two increases of a cap.
///
/// A backend server that fails under load does so within a few calls. Growing by one slot
/// per quarter of a second leaves time for reports of its first shed calls.
const GROWTH_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two trial calls to a degraded endpoint.
///
/// One call a second to a server that is twenty times too slow is one in thousands: too
/// few to affect the 99.9th percentile of a service of today's size.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of successful trials in a row after which an endpoint is used normally
/// again.
const RECOVERY_TRIALS: u32 = 3;

impl Capacity {
    /// Returns the state of an endpoint about which nothing is known; it starts with the
    /// cap of a cold one.
    pub fn unknown(slots: u32, cold: u32, now: Moment) -> Capacity {
        Capacity {
            slots,
            cold: cold.clamp(1, slots.max(1)),
            cap: cold.clamp(1, slots.max(1)),
            boot: None,
            readiness: None,
            degradation: None,
            slow_rate: SlowRate::default(),
            answered: 0,
            has_shed: false,
            grown_at: now,
            next_trial: now,
            successes: 0,
        }
    }

    /// Applies the slot counts of a new configuration.
    pub fn resize(&mut self, slots: u32, cold: u32) {
        let whole = self.cap >= self.slots;
        self.slots = slots;
        self.cold = cold.clamp(1, slots.max(1));
        self.cap = if whole { slots } else { self.cap.min(slots) };
    }

    /// Sets the cap that the previous owner had reached.
    pub fn inherit(&mut self, cap: u32) {
        self.cap = cap.clamp(self.cold, self.slots.max(self.cold));
    }

    /// Returns how many slots may be leased now.
    pub fn cap(&self) -> u32 {
        match (self.degradation, self.readiness) {
            (_, Some(Readiness::Draining)) | (Some(_), _) => 0,
            _ => self.cap,
        }
    }

    /// Returns the cap regardless of degradation, for the next owner.
    pub fn base_cap(&self) -> u32 {
        self.cap
    }

    /// Returns why the endpoint gets only trial calls, if it does.
    pub fn degradation(&self) -> Option<Degradation> {
        self.degradation
    }

    /// Returns whether a single slot may be leased for a trial call, and counts the
    /// trial.
    pub fn take_trial(&mut self, now: Moment) -> bool {
        let due = self.degradation.is_some()
            && self.readiness != Some(Readiness::Draining)
            && self.next_trial <= now;
        if due {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        due
    }

    /// Notes a shed call: the backend server can take fewer calls than it was given.
    ///
    /// A server that sheds at its minimum cap has failed. Shedding a call takes much less
    /// time than running one, so the server's only slot would be free again at once and
    /// attract call after call, and callers would see rejections while other backend
    /// servers have free slots. The endpoint therefore gets no calls but trials, which
    /// show when it has recovered.
    pub fn note_shed(&mut self, now: Moment) {
        let least = self.cap <= self.cold;
        self.has_shed = true;
        self.reset_cap(now);
        if least {
            self.degrade(Degradation::Shedding, now);
        }
    }

    /// Notes that no connection could be opened.
    pub fn note_unreachable(&mut self, now: Moment) {
        self.reset_cap(now);
        self.degrade(Degradation::Down, now);
    }

    /// Notes the observation of an entry host: `slow` of `total` calls were slow.
    pub fn note_answers(&mut self, slow: u32, total: u32, now: Moment) {
        self.answered = self.answered.saturating_add(total);
        self.slow_rate.note(slow, total);
        match self.degradation {
            Some(_) if slow > 0 => self.successes = 0,
            Some(_) if total > 0 => self.count_success(now),
            None if self.slow_rate.is_slow() => self.degrade(Degradation::Slow, now),
            _ => {}
        }
    }

    /// Applies a load report.
    pub fn note_report(&mut self, report: &LoadReport, now: Moment) {
        let first = self.boot.is_none();
        let restarted = self.boot.as_ref().is_some_and(|b| *b != report.boot);
        self.boot = Some(report.boot.clone());
        self.readiness = Some(report.readiness);
        match report.readiness {
            Readiness::Cold => self.reset_cap(now),
            _ if restarted => self.reset_cap(now),
            // Calls may be answered before the first report arrives. If the report were
            // ignored then, a site that starts under load would use a fraction of its
            // slots for seconds and reject the other calls.
            Readiness::Warm if first && !self.has_shed && self.degradation.is_none() => {
                self.cap = self.slots;
            }
            _ => {}
        }
        if self.degradation == Some(Degradation::Down) {
            self.next_trial = self.next_trial.min(now);
        }
    }

    /// Raises the cap by one slot if the leased slots have answered enough calls.
    pub fn grow(&mut self, now: Moment) {
        let held = self.readiness == Some(Readiness::Cold);
        let proven = self.answered >= self.cap && now.since(self.grown_at) >= GROWTH_INTERVAL;
        if held || !proven || self.cap >= self.slots {
            return;
        }
        self.cap += 1;
        self.answered = 0;
        self.grown_at = now;
    }

    fn reset_cap(&mut self, now: Moment) {
        self.cap = self.cap.min(self.cold);
        self.answered = 0;
        self.grown_at = now;
    }

    fn degrade(&mut self, degradation: Degradation, now: Moment) {
        self.degradation = Some(degradation);
        self.successes = 0;
        self.next_trial = now + TRIAL_INTERVAL;
    }

    fn count_success(&mut self, now: Moment) {
        self.successes += 1;
        self.next_trial = now;
        if self.successes < RECOVERY_TRIALS {
            return;
        }
        self.degradation = None;
        self.slow_rate = SlowRate::default();
    }
}
