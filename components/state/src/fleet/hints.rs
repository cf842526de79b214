//! Decides what observations of other hosts change for this one.
//!
//! An observation of another host is a hint. It makes this host avoid an endpoint for a
//! short time as long as enough others remain, and is no evidence on any request. A host
//! whose own links are cut reports healthy endpoints as failed, so its reports on a service
//! or a data centre are ignored once they cover most of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use derives::key;

use super::observation::{Observation, ObservationKind};
use super::registry::Registry;
use crate::{DataCentreKey, EndpointKey, Moment, ServiceKey};

/// How long an endpoint is avoided by hints.
///
/// Shorter than the first avoidance after a failure that this host has seen itself: a wrong
/// report must not keep an endpoint idle for long. Hosts that go on observing the failure
/// tell it again.
pub const HINT_TIME: Duration = Duration::from_millis(750);

/// At most one in this many of a service's endpoints in one data centre is avoided through
/// hints alone.
pub const HINTED_DIVISOR: usize = 4;

/// The fewest reported endpoints that make a host count as cut off.
///
/// The same number of failed endpoints isolates a host from a service in its own view.
const CUT_OFF_REPORTS: usize = 3;

/// How long an observation counts.
///
/// A host reports the endpoints that it can't reach one after the other, as it has requests
/// for them.
const VOTE_TIME: Duration = Duration::from_secs(2);

/// Observations that were older than this when they were sent are ignored.
pub const MAX_AGE: Duration = Duration::from_millis(500);

/// How long the numbers of endpoints are kept before they are counted again.
///
/// Counting goes through all known endpoints, and hosts report many at once when a data
/// centre is lost.
const COUNT_TTL: Duration = Duration::from_millis(100);

/// The endpoints of a service in one data centre.
#[key]
struct Group {
    service: ServiceKey,
    centre: DataCentreKey,
}

/// The numbers of endpoints of each group.
#[derive(Clone, Debug, Default)]
struct Counts {
    counted: Option<Moment>,
    /// All endpoints that accept requests, and those avoided for what this host has seen.
    groups: BTreeMap<Group, (usize, usize)>,
}

impl Counts {
    fn refresh(&mut self, registry: &Registry, now: Moment) {
        if self.counted.is_some_and(|at| now.since(at) < COUNT_TTL) {
            return;
        }
        self.counted = Some(now);
        self.groups.clear();
        for (_, state) in registry.iter().filter(|(_, s)| s.accepts(now)) {
            let group = Group {
                service: state.endpoint.service,
                centre: state.endpoint.centre,
            };
            let (all, failing) = self.groups.entry(group).or_default();
            *all += 1;
            *failing += usize::from(state.health.is_failing(now));
        }
    }

    fn sum(&self, matches: impl Fn(&Group) -> bool) -> usize {
        let matching = self.groups.iter().filter(|(group, _)| matches(group));
        matching.map(|(_, (all, _))| all).sum()
    }
}

/// An observation of one host.
#[derive(Clone, Copy, Debug)]
struct Vote {
    kind: ObservationKind,
    /// When the host observed it.
    at: Moment,
}

/// What one host has reported.
#[derive(Clone, Debug, Default)]
struct Reporter {
    told: BTreeMap<EndpointKey, Moment>,
    /// The services and data centres of which it has reported most endpoints.
    cut_off_services: BTreeSet<ServiceKey>,
    cut_off_centres: BTreeSet<DataCentreKey>,
}

impl Reporter {
    fn is_cut_off(&self, group: Group) -> bool {
        self.cut_off_services.contains(&group.service)
            || self.cut_off_centres.contains(&group.centre)
    }

    fn cut_off_parts(&self) -> usize {
        self.cut_off_services.len() + self.cut_off_centres.len()
    }

