//! The holder's side: calls, waiting and starting them, and the slots they run on.

use std::time::Duration;

use state::admission::Admission;
use state::queue::{CallKey, Waiting};
use state::{EndpointKey, HostKey, Moment, ServiceKey};

use super::desk::Desk;
use super::holder::{Freed, Usage};
use super::map::Map;
use super::message::{Handed, LeaseKey, Reason, Returned, SlotKey, Stamp};
use super::{Arrival, Effect, Ending, Refusal, Slots};

/// How long work may run on after its connection broke.
const BREAKING: Duration = Duration::from_millis(100);

impl Slots {
    /// Takes in a call: it is started, queued or refused.
    pub fn arrive(&mut self, arrival: &Arrival, now: Moment) {
        if let Some(refusal) = self.admit(arrival, now) {
            self.effects.push(Effect::Refuse(arrival.call, refusal));
        }
        self.pump(now);
    }

    /// Forgets a call that waits: its caller has hung up.
    pub fn cancel(&mut self, service: ServiceKey, call: CallKey, now: Moment) {
        if let Some(desk) = self.desks.get_mut(&service) {
            desk.queue.cancel(call);
        }
        self.pump(now);
    }

    /// Returns whether a call may be sent on this lease now.
    pub fn may_send(&self, lease: LeaseKey, now: Moment) -> bool {
        self.holder.may_send(lease, now)
    }

    /// Ends the use of a lease.
    pub fn finish(&mut self, lease: LeaseKey, ending: Ending, now: Moment) {
        let Some(held) = self.holder.get(lease.slot).filter(|h| h.lease == lease) else {
            return;
        };
        let service = held.service;
        if let Usage::Busy(since, flagged) = held.usage {
            self.note_ending(
                service,
                lease.slot.endpoint,
                ending,
                now.since(since),
                flagged,
                now,
            );
        }
        match ending {
            Ending::Answered | Ending::Cancelled | Ending::Unused => {
                self.free(lease, service, now);
            }
            Ending::Broken => self.holder.linger(lease, now + BREAKING),
            Ending::Shed => self.retreat(lease, service, Reason::Shed, now),
            Ending::Unreachable => self.retreat(lease, service, Reason::Unreachable, now),
        }
        self.settle(service, now);
        self.pump(now);
    }

    /// Stops taking calls, refuses those that wait and gives idle slots back.
    pub fn stop(&mut self, now: Moment) {
        self.stopping = true;
        let services: Vec<ServiceKey> = self.desks.keys().copied().collect();
        for service in services {
            if let Some(desk) = self.desks.get_mut(&service) {
                for waiting in desk.queue.clear() {
                    self.effects
                        .push(Effect::Refuse(waiting.call, Refusal::Stopping));
                }
            }
            for slot in self.idle_of(service) {
                self.dismiss(service, slot, now);
            }
        }
        self.pump(now);
    }

    /// Gives an idle slot to the broker, or to its owner where that can't be.
    pub(super) fn dismiss(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) {
        let broker = self.map.broker(service).filter(|b| *b != self.me.host);
        let handed = match broker {
            Some(broker) => self.hand_to(broker, None, slot, now),
            None => false,
        };
        if !handed && let Some(lease) = self.holder.release(slot) {
            self.give_back(lease, Reason::Idle);
        }
        self.forget_idle(service, slot);
        self.lose(service);
    }

    pub(super) fn give_back(&mut self, lease: LeaseKey, reason: Reason) {
        self.returns.push(Returned { lease, reason });
    }

    pub(super) fn lose(&mut self, service: ServiceKey) {
        if let Some(desk) = self.desks.get_mut(&service) {
            desk.held = desk.held.saturating_sub(1);
        }
    }

    pub(super) fn forget_idle(&mut self, service: ServiceKey, slot: SlotKey) {
        if let Some(desk) = self.desks.get_mut(&service) {
            desk.idle.retain(|s| *s != slot);
            desk.note_taken();
        }
    }

    pub(super) fn idle_of(&self, service: ServiceKey) -> Vec<SlotKey> {
        self.desks
            .get(&service)
            .map_or(Vec::new(), |d| d.idle.clone())
    }

