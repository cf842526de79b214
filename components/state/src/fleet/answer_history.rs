//! What the answers that a connection has carried say about the next one.
//!
//! An endpoint answers the requests of a connection in their order, but a faulty one may send
//! an earlier answer a second time, where the next one is expected. The answer that this
//! displaces comes in place of a later one. Answers to requests bear the request's identifier;
//! answers to health checks and most rejections don't.

use derives::tag;

/// How an answer says what it belongs to.
#[tag]
pub enum AnswerKind {
    /// It bears the identifier of the request.
    Identified,
    /// It names the endpoint's instance, as only answers to health checks do.
    Health,
    /// It rejects a request or a health check without saying which.
    Anonymous,
}

/// The answers that a connection to an endpoint has carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerHistory {
    has_health: bool,
    is_ambiguous: bool,
}

impl AnswerHistory {
    /// Records an answer that was taken for the one that was expected.
    pub fn note(&mut self, kind: AnswerKind) {
        match kind {
            AnswerKind::Identified => {}
            AnswerKind::Health if !self.has_health => self.has_health = true,
            // Either may repeat an earlier answer, or be repeated later. Then an answer is
            // still to come that belongs to an earlier exchange.
            AnswerKind::Health | AnswerKind::Anonymous => self.is_ambiguous = true,
        }
    }

    /// Returns whether an anonymous rejection that comes next can only belong to the last
    /// request.
    pub fn proves_rejection(&self) -> bool {
        !self.is_ambiguous
    }
}
