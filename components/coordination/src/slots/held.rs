//! The leases that an entry host holds.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::{tag, value};
use state::{EndpointKey, Moment, ServiceKey};

use super::message::{LeaseKey, SlotKey, TransferredLease};
use super::timing::LEASE_TERM;

/// One lease at its holder.
#[value]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseKey,
    /// The service of the lease's endpoint.
    pub service: ServiceKey,
    /// When the lease ends, by this host's own clock.
    pub end: Moment,
    /// When the last renewal that named the lease was sent.
    pub renewal_sent: Option<Moment>,
    /// What the lease is used for.
    pub usage: Usage,
    /// Whether the lease goes back to its owner as soon as it is idle.
    pub recalled: bool,
    /// Whether the lease is for a single call.
    pub single_use: bool,
}

/// What a lease is used for.
#[tag]
pub enum Usage {
    /// Idle since the given time.
    Idle(Moment),
    /// Running a call since the given time. The flag is set once the call was counted as slow.
    Busy(Moment, bool),
    /// The call was abandoned, but its work may run until the given time.
    Lingering(Moment),
}

/// What happens to a slot after its call has ended.
#[tag]
pub enum Freed {
    /// The slot may serve the next call.
    Ready,
    /// The lease goes back to its owner.
    Return(LeaseKey),
    /// The lease has ended and is removed.
    Expired,
}

/// All leases that one entry host holds.
///
/// Every lease ends by this host's own clock, counted from a time before the
/// sender decided to send it. A lease that has ended is never extended; its slot
/// has to be leased again.
#[value]
#[derive(Default)]
pub struct HeldLeases {
    leases: BTreeMap<SlotKey, HeldLease>,
}

/// A lease with less time left is not transferred, because it would end on the way.
pub const MIN_TRANSFER_TERM: Duration = Duration::from_millis(100);

impl HeldLeases {
    /// Adds a lease that was granted or transferred after `since`, a time of this host's own clock.
    ///
    /// Returns false if the lease has ended on the way, or if a call still runs
    /// on an older lease of the slot. That call has outlived its lease, and
    /// accepting the new lease would put two calls on one slot.
    pub fn accept(
        &mut self,
        transferred: &TransferredLease,
        service: ServiceKey,
        since: Moment,
        now: Moment,
    ) -> bool {
        let end = since + transferred.left.min(LEASE_TERM);
        let conflict = self
            .leases
            .get(&transferred.lease.slot)
            .is_some_and(|h| !matches!(h.usage, Usage::Idle(_)) || h.end > now);
        if end <= now || conflict {
            return false;
        }
        let held = HeldLease {
            lease: transferred.lease,
            service,
            end,
            renewal_sent: None,
            usage: Usage::Idle(now),
            recalled: false,
            single_use: transferred.single_use,
        };
        self.leases.insert(transferred.lease.slot, held);
        true
    }

    /// Returns the lease of a slot.
    pub fn get(&self, slot: SlotKey) -> Option<&HeldLease> {
        self.leases.get(&slot)
    }

    /// Returns all leases.
    pub fn iter(&self) -> impl Iterator<Item = &HeldLease> {
        self.leases.values()
    }

    /// Returns all leases of one endpoint.
    pub fn of_endpoint(&self, endpoint: EndpointKey) -> impl Iterator<Item = &HeldLease> {
        let bound = |number| SlotKey { endpoint, number };
        self.leases
            .range(bound(0)..=bound(u32::MAX))
            .map(|(_, h)| h)
    }

    /// Marks an idle lease as busy, unless it has ended or was recalled.
    pub fn start(&mut self, slot: SlotKey, now: Moment) -> Option<LeaseKey> {
        let held = self.leases.get_mut(&slot)?;
        match held.usage {
            Usage::Idle(_) if held.end > now && !held.recalled => {
                held.usage = Usage::Busy(now, false);
                Some(held.lease)
            }
            _ => None,
        }
    }

    /// Returns whether a call may be sent on this lease now.
    ///
    /// Without this check a process that was paused for longer than the lease term
    /// would send a call on a slot that another host holds by now.
    pub fn may_send(&self, lease: LeaseKey, now: Moment) -> bool {
        self.leases
            .get(&lease.slot)
            .is_some_and(|h| h.lease == lease && h.end > now)
    }

