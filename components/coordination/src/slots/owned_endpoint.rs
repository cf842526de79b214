//! The owner's state of one endpoint: leases, the cap on them, and probes.

use std::time::Duration;

use state::capacity::Capacity;
use state::probe::ProbeBudget;
use state::{EndpointKey, HostKey, Moment};

use super::lease_table::{GrantedLease, LeaseTable};
use super::message::{EndpointHandoff, LeaseKey};
use super::role_map::ServiceRoles;

/// An endpoint at its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedEndpoint {
    /// The slots and their leases.
    pub lease_table: LeaseTable,
    /// How many calls the endpoint can take.
    pub capacity: Capacity,
    budget: ProbeBudget,
    urgent: bool,
    last_recall: Moment,
    trial: Option<(u64, Moment)>,
    /// When another host became the owner, until the handoff to that host was sent.
    pub superseded_at: Option<Moment>,
}

/// A lease to grant.
pub struct Grant {
    /// The lease.
    pub lease: LeaseKey,
    /// Whether the lease is for a single call.
    pub single_use: bool,
}

/// The time between two recalls of the same leases.
const RECALL_INTERVAL: Duration = Duration::from_millis(100);
/// A trial lease that was not returned for this long is recalled.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

impl OwnedEndpoint {
    /// Returns the state of an endpoint that this host now owns, with the handoff if there is one.
    pub fn new(
        endpoint: EndpointKey,
        service_roles: &ServiceRoles,
        handoff: Option<&EndpointHandoff>,
        now: Moment,
    ) -> OwnedEndpoint {
        let mut capacity = Capacity::unknown(service_roles.slots, service_roles.cold_slots, now);
        let lease_table = match handoff {
            Some(handoff) => {
                capacity.inherit(handoff.cap);
                LeaseTable::from_handoff(handoff, service_roles.slots, now)
            }
            None => LeaseTable::with_fence(endpoint, service_roles.slots, now),
        };
        OwnedEndpoint {
            lease_table,
            capacity,
            budget: ProbeBudget::new(service_roles.slots, service_roles.probe_cost, now),
            urgent: true,
            last_recall: Moment(0),
            trial: None,
            superseded_at: None,
        }
    }

    /// Discards the leases, because another host may have owned the endpoint meanwhile.
    pub fn fence(&mut self, endpoint: EndpointKey, service_roles: &ServiceRoles, now: Moment) {
        self.lease_table = LeaseTable::with_fence(endpoint, service_roles.slots, now);
        self.trial = None;
    }

    /// Applies the slot counts and probe cost of a new configuration.
    pub fn resize(&mut self, service_roles: &ServiceRoles, now: Moment) {
        self.lease_table.resize(service_roles.slots);
        self.capacity
            .resize(service_roles.slots, service_roles.cold_slots);
        if self.budget.cost() != service_roles.probe_cost {
            self.budget = ProbeBudget::new(service_roles.slots, service_roles.probe_cost, now);
        }
    }

    /// Requests a probe as soon as the budget allows one.
    pub fn request_probe(&mut self) {
        self.urgent = true;
    }

    /// Returns whether to probe now, and counts the probe.
    pub fn take_probe(&mut self, now: Moment) -> bool {
        let probe = self.budget.take(self.urgent, now);
        self.urgent &= !probe;
        probe
    }

    /// Leases the next slot to `broker`, up to the cap.
    pub fn grant(&mut self, broker: HostKey, serial: u64, now: Moment) -> Option<Grant> {
        if self.lease_table.leased() < self.capacity.cap() {
            let lease = self.lease_table.grant(broker, serial, now)?;
            return Some(Grant {
                lease,
                single_use: false,
            });
        }
        let idle = self.lease_table.leased() == 0 && self.lease_table.is_open(now);
        if !idle || !self.capacity.take_trial(now) {
            return None;
        }
        let lease = self.lease_table.grant(broker, serial, now)?;
        self.trial = Some((serial, now));
        Some(Grant {
            lease,
            single_use: true,
        })
    }

    /// Returns the leases to recall: those above the cap.
    pub fn leases_to_recall(&mut self, leaving: bool, now: Moment) -> Vec<GrantedLease> {
        let cap = if leaving { 0 } else { self.capacity.cap() };
        let above = self.lease_table.leased().saturating_sub(cap) as usize;
        if above == 0 || now.since(self.last_recall) < RECALL_INTERVAL {
            return Vec::new();
        }
        self.last_recall = now;
        let trial = self.trial;
        let is_exempt = move |granted: &GrantedLease| match trial {
            Some((serial, at)) => serial == granted.lease.serial && now.since(at) < TRIAL_TIMEOUT,
            None => false,
        };
        let leases = self.lease_table.leases().filter(|o| !is_exempt(o));
        leases.take(above).collect()
    }
}
