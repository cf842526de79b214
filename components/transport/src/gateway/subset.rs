//! Keeps the host's subset of each service's endpoints up to date, and the few connections
//! of a service with rare requests open.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use state::fleet::subset_size::{Demand, Limits, SubsetSize};
use state::fleet::{EndpointState, Registry, Subset};
use state::{EndpointKey, Moment, ServiceKey};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use super::{Gateway, Stage};
use crate::clock;

/// The interval at which subsets are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which the use of subsets is logged, and the shortest one between two log
/// lines on the size of one.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// How long an idle connection stays open until an endpoint has advertised its limit.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_millis(8_500);

/// The number of connections of a service that are kept open by a probe before they expire.
///
/// A host with a request in four seconds opened 0.60 connections a request with none of
/// them, 0.38 with two, 0.27 with three (`subset_connections` test).
const KEPT_OPEN: usize = 3;

/// How long before a connection expires it is probed; more than [`UPDATE_INTERVAL`].
const REFRESH_MARGIN: Duration = Duration::from_millis(1_500);

/// How long after the last request for a service its connections are kept open.
const REFRESH_PERIOD: Duration = Duration::from_secs(60);

/// What one host knows about its use of a service.
struct ServiceUse {
    size: SubsetSize,
    demand: Demand,
    last_request: Moment,
    /// How long idle connections stay open, as an endpoint of the service last advertised it.
    idle_lifetime: Duration,
    /// The hosts, the version of the endpoints and the size that the subset was made for.
    made_for: Option<(Vec<SocketAddr>, u64, usize)>,
    /// The number of members that was last logged, and when; none for all near endpoints.
    logged: (Option<usize>, Moment),
    decisions: u32,
    crowded: u32,
    refreshed: u32,
}

impl ServiceUse {
    fn new(now: Moment) -> ServiceUse {
        ServiceUse {
            size: SubsetSize::new(now),
            demand: Demand::default(),
            last_request: now,
            idle_lifetime: DEFAULT_IDLE_LIFETIME,
            made_for: None,
            logged: (None, Moment(0)),
            decisions: 0,
            crowded: 0,
            refreshed: 0,
        }
    }
}

/// The host's use of all services, from which the sizes of its subsets follow.
#[derive(Default)]
pub(super) struct Subsets {
    services: RefCell<BTreeMap<ServiceKey, ServiceUse>>,
}

impl Subsets {
    /// Counts an attempt of a request for a service.
    pub fn note_request(&self, service: ServiceKey, service_time: Duration, now: Moment) {
        let mut services = self.services.borrow_mut();
        let usage = services
            .entry(service)
            .or_insert_with(|| ServiceUse::new(now));
        usage.demand.requests += 1;
        usage.demand.busy += service_time;
        usage.last_request = now;
    }

    /// Notes how long an idle connection to an endpoint of a service stays open.
    pub fn note_idle_lifetime(&self, service: ServiceKey, time: Duration) {
        if let Some(usage) = self.services.borrow_mut().get_mut(&service) {
            usage.idle_lifetime = time;
        }
    }
}

