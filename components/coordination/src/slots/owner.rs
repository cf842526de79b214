//! The owner role: leases slots of the endpoints that this host owns.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{EndpointKey, HostKey, Moment};

use super::lease_table::Renewal;
use super::message::{
    CallStats, EndpointHandoff, LeaseKey, Reason, ReturnedLease, SlotBody, Stamp, TransferredLease,
};
use super::owned_endpoint::OwnedEndpoint;
use super::timing::{AUTHORITY_WINDOW, LEASE_TERM};
use super::{EarlyHandoff, Effect, SlotManager};

impl SlotManager {
    /// Answers a renewal, if this host may act as an owner.
    pub(super) fn on_renew(
        &mut self,
        from: HostKey,
        stamp: Stamp,
        leases: &[LeaseKey],
        stats: &[CallStats],
        now: Moment,
    ) {
        if !self.has_authority(now) {
            return;
        }
        self.note_stats(stats, now);
        let (mut ended, mut pending) = (Vec::new(), Vec::new());
        for lease in leases {
            let owned = self.owned.get_mut(&lease.slot.endpoint);
            match owned
                .filter(|o| o.superseded_at.is_none())
                .map(|o| o.lease_table.renew(*lease, from, now))
            {
                Some(Renewal::Extended) => {}
                Some(Renewal::Ended) => ended.push(*lease),
                Some(Renewal::Pending) | None => pending.push(*lease),
            }
        }
        if !leases.is_empty() {
            let body = SlotBody::Renewed {
                echo: stamp,
                ended,
                pending,
            };
            self.send(from, body, now);
        }
        self.lease_to(from, now);
    }

    /// Handles returned leases and leases the slots again.
    pub(super) fn on_return(&mut self, leases: &[ReturnedLease], stats: &[CallStats], now: Moment) {
        self.note_stats(stats, now);
        for returned in leases {
            let endpoint = returned.lease.slot.endpoint;
            let Some(owned) = self.owned.get_mut(&endpoint) else {
                continue;
            };
            owned.lease_table.return_lease(returned.lease);
            match returned.reason {
                Reason::Idle => {}
                Reason::Shed => owned.capacity.note_shed(now),
                Reason::Unreachable => owned.capacity.note_unreachable(now),
            }
            if returned.reason != Reason::Idle {
                owned.request_probe();
            }
            self.recall(endpoint, now);
            self.lease_out(endpoint, now);
        }
    }

    /// Handles the handoffs of an earlier owner.
    ///
    /// Only members can hand off. A handoff is used until this host has granted or
    /// adopted a lease of the endpoint by other means.
    pub(super) fn on_handoff(
        &mut self,
        from: HostKey,
        handoffs: Vec<EndpointHandoff>,
        now: Moment,
    ) {
        for handoff in handoffs {
            let endpoint = handoff.endpoint;
            let fresh = self
                .owned
                .get(&endpoint)
                .is_some_and(|o| o.superseded_at.is_none() && o.lease_table.is_untouched(now));
            if fresh {
                self.adopt_handoff(&handoff, now);
                self.lease_out(endpoint, now);
            } else if self.revision >= handoff.revision && !self.owns(endpoint) {
                self.forward_handoff(handoff, now);
            } else if !self.owned.contains_key(&endpoint) {
                let early = EarlyHandoff {
                    from,
                    handoff,
                    at: now,
                };
                self.handoffs.insert(endpoint, early);
            }
        }
    }

    /// Forwards a handoff that arrived after this host stopped being the owner.
    ///
    /// When hosts join one after another, the ownership of an endpoint moves faster
    /// than its handoff. The last owner would wait behind its fence, and callers would
    /// lack its slots for seconds. A handoff is not forwarded if this host has leased
    /// slots of the endpoint meanwhile, because the handoff does not list those leases.
    fn forward_handoff(&mut self, handoff: EndpointHandoff, now: Moment) {
        let recently_leased = self.recently_leased.get(&handoff.endpoint);
        let endpoint_roles = self.roles.endpoints.get(&handoff.endpoint);
        let next = endpoint_roles
            .and_then(|s| s.owner)
            .filter(|_| recently_leased.is_none());
        if let Some(next) = next {
            let revision = self.revision;
            let handoff = EndpointHandoff {
                revision,
                ..handoff
            };
            self.send(next, SlotBody::Handoff(vec![handoff]), now);
        }
    }

