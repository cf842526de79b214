//! The broker's side, and the handing over of slots between holders.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{HostKey, Moment, ServiceKey};

use super::broker::Broker;
use super::desk::Order;
use super::message::{Demand, Returned, SlotBody, SlotKey, Stamp};
use super::{Parcel, Slots};

/// An order to hand slots over is void after this.
pub(super) const ORDER: Duration = Duration::from_millis(10);

impl Slots {
    /// Decides about one idle slot; returns whether it stays idle here.
    ///
    /// In turn: slots promised by the broker's order go out first, since an
    /// older call waits there. A broker gives each slot to the oldest call it
    /// knows of, here or elsewhere. Any other host starts its own calls, and
    /// lends idle slots to the broker while calls wait elsewhere.
    pub(super) fn settle_slot(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        if self.serve_order(service, slot, now) {
            return false;
        }
        if self.stopping {
            self.dismiss(service, slot, now);
            return false;
        }
        if self.map.broker(service) == Some(self.me.host) {
            return self.settle_pooled(service, slot, now);
        }
        if self.start_next(service, slot, now) {
            return false;
        }
        let hungry = self.desks.get_mut(&service).is_some_and(|d| d.lends(now));
        let broker = self.map.broker(service);
        match broker {
            Some(broker) if hungry && self.hand_to(broker, None, slot, now) => {
                self.lose(service);
                false
            }
            _ => true,
        }
    }

    /// Hands an idle slot to another host; returns false where that can't be.
    pub(super) fn hand_to(
        &mut self,
        to: HostKey,
        echo: Option<Stamp>,
        slot: SlotKey,
        now: Moment,
    ) -> bool {
        let Some(echo) = echo.or_else(|| self.stamp_of(to, now)) else {
            return false;
        };
        let Some(handed) = self.holder.hand(slot, now) else {
            return false;
        };
        let parcel = self.hands.entry(to).or_insert_with(|| Parcel {
            echo,
            leases: Vec::new(),
        });
        parcel.echo = parcel.echo.min(echo);
        parcel.leases.push(handed);
        true
    }

    pub(super) fn on_demand(&mut self, from: HostKey, stamp: Stamp, demand: &Demand, now: Moment) {
        let service = demand.service;
        let Some(broker) = self.brokers.get_mut(&service) else {
            return;
        };
        if broker.note(from, stamp, demand, now) {
            let hungry = broker.is_hungry();
            self.send(from, SlotBody::Pulse { service, hungry }, now);
        }
        self.settle(service, now);
    }

    pub(super) fn on_yield(
        &mut self,
        from: HostKey,
        service: ServiceKey,
        order: Order,
        now: Moment,
    ) {
        if self.map.broker(service) != Some(from) {
            return;
        }
        if let Some(desk) = self.desks.get_mut(&service) {
            desk.orders.push_back(order);
        }
        self.settle(service, now);
    }

    pub(super) fn on_pulse(
        &mut self,
        from: HostKey,
        service: ServiceKey,
        hungry: bool,
        now: Moment,
    ) {
        if self.map.broker(service) != Some(from) {
            return;
        }
        if let Some(desk) = self.desks.get_mut(&service) {
            desk.hungry = hungry;
        }
        self.settle(service, now);
    }

    /// Takes up and lays down brokerage as the configuration says.
    pub(super) fn configure_brokers(&mut self, now: Moment) {
        let me = self.me.host;
        let (map, brokers) = (&self.map, &mut self.brokers);
        for (service, plan) in &map.plans {
            if plan.brokers.values().any(|b| *b == me) {
                brokers
                    .entry(*service)
                    .or_insert_with(|| Broker::new(now))
                    .retain(|host| map.peers.contains_key(&host));
            } else {
                brokers.remove(service);
            }
        }
        brokers.retain(|service, _| map.plans.contains_key(service));
    }

    /// Returns the owners of the endpoints this host brokers for.
    ///
    /// They need its stamp to lease it what becomes free.
    pub(super) fn brokered_owners(&self) -> Vec<HostKey> {
        let me = Some(self.me.host);
        self.brokers
            .keys()
            .filter_map(|service| self.map.plans.get(service))
            .flat_map(|plan| &plan.endpoints)
            .filter(|endpoint| self.map.broker_of(**endpoint) == me)
            .filter_map(|endpoint| self.map.sites.get(endpoint)?.owner)
            .collect()
    }

