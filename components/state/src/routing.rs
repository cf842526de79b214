//! Maps requests to services, as configured by operators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::value;

use crate::accounts::AccountTable;
use crate::{DataCentreKey, RegionKey, ServiceKey};

/// The routes, services and limits that operators have put in force.
///
/// Versions only increase. A host applies a catalogue as a whole or not at all, so that
/// no request sees half of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalogue {
    /// The version, which increases with each change by operators, in irregular steps.
    pub version: u64,
    /// All routes.
    pub routes: RouteTable,
    /// The services of the routes.
    pub services: BTreeMap<ServiceKey, ServiceConfig>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The client accounts; none if requests need no API key.
    pub accounts: Option<AccountTable>,
}

/// A table of routes with lookup by host and path.
///
/// Operators have thousands of routes. Comparing a request with each of them took a third
/// of a millisecond on a host with a tenth of a core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Sorted by host, then by prefix.
    routes: Vec<Route>,
}

impl RouteTable {
    /// Returns a table of these routes; the last of several routes with the same host and
    /// prefix applies.
    pub fn new(mut routes: Vec<Route>) -> RouteTable {
        routes.sort_by(|a, b| a.host_and_prefix().cmp(&b.host_and_prefix()));
        RouteTable { routes }
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Returns the route for `host`, in lower case, with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash, so only parts of the path that end with a slash are
    /// looked up.
    fn longest(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| path.get(..end))
            .find_map(|prefix| self.find(host, prefix))
    }

    fn find(&self, host: &str, prefix: &str) -> Option<&Route> {
        let key = (host, prefix);
        let after = self.routes.partition_point(|r| r.host_and_prefix() <= key);
        let last = self.routes.get(after.checked_sub(1)?)?;
        (last.host_and_prefix() == key).then_some(last)
    }
}

/// One route: the requests it matches, their services and their limits.
#[value]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host name of the requests, in lower case.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// The longest time until a caller gets its answer.
    pub timeout: Duration,
    /// The time within which an answer has its full value to the caller.
    pub objective: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// The services that share the route's requests.
    pub weighted_services: Vec<WeightedService>,
    /// The regions that requests must stay in; empty if they may go anywhere.
    pub regions: BTreeSet<RegionKey>,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service's share of a route.
#[value]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// The weight of the service within the route.
    pub weight: u64,
}

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// The service's name, for logs.
    pub name: String,
    /// The path of the endpoints' health check, whose answer reports health and load.
    pub health: String,
    /// The maximum number of connections to one endpoint, from all hosts together.
    pub connections: u32,
    /// How long an endpoint is cold after its start.
    pub warmup: Duration,
    /// The number of requests per second that a cold endpoint takes from all hosts
    /// together.
    pub cold_rate: f64,
}

/// The limits on callers' requests.
#[value]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_size: usize,
    /// The largest request body, in bytes.
    pub body_size: u64,
    /// The longest time to receive the head of a request.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

/// The configuration set by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The catalogue in force; none before the first one.
    pub catalogue: Option<Catalogue>,
    /// Data centres that operators have taken out; their endpoints get no requests.
    pub leaving_centres: BTreeSet<DataCentreKey>,
}

impl Catalogue {
    /// Returns the route of a request: the one for `host` with the longest prefix of
    /// `path`.
    ///
    /// A port after the host name is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        self.routes.longest(&name.to_ascii_lowercase(), path)
    }
}

impl Route {
    fn host_and_prefix(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }

    /// Returns the service of one request; `draw` is a random number, uniformly
    /// distributed over all of `u64`.
    ///
    /// The draw is made once per request and reused for its retries. A service without
    /// spare capacity rejects its fraction of the requests rather than passing it on to
    /// the other services, whose capacity operators have planned for their own requests.
    pub fn pick_service(&self, draw: u64) -> Option<ServiceKey> {
        let total: u64 = self.weighted_services.iter().map(|s| s.weight).sum();
        if total == 0 {
            return None;
        }
        let mut at = draw % total;
        for weighted in &self.weighted_services {
            if at < weighted.weight {
                return Some(weighted.service);
            }
            at -= weighted.weight;
        }
        None
    }
}

impl OperatorConfig {
    /// Applies `catalogue` if it is newer than the one in force; returns whether it was.
    ///
    /// The store may return outdated records after it has lost newer ones, or apply a
    /// delayed write. Going back to an older catalogue would route requests by routes
    /// that operators have removed.
    pub fn adopt(&mut self, catalogue: Catalogue) -> bool {
        let newer = match &self.catalogue {
            Some(current) => catalogue.version > current.version,
            None => true,
        };
        if newer {
            self.catalogue = Some(catalogue);
        }
        newer
    }
}
