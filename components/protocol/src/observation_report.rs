//! Reports between entry hosts of a data centre on endpoints that fail or have recovered.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use state::EndpointKey;
use state::fleet::{Observation, ObservationKind};

/// The largest age of an observation that is accepted.
///
/// Hosts tell what they observe within milliseconds; a larger age is an error.
const MAX_AGE: Duration = Duration::from_secs(60);

/// A message on what hosts observe.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservationReport {
    /// What the sender has observed about endpoints.
    Observations(Vec<Observation>),
    /// Asks the receiver whether it runs.
    LivenessQuery,
    /// Says that the sender runs.
    LivenessReply,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireObservationReport {
    #[prost(message, repeated, tag = "1")]
    groups: Vec<WireGroup>,
    /// 1 for a query, 2 for a reply; none with observations.
    #[prost(uint32, tag = "2")]
    liveness: u32,
}

/// Endpoints of which the same was observed.
#[derive(Clone, PartialEq, Message)]
struct WireGroup {
    #[prost(uint32, tag = "1")]
    kind: u32,
    /// How long ago the oldest of these observations was made.
    #[prost(uint32, tag = "2")]
    age_ms: u32,
    #[prost(fixed64, repeated, tag = "3")]
    endpoints: Vec<u64>,
}

const LIVENESS_QUERY: u32 = 1;
const LIVENESS_REPLY: u32 = 2;

/// The kinds of observations and their numbers on the wire.
const KINDS: [(u32, ObservationKind); 6] = [
    (1, ObservationKind::Unconnected),
    (2, ObservationKind::Broken),
    (3, ObservationKind::Failing),
    (4, ObservationKind::Slow),
    (5, ObservationKind::Shedding),
    (6, ObservationKind::Recovered),
];

impl From<&ObservationReport> for WireObservationReport {
    fn from(report: &ObservationReport) -> WireObservationReport {
        let (groups, liveness) = match report {
            ObservationReport::Observations(observations) => (groups(observations), 0),
            ObservationReport::LivenessQuery => (Vec::new(), LIVENESS_QUERY),
            ObservationReport::LivenessReply => (Vec::new(), LIVENESS_REPLY),
        };
        WireObservationReport { groups, liveness }
    }
}

impl WireObservationReport {
    /// Decodes the report; returns `None` if any part of it is invalid or unknown.
    pub(crate) fn into_report(self) -> Option<ObservationReport> {
        match (self.liveness, self.groups) {
            (LIVENESS_QUERY, groups) if groups.is_empty() => Some(ObservationReport::LivenessQuery),
            (LIVENESS_REPLY, groups) if groups.is_empty() => Some(ObservationReport::LivenessReply),
            (0, groups) if !groups.is_empty() => {
                let mut observations = Vec::new();
                for group in groups {
                    observations.extend(group.into_observations()?);
                }
                Some(ObservationReport::Observations(observations))
            }
            _ => None,
        }
    }
}

impl WireGroup {
    fn into_observations(self) -> Option<impl Iterator<Item = Observation>> {
        let kind = KINDS.iter().find(|(number, _)| *number == self.kind)?.1;
        let age = Duration::from_millis(self.age_ms.into());
        let is_valid = age <= MAX_AGE && !self.endpoints.is_empty();
        is_valid.then(|| {
            self.endpoints.into_iter().map(move |key| Observation {
                endpoint: EndpointKey(key),
                kind,
                age,
            })
        })
    }
}

fn groups(observations: &[Observation]) -> Vec<WireGroup> {
    let mut by_kind: BTreeMap<ObservationKind, WireGroup> = BTreeMap::new();
    for observation in observations {
        let group = by_kind.entry(observation.kind).or_default();
        group.kind = number(observation.kind);
        let age_ms = u32::try_from(observation.age.as_millis()).unwrap_or(u32::MAX);
        group.age_ms = group.age_ms.max(age_ms);
        group.endpoints.push(observation.endpoint.0);
    }
    by_kind.into_values().collect()
}

fn number(kind: ObservationKind) -> u32 {
    let known = KINDS.iter().find(|(_, k)| *k == kind);
    known.map_or(0, |(number, _)| *number)
}
