//! Decides which observations about endpoints a host tells its neighbours, and when.
//!
//! Designed for sites in which each host sends an endpoint a request every few seconds, so
//! that each host would find out about a failed endpoint at the cost of a request of its
//! own. Telling all neighbours costs a datagram for each; if every host that sees a failure
//! told all others, the datagrams would grow with the square of the number of hosts. A host
//! therefore waits for a random time first, and tells nothing that enough others have told
//! meanwhile.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::observation::{Observation, ObservationKind};
use crate::{EndpointKey, Moment};

/// The number of hosts of a data centre, this one included, from which observations are
/// shared.
///
/// A handful of hosts have so many requests each that they find out by themselves.
pub const MIN_HOSTS: usize = 6;

/// The requests per second and endpoint from which a host finds out alone.
///
/// An endpoint is avoided for one second at first, so a host with one request a second for
/// each endpoint learns of a failure within that time.
const SELF_SUFFICIENT_RATE: f64 = 1.0;

/// The longest time for which observations are gathered before they are told.
///
/// Several times the latency between two hosts of a data centre, so that most hosts hear of
/// a failure that all have seen before their own time to tell it comes.
pub const MAX_DELAY: Duration = Duration::from_millis(20);

/// The mean rate in bytes per second at which a host sends observations, over all receivers.
pub const BYTES_PER_SECOND: u32 = 8 * 1024;

/// The bytes that a host may send at once; with the mean rate at most 24 KB in a second.
pub const BURST_BYTES: u32 = 16 * 1024;

/// The size in bytes of a datagram with no observation, including its IP and UDP headers.
pub const DATAGRAM_BYTES: usize = 28 + 12;

/// The size in bytes of the header of observations of one kind in a datagram.
pub const GROUP_BYTES: usize = 12;

/// The size in bytes of one observation in a datagram.
///
/// The key takes eight; keys don't compress, and the attempt adds a little to large datagrams.
pub const ENDPOINT_BYTES: usize = 9;

/// How long a host remembers what others told, and what it told itself.
///
/// Longer than the longest avoidance of an endpoint, after which it is observed anew.
const MEMORY: Duration = Duration::from_secs(5);

/// How long an observation of another host counts as the same as this one's.
const SAME_TIME: Duration = Duration::from_millis(500);

/// Returns whether hosts of a data centre share observations.
///
/// `hosts` is the number of hosts of the data centre, `request_rate` this host's requests
/// per second, and `endpoints` the number of endpoints that it knows.
pub fn is_sharing(hosts: usize, request_rate: f64, endpoints: usize) -> bool {
    hosts >= MIN_HOSTS && request_rate < endpoints as f64 * SELF_SUFFICIENT_RATE
}

/// Returns the time to wait before telling, for one of `hosts` hosts.
///
/// `draw` is a random number from 0 to 1. The distribution rises exponentially towards
/// [`MAX_DELAY`], so that the number of hosts that tell before they can have heard of the
/// first one hardly grows with the number of hosts; with a uniform one it would grow in
/// proportion.
fn delay(hosts: usize, draw: f64) -> Duration {
    let hosts = hosts.max(2) as f64;
    let fraction = 1.0 + draw.max(f64::MIN_POSITIVE).ln() / hosts.ln();
    MAX_DELAY.mul_f64(fraction.clamp(0.0, 1.0))
}

/// An observation that has not been told yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    kind: ObservationKind,
    at: Moment,
}

/// The hosts that told the same failure of an endpoint.
#[derive(Clone, Debug)]
struct Heard {
    kind: ObservationKind,
    hosts: BTreeSet<SocketAddr>,
    at: Moment,
}

/// The observations that a host has to tell its neighbours.
#[derive(Clone, Debug, Default)]
pub struct ObservationOutbox {
    pending: BTreeMap<EndpointKey, Pending>,
    due: Option<Moment>,
    heard: BTreeMap<EndpointKey, Heard>,
    /// The endpoints that this host knows to have failed, for which a recovery matters.
    failed: BTreeMap<EndpointKey, Pending>,
    budget: ByteBudget,
    dropped: u64,
}

impl ObservationOutbox {
    /// Notes that this host avoids an endpoint, for one of `hosts` hosts; `draw` is a random
    /// number from 0 to 1.
    ///
    /// Returns when the observation is to be told, `None` if enough others have told it.
    pub fn note_failure(
        &mut self,
        endpoint: EndpointKey,
        kind: ObservationKind,
        hosts: usize,
        draw: f64,
        now: Moment,
    ) -> Option<Moment> {
        self.forget(now);
        let pending = Pending { kind, at: now };
        self.failed.insert(endpoint, pending);
        if self.is_told(endpoint, kind, now) {
            return None;
        }
        Some(self.put(endpoint, pending, hosts, draw))
    }

