//! Services whose endpoints this host doesn't reach.

use state::ServiceKey;

use super::Gateway;

impl Gateway {
    /// Logs that this host has become isolated from a service, or isn't any more.
    ///
    /// `seen` names how the last outcome was seen.
    pub(super) fn log_isolation(&self, service: ServiceKey, was_isolated: bool, seen: &str) {
        let registry = self.registry.borrow();
        let isolated = registry.is_isolated(service);
        if isolated == was_isolated {
            return;
        }
        let route = self.route_to(service);
        match isolated {
            true => {
                let failures = registry.isolation(service).map_or(0, |i| i.failures());
                log::warn!(
                    "E0160 service-unreachable route={route} failed={failures} of={} seen={seen}",
                    registry.endpoints_of(service).count()
                );
            }
            false => log::info!("E0161 service-reachable route={route} seen={seen}"),
        }
    }

    /// Returns the name of a route that leads to a service, by which operators know it.
    fn route_to(&self, service: ServiceKey) -> String {
        let config = self.config.borrow();
        let mut routes = config.catalogue.iter().flat_map(|c| c.routes.iter());
        let route = routes.find(|r| r.weighted_services.iter().any(|s| s.service == service));
        route.map_or_else(|| "-".to_owned(), |r| r.name.clone())
    }
}
