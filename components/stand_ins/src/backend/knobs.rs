//! Faults that can be set on a running backend server.

use derives::{tag, value};
use serde::{Deserialize, Serialize};

/// Changes to the faults of a backend server; those left out stay as they are.
#[value]
#[derive(Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Knobs {
    /// Factor on the duration of all work.
    pub slow: Option<u32>,
    /// How load reports are falsified.
    pub report: Option<Report>,
    /// How many of the next answers are cut off in the middle.
    pub cut_answers: Option<u32>,
    /// Whether the backend server sheds new calls while it finishes the running ones.
    pub draining: Option<bool>,
    /// Turns the backend server cold; its address and connections stay.
    pub turn_cold: bool,
    /// Simulates a restart: all connections are closed, and the backend server is cold.
    pub restart: bool,
    /// Makes all connections that are open now silent for good; new connections work.
    pub silence: bool,
}

/// What a load report says.
#[tag]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// The actual load.
    #[default]
    Honest,
    /// A load that may be up to this many milliseconds old.
    Lagging(u64),
    /// The load in the last report before the freeze, from then on.
    Frozen,
    /// Always zero running calls.
    Idle,
}

impl Knobs {
    /// Takes over the values that `other` sets.
    pub(super) fn merge(&mut self, other: &Knobs) {
        self.slow = other.slow.or(self.slow);
        self.report = other.report.or(self.report);
        self.cut_answers = other.cut_answers.or(self.cut_answers);
    }

    /// Returns whether the current answer is to be cut off, and counts it.
    pub(super) fn take_cut(&mut self) -> bool {
        let left = self.cut_answers.unwrap_or(0);
        self.cut_answers = Some(left.saturating_sub(1));
        left > 0
    }
}
