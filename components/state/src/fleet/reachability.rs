//! Whether a data centre's endpoints can be reached from this host.

use std::collections::BTreeSet;
use std::time::Duration;

use super::outcome::Outcome;
use crate::{EndpointKey, Moment};

/// Endpoints of a data centre that must fail in a row before all of it is avoided.
///
/// A few have crashed at any time; that several different ones fail with no answer
/// of any other in between is then unlikely.
const FAILED: usize = 4;

/// How long a data centre is avoided at first.
const SPELL: Duration = Duration::from_millis(1_000);

/// How many times a spell may double: 1 s, 2 s, 4 s.
const SPELLS: u32 = 2;

/// What this host's requests met at the endpoints of one data centre.
///
/// Made for a link that is cut: none of dozens of endpoints answers, and each is
/// waited for. Judged one by one, they would use up the time of every request, though
/// endpoints elsewhere could serve it.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    failed: BTreeSet<EndpointKey>,
    avoid_until: Option<Moment>,
    spells: u32,
}

impl Reachability {
    /// Takes in that an endpoint answered, whatever it said.
    pub fn answered(&mut self) {
        *self = Reachability::default();
    }

    /// Takes in what a request met at an endpoint.
    pub fn note(&mut self, key: EndpointKey, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Answered | Outcome::Slow | Outcome::Failed | Outcome::Shed => self.answered(),
            Outcome::Silent => {}
            Outcome::Broken => self.fail(key, now),
        }
    }

    /// Returns whether its endpoints are avoided while others can be had.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn fail(&mut self, key: EndpointKey, now: Moment) {
        self.failed.insert(key);
        if self.failed.len() < FAILED || self.is_avoided(now) {
            return;
        }
        self.avoid_until = Some(now + SPELL * 2u32.pow(self.spells.min(SPELLS)));
        self.spells += 1;
    }
}
