//! The holder role: arriving, waiting and running calls, and the slots that they run on.

use std::time::Duration;

use state::admission::Admission;
use state::queue::{CallKey, WaitingCall};
use state::{EndpointKey, HostKey, Moment, ServiceKey};

use super::held::{Freed, Usage};
use super::message::{LeaseKey, Reason, ReturnedLease, SlotKey, Stamp, TransferredLease};
use super::pool::SlotPool;
use super::role_map::RoleMap;
use super::{Arrival, Effect, Ending, Refusal, SlotManager};

/// How long a call's work may still run after its connection broke.
const BROKEN_CALL_GRACE: Duration = Duration::from_millis(100);

impl SlotManager {
    /// Handles an arriving call: starts, queues or refuses it.
    pub fn arrive(&mut self, arrival: &Arrival, now: Moment) {
        if let Some(refusal) = self.admit(arrival, now) {
            self.effects.push(Effect::Refuse(arrival.call, refusal));
        }
        self.finish_step(now);
    }

    /// Removes a waiting call whose caller has disconnected.
    pub fn cancel(&mut self, service: ServiceKey, call: CallKey, now: Moment) {
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.queue.cancel(call);
        }
        self.finish_step(now);
    }

    /// Returns whether a call may be sent on this lease now.
    pub fn may_send(&self, lease: LeaseKey, now: Moment) -> bool {
        self.leases.may_send(lease, now)
    }

    /// Ends the use of a lease.
    pub fn finish(&mut self, lease: LeaseKey, ending: Ending, now: Moment) {
        let Some(held) = self.leases.get(lease.slot).filter(|h| h.lease == lease) else {
            return;
        };
        let service = held.service;
        if let Usage::Busy(since, counted) = held.usage {
            self.note_ending(
                service,
                lease.slot.endpoint,
                ending,
                now.since(since),
                counted,
                now,
            );
        }
        match ending {
            Ending::Answered | Ending::Cancelled | Ending::Unused => {
                self.free(lease, service, now);
            }
            Ending::Broken => self.leases.linger(lease, now + BROKEN_CALL_GRACE),
            Ending::Shed => self.return_endpoint(lease, service, Reason::Shed, now),
            Ending::Unreachable => self.return_endpoint(lease, service, Reason::Unreachable, now),
        }
        self.assign_idle(service, now);
        self.finish_step(now);
    }

    /// Stops accepting calls, refuses the waiting ones and gives up idle slots.
    pub fn stop(&mut self, now: Moment) {
        self.stopping = true;
        let services: Vec<ServiceKey> = self.pools.keys().copied().collect();
        for service in services {
            if let Some(pool) = self.pools.get_mut(&service) {
                for waiting in pool.queue.clear() {
                    self.effects
                        .push(Effect::Refuse(waiting.call, Refusal::Stopping));
                }
            }
            for slot in self.idle_slots(service) {
                self.give_up_slot(service, slot, now);
            }
        }
        self.finish_step(now);
    }

    /// Gives an idle slot to the broker, or returns it to its owner if that is not possible.
    pub(super) fn give_up_slot(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) {
        let broker = self.roles.broker(service).filter(|b| *b != self.me.host);
        let transferred = match broker {
            Some(broker) => self.transfer_to(broker, None, slot, now),
            None => false,
        };
        if !transferred && let Some(lease) = self.leases.release(slot) {
            self.return_lease(lease, Reason::Idle);
        }
        self.forget_idle(service, slot);
        self.decrement_held(service);
    }

    pub(super) fn return_lease(&mut self, lease: LeaseKey, reason: Reason) {
        self.returns.push(ReturnedLease { lease, reason });
    }

    pub(super) fn decrement_held(&mut self, service: ServiceKey) {
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.held = pool.held.saturating_sub(1);
        }
    }

    pub(super) fn forget_idle(&mut self, service: ServiceKey, slot: SlotKey) {
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.idle.retain(|s| *s != slot);
            pool.note_taken();
        }
    }

    pub(super) fn idle_slots(&self, service: ServiceKey) -> Vec<SlotKey> {
        self.pools
            .get(&service)
            .map_or(Vec::new(), |d| d.idle.clone())
    }

    /// Handles leases that were transferred to this host.
    pub(super) fn on_transfer(
        &mut self,
        from: HostKey,
        echo: Stamp,
        leases: &[TransferredLease],
        now: Moment,
    ) {
        if echo.incarnation != self.me.incarnation {
            return;
        }
        let since = Moment(echo.clock);
        let mut touched = Vec::new();
        for transferred in leases {
            let slot = transferred.lease.slot;
            let Some(endpoint_roles) = self.roles.endpoints.get(&slot.endpoint) else {
                continue;
            };
            let service = endpoint_roles.service;
            let Some(pool) = self.pools.get_mut(&service) else {
                continue;
            };
            if self.roles.broker(service) == Some(from) {
                pool.note_received();
            }
            let expired = self.leases.get(slot).is_some_and(|h| h.end <= now);
            if expired {
                pool.idle.retain(|s| *s != slot);
            }
            if !self.leases.accept(transferred, service, since, now) {
                continue;
            }
            // While this host stops, the lease is dropped rather than returned: the owner
            // still considers this host the broker and would lease the slot here again at
            // once, in an endless loop.
            if self.stopping {
                self.leases.release(slot);
                continue;
            }
            if endpoint_roles.leaving {
                self.leases.release(slot);
                self.return_lease(transferred.lease, Reason::Idle);
                continue;
            }
            if !expired {
                pool.held += 1;
            }
            pool.idle.push(slot);
            touched.push(service);
            self.renew_soon(slot, now);
        }
        touched.dedup();
        for service in touched {
            self.assign_idle(service, now);
        }
    }

    /// Removes leases that have ended and frees the slots whose abandoned work has stopped.
    pub(super) fn sweep_leases(&mut self, now: Moment) {
        let ended: Vec<(ServiceKey, SlotKey)> = self
            .leases
            .iter()
            .filter(|h| h.end <= now)
            .map(|h| (h.service, h.lease.slot))
            .collect();
        let expired = self.leases.expire_idle(now);
        for (service, slot) in ended {
            if expired.contains(&slot) {
                self.forget_idle(service, slot);
                self.decrement_held(service);
            }
        }
        for lease in self.leases.stopped(now) {
            if let Some(service) = self.leases.get(lease.slot).map(|h| h.service) {
                self.free(lease, service, now);
                self.assign_idle(service, now);
            }
        }
        self.count_slow_calls(now);
    }

    /// Refuses waiting calls that have expired and gives up surplus slots.
    pub(super) fn sweep_pools(&mut self, now: Moment) {
        let services: Vec<ServiceKey> = self.pools.keys().copied().collect();
        for service in services {
            let broker = self.roles.broker(service) == Some(self.me.host);
            let Some(pool) = self.pools.get_mut(&service) else {
                continue;
            };
            for waiting in pool.queue.expire(now) {
                self.effects
                    .push(Effect::Refuse(waiting.call, Refusal::Expired));
            }
            if pool.queue.is_empty() {
                pool.admission.note_empty(now);
            }
            let surplus = pool.take_surplus(now);
            if broker {
                continue;
            }
            let slots = self.ranked(service);
            for slot in slots.into_iter().rev().take(surplus as usize) {
                self.give_up_slot(service, slot, now);
            }
        }
    }

    /// Applies a new configuration to the pools of its services.
    pub(super) fn configure_pools(&mut self, before: &RoleMap, now: Moment) {
        for (service, service_roles) in &self.roles.services {
            let pool = self
                .pools
                .entry(*service)
                .or_insert_with(|| SlotPool::new(service_roles.queue, now));
            pool.queue.resize(service_roles.queue);
            if before.broker(*service) != self.roles.broker(*service) {
                pool.forget_broker();
            }
        }
        let services = &self.roles.services;
        let effects = &mut self.effects;
        self.pools.retain(|service, pool| {
            let stays = services.contains_key(service);
            if !stays {
                let calls = pool.queue.clear();
                effects.extend(
                    calls
                        .iter()
                        .map(|w| Effect::Refuse(w.call, Refusal::UnknownService)),
                );
            }
            stays
        });
    }

    /// Returns the slots of endpoints that are leaving or were removed.
    ///
    /// Idle slots of these endpoints take no more calls from now on. A running call
    /// may finish, and its slot is returned afterwards.
    pub(super) fn return_leaving(&mut self, now: Moment) {
        let endpoints = &self.roles.endpoints;
        let leaving: Vec<SlotKey> = self
            .leases
            .iter()
            .map(|h| h.lease.slot)
            .filter(|slot| endpoints.get(&slot.endpoint).is_none_or(|s| s.leaving))
            .collect();
        for slot in leaving {
            self.recall_slot(slot, now);
        }
        let empty: Vec<ServiceKey> = self
            .roles
            .services
            .iter()
            .filter(|(_, service_roles)| service_roles.endpoints.is_empty())
            .map(|(service, _)| *service)
            .collect();
        for service in empty {
            if let Some(pool) = self.pools.get_mut(&service) {
                for waiting in pool.queue.clear() {
                    self.effects
                        .push(Effect::Refuse(waiting.call, Refusal::NoBackend));
                }
            }
        }
    }

    fn admit(&mut self, arrival: &Arrival, now: Moment) -> Option<Refusal> {
        let service = arrival.service;
        let Some(service_roles) = self.roles.services.get(&service) else {
            return Some(Refusal::UnknownService);
        };
        let Some(pool) = self.pools.get_mut(&service) else {
            return Some(Refusal::UnknownService);
        };
        let servable = service_roles
            .endpoints
            .iter()
            .any(|e| !arrival.tried.contains(e));
        pool.note_arrival();
        match pool.admission.decide(
            pool.queue.len(),
            pool.queue.is_full(),
            now.until(arrival.deadline),
            now,
        ) {
            _ if self.stopping => return Some(Refusal::Stopping),
            _ if !servable => return Some(Refusal::NoBackend),
            _ if arrival.deadline <= now => return Some(Refusal::Expired),
            Admission::Full if pool.idle.is_empty() => return Some(Refusal::QueueFull),
            Admission::TooLate(wait) if pool.idle.is_empty() => {
                return Some(Refusal::TooLate(wait));
            }
            _ => {}
        }
        pool.queue.push(WaitingCall {
            call: arrival.call,
            arrived: now,
            deadline: arrival.deadline,
            tried: arrival.tried.clone(),
        });
        self.assign_idle(service, now);
        None
    }

    fn free(&mut self, lease: LeaseKey, service: ServiceKey, now: Moment) {
        match self.leases.free(lease, now) {
            Freed::Ready => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.idle.push(lease.slot);
                }
            }
            Freed::Return(lease) => {
                self.return_lease(lease, Reason::Idle);
                self.decrement_held(service);
            }
            Freed::Expired => self.decrement_held(service),
        }
    }

    /// Returns the slot of a call that the endpoint did not take, and its other idle slots.
    ///
    /// A shed means that the endpoint can take less than was leased. The return
    /// informs its owner at once, on behalf of all hosts, and no further call of
    /// this host is sent there.
    fn return_endpoint(
        &mut self,
        lease: LeaseKey,
        service: ServiceKey,
        reason: Reason,
        now: Moment,
    ) {
        self.leases.recall(lease.slot);
        if let Freed::Return(lease) = self.leases.free(lease, now) {
            self.return_lease(lease, reason);
        }
        self.decrement_held(service);
        let endpoint = lease.slot.endpoint;
        let others: Vec<SlotKey> = self
            .leases
            .of_endpoint(endpoint)
            .map(|h| h.lease.slot)
            .collect();
        for slot in others {
            self.recall_slot(slot, now);
        }
    }

    /// Returns a slot now if it is idle, otherwise as soon as its call has ended.
    pub(super) fn recall_slot(&mut self, slot: SlotKey, _now: Moment) {
        let Some(service) = self.leases.get(slot).map(|h| h.service) else {
            return;
        };
        match self.leases.release(slot) {
            Some(lease) => {
                self.return_lease(lease, Reason::Idle);
                self.forget_idle(service, slot);
                self.decrement_held(service);
            }
            None => self.leases.recall(slot),
        }
    }

    fn note_ending(
        &mut self,
        service: ServiceKey,
        endpoint: EndpointKey,
        ending: Ending,
        took: Duration,
        counted: bool,
        now: Moment,
    ) {
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        let slow = match ending {
            Ending::Answered => pool.latency.record(took),
            Ending::Broken => true,
            Ending::Cancelled if pool.latency.is_slow(took) => true,
            Ending::Cancelled | Ending::Unused | Ending::Shed | Ending::Unreachable => return,
        };
        if !counted {
            self.count_call(endpoint, slow, now);
        }
    }
}