    /// Ends the use of a lease.
    pub fn free(&mut self, lease: LeaseKey, now: Moment) -> Freed {
        match self.leases.get_mut(&lease.slot) {
            Some(held) if held.lease == lease && held.end > now => {
                if held.recalled || held.single_use {
                    self.leases.remove(&lease.slot);
                    return Freed::Return(lease);
                }
                held.usage = Usage::Idle(now);
                Freed::Ready
            }
            Some(held) if held.lease == lease => {
                self.leases.remove(&lease.slot);
                Freed::Expired
            }
            _ => Freed::Expired,
        }
    }

    /// Keeps a slot out of use until `until`, when abandoned work has certainly stopped.
    pub fn linger(&mut self, lease: LeaseKey, until: Moment) {
        if let Some(held) = self.leases.get_mut(&lease.slot)
            && held.lease == lease
        {
            held.usage = Usage::Lingering(until);
        }
    }

    /// Returns the leases whose abandoned work has stopped.
    pub fn stopped(&self, now: Moment) -> Vec<LeaseKey> {
        self.leases
            .values()
            .filter(|h| matches!(h.usage, Usage::Lingering(until) if until <= now))
            .map(|h| h.lease)
            .collect()
    }

    /// Removes an idle lease for a transfer to another holder.
    pub fn transfer(&mut self, slot: SlotKey, now: Moment) -> Option<TransferredLease> {
        let held = self.leases.get(&slot)?;
        let left = now.until(held.end);
        if left < MIN_TRANSFER_TERM || held.recalled || !matches!(held.usage, Usage::Idle(_)) {
            return None;
        }
        let lease = LeaseKey {
            hop: held.lease.hop + 1,
            ..held.lease
        };
        let single_use = held.single_use;
        self.leases.remove(&slot);
        Some(TransferredLease {
            lease,
            left,
            single_use,
        })
    }

    /// Removes an idle lease for its return to the owner.
    pub fn release(&mut self, slot: SlotKey) -> Option<LeaseKey> {
        let held = self.leases.get(&slot)?;
        if !matches!(held.usage, Usage::Idle(_)) {
            return None;
        }
        let lease = held.lease;
        self.leases.remove(&slot);
        Some(lease)
    }

    /// Marks a lease as recalled: it goes back to its owner once it is idle.
    pub fn recall(&mut self, slot: SlotKey) {
        if let Some(held) = self.leases.get_mut(&slot) {
            held.recalled = true;
        }
    }

    /// Marks a running call as counted among the slow calls.
    pub fn mark_slow(&mut self, slot: SlotKey) {
        if let Some(held) = self.leases.get_mut(&slot)
            && let Usage::Busy(since, _) = held.usage
        {
            held.usage = Usage::Busy(since, true);
        }
    }

    /// Records that a renewal of this lease is sent now.
    pub fn note_renewal(&mut self, slot: SlotKey, now: Moment) {
        if let Some(held) = self.leases.get_mut(&slot) {
            held.renewal_sent = Some(now);
        }
    }

    /// Extends the leases named in the renewal sent at `sent`, other than those in `except`.
    pub fn renewed(&mut self, sent: Moment, except: &[LeaseKey], now: Moment) {
        for held in self.leases.values_mut() {
            let named = held.renewal_sent == Some(sent) && !except.contains(&held.lease);
            if named && held.end > now {
                held.end = held.end.max(sent + LEASE_TERM);
            }
        }
    }

    /// Ends a lease that is over at its owner. Returns whether the lease was idle here.
    pub fn end(&mut self, lease: LeaseKey, now: Moment) -> bool {
        match self.leases.get_mut(&lease.slot) {
            Some(held) if held.lease == lease && matches!(held.usage, Usage::Idle(_)) => {
                self.leases.remove(&lease.slot);
                true
            }
            Some(held) if held.lease == lease => {
                held.end = held.end.min(now);
                false
            }
            _ => false,
        }
    }

    /// Removes idle leases that have ended and returns their slots.
    pub fn expire_idle(&mut self, now: Moment) -> Vec<SlotKey> {
        let ended: Vec<SlotKey> = self
            .leases
            .values()
            .filter(|h| h.end <= now && matches!(h.usage, Usage::Idle(_)))
            .map(|h| h.lease.slot)
            .collect();
        for slot in &ended {
            self.leases.remove(slot);
        }
        ended
    }
}
