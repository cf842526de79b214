//! Decides how often a host joins the store's group, which assigns partitions to its
//! members.
//!
//! A partition moves only once its former holder has joined again. So a member that is
//! assigned fewer partitions joins again at once, one that has none joins again soon, and
//! the others learn nothing by joining while the group stays the same.

use std::time::Duration;

use state::Moment;

/// Number of topics whose partitions are assigned to the hosts.
///
/// The store assigns partitions evenly, so a host's fraction of all partitions is its
/// share of the hosts. The store ignores topics beyond this number: if those counted too,
/// all shares would add up to less than the whole. A dozen partitions a topic are enough
/// for 240 hosts; larger sites divide by the number of hosts, see [`share`].
pub const GROUP_TOPICS: usize = 20;

/// Returns a member's share of all hosts, 0 to 1.
///
/// The member holds `held` of `partitions`, and estimates that there are `hosts`. Where
/// there are more hosts than partitions, some hold none, and each takes the same share.
/// Estimates that are too low by a tenth make the shares add up to a tenth too much.
///
/// Partitions beyond an even split don't count: the member has them before others have joined, or
/// others that don't know it yet go on with them.
pub fn share(held: usize, partitions: usize, hosts: usize) -> f64 {
    match hosts > partitions {
        true => 1.0 / hosts as f64,
        false => {
            let even_split = partitions.div_ceil(hosts.max(1));
            held.min(even_split) as f64 / partitions.max(1) as f64
        }
    }
}

/// The pause before the next join after the group has changed.
const JOIN_PAUSE: Duration = Duration::from_secs(5);

/// The longest pause, reached while the group stays the same: every join is charged.
const JOIN_PAUSE_LIMIT: Duration = Duration::from_secs(20);

/// The shortest pause while this member has no partition yet.
const IDLE_JOIN_PAUSE: Duration = Duration::from_secs(2);

/// Number of pauses for which a silent member keeps its partitions.
///
/// With fewer, a single slow answer of the store would reassign all partitions.
const SESSION_PAUSES: u32 = 3;

/// How long after a session may have ended a member's failing joins show that it has.
///
/// After an outage of the store, in which sessions pause, members join again within this time.
const LAPSE_GRACE: Duration = Duration::from_secs(5);

/// Returns whether the store may have assigned a member's partitions to others.
///
/// The session of its last successful join ends at `session_end`, and the store was read, by
/// any host, at `read_at`. A store that others read goes on with its sessions: a member whose
/// own joins fail all the while must not use its share beside those that got it.
pub fn has_lapsed(session_end: Moment, read_at: Option<Moment>) -> bool {
    read_at.is_some_and(|at| at > session_end + LAPSE_GRACE)
}

/// Returns the names of the topics that hosts join for.
pub fn group_topics() -> Vec<String> {
    (0..GROUP_TOPICS).map(|n| format!("hosts-{n}")).collect()
}

/// What this host learned from its last join, and how long it pauses before the next.
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
    /// Returns the last known generation of the group.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the session timeout: how long the store keeps this host's partitions
    /// without a join.
    pub fn session_timeout(&self) -> Duration {
        (self.pause.max(IDLE_JOIN_PAUSE) * 2).clamp(JOIN_PAUSE, JOIN_PAUSE_LIMIT) * SESSION_PAUSES
    }

    /// Records a successful join, and returns how long to pause before the next.
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

    /// Records a failed join, and returns how long to pause before the next.
    pub fn join_failed(&mut self) -> Duration {
        self.pause = JOIN_PAUSE;
        self.pause
    }
}
