//! How many endpoints of a service a host wants to use.

use std::time::Duration;

use crate::Moment;

use super::subset::Usage;

/// The smallest number of members.
///
/// With a third of the endpoints disturbed, all six are slow once in 700 decisions. It is
/// also the number of endpoints that one request probes at most in one round.
const MIN_SIZE: usize = 6;

/// The number of times that a member is used, on average, while an idle connection to it
/// stays open.
///
/// Arrivals are irregular: of members that are used twice in that time on average, one in
/// seven loses its connection between two uses.
const USES_PER_LIFETIME: f64 = 2.0;

/// The shortest lifetime of idle connections with which a host uses a subset.
///
/// Subsets are updated and connections refreshed once a second, so shorter-lived ones can't
/// be kept open.
const MIN_IDLE_LIFETIME: Duration = Duration::from_secs(1);

/// The number of probes for each request.
///
/// A third of the endpoints are disturbed, so that a request probes one and a half.
const PROBES_PER_REQUEST: f64 = 1.5;

/// The fraction of its slots up to which an endpoint isn't slower.
const KNEE_LOAD: f64 = 0.8;

/// The fraction of members that are undisturbed.
const UNDISTURBED: f64 = 2.0 / 3.0;

/// The fraction of members' slots that this host's requests may take; the others belong to
/// the hosts that share them.
const OWN_FRACTION: f64 = 0.5;

/// The time over which the rate is averaged.
const RATE_PERIOD: Duration = Duration::from_secs(15);

/// The time over which the slots in use are averaged; load has to be followed soon.
const LOAD_PERIOD: Duration = Duration::from_secs(2);

/// The fraction of crowded decisions above which the subset grows.
///
/// A request that finds no good member goes to the next endpoint on the ring, which may need a
/// new connection. Rarer ones cost less than the connections of a larger subset. Endpoints with
/// two slots are nearly full with one request, so that one decision in ten is crowded at usual
/// load.
const CROWDED: f64 = 0.25;

/// The factor by which a crowded subset grows in a second.
const GROWTH: f64 = 1.5;

/// The factor by which the growth is undone in a second without crowding.
const DECAY: f64 = 0.9;

/// The subset shrinks if the wanted size was below this fraction of it for [`SHRINK_AFTER`].
const SHRINK_BELOW: f64 = 0.75;

/// How long a smaller size must have been wanted until the subset shrinks.
const SHRINK_AFTER: Duration = Duration::from_secs(15);

/// What a host did with a service since the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The number of requests.
    pub requests: u32,
    /// Their expected service time, summed.
    pub busy: Duration,
    /// How the subset was used.
    pub usage: Usage,
}

/// The properties of a service's endpoints that the size depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long an idle connection stays open.
    pub idle_lifetime: Duration,
    /// The number of requests that an endpoint runs at once.
    pub slots: u32,
    /// The number of near endpoints.
    pub near: usize,
}

/// The number of near endpoints that a host wants to use, with hysteresis.
///
/// A host starts with the smallest number: of the connections that it opened to others, most
/// would expire before their next use. The size follows the rate and crowding within seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSize {
    size: usize,
    /// Requests per second; a moving average that is short of [`SubsetSize::observed`].
    rate: f64,
    /// The sum of the weights of the values in the average, 0 to 1.
    observed: f64,
    /// Slots in use.
    load: f64,
    /// The factor by which crowding has increased the size.
    growth: f64,
    updated: Moment,
    /// Since when a smaller size has been wanted.
    smaller_since: Option<Moment>,
}

impl SubsetSize {
    /// Returns the state of a host that has seen no request for a service.
    pub fn new(now: Moment) -> SubsetSize {
        SubsetSize {
            size: MIN_SIZE,
            rate: 0.0,
            observed: 0.0,
            load: 0.0,
            growth: 1.0,
            updated: now,
            smaller_since: None,
        }
    }

    /// Returns the wanted size; at least the number of near endpoints if all are wanted.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the estimated rate in requests per second.
    pub fn rate(&self) -> f64 {
        match self.observed > 0.0 {
            true => self.rate / self.observed,
            false => 0.0,
        }
    }

    /// Takes in the demand since the last update, about a second ago, and returns the wanted
    /// size.
    pub fn update(&mut self, demand: Demand, limits: Limits, now: Moment) -> usize {
        let time = now.since(self.updated).as_secs_f64();
        if time > 0.0 {
            self.updated = now;
            let rate = f64::from(demand.requests) / time;
            let load = demand.busy.as_secs_f64() / time;
            let rate_weight = weight(time, RATE_PERIOD);
            self.rate += (rate - self.rate) * rate_weight;
            self.observed += (1.0 - self.observed) * rate_weight;
            self.load += (load - self.load) * weight(time, LOAD_PERIOD);
            self.note_usage(demand.usage, limits.near, time);
        }
        let wanted = self.wanted(limits);
        let smaller = (wanted as f64) < self.size.min(limits.near) as f64 * SHRINK_BELOW;
        match (smaller, self.smaller_since) {
            (true, None) => self.smaller_since = Some(now),
            (true, Some(since)) if now.since(since) >= SHRINK_AFTER => {
                self.size = wanted;
                self.smaller_since = None;
            }
            (true, Some(_)) => {}
            (false, _) => {
                self.size = self.size.max(wanted);
                self.smaller_since = None;
            }
        }
        self.size
    }

    fn note_usage(&mut self, usage: Usage, near: usize, time: f64) {
        let crowded = f64::from(usage.crowded) > f64::from(usage.decisions) * CROWDED;
        self.growth = match crowded {
            true => (self.growth * GROWTH).min(near as f64),
            false => (self.growth * DECAY.powf(time)).max(1.0),
        };
    }

    fn wanted(&self, limits: Limits) -> usize {
        if limits.idle_lifetime < MIN_IDLE_LIFETIME {
            return usize::MAX;
        }
        let uses = self.rate() * PROBES_PER_REQUEST * limits.idle_lifetime.as_secs_f64();
        let slots = f64::from(limits.slots.max(1)) * KNEE_LOAD * UNDISTURBED * OWN_FRACTION;
        let used = (uses / USES_PER_LIFETIME).max(self.load / slots);
        let size = (used * self.growth).ceil() as usize;
        let min_size = (MIN_SIZE as f64 * self.growth) as usize;
        size.max(min_size)
    }
}

/// Returns the weight of a new value that covers `time` seconds in a moving average.
fn weight(time: f64, period: Duration) -> f64 {
    1.0 - (-time / period.as_secs_f64()).exp()
}
