//! The broker role, and the transfer of slots between holders.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{HostKey, Moment, ServiceKey};

use super::broker::Broker;
use super::message::{Demand, ReturnedLease, SlotBody, SlotKey, Stamp};
use super::pool::TransferRequest;
use super::{PendingTransfer, SlotManager};

/// How long a transfer request stays valid.
pub(super) const TRANSFER_REQUEST_TTL: Duration = Duration::from_millis(10);

impl SlotManager {
    /// Decides on one idle slot. Returns whether the slot stays idle here.
    ///
    /// The order is: pending transfer requests of the broker come first, because an
    /// older call waits there. A broker gives each slot to the oldest call that it
    /// knows of, here or elsewhere. Any other host starts its own calls, and offers
    /// idle slots to the broker while calls wait elsewhere.
    pub(super) fn assign_slot(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        if self.serve_transfer_request(service, slot, now) {
            return false;
        }
        if self.stopping {
            self.give_up_slot(service, slot, now);
            return false;
        }
        if self.roles.broker(service) == Some(self.me.host) {
            return self.assign_pooled(service, slot, now);
        }
        if self.start_next(service, slot, now) {
            return false;
        }
        let offer = self
            .pools
            .get_mut(&service)
            .is_some_and(|d| d.should_offer(now));
        let broker = self.roles.broker(service);
        match broker {
            Some(broker) if offer && self.transfer_to(broker, None, slot, now) => {
                self.decrement_held(service);
                false
            }
            _ => true,
        }
    }

    /// Transfers an idle slot to another host. Returns false if that is not possible.
    pub(super) fn transfer_to(
        &mut self,
        to: HostKey,
        echo: Option<Stamp>,
        slot: SlotKey,
        now: Moment,
    ) -> bool {
        let Some(echo) = echo.or_else(|| self.fresh_stamp(to, now)) else {
            return false;
        };
        let Some(transferred) = self.leases.transfer(slot, now) else {
            return false;
        };
        let transfer = self.transfers.entry(to).or_insert_with(|| PendingTransfer {
            echo,
            leases: Vec::new(),
        });
        transfer.echo = transfer.echo.min(echo);
        transfer.leases.push(transferred);
        true
    }

    pub(super) fn on_demand(&mut self, from: HostKey, stamp: Stamp, demand: &Demand, now: Moment) {
        let service = demand.service;
        let Some(broker) = self.brokers.get_mut(&service) else {
            return;
        };
        if broker.record(from, stamp, demand, now) {
            let active = broker.has_shortage();
            self.send(from, SlotBody::Shortage { service, active }, now);
        }
        self.assign_idle(service, now);
    }

