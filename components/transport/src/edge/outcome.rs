//! What every answer says about whether the work ran.

use derives::tag;
use hyper::header::{HeaderName, HeaderValue};

/// The header field that carries the outcome.
pub const OUTCOME: HeaderName = HeaderName::from_static("cardamomvale-outcome");

/// Whether the work of a call ran.
#[tag]
pub enum Outcome {
    /// This is a backend server's whole answer.
    Complete,
    /// The work did not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// Returns its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Returns the header field's value.
    pub fn value(self) -> HeaderValue {
        HeaderValue::from_static(self.name())
    }
}
