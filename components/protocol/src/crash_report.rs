//! Reports between entry hosts on requests that crash endpoints.

use std::time::Duration;

use derives::value;
use prost::Message;
use state::fleet::quarantine::QuarantineUpdate;
use state::fleet::{Fingerprint, Fingerprints};

/// Requests that were running when their endpoint crashed, and changes of the quarantine.
#[value]
pub struct CrashReport {
    /// Whether the sender is in another data centre.
    ///
    /// The receiver then distributes the report within its own data centre.
    pub cross_centre: bool,
    /// The requests that were running when their endpoint crashed.
    pub runs: Vec<CrashedRun>,
    /// The requests that are quarantined, or were until recently.
    pub updates: Vec<QuarantineUpdate>,
}

/// A request that was running when its endpoint crashed.
///
/// Times are durations relative to sending, so that any host can interpret them.
#[value]
pub struct CrashedRun {
    /// The fingerprints of the request.
    pub request: Fingerprints,
    /// How long the request had been running.
    pub ran: Duration,
    /// How long ago the endpoint crashed.
    pub age: Duration,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireCrashReport {
    #[prost(message, repeated, tag = "1")]
    runs: Vec<WireCrashedRun>,
    #[prost(message, repeated, tag = "2")]
    updates: Vec<WireQuarantineUpdate>,
}

#[derive(Clone, PartialEq, Message)]
struct WireCrashedRun {
    #[prost(fixed64, tag = "1")]
    content: u64,
    #[prost(fixed64, tag = "2")]
    request: u64,
    #[prost(uint32, tag = "3")]
    ran_ms: u32,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireQuarantineUpdate {
    #[prost(fixed64, tag = "1")]
    request: u64,
    #[prost(uint32, tag = "2")]
    crashes: u32,
    #[prost(uint32, tag = "3")]
    left_ms: u32,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

impl From<&CrashReport> for WireCrashReport {
    fn from(report: &CrashReport) -> WireCrashReport {
        WireCrashReport {
            runs: report.runs.iter().map(WireCrashedRun::from).collect(),
            updates: report
                .updates
                .iter()
                .map(WireQuarantineUpdate::from)
                .collect(),
        }
    }
}

impl WireCrashReport {
    pub(crate) fn into_report(self, cross_centre: bool) -> CrashReport {
        CrashReport {
            cross_centre,
            runs: self.runs.iter().map(WireCrashedRun::to_run).collect(),
            updates: self
                .updates
                .iter()
                .map(WireQuarantineUpdate::to_update)
                .collect(),
        }
    }
}

impl From<&CrashedRun> for WireCrashedRun {
    fn from(run: &CrashedRun) -> WireCrashedRun {
        WireCrashedRun {
            content: run.request.content.0,
            request: run.request.request.0,
            ran_ms: millis(run.ran),
            age_ms: millis(run.age),
        }
    }
}

impl WireCrashedRun {
    fn to_run(&self) -> CrashedRun {
        CrashedRun {
            request: Fingerprints {
                content: Fingerprint(self.content),
                request: Fingerprint(self.request),
            },
            ran: Duration::from_millis(self.ran_ms.into()),
            age: Duration::from_millis(self.age_ms.into()),
        }
    }
}

impl From<&QuarantineUpdate> for WireQuarantineUpdate {
    fn from(update: &QuarantineUpdate) -> WireQuarantineUpdate {
        WireQuarantineUpdate {
            request: update.request.0,
            crashes: update.crashes,
            left_ms: millis(update.remaining),
            age_ms: millis(update.age),
        }
    }
}

impl WireQuarantineUpdate {
    fn to_update(&self) -> QuarantineUpdate {
        QuarantineUpdate {
            request: Fingerprint(self.request),
            crashes: self.crashes,
            remaining: Duration::from_millis(self.left_ms.into()),
            age: Duration::from_millis(self.age_ms.into()),
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
