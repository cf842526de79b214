//! What requests showed of the new version and of the old one, counted by route.
//!
//! Counters only grow, so that sums of several hosts can be merged in any order and any
//! number of times.

use derives::{tag, value};

/// The number of cells in which routes are counted.
///
/// A fault that only one route shows is found in the route's cell. Routes beyond this
/// number share cells, so that messages between hosts stay small.
pub const CELLS: usize = 8;

/// Returns the cell of a route; `route` is a hash of its name.
pub fn cell_of(route: u64) -> usize {
    (route % CELLS as u64) as usize
}

/// How a request to a service in a roll-out ended.
#[tag]
pub enum Answer {
    /// With success, in about the expected time.
    Good,
    /// With a failure, or several times later than expected.
    Bad,
}

/// Which version a request went to.
#[tag]
pub enum Side {
    /// The new version.
    New,
    /// Any other version.
    Old,
}

/// Answers of one route's requests.
#[tag]
#[derive(Default)]
pub struct Tally {
    /// All answers.
    pub answers: u32,
    /// The bad ones.
    pub bad: u32,
}

impl Tally {
    fn note(&mut self, answer: Answer) {
        self.answers = self.answers.saturating_add(1);
        self.bad = self.bad.saturating_add(u32::from(answer == Answer::Bad));
    }

    fn max(self, other: Tally) -> Tally {
        Tally {
            answers: self.answers.max(other.answers),
            bad: self.bad.max(other.bad),
        }
    }

    fn plus(self, other: Tally) -> Tally {
        Tally {
            answers: self.answers.saturating_add(other.answers),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    fn minus(self, other: Tally) -> Tally {
        Tally {
            answers: self.answers.saturating_sub(other.answers),
            bad: self.bad.saturating_sub(other.bad),
        }
    }
}

/// The answers of both versions, by route.
#[value]
#[derive(Copy, Default)]
pub struct Evidence {
    /// The answers of the new version.
    pub new: [Tally; CELLS],
    /// The answers of other versions.
    pub old: [Tally; CELLS],
}

impl Evidence {
    /// Counts an answer to a request of a route; `route` is a hash of the route's name.
    pub fn note(&mut self, side: Side, route: u64, answer: Answer) {
        let cell = cell_of(route);
        match side {
            Side::New => self.new[cell].note(answer),
            Side::Old => self.old[cell].note(answer),
        }
    }

    /// Returns the counters that both have reached: two sums over the same hosts, of which
    /// neither may be complete.
    pub fn max(&self, other: &Evidence) -> Evidence {
        self.combine(other, Tally::max)
    }

    /// Returns the sum of the counters of different hosts.
    pub fn plus(&self, other: &Evidence) -> Evidence {
        self.combine(other, Tally::plus)
    }

    /// Returns what was added since `earlier`.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        self.combine(earlier, Tally::minus)
    }

    /// Returns the number of the new version's answers.
    pub fn new_answers(&self) -> u32 {
        self.new.iter().map(|tally| tally.answers).sum()
    }

    /// Returns the number of the new version's bad answers.
    pub fn new_bad(&self) -> u32 {
        self.new.iter().map(|tally| tally.bad).sum()
    }

    /// Returns the answers of other versions, over all routes.
    pub fn old_total(&self) -> Tally {
        self.old
            .iter()
            .fold(Tally::default(), |sum, t| sum.plus(*t))
    }

    fn combine(&self, other: &Evidence, act: impl Fn(Tally, Tally) -> Tally) -> Evidence {
        Evidence {
            new: std::array::from_fn(|i| act(self.new[i], other.new[i])),
            old: std::array::from_fn(|i| act(self.old[i], other.old[i])),
        }
    }
}
