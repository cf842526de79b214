//! The owner's side: leasing slots of the endpoints this host owns.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{EndpointKey, HostKey, Moment};

use super::ledger::Renewal;
use super::message::{Estate, Handed, LeaseKey, Reason, Returned, Seen, SlotBody, Stamp};
use super::owned::Owned;
use super::terms::{FRESHNESS, TERM};
use super::{Effect, Left, Slots};

impl Slots {
    /// Answers a renewal, where this host may act as an owner.
    pub(super) fn on_renew(
        &mut self,
        from: HostKey,
        stamp: Stamp,
        leases: &[LeaseKey],
        seen: &[Seen],
        now: Moment,
    ) {
        if !self.has_authority(now) {
            return;
        }
        self.note_seen(seen, now);
        let (mut ended, mut pending) = (Vec::new(), Vec::new());
        for lease in leases {
            let owned = self.owned.get_mut(&lease.slot.endpoint);
            match owned
                .filter(|o| o.lost.is_none())
                .map(|o| o.ledger.renew(*lease, from, now))
            {
                Some(Renewal::Kept) => {}
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

    /// Takes leases back and leases them anew.
    pub(super) fn on_return(&mut self, leases: &[Returned], seen: &[Seen], now: Moment) {
        self.note_seen(seen, now);
        for returned in leases {
            let endpoint = returned.lease.slot.endpoint;
            let Some(owned) = self.owned.get_mut(&endpoint) else {
                continue;
            };
            owned.ledger.give_back(returned.lease);
            match returned.reason {
                Reason::Idle => {}
                Reason::Shed => owned.warmth.note_shed(now),
                Reason::Unreachable => owned.warmth.note_unreachable(now),
            }
            if returned.reason != Reason::Idle {
                owned.hurry_probe();
            }
            self.recall(endpoint, now);
            self.lease_out(endpoint, now);
        }
    }

    /// Takes in what the earlier owner has left.
    ///
    /// Believed only from a host that owned the endpoint by the configuration
    /// this host knew or knows, and only until something was leased on other
    /// grounds.
    pub(super) fn on_handoff(&mut self, from: HostKey, estates: Vec<Estate>, now: Moment) {
        for estate in estates {
            let endpoint = estate.endpoint;
            let fresh = self
                .owned
                .get(&endpoint)
                .is_some_and(|o| o.lost.is_none() && o.ledger.is_virgin(now));
            if fresh {
                self.inherit(&estate, now);
                self.lease_out(endpoint, now);
            } else if self.revision >= estate.revision && !self.owns(endpoint) {
                self.pass_estate(estate, now);
            } else if !self.owned.contains_key(&endpoint) {
                let left = Left {
                    from,
                    estate,
                    at: now,
                };
                self.estates.insert(endpoint, left);
            }
        }
    }

    /// Passes an estate on that came when this host was no longer the owner.
    ///
    /// When hosts join one after another, an endpoint changes hands faster
    /// than its estate travels; its last owner would wait behind its fence and
    /// callers would miss its slots for seconds. Not where this host leased
    /// any of its slots meanwhile: the estate does not tell of those.
    fn pass_estate(&mut self, estate: Estate, now: Moment) {
        let leased = self.leased.get(&estate.endpoint);
        let site = self.map.sites.get(&estate.endpoint);
        let next = site.and_then(|s| s.owner).filter(|_| leased.is_none());
        if let Some(next) = next {
            let revision = self.revision;
            let estate = Estate { revision, ..estate };
            self.send(next, SlotBody::Handoff(vec![estate]), now);
        }
    }

    fn owns(&self, endpoint: EndpointKey) -> bool {
        let site = self.map.sites.get(&endpoint);
        site.and_then(|s| s.owner) == Some(self.me.host)
    }

    /// Takes up and lays down ownership as the configuration says.
    pub(super) fn configure_owned(&mut self, first: bool, now: Moment) {
        let me = Some(self.me.host);
        if first {
            self.take_up_all(now);
        }
        let sites = &self.map.sites;
        self.owned.retain(|e, _| sites.contains_key(e));
        for (endpoint, owned) in &mut self.owned {
            let mine = sites.get(endpoint).and_then(|s| s.owner) == me;
            owned.lost = match mine {
                true => None,
                false => owned.lost.or(Some(now)),
            };
        }
        self.hand_off(now);
        let mine: Vec<EndpointKey> = self
            .map
            .sites
            .iter()
            .filter(|(_, site)| site.owner == me)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in mine {
            self.take_up(endpoint, now);
        }
        let revision = self.revision;
        let passed = self
            .estates
            .extract_if(.., |_, left| left.estate.revision <= revision);
        for left in passed.map(|(_, left)| left).collect::<Vec<_>>() {
            self.pass_estate(left.estate, now);
        }
    }

    /// Does what is due at the endpoints owned: ends, growth, recalls, leases, probes.
    pub(super) fn sweep_owned(&mut self, now: Moment) {
        if !self.has_authority(now) {
            return;
        }
        self.hand_off(now);
        let endpoints: Vec<EndpointKey> = self.owned.keys().copied().collect();
        for endpoint in endpoints {
            if let Some(owned) = self.owned.get_mut(&endpoint) {
                owned.ledger.expire(now);
                owned.warmth.grow(now);
            }
            self.recall(endpoint, now);
            self.lease_out(endpoint, now);
            self.probe(endpoint, now);
        }
    }

    /// Leases what is free at an endpoint to its broker, as far as the cap allows.
    pub(super) fn lease_out(&mut self, endpoint: EndpointKey, now: Moment) {
        let site = self.map.sites.get(&endpoint);
        if site.is_none_or(|s| s.leaving) || !self.has_authority(now) {
            return;
        }
        let Some(broker) = self.map.broker_of(endpoint) else {
            return;
        };
        // A stopping host gives back at once what it is leased. Leasing to itself
        // then would go on for ever, and a shutdown would never end.
        if self.stopping && broker == self.me.host {
            return;
        }
        let Some(echo) = self.stamp_of(broker, now) else {
            return;
        };
        let owned = self.owned.get_mut(&endpoint);
        let Some(owned) = owned.filter(|o| o.lost.is_none()) else {
            return;
        };
        let mut leases = Vec::new();
        while let Some(grant) = owned.grant(broker, self.serial, now) {
            self.serial = self.serial.wrapping_add(1);
            leases.push(Handed {
                lease: grant.lease,
                left: TERM,
                once: grant.once,
            });
        }
        if !leases.is_empty() {
            self.send(broker, SlotBody::Hand { echo, leases }, now);
        }
    }

    fn lease_to(&mut self, broker: HostKey, now: Moment) {
        let endpoints: Vec<EndpointKey> = self
            .owned
            .keys()
            .filter(|e| self.map.broker_of(**e) == Some(broker))
            .copied()
            .collect();
        for endpoint in endpoints {
            self.lease_out(endpoint, now);
        }
    }

    fn note_seen(&mut self, seen: &[Seen], now: Moment) {
        for entry in seen {
            let Some(owned) = self.owned.get_mut(&entry.endpoint) else {
                continue;
            };
            owned.warmth.note_answers(entry.over, entry.total, now);
            if owned.warmth.doubt().is_some() {
                self.recall(entry.endpoint, now);
            }
        }
    }

    fn recall(&mut self, endpoint: EndpointKey, now: Moment) {
        let leaving = self.map.sites.get(&endpoint).is_none_or(|s| s.leaving);
        let Some(owned) = self.owned.get_mut(&endpoint) else {
            return;
        };
        let mut holders: BTreeMap<HostKey, Vec<LeaseKey>> = BTreeMap::new();
        for out in owned.recalls(leaving, now) {
            holders.entry(out.holder).or_default().push(out.lease);
        }
        for (holder, leases) in holders {
            self.send(holder, SlotBody::Recall(leases), now);
        }
    }

    fn probe(&mut self, endpoint: EndpointKey, now: Moment) {
        let Some(site) = self.map.sites.get(&endpoint) else {
            return;
        };
        if let Some(owned) = self.owned.get_mut(&endpoint)
            && owned.take_probe(now)
        {
            self.effects.push(Effect::Probe(endpoint, site.address));
        }
    }

    /// Tells the next owners what is out, where this host may still speak for it.
    ///
    /// After a gap in its authority it may not: others may have owned the
    /// endpoint meanwhile. What it knew is then forgotten, and the next owner
    /// waits behind its fence.
    fn hand_off(&mut self, now: Moment) {
        let fresh = self.has_authority(now);
        let revision = self.revision;
        let (sites, leased) = (&self.map.sites, &mut self.leased);
        let mut estates: BTreeMap<HostKey, Vec<Estate>> = BTreeMap::new();
        self.owned.retain(|endpoint, owned| {
            let Some(lost) = owned.lost else {
                return true;
            };
            if !fresh {
                return now.since(lost) <= FRESHNESS;
            }
            if let Some(next) = sites.get(endpoint).and_then(|s| s.owner) {
                let estate = owned.ledger.estate(owned.warmth.reached(), revision, now);
                if !owned.ledger.is_virgin(now) {
                    leased.insert(*endpoint, now);
                }
                estates.entry(next).or_default().push(estate);
            }
            false
        });
        for (next, estates) in estates {
            self.send(next, SlotBody::Handoff(estates), now);
        }
    }

    /// Takes up every endpoint as its first owner ever: nothing can be out.
    fn take_up_all(&mut self, now: Moment) {
        let endpoints: Vec<EndpointKey> = self.map.sites.keys().copied().collect();
        for endpoint in endpoints {
            let estate = Estate {
                endpoint,
                revision: self.revision,
                fence: Duration::ZERO,
                cap: 0,
                leases: Vec::new(),
            };
            self.inherit(&estate, now);
        }
    }

    fn take_up(&mut self, endpoint: EndpointKey, now: Moment) {
        let Some(site) = self.map.sites.get(&endpoint) else {
            return;
        };
        let Some(plan) = self.map.plans.get(&site.service) else {
            return;
        };
        if let Some(owned) = self.owned.get_mut(&endpoint) {
            owned.resize(plan, now);
            return;
        }
        let left = self.estates.remove(&endpoint);
        let known = left.filter(|l| self.map.peers.contains_key(&l.from));
        let estate = known.as_ref().map(|l| {
            let late = now.since(l.at);
            let mut estate = l.estate.clone();
            estate.fence = estate.fence.saturating_sub(late);
            estate
        });
        let owned = Owned::new(endpoint, plan, estate.as_ref(), now);
        self.owned.insert(endpoint, owned);
    }

    fn inherit(&mut self, estate: &Estate, now: Moment) {
        let site = self.map.sites.get(&estate.endpoint);
        if let Some(plan) = site.and_then(|s| self.map.plans.get(&s.service)) {
            let owned = Owned::new(estate.endpoint, plan, Some(estate), now);
            self.owned.insert(estate.endpoint, owned);
        }
    }
}
