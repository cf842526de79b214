//! Counts a request's objective from its caller's first attempt.

use std::time::Duration;

use state::AccountKey;
use state::routing::Route;

use super::Gateway;

impl Gateway {
    /// Returns the estimated time that a caller has used before this request, which announces
    /// that it waits for `left`.
    ///
    /// Called once for each request, since it takes in what the request announces. Zero for a
    /// request without an account.
    pub(super) fn time_used(
        &self,
        route: &Route,
        left: Duration,
        account: Option<AccountKey>,
    ) -> Duration {
        let mut times = self.announced_times.borrow_mut();
        account.map_or(Duration::ZERO, |a| times.note(a, &route.name, left))
    }

    /// Returns whether the configuration has client accounts.
    pub(super) fn has_accounts(&self) -> bool {
        let config = self.config.borrow();
        let catalogue = config.catalogue.as_ref();
        catalogue.is_some_and(|c| c.accounts.is_some())
    }
}