    fn owns(&self, endpoint: EndpointKey) -> bool {
        let endpoint_roles = self.roles.endpoints.get(&endpoint);
        endpoint_roles.and_then(|s| s.owner) == Some(self.me.host)
    }

    /// Starts and ends the ownership of endpoints according to the configuration.
    pub(super) fn configure_owned(&mut self, first: bool, now: Moment) {
        let me = Some(self.me.host);
        if first {
            self.own_all_unleased(now);
        }
        let endpoints = &self.roles.endpoints;
        self.owned.retain(|e, _| endpoints.contains_key(e));
        for (endpoint, owned) in &mut self.owned {
            let mine = endpoints.get(endpoint).and_then(|s| s.owner) == me;
            owned.superseded_at = match mine {
                true => None,
                false => owned.superseded_at.or(Some(now)),
            };
        }
        self.send_handoffs(now);
        let mine: Vec<EndpointKey> = self
            .roles
            .endpoints
            .iter()
            .filter(|(_, endpoint_roles)| endpoint_roles.owner == me)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in mine {
            self.start_owning(endpoint, now);
        }
        let revision = self.revision;
        let passed = self
            .handoffs
            .extract_if(.., |_, early| early.handoff.revision <= revision);
        for early in passed.map(|(_, early)| early).collect::<Vec<_>>() {
            self.forward_handoff(early.handoff, now);
        }
    }

    /// Performs due work on owned endpoints: expiry, growth, recalls, leases and probes.
    pub(super) fn sweep_owned(&mut self, now: Moment) {
        if !self.has_authority(now) {
            return;
        }
        self.send_handoffs(now);
        let endpoints: Vec<EndpointKey> = self.owned.keys().copied().collect();
        for endpoint in endpoints {
            if let Some(owned) = self.owned.get_mut(&endpoint) {
                owned.lease_table.expire(now);
                owned.capacity.grow(now);
            }
            self.recall(endpoint, now);
            self.lease_out(endpoint, now);
            self.probe(endpoint, now);
        }
    }

    /// Leases the free slots of an endpoint to its broker, up to the cap.
    pub(super) fn lease_out(&mut self, endpoint: EndpointKey, now: Moment) {
        let endpoint_roles = self.roles.endpoints.get(&endpoint);
        if endpoint_roles.is_none_or(|s| s.leaving) || !self.has_authority(now) {
            return;
        }
        let Some(broker) = self.roles.broker_of(endpoint) else {
            return;
        };
        // A stopping host returns at once what it is leased. If it leased slots to
        // itself, that would go on forever and the shutdown would never end.
        if self.stopping && broker == self.me.host {
            return;
        }
        let Some(echo) = self.fresh_stamp(broker, now) else {
            return;
        };
        let owned = self.owned.get_mut(&endpoint);
        let Some(owned) = owned.filter(|o| o.superseded_at.is_none()) else {
            return;
        };
        let mut leases = Vec::new();
        while let Some(grant) = owned.grant(broker, self.serial, now) {
            self.serial = self.serial.wrapping_add(1);
            leases.push(TransferredLease {
                lease: grant.lease,
                left: LEASE_TERM,
                single_use: grant.single_use,
            });
        }
        if !leases.is_empty() {
            self.send(broker, SlotBody::Transfer { echo, leases }, now);
        }
    }

    fn lease_to(&mut self, broker: HostKey, now: Moment) {
        let endpoints: Vec<EndpointKey> = self
            .owned
            .keys()
            .filter(|e| self.roles.broker_of(**e) == Some(broker))
            .copied()
            .collect();
        for endpoint in endpoints {
            self.lease_out(endpoint, now);
        }
    }

    fn note_stats(&mut self, stats: &[CallStats], now: Moment) {
        for entry in stats {
            let Some(owned) = self.owned.get_mut(&entry.endpoint) else {
                continue;
            };
            owned.capacity.note_answers(entry.slow, entry.total, now);
            if owned.capacity.degradation().is_some() {
                self.recall(entry.endpoint, now);
            }
        }
    }

