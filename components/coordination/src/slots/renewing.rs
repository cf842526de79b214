//! The holder's side: renewals of leases, and what calls have shown.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{EndpointKey, HostKey, Moment};

use super::Slots;
use super::holder::Usage;
use super::message::{LeaseKey, Seen, SlotBody, SlotKey, Stamp};
use super::terms::RENEWAL;

/// A lease with less than this left is renewed before its owner's turn.
const SHORT: Duration = Duration::from_millis(1_300);
/// The pause before an early renewal, so that several go together.
const GATHER: Duration = Duration::from_millis(20);
/// The pause before a renewal that was left unanswered or undecided is repeated.
const AGAIN: Duration = Duration::from_millis(200);

impl Slots {
    pub(super) fn on_renewed(
        &mut self,
        owner: HostKey,
        echo: Stamp,
        ended: &[LeaseKey],
        pending: &[LeaseKey],
        now: Moment,
    ) {
        if echo.life != self.me.life {
            return;
        }
        let except: Vec<LeaseKey> = ended.iter().chain(pending).copied().collect();
        self.holder.renewed(Moment(echo.clock), &except, now);
        for lease in ended {
            let service = self.holder.get(lease.slot).map(|h| h.service);
            if let (Some(service), true) = (service, self.holder.end(*lease, now)) {
                self.forget_idle(service, lease.slot);
                self.lose(service);
            }
        }
        let next = if pending.is_empty() { RENEWAL } else { AGAIN };
        self.renewals.insert(owner, Moment(echo.clock) + next);
    }

    pub(super) fn on_recall(&mut self, leases: &[LeaseKey], now: Moment) {
        for lease in leases {
            let Some(held) = self.holder.get(lease.slot) else {
                continue;
            };
            if held.lease.serial == lease.serial {
                self.call_back(lease.slot, now);
            }
        }
    }

    /// Sends the renewals that are due, batched an owner, with what calls have shown.
    pub(super) fn renew(&mut self, now: Moment) {
        let mut owners: BTreeMap<HostKey, Vec<LeaseKey>> = BTreeMap::new();
        for owner in self.brokered_owners() {
            owners.entry(owner).or_default();
        }
        for held in self.holder.iter().filter(|h| h.end > now) {
            if let Some(owner) = self.owner_of(held.lease.slot) {
                owners.entry(owner).or_default().push(held.lease);
            }
        }
        for endpoint in self.tally.keys() {
            if let Some(owner) = self.map.sites.get(endpoint).and_then(|s| s.owner) {
                owners.entry(owner).or_default();
            }
        }
        self.renewals.retain(|owner, _| owners.contains_key(owner));
        for (owner, leases) in owners {
            let due = *self.renewals.entry(owner).or_insert(now);
            let urgent = self.tallied.is_some_and(|at| at <= now) && self.tells(owner);
            if due <= now {
                self.send_renewal(owner, leases, now);
            } else if urgent {
                let seen = self.take_seen(owner);
                let leases = Vec::new();
                self.send(owner, SlotBody::Renew { leases, seen }, now);
            }
        }
        if self.tallied.is_some_and(|at| at <= now) {
            self.tallied = None;
        }
    }

    pub(super) fn take_seen(&mut self, owner: HostKey) -> Vec<Seen> {
        let sites = &self.map.sites;
        let is_own = |e: &EndpointKey| sites.get(e).and_then(|s| s.owner) == Some(owner);
        let (own, rest) = std::mem::take(&mut self.tally)
            .into_iter()
            .partition(|(endpoint, _)| is_own(endpoint));
        self.tally = rest;
        let own: BTreeMap<EndpointKey, Seen> = own;
        own.into_values().collect()
    }

    /// Returns whether something slow was seen at an endpoint of this owner.
    fn tells(&self, owner: HostKey) -> bool {
        self.tally.values().any(|seen| {
            let site = self.map.sites.get(&seen.endpoint);
            seen.over > 0 && site.and_then(|s| s.owner) == Some(owner)
        })
    }

    pub(super) fn renew_soon(&mut self, slot: SlotKey, now: Moment) {
        let end = self.holder.get(slot).map(|h| h.end);
        let (Some(end), Some(owner)) = (end, self.owner_of(slot)) else {
            return;
        };
        let latest = if now.until(end) < SHORT {
            now + GATHER
        } else {
            now + RENEWAL
        };
        let due = self.renewals.entry(owner).or_insert(latest);
        *due = latest.min(*due);
    }

    fn send_renewal(&mut self, owner: HostKey, leases: Vec<LeaseKey>, now: Moment) {
        let pause = if leases.is_empty() { RENEWAL } else { AGAIN };
        self.renewals.insert(owner, now + pause);
        for lease in &leases {
            self.holder.ask(lease.slot, now);
        }
        let seen = self.take_seen(owner);
        self.send(owner, SlotBody::Renew { leases, seen }, now);
    }

    pub(super) fn tally(&mut self, endpoint: EndpointKey, over: bool, now: Moment) {
        let seen = self.tally.entry(endpoint).or_insert(Seen {
            endpoint,
            over: 0,
            total: 0,
        });
        seen.total += 1;
        seen.over += u32::from(over);
        if over && self.tallied.is_none() {
            self.tallied = Some(now + GATHER);
        }
    }

    /// Counts running calls as slow without waiting for their end.
    ///
    /// A backend server that has become twenty times slower answers nothing
    /// for a long time; its owner must hear of it before the first answer.
    pub(super) fn flag_slow(&mut self, now: Moment) {
        let desks = &self.desks;
        let slow: Vec<SlotKey> = self
            .holder
            .iter()
            .filter(|h| match h.usage {
                Usage::Busy(since, false) => desks
                    .get(&h.service)
                    .is_some_and(|d| d.norm.blames(now.since(since))),
                _ => false,
            })
            .map(|h| h.lease.slot)
            .collect();
        for slot in slow {
            self.holder.flag(slot);
            self.tally(slot.endpoint, true, now);
        }
    }
}
