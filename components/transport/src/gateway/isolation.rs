//! Services whose endpoints this host doesn't reach.
//!
//! Requests find out that endpoints don't answer, one after the other and each after a
//! timeout. Checks find out sooner: they probe several endpoints at once, as soon as one
//! has failed, and again and again until one answers.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use state::{EndpointKey, Moment, ServiceKey};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::Gateway;
use crate::clock;

/// The number of endpoints that a check probes at once.
const CHECKED_ENDPOINTS: usize = 3;

/// The number of other services that are checked when a host has become isolated from one.
///
/// Mostly it has lost its links to all endpoints. A bad release of one service must not
/// make all hosts probe all endpoints of the others.
const CHECKED_SERVICES: usize = 4;

/// The shortest time between two checks of a service that isn't isolated.
///
/// Endpoints that crash and come back would otherwise cause a check each time.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two checks of services that this host is isolated from.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest time between two rounds of checks.
const CHECK_PAUSE: Duration = Duration::from_millis(25);

/// The number of isolated services that are checked at a time, in turn.
const RECHECKED_SERVICES: usize = 8;

/// How long a host must have been isolated to reject requests that no other host can serve.
///
/// By then a check has failed too.
const CONFIRMATION_TIME: Duration = Duration::from_millis(300);

/// The number of endpoints that may fail to answer one request before another host is
/// asked to serve it.
///
/// Open connections may live on while new ones are refused. Then the service doesn't count
/// as isolated, and yet a request may find no endpoint.
const UNANSWERED_LIMIT: usize = 3;

/// How long the answer of another host shows that it reaches endpoints.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// The checks that are due, and when each service was last checked.
#[derive(Default)]
pub(super) struct IsolationChecks {
    due: BTreeSet<ServiceKey>,
    checked: BTreeMap<ServiceKey, Moment>,
    rechecked: Option<ServiceKey>,
}

impl IsolationChecks {
    /// Schedules the check of a service; returns whether it wasn't checked just before.
    fn schedule(&mut self, service: ServiceKey, now: Moment) -> bool {
        let last = self.checked.get(&service);
        if last.is_some_and(|at| now.since(*at) < CHECK_INTERVAL) {
            return false;
        }
        self.checked.insert(service, now);
        self.due.insert(service)
    }

    /// Returns the next of the isolated services to check, in turn.
    fn next_isolated(&mut self, isolated: &[ServiceKey]) -> Vec<ServiceKey> {
        let after = self.rechecked;
        let later = isolated.iter().filter(|s| Some(**s) > after);
        let earlier = isolated.iter().filter(|s| Some(**s) <= after);
        let next: Vec<ServiceKey> = later
            .chain(earlier)
            .take(RECHECKED_SERVICES)
            .copied()
            .collect();
        self.rechecked = next.last().copied();
        next
    }
}

impl Gateway {
    /// Returns whether a request of this service should be served by another host.
    ///
    /// `unanswered` is the number of endpoints that didn't answer the request.
    pub(super) fn needs_helper(&self, service: ServiceKey, unanswered: usize) -> bool {
        self.registry.borrow().is_isolated(service) || unanswered >= UNANSWERED_LIMIT
    }

    /// Returns whether this host has been isolated from a service for long enough to be sure.
    pub(super) fn is_surely_isolated(&self, service: ServiceKey) -> bool {
        let registry = self.registry.borrow();
        let lasted = registry
            .isolation(service)
            .and_then(|i| i.lasted(clock::now()));
        lasted.is_some_and(|time| time >= CONFIRMATION_TIME)
    }

    /// Returns whether no endpoint of any service answers this host, while other hosts serve
    /// its requests.
    ///
    /// New callers are better off at the other hosts. Where those can't serve requests
    /// either, the endpoints are at fault, and a host that wasn't ready would only make
    /// callers lose the platform's balancer as well.
    pub(super) fn depends_on_helpers(&self) -> bool {
        let registry = self.registry.borrow();
        let isolated = registry.isolated_services().len();
        let helpers = self.helpers.borrow();
        let now = clock::now();
        let is_helped = helpers
            .values()
            .any(|h| h.answered_within(ANSWER_TIME, now));
        isolated > 0 && isolated == registry.services().len() && is_helped
    }