    /// Takes in leases that were handed to this host.
    pub(super) fn on_hand(&mut self, from: HostKey, echo: Stamp, leases: &[Handed], now: Moment) {
        if echo.life != self.me.life {
            return;
        }
        let asked = Moment(echo.clock);
        let mut touched = Vec::new();
        for handed in leases {
            let slot = handed.lease.slot;
            let Some(site) = self.map.sites.get(&slot.endpoint) else {
                continue;
            };
            let service = site.service;
            let Some(desk) = self.desks.get_mut(&service) else {
                continue;
            };
            if self.map.broker(service) == Some(from) {
                desk.note_got();
            }
            let lapsed = self.holder.get(slot).is_some_and(|h| h.end <= now);
            if lapsed {
                desk.idle.retain(|s| *s != slot);
            }
            if !self.holder.accept(handed, service, asked, now) {
                continue;
            }
            // Not given back while stopping: its owner still takes this host for
            // the broker and would lease it here again at once, back and forth.
            if self.stopping {
                self.holder.release(slot);
                continue;
            }
            if site.leaving {
                self.holder.release(slot);
                self.give_back(handed.lease, Reason::Idle);
                continue;
            }
            if !lapsed {
                desk.held += 1;
            }
            desk.idle.push(slot);
            touched.push(service);
            self.renew_soon(slot, now);
        }
        touched.dedup();
        for service in touched {
            self.settle(service, now);
        }
    }

    /// Ends leases that have lapsed and the rest of given-up work.
    pub(super) fn sweep_leases(&mut self, now: Moment) {
        let lapsing: Vec<(ServiceKey, SlotKey)> = self
            .holder
            .iter()
            .filter(|h| h.end <= now)
            .map(|h| (h.service, h.lease.slot))
            .collect();
        let lapsed = self.holder.lapse(now);
        for (service, slot) in lapsing {
            if lapsed.contains(&slot) {
                self.forget_idle(service, slot);
                self.lose(service);
            }
        }
        for lease in self.holder.rested(now) {
            if let Some(service) = self.holder.get(lease.slot).map(|h| h.service) {
                self.free(lease, service, now);
                self.settle(service, now);
            }
        }
        self.flag_slow(now);
    }

    /// Refuses calls that have become hopeless and gives up surplus slots.
    pub(super) fn sweep_desks(&mut self, now: Moment) {
        let services: Vec<ServiceKey> = self.desks.keys().copied().collect();
        for service in services {
            let broker = self.map.broker(service) == Some(self.me.host);
            let Some(desk) = self.desks.get_mut(&service) else {
                continue;
            };
            for waiting in desk.queue.expire(now) {
                self.effects
                    .push(Effect::Refuse(waiting.call, Refusal::Expired));
            }
            if desk.queue.is_empty() {
                desk.gate.note_empty(now);
            }
            let surplus = desk.review(now);
            if broker {
                continue;
            }
            let slots = self.ranked(service);
            for slot in slots.into_iter().rev().take(surplus as usize) {
                self.dismiss(service, slot, now);
            }
        }
    }

    /// Follows a new configuration: desks of its services, slots that must go.
    pub(super) fn configure_desks(&mut self, before: &Map, now: Moment) {
        for (service, plan) in &self.map.plans {
            let desk = self
                .desks
                .entry(*service)
                .or_insert_with(|| Desk::new(plan.queue, now));
            desk.queue.resize(plan.queue);
            if before.broker(*service) != self.map.broker(*service) {
                desk.forget_broker();
            }
        }
        let plans = &self.map.plans;
        let effects = &mut self.effects;
        self.desks.retain(|service, desk| {
            let stays = plans.contains_key(service);
            if !stays {
                let calls = desk.queue.clear();
                effects.extend(
                    calls
                        .iter()
                        .map(|w| Effect::Refuse(w.call, Refusal::UnknownService)),
                );
            }
            stays
        });
    }

