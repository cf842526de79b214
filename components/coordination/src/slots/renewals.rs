//! The holder role: renewals of leases, and statistics of calls.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{EndpointKey, HostKey, Moment};

use super::SlotManager;
use super::held::Usage;
use super::message::{CallStats, LeaseKey, SlotBody, SlotKey, Stamp};
use super::timing::RENEWAL_INTERVAL;

/// A lease with less time left is renewed before the owner's regular renewal.
const EARLY_RENEWAL_LIMIT: Duration = Duration::from_millis(1_300);
/// The delay of an early renewal or report, so that several are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The delay before a renewal is repeated if the owner has not answered or not decided.
const RENEWAL_RETRY: Duration = Duration::from_millis(200);

impl SlotManager {
    pub(super) fn on_renewed(
        &mut self,
        owner: HostKey,
        echo: Stamp,
        ended: &[LeaseKey],
        pending: &[LeaseKey],
        now: Moment,
    ) {
        if echo.incarnation != self.me.incarnation {
            return;
        }
        let except: Vec<LeaseKey> = ended.iter().chain(pending).copied().collect();
        self.leases.renewed(Moment(echo.clock), &except, now);
        for lease in ended {
            let service = self.leases.get(lease.slot).map(|h| h.service);
            if let (Some(service), true) = (service, self.leases.end(*lease, now)) {
                self.forget_idle(service, lease.slot);
                self.decrement_held(service);
            }
        }
        let next = if pending.is_empty() {
            RENEWAL_INTERVAL
        } else {
            RENEWAL_RETRY
        };
        self.renewals.insert(owner, Moment(echo.clock) + next);
    }

    pub(super) fn on_recall(&mut self, leases: &[LeaseKey], now: Moment) {
        for lease in leases {
            let Some(held) = self.leases.get(lease.slot) else {
                continue;
            };
            if held.lease.serial == lease.serial {
                self.recall_slot(lease.slot, now);
            }
        }
    }

    /// Sends the renewals that are due, one message per owner, with call statistics.
    pub(super) fn renew(&mut self, now: Moment) {
        let mut owners: BTreeMap<HostKey, Vec<LeaseKey>> = BTreeMap::new();
        for owner in self.brokered_owners() {
            owners.entry(owner).or_default();
        }
        for held in self.leases.iter().filter(|h| h.end > now) {
            if let Some(owner) = self.owner_of(held.lease.slot) {
                owners.entry(owner).or_default().push(held.lease);
            }
        }
        for endpoint in self.call_stats.keys() {
            if let Some(owner) = self.roles.endpoints.get(endpoint).and_then(|s| s.owner) {
                owners.entry(owner).or_default();
            }
        }
        self.renewals.retain(|owner, _| owners.contains_key(owner));
        for (owner, leases) in owners {
            let due = *self.renewals.entry(owner).or_insert(now);
            let urgent = self.stats_due.is_some_and(|at| at <= now) && self.has_slow_calls(owner);
            if due <= now {
                self.send_renewal(owner, leases, now);
            } else if urgent {
                let stats = self.take_stats(owner);
                let leases = Vec::new();
                self.send(owner, SlotBody::Renew { leases, stats }, now);
            }
        }
        if self.stats_due.is_some_and(|at| at <= now) {
            self.stats_due = None;
        }
    }

    pub(super) fn take_stats(&mut self, owner: HostKey) -> Vec<CallStats> {
        let endpoints = &self.roles.endpoints;
        let is_own = |e: &EndpointKey| endpoints.get(e).and_then(|s| s.owner) == Some(owner);
        let (own, rest) = std::mem::take(&mut self.call_stats)
            .into_iter()
            .partition(|(endpoint, _)| is_own(endpoint));
        self.call_stats = rest;
        let own: BTreeMap<EndpointKey, CallStats> = own;
        own.into_values().collect()
    }

    /// Returns whether slow calls were counted at an endpoint of this owner.
    fn has_slow_calls(&self, owner: HostKey) -> bool {
        self.call_stats.values().any(|stats| {
            let endpoint_roles = self.roles.endpoints.get(&stats.endpoint);
            stats.slow > 0 && endpoint_roles.and_then(|s| s.owner) == Some(owner)
        })
    }

    pub(super) fn renew_soon(&mut self, slot: SlotKey, now: Moment) {
        let end = self.leases.get(slot).map(|h| h.end);
        let (Some(end), Some(owner)) = (end, self.owner_of(slot)) else {
            return;
        };
        let latest = if now.until(end) < EARLY_RENEWAL_LIMIT {
            now + BATCH_DELAY
        } else {
            now + RENEWAL_INTERVAL
        };
        let due = self.renewals.entry(owner).or_insert(latest);
        *due = latest.min(*due);
    }

    fn send_renewal(&mut self, owner: HostKey, leases: Vec<LeaseKey>, now: Moment) {
        let pause = if leases.is_empty() {
            RENEWAL_INTERVAL
        } else {
            RENEWAL_RETRY
        };
        self.renewals.insert(owner, now + pause);
        for lease in &leases {
            self.leases.note_renewal(lease.slot, now);
        }
        let stats = self.take_stats(owner);
        self.send(owner, SlotBody::Renew { leases, stats }, now);
    }

    pub(super) fn count_call(&mut self, endpoint: EndpointKey, slow: bool, now: Moment) {
        let stats = self.call_stats.entry(endpoint).or_insert(CallStats {
            endpoint,
            slow: 0,
            total: 0,
        });
        stats.total += 1;
        stats.slow += u32::from(slow);
        if slow && self.stats_due.is_none() {
            self.stats_due = Some(now + BATCH_DELAY);
        }
    }

    /// Counts running calls as slow before they end.
    ///
    /// A backend server that has become twenty times slower sends no answer for a
    /// long time, and its owner must know before the first answer.
    pub(super) fn count_slow_calls(&mut self, now: Moment) {
        let pools = &self.pools;
        let slow: Vec<SlotKey> = self
            .leases
            .iter()
            .filter(|h| match h.usage {
                Usage::Busy(since, false) => pools
                    .get(&h.service)
                    .is_some_and(|d| d.latency.is_endpoint_slow(now.since(since))),
                _ => false,
            })
            .map(|h| h.lease.slot)
            .collect();
        for slot in slow {
            self.leases.mark_slow(slot);
            self.count_call(slot.endpoint, true, now);
        }
    }
}
