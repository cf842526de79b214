//! Decides whether a call that finds no free slot may wait.

use std::time::Duration;

use derives::{tag, value};

use crate::moment::Moment;

/// What becomes of a call that finds no free slot.
#[tag]
pub enum Admission {
    /// It may wait.
    Wait,
    /// Too many calls wait already.
    Full,
    /// It would be served too late; to be tried again after this time.
    TooLate(Duration),
}

/// Watches how fast waiting calls are started, and limits how long calls wait.
///
/// Made for arrivals above what all slots bear, for a minute or more. Without
/// it every call would wait as long as the queue is deep, and callers would
/// give up on work that then runs for nobody. Two rules:
///
/// - A call whose estimated wait is past its deadline is refused at once, while
///   "not run" is true and the caller can still go elsewhere.
/// - A queue that has not been empty for [`STANDING`] is a standing queue: it
///   adds delay and serves nobody better. The longer it stands, the shorter
///   the wait up to which new calls are admitted, down to [`TARGET`]. A burst
///   shorter than [`STANDING`] is queued whole, and a busy spell of a few
///   seconds below full load still costs no call.
#[value]
pub struct AdmissionControl {
    interval: Duration,
    samples: u32,
    started: Option<Moment>,
    emptied: Moment,
}

/// A queue that is never empty for this long is standing, not a burst.
pub const STANDING: Duration = Duration::from_millis(1_000);
/// The wait up to which calls are admitted to a standing queue.
pub const TARGET: Duration = Duration::from_millis(100);

/// Starts seen before the estimate is believed.
const SAMPLES: u32 = 8;
/// The weight of the newest interval is one in this many.
const WEIGHT: u32 = 16;

impl AdmissionControl {
    /// Returns a gate that has seen nothing yet.
    pub fn new(now: Moment) -> AdmissionControl {
        AdmissionControl {
            interval: Duration::ZERO,
            samples: 0,
            started: None,
            emptied: now,
        }
    }

    /// Notes that a waiting call was started, and whether others wait still.
    pub fn note_start(&mut self, waiting: usize, now: Moment) {
        if let Some(last) = self.started {
            let interval = now.since(last);
            self.interval = match self.samples {
                0 => interval,
                _ => (self.interval * (WEIGHT - 1) + interval) / WEIGHT,
            };
            self.samples = self.samples.saturating_add(1);
        }
        self.started = (waiting > 0).then_some(now);
        if waiting == 0 {
            self.emptied = now;
        }
    }

    /// Notes that no call waits.
    pub fn note_empty(&mut self, now: Moment) {
        self.started = None;
        self.emptied = now;
    }

    /// Returns the estimated wait behind `ahead` calls, where one can be given.
    ///
    /// A rate that falls suddenly shows in the time since the last start
    /// before it shows in the mean.
    pub fn estimate(&self, ahead: usize, now: Moment) -> Option<Duration> {
        if self.samples < SAMPLES {
            return None;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let silence = self.started.map_or(Duration::ZERO, |at| now.since(at));
        let spacing = self.interval.saturating_mul(ahead.saturating_add(1));
        Some(spacing.max(silence))
    }

    /// Returns the wait up to which calls are admitted.
    ///
    /// A second over the seconds for which the queue has stood: 500 ms after
    /// two, 100 ms from ten on.
    fn allowed(&self, now: Moment) -> Duration {
        let stood = now.since(self.emptied);
        if stood <= STANDING {
            return Duration::MAX;
        }
        STANDING.div_f64(stood.as_secs_f64()).max(TARGET)
    }

    /// Decides about a call that would wait behind `ahead` others.
    pub fn decide(&self, ahead: usize, full: bool, left: Duration, now: Moment) -> Admission {
        let wait = self.estimate(ahead, now);
        let limit = match ahead {
            0 => left,
            _ => left.min(self.allowed(now)),
        };
        match wait {
            _ if full => Admission::Full,
            Some(wait) if wait > limit => Admission::TooLate(wait),
            _ => Admission::Wait,
        }
    }
}
