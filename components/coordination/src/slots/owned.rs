//! What an owner does for one endpoint: leases, the cap, the only probes.

use std::time::Duration;

use state::probe::ProbeBudget;
use state::warmth::Warmth;
use state::{EndpointKey, HostKey, Moment};

use super::ledger::{Ledger, Out};
use super::map::Plan;
use super::message::{Estate, LeaseKey};

/// One endpoint at its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Owned {
    /// The slots that are out.
    pub ledger: Ledger,
    /// How much it bears.
    pub warmth: Warmth,
    budget: ProbeBudget,
    urgent: bool,
    recalled: Moment,
    trial: Option<(u64, Moment)>,
    /// Since when another host owns it, until that has been told what is out.
    pub lost: Option<Moment>,
}

/// A lease to grant.
pub struct Grant {
    /// The lease.
    pub lease: LeaseKey,
    /// It is for one call only.
    pub once: bool,
}

/// The time between two recalls of the same leases.
const RECALL: Duration = Duration::from_millis(100);
/// A trial that has not come back for this long is recalled.
const OVERDUE: Duration = Duration::from_millis(1_000);

impl Owned {
    /// Returns an endpoint that this host has come to own, with its estate if there is one.
    pub fn new(endpoint: EndpointKey, plan: &Plan, estate: Option<&Estate>, now: Moment) -> Owned {
        let mut warmth = Warmth::unknown(plan.slots, plan.cold, now);
        let ledger = match estate {
            Some(estate) => {
                warmth.inherit(estate.cap);
                Ledger::inherited(estate, plan.slots, now)
            }
            None => Ledger::fenced(endpoint, plan.slots, now),
        };
        Owned {
            ledger,
            warmth,
            budget: ProbeBudget::new(plan.slots, plan.probe, now),
            urgent: true,
            recalled: Moment(0),
            trial: None,
            lost: None,
        }
    }

    /// Forgets what is out: another host may have owned the endpoint meanwhile.
    pub fn fence(&mut self, endpoint: EndpointKey, plan: &Plan, now: Moment) {
        self.ledger = Ledger::fenced(endpoint, plan.slots, now);
        self.trial = None;
    }

    /// Takes over the sizes of a new configuration.
    pub fn resize(&mut self, plan: &Plan, now: Moment) {
        self.ledger.resize(plan.slots);
        self.warmth.resize(plan.slots, plan.cold);
        if self.budget.cost() != plan.probe {
            self.budget = ProbeBudget::new(plan.slots, plan.probe, now);
        }
    }

    /// Asks for a probe as soon as the budget lets one go.
    pub fn hurry_probe(&mut self) {
        self.urgent = true;
    }

    /// Returns whether to probe now, and counts it.
    pub fn take_probe(&mut self, now: Moment) -> bool {
        let probe = self.budget.take(self.urgent, now);
        self.urgent &= !probe;
        probe
    }

    /// Leases the next slot to `broker`, as far as the cap allows.
    pub fn grant(&mut self, broker: HostKey, serial: u64, now: Moment) -> Option<Grant> {
        if self.ledger.out() < self.warmth.cap() {
            let lease = self.ledger.grant(broker, serial, now)?;
            return Some(Grant { lease, once: false });
        }
        let idle = self.ledger.out() == 0 && self.ledger.is_open(now);
        if !idle || !self.warmth.take_trial(now) {
            return None;
        }
        let lease = self.ledger.grant(broker, serial, now)?;
        self.trial = Some((serial, now));
        Some(Grant { lease, once: true })
    }

    /// Returns the leases to call back: those above the cap.
    pub fn recalls(&mut self, leaving: bool, now: Moment) -> Vec<Out> {
        let cap = if leaving { 0 } else { self.warmth.cap() };
        let above = self.ledger.out().saturating_sub(cap) as usize;
        if above == 0 || now.since(self.recalled) < RECALL {
            return Vec::new();
        }
        self.recalled = now;
        let trial = self.trial;
        let spared = move |out: &Out| match trial {
            Some((serial, at)) => serial == out.lease.serial && now.since(at) < OVERDUE,
            None => false,
        };
        let leases = self.ledger.leases().filter(|o| !spared(o));
        leases.take(above).collect()
    }
}
