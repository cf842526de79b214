//! What an endpoint's owner knows of the slots that are out.

use std::time::Duration;

use derives::{tag, value};
use state::{EndpointKey, HostKey, Moment};

use super::message::{EndpointHandoff, HandoffLease, LeaseKey, SlotKey};
use super::timing::{FENCE_DURATION, LEASE_TERM};

/// The leases of one endpoint's slots, at its owner.
///
/// The owner counts each term from the moment it *receives* a renewal, the
/// holder from the moment it *sent* it, so the owner's view of a lease ends
/// last whatever the delay. A slot is leased anew only after that.
#[value]
pub struct LeaseTable {
    endpoint: EndpointKey,
    slots: Vec<SlotState>,
    fence: Moment,
}

/// One slot's entry.
#[tag]
enum SlotState {
    /// Nobody can hold it, once the fence is over.
    Free,
    /// It is leased.
    Leased {
        lease: LeaseKey,
        holder: HostKey,
        until: Moment,
    },
}

/// What an owner says to a renewal.
#[tag]
pub enum Renewal {
    /// The lease goes on for a term.
    Kept,
    /// The lease is over.
    Ended,
    /// It can't be said yet.
    Pending,
}

/// A lease that is out.
#[tag]
pub struct GrantedLease {
    /// The lease.
    pub lease: LeaseKey,
    /// Who holds it, as far as the owner has heard.
    pub holder: HostKey,
}

impl LeaseTable {
    /// Returns the ledger of a new owner that knows nothing of what is out.
    pub fn with_fence(endpoint: EndpointKey, slots: u32, now: Moment) -> LeaseTable {
        LeaseTable {
            endpoint,
            slots: vec![SlotState::Free; slots as usize],
            fence: now + FENCE_DURATION,
        }
    }

    /// Returns the ledger as the earlier owner left it.
    ///
    /// Its remaining times are counted from the receipt: later than at the
    /// giver, so no lease ends here before it ends there.
    pub fn from_handoff(handoff: &EndpointHandoff, slots: u32, now: Moment) -> LeaseTable {
        let mut lease_table = LeaseTable {
            endpoint: handoff.endpoint,
            slots: vec![SlotState::Free; slots as usize],
            fence: now + handoff.fence.min(FENCE_DURATION),
        };
        for entry in &handoff.leases {
            lease_table.note(entry.lease, entry.holder, now + entry.left.min(LEASE_TERM));
        }
        lease_table
    }

    /// Returns what the next owner has to know.
    pub fn handoff(&self, cap: u32, revision: u64, now: Moment) -> EndpointHandoff {
        let leases = self.slots.iter().filter_map(|slot| match *slot {
            SlotState::Leased {
                lease,
                holder,
                until,
            } if until > now => Some(HandoffLease {
                lease,
                holder,
                left: now.until(until),
            }),
            _ => None,
        });
        EndpointHandoff {
            endpoint: self.endpoint,
            revision,
            fence: now.until(self.fence),
            cap,
            leases: leases.collect(),
        }
    }

    /// Changes the number of slots; leases above it end by themselves.
    pub fn resize(&mut self, slots: u32) {
        while self.slots.len() > slots as usize {
            match self.slots.last() {
                Some(SlotState::Free) => self.slots.pop(),
                _ => return,
            };
        }
        self.slots.resize(slots as usize, SlotState::Free);
    }

    /// Returns whether slots may be leased: what was out before is known or over.
    pub fn is_open(&self, now: Moment) -> bool {
        self.fence <= now
    }

    /// Returns whether nothing was ever leased or adopted here.
    pub fn is_untouched(&self, now: Moment) -> bool {
        !self.is_open(now) && self.leased() == 0
    }

    /// Returns how many slots are out.
    pub fn leased(&self) -> u32 {
        self.leases().count() as u32
    }

    /// Returns the leases that are out.
    pub fn leases(&self) -> impl Iterator<Item = GrantedLease> {
        self.slots.iter().filter_map(|slot| match *slot {
            SlotState::Leased { lease, holder, .. } => Some(GrantedLease { lease, holder }),
            SlotState::Free => None,
        })
    }

    /// Frees the slots whose leases have ended and returns those leases.
    pub fn expire(&mut self, now: Moment) -> Vec<GrantedLease> {
        let mut ended = Vec::new();
        for slot in &mut self.slots {
            match *slot {
                SlotState::Leased {
                    lease,
                    holder,
                    until,
                } if until <= now => {
                    ended.push(GrantedLease { lease, holder });
                    *slot = SlotState::Free;
                }
                _ => {}
            }
        }
        ended
    }

    /// Leases a free slot under `serial`, where one is free and the fence is over.
    pub fn grant(&mut self, holder: HostKey, serial: u64, now: Moment) -> Option<LeaseKey> {
        if !self.is_open(now) {
            return None;
        }
        let number = self.slots.iter().position(|s| *s == SlotState::Free)?;
        let lease = LeaseKey {
            slot: SlotKey {
                endpoint: self.endpoint,
                number: number as u32,
            },
            serial,
            hop: 0,
        };
        self.slots[number] = SlotState::Leased {
            lease,
            holder,
            until: now + LEASE_TERM,
        };
        Some(lease)
    }

    /// Renews a lease for whoever shows its latest hop.
    ///
    /// Behind the fence an unknown lease is adopted: a live holder reports it,
    /// and this owner has leased nothing yet that could clash with it. Not
    /// before the earlier owner has surely stopped, though: it might still
    /// lease the same slot to another host.
    pub fn renew(&mut self, lease: LeaseKey, holder: HostKey, now: Moment) -> Renewal {
        let waits = self.fence_left(now) > LEASE_TERM;
        let open = self.is_open(now);
        let Some(slot) = self.slots.get(lease.slot.number as usize) else {
            return Renewal::Ended;
        };
        match *slot {
            SlotState::Free if open => return Renewal::Ended,
            SlotState::Free if waits => return Renewal::Pending,
            SlotState::Leased { until, .. } if until <= now => return Renewal::Ended,
            SlotState::Leased { lease: known, .. }
                if known.serial != lease.serial || known.hop > lease.hop =>
            {
                return Renewal::Ended;
            }
            _ => {}
        }
        self.note(lease, holder, now + LEASE_TERM);
        Renewal::Kept
    }

    /// Frees a slot that its holder gives back; returns whether it was that lease.
    pub fn give_back(&mut self, lease: LeaseKey) -> bool {
        let Some(slot) = self.slots.get_mut(lease.slot.number as usize) else {
            return false;
        };
        match *slot {
            SlotState::Leased { lease: known, .. }
                if known.serial == lease.serial && known.hop <= lease.hop =>
            {
                *slot = SlotState::Free;
                true
            }
            _ => false,
        }
    }

    /// Returns the time left until the fence is over.
    pub fn fence_left(&self, now: Moment) -> Duration {
        now.until(self.fence)
    }

    fn note(&mut self, lease: LeaseKey, holder: HostKey, until: Moment) {
        if let Some(slot) = self.slots.get_mut(lease.slot.number as usize) {
            *slot = SlotState::Leased {
                lease,
                holder,
                until,
            };
        }
    }
}
