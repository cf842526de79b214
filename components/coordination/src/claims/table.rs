//! The holders of all keys of one `claims` stream, folded from its records.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use derives::tag;
use state::Moment;

use super::record::{Batch, Entry, Outcome};
use super::{ClaimId, ClaimKey};

/// The maximum number of keys held on one stream.
///
/// A table that dropped keys under load would let a deposit run twice, so a full
/// table refuses new keys instead. See docs/CAPACITY.md for the memory it takes.
pub const KEY_LIMIT: usize = 200_000;

/// How long a released claim is remembered.
///
/// The append of a claim that was given up may still land. It must not take the
/// key: no call would run under it, and repeats would wait for an outcome. The
/// store must land an append within this time or never.
pub const RELEASED_CLAIM_TTL: Duration = Duration::from_secs(600);

/// The holder of a key.
#[tag]
pub struct KeyHolder {
    /// The claim that holds the key.
    pub id: ClaimId,
    /// The digest of the request.
    pub digest: u128,
    /// The latest possible time of the claim, in milliseconds of this process's clock.
    claimed: i64,
    /// When the key's last record was folded here.
    written: i64,
    ttl_ms: u64,
}

/// The keys of one stream, folded from its records in offset order.
///
/// The holder of a key depends on the records alone. Clocks only decide when to
/// write that a key has expired, which is never too early: a host counts from the
/// moment it folded a claim, which is after the claim was made.
#[derive(Default)]
pub struct ClaimTable {
    next: u64,
    holders: BTreeMap<ClaimKey, KeyHolder>,
    released: BTreeSet<ClaimId>,
    written: VecDeque<(i64, ClaimKey)>,
    carrying: Vec<(i64, ClaimKey)>,
    releases: VecDeque<(i64, ClaimId)>,
}

impl ClaimTable {
    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns how many keys are held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns whether the table accepts no more keys.
    pub fn is_full(&self) -> bool {
        self.holders.len() >= KEY_LIMIT
    }

    /// Returns the holder of `key`.
    pub fn holder(&self, key: ClaimKey) -> Option<&KeyHolder> {
        self.holders.get(&key)
    }

    /// Starts over at offset `first`, after records were trimmed before they were folded.
    ///
    /// Keys that are still held were carried over, so the rest of the log is enough.
    pub fn restart(&mut self, first: u64) {
        *self = ClaimTable {
            next: first,
            ..ClaimTable::default()
        };
    }

    /// Folds the record at `offset`. Folding a record twice has no effect.
    pub fn fold(&mut self, offset: u64, batch: &Batch, now: Moment) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        self.forget_releases(millis(now));
        for entry in &batch.entries {
            self.apply(entry, millis(now));
        }
    }

    /// Returns whether [`ClaimTable::carry`] would return any entries.
    pub fn has_due(&self, age: Duration, now: Moment) -> bool {
        let before = millis(now) - i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.written.front().is_some_and(|(at, _)| *at <= before)
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Returns up to `limit` entries for keys whose last record is older than `age`.
    ///
    /// An entry repeats the holder or records that the key has expired.
    pub fn carry(&mut self, age: Duration, limit: usize, now: Moment) -> Vec<Entry> {
        let now = millis(now);
        let before = now - i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        let mut entries = Vec::new();
        while entries.len() < limit {
            let Some((written, key)) = self.written.front().copied() else {
                break;
            };
            if written > before {
                break;
            }
            self.written.pop_front();
            let holder = self.holders.get(&key);
            let Some(holder) = holder.filter(|h| h.written == written) else {
                continue;
            };
            entries.push(holder.carry_entry(key, now));
            self.carrying.push((written, key));
        }
        entries
    }

    /// Makes keys returned by [`ClaimTable::carry`] due again unless their entries were folded.
    pub fn end_carry(&mut self) {
        for (written, key) in std::mem::take(&mut self.carrying).into_iter().rev() {
            if self.holders.get(&key).is_some_and(|h| h.written == written) {
                self.written.push_front((written, key));
            }
        }
    }

    fn apply(&mut self, entry: &Entry, now: i64) {
        match *entry {
            Entry::Claim { id, .. } if self.released.contains(&id) => {}
            Entry::Claim { key, .. } if self.holders.contains_key(&key) => {}
            Entry::Claim {
                id,
                key,
                digest,
                ttl_ms,
            } => {
                self.hold(
                    key,
                    KeyHolder {
                        id,
                        digest,
                        claimed: now,
                        written: now,
                        ttl_ms,
                    },
                );
            }
            Entry::Ended {
                id,
                key,
                outcome: Outcome::NotRun,
            } => {
                self.free(id, key);
                self.released.insert(id);
                self.releases.push_back((now, id));
            }
            Entry::Ended { .. } => {}
            Entry::Expired { id, key } => self.free(id, key),
            Entry::Carried { id, .. } if self.released.contains(&id) => {}
            Entry::Carried {
                id,
                key,
                digest,
                ttl_ms,
                age,
            } => {
                let claimed = now - i64::try_from(age).unwrap_or(i64::MAX);
                self.add_carried(
                    key,
                    KeyHolder {
                        id,
                        digest,
                        claimed,
                        written: now,
                        ttl_ms,
                    },
                );
            }
        }
    }

    /// Adds a carried holder. Of two holders the one that claimed later is the right
    /// one, because a key changes its holder only after the earlier claim is over.
    fn add_carried(&mut self, key: ClaimKey, carried: KeyHolder) {
        match self.holders.get_mut(&key) {
            Some(h) if h.id == carried.id => {
                h.written = carried.written;
                self.written.push_back((carried.written, key));
            }
            Some(h) if h.claimed >= carried.claimed => {}
            _ => self.hold(key, carried),
        }
    }

    fn hold(&mut self, key: ClaimKey, holder: KeyHolder) {
        self.written.push_back((holder.written, key));
        self.holders.insert(key, holder);
    }

    fn free(&mut self, id: ClaimId, key: ClaimKey) {
        if self.holders.get(&key).is_some_and(|h| h.id == id) {
            self.holders.remove(&key);
        }
    }

    fn forget_releases(&mut self, now: i64) {
        let limit = now - RELEASED_CLAIM_TTL.as_millis() as i64;
        while let Some((at, id)) = self.releases.front().copied() {
            if at > limit {
                break;
            }
            self.releases.pop_front();
            self.released.remove(&id);
        }
    }
}

impl KeyHolder {
    /// Returns whether the key's TTL is over.
    pub fn is_over(&self, now: Moment) -> bool {
        self.age(millis(now)) >= self.ttl_ms
    }

    fn age(&self, now: i64) -> u64 {
        u64::try_from(now - self.claimed).unwrap_or(0)
    }

    fn carry_entry(&self, key: ClaimKey, now: i64) -> Entry {
        let age = self.age(now);
        match age >= self.ttl_ms {
            true => Entry::Expired { id: self.id, key },
            false => Entry::Carried {
                id: self.id,
                key,
                digest: self.digest,
                ttl_ms: self.ttl_ms,
                age,
            },
        }
    }
}

fn millis(moment: Moment) -> i64 {
    i64::try_from(moment.0 / 1_000).unwrap_or(i64::MAX)
}
