//! The outcome field: whether the work of a call ran, stated in every answer.

use derives::tag;
use hyper::header::{HeaderName, HeaderValue};

/// The header field of an answer that carries the outcome.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cardamomvale-outcome");

/// Whether the work of a call ran.
#[tag]
pub enum Outcome {
    /// The answer is a complete one of a backend server's.
    Complete,
    /// The work did not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome's name, as in the header field, in metrics and in traces.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Returns the outcome as a header value.
    pub fn value(self) -> HeaderValue {
        HeaderValue::from_static(self.name())
    }
}
