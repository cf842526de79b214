//! Which service a request goes to: the operators' routes and their choice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::value;

use crate::{DataCentreKey, RegionKey, ServiceKey};

/// What operators have put in force: routes, services and limits.
///
/// Versions only grow. A host takes over a catalogue whole or not at all, so
/// that no request sees half of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalogue {
    /// Counts the operators' changes, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: RouteTable,
    /// The services that routes lead to.
    pub services: BTreeMap<ServiceKey, ServiceConfig>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Routes, found by host and path without looking at all of them.
///
/// Operators have thousands. Compared with each, a request cost a host with a
/// tenth of a core a third of a millisecond before it was placed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Sorted by host, then prefix.
    routes: Vec<Route>,
}

impl RouteTable {
    /// Returns the table of these routes; of two with the same host and prefix the last holds.
    pub fn new(mut routes: Vec<Route>) -> RouteTable {
        routes.sort_by(|a, b| a.place().cmp(&b.place()));
        RouteTable { routes }
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Returns the route of `host`, in lower case, with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash: only what ends at a slash of the path is looked up.
    fn longest(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| path.get(..end))
            .find_map(|prefix| self.find(host, prefix))
    }

    fn find(&self, host: &str, prefix: &str) -> Option<&Route> {
        let place = (host, prefix);
        let after = self.routes.partition_point(|r| r.place() <= place);
        let last = self.routes.get(after.checked_sub(1)?)?;
        (last.place() == place).then_some(last)
    }
}

/// One route: which requests it takes, where they go and what they are due.
#[value]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host name that requests ask for, in lower case.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most to its caller.
    pub objective: Duration,
    /// The rank, 0 before all others.
    pub priority: u32,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// The services that share the route's requests.
    pub weighted_services: Vec<WeightedService>,
    /// The regions that its requests must not leave, none where they may go anywhere.
    pub regions: BTreeSet<RegionKey>,
}

/// A service's share of a route.
#[value]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// Its weight among the route's parts.
    pub weight: u64,
}

/// What operators say of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// The service's name, for logs.
    pub name: String,
    /// The path that tells an endpoint's health and load.
    pub health: String,
    /// Connections that one endpoint takes from all hosts together.
    pub connections: u32,
    /// How long an endpoint is cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold endpoint bears from all hosts together.
    pub cold_rate: f64,
}

/// What callers may send, and how long they may take.
#[value]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_size: usize,
    /// The largest body of a request, in bytes.
    pub body_size: u64,
    /// How long the head of a request may take.
    pub head_time: Duration,
    /// How long a connection may lie idle.
    pub idle_time: Duration,
}

/// Everything that the operators say at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The catalogue in force, none before the first.
    pub catalogue: Option<Catalogue>,
    /// Data centres whose endpoints get no request.
    pub leaving_centres: BTreeSet<DataCentreKey>,
}

impl Catalogue {
    /// Returns the route of a request: of those for `host`, the longest prefix of `path`.
    ///
    /// A port behind the host name doesn't count.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        self.routes.longest(&name.to_ascii_lowercase(), path)
    }
}

impl Route {
    fn place(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }

    /// Returns the service of one request, by `draw`, a number evenly drawn from all of `u64`.
    ///
    /// The draw is made anew for each request and never again for its repeats:
    /// a part short of room rejects its share rather than pressing it on the
    /// others, whose operators have planned for their own.
    pub fn pick_service(&self, draw: u64) -> Option<ServiceKey> {
        let total: u64 = self.weighted_services.iter().map(|p| p.weight).sum();
        if total == 0 {
            return None;
        }
        let mut at = draw % total;
        for part in &self.weighted_services {
            if at < part.weight {
                return Some(part.service);
            }
            at -= part.weight;
        }
        None
    }
}

impl OperatorConfig {
    /// Takes over `catalogue` where it is newer than what is in force.
    ///
    /// The store may hand out records that it had forgotten, or a write that it
    /// carried out late. Going back would serve callers by routes that their
    /// operators have dropped.
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