    /// Schedules a check after an endpoint of the service has failed.
    pub(super) fn check_after_failure(&self, service: ServiceKey) {
        let scheduled = self
            .isolation_checks
            .borrow_mut()
            .schedule(service, clock::now());
        if scheduled {
            self.checks_due.notify_one();
        }
    }

    /// Checks whether endpoints answer, when one failed and while none does; never returns.
    pub(super) async fn check_isolation(self: Rc<Self>) {
        loop {
            let isolated = self.registry.borrow().isolated_services();
            let limit = match isolated.is_empty() {
                true => Duration::MAX,
                false => RECHECK_INTERVAL,
            };
            // Services may have become isolated meanwhile, or may be so no more.
            let _notified = timeout(limit, self.checks_due.notified()).await;
            for service in self.services_to_check() {
                spawn_local(Rc::clone(&self).check(service));
            }
            // Endpoints that fail one after the other must not keep this loop busy.
            sleep(CHECK_PAUSE).await;
        }
    }

    /// Returns the services to check now: those whose checks are due, and some of those that
    /// this host is isolated from.
    fn services_to_check(&self) -> BTreeSet<ServiceKey> {
        let isolated = self.registry.borrow().isolated_services();
        let mut checks = self.isolation_checks.borrow_mut();
        let mut services = std::mem::take(&mut checks.due);
        services.extend(checks.next_isolated(&isolated));
        services
    }

    /// Probes some endpoints of a service on new connections at once, until one answers.
    ///
    /// When a cut ends, the probes that it still delays say nothing any more.
    async fn check(self: Rc<Self>, service: ServiceKey) {
        let mut probes = JoinSet::new();
        for key in self.endpoints_to_check(service) {
            let gateway = Rc::clone(&self);
            probes.spawn_local(async move { gateway.probe_anew(key).await });
        }
        while let Some(result) = probes.join_next().await {
            match result {
                Ok(Some((connection, headers))) => {
                    self.keep_connection(connection, &headers);
                    return;
                }
                Ok(None) => {}
                Err(error) => log::error!("E0165 check-failed error={error:?}"),
            }
        }
    }

    /// Returns some endpoints of a service, in a random order.
    fn endpoints_to_check(&self, service: ServiceKey) -> Vec<EndpointKey> {
        let registry = self.registry.borrow();
        let endpoints = registry.endpoints_of(service);
        let now = clock::now();
        let usable = endpoints.filter(|(_, s)| s.accepts(now));
        let mut keys: Vec<EndpointKey> = usable.map(|(key, _)| key).collect();
        let count = keys.len().max(1);
        keys.rotate_left((self.random_fraction() * count as f64) as usize % count);
        keys.truncate(CHECKED_ENDPOINTS);
        keys
    }

    /// Acts on a change: this host has become isolated from a service, or isn't any more.
    ///
    /// `seen` names how the last outcome was seen.
    pub(super) fn isolation_noted(&self, service: ServiceKey, was_isolated: bool, seen: &str) {
        let registry = self.registry.borrow();
        let isolated = registry.is_isolated(service);
        if isolated == was_isolated {
            return;
        }
        let route = self.route_to(service);
        if !isolated {
            log::info!("E0161 service-reachable route={route} seen={seen}");
            return;
        }
        let failures = registry.isolation(service).map_or(0, |i| i.failures());
        log::warn!(
            "E0160 service-unreachable route={route} failed={failures} of={} seen={seen}",
            registry.count_of(service)
        );
        let others = registry.services().into_iter();
        let others = others.filter(|s| *s != service && !registry.is_isolated(*s));
        let others: Vec<ServiceKey> = others.take(CHECKED_SERVICES).collect();
        drop(registry);
        others.into_iter().for_each(|s| self.check_after_failure(s));
        self.checks_due.notify_one();
        self.wake_all(service);
    }

    /// Returns the name of a route that leads to a service, by which operators know it.
    fn route_to(&self, service: ServiceKey) -> String {
        let config = self.config.borrow();
        let mut routes = config.catalogue.iter().flat_map(|c| c.routes.iter());
        let route = routes.find(|r| r.weighted_services.iter().any(|s| s.service == service));
        route.map_or_else(|| "-".to_owned(), |r| r.name.clone())
    }
}
