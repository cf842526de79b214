//! Whether a silent member may be removed.

use std::collections::BTreeSet;
use std::time::Duration;

use derives::tag;
use state::{Config, HostKey, Moment};

use super::watch::{MemberId, majority};

/// How long the answers to a poll are waited for.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a remover waits for its removal to show before it tries again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// What the platform's list of hosts says of a member.
///
/// The list lags, and may be empty or out of reach, so it never removes
/// anybody by itself: it only adds to what the watchers agree on.
#[tag]
pub enum Listed {
    /// It is there, or the list says nothing that can be relied on.
    Unclear,
    /// A list that names this host itself says that the member leaves, or lacks it.
    Unlisted,
}

/// Asks the region's members whether they hear this host, before it removes one.
///
/// What goes wrong without it: hosts cut off from the rest, but not from the
/// log, remove all the others one by one. Only hosts that a majority of the
/// region answers may remove, so that of two halves one at most does.
pub struct RemovalPoll {
    target: MemberId,
    asked: Moment,
    sequence: u64,
    answered: BTreeSet<MemberId>,
    removed: Option<Moment>,
}

impl RemovalPoll {
    /// Starts a poll about `target`, asked with the beat `sequence`.
    pub fn new(target: MemberId, sequence: u64, now: Moment) -> RemovalPoll {
        RemovalPoll {
            target,
            asked: now,
            sequence,
            answered: BTreeSet::new(),
            removed: None,
        }
    }

    /// Returns the member it is about.
    pub fn target(&self) -> MemberId {
        self.target
    }

    /// Notes an answer.
    pub fn note_answer(&mut self, from: MemberId, sequence: u64) {
        if sequence >= self.sequence {
            self.answered.insert(from);
        }
    }

    /// Returns whether the poll is over without having come to anything.
    pub fn is_over(&self, now: Moment) -> bool {
        match self.removed {
            Some(at) => now.since(at) >= RETRY_AFTER,
            None => now.since(self.asked) >= POLL_TIMEOUT,
        }
    }

    /// Returns whether to write the removal now; true once a poll.
    ///
    /// `region` is how many members the region has, the target and this host among them.
    pub fn should_remove(&mut self, region: usize, listed: Listed, now: Moment) -> bool {
        let heard = self.answered.len() + 1;
        let agreed = heard >= majority(region) || listed == Listed::Unlisted;
        let due = agreed && self.removed.is_none();
        if due {
            self.removed = Some(now);
        }
        due
    }
}

/// Returns the members that the platform's list lacks, or calls leaving.
///
/// `live` holds the names that the list calls live. Where this host is not
/// among them the list is empty, of another site or older than this host, and
/// says nothing about anybody.
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
