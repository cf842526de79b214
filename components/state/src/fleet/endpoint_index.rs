//! The keys of a host's known endpoints by service and data centre.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::endpoint::Endpoint;
use crate::{DataCentreKey, EndpointKey, Moment, ServiceKey};

/// The number of endpoints of a service that are remembered as the last to join.
///
/// Placement looks at a few of them only, so more would not be used.
const MAX_RECENT: usize = 32;

/// The endpoints of one service.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    all: BTreeSet<EndpointKey>,
    by_centre: BTreeMap<DataCentreKey, BTreeSet<EndpointKey>>,
    /// The endpoints that joined last and when, the newest at the end.
    recent: VecDeque<(EndpointKey, Moment)>,
    /// The number of the last change.
    version: u64,
}

/// The keys of endpoints by service and data centre.
#[derive(Debug, Default)]
pub(super) struct EndpointIndex {
    services: BTreeMap<ServiceKey, ServiceEndpoints>,
    /// Counts the changes of all services.
    changes: u64,
}

impl EndpointIndex {
    /// Adds an endpoint that has joined at `now`.
    pub fn insert(&mut self, key: EndpointKey, endpoint: &Endpoint, now: Moment) {
        self.changes += 1;
        let service = self.services.entry(endpoint.service).or_default();
        let centre = service.by_centre.entry(endpoint.centre).or_default();
        centre.insert(key);
        if service.all.insert(key) {
            service.recent.push_back((key, now));
            service.version = self.changes;
        }
        if service.recent.len() > MAX_RECENT {
            service.recent.pop_front();
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        let Some(service) = self.services.get_mut(&endpoint.service) else {
            return;
        };
        service.all.remove(&key);
        service.recent.retain(|(other, _)| *other != key);
        self.changes += 1;
        service.version = self.changes;
        if let Some(centre) = service.by_centre.get_mut(&endpoint.centre) {
            centre.remove(&key);
        }
        service.by_centre.retain(|_, keys| !keys.is_empty());
        if service.all.is_empty() {
            self.services.remove(&endpoint.service);
        }
    }

    /// Applies a changed registration of a known endpoint.
    pub fn update(&mut self, key: EndpointKey, old: &Endpoint, new: &Endpoint, now: Moment) {
        if old.service != new.service || old.centre != new.centre {
            self.remove(key, old);
            self.insert(key, new, now);
        }
    }

    /// Forgets which endpoints joined last.
    pub fn forget_recent(&mut self) {
        self.services.values_mut().for_each(|s| s.recent.clear());
    }

    /// Returns the services that have endpoints.
    pub fn services(&self) -> impl Iterator<Item = ServiceKey> {
        self.services.keys().copied()
    }

    /// Returns the endpoints of a service, in the order of their keys.
    pub fn all(&self, service: ServiceKey) -> impl Iterator<Item = EndpointKey> {
        let service = self.services.get(&service);
        service.into_iter().flat_map(|s| s.all.iter().copied())
    }

    /// Returns the number of endpoints of a service.
    pub fn len(&self, service: ServiceKey) -> usize {
        self.services.get(&service).map_or(0, |s| s.all.len())
    }

    /// Returns the endpoints of a service in one data centre, in the order of their keys.
    pub fn near(
        &self,
        service: ServiceKey,
        centre: DataCentreKey,
    ) -> Option<&BTreeSet<EndpointKey>> {
        self.services.get(&service)?.by_centre.get(&centre)
    }

    /// Returns the endpoints of a service by data centre.
    pub fn centres(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (DataCentreKey, &BTreeSet<EndpointKey>)> {
        let service = self.services.get(&service);
        let centres = service.into_iter().flat_map(|s| &s.by_centre);
        centres.map(|(centre, keys)| (*centre, keys))
    }

    /// Returns the endpoints of a service that joined after `since`, the newest first.
    pub fn recent(&self, service: ServiceKey, since: Moment) -> impl Iterator<Item = EndpointKey> {
        let service = self.services.get(&service);
        let recent = service.into_iter().flat_map(|s| s.recent.iter().rev());
        let recent = recent.take_while(move |(_, at)| *at > since);
        recent.map(|(key, _)| *key)
    }

    /// Returns a number that differs after each change of a service's endpoints.
    pub fn version(&self, service: ServiceKey) -> u64 {
        self.services.get(&service).map_or(0, |s| s.version)
    }
}
