//! What a host has observed about an endpoint, as it is told to other hosts.

use std::time::Duration;

use derives::{key, tag};

use super::outcome::Outcome;
use crate::EndpointKey;

/// What was observed about an endpoint.
#[key]
pub enum ObservationKind {
    /// No connection could be opened.
    Unconnected,
    /// A connection broke, or a probe was not answered.
    Broken,
    /// Several answers were the server's own failures.
    Failing,
    /// Several answers took several times as long as expected.
    Slow,
    /// The endpoint rejects more requests than the others of its service.
    Shedding,
    /// The endpoint answers as it should again.
    Recovered,
}

/// One observation of a host about an endpoint.
#[tag]
pub struct Observation {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// What was observed.
    pub kind: ObservationKind,
    /// How long ago.
    pub age: Duration,
}

impl ObservationKind {
    /// Returns what to tell other hosts when an endpoint is avoided after `outcome`.
    ///
    /// `connected` tells whether a connection to the endpoint was open. Returns `None` for
    /// outcomes that say nothing about the endpoint itself.
    pub fn of_outcome(outcome: Outcome, connected: bool) -> Option<ObservationKind> {
        match outcome {
            Outcome::Broken if connected => Some(ObservationKind::Broken),
            Outcome::Broken => Some(ObservationKind::Unconnected),
            Outcome::Failed => Some(ObservationKind::Failing),
            Outcome::Slow => Some(ObservationKind::Slow),
            Outcome::Shed => Some(ObservationKind::Shedding),
            Outcome::Answered | Outcome::Silent => None,
        }
    }

    /// Returns the number of hosts that must tell the same for others to act on it.
    ///
    /// A refused connection and several failed answers are clear. A broken connection, slow
    /// answers and rejections may be due to the telling host's link or its own requests.
    pub fn needed_hosts(self) -> usize {
        match self {
            ObservationKind::Unconnected | ObservationKind::Failing => 1,
            ObservationKind::Broken | ObservationKind::Slow | ObservationKind::Shedding => 2,
            ObservationKind::Recovered => 1,
        }
    }

    /// Returns whether this kind says that the endpoint doesn't answer at all.
    pub fn is_unanswered(self) -> bool {
        matches!(self, ObservationKind::Unconnected | ObservationKind::Broken)
    }
}
