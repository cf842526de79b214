//! When an owner may act, and when its successor may take over.
//!
//! What goes wrong without it: an owner is cut off from the log, does not read
//! that it was removed, and goes on leasing slots that its successor leases
//! too; a backend server then bears twice what it can. The rule needs no clock
//! shared between hosts: an owner acts on word of a majority of its watchers
//! that they know of nothing newer, and its successor waits until a majority
//! of the same watchers has shown that it does. Two majorities share a member,
//! and no member goes back.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derives::{tag, value};
use state::Moment;

use super::watch::{MemberId, WatchMap, majority};

/// How long what an owner knows of the log's end lets it act.
pub const AUTHORITY_WINDOW: Duration = Duration::from_secs(2);

/// How long a successor waits where it can't know under which watchers the
/// previous owner may be acting: it started after that owner was last heard.
pub const UNKNOWN_FENCE: Duration = Duration::from_secs(60);

/// Former members whose watch sets are kept.
const FORMER_LIMIT: usize = 256;

/// Watch sets kept of one member.
const WATCH_SETS_LIMIT: usize = 64;

/// An answer of one of this host's watchers.
#[tag]
pub struct WatcherAck {
    /// The offset the watcher showed.
    pub offset: u64,
    /// When this host sent the beat that was answered.
    pub asked: Moment,
}

/// Decides whether this host may act as an owner: see [`current_at`].
pub fn may_act(
    now: Moment,
    offset: u64,
    log_read: Option<Moment>,
    watchers: &[MemberId],
    answers: &BTreeMap<MemberId, WatcherAck>,
) -> bool {
    let latest = current_at(offset, log_read, watchers, answers);
    latest.is_some_and(|at| is_fresh(now, at))
}

/// Returns whether a proof of `at` still lets an owner act.
pub fn is_fresh(now: Moment, at: Moment) -> bool {
    now.since(at) < AUTHORITY_WINDOW
}

/// Returns the latest moment at which the configuration known here was shown
/// to be the current one.
///
/// `log_read` is when it last asked the log for more and was told that there
/// is none. Answers count from the moment of asking, so that a pause between
/// the question and the decision makes them old. An answer from a watcher
/// that is ahead does not count: it knows of a change that this host lacks.
pub fn current_at(
    offset: u64,
    log_read: Option<Moment>,
    watchers: &[MemberId],
    answers: &BTreeMap<MemberId, WatcherAck>,
) -> Option<Moment> {
    let agreed = watchers.iter().filter_map(|w| answers.get(w));
    let mut asked: Vec<Moment> = agreed
        .filter(|e| e.offset <= offset)
        .map(|e| e.asked)
        .collect();
    asked.sort_unstable_by(|a, b| b.cmp(a));
    let needed = majority(watchers.len());
    let vouched = match watchers {
        [] => None,
        _ => asked.get(needed - 1).copied(),
    };
    log_read.max(vouched)
}

/// What is known of a previous owner after a change of the configuration.
#[tag]
pub enum OwnerStatus {
    /// It has shown the change itself: it acts by the new configuration.
    Applied,
    /// A majority of its watchers has shown the change: it stops acting within
    /// [`AUTHORITY_WINDOW`] from now.
    MajorityApplied,
    /// It may act by an older configuration for as long as this goes on.
    MayAct,
    /// This host knows too little of it: see [`UNKNOWN_FENCE`].
    Unknown,
}

/// The watch sets under which members may be acting.
#[derive(Default)]
pub struct WatchHistory {
    members: BTreeMap<MemberId, MemberPast>,
    revision: Option<u64>,
    former: VecDeque<MemberId>,
}

/// One member's watch sets.
struct MemberPast {
    /// The offset of the first configuration this host saw it in.
    since: u64,
    /// Whether it joined with that configuration.
    joined: bool,
    ended: Vec<WatchSet>,
    watchers: Vec<MemberId>,
    /// The offset at which it was removed.
    removed: Option<u64>,
}

/// A watch set and the offset at which it ended.
#[value]
struct WatchSet {
    watchers: Vec<MemberId>,
    end: u64,
}

