//! Remembers up to which offsets a topic is known to others, and since when this host lacks
//! them.

use std::collections::VecDeque;

use state::Moment;

/// The most offsets kept; further ones count from when the last of these was heard of.
const MAX_ENDS: usize = 16;

/// The offsets that this host has heard of and not reached, in ascending order, each with when
/// it first did.
#[derive(Clone, Debug, Default)]
pub struct MissingRecords {
    ends: VecDeque<(u64, Moment)>,
}

impl MissingRecords {
    /// Notes that the topic has records up to `end`.
    pub fn hear_of(&mut self, end: u64, now: Moment) {
        let is_full = self.ends.len() == MAX_ENDS;
        match self.ends.back_mut() {
            Some((last, _)) if end <= *last => {}
            Some((last, _)) if is_full => *last = end,
            _ => self.ends.push_back((end, now)),
        }
    }

    /// Notes that this host knows the topic up to `next`.
    pub fn reach(&mut self, next: u64) {
        while self.ends.front().is_some_and(|(end, _)| *end <= next) {
            self.ends.pop_front();
        }
    }

    /// Forgets all offsets.
    pub fn clear(&mut self) {
        self.ends.clear();
    }

    /// Returns whether this host has reached all offsets that it heard of.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns since when this host lacks records.
    pub fn since(&self) -> Option<Moment> {
        self.ends.front().map(|(_, since)| *since)
    }
}
