//! Roll-outs: the requests of a service move to a new version, or stay if the version is
//! bad.
//!
//! The endpoints of the new version are started beside those of the old one. A small
//! fraction of the requests, the canary, goes to the new version and is compared with the
//! baseline: the requests that went to the old version in the same seconds.

pub mod analysis;
pub mod canary;
pub mod evidence;
pub mod exposure;

use std::collections::BTreeSet;
use std::time::Duration;

use derives::{key, tag, value};

use super::endpoint::Endpoint;
use crate::{ServiceKey, VersionKey};

/// An operators' order to move a service to another version.
#[value]
pub struct Order {
    /// The service.
    pub service: ServiceKey,
    /// The service's name, under which the order's state is reported.
    pub service_name: String,
    /// The version that the service is to run.
    pub version: VersionKey,
    /// The version's name.
    pub version_name: String,
    /// The time within which operators want a verdict.
    pub duration: Duration,
}

/// How far a roll-out has come. A later phase replaces an earlier one, on every host.
#[key]
pub enum Phase {
    /// The canary goes to the new version.
    Canary,
    /// All requests move to the new version, in a few steps.
    Ramp,
    /// The new version is bad and gets nothing; the verdict isn't stored yet.
    Halted,
    /// The verdict is stored.
    Decided(Verdict),
}

/// The end of a roll-out.
#[key]
pub enum Verdict {
    /// The new version is bad; the service stays with the old one.
    RolledBack,
    /// The service runs the new version; the old endpoints stop at once.
    Completed,
}

/// Which versions of a service a request may be sent to.
#[value]
pub enum VersionRule {
    /// All of them.
    All,
    /// This one only.
    Only(VersionKey),
    /// All but these.
    Except(BTreeSet<VersionKey>),
}

impl VersionRule {
    /// Returns whether a request may be sent to an endpoint.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        match (self, endpoint.version) {
            (VersionRule::All, _) => true,
            (VersionRule::Only(only), version) => version == Some(*only),
            (VersionRule::Except(_), None) => true,
            (VersionRule::Except(except), Some(version)) => !except.contains(&version),
        }
    }
}

/// The version to which one request goes, as long as it has not been sent anywhere.
#[tag]
pub enum Arm {
    /// The old version, or the only one.
    Baseline,
    /// The new version, as a part of the canary.
    Canary(VersionKey),
}