impl WatchHistory {
    /// Takes over the watch sets of the configuration at `offset`.
    ///
    /// Where revisions were skipped, an owner may be acting by a watch set that
    /// this host never saw: all that is known then begins anew.
    pub fn configure(&mut self, map: &WatchMap, revision: u64, offset: u64) {
        if self.revision.is_some_and(|r| r >= revision) {
            return;
        }
        let follows = self.revision.is_some_and(|r| r + 1 == revision);
        self.revision = Some(revision);
        if !follows {
            self.forget(offset);
        }
        for member in map.members() {
            let watchers = map.watchers(member);
            let past = self.members.entry(member).or_insert_with(|| MemberPast {
                since: offset,
                joined: follows,
                ended: Vec::new(),
                watchers: watchers.to_vec(),
                removed: None,
            });
            past.change(watchers, offset);
        }
        let gone = |id: &MemberId, past: &MemberPast| {
            past.removed.is_none() && map.member(id.host) != Some(*id)
        };
        for (id, past) in &mut self.members {
            if gone(id, past) {
                past.change(&[], offset);
                past.removed = Some(offset);
                self.former.push_back(*id);
            }
        }
        while self.former.len() > FORMER_LIMIT {
            let oldest = self.former.pop_front();
            oldest.map(|id| self.members.remove(&id));
        }
    }

    fn forget(&mut self, offset: u64) {
        for past in self.members.values_mut() {
            past.since = past.removed.unwrap_or(offset);
            past.joined = false;
            past.ended.clear();
        }
    }

    /// Decides whether `owner` may still act by a configuration before `change`.
    ///
    /// `applied` is the greatest offset that each process has said it folded.
    /// For each watch set that `owner` may be under, a majority must have gone
    /// past the set's end; `owner` finds no majority to agree with it then.
    pub fn owner_status(
        &self,
        owner: MemberId,
        change: u64,
        applied: &BTreeMap<MemberId, u64>,
    ) -> OwnerStatus {
        let last = applied.get(&owner).copied().unwrap_or(0);
        if last >= change {
            return OwnerStatus::Applied;
        }
        let Some(past) = self.members.get(&owner) else {
            return OwnerStatus::Unknown;
        };
        if !past.joined && last < past.since {
            return OwnerStatus::Unknown;
        }
        let passed = |watchers: &[MemberId], end: u64| {
            let beyond = |w: &&MemberId| applied.get(w).is_some_and(|s| *s >= end);
            let count = watchers.iter().filter(beyond).count();
            watchers.is_empty() || count >= majority(watchers.len())
        };
        let open = past.ended.iter().filter(|e| e.end > last);
        let ended = open.clone().all(|e| passed(&e.watchers, e.end.min(change)));
        let current = past.removed.is_some() || passed(&past.watchers, change);
        match ended && current {
            true => OwnerStatus::MajorityApplied,
            false => OwnerStatus::MayAct,
        }
    }
}

impl MemberPast {
    fn change(&mut self, watchers: &[MemberId], offset: u64) {
        if self.watchers == watchers {
            return;
        }
        let old = std::mem::replace(&mut self.watchers, watchers.to_vec());
        self.ended.push(WatchSet {
            watchers: old,
            end: offset,
        });
        // The union of two sets would weaken the rule; too many of them make
        // the past unknown instead, which only costs waiting.
        if self.ended.len() > WATCH_SETS_LIMIT {
            let dropped = self.ended.remove(0);
            self.since = dropped.end;
            self.joined = false;
        }
    }
}

/// When a successor may take over from a previous owner.
///
/// Keeps the moment since which the owner is known to have stopped acting, so
/// that asking again does not start the wait anew.
#[derive(Default)]
pub struct Takeover {
    waiting: Option<(OwnerStatus, Moment)>,
}

impl Takeover {
    /// Decides whether the successor may act at `now`.
    ///
    /// `term` is the longest time for which anything that the previous owner
    /// granted stays in use. A quarter is added for clocks that run unevenly.
    pub fn may_take_over(&mut self, status: OwnerStatus, term: Duration, now: Moment) -> bool {
        let wait = match status {
            OwnerStatus::Applied => return true,
            OwnerStatus::MayAct => {
                self.waiting = None;
                return false;
            }
            OwnerStatus::MajorityApplied => AUTHORITY_WINDOW + term,
            OwnerStatus::Unknown => UNKNOWN_FENCE + term,
        };
        let since = match self.waiting {
            Some((before, since)) if before == status => since,
            _ => now,
        };
        self.waiting = Some((status, since));
        now.since(since) >= wait + wait / 4
    }
}
