//! Decides whether a call that finds no free slot may wait in the queue.

use std::time::Duration;

use derives::{tag, value};

use crate::moment::Moment;

/// The decision on a call that finds no free slot.
#[tag]
pub enum Admission {
    /// The call may wait.
    Wait,
    /// The queue is full.
    Full,
    /// The call would be served too late; the caller may retry after this time.
    TooLate(Duration),
}

/// Controls admission to a service's queue by the rate at which waiting calls are
/// started.
///
/// Protects against arrivals above the capacity of all slots for a minute or more.
/// Without admission control every call would wait as long as the queue is deep, and
/// callers would give up on calls that are run later all the same. Two rules apply:
///
/// - A call whose estimated wait exceeds its deadline is rejected at once, while "not
///   run" is still true and the caller can try elsewhere.
/// - A queue that has not been empty for [`STANDING_AFTER`] is a standing queue: it adds
///   delay without improving throughput. The longer it stands, the shorter the wait up to
///   which new calls are admitted, down to [`STANDING_WAIT_LIMIT`]. A burst shorter than
///   [`STANDING_AFTER`] is queued completely, and a busy period of a few seconds below
///   full load still costs no call.
#[value]
pub struct AdmissionControl {
    interval: Duration,
    samples: u32,
    last_start: Option<Moment>,
    last_empty: Moment,
}

/// A queue that is never empty for this long is a standing queue, not a burst.
pub const STANDING_AFTER: Duration = Duration::from_millis(1_000);
/// The lowest limit on the estimated wait of calls that are admitted to a standing queue.
pub const STANDING_WAIT_LIMIT: Duration = Duration::from_millis(100);

/// The number of starts observed before the estimate is used.
const MIN_SAMPLES: u32 = 8;
/// The newest interval enters the running mean with the weight of one in this many.
const MEAN_WINDOW: u32 = 16;

impl AdmissionControl {
    /// Returns the state of a queue that is empty at `now`, without any observed start.
    pub fn new(now: Moment) -> AdmissionControl {
        AdmissionControl {
            interval: Duration::ZERO,
            samples: 0,
            last_start: None,
            last_empty: now,
        }
    }

    /// Notes that a waiting call was started, and how many calls are still waiting.
    pub fn note_start(&mut self, waiting: usize, now: Moment) {
        if let Some(last) = self.last_start {
            let interval = now.since(last);
            self.interval = match self.samples {
                0 => interval,
                _ => (self.interval * (MEAN_WINDOW - 1) + interval) / MEAN_WINDOW,
            };
            self.samples = self.samples.saturating_add(1);
        }
        self.last_start = (waiting > 0).then_some(now);
        if waiting == 0 {
            self.last_empty = now;
        }
    }

    /// Notes that no call is waiting.
    pub fn note_empty(&mut self, now: Moment) {
        self.last_start = None;
        self.last_empty = now;
    }

    /// Returns the estimated wait behind `ahead` calls, once enough starts were observed.
    ///
    /// A sudden drop of the rate shows in the time since the last start before it shows
    /// in the mean.
    pub fn estimate(&self, ahead: usize, now: Moment) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let since_last_start = self.last_start.map_or(Duration::ZERO, |at| now.since(at));
        let spacing = self.interval.saturating_mul(ahead.saturating_add(1));
        Some(spacing.max(since_last_start))
    }

    /// Returns the wait up to which calls are admitted.
    ///
    /// For a standing queue this is one second divided by the number of seconds since it
    /// was last empty: 500 ms after two seconds, 100 ms from ten seconds on.
    fn max_wait(&self, now: Moment) -> Duration {
        let standing = now.since(self.last_empty);
        if standing <= STANDING_AFTER {
            return Duration::MAX;
        }
        STANDING_AFTER
            .div_f64(standing.as_secs_f64())
            .max(STANDING_WAIT_LIMIT)
    }

    /// Decides on a call that would wait behind `ahead` others and has `left` until its
    /// deadline.
    pub fn decide(&self, ahead: usize, full: bool, left: Duration, now: Moment) -> Admission {
        let wait = self.estimate(ahead, now);
        let limit = match ahead {
            0 => left,
            _ => left.min(self.max_wait(now)),
        };
        match wait {
            _ if full => Admission::Full,
            Some(wait) if wait > limit => Admission::TooLate(wait),
            _ => Admission::Wait,
        }
    }
}