    fn recall(&mut self, endpoint: EndpointKey, now: Moment) {
        let leaving = self
            .roles
            .endpoints
            .get(&endpoint)
            .is_none_or(|s| s.leaving);
        let Some(owned) = self.owned.get_mut(&endpoint) else {
            return;
        };
        let mut holders: BTreeMap<HostKey, Vec<LeaseKey>> = BTreeMap::new();
        for granted in owned.leases_to_recall(leaving, now) {
            holders
                .entry(granted.holder)
                .or_default()
                .push(granted.lease);
        }
        for (holder, leases) in holders {
            self.send(holder, SlotBody::Recall(leases), now);
        }
    }

    fn probe(&mut self, endpoint: EndpointKey, now: Moment) {
        let Some(endpoint_roles) = self.roles.endpoints.get(&endpoint) else {
            return;
        };
        if let Some(owned) = self.owned.get_mut(&endpoint)
            && owned.take_probe(now)
        {
            self.effects
                .push(Effect::Probe(endpoint, endpoint_roles.address));
        }
    }

    /// Sends handoffs to the next owners, if this host still has the authority to.
    ///
    /// After a gap in this host's authority other hosts may have owned the endpoint.
    /// The state of this host is then discarded, and the next owner waits behind its
    /// fence.
    fn send_handoffs(&mut self, now: Moment) {
        let fresh = self.has_authority(now);
        let revision = self.revision;
        let (endpoints, recently_leased) = (&self.roles.endpoints, &mut self.recently_leased);
        let mut handoffs: BTreeMap<HostKey, Vec<EndpointHandoff>> = BTreeMap::new();
        self.owned.retain(|endpoint, owned| {
            let Some(superseded_at) = owned.superseded_at else {
                return true;
            };
            if !fresh {
                return now.since(superseded_at) <= AUTHORITY_WINDOW;
            }
            if let Some(next) = endpoints.get(endpoint).and_then(|s| s.owner) {
                let handoff = owned
                    .lease_table
                    .handoff(owned.capacity.base_cap(), revision, now);
                if !owned.lease_table.is_untouched(now) {
                    recently_leased.insert(*endpoint, now);
                }
                handoffs.entry(next).or_default().push(handoff);
            }
            false
        });
        for (next, handoffs) in handoffs {
            self.send(next, SlotBody::Handoff(handoffs), now);
        }
    }

    /// Takes ownership of every endpoint as the first owner, when no slot can be leased.
    fn own_all_unleased(&mut self, now: Moment) {
        let endpoints: Vec<EndpointKey> = self.roles.endpoints.keys().copied().collect();
        for endpoint in endpoints {
            let handoff = EndpointHandoff {
                endpoint,
                revision: self.revision,
                fence: Duration::ZERO,
                cap: 0,
                leases: Vec::new(),
            };
            self.adopt_handoff(&handoff, now);
        }
    }

    fn start_owning(&mut self, endpoint: EndpointKey, now: Moment) {
        let Some(endpoint_roles) = self.roles.endpoints.get(&endpoint) else {
            return;
        };
        let Some(service_roles) = self.roles.services.get(&endpoint_roles.service) else {
            return;
        };
        if let Some(owned) = self.owned.get_mut(&endpoint) {
            owned.resize(service_roles, now);
            return;
        }
        let early = self.handoffs.remove(&endpoint);
        let known = early.filter(|l| self.roles.members.contains_key(&l.from));
        let handoff = known.as_ref().map(|l| {
            let late = now.since(l.at);
            let mut handoff = l.handoff.clone();
            handoff.fence = handoff.fence.saturating_sub(late);
            handoff
        });
        let owned = OwnedEndpoint::new(endpoint, service_roles, handoff.as_ref(), now);
        self.owned.insert(endpoint, owned);
    }

    fn adopt_handoff(&mut self, handoff: &EndpointHandoff, now: Moment) {
        let endpoint_roles = self.roles.endpoints.get(&handoff.endpoint);
        if let Some(service_roles) =
            endpoint_roles.and_then(|s| self.roles.services.get(&s.service))
        {
            let owned = OwnedEndpoint::new(handoff.endpoint, service_roles, Some(handoff), now);
            self.owned.insert(handoff.endpoint, owned);
        }
    }
}
