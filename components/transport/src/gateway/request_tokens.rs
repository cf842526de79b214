//! The tokens of an account's quota that one request takes, one for each run.

use std::cell::Cell;
use std::time::Duration;

use coordination::quota::contention::TokenRequest;
use state::routing::Route;
use state::{AccountKey, Moment};

use super::Gateway;

/// The account whose quota a request uses, and what the request needs to be in time.
#[derive(Clone, Copy)]
pub(super) struct QuotaRequest {
    account: AccountKey,
    request: TokenRequest,
}

/// The tokens that a request has taken.
///
/// Tokens of attempts that didn't run are given back when the request ends.
pub(super) struct RequestTokens<'a> {
    gateway: &'a Gateway,
    /// None for a request without an account, or whose token another host has taken.
    quota: Option<QuotaRequest>,
    may_have_run: &'a Cell<u32>,
    taken: Cell<u32>,
}

impl<'a> RequestTokens<'a> {
    /// Takes the token for the first attempt.
    ///
    /// `may_have_run` is the number of attempts that may have run.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry if the quota is used up.
    pub async fn take_first(
        gateway: &'a Gateway,
        quota: Option<QuotaRequest>,
        may_have_run: &'a Cell<u32>,
    ) -> Result<RequestTokens<'a>, Duration> {
        let tokens = RequestTokens {
            gateway,
            quota,
            may_have_run,
            taken: Cell::new(0),
        };
        tokens.take().await?;
        Ok(tokens)
    }

    /// Takes a token for a further attempt, if all others may have run; returns whether the
    /// attempt may be sent.
    pub async fn take_further(&self) -> bool {
        self.taken.get() > self.may_have_run.get() || self.take().await.is_ok()
    }

    async fn take(&self) -> Result<(), Duration> {
        if let Some(quota) = self.quota {
            self.gateway
                .take_quota(quota.account, quota.request)
                .await?;
        }
        self.taken.set(self.taken.get() + 1);
        Ok(())
    }
}

impl Drop for RequestTokens<'_> {
    fn drop(&mut self) {
        if let Some(quota) = self.quota {
            let unused = self.taken.get().saturating_sub(self.may_have_run.get());
            self.gateway.return_quota(quota.account, unused);
        }
    }
}

impl Gateway {
    /// Returns the use of a quota by a request that arrived at `arrived`, whose caller
    /// has used this time before; none for an account without a quota.
    pub(super) fn quota_request(
        &self,
        account: AccountKey,
        route: &Route,
        arrived: Moment,
        used: Duration,
    ) -> Option<QuotaRequest> {
        self.quota_limit(account)?;
        let service_time = self.with_service_time(route, |time| time.estimate());
        // A request that was late from the start has a latest start before its arrival.
        let slack = route.objective.checked_sub(used + service_time);
        let request = slack.map_or(TokenRequest::LATE, |slack| TokenRequest {
            latest_start: arrived + slack,
        });
        Some(QuotaRequest { account, request })
    }
}
