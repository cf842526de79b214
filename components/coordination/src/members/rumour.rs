//! News that is passed on from host to host, each piece once.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{HostKey, Moment};

use super::message::{News, Rumour};
use super::watch::{MemberId, WatchMap};

/// How long a suspicion lasts without being told again.
///
/// The word that a member lives may be lost on the way to some host, which
/// would avoid that member for ever.
pub const SUSPICION_LASTS: Duration = Duration::from_secs(5);

/// How often the watchers tell an agreed suspicion again.
pub const SUSPICION_EVERY: Duration = Duration::from_secs(2);

/// What a host has heard about the others.
#[derive(Default)]
pub struct Rumours {
    suspicions: BTreeMap<MemberId, Suspicion>,
    epochs: BTreeMap<MemberId, u64>,
    shown: BTreeMap<MemberId, u64>,
}

#[derive(Clone, Copy)]
struct Suspicion {
    epoch: u64,
    round: u64,
    at: Moment,
}

impl Rumours {
    /// Takes news in; true where it is new and worth passing on.
    pub fn take(&mut self, rumour: &Rumour, now: Moment) -> bool {
        let id = MemberId {
            host: rumour.host,
            incarnation: rumour.incarnation,
        };
        match rumour.news {
            News::Suspected { epoch, .. } if epoch < self.epoch(id) => false,
            News::Suspected { epoch, round } => {
                let known = self.suspicions.get(&id).map(|s| (s.epoch, s.round));
                let newer = known.is_none_or(|k| k < (epoch, round));
                if newer {
                    let at = now;
                    self.suspicions.insert(id, Suspicion { epoch, round, at });
                }
                newer
            }
            News::Alive { epoch } if epoch <= self.epoch(id) => false,
            News::Alive { epoch } => {
                self.epochs.insert(id, epoch);
                self.suspicions.remove(&id);
                true
            }
            News::Shown { offset } => self.show(id, offset),
        }
    }

    /// Notes the offset a process said it folded; true where that is news.
    pub fn show(&mut self, id: MemberId, offset: u64) -> bool {
        let shown = self.shown.entry(id).or_default();
        let newer = *shown < offset;
        *shown = offset.max(*shown);
        newer
    }

    /// Returns the greatest offset each process has shown.
    pub fn shown(&self) -> &BTreeMap<MemberId, u64> {
        &self.shown
    }

    /// Returns the greatest epoch in which the member has said that it lives.
    pub fn epoch(&self, id: MemberId) -> u64 {
        self.epochs.get(&id).copied().unwrap_or(0)
    }

    /// Returns the epoch in which the member is suspected.
    pub fn suspected(&self, id: MemberId, now: Moment) -> Option<u64> {
        let suspicion = self.suspicions.get(&id)?;
        (now.since(suspicion.at) < SUSPICION_LASTS).then_some(suspicion.epoch)
    }

    /// Returns whether nobody has been suspected lately.
    pub fn is_quiet(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Forgets suspicions that nobody has repeated.
    pub fn expire(&mut self, now: Moment) {
        self.suspicions
            .retain(|_, s| now.since(s.at) < SUSPICION_LASTS);
    }

    /// Returns whether it is time to tell a suspicion again.
    pub fn is_stale(&self, id: MemberId, now: Moment) -> bool {
        self.suspicions
            .get(&id)
            .is_none_or(|s| now.since(s.at) >= SUSPICION_EVERY)
    }

    /// Forgets those that are no members, but for what they have shown:
    /// their successors need it. That is kept for the last of a host's incarnations.
    pub fn retain(&mut self, map: &WatchMap) {
        let is_member = |id: &MemberId| map.member(id.host) == Some(*id);
        self.suspicions.retain(|id, _| is_member(id));
        self.epochs.retain(|id, _| is_member(id));
        while self.shown.len() > SHOWN_LIMIT {
            let former: Option<MemberId> = self.shown.keys().copied().find(|id| !is_member(id));
            let Some(former) = former else { break };
            self.shown.remove(&former);
        }
    }

    /// Returns what `host` has shown in its latest incarnation known here.
    pub fn shown_by(&self, host: HostKey, incarnation: u64) -> u64 {
        let id = MemberId { host, incarnation };
        self.shown.get(&id).copied().unwrap_or(0)
    }
}

/// Processes whose shown offset is kept.
const SHOWN_LIMIT: usize = 4_096;
