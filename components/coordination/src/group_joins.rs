//! How often a host joins the store's group, which deals parts to its members.
//!
//! A part moves only when the member that held it has joined again. So a member whose
//! parts become fewer joins again at once, one that has none asks again soon, and the
//! others have nothing to learn while the group stays the same.

use std::time::Duration;

/// Topics whose partitions are dealt to the hosts.
///
/// The store deals partitions evenly, so a host's part of them is its part of
/// the hosts. It passes over any further topics: divided by those too, all shares
/// would add up to less than the whole. A dozen partitions a topic tell 240 hosts
/// apart; a host that gets none takes no share, which errs on the safe side.
pub const GROUP_TOPICS: usize = 20;

/// How long after a join the next one comes where the group has just changed.
const JOIN_PAUSE: Duration = Duration::from_secs(5);

/// How long where it stays the same: every join is paid for.
const JOIN_PAUSE_LIMIT: Duration = Duration::from_secs(20);

/// How long where this member has no part yet.
const IDLE_JOIN_PAUSE: Duration = Duration::from_secs(2);

/// How many of its pauses a silent member keeps its parts for.
///
/// Fewer, and one slow answer of the store would deal all parts anew.
const SESSION_PAUSES: u32 = 3;

/// Returns the names of the topics that hosts join for.
pub fn group_topics() -> Vec<String> {
    (0..GROUP_TOPICS).map(|n| format!("hosts-{n}")).collect()
}

/// What this host learned by its last join, and when it joins again.
#[derive(Clone, Debug)]
pub struct GroupJoins {
    generation: u64,
    partitions: usize,
    pause: Duration,
}

impl Default for GroupJoins {
    fn default() -> GroupJoins {
        GroupJoins {
            generation: 0,
            partitions: 0,
            pause: JOIN_PAUSE,
        }
    }
}

impl GroupJoins {
    /// Returns the generation of the group that this host knows.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns how long the store is to keep this host's parts without a join.
    pub fn session_timeout(&self) -> Duration {
        (self.pause.max(IDLE_JOIN_PAUSE) * 2).clamp(JOIN_PAUSE, JOIN_PAUSE_LIMIT) * SESSION_PAUSES
    }

    /// Takes in what a join told, and returns how long it is until the next.
    pub fn join_succeeded(&mut self, generation: u64, partitions: usize) -> Duration {
        let same = generation == self.generation && partitions == self.partitions;
        self.pause = match partitions {
            0 if same => (self.pause * 3 / 2).clamp(IDLE_JOIN_PAUSE, JOIN_PAUSE_LIMIT),
            0 => IDLE_JOIN_PAUSE,
            n if n < self.partitions => Duration::ZERO,
            _ if same => (self.pause * 2).clamp(JOIN_PAUSE, JOIN_PAUSE_LIMIT),
            _ => JOIN_PAUSE,
        };
        self.generation = generation;
        self.partitions = partitions;
        self.pause
    }

    /// Takes in that a join failed, and returns how long it is until the next.
    pub fn join_failed(&mut self) -> Duration {
        self.pause = JOIN_PAUSE;
        self.pause
    }
}