    pub(super) fn on_transfer_request(
        &mut self,
        from: HostKey,
        service: ServiceKey,
        request: TransferRequest,
        now: Moment,
    ) {
        if self.roles.broker(service) != Some(from) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.transfer_requests.push_back(request);
        }
        self.assign_idle(service, now);
    }

    pub(super) fn on_shortage(
        &mut self,
        from: HostKey,
        service: ServiceKey,
        active: bool,
        now: Moment,
    ) {
        if self.roles.broker(service) != Some(from) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.shortage = active;
        }
        self.assign_idle(service, now);
    }

    /// Starts and ends this host's broker roles according to the configuration.
    pub(super) fn configure_brokers(&mut self, now: Moment) {
        let me = self.me.host;
        let (roles, brokers) = (&self.roles, &mut self.brokers);
        for (service, service_roles) in &roles.services {
            if service_roles.brokers.values().any(|b| *b == me) {
                brokers
                    .entry(*service)
                    .or_insert_with(|| Broker::new(now))
                    .retain(|host| roles.members.contains_key(&host));
            } else {
                brokers.remove(service);
            }
        }
        brokers.retain(|service, _| roles.services.contains_key(service));
    }

    /// Returns the owners of the endpoints that this host is the broker of.
    ///
    /// An owner needs this host's stamp to lease free slots to it.
    pub(super) fn brokered_owners(&self) -> Vec<HostKey> {
        let me = Some(self.me.host);
        self.brokers
            .keys()
            .filter_map(|service| self.roles.services.get(service))
            .flat_map(|service_roles| &service_roles.endpoints)
            .filter(|endpoint| self.roles.broker_of(**endpoint) == me)
            .filter_map(|endpoint| self.roles.endpoints.get(endpoint)?.owner)
            .collect()
    }

    /// Sends the reports that are due.
    pub(super) fn report(&mut self, now: Moment) {
        let due: Vec<(ServiceKey, HostKey)> = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.report_due().is_some_and(|at| at <= now))
            .filter_map(|(service, _)| Some((*service, self.roles.broker(*service)?)))
            .filter(|(_, broker)| *broker != self.me.host)
            .collect();
        for (service, broker) in due {
            let Some(pool) = self.pools.get_mut(&service) else {
                continue;
            };
            let demand = pool.report(service, now);
            self.send(broker, SlotBody::Demand(demand), now);
        }
    }

    /// Lets each broker plan transfers and announce changes of its shortage.
    pub(super) fn review_brokers(&mut self, now: Moment) {
        let me = self.me.host;
        let stamp = self.stamp(now);
        let mut messages = Vec::new();
        for (service, broker) in &mut self.brokers {
            if let Some(pool) = self.pools.get(service) {
                let demand = pool.demand(*service, now);
                broker.record(me, stamp, &demand, now);
            }
            let service = *service;
            for step in broker.plan_transfers(now) {
                let body = SlotBody::TransferRequest {
                    service,
                    to: step.to,
                    echo: step.echo,
                    count: 1,
                    oldest: step.oldest,
                };
                messages.push((step.from, body));
            }
            if let Some(active) = broker.update_shortage(now) {
                let holders = broker.holders().into_iter().filter(|h| *h != me);
                messages.extend(holders.map(|h| (h, SlotBody::Shortage { service, active })));
            }
        }
        for (to, body) in messages {
            self.send(to, body, now);
        }
    }

    /// Sends the transfers and returned leases collected during this step.
    pub(super) fn flush(&mut self, now: Moment) {
        for (to, transfer) in std::mem::take(&mut self.transfers) {
            let PendingTransfer { echo, leases } = transfer;
            self.send(to, SlotBody::Transfer { echo, leases }, now);
        }
        let mut owners: BTreeMap<HostKey, Vec<ReturnedLease>> = BTreeMap::new();
        for returned in std::mem::take(&mut self.returns) {
            if let Some(owner) = self.owner_of(returned.lease.slot) {
                owners.entry(owner).or_default().push(returned);
            }
        }
        for (owner, leases) in owners {
            let stats = self.take_stats(owner);
            self.send(owner, SlotBody::Return { leases, stats }, now);
        }
    }

    fn serve_transfer_request(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        let Some(request) = self
            .pools
            .get_mut(&service)
            .and_then(|d| d.take_transfer_request(now))
        else {
            return false;
        };
        let transferred = self.transfer_to(request.to, Some(request.echo), slot, now);
        if transferred {
            self.decrement_held(service);
        }
        transferred
    }

    fn assign_pooled(&mut self, service: ServiceKey, slot: SlotKey, now: Moment) -> bool {
        let me = self.me.host;
        let (Some(broker), Some(pool)) = (self.brokers.get(&service), self.pools.get(&service))
        else {
            return true;
        };
        let waited = pool.queue.oldest(now);
        let other = broker.longest_waiting(Some(me), now);
        let other = other.filter(|(_, age)| pool.queue.is_empty() || *age > waited);
        if let Some((to, _)) = other
            && self.transfer_pooled(service, to, slot, now)
        {
            return false;
        }
        if self.start_next(service, slot, now) {
            return false;
        }
        let (Some(broker), Some(pool)) = (self.brokers.get(&service), self.pools.get(&service))
        else {
            return true;
        };
        let spare = pool.idle.len() as u32 > pool.spare();
        match broker.spare_candidate(me, now) {
            Some(to) if spare => !self.transfer_pooled(service, to, slot, now),
            _ => true,
        }
    }

    fn transfer_pooled(
        &mut self,
        service: ServiceKey,
        to: HostKey,
        slot: SlotKey,
        now: Moment,
    ) -> bool {
        let echo = self.brokers.get(&service).and_then(|b| b.stamp(to));
        if !self.transfer_to(to, echo, slot, now) {
            return false;
        }
        if let Some(broker) = self.brokers.get_mut(&service) {
            broker.note_sent(to, now);
        }
        self.decrement_held(service);
        true
    }
}
