//! The faults that can be set on a backend server while it runs.

use derives::{tag, value};
use serde::{Deserialize, Serialize};

/// Changes to a backend server; what is left out stays as it is.
#[value]
#[derive(Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Knobs {
    /// Work takes this many times as long.
    pub slow: Option<u32>,
    /// What the load report says.
    pub report: Option<Report>,
    /// The next answers, so many of them, break off in the middle.
    pub cut_answers: Option<u32>,
    /// Whether it refuses new calls and finishes the running ones.
    pub draining: Option<bool>,
    /// It is cold from now on, under the same address and connections.
    pub turn_cold: bool,
    /// It starts anew: all connections are cut, and it is cold.
    pub restart: bool,
    /// All connections open now go silent for good; new ones work.
    pub silence: bool,
}

/// What the load report says.
#[tag]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// The truth.
    #[default]
    Honest,
    /// What was true up to this many milliseconds ago.
    Lagging(u64),
    /// What was true when it froze.
    Frozen,
    /// That nothing is running, always.
    Idle,
}

impl Knobs {
    /// Takes over what `other` sets.
    pub(super) fn take(&mut self, other: &Knobs) {
        self.slow = other.slow.or(self.slow);
        self.report = other.report.or(self.report);
        self.cut_answers = other.cut_answers.or(self.cut_answers);
    }

    /// Returns whether the answer at hand is to be cut, and counts it.
    pub(super) fn cut_next(&mut self) -> bool {
        let left = self.cut_answers.unwrap_or(0);
        self.cut_answers = Some(left.saturating_sub(1));
        left > 0
    }
}