    /// Gives back the slots of endpoints that are leaving or gone.
    ///
    /// Their idle slots take no more calls from this moment; a running call
    /// ends in peace and its slot goes back then.
    pub(super) fn vacate(&mut self, now: Moment) {
        let sites = &self.map.sites;
        let leaving: Vec<SlotKey> = self
            .holder
            .iter()
            .map(|h| h.lease.slot)
            .filter(|slot| sites.get(&slot.endpoint).is_none_or(|s| s.leaving))
            .collect();
        for slot in leaving {
            self.call_back(slot, now);
        }
        let empty: Vec<ServiceKey> = self
            .map
            .plans
            .iter()
            .filter(|(_, plan)| plan.endpoints.is_empty())
            .map(|(service, _)| *service)
            .collect();
        for service in empty {
            if let Some(desk) = self.desks.get_mut(&service) {
                for waiting in desk.queue.clear() {
                    self.effects
                        .push(Effect::Refuse(waiting.call, Refusal::NoBackend));
                }
            }
        }
    }

    fn admit(&mut self, arrival: &Arrival, now: Moment) -> Option<Refusal> {
        let service = arrival.service;
        let Some(plan) = self.map.plans.get(&service) else {
            return Some(Refusal::UnknownService);
        };
        let Some(desk) = self.desks.get_mut(&service) else {
            return Some(Refusal::UnknownService);
        };
        let servable = plan.endpoints.iter().any(|e| !arrival.tried.contains(e));
        desk.note_arrival();
        match desk.gate.decide(
            desk.queue.len(),
            desk.queue.is_full(),
            now.until(arrival.deadline),
            now,
        ) {
            _ if self.stopping => return Some(Refusal::Stopping),
            _ if !servable => return Some(Refusal::NoBackend),
            _ if arrival.deadline <= now => return Some(Refusal::Expired),
            Admission::Full if desk.idle.is_empty() => return Some(Refusal::QueueFull),
            Admission::TooLate(wait) if desk.idle.is_empty() => {
                return Some(Refusal::TooLate(wait));
            }
            _ => {}
        }
        desk.queue.push(Waiting {
            call: arrival.call,
            arrived: now,
            deadline: arrival.deadline,
            tried: arrival.tried.clone(),
        });
        self.settle(service, now);
        None
    }

    fn free(&mut self, lease: LeaseKey, service: ServiceKey, now: Moment) {
        match self.holder.free(lease, now) {
            Freed::Ready => {
                if let Some(desk) = self.desks.get_mut(&service) {
                    desk.idle.push(lease.slot);
                }
            }
            Freed::GiveBack(lease) => {
                self.give_back(lease, Reason::Idle);
                self.lose(service);
            }
            Freed::Lapsed => self.lose(service),
        }
    }

    /// Gives back a slot whose call was not taken, and the other idle ones of the endpoint.
    ///
    /// A shed says that the endpoint bears less than was leased. Its owner
    /// hears of it at once, over all hosts; here no further call tries it.
    fn retreat(&mut self, lease: LeaseKey, service: ServiceKey, reason: Reason, now: Moment) {
        self.holder.recall(lease.slot);
        if let Freed::GiveBack(lease) = self.holder.free(lease, now) {
            self.give_back(lease, reason);
        }
        self.lose(service);
        let endpoint = lease.slot.endpoint;
        let others: Vec<SlotKey> = self.holder.of(endpoint).map(|h| h.lease.slot).collect();
        for slot in others {
            self.call_back(slot, now);
        }
    }

    /// Gives a slot back now where it is idle, else as soon as it is.
    pub(super) fn call_back(&mut self, slot: SlotKey, _now: Moment) {
        let Some(service) = self.holder.get(slot).map(|h| h.service) else {
            return;
        };
        match self.holder.release(slot) {
            Some(lease) => {
                self.give_back(lease, Reason::Idle);
                self.forget_idle(service, slot);
                self.lose(service);
            }
            None => self.holder.recall(slot),
        }
    }

    fn note_ending(
        &mut self,
        service: ServiceKey,
        endpoint: EndpointKey,
        ending: Ending,
        took: Duration,
        flagged: bool,
        now: Moment,
    ) {
        let Some(desk) = self.desks.get_mut(&service) else {
            return;
        };
        let over = match ending {
            Ending::Answered => desk.norm.record(took),
            Ending::Broken => true,
            Ending::Cancelled if desk.norm.is_over(took) => true,
            Ending::Cancelled | Ending::Unused | Ending::Shed | Ending::Unreachable => return,
        };
        if !flagged {
            self.tally(endpoint, over, now);
        }
    }
}
