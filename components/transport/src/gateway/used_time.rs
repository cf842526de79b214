//! Counts a request's objective from its caller's first attempt.

use std::time::Duration;

use hyper::HeaderMap;
use state::Moment;
use state::routing::Route;

use super::Gateway;

impl Gateway {
    /// Returns the moment until which an answer has its full value to the caller.
    ///
    /// A caller that comes back after a refusal has used a part of its time. Where client
    /// accounts compete, that part counts, or late requests would go before those in time.
    pub(super) fn objective(&self, route: &Route, headers: &HeaderMap, arrived: Moment) -> Moment {
        let used = match self.has_accounts() {
            true => self.time_used(route, headers),
            false => Duration::ZERO,
        };
        arrived + route.objective - used
    }

    /// Returns the estimated time that the caller has used before this request.
    ///
    /// No estimate exists yet: each request counts as a first attempt.
    fn time_used(&self, _route: &Route, _headers: &HeaderMap) -> Duration {
        Duration::ZERO
    }

    /// Returns whether the configuration has client accounts.
    pub(super) fn has_accounts(&self) -> bool {
        let config = self.config.borrow();
        let catalogue = config.catalogue.as_ref();
        catalogue.is_some_and(|c| c.accounts.is_some())
    }
}
