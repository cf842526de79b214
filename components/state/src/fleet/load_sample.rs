//! A load sample: the load of an endpoint at one moment, as the endpoint reports it.

use std::time::Duration;

use derives::tag;

use crate::Moment;

/// The load that an endpoint reported, and when.
#[tag]
pub struct LoadSample {
    /// When the report was received.
    pub at: Moment,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests queued at the endpoint.
    pub waiting: u32,
    /// The number of requests that the endpoint runs at once.
    pub slots: u32,
    /// The service time at this moment, in percent of the usual one.
    pub slowness: u32,
    /// Whether the endpoint reported itself healthy.
    pub healthy: bool,
    /// Whether the endpoint reported its load; otherwise the numbers are this host's own.
    pub reported: bool,
}

/// How long a load sample is used.
///
/// The slowness of a machine changes about every 300 ms. After 30 ms one sample in ten is
/// outdated, and another probe costs about a millisecond.
pub const SAMPLE_TTL: Duration = Duration::from_millis(30);

/// How long a load sample of an endpoint that doesn't report its load is used.
///
/// Such a sample only shows that the endpoint answers, and probing more often than once a
/// second hardly improves on that.
const UNREPORTED_SAMPLE_TTL: Duration = Duration::from_secs(1);

/// The factor on the slowdown of an endpoint that reports itself unhealthy.
///
/// Some endpoints report so although they work, so they are kept as a last resort.
const UNHEALTHY_FACTOR: f64 = 4.0;

/// The fraction of busy slots above which endpoints become slower.
///
/// The service times of nearly full endpoints show a knee: work takes 1.7 times as long
/// once more than four slots of five are busy.
const KNEE_LOAD: f64 = 0.8;

/// The factor on the service time above the knee.
const KNEE_FACTOR: f64 = 1.7;

/// The slowdown up to which an endpoint counts as good.
///
/// Machines disturbed by others (4 times as slow) and nearly full endpoints (1.7 times)
/// are above it. Differences below it are hidden by the usual variation of service times.
pub const GOOD_SLOWDOWN: f64 = 1.35;

impl LoadSample {
    /// Returns whether the sample is recent enough to be used.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let limit = if self.reported {
            SAMPLE_TTL
        } else {
            UNREPORTED_SAMPLE_TTL
        };
        now.since(self.at) <= limit
    }

    /// Returns the expected slowdown of one more request: 1 for the usual service time.
    ///
    /// `sent` is the number of requests that this host has sent there since the sample.
    pub fn slowdown(&self, sent: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let slow = f64::from(self.slowness) / 100.0;
        let knee = if self.is_loaded(sent) {
            KNEE_FACTOR
        } else {
            1.0
        };
        let queue = (f64::from(self.requests(sent)) + 1.0 - slots).max(0.0) / slots;
        let unhealthy = if self.healthy { 1.0 } else { UNHEALTHY_FACTOR };
        slow * knee * unhealthy * (1.0 + queue)
    }

    /// Returns whether the endpoint would be above the knee with one more request.
    pub fn is_loaded(&self, sent: u32) -> bool {
        let slots = f64::from(self.slots.max(1));
        f64::from(self.requests(sent)) + 1.0 > slots * KNEE_LOAD
    }

    /// Returns the fraction of busy slots.
    pub fn load(&self, sent: u32) -> f64 {
        f64::from(self.requests(sent)) / f64::from(self.slots.max(1))
    }

    /// Returns whether a slot is free on a machine that is not disturbed.
    pub fn has_room(&self, sent: u32) -> bool {
        let disturbed = f64::from(self.slowness) / 100.0 > GOOD_SLOWDOWN;
        self.healthy && !disturbed && self.requests(sent) < self.slots
    }

    /// Returns whether the endpoint has no requests.
    pub fn is_idle(&self, sent: u32) -> bool {
        self.requests(sent) == 0
    }

    /// Returns the number of requests there, including `sent` ones since the sample.
    fn requests(&self, sent: u32) -> u32 {
        self.running + self.waiting + sent
    }
}
