//! The tokens of an account's quota that one request takes, one for each run.

use std::cell::Cell;
use std::time::Duration;

use coordination::quota::contention::Urgency;
use state::routing::Route;
use state::{AccountKey, Moment};

use super::Gateway;
use crate::clock;

/// The account whose quota pays for a request, and what it needs to be in time.
#[derive(Clone, Copy)]
pub(super) struct Payer {
    account: AccountKey,
    /// The latest time at which the request can start at an endpoint and be in time, counted
    /// from its caller's first attempt.
    latest_start: Moment,
}

impl Payer {
    /// Returns whether the request can still be in time.
    ///
    /// Inferred from what callers announce: it may only decide who yields to others.
    fn urgency(&self, now: Moment) -> Urgency {
        match now <= self.latest_start {
            true => Urgency::InTime,
            false => Urgency::Late,
        }
    }
}

/// The tokens that a request has taken.
///
/// Tokens of attempts that didn't run are given back when the request ends.
pub(super) struct RequestTokens<'a> {
    gateway: &'a Gateway,
    /// None for a request without an account, or whose token another host has taken.
    payer: Option<Payer>,
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
        payer: Option<Payer>,
        may_have_run: &'a Cell<u32>,
    ) -> Result<RequestTokens<'a>, Duration> {
        let tokens = RequestTokens {
            gateway,
            payer,
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
        if let Some(payer) = self.payer {
            let urgency = payer.urgency(clock::now());
            self.gateway.take_quota(payer.account, urgency).await?;
        }
        self.taken.set(self.taken.get() + 1);
        Ok(())
    }
}

impl Drop for RequestTokens<'_> {
    fn drop(&mut self) {
        if let Some(payer) = self.payer {
            let unused = self.taken.get().saturating_sub(self.may_have_run.get());
            self.gateway.return_quota(payer.account, unused);
        }
    }
}

impl Gateway {
    /// Returns who pays for a request that arrived at `arrived` with this time left.
    pub(super) fn payer(
        &self,
        account: AccountKey,
        route: &Route,
        arrived: Moment,
        used: Duration,
    ) -> Payer {
        let service_time = self.with_service_time(route, |time| time.estimate());
        // A request that was late from the start has a latest start before its arrival.
        let slack = route.objective.checked_sub(used + service_time);
        Payer {
            account,
            latest_start: slack.map_or(Moment::from_millis(0), |slack| arrived + slack),
        }
    }
}
