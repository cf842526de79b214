//! The status page of the admin port: the state of an entry host as JSON.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use state::{Config, EndpointKey};

use super::Host;
use crate::clock;
use crate::dispatch::EndpointStatus;

/// Returns the state of `host`: its configuration, members, services and endpoints.
pub fn to_json(host: &Host) -> Value {
    let config = host.follower.config().borrow().clone();
    let progress = host.follower.progress().borrow().clone();
    let now = clock::now();
    json!({
        "name": host.name,
        "data_centre": host.data_centre,
        "revision": config.revision,
        "offset": config.offset,
        "preset": config.chosen,
        "log_age_ms": progress.end_seen.map(|seen| now.since(seen).as_millis()),
        "trouble": progress.stale_reason,
        "callers": host.edge.callers(),
        "owner": host.members.may_act(),
        "member": host.members.is_member(),
        "leaving_centres": config.leaving_centres,
        "leaving_hosts": config.leaving_hosts,
        "data_centres": data_centres(&config),
        "members": members(host, &config),
        "services": services(host, &config),
        "endpoints": endpoints(host, &config),
    })
}

fn data_centres(config: &Config) -> Vec<Value> {
    let row = |centre: &state::preset::DataCentre| {
        let leaving = config.leaving_centres.contains(&centre.name);
        json!({
            "data_centre": centre.name,
            "region": centre.region,
            "state": if leaving { "leaving" } else { "in service" },
        })
    };
    config.data_centres().iter().map(row).collect()
}

fn members(host: &Host, config: &Config) -> Vec<Value> {
    let view = host.links.view().borrow().clone();
    let alive: Vec<_> = view.alive().collect();
    let row = |(key, member): (&state::HostKey, &state::config::Member)| {
        let here = *key == host.links.own_key();
        json!({
            "host": member.name,
            "data_centre": member.data_centre,
            "state": if alive.contains(key) { "alive" } else { "suspected" },
            "linked": here || host.links.is_linked(*key),
            "joined": member.joined,
        })
    };
    config.members.iter().map(row).collect()
}

fn services(host: &Host, config: &Config) -> Vec<Value> {
    let row = |service: &state::preset::Service| {
        let status = host
            .dispatcher
            .service_status(service.key())
            .unwrap_or_default();
        json!({
            "service": service.name,
            "waiting": status.waiting,
            "held": status.held,
            "idle": status.idle,
        })
    };
    config.services().iter().map(row).collect()
}

/// Lists all endpoints; values that only the owner knows are null for the others.
fn endpoints(host: &Host, config: &Config) -> Vec<Value> {
    let owned: BTreeMap<EndpointKey, EndpointStatus> = host
        .dispatcher
        .owned_endpoints()
        .into_iter()
        .map(|s| (s.endpoint, s))
        .collect();
    let mut rows = Vec::new();
    for service in config.services() {
        for endpoint in &service.endpoints {
            let status = owned.get(&endpoint.key(service));
            let leaving = config.is_leaving(&endpoint.data_centre, endpoint.address);
            rows.push(json!({
                "service": service.name,
                "endpoint": endpoint.address,
                "data_centre": endpoint.data_centre,
                "state": state(leaving, service.slots, status),
                "slots": status.map(|s| s.cap),
                "out": status.map(|s| s.leased),
                "report_age_ms": status.and_then(|s| s.report_age).map(|age| age.as_millis()),
            }));
        }
    }
    rows
}

fn state(leaving: bool, slots: u32, status: Option<&EndpointStatus>) -> &'static str {
    match status {
        _ if leaving => "leaving",
        None => "owned elsewhere",
        Some(s) if s.is_fenced => "fenced",
        Some(s) if s.is_degraded => "doubted",
        Some(s) if s.cap < slots => "cold",
        Some(_) => "warm",
    }
}
