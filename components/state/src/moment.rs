//! Monotonic time within one process.

use std::ops::{Add, Sub};
use std::time::Duration;

use derives::key;

/// A time of a process's own monotonic clock, in microseconds since the process started.
///
/// Times of two processes can't be compared and are never sent: messages between
/// processes carry only durations, offsets and revisions.
#[key]
#[derive(Default)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the moment `millis` milliseconds after the process started.
    pub const fn from_millis(millis: u64) -> Moment {
        Moment(millis * 1_000)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `duration` earlier, or `None` if the process hadn't started then.
    pub fn checked_sub(self, duration: Duration) -> Option<Moment> {
        let micros = u64::try_from(duration.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Moment)
    }

    /// Returns the time until `later`, or zero if `later` is in the past.
    pub fn until(self, later: Moment) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, duration: Duration) -> Moment {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_sub(micros))
    }
}
