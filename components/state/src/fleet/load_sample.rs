//! One look at an endpoint: what it says of its load at one moment.

use std::time::Duration;

use derives::tag;

use crate::Moment;

/// What an endpoint said of its load, and when.
#[tag]
pub struct LoadSample {
    /// When it was heard.
    pub at: Moment,
    /// Requests running.
    pub running: u32,
    /// Requests waiting at the endpoint.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// How long work takes there at this moment, in hundredths of the usual.
    pub slowness: u32,
    /// Whether the endpoint called itself healthy.
    pub healthy: bool,
    /// Whether the endpoint told its load; else the figures are this host's own.
    pub reported: bool,
}

/// How long a look may be acted on.
///
/// The slowness of a machine is drawn anew about every 300 ms. After 30 ms one
/// look in ten is out of date, and asking again costs about a millisecond.
pub const FRESH: Duration = Duration::from_millis(30);

/// How long a look at an endpoint that doesn't tell its load may be acted on.
///
/// It only says that the endpoint answers, which asking more often than once a
/// second hardly makes truer.
const BLIND_FRESH: Duration = Duration::from_secs(1);

/// How much worse an endpoint is taken to be that calls itself unhealthy.
///
/// Some are well and say otherwise, so they stay the last resort.
const ILL_FACTOR: f64 = 4.0;

/// The share of the slots above which endpoints become slower.
///
/// Seen as a knee in the answer times of nearly full endpoints: work takes 1.7
/// times as long once more than four slots of five are taken.
const KNEE: f64 = 0.8;

/// How much longer work takes past the knee.
const KNEE_FACTOR: f64 = 1.7;

/// The pace up to which an endpoint is taken at once.
///
/// Above it stand machines disturbed by others (4 times as long) and nearly
/// full ones (1.7 times); below it lies what the usual spread hides anyway.
pub const GOOD: f64 = 1.35;

impl LoadSample {
    /// Returns whether it may still be acted on.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let limit = if self.reported { FRESH } else { BLIND_FRESH };
        now.since(self.at) <= limit
    }

    /// Returns how long one more request would take, 1 for as long as usual.
    ///
    /// `sent` counts the requests that this host sent there since the look.
    pub fn slowdown(&self, sent: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let slow = f64::from(self.slowness) / 100.0;
        let knee = if self.is_loaded(sent) {
            KNEE_FACTOR
        } else {
            1.0
        };
        let queue = (f64::from(self.taken(sent)) + 1.0 - slots).max(0.0) / slots;
        let ill = if self.healthy { 1.0 } else { ILL_FACTOR };
        slow * knee * ill * (1.0 + queue)
    }

    /// Returns whether one more request would make a nearly full endpoint slower.
    pub fn is_loaded(&self, sent: u32) -> bool {
        let slots = f64::from(self.slots.max(1));
        f64::from(self.taken(sent)) + 1.0 > slots * KNEE
    }

    /// Returns the share of the slots that is taken.
    pub fn load(&self, sent: u32) -> f64 {
        f64::from(self.taken(sent)) / f64::from(self.slots.max(1))
    }

    /// Returns whether the endpoint runs nothing.
    pub fn is_idle(&self, sent: u32) -> bool {
        self.taken(sent) == 0
    }

    /// Returns how many requests are there, `sent` of them since the look.
    fn taken(&self, sent: u32) -> u32 {
        self.running + self.waiting + sent
    }
}
