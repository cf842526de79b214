//! When an owner may act, and when its successor may take over.
//!
//! Without this rule an owner that is cut off from the log does not read of its
//! removal and goes on leasing slots that its successor leases too. A backend
//! server then gets twice the calls that it can take. The rule needs no clock
//! shared between hosts. An owner acts once a majority of its watchers confirms
//! that they know of nothing newer. Its successor waits until a majority of the
//! same watchers has applied the change. Two majorities share a member, and the
//! offset that a member has applied never decreases.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derives::{tag, value};
use state::Moment;

use super::watch::{MemberId, WatchMap, majority};

/// How long an owner may act after its configuration was proved to be the current one.
pub const AUTHORITY_WINDOW: Duration = Duration::from_secs(2);

/// How long a successor waits if it cannot know under which watchers the previous
/// owner may be acting, because it started after that owner was last reachable.
pub const UNKNOWN_FENCE: Duration = Duration::from_secs(60);

/// The number of former members whose watch sets are kept.
const FORMER_LIMIT: usize = 256;

/// The number of former watch sets kept for each member.
const WATCH_SETS_LIMIT: usize = 64;

/// An acknowledgement from one of this host's watchers.
#[tag]
pub struct WatcherAck {
    /// The offset that the watcher has applied.
    pub offset: u64,
    /// When this host sent the acknowledged heartbeat.
    pub sent: Moment,
}

/// Decides whether this host may act as an owner, by the time from [`current_at`].
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

/// Returns whether a proof of time `at` still lets an owner act.
pub fn is_fresh(now: Moment, at: Moment) -> bool {
    now.since(at) < AUTHORITY_WINDOW
}

/// Returns the latest time at which the configuration known here was proved current.
///
/// `log_read` is when this host last sent a read request that found nothing new in
/// the log. Acknowledgements count from the sending of their heartbeat, so a pause
/// between the request and the decision makes them outdated. A watcher that is
/// ahead does not count, because it knows of a change that this host lacks.
pub fn current_at(
    offset: u64,
    log_read: Option<Moment>,
    watchers: &[MemberId],
    answers: &BTreeMap<MemberId, WatcherAck>,
) -> Option<Moment> {
    let agreed = watchers.iter().filter_map(|w| answers.get(w));
    let mut sent: Vec<Moment> = agreed
        .filter(|e| e.offset <= offset)
        .map(|e| e.sent)
        .collect();
    sent.sort_unstable_by(|a, b| b.cmp(a));
    let needed = majority(watchers.len());
    let confirmed = match watchers {
        [] => None,
        _ => sent.get(needed - 1).copied(),
    };
    log_read.max(confirmed)
}

/// Whether a previous owner may still act after a change of the configuration.
#[tag]
pub enum OwnerStatus {
    /// The owner has applied the change: it acts by the new configuration.
    Applied,
    /// A majority of the owner's watchers has applied the change, so the owner stops
    /// acting within [`AUTHORITY_WINDOW`] from now.
    MajorityApplied,
    /// The owner may act by an older configuration for as long as it has this status.
    MayAct,
    /// This host knows too little about the owner: see [`UNKNOWN_FENCE`].
    Unknown,
}

/// The watch sets under which members may be acting.
#[derive(Default)]
pub struct WatchHistory {
    members: BTreeMap<MemberId, MemberPast>,
    revision: Option<u64>,
    former: VecDeque<MemberId>,
}

/// The watch sets of one member.
struct MemberPast {
    /// The offset of the first configuration in which this host saw the member.
    since: u64,
    /// Whether the member joined with that configuration.
    joined: bool,
    ended: Vec<WatchSet>,
    watchers: Vec<MemberId>,
    /// The offset at which the member was removed.
    removed: Option<u64>,
}

/// A watch set and the offset at which it ended.
#[value]
struct WatchSet {
    watchers: Vec<MemberId>,
    end: u64,
}

impl WatchHistory {
    /// Applies the watch sets of the configuration at `offset`.
    ///
    /// If revisions were skipped, an owner may be acting under a watch set that this
    /// host never saw. The history of all members then starts over.
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
    /// `applied` is the greatest offset that each process says it has applied. For each
    /// watch set that `owner` may be under, a majority must have passed the end of the
    /// set. `owner` then finds no majority that confirms its configuration.
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
        // Merging two sets would weaken the rule. Too many sets make the past unknown
        // instead, which only costs waiting time.
        if self.ended.len() > WATCH_SETS_LIMIT {
            let dropped = self.ended.remove(0);
            self.since = dropped.end;
            self.joined = false;
        }
    }
}

/// Decides when a successor may take over from a previous owner.
///
/// Keeps the time since which the owner is known to have stopped acting, so that
/// repeated calls do not restart the wait.
#[derive(Default)]
pub struct Takeover {
    waiting: Option<(OwnerStatus, Moment)>,
}

impl Takeover {
    /// Decides whether the successor may act at `now`.
    ///
    /// `term` is the longest time for which anything that the previous owner granted
    /// stays in use. The wait is a quarter longer, for clocks that run at different rates.
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
