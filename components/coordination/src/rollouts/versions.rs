//! Which versions of a service get requests without a roll-out.

use std::collections::{BTreeMap, BTreeSet};

use state::fleet::Registry;
use state::{Moment, ServiceKey, VersionKey};

/// What is registered of one version of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegisteredVersion {
    /// The slots of its endpoints that are neither cold nor leaving.
    pub warm_slots: u32,
    /// The start of its first endpoint, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}

/// Returns the versions of a service's registered endpoints.
pub(super) fn registered(
    registry: &Registry,
    service: ServiceKey,
    now: Moment,
) -> BTreeMap<Option<VersionKey>, RegisteredVersion> {
    let mut versions = BTreeMap::new();
    for (_, state) in registry.endpoints_of(service) {
        let endpoint = &state.endpoint;
        let version: &mut RegisteredVersion = versions.entry(endpoint.version).or_default();
        if !state.is_cold(now) && !endpoint.draining {
            version.warm_slots += endpoint.slots;
        }
        version.started_ms = match version.started_ms {
            0 => endpoint.started_ms,
            known => known.min(endpoint.started_ms.max(1)),
        };
    }
    versions
}

/// The versions of one service as this host has come to know them.
///
/// The endpoints of a new version may register before the order that names it arrives.
/// They must get no requests until then, or a bad version would get its full part.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownVersions {
    /// Versions in use.
    in_use: BTreeSet<VersionKey>,
    /// Versions that appeared beside those in use, without a roll-out that completed.
    held: BTreeSet<VersionKey>,
    /// Versions in use which a host that has just started can't tell from a new one.
    unclear: BTreeSet<VersionKey>,
}

impl KnownVersions {
    /// Takes in the versions of the endpoints that a host finds when it starts, each with
    /// the start of its first endpoint.
    ///
    /// All of them are in use as far as the host knows, but those that started later than
    /// the first one may be new.
    pub fn list(&mut self, listed: &[(u64, VersionKey)]) {
        let first = listed.iter().map(|(started, _)| *started).min();
        self.in_use = listed.iter().map(|(_, version)| *version).collect();
        let later = listed.iter().filter(|(started, _)| Some(*started) > first);
        self.unclear = later.map(|(_, version)| *version).collect();
    }

    /// Takes in that a roll-out of a version was ordered; returns whether it is the version
    /// in use, so that there is nothing to move.
    pub fn order(&mut self, version: VersionKey) -> bool {
        let is_first = !self.unclear.is_empty() && !self.unclear.contains(&version);
        match self.in_use.contains(&version) {
            false => false,
            true if self.in_use.len() == 1 || is_first => true,
            true => {
                // Of several versions it is the new one, and the others are in use.
                self.in_use.remove(&version);
                self.unclear.clear();
                false
            }
        }
    }

    /// Takes in a version of an endpoint that registered. The first one is in use.
    pub fn note(&mut self, version: VersionKey) {
        if self.in_use.contains(&version) {
            return;
        }
        match self.in_use.is_empty() && self.held.is_empty() {
            true => self.in_use.insert(version),
            false => self.held.insert(version),
        };
    }

    /// Holds a version back until its roll-out completes.
    pub fn hold(&mut self, version: VersionKey) {
        self.in_use.remove(&version);
        self.held.insert(version);
    }

    /// Puts a version into use: all others are retired.
    pub fn complete(&mut self, version: VersionKey) {
        self.in_use = BTreeSet::from([version]);
        self.held.remove(&version);
    }

    /// Returns whether a version may be new.
    pub fn is_unclear(&self) -> bool {
        !self.unclear.is_empty()
    }

    /// Takes the versions in use for what they are: an order, or the lack of one, has told.
    pub fn settle(&mut self) {
        self.unclear.clear();
    }

    /// Forgets versions that are no longer registered, and uses those that were held back
    /// if no other is left: serving a version that nobody ordered is better than nothing.
    pub fn retain(&mut self, registered: impl Fn(VersionKey) -> bool, is_ordered: bool) {
        self.held.retain(|v| registered(*v));
        if !is_ordered && !self.in_use.iter().any(|v| registered(*v)) {
            self.in_use.append(&mut self.held);
        }
    }

    /// Returns whether any version gets no requests.
    pub fn holds_any(&self) -> bool {
        !self.held.is_empty() || !self.unclear.is_empty()
    }

    /// Returns the versions that get no requests.
    pub fn held(&self) -> BTreeSet<VersionKey> {
        self.held.union(&self.unclear).copied().collect()
    }
}
