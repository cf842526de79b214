//! The owner's table of the leases granted for one endpoint.

use std::time::Duration;

use derives::{tag, value};
use state::{EndpointKey, HostKey, Moment};

use super::message::{EndpointHandoff, HandoffLease, LeaseKey, SlotKey};
use super::timing::{FENCE_DURATION, LEASE_TERM};

/// The leases of one endpoint's slots, at the endpoint's owner.
///
/// The owner counts each term from the moment it *receives* a renewal, the
/// holder from the moment it *sent* the renewal. The owner therefore sees a
/// lease end last, whatever the delay, and leases a slot again only after that.
#[value]
pub struct LeaseTable {
    endpoint: EndpointKey,
    slots: Vec<SlotState>,
    fence: Moment,
}

/// The state of one slot.
#[tag]
enum SlotState {
    /// No host can hold the slot once the fence is over.
    Free,
    /// The slot is leased.
    Leased {
        lease: LeaseKey,
        holder: HostKey,
        until: Moment,
    },
}

/// An owner's answer to the renewal of a lease.
#[tag]
pub enum Renewal {
    /// The lease is extended by one term.
    Extended,
    /// The lease is over.
    Ended,
    /// The owner cannot decide yet.
    Pending,
}

/// A granted lease.
#[tag]
pub struct GrantedLease {
    /// The lease.
    pub lease: LeaseKey,
    /// The holder, as far as the owner knows.
    pub holder: HostKey,
}

impl LeaseTable {
    /// Returns the table of a new owner that does not know which slots are leased.
    pub fn with_fence(endpoint: EndpointKey, slots: u32, now: Moment) -> LeaseTable {
        LeaseTable {
            endpoint,
            slots: vec![SlotState::Free; slots as usize],
            fence: now + FENCE_DURATION,
        }
    }

    /// Returns the table that an earlier owner handed off.
    ///
    /// Remaining times count from the receipt, which is later than at the earlier
    /// owner. No lease therefore ends here before it ends there.
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

    /// Returns the state that the next owner needs.
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

    /// Changes the number of slots. Leases of slots above the new number run out.
    pub fn resize(&mut self, slots: u32) {
        while self.slots.len() > slots as usize {
            match self.slots.last() {
                Some(SlotState::Free) => self.slots.pop(),
                _ => return,
            };
        }
        self.slots.resize(slots as usize, SlotState::Free);
    }

    /// Returns whether slots may be leased: all earlier leases are known or over.
    pub fn is_open(&self, now: Moment) -> bool {
        self.fence <= now
    }

    /// Returns whether the fence is up and no lease was granted or adopted yet.
    pub fn is_untouched(&self, now: Moment) -> bool {
        !self.is_open(now) && self.leased() == 0
    }

    /// Returns the number of leased slots.
    pub fn leased(&self) -> u32 {
        self.leases().count() as u32
    }

    /// Returns the granted leases.
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

    /// Leases a free slot under `serial`, if there is one and the fence is over.
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

    /// Renews a lease for the host that shows the lease's latest hop.
    ///
    /// While the fence is up, an unknown lease is adopted: a live holder reports it,
    /// and this owner has not yet granted any lease that could conflict with it.
    /// Adoption waits until the earlier owner has certainly stopped, because that
    /// owner might still lease the same slot to another host.
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
        Renewal::Extended
    }

    /// Frees a slot that its holder returned. Returns false if the lease is out of date.
    pub fn return_lease(&mut self, lease: LeaseKey) -> bool {
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

    /// Returns the time until the fence is over.
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