    fn judge(&mut self, registry: &Registry, counts: &Counts) {
        let mut services: BTreeMap<ServiceKey, usize> = BTreeMap::new();
        let mut centres: BTreeMap<DataCentreKey, usize> = BTreeMap::new();
        for group in self.told.keys().filter_map(|key| group_of(*key, registry)) {
            *services.entry(group.service).or_default() += 1;
            *centres.entry(group.centre).or_default() += 1;
        }
        services.retain(|s, n| is_most(*n, || counts.sum(|g| g.service == *s)));
        centres.retain(|c, n| is_most(*n, || counts.sum(|g| g.centre == *c)));
        self.cut_off_services = services.into_keys().collect();
        self.cut_off_centres = centres.into_keys().collect();
    }
}

/// What a report changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HintEffect {
    /// The endpoints that are avoided through the report, with the reason.
    pub avoided: Vec<(EndpointKey, ObservationKind)>,
    /// The endpoints that are no longer avoided through hints.
    pub released: Vec<EndpointKey>,
    /// Whether the sender has just been found to be cut off from a service or data centre.
    pub is_cut_off: bool,
}

/// The observations of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    votes: BTreeMap<EndpointKey, BTreeMap<SocketAddr, Vote>>,
    reporters: BTreeMap<SocketAddr, Reporter>,
    /// The endpoints avoided through hints, and until when.
    hinted: BTreeMap<EndpointKey, Moment>,
    counts: Counts,
}

impl Hints {
    /// Takes in the report of another host.
    pub fn take_in(
        &mut self,
        from: SocketAddr,
        observations: &[Observation],
        registry: &mut Registry,
        now: Moment,
    ) -> HintEffect {
        self.forget(now);
        self.counts.refresh(registry, now);
        let mut effect = HintEffect::default();
        let mut reported = BTreeSet::new();
        for observation in observations {
            let is_known = registry.get(observation.endpoint).is_some();
            if is_known && observation.age <= MAX_AGE {
                self.note(from, *observation, now);
                reported.insert(observation.endpoint);
            }
        }
        let mut endpoints = reported.clone();
        if self.judge(from, registry) {
            effect.is_cut_off = true;
            let told = self.reporters.get(&from).map(|r| r.told.keys().copied());
            endpoints.extend(told.into_iter().flatten());
        }
        for endpoint in endpoints {
            match self.confirmed_kind(endpoint, registry) {
                Some(kind) if reported.contains(&endpoint) => {
                    self.avoid(endpoint, kind, registry, now, &mut effect);
                }
                Some(_) => {}
                None => self.release(endpoint, registry, now, &mut effect),
            }
        }
        effect
    }

