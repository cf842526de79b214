//! Assigns the idle slots of one service at this host.

use std::collections::BTreeMap;

use state::{EndpointKey, Moment, ServiceKey};

use super::held::Usage;
use super::message::SlotKey;
use super::{Effect, SlotManager};

/// The preference for an endpoint to start the next call on; the lowest rank comes first.
type Rank = (bool, usize);

impl SlotManager {
    /// Starts calls on idle slots and transfers slots that other hosts need more.
    ///
    /// Load pattern: runs at each arrival and each end of a call, mostly when no
    /// slot is wanted. It therefore checks for demand first and stops as soon as
    /// there is none. Ranking all idle slots each time took longer than the rest of
    /// a call's path through the host.
    pub(super) fn assign_idle(&mut self, service: ServiceKey, now: Moment) {
        if self.is_wanted(service, now) {
            for slot in self.ranked(service) {
                if !self.assign_slot(service, slot, now) {
                    self.forget_idle(service, slot);
                }
                if !self.is_wanted(service, now) {
                    break;
                }
            }
        }
        if let Some(pool) = self.pools.get_mut(&service)
            && pool.queue.is_empty()
        {
            pool.admission.note_empty(now);
        }
    }

    /// Starts the oldest waiting call that may run on this idle slot.
    pub(super) fn start_next(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        let Some(waiting) = pool.queue.take(slot.endpoint) else {
            return false;
        };
        let lease = self.leases.start(slot, now);
        let address = self.roles.endpoints.get(&slot.endpoint).map(|s| s.address);
        let (Some(lease), Some(address)) = (lease, address) else {
            pool.queue.push_front(waiting);
            return false;
        };
        pool.admission.note_start(pool.queue.len(), now);
        self.effects.push(Effect::Start {
            call: waiting.call,
            lease,
            address,
        });
        true
    }

    /// Returns whether an idle slot of this service is wanted by a call or another host.
    fn is_wanted(&self, service: ServiceKey, now: Moment) -> bool {
        let Some(pool) = self.pools.get(&service) else {
            return false;
        };
        match self.brokers.get(&service) {
            _ if pool.idle.is_empty() => false,
            _ if self.stopping || !pool.queue.is_empty() || !pool.transfer_requests.is_empty() => {
                true
            }
            Some(broker) if self.roles.broker(service) == Some(self.me.host) => {
                broker.longest_waiting(Some(self.me.host), now).is_some()
                    || (pool.idle.len() as u32 > pool.spare()
                        && broker.spare_candidate(self.me.host, now).is_some())
            }
            _ => pool.shortage,
        }
    }

    /// Returns the idle slots, the preferred ones first.
    ///
    /// Slots of the own data centre come first, because they save a round trip. Then
    /// come endpoints with the fewest calls of this host, so that an unhealthy
    /// backend server affects few of them.
    pub(super) fn ranked(&self, service: ServiceKey) -> Vec<SlotKey> {
        let mut slots = self.idle_slots(service);
        if slots.len() < 2 {
            return slots;
        }
        let mut ranks: BTreeMap<EndpointKey, Rank> = BTreeMap::new();
        for slot in &slots {
            let endpoint = slot.endpoint;
            ranks.entry(endpoint).or_insert_with(|| self.rank(endpoint));
        }
        slots.sort_by_key(|slot| ranks.get(&slot.endpoint));
        slots
    }

    fn rank(&self, endpoint: EndpointKey) -> Rank {
        let endpoint_roles = self.roles.endpoints.get(&endpoint);
        let near = endpoint_roles.is_some_and(|s| s.centre == self.me.centre);
        let held = self.leases.of_endpoint(endpoint);
        let busy = held.filter(|h| !matches!(h.usage, Usage::Idle(_)));
        (!near, busy.count())
    }
}
