//! Detects data centres whose endpoints can't be reached from this host.

use std::collections::BTreeSet;
use std::time::Duration;

use super::outcome::Outcome;
use crate::{EndpointKey, Moment};

/// The number of endpoints of a data centre that must fail in a row for all of them to be
/// avoided.
///
/// A few endpoints are down at any time, but several different ones rarely fail without
/// another one answering in between.
const FAILED_ENDPOINTS: usize = 4;

/// How long a data centre is avoided the first time.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(1_000);

/// How often the time may double: 1 s, 2 s, 4 s.
const MAX_DOUBLINGS: u32 = 2;

/// The outcomes of this host's requests at the endpoints of one data centre.
///
/// When the link to a data centre is cut, none of its dozens of endpoints answers, and
/// each of them costs a timeout. Avoiding them one by one would use up the whole time of
/// every request, though endpoints elsewhere could serve it.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    failed: BTreeSet<EndpointKey>,
    avoid_until: Option<Moment>,
    avoidances: u32,
    answered_at: Option<Moment>,
    /// Whether the data centre was found to be lost; then one more failure is enough.
    is_lost: bool,
}

impl Reachability {
    /// Notes that an endpoint answered, whatever the answer was.
    pub fn note_answer(&mut self, now: Moment) {
        *self = Reachability {
            answered_at: Some(now),
            ..Reachability::default()
        };
    }

    /// Returns when an endpoint last answered.
    pub fn answered_at(&self) -> Option<Moment> {
        self.answered_at
    }

    /// Returns the endpoints that failed since one last answered.
    pub fn failed(&self) -> &BTreeSet<EndpointKey> {
        &self.failed
    }

    /// Notes that the data centre has stopped responding.
    pub fn note_loss(&mut self, now: Moment) {
        self.is_lost = true;
        if !self.is_avoided(now) {
            self.avoid(now);
        }
    }

    /// Records the outcome of a request.
    pub fn note(&mut self, key: EndpointKey, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Answered | Outcome::Slow | Outcome::Failed | Outcome::Shed => {
                self.note_answer(now);
            }
            Outcome::Silent => {}
            Outcome::Broken => self.note_failure(key, now),
        }
    }

    /// Returns whether the data centre's endpoints are avoided as long as there are
    /// others.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn note_failure(&mut self, key: EndpointKey, now: Moment) {
        self.failed.insert(key);
        let enough = self.is_lost || self.failed.len() >= FAILED_ENDPOINTS;
        if enough && !self.is_avoided(now) {
            self.avoid(now);
        }
    }

    fn avoid(&mut self, now: Moment) {
        self.avoid_until =
            Some(now + FIRST_AVOIDANCE * 2u32.pow(self.avoidances.min(MAX_DOUBLINGS)));
        self.avoidances += 1;
    }
}
