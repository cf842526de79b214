//! The endpoints known to a host, kept up to date from the store's records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::endpoint::{Endpoint, EndpointState};
use super::endpoint_index::EndpointIndex;
use super::isolation::Isolation;
use super::outcome::{Outcome, PassiveHealth, ShedRate};
use super::rate_limit::{RateLimitUpdate, RateLimits, Source};
use super::reachability::Reachability;
use super::scan_budget::ScanBudget;
use super::subset::Subset;
use super::token_buckets::{HostPhase, TokenBuckets};
use crate::{DataCentreKey, EndpointKey, Moment, ServiceKey};

/// How long endpoints whose lease expired during a store outage are still used.
///
/// Leases expire while the store is down, and live endpoints register again within two
/// seconds of its recovery. Without the grace period all endpoints would vanish when the
/// store comes back, and every request would be rejected. With a much longer one, a host
/// that was cut off would keep using endpoints that have left.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// How long a host must have been isolated from a service for the failures of its endpoints
/// to be the link's.
///
/// Several endpoints in a row also fail when the link to one data centre is cut, until one
/// elsewhere answers. Those must go on being avoided.
const FORGIVEN_ISOLATION: Duration = Duration::from_secs(1);

/// The content of one record in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An endpoint.
    Endpoint(Endpoint),
    /// A record that describes no usable endpoint.
    Unusable,
}

/// All endpoints known to a host.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<EndpointKey, EndpointState>,
    index: EndpointIndex,
    keys: BTreeMap<String, EndpointKey>,
    lapsed: BTreeMap<String, Moment>,
    grace_until: Option<Moment>,
    cold_buckets: TokenBuckets,
    limits: RateLimits,
    shed_rates: BTreeMap<ServiceKey, ShedRate>,
    reachability: BTreeMap<DataCentreKey, Reachability>,
    isolations: BTreeMap<ServiceKey, Isolation>,
    subsets: BTreeMap<ServiceKey, Subset>,
    scans: ScanBudget,
}

impl Registry {
    /// Returns the registry of a host that knows no endpoint yet.
    pub fn new(phase: HostPhase) -> Registry {
        Registry {
            cold_buckets: TokenBuckets::new(phase),
            limits: RateLimits::new(phase),
            ..Registry::default()
        }
    }

    /// Applies a record: the current entry for `name`, or `None` if it was removed.
    pub fn apply(&mut self, name: &str, entry: Option<Entry>, now: Moment) {
        match entry {
            Some(Entry::Endpoint(endpoint)) => self.put(name, endpoint, now),
            Some(Entry::Unusable) => self.remove(name),
            None => self.lapse(name, now),
        }
    }

    /// Returns whether the entry for `name` says nothing new.
    ///
    /// The remaining cold phase that an entry names becomes shorter with each renewal, as it
    /// does here.
    pub fn is_renewal(&self, name: &str, entry: Option<&Entry>, now: Moment) -> bool {
        let known = self.keys.get(name).and_then(|key| self.endpoints.get(key));
        let (Some(Entry::Endpoint(endpoint)), Some(state)) = (entry, known) else {
            return false;
        };
        let warm = Endpoint {
            cold: Duration::ZERO,
            ..endpoint.clone()
        };
        state.endpoint.is_renewed_by(&warm)
            && !state.would_prolong_cold(endpoint.cold, now)
            && !self.lapsed.contains_key(name)
    }

    /// Replaces the contents by a full snapshot of the store; entries missing from it are
    /// treated as removed.
    pub fn replace(&mut self, entries: BTreeMap<String, Entry>, now: Moment) {
        let missing: Vec<String> = self
            .keys
            .keys()
            .filter(|name| !entries.contains_key(*name))
            .cloned()
            .collect();
        for name in missing {
            self.apply(&name, None, now);
        }
        let first = self.endpoints.is_empty();
        for (name, entry) in entries {
            self.apply(&name, Some(entry), now);
        }
        if first {
            // The endpoints are not new to the site; only this host is.
            self.endpoints.values_mut().for_each(|s| s.joined = None);
            self.index.forget_recent();
        }
    }

