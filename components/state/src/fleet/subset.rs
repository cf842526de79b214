//! The part of a service's endpoints that one host sends its requests to.
//!
//! Designed for sites in which each host has a request every few seconds and dozens of
//! endpoints. Connections close after some eight idle seconds, so a host that uses all
//! endpoints opens a new connection for nearly every probe. A host that uses a few of them
//! finds its connections open.
//!
//! The near endpoints are evenly spaced points on a ring, in the order of their keys, which
//! are hashes. The hosts of the data centre, in the order of their addresses, start at
//! evenly spaced points of the ring, and each uses the next endpoints from its start. So no
//! endpoint is in more than `ceil(hosts * size / endpoints)` subsets, and one that joins or
//! leaves, or a host that does, shifts each subset by about one endpoint.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use crate::EndpointKey;

/// Whether hosts use subsets at all. A build with `false` serves for comparison.
pub const ENABLED: bool = true;

/// The smallest number of subsets that an endpoint is in, on average.
///
/// An endpoint that is in one subset gets nothing while the others' view of that host is
/// outdated.
const MIN_COVERAGE: usize = 2;

/// The number of requests that an endpoint is to be offered by all hosts together in
/// [`NEW_TIME`] after it has joined.
///
/// With six expected, none comes once in 400 times.
const NEW_REQUESTS: f64 = 6.0;

/// The time within which a new endpoint is to get requests.
///
/// Half of the four seconds promised; hosts learn of the endpoint and recompute their
/// subsets in the other half.
const NEW_TIME: Duration = Duration::from_secs(2);

/// The subset of one host: its part of the near endpoints of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Subset {
    /// All near endpoints, from the host's start on.
    ring: Vec<EndpointKey>,
    size: usize,
    /// The number of endpoints on the ring that the host uses while they are new.
    new_reach: usize,
    hosts: usize,
    /// Where in the order of keys the host begins in other data centres.
    far_start: u64,
    /// The number of decisions since the last [`Subset::take_usage`].
    decisions: u32,
    /// Those among them for which a member was nearly full and none good.
    crowded: u32,
}

/// How a subset was used for some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// The number of decisions.
    pub decisions: u32,
    /// Those for which a member was nearly full and none good.
    pub crowded: u32,
}

/// Returns the smallest size of at least `wanted` at which subsets are spread evenly over
/// the endpoints: none is in more than 1.2 times the mean number of them.
///
/// Returns `endpoints` if no smaller size is.
pub fn even_size(hosts: usize, endpoints: usize, wanted: usize) -> usize {
    let covering = (MIN_COVERAGE * endpoints).div_ceil(hosts.max(1));
    let first = wanted.max(covering).max(1);
    let is_even = |size: &usize| {
        let memberships = hosts * size;
        let most = memberships.div_ceil(endpoints);
        5 * most * endpoints <= 6 * memberships
    };
    (first..endpoints).find(is_even).unwrap_or(endpoints)
}

/// The smallest number of hosts in a data centre that use subsets.
///
/// Fewer hosts have enough requests each to keep connections to all endpoints open, and a
/// difference of one host in their views would leave endpoints without requests.
const MIN_HOSTS: usize = 6;

/// The number of near endpoints up to which hosts use all of them.
///
/// A subset has six members at least; two more cost hardly any connections.
const MAX_SHARED_BY_ALL: usize = 8;

impl Subset {
    /// Returns the subset of the host at `position` among `hosts` of its data centre, with
    /// at least `wanted` of the near endpoints; `None` if the host uses all of them.
    pub fn new(
        near: &BTreeSet<EndpointKey>,
        position: usize,
        hosts: usize,
        wanted: usize,
    ) -> Option<Subset> {
        let endpoints = near.len();
        let size = even_size(hosts, endpoints, wanted);
        let is_small = hosts < MIN_HOSTS || endpoints <= MAX_SHARED_BY_ALL;
        // With nearly all endpoints in each subset there is nothing to gain.
        if !ENABLED || is_small || hosts <= position || 5 * size >= 4 * endpoints {
            return None;
        }
        let start = position * endpoints / hosts;
        let ring = near.iter().skip(start).chain(near.iter().take(start));
        Some(Subset {
            ring: ring.copied().collect(),
            size,
            new_reach: endpoints,
            hosts,
            far_start: (u64::MAX / hosts as u64) * position as u64,
            decisions: 0,
            crowded: 0,
        })
    }

    /// Returns the number of members.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the members; those that can't be used are replaced by the next endpoints of
    /// the ring.
    pub fn members(&self) -> &[EndpointKey] {
        &self.ring[..self.size]
    }

    /// Returns all near endpoints, from the host's start on.
    pub fn ring(&self) -> &[EndpointKey] {
        &self.ring
    }

    /// Sets the host's rate in requests per second, from which follows how far on the ring
    /// it looks for new endpoints.
    pub fn set_rate(&mut self, rate: f64) {
        let endpoints = self.ring.len();
        let offered = self.hosts as f64 * rate * NEW_TIME.as_secs_f64() / endpoints as f64;
        let reach = (NEW_REQUESTS / offered).ceil();
        self.new_reach = match reach < endpoints as f64 {
            true => (reach as usize).max(self.size),
            false => endpoints,
        };
    }

    /// Returns whether the host uses this near endpoint while it is new, as a member or so
    /// that enough hosts do.
    pub(super) fn reaches_new(&self, key: EndpointKey) -> bool {
        self.ring[..self.new_reach].contains(&key)
    }

    /// Counts a decision.
    pub(super) fn note_decision(&mut self) {
        self.decisions += 1;
    }

    /// Counts that a member was nearly full and none good at a decision.
    pub(super) fn note_crowded(&mut self) {
        self.crowded += 1;
    }

    /// Returns how the subset was used since the last call.
    pub fn take_usage(&mut self) -> Usage {
        Usage {
            decisions: std::mem::take(&mut self.decisions),
            crowded: std::mem::take(&mut self.crowded),
        }
    }

    /// Returns the `count` endpoints of another data centre that follow this host's place
    /// there; with the same place for all requests, connections to them stay open.
    pub(super) fn far_window(
        &self,
        keys: &BTreeSet<EndpointKey>,
        count: usize,
    ) -> Vec<EndpointKey> {
        let start = EndpointKey(self.far_start);
        let after = keys.range((Bound::Included(start), Bound::Unbounded));
        let before = keys.range((Bound::Unbounded, Bound::Excluded(start)));
        after.chain(before).take(count).copied().collect()
    }
}
