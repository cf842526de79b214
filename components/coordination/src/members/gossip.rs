//! Gossip about members, which each host forwards once.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{HostKey, Moment};

use super::message::{Gossip, GossipEvent};
use super::watch::{MemberId, WatchMap};

/// How long a suspicion lasts unless it is repeated.
///
/// The refutation may be lost on its way to some host, which would otherwise
/// avoid the member forever.
pub const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// The time between two repetitions of an agreed suspicion by the watchers.
pub const SUSPICION_INTERVAL: Duration = Duration::from_secs(2);

/// What a host knows about other members from gossip.
#[derive(Default)]
pub struct GossipState {
    suspicions: BTreeMap<MemberId, Suspicion>,
    epochs: BTreeMap<MemberId, u64>,
    applied: BTreeMap<MemberId, u64>,
}

#[derive(Clone, Copy)]
struct Suspicion {
    epoch: u64,
    round: u64,
    at: Moment,
}

impl GossipState {
    /// Applies an event. Returns whether it is new and should be forwarded.
    pub fn accept(&mut self, gossip: &Gossip, now: Moment) -> bool {
        let id = MemberId {
            host: gossip.host,
            incarnation: gossip.incarnation,
        };
        match gossip.event {
            GossipEvent::Suspected { epoch, .. } if epoch < self.epoch(id) => false,
            GossipEvent::Suspected { epoch, round } => {
                let known = self.suspicions.get(&id).map(|s| (s.epoch, s.round));
                let newer = known.is_none_or(|k| k < (epoch, round));
                if newer {
                    let at = now;
                    self.suspicions.insert(id, Suspicion { epoch, round, at });
                }
                newer
            }
            GossipEvent::Alive { epoch } if epoch <= self.epoch(id) => false,
            GossipEvent::Alive { epoch } => {
                self.epochs.insert(id, epoch);
                self.suspicions.remove(&id);
                true
            }
            GossipEvent::Applied { offset } => self.note_applied(id, offset),
        }
    }

    /// Records the offset that a process says it has applied. Returns whether it is new.
    pub fn note_applied(&mut self, id: MemberId, offset: u64) -> bool {
        let applied = self.applied.entry(id).or_default();
        let newer = *applied < offset;
        *applied = offset.max(*applied);
        newer
    }

    /// Returns the greatest offset that each process has applied.
    pub fn applied(&self) -> &BTreeMap<MemberId, u64> {
        &self.applied
    }

    /// Returns the latest epoch in which the member has said that it is alive.
    pub fn epoch(&self, id: MemberId) -> u64 {
        self.epochs.get(&id).copied().unwrap_or(0)
    }

    /// Returns the epoch in which the member is suspected, if it is.
    pub fn suspected(&self, id: MemberId, now: Moment) -> Option<u64> {
        let suspicion = self.suspicions.get(&id)?;
        (now.since(suspicion.at) < SUSPICION_TTL).then_some(suspicion.epoch)
    }

    /// Returns whether there are no suspicions.
    pub fn is_quiet(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Removes suspicions that were not repeated in time.
    pub fn expire(&mut self, now: Moment) {
        self.suspicions
            .retain(|_, s| now.since(s.at) < SUSPICION_TTL);
    }

    /// Returns whether it is time to repeat a suspicion.
    pub fn is_repeat_due(&self, id: MemberId, now: Moment) -> bool {
        self.suspicions
            .get(&id)
            .is_none_or(|s| now.since(s.at) >= SUSPICION_INTERVAL)
    }

    /// Removes hosts that are not members, except for their applied offsets.
    ///
    /// Successors need these offsets. Once there are too many, those of the first
    /// former members by key are removed.
    pub fn retain(&mut self, map: &WatchMap) {
        let is_member = |id: &MemberId| map.member(id.host) == Some(*id);
        self.suspicions.retain(|id, _| is_member(id));
        self.epochs.retain(|id, _| is_member(id));
        while self.applied.len() > APPLIED_LIMIT {
            let former: Option<MemberId> = self.applied.keys().copied().find(|id| !is_member(id));
            let Some(former) = former else { break };
            self.applied.remove(&former);
        }
    }

    /// Returns the offset that this incarnation of `host` has applied, 0 if it is unknown.
    pub fn applied_by(&self, host: HostKey, incarnation: u64) -> u64 {
        let id = MemberId { host, incarnation };
        self.applied.get(&id).copied().unwrap_or(0)
    }
}

/// The number of processes whose applied offset is kept.
const APPLIED_LIMIT: usize = 4_096;
