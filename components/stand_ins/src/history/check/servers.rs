//! Checks of the calls and probes that backend servers got.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Check, Limits, Violation};
use crate::history::{Event, Order, Record};

/// Checks that load reports take no more of a backend server's slot time than their budget.
pub(super) fn probe_budget(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut slots = BTreeMap::new();
    let mut spent: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut violations = Vec::new();
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
                    violations.push(Violation {
                        check: Check::ProbeBudget,
                        at: record.at,
                        seen: format!("{endpoint}: {spent} us of load reports, {budget} allowed"),
                    });
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks that no backend server, cold or warm, gets more calls at once than it can run.
pub(super) fn overload(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut cold_since = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::TurnedCold { endpoint } => {
                cold_since.insert(*endpoint, record.at);
            }
            Event::Received {
                endpoint,
                running,
                bears,
                cold,
                ..
            } if running > bears => {
                let in_grace = cold_since
                    .get(endpoint)
                    .is_some_and(|at| record.at < at + limits.cold_grace);
                let check = match cold {
                    true if in_grace => continue,
                    true => Check::Cold,
                    false => Check::Slots,
                };
                violations.push(Violation {
                    check,
                    at: record.at,
                    seen: format!("{endpoint}: {running} calls at once, its limit is {bears}"),
                });
            }
            _ => {}
        }
    }
    violations
}

/// Checks that no new work goes to what is leaving: a data centre, a host, or a backend server
/// that reports draining.
pub(super) fn leaving(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut centres = BTreeMap::new();
    let mut leaving_now = Leaving::default();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::Endpoint {
                endpoint,
                data_centre,
                ..
            } => {
                centres.insert(*endpoint, data_centre);
            }
            Event::Asked { order, name } => leaving_now.apply_request(*order, name),
            Event::Ordered { order, name, .. } => leaving_now.apply(*order, name, record.at),
            Event::Draining {
                endpoint,
                draining: true,
            } => {
                leaving_now.servers.insert(endpoint.to_string(), record.at);
            }
            Event::Draining { endpoint, .. } => {
                leaving_now.servers.remove(&endpoint.to_string());
            }
            Event::Received { endpoint, call, .. } => {
                let since = |at: &u64| record.at > at + limits.leave_grace;
                let centre = centres
                    .get(endpoint)
                    .and_then(|c| leaving_now.centres.get(*c));
                let server = leaving_now
                    .servers
                    .get(&endpoint.to_string())
                    .or_else(|| leaving_now.servers.get(&endpoint.ip().to_string()));
                let check = match (centre, server) {
                    (Some(at), _) if since(at) => Check::CentreOut,
                    (_, Some(at)) if since(at) => Check::ServerLeaving,
                    _ => continue,
                };
                violations.push(Violation {
                    check,
                    at: record.at,
                    seen: format!("{endpoint} got call {call} too long after it began to leave"),
                });
            }
            _ => {}
        }
    }
    violations
}

/// Data centres and backend servers that are leaving, with the time at which each began to leave,
/// in microseconds since 1970.
#[derive(Default)]
struct Leaving {
    centres: BTreeMap<String, u64>,
    servers: BTreeMap<String, u64>,
}

impl Leaving {
    /// Applies a return as soon as an operator requests it.
    ///
    /// Entry hosts act on the return before the operator gets the answer. If only the accepted
    /// command counted, calls between the two would be reported as calls to a data centre that
    /// has left.
    fn apply_request(&mut self, order: Order, name: &str) {
        match order {
            Order::CentreReturns | Order::HostReturns => self.apply(order, name, 0),
            Order::CentreLeaves | Order::HostLeaves | Order::Choose => {}
        }
    }

    fn apply(&mut self, order: Order, name: &str, at: u64) {
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