    /// Returns what an endpoint failed by, if its recovery is to be told.
    pub fn failure(&self, endpoint: EndpointKey) -> Option<ObservationKind> {
        self.failed.get(&endpoint).map(|failed| failed.kind)
    }

    /// Notes that an endpoint gave this host a good answer.
    ///
    /// Returns when its recovery is to be told, `None` if no failure of it was known.
    pub fn note_answer(
        &mut self,
        endpoint: EndpointKey,
        hosts: usize,
        draw: f64,
        now: Moment,
    ) -> Option<Moment> {
        self.failed.remove(&endpoint)?;
        let pending = Pending {
            kind: ObservationKind::Recovered,
            at: now,
        };
        Some(self.put(endpoint, pending, hosts, draw))
    }

    /// Takes in what another host told, and drops what needn't be told any more.
    pub fn note_told(&mut self, from: SocketAddr, observations: &[Observation], now: Moment) {
        self.forget(now);
        for observation in observations {
            let new = || Heard {
                kind: observation.kind,
                hosts: BTreeSet::new(),
                at: now,
            };
            let heard = self.heard.entry(observation.endpoint).or_insert_with(new);
            if heard.kind != observation.kind || now.since(heard.at) >= SAME_TIME {
                *heard = new();
            }
            heard.hosts.insert(from);
            let pending = self.pending.get(&observation.endpoint).map(|p| p.kind);
            if pending.is_some_and(|kind| self.is_told(observation.endpoint, kind, now)) {
                self.pending.remove(&observation.endpoint);
            }
            if observation.kind == ObservationKind::Recovered {
                self.failed.remove(&observation.endpoint);
            }
        }
        if self.pending.is_empty() {
            self.due = None;
        }
    }

    /// Returns when the gathered observations are to be told, `None` if there are none.
    pub fn due(&self) -> Option<Moment> {
        self.due
    }

    /// Returns the observations to tell `receivers` hosts now; empty before they are due.
    ///
    /// What exceeds the byte budget is dropped. Failures are kept before recoveries, and
    /// newer ones before older ones.
    pub fn take_due(&mut self, receivers: usize, now: Moment) -> Vec<Observation> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        let mut all: Vec<(EndpointKey, Pending)> =
            std::mem::take(&mut self.pending).into_iter().collect();
        all.sort_by_key(|(key, p)| {
            let recovered = p.kind == ObservationKind::Recovered;
            (recovered, std::cmp::Reverse(p.at), *key)
        });
        let count = self.budget.grant(receivers, &all, now);
        self.dropped += (all.len() - count) as u64;
        let kept = all.into_iter().take(count);
        kept.map(|(endpoint, pending)| Observation {
            endpoint,
            kind: pending.kind,
            age: now.since(pending.at),
        })
        .collect()
    }

    /// Returns the number of observations dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    fn put(&mut self, endpoint: EndpointKey, pending: Pending, hosts: usize, draw: f64) -> Moment {
        let at = pending.at;
        self.pending.insert(endpoint, pending);
        *self.due.get_or_insert_with(|| at + delay(hosts, draw))
    }

    fn is_told(&self, endpoint: EndpointKey, kind: ObservationKind, now: Moment) -> bool {
        self.heard.get(&endpoint).is_some_and(|heard| {
            heard.kind == kind
                && now.since(heard.at) < SAME_TIME
                && heard.hosts.len() >= kind.needed_hosts()
        })
    }

    fn forget(&mut self, now: Moment) {
        self.heard.retain(|_, heard| now.since(heard.at) < MEMORY);
        self.failed
            .retain(|_, failed| now.since(failed.at) < MEMORY);
    }
}

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
struct ByteBudget {
    available: f64,
    at: Moment,
}

impl Default for ByteBudget {
    fn default() -> ByteBudget {
        ByteBudget {
            available: f64::from(BURST_BYTES),
            at: Moment::default(),
        }
    }
}

impl ByteBudget {
    /// Returns how many of the observations, from the first on, may be told `receivers`
    /// hosts in one datagram each, and charges these.
    fn grant(
        &mut self,
        receivers: usize,
        observations: &[(EndpointKey, Pending)],
        now: Moment,
    ) -> usize {
        let refill = now.since(self.at).as_secs_f64() * f64::from(BYTES_PER_SECOND);
        self.available = (self.available + refill).min(f64::from(BURST_BYTES));
        self.at = now;
        let mut kinds = BTreeSet::new();
        let mut granted = (0, 0.0);
        for (count, (_, pending)) in observations.iter().enumerate() {
            kinds.insert(pending.kind);
            let size = DATAGRAM_BYTES + kinds.len() * GROUP_BYTES + (count + 1) * ENDPOINT_BYTES;
            let bytes = (size * receivers) as f64;
            if bytes > self.available {
                break;
            }
            granted = (count + 1, bytes);
        }
        self.available -= granted.1;
        granted.0
    }
}