    /// Sends the reports that are due.
    pub(super) fn report(&mut self, now: Moment) {
        let due: Vec<(ServiceKey, HostKey)> = self
            .desks
            .iter()
            .filter(|(_, desk)| desk.report_due().is_some_and(|at| at <= now))
            .filter_map(|(service, _)| Some((*service, self.map.broker(*service)?)))
            .filter(|(_, broker)| *broker != self.me.host)
            .collect();
        for (service, broker) in due {
            let Some(desk) = self.desks.get_mut(&service) else {
                continue;
            };
            let demand = desk.report(service, now);
            self.send(broker, SlotBody::Demand(demand), now);
        }
    }

    /// Lets each broker move slots and tell whether calls wait.
    pub(super) fn review_brokers(&mut self, now: Moment) {
        let me = self.me.host;
        let stamp = self.stamp(now);
        let mut messages = Vec::new();
        for (service, broker) in &mut self.brokers {
            if let Some(desk) = self.desks.get(service) {
                let demand = desk.demand(*service, now);
                broker.note(me, stamp, &demand, now);
            }
            let service = *service;
            for step in broker.moves(now) {
                let body = SlotBody::Yield {
                    service,
                    to: step.to,
                    echo: step.echo,
                    count: 1,
                    oldest: step.oldest,
                };
                messages.push((step.from, body));
            }
            if let Some(hungry) = broker.pulse(now) {
                let holders = broker.holders().into_iter().filter(|h| *h != me);
                messages.extend(holders.map(|h| (h, SlotBody::Pulse { service, hungry })));
            }
        }
        for (to, body) in messages {
            self.send(to, body, now);
        }
    }

    /// Sends what has piled up in this step.
    pub(super) fn flush(&mut self, now: Moment) {
        for (to, parcel) in std::mem::take(&mut self.hands) {
            let Parcel { echo, leases } = parcel;
            self.send(to, SlotBody::Hand { echo, leases }, now);
        }
        let mut owners: BTreeMap<HostKey, Vec<Returned>> = BTreeMap::new();
        for returned in std::mem::take(&mut self.returns) {
            if let Some(owner) = self.owner_of(returned.lease.slot) {
                owners.entry(owner).or_default().push(returned);
            }
        }
        for (owner, leases) in owners {
            let seen = self.take_seen(owner);
            self.send(owner, SlotBody::Return { leases, seen }, now);
        }
    }

    fn serve_order(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        let Some(order) = self.desks.get_mut(&service).and_then(|d| d.take_order(now)) else {
            return false;
        };
        let handed = self.hand_to(order.to, Some(order.echo), slot, now);
        if handed {
            self.lose(service);
        }
        handed
    }

    fn settle_pooled(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        let me = self.me.host;
        let (Some(broker), Some(desk)) = (self.brokers.get(&service), self.desks.get(&service))
        else {
            return true;
        };
        let waited = desk.queue.oldest(now);
        let other = broker.neediest(Some(me), now);
        let other = other.filter(|(_, age)| desk.queue.is_empty() || *age > waited);
        if let Some((to, _)) = other
            && self.pass_on(service, to, slot, now)
        {
            return false;
        }
        if self.start_next(service, slot, now) {
            return false;
        }
        let (Some(broker), Some(desk)) = (self.brokers.get(&service), self.desks.get(&service))
        else {
            return true;
        };
        let spare = desk.idle.len() as u32 > desk.spare();
        match broker.wishing(me, now) {
            Some(to) if spare => !self.pass_on(service, to, slot, now),
            _ => true,
        }
    }

    fn pass_on(&mut self, service: ServiceKey, to: HostKey, slot: SlotKey, now: Moment) -> bool {
        let echo = self.brokers.get(&service).and_then(|b| b.stamp(to));
        if !self.hand_to(to, echo, slot, now) {
            return false;
        }
        if let Some(broker) = self.brokers.get_mut(&service) {
            broker.note_sent(to, now);
        }
        self.lose(service);
        true
    }
}