    /// Starts the grace period for expired leases after a store outage.
    pub fn start_lapse_grace(&mut self, now: Moment) {
        self.grace_until = Some(now + LAPSE_GRACE);
    }

    /// Removes lapsed endpoints whose grace period is over.
    ///
    /// Must be called before each placement, since the next record from the store may
    /// come a second after the grace period.
    pub fn expire_lapsed(&mut self, now: Moment) {
        if self.lapsed.is_empty() {
            return;
        }
        let expired: Vec<String> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.lapsed.remove(&name);
            self.remove(&name);
        }
    }

    /// Drops the token buckets of endpoints that are no longer cold.
    pub fn forget_warm_buckets(&mut self, now: Moment) {
        let endpoints = &self.endpoints;
        self.cold_buckets
            .retain(|key| endpoints.get(&key).is_some_and(|s| s.is_cold(now)));
    }

    /// Marks the endpoints of `centre` as cold, each for the time that `warmup` returns
    /// for its service.
    ///
    /// Endpoints that received no requests for a while may have become cold, so each is
    /// probed before it is used again.
    pub fn mark_cold(
        &mut self,
        centre: DataCentreKey,
        now: Moment,
        warmup: impl Fn(ServiceKey) -> Duration,
    ) {
        for state in self.endpoints.values_mut() {
            if state.endpoint.centre == centre {
                state.note_cold(warmup(state.endpoint.service), now);
                state.sample = None;
            }
        }
    }

    /// Records the outcome of a request; returns whether its endpoint is newly avoided.
    pub fn note_outcome(&mut self, key: EndpointKey, outcome: Outcome, now: Moment) -> bool {
        // The endpoint may have left in the meantime.
        let Some(service) = self.endpoints.get(&key).map(|s| s.endpoint.service) else {
            return false;
        };
        self.note_isolation(service, key, outcome, now);
        let Some(state) = self.endpoints.get_mut(&key) else {
            return false;
        };
        let reachability = self.reachability.entry(state.endpoint.centre).or_default();
        reachability.note(key, outcome, now);
        let shed_rate = self.shed_rates.entry(state.endpoint.service).or_default();
        shed_rate.note(outcome);
        let before = state.health.is_failing(now);
        state.health.note(outcome, shed_rate.rate(), now);
        !before && state.health.is_failing(now)
    }

    /// Avoids an endpoint until then because other hosts reported it; returns whether it
    /// wasn't avoided so already.
    pub(super) fn hint(&mut self, key: EndpointKey, until: Moment, now: Moment) -> bool {
        let Some(state) = self.endpoints.get_mut(&key) else {
            return false;
        };
        let is_new = !state.health.is_hinted(now);
        state.health.hint(until);
        is_new
    }

    /// Ends the avoidance of an endpoint that other hosts reported; returns whether there
    /// was one.
    pub(super) fn release_hint(&mut self, key: EndpointKey, now: Moment) -> bool {
        let state = self.endpoints.get_mut(&key);
        let Some(state) = state.filter(|s| s.health.is_hinted(now)) else {
            return false;
        };
        state.health.release_hint();
        true
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        self.endpoints.iter().map(|(key, state)| (*key, state))
    }

    /// Notes that an endpoint answered a probe.
    pub fn note_answer(&mut self, key: EndpointKey, now: Moment) {
        let Some(state) = self.endpoints.get_mut(&key) else {
            return;
        };
        state.health.note_answer(now);
        let reachability = self.reachability.entry(state.endpoint.centre).or_default();
        reachability.note_answer(now);
        let service = state.endpoint.service;
        self.note_isolation(service, key, Outcome::Answered, now);
    }

    /// Returns what is known about whether this host reaches a service's endpoints, `None`
    /// if none of them has failed.
    pub fn isolation(&self, service: ServiceKey) -> Option<&Isolation> {
        self.isolations.get(&service)
    }

    /// Returns whether none of a service's endpoints seems to answer this host.
    pub fn is_isolated(&self, service: ServiceKey) -> bool {
        self.isolation(service).is_some_and(Isolation::is_isolated)
    }

    /// Returns whether at least half of a service's endpoints don't answer this host.
    pub fn reaches_few(&self, service: ServiceKey, now: Moment) -> bool {
        self.isolation(service)
            .is_some_and(|i| i.reaches_few(|| self.usable_count(service), now))
    }

    /// Returns the services that this host is isolated from.
    pub fn isolated_services(&self) -> Vec<ServiceKey> {
        let isolated = self.isolations.iter().filter(|(_, i)| i.is_isolated());
        isolated.map(|(service, _)| *service).collect()
    }

    fn note_isolation(
        &mut self,
        service: ServiceKey,
        key: EndpointKey,
        outcome: Outcome,
        now: Moment,
    ) {
        let usable = match outcome {
            Outcome::Broken => self.usable_count(service),
            _ => 0,
        };
        let isolation = self.isolations.entry(service).or_default();
        let lasted = isolation.lasted(now);
        isolation.note(key, outcome, usable, now);
        let has_ended = !isolation.is_isolated();
        if has_ended && lasted.is_some_and(|time| time >= FORGIVEN_ISOLATION) {
            self.forgive_failures(service);
        }
    }

    /// Forgets the failures of a service's endpoints, after this host was isolated from all
    /// of them: the fault was the link's.
    fn forgive_failures(&mut self, service: ServiceKey) {
        self.reachability.clear();
        for key in self.index.all(service) {
            if let Some(state) = self.endpoints.get_mut(&key) {
                state.health = PassiveHealth::default();
            }
        }
    }

    fn usable_count(&self, service: ServiceKey) -> usize {
        let usable = self.endpoints_of(service).filter(|(_, s)| !s.is_leaving());
        usable.count()
    }

    /// Returns whether a data centre's endpoints are avoided as long as there are others.
    pub fn is_unreachable(&self, centre: DataCentreKey, now: Moment) -> bool {
        self.reachability
            .get(&centre)
            .is_some_and(|r| r.is_avoided(now))
    }

    /// Returns what is known about whether this host reaches a data centre's endpoints.
    pub fn reachability(&self, centre: DataCentreKey) -> Option<&Reachability> {
        self.reachability.get(&centre)
    }

    /// Avoids a data centre's endpoints, since it has stopped responding.
    pub fn note_centre_loss(&mut self, centre: DataCentreKey, now: Moment) {
        self.reachability.entry(centre).or_default().note_loss(now);
    }

    /// Returns the token buckets for cold endpoints.
    pub fn cold_buckets_mut(&mut self) -> &mut TokenBuckets {
        &mut self.cold_buckets
    }

    /// Returns the rate limits advertised by endpoints.
    pub fn limits(&self) -> &RateLimits {
        &self.limits
    }

    /// Applies the rate limit that an endpoint's answer names, if any, and returns the
    /// update to send to other hosts.
    pub fn observe_limit(
        &mut self,
        key: EndpointKey,
        rate: Option<f64>,
        source: Source,
    ) -> Option<RateLimitUpdate> {
        self.endpoints.get(&key)?;
        self.limits.observe(key, rate, source)
    }

    /// Applies an update on an endpoint's rate limit from another host.
    ///
    /// Updates for unknown endpoints are dropped: the endpoint has left, or this host
    /// will receive the limit later. Keeping them would accumulate limits of endpoints
    /// that are gone.
    pub fn apply_limit_update(&mut self, update: &RateLimitUpdate) {
        if self.endpoints.contains_key(&update.endpoint) {
            self.limits.apply(update);
        }
    }

    /// Returns the rate limits advertised by endpoints, for changes.
    pub fn limits_mut(&mut self) -> &mut RateLimits {
        &mut self.limits
    }

    /// Returns the endpoints of a service.
    pub fn endpoints_of(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        // Looking up each endpoint takes several times as long as passing over another one.
        let is_large = 4 * self.index.len(service) >= self.endpoints.len();
        let all = is_large.then_some(&self.endpoints).into_iter().flatten();
        let passed = all.filter(move |(_, s)| s.endpoint.service == service);
        let keys = (!is_large).then(|| self.index.all(service));
        let keys = keys.into_iter().flatten();
        let looked_up = keys.filter_map(|key| Some((key, self.endpoints.get(&key)?)));
        passed.map(|(key, state)| (*key, state)).chain(looked_up)
    }

    /// Returns the number of endpoints of a service.
    pub fn count_of(&self, service: ServiceKey) -> usize {
        self.index.len(service)
    }

    /// Returns the index of endpoints by service and data centre.
    pub(super) fn index(&self) -> &EndpointIndex {
        &self.index
    }

    /// Returns the endpoints of a service in one data centre, in the order of their keys.
    pub fn near(
        &self,
        service: ServiceKey,
        centre: DataCentreKey,
    ) -> Option<&BTreeSet<EndpointKey>> {
        self.index.near(service, centre)
    }

    /// Returns a number that differs after each change of a service's endpoints.
    pub fn version_of(&self, service: ServiceKey) -> u64 {
        self.index.version(service)
    }

    /// Sets the subset of a service's near endpoints that this host uses; `None` if it uses
    /// all of them.
    pub fn set_subset(&mut self, service: ServiceKey, subset: Option<Subset>) {
        match subset {
            Some(subset) => self.subsets.insert(service, subset),
            None => self.subsets.remove(&service),
        };
    }

    /// Returns the subset of a service's near endpoints that this host uses, if it doesn't
    /// use all of them.
    pub fn subset(&self, service: ServiceKey) -> Option<&Subset> {
        self.subsets.get(&service)
    }

    /// Returns a service's subset, for changes.
    pub fn subset_mut(&mut self, service: ServiceKey) -> Option<&mut Subset> {
        self.subsets.get_mut(&service)
    }

    /// Returns whether all endpoints of a service may be looked at now for one request.
    pub(super) fn may_scan(&mut self, service: ServiceKey, now: Moment) -> bool {
        self.scans.take(self.index.len(service), now)
    }

    /// Returns the services that have endpoints.
    pub fn services(&self) -> BTreeSet<ServiceKey> {
        self.index.services().collect()
    }

    /// Returns an endpoint's state.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointState> {
        self.endpoints.get(&key)
    }

    /// Returns an endpoint's state, for changes.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(&key)
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn put(&mut self, name: &str, endpoint: Endpoint, now: Moment) {
        self.lapsed.remove(name);
        let key = endpoint.key();
        if self.keys.get(name).is_some_and(|old| *old != key) {
            // The server has restarted under the same name: nothing known about its
            // former instance still holds.
            self.remove(name);
        }
        self.keys.insert(name.to_owned(), key);
        match self.endpoints.get_mut(&key) {
            Some(state) => {
                if !endpoint.cold.is_zero() {
                    state.note_cold(endpoint.cold, now);
                }
                self.index.update(key, &state.endpoint, &endpoint, now);
                state.endpoint = endpoint;
            }
            None => {
                self.index.insert(key, &endpoint, now);
                self.endpoints
                    .insert(key, EndpointState::new(endpoint, now));
            }
        }
    }

    fn lapse(&mut self, name: &str, now: Moment) {
        match self.grace_until {
            Some(until) if now < until => {
                self.lapsed.entry(name.to_owned()).or_insert(until);
            }
            _ => self.remove(name),
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(key) = self.keys.remove(name) {
            if let Some(state) = self.endpoints.remove(&key) {
                self.index.remove(key, &state.endpoint);
            }
            self.limits.forget(key);
        }
    }
}
