//! Detects that a whole data centre has stopped responding: its endpoints and its hosts.
//!
//! Designed for the loss of a data centre in a site whose hosts have few requests each. Each
//! host would otherwise have to find several endpoints there unanswered by itself, and its
//! requests there would wait until their deadlines. Endpoints that fail here and at other
//! hosts raise a suspicion; the silence of the hosts there confirms it. Neither is enough
//! alone: a bad release takes endpoints down, and greetings between data centres are rare.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use derives::tag;

use super::hints::Hints;
use super::registry::Registry;
use crate::{DataCentreKey, EndpointKey, Moment};

/// The number of endpoints that must have failed, here or at other hosts, for a suspicion.
///
/// One or two endpoints are down at any time.
const SUSPECT_ENDPOINTS: usize = 3;

/// The number of endpoints that must have failed, here or at other hosts, for a loss.
///
/// As many make a host avoid a data centre by its own requests alone.
const LOST_ENDPOINTS: usize = 4;

/// The number of other hosts that must report failures, unless as many endpoints fail here.
const REPORTERS: usize = 2;

/// How long no host of the data centre must have answered for it to be lost.
///
/// An answer takes less than 100 ms between any two data centres, and a pause of this
/// length, such as a rerouted link, must not count as a loss.
pub const SILENCE: Duration = Duration::from_millis(150);

/// How long a suspicion lasts; after it, it takes new failures to raise another one.
pub const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// What is known of the failures of a data centre's endpoints since one last answered.
#[tag]
pub struct Evidence {
    /// The endpoints that failed here.
    pub own: usize,
    /// The endpoints that failed here or at other hosts.
    pub endpoints: usize,
    /// The other hosts that reported failures.
    pub reporters: usize,
    /// The endpoints known there.
    pub known: usize,
}

impl Evidence {
    /// Gathers the failures of a data centre's endpoints, seen here and reported by others.
    pub fn gather(centre: DataCentreKey, registry: &Registry, hints: &Hints) -> Evidence {
        let reachability = registry.reachability(centre);
        let answered = reachability.and_then(|r| r.answered_at());
        let own = reachability.map(|r| r.failed().clone()).unwrap_or_default();
        let mut endpoints: BTreeSet<EndpointKey> = own.clone();
        let mut reporters: BTreeSet<SocketAddr> = BTreeSet::new();
        for (from, endpoint, at) in hints.unanswered_in(centre, registry) {
            if answered.is_none_or(|answered| answered < at) {
                endpoints.insert(endpoint);
                reporters.insert(from);
            }
        }
        let there = registry.iter().filter(|(_, s)| s.endpoint.centre == centre);
        Evidence {
            own: own.len(),
            endpoints: endpoints.len(),
            reporters: reporters.len(),
            known: there.count(),
        }
    }

    fn is_suspicious(&self) -> bool {
        let enough = self.endpoints >= SUSPECT_ENDPOINTS.min(self.known);
        enough && (self.own > 0 || self.reporters >= REPORTERS)
    }

    /// Returns whether the endpoints seem lost, as seen from this host too.
    ///
    /// Reports alone prove nothing: the hosts that made them may be cut off.
    fn is_conclusive(&self) -> bool {
        let enough = self.endpoints >= LOST_ENDPOINTS.min(self.known);
        let shared = self.own > 0 && self.reporters >= REPORTERS;
        enough && (shared || self.own >= SUSPECT_ENDPOINTS)
    }
}

/// A suspicion that a data centre is lost.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Moment,
    is_refuted: bool,
    is_lost: bool,
}

/// The verdict on a suspicion.
#[tag]
pub enum Verdict {
    /// Nothing is clear yet.
    Open,
    /// A host of the data centre has answered, or the suspicion is too old.
    Unfounded,
    /// The data centre has stopped responding.
    Lost,
}

/// The data centres that are suspected to be lost.
#[derive(Clone, Debug, Default)]
pub struct CentreLosses {
    suspicions: BTreeMap<DataCentreKey, Suspicion>,
}

impl CentreLosses {
    /// Takes in failures of a data centre's endpoints; returns whether it is newly
    /// suspected, so that its hosts are to be queried.
    pub fn suspect(&mut self, centre: DataCentreKey, evidence: Evidence, now: Moment) -> bool {
        let last = self.suspicions.get(&centre);
        let recent = last.is_some_and(|s| now.since(s.since) < SUSPICION_TIME);
        if recent || !evidence.is_suspicious() {
            return false;
        }
        let suspicion = Suspicion {
            since: now,
            is_refuted: false,
            is_lost: false,
        };
        self.suspicions.insert(centre, suspicion);
        true
    }

    /// Returns whether any data centre has been suspected lately.
    pub fn has_suspicion(&self, now: Moment) -> bool {
        let mut all = self.suspicions.values();
        all.any(|s| now.since(s.since) < SUSPICION_TIME)
    }

    /// Notes a message of a host of the data centre.
    pub fn note_contact(&mut self, centre: DataCentreKey) {
        if let Some(suspicion) = self.suspicions.get_mut(&centre) {
            suspicion.is_refuted = true;
        }
    }

    /// Decides on a suspicion.
    pub fn judge(&mut self, centre: DataCentreKey, evidence: Evidence, now: Moment) -> Verdict {
        let Some(suspicion) = self.suspicions.get_mut(&centre) else {
            return Verdict::Unfounded;
        };
        let lasted = now.since(suspicion.since);
        match lasted {
            _ if suspicion.is_refuted || lasted >= SUSPICION_TIME => Verdict::Unfounded,
            _ if lasted >= SILENCE && evidence.is_conclusive() => {
                suspicion.is_lost = true;
                Verdict::Lost
            }
            _ => Verdict::Open,
        }
    }

    /// Returns whether a data centre was found to be lost lately.
    pub fn is_lost(&self, centre: DataCentreKey, now: Moment) -> bool {
        let suspicion = self.suspicions.get(&centre);
        suspicion.is_some_and(|s| s.is_lost && now.since(s.since) < SUSPICION_TIME)
    }
}
