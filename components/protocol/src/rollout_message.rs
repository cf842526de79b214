//! Messages between entry hosts on roll-outs.

use std::time::Duration;

use coordination::rollouts::message::{CentreSummary, HostReport, RolloutState};
use derives::value;
use prost::Message;
use state::fleet::rollout::evidence::{CELLS, Evidence, Tally};
use state::fleet::rollout::{Order, Phase, Verdict};
use state::{ServiceKey, VersionKey};

/// A message on one roll-out.
#[value]
pub enum RolloutMessage {
    /// What the sender knows of the roll-out.
    State(RolloutState),
    /// The counters of the sender.
    Report(HostReport),
    /// The counters of the sender's data centre.
    Summary(CentreSummary),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRollout {
    #[prost(message, optional, tag = "1")]
    state: Option<WireState>,
    #[prost(message, optional, tag = "2")]
    report: Option<WireReport>,
    #[prost(message, optional, tag = "3")]
    summary: Option<WireSummary>,
}

#[derive(Clone, PartialEq, Message)]
struct WireState {
    /// The service's name.
    #[prost(string, tag = "1")]
    service: String,
    /// The new version's name.
    #[prost(string, tag = "2")]
    version: String,
    #[prost(uint64, tag = "3")]
    duration_ms: u64,
    #[prost(uint32, tag = "4")]
    phase: u32,
    #[prost(uint64, tag = "5")]
    left_ms: u64,
    #[prost(uint64, tag = "6")]
    ramp_left_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireReport {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    version: u64,
    #[prost(fixed64, tag = "3")]
    incarnation: u64,
    #[prost(bool, tag = "4")]
    stopped: bool,
    /// The counters in the order of [`counters`].
    #[prost(uint32, repeated, tag = "5")]
    evidence: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct WireSummary {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    version: u64,
    /// The data centre's name.
    #[prost(string, tag = "3")]
    centre: String,
    #[prost(uint32, tag = "4")]
    pending: u32,
    /// The counters in the order of [`counters`].
    #[prost(uint32, repeated, tag = "5")]
    evidence: Vec<u32>,
}

const CANARY: u32 = 1;
const RAMP: u32 = 2;
const HALTED: u32 = 3;
const ROLLED_BACK: u32 = 4;
const COMPLETED: u32 = 5;

impl From<&RolloutMessage> for WireRollout {
    fn from(message: &RolloutMessage) -> WireRollout {
        match message {
            RolloutMessage::State(state) => WireRollout {
                state: Some(WireState::from(state)),
                ..WireRollout::default()
            },
            RolloutMessage::Report(report) => WireRollout {
                report: Some(WireReport {
                    service: report.service.0,
                    version: report.version.0,
                    incarnation: report.incarnation,
                    stopped: report.stopped,
                    evidence: counters(&report.evidence),
                }),
                ..WireRollout::default()
            },
            RolloutMessage::Summary(summary) => WireRollout {
                summary: Some(WireSummary {
                    service: summary.service.0,
                    version: summary.version.0,
                    centre: summary.centre.clone(),
                    pending: summary.pending,
                    evidence: counters(&summary.evidence),
                }),
                ..WireRollout::default()
            },
        }
    }
}

impl WireRollout {
    /// Decodes the message; returns nothing if a newer release sent something unknown.
    pub(crate) fn into_message(self) -> Option<RolloutMessage> {
        match self {
            WireRollout {
                state: Some(state), ..
            } => Some(RolloutMessage::State(state.into_state()?)),
            WireRollout {
                report: Some(report),
                ..
            } => Some(RolloutMessage::Report(HostReport {
                service: ServiceKey(report.service),
                version: VersionKey(report.version),
                incarnation: report.incarnation,
                stopped: report.stopped,
                evidence: evidence(&report.evidence),
            })),
            WireRollout {
                summary: Some(summary),
                ..
            } => Some(RolloutMessage::Summary(CentreSummary {
                service: ServiceKey(summary.service),
                version: VersionKey(summary.version),
                centre: summary.centre,
                pending: summary.pending,
                evidence: evidence(&summary.evidence),
            })),
            _ => None,
        }
    }
}

impl From<&RolloutState> for WireState {
    fn from(state: &RolloutState) -> WireState {
        let phase = match state.phase {
            Phase::Canary => CANARY,
            Phase::Ramp => RAMP,
            Phase::Halted => HALTED,
            Phase::Decided(Verdict::RolledBack) => ROLLED_BACK,
            Phase::Decided(Verdict::Completed) => COMPLETED,
        };
        WireState {
            service: state.order.service_name.clone(),
            version: state.order.version_name.clone(),
            duration_ms: millis(state.order.duration),
            phase,
            left_ms: millis(state.left),
            ramp_left_ms: millis(state.ramp_left),
        }
    }
}

impl WireState {
    fn into_state(self) -> Option<RolloutState> {
        let phase = match self.phase {
            CANARY => Phase::Canary,
            RAMP => Phase::Ramp,
            HALTED => Phase::Halted,
            ROLLED_BACK => Phase::Decided(Verdict::RolledBack),
            COMPLETED => Phase::Decided(Verdict::Completed),
            _ => return None,
        };
        Some(RolloutState {
            order: Order {
                service: ServiceKey::named(&self.service),
                service_name: self.service,
                version: VersionKey::named(&self.version),
                version_name: self.version,
                duration: Duration::from_millis(self.duration_ms),
            },
            phase,
            left: Duration::from_millis(self.left_ms),
            ramp_left: Duration::from_millis(self.ramp_left_ms),
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the answers and the bad ones of each cell, first of the new version.
fn counters(evidence: &Evidence) -> Vec<u32> {
    let tallies = evidence.new.iter().chain(&evidence.old);
    tallies.flat_map(|t| [t.answers, t.bad]).collect()
}

/// Decodes counters; missing ones are 0 and further ones are ignored.
fn evidence(counters: &[u32]) -> Evidence {
    let at = |index: usize| counters.get(index).copied().unwrap_or_default();
    let tally = |cell: usize| Tally {
        answers: at(cell * 2),
        bad: at(cell * 2 + 1).min(at(cell * 2)),
    };
    Evidence {
        new: std::array::from_fn(tally),
        old: std::array::from_fn(|cell| tally(CELLS + cell)),
    }
}