impl Gateway {
    /// Periodically updates the subsets and refreshes connections; never returns.
    pub(super) async fn maintain_subsets(self: Rc<Self>) {
        let mut ticks = interval(UPDATE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reported = clock::now();
        loop {
            ticks.tick().await;
            self.update_subsets();
            self.refresh_connections();
            if clock::now().since(reported) >= REPORT_INTERVAL {
                reported = clock::now();
                self.report_subsets();
            }
        }
    }

    /// Returns the hosts of this data centre that run, in the same order on all of them.
    fn centre_hosts(&self) -> Vec<SocketAddr> {
        let mut hosts = self.neighbours.borrow().heard_lately(clock::now());
        hosts.push(self.settings.peers);
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    fn update_subsets(&self) {
        let hosts = self.centre_hosts();
        let now = clock::now();
        let mut services = self.subsets.services.borrow_mut();
        let mut registry = self.registry.borrow_mut();
        // A service that has left the site needs no estimate. All others have a subset before
        // their first request.
        services.retain(|service, _| registry.count_of(*service) > 0);
        for service in registry.services() {
            services
                .entry(service)
                .or_insert_with(|| ServiceUse::new(now));
        }
        for (service, usage) in services.iter_mut() {
            self.update_subset(&mut registry, *service, usage, &hosts, now);
        }
    }

    fn update_subset(
        &self,
        registry: &mut Registry,
        service: ServiceKey,
        usage: &mut ServiceUse,
        hosts: &[SocketAddr],
        now: Moment,
    ) {
        let used = registry
            .subset_mut(service)
            .map(Subset::take_usage)
            .unwrap_or_default();
        usage.decisions += used.decisions;
        usage.crowded += used.crowded;
        let mut demand = std::mem::take(&mut usage.demand);
        demand.usage = used;
        let Some(near) = registry.near(service, self.home) else {
            registry.set_subset(service, None);
            usage.made_for = None;
            return;
        };
        let any = near.first().and_then(|key| registry.get(*key));
        let limits = Limits {
            idle_lifetime: usage.idle_lifetime,
            slots: any.map_or(1, |s| s.endpoint.slots),
            near: near.len(),
        };
        let size = usage.size.update(demand, limits, now);
        let version = registry.version_of(service);
        let is_current = usage
            .made_for
            .as_ref()
            .is_some_and(|(known, at, wanted)| known == hosts && *at == version && *wanted == size);
        if !is_current {
            let position = hosts.binary_search(&self.settings.peers).unwrap_or(0);
            let subset = Subset::new(near, position, hosts.len(), size);
            let members = subset.as_ref().map(Subset::size);
            log_change(service, usage, members, limits.near, hosts.len(), now);
            registry.set_subset(service, subset);
            usage.made_for = Some((hosts.to_vec(), version, size));
        }
        if let Some(subset) = registry.subset_mut(service) {
            subset.set_rate(usage.size.rate());
        }
    }

    /// Probes the few connections of each service that were used last before they expire.
    ///
    /// Applies only to services of which the host uses a subset. The probes count against
    /// the host's probe budget.
    fn refresh_connections(self: &Rc<Self>) {
        if *self.stage.borrow() != Stage::Serving
            || self.config.borrow().leaving_centres.contains(&self.home)
        {
            return;
        }
        for key in self.connections_to_refresh() {
            if !self.may_probe() {
                return;
            }
            let gateway = Rc::clone(self);
            spawn_local(async move {
                if let Some((connection, headers)) = gateway.probe(key).await {
                    gateway.keep_connection(connection, &headers);
                }
            });
        }
    }

    fn connections_to_refresh(&self) -> Vec<EndpointKey> {
        let now = clock::now();
        let registry = self.registry.borrow();
        let expiries = self.pool.borrow().expiries();
        let mut services = self.subsets.services.borrow_mut();
        let mut keys = Vec::new();
        for (service, usage) in services.iter_mut() {
            let Some(subset) = registry.subset(*service) else {
                continue;
            };
            if now.since(usage.last_request) >= REFRESH_PERIOD {
                continue;
            }
            let near: BTreeSet<EndpointKey> = subset.ring().iter().copied().collect();
            let is_usable = |state: &EndpointState| {
                state.accepts(now) && !state.is_cold(now) && !state.health.is_avoided(now)
            };
            let mut kept: Vec<(Moment, EndpointKey)> = expiries
                .iter()
                .filter(|(key, until)| now < **until && near.contains(key))
                .filter(|(key, _)| registry.get(**key).is_some_and(is_usable))
                .map(|(key, until)| (*until, *key))
                .collect();
            kept.sort_unstable();
            let latest = kept.iter().rev().take(KEPT_OPEN);
            let before = keys.len();
            keys.extend(
                latest
                    .filter(|(until, _)| now.until(*until) < REFRESH_MARGIN)
                    .map(|(_, key)| *key),
            );
            usage.refreshed += u32::try_from(keys.len() - before).unwrap_or_default();
        }
        keys
    }

    fn report_subsets(&self) {
        let registry = self.registry.borrow();
        for (service, usage) in self.subsets.services.borrow_mut().iter_mut() {
            let decisions = std::mem::take(&mut usage.decisions);
            let crowded = std::mem::take(&mut usage.crowded);
            let refreshed = std::mem::take(&mut usage.refreshed);
            let Some(subset) = registry.subset(*service) else {
                continue;
            };
            log::info!(
                "E0182 subset-used service={:016x} members={} near={} rate={:.2} \
                 decisions={decisions} crowded={crowded} refreshed={refreshed}",
                service.0,
                subset.size(),
                subset.ring().len(),
                usage.size.rate(),
            );
        }
    }
}

/// Logs a changed number of members, at most once in [`REPORT_INTERVAL`].
fn log_change(
    service: ServiceKey,
    usage: &mut ServiceUse,
    members: Option<usize>,
    near: usize,
    hosts: usize,
    now: Moment,
) {
    let (logged, at) = usage.logged;
    if members == logged || now.since(at) < REPORT_INTERVAL {
        return;
    }
    usage.logged = (members, now);
    let rate = usage.size.rate();
    match members {
        Some(members) => log::info!(
            "E0180 subset-size service={:016x} members={members} near={near} hosts={hosts} \
             rate={rate:.2}",
            service.0
        ),
        None => log::info!(
            "E0181 subset-ended service={:016x} near={near} hosts={hosts} rate={rate:.2}",
            service.0
        ),
    }
}