    /// Returns which hosts lately reported which endpoints of a data centre not to answer,
    /// and when they observed it.
    pub fn unanswered_in<'a>(
        &'a self,
        centre: DataCentreKey,
        registry: &'a Registry,
    ) -> impl Iterator<Item = (SocketAddr, EndpointKey, Moment)> + 'a {
        let there = self.votes.iter().filter(move |(key, _)| {
            group_of(**key, registry).is_some_and(|group| group.centre == centre)
        });
        there.flat_map(|(key, votes)| {
            let unanswered = votes.iter().filter(|(_, vote)| vote.kind.is_unanswered());
            unanswered.map(|(from, vote)| (*from, *key, vote.at))
        })
    }

    fn note(&mut self, from: SocketAddr, observation: Observation, now: Moment) {
        let Observation {
            endpoint,
            kind,
            age,
        } = observation;
        let at = now - age;
        if kind == ObservationKind::Recovered {
            let votes = self.votes.entry(endpoint).or_default();
            votes.retain(|_, vote| vote.at > at);
            if let Some(reporter) = self.reporters.get_mut(&from) {
                reporter.told.remove(&endpoint);
            }
            return;
        }
        let votes = self.votes.entry(endpoint).or_default();
        votes.insert(from, Vote { kind, at });
        let reporter = self.reporters.entry(from).or_default();
        reporter.told.insert(endpoint, at);
    }

    /// Finds out whether a host is cut off; returns whether it wasn't known to be.
    fn judge(&mut self, from: SocketAddr, registry: &Registry) -> bool {
        let Some(reporter) = self.reporters.get_mut(&from) else {
            return false;
        };
        let before = reporter.cut_off_parts();
        reporter.judge(registry, &self.counts);
        reporter.cut_off_parts() > before
    }

    fn avoid(
        &mut self,
        endpoint: EndpointKey,
        kind: ObservationKind,
        registry: &mut Registry,
        now: Moment,
        effect: &mut HintEffect,
    ) {
        if !self.has_room(endpoint, registry, now) {
            return;
        }
        self.hinted.insert(endpoint, now + HINT_TIME);
        if registry.hint(endpoint, now + HINT_TIME, now) {
            effect.avoided.push((endpoint, kind));
        }
    }

    fn release(
        &mut self,
        endpoint: EndpointKey,
        registry: &mut Registry,
        now: Moment,
        effect: &mut HintEffect,
    ) {
        self.hinted.remove(&endpoint);
        if registry.release_hint(endpoint, now) {
            effect.released.push(endpoint);
        }
    }

    /// Returns what enough hosts have observed about an endpoint since it last answered this
    /// one, `None` if too few.
    fn confirmed_kind(
        &self,
        endpoint: EndpointKey,
        registry: &Registry,
    ) -> Option<ObservationKind> {
        let group = group_of(endpoint, registry)?;
        let answered = registry.get(endpoint)?.health.answered_at();
        let votes = self.votes.get(&endpoint)?.iter();
        let counted: Vec<ObservationKind> = votes
            .filter(|(_, vote)| answered.is_none_or(|at| at < vote.at))
            .filter(|(from, _)| !self.is_cut_off(**from, group))
            .map(|(_, vote)| vote.kind)
            .collect();
        let clearest = counted.iter().min_by_key(|kind| kind.needed_hosts())?;
        (counted.len() >= clearest.needed_hosts()).then_some(*clearest)
    }

    fn is_cut_off(&self, from: SocketAddr, group: Group) -> bool {
        let reporter = self.reporters.get(&from);
        reporter.is_some_and(|r| r.is_cut_off(group))
    }

    /// Returns whether an endpoint may be avoided through hints: few of its group are
    /// already, and at least half of them remain in use.
    fn has_room(&self, endpoint: EndpointKey, registry: &Registry, now: Moment) -> bool {
        let Some(group) = group_of(endpoint, registry) else {
            return false;
        };
        let (all, failing) = self.counts.groups.get(&group).copied().unwrap_or_default();
        let others = self.hinted.iter().filter(|(key, until)| {
            **key != endpoint && now < **until && group_of(**key, registry) == Some(group)
        });
        let hinted = others.count() + 1;
        hinted <= all / HINTED_DIVISOR && (hinted + failing) * 2 <= all
    }

    fn forget(&mut self, now: Moment) {
        for votes in self.votes.values_mut() {
            votes.retain(|_, vote| now.since(vote.at) < VOTE_TIME);
        }
        self.votes.retain(|_, votes| !votes.is_empty());
        for reporter in self.reporters.values_mut() {
            reporter.told.retain(|_, at| now.since(*at) < VOTE_TIME);
        }
        self.reporters.retain(|_, r| !r.told.is_empty());
        self.hinted.retain(|_, until| now < *until);
    }
}

fn group_of(endpoint: EndpointKey, registry: &Registry) -> Option<Group> {
    let endpoint = &registry.get(endpoint)?.endpoint;
    Some(Group {
        service: endpoint.service,
        centre: endpoint.centre,
    })
}

/// Returns whether `reported` endpoints are most of `all`.
fn is_most(reported: usize, all: impl FnOnce() -> usize) -> bool {
    reported >= CUT_OFF_REPORTS && reported * 2 >= all()
}
