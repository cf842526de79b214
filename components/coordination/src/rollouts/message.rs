//! What hosts tell each other and the store about a roll-out.

use std::time::Duration;

use derives::{tag, value};
use state::fleet::rollout::evidence::Evidence;
use state::fleet::rollout::{Order, Phase, Verdict};
use state::{ServiceKey, VersionKey};

/// A host's knowledge of a roll-out, sent to all hosts when it changes.
#[value]
pub struct RolloutState {
    /// The order.
    pub order: Order,
    /// How far the roll-out has come.
    pub phase: Phase,
    /// The time until the deadline; zero once it has passed.
    pub left: Duration,
    /// The time until the ramp is complete; zero before and after the ramp.
    pub ramp_left: Duration,
}

/// One host's counters, sent to the hosts that gather them for its data centre.
#[value]
pub struct HostReport {
    /// The service.
    pub service: ServiceKey,
    /// The new version.
    pub version: VersionKey,
    /// Distinguishes the lives of a host, each of which counts from zero.
    pub incarnation: u64,
    /// Whether the host has no request at the old version and sends it none.
    pub stopped: bool,
    /// The answers to this host's requests.
    pub evidence: Evidence,
}

/// The counters of a data centre, sent to the other data centres.
#[value]
pub struct CentreSummary {
    /// The service.
    pub service: ServiceKey,
    /// The new version.
    pub version: VersionKey,
    /// The data centre.
    pub centre: String,
    /// How many of its hosts may still have requests at the old version.
    pub pending: u32,
    /// The answers to the requests of its hosts.
    pub evidence: Evidence,
}

/// The state of a roll-out in the store, where operators read it.
#[tag]
pub enum Status {
    /// There is no verdict yet.
    Running,
    /// The verdict.
    Decided(Verdict),
}

/// The store's record of a service's last roll-out.
#[tag]
pub struct StoredStatus {
    /// The new version.
    pub version: VersionKey,
    /// The state.
    pub status: Status,
}

impl StoredStatus {
    /// Returns whether `wanted` may replace this record.
    ///
    /// A verdict on a version is never replaced by another one on the same version.
    pub fn may_become(&self, wanted: &StoredStatus) -> bool {
        match self.status {
            _ if self.version != wanted.version => true,
            Status::Running => wanted.status != Status::Running,
            Status::Decided(_) => false,
        }
    }
}
