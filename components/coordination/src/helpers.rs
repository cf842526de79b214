//! Chooses the hosts that send requests to endpoints for a host that reaches none.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use derives::tag;
use state::Moment;
use state::topology::Distance;

/// How long a host that reaches no endpoint either isn't chosen.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(1);

/// How long a host that doesn't answer isn't chosen.
const UNREACHABLE_TIME: Duration = Duration::from_secs(4);

/// The number of hosts at one distance that must fail in a row for all of them to be
/// chosen last.
///
/// When a whole data centre is cut off, each of its hosts would otherwise try all others
/// there before one elsewhere.
const FAILED_HOSTS: u32 = 3;

/// The number of hosts that one request may be forwarded to, one after the other.
///
/// A host that can't help says so within a round trip. If half of all hosts are cut off,
/// one request in 250 meets as many of them in a row.
pub const MAX_TRIES: usize = 8;

/// How a host failed to help.
#[tag]
pub enum Failure {
    /// It reaches no endpoint either, or doesn't know its routes yet.
    Unavailable,
    /// It doesn't answer.
    Unreachable,
}

/// A host that may help, and how far away it is.
#[tag]
pub struct Candidate {
    /// The address on which the host accepts requests of other hosts.
    pub address: SocketAddr,
    /// The distance of its data centre.
    pub distance: Distance,
}

/// Failures in a row of the hosts at one distance.
#[derive(Clone, Copy, Debug)]
struct Streak {
    failures: u32,
    last: Moment,
}

impl Streak {
    fn is_over_limit(self, now: Moment) -> bool {
        self.failures >= FAILED_HOSTS && now.since(self.last) < UNAVAILABLE_TIME
    }
}

/// What is known about the other hosts as helpers.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    excluded: BTreeMap<SocketAddr, Moment>,
    streaks: BTreeMap<Distance, Streak>,
    last_answer: Option<Moment>,
}

impl Helpers {
    /// Chooses a host among `candidates` that isn't in `tried`: a near one if there is any.
    ///
    /// All hosts at a distance are equally likely, so that the requests of many hosts that
    /// are cut off are spread over all others. `draw` is a random number, uniform over
    /// `u64`.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        tried: &BTreeSet<SocketAddr>,
        now: Moment,
        draw: u64,
    ) -> Option<Candidate> {
        let open: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.address) && !self.is_excluded(c.address, now))
            .collect();
        let rank = |c: &Candidate| (self.is_failing(c.distance, now), c.distance);
        let best = open.iter().map(|c| rank(c)).min()?;
        let equal: Vec<&Candidate> = open.into_iter().filter(|c| rank(c) == best).collect();
        let count = u64::try_from(equal.len()).ok()?;
        let at = usize::try_from(draw % count).ok()?;
        equal.get(at).map(|c| **c)
    }

    /// Notes that a host returned an endpoint's answer to a request that was forwarded to it.
    pub fn note_answer(&mut self, host: Candidate, now: Moment) {
        self.last_answer = Some(now);
        self.excluded.remove(&host.address);
        self.streaks.remove(&host.distance);
    }

    /// Notes that a host could not help.
    pub fn note_failure(&mut self, host: Candidate, failure: Failure, now: Moment) {
        self.excluded.retain(|_, until| now < *until);
        let time = match failure {
            Failure::Unavailable => UNAVAILABLE_TIME,
            Failure::Unreachable => UNREACHABLE_TIME,
        };
        self.excluded.insert(host.address, now + time);
        let streak = self.streaks.entry(host.distance).or_insert(Streak {
            failures: 0,
            last: now,
        });
        streak.failures += 1;
        streak.last = now;
    }

    /// Returns whether a host has returned an endpoint's answer in the last `time`.
    pub fn answered_within(&self, time: Duration, now: Moment) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) <= time)
    }

    fn is_excluded(&self, address: SocketAddr, now: Moment) -> bool {
        self.excluded
            .get(&address)
            .is_some_and(|until| now < *until)
    }

    fn is_failing(&self, distance: Distance, now: Moment) -> bool {
        self.streaks
            .get(&distance)
            .is_some_and(|s| s.is_over_limit(now))
    }
}
