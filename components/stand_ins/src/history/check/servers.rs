//! Checks of what backend servers got.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Check, Limits, Violation};
use crate::history::{Event, Order, Record};

/// Load reports take no more than their share of a backend server's slot time.
pub(super) fn probe_budget(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut slots = BTreeMap::new();
    let mut spent: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut faults = Vec::new();
    for record in records {
        match &record.event {
            Event::Endpoint {
                endpoint, slots: n, ..
            } => {
                slots.insert(*endpoint, (record.at, u64::from(*n)));
            }
            Event::Probed { endpoint, cost_us } => {
                let Some((since, slots)) = slots.get(endpoint) else {
                    continue;
                };
                let spent = spent.entry(*endpoint).or_default();
                *spent += cost_us;
                let slot_time = (record.at - since) * slots;
                let budget = slot_time * limits.probe_permille / 1_000 + limits.probe_burst;
                if *spent > budget {
                    faults.push(Violation {
                        check: Check::ProbeBudget,
                        at: record.at,
                        seen: format!("{endpoint}: {spent} us of load reports, {budget} allowed"),
                    });
                }
            }
            _ => {}
        }
    }
    faults
}

/// No backend server gets more calls at once than it bears, cold or warm.
pub(super) fn overload(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut turned = BTreeMap::new();
    let mut faults = Vec::new();
    for record in records {
        match &record.event {
            Event::TurnedCold { endpoint } => {
                turned.insert(*endpoint, record.at);
            }
            Event::Received {
                endpoint,
                running,
                bears,
                cold,
                ..
            } if running > bears => {
                let unseen = turned
                    .get(endpoint)
                    .is_some_and(|at| record.at < at + limits.cold_notice);
                let check = match cold {
                    true if unseen => continue,
                    true => Check::Cold,
                    false => Check::Slots,
                };
                faults.push(Violation {
                    check,
                    at: record.at,
                    seen: format!("{endpoint}: {running} calls at once, it bears {bears}"),
                });
            }
            _ => {}
        }
    }
    faults
}

/// What is leaving, by data centre, by host or by its own word, gets no new work.
pub(super) fn leaving(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut centres = BTreeMap::new();
    let mut out = Out::default();
    let mut faults = Vec::new();
    for record in records {
        match &record.event {
            Event::Endpoint {
                endpoint,
                data_centre,
                ..
            } => {
                centres.insert(*endpoint, data_centre);
            }
            Event::Asked { order, name } => out.asked(*order, name),
            Event::Ordered { order, name, .. } => out.order(*order, name, record.at),
            Event::Draining {
                endpoint,
                draining: true,
            } => {
                out.servers.insert(endpoint.to_string(), record.at);
            }
            Event::Draining { endpoint, .. } => {
                out.servers.remove(&endpoint.to_string());
            }
            Event::Received { endpoint, call, .. } => {
                let since = |at: &u64| record.at > at + limits.leave_notice;
                let centre = centres.get(endpoint).and_then(|c| out.centres.get(*c));
                let server = out
                    .servers
                    .get(&endpoint.to_string())
                    .or_else(|| out.servers.get(&endpoint.ip().to_string()));
                let check = match (centre, server) {
                    (Some(at), _) if since(at) => Check::CentreOut,
                    (_, Some(at)) if since(at) => Check::ServerLeaving,
                    _ => continue,
                };
                faults.push(Violation {
                    check,
                    at: record.at,
                    seen: format!("{endpoint} got call {call} long after it was taken out"),
                });
            }
            _ => {}
        }
    }
    faults
}

/// What has been taken out, and when.
#[derive(Default)]
struct Out {
    centres: BTreeMap<String, u64>,
    servers: BTreeMap<String, u64>,
}

impl Out {
    /// Ends what is out as soon as an operator asks for its return.
    ///
    /// Entry hosts act on the return before its author has the answer: calls
    /// that came between the two were once taken for calls to a data centre
    /// that had left.
    fn asked(&mut self, order: Order, name: &str) {
        match order {
            Order::CentreReturns | Order::HostReturns => self.order(order, name, 0),
            Order::CentreLeaves | Order::HostLeaves | Order::Choose => {}
        }
    }

    fn order(&mut self, order: Order, name: &str, at: u64) {
        match order {
            Order::CentreLeaves => {
                self.centres.entry(name.to_owned()).or_insert(at);
            }
            Order::CentreReturns => {
                self.centres.remove(name);
            }
            Order::HostLeaves => {
                self.servers.entry(name.to_owned()).or_insert(at);
            }
            Order::HostReturns => {
                self.servers.remove(name);
            }
            Order::Choose => {}
        }
    }
}
