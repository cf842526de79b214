//! Decides whether a silent member may be removed.

use std::collections::BTreeSet;
use std::time::Duration;

use derives::tag;
use state::{Config, HostKey, Moment};

use super::watch::{MemberId, majority};

/// How long a poll waits for answers.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait for a removal to take effect before it is written again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The state of a member on the platform's list of hosts.
///
/// The list lags, and may be empty or unreachable. It therefore never removes a
/// member by itself, but only confirms what the watchers agree on.
#[tag]
pub enum Listed {
    /// The member is listed, or the list is not reliable.
    Unclear,
    /// A list that contains this host lacks the member or reports it as leaving.
    Unlisted,
}

/// A poll of the region's members, before this host removes a silent one of them.
///
/// Without the poll, hosts that are cut off from the rest, but not from the log,
/// would remove all other members one by one. Only hosts that a majority of the
/// region answers may remove a member, so at most one side of a split does.
pub struct RemovalPoll {
    target: MemberId,
    started: Moment,
    sequence: u64,
    answered: BTreeSet<MemberId>,
    removed: Option<Moment>,
}

impl RemovalPoll {
    /// Starts a poll about `target`; answers acknowledge the heartbeat `sequence` or a later one.
    pub fn new(target: MemberId, sequence: u64, now: Moment) -> RemovalPoll {
        RemovalPoll {
            target,
            started: now,
            sequence,
            answered: BTreeSet::new(),
            removed: None,
        }
    }

    /// Returns the member that the poll is about.
    pub fn target(&self) -> MemberId {
        self.target
    }

    /// Records an answer.
    pub fn note_answer(&mut self, from: MemberId, sequence: u64) {
        if sequence >= self.sequence {
            self.answered.insert(from);
        }
    }

    /// Returns whether the poll has timed out.
    pub fn is_over(&self, now: Moment) -> bool {
        match self.removed {
            Some(at) => now.since(at) >= RETRY_AFTER,
            None => now.since(self.started) >= POLL_TIMEOUT,
        }
    }

    /// Returns whether to write the removal now; true once per poll.
    ///
    /// `region` is the number of members of the region, including the target and this host.
    pub fn should_remove(&mut self, region: usize, listed: Listed, now: Moment) -> bool {
        let answered = self.answered.len() + 1;
        let agreed = answered >= majority(region) || listed == Listed::Unlisted;
        let due = agreed && self.removed.is_none();
        if due {
            self.removed = Some(now);
        }
        due
    }
}

/// Returns the members that the platform's list lacks or reports as leaving.
///
/// `live` holds the names that the list reports as live. If this host is not among
/// them, the list is empty, of another site or older than this host, and says
/// nothing about any member.
pub fn unlisted_members(live: &BTreeSet<String>, me: &str, config: &Config) -> BTreeSet<HostKey> {
    if !live.contains(me) {
        return BTreeSet::new();
    }
    let members = config.members.iter();
    members
        .filter(|(_, member)| !live.contains(&member.name))
        .map(|(host, _)| *host)
        .collect()
}
