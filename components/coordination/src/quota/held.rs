//! The tokens that a host holds of each account's quota.

use std::collections::BTreeMap;
use std::time::Duration;

use state::accounts::QuotaLimit;
use state::fleet::QuotaBucket;
use state::{AccountKey, Moment};

use super::demand::Demand;
use super::reserve;

/// How long tokens that were taken in advance remain valid.
///
/// Kept for longer, they would be used in the same window as tokens of a later one.
const TOKEN_TTL: Duration = Duration::from_secs(1);

/// The time for whose requests a host takes tokens in advance.
const PREFETCH: Duration = Duration::from_millis(250);

/// How long a host is passed over as home after it did not answer.
const FAILURE_TTL: Duration = Duration::from_secs(1);

/// How long a reserve lasts after it was last used.
const RESERVE_TTL: Duration = Duration::from_secs(2);

/// What a host holds of one account's quota.
#[derive(Clone, Debug)]
struct Held {
    tokens: u32,
    expires: Moment,
    demand: Demand,
    /// Until when the first choice of home is passed over.
    failed_until: Moment,
    reserve: Option<QuotaBucket>,
    /// When the reserve was last asked for a token.
    reserve_used: Moment,
}

impl Held {
    fn new(now: Moment) -> Held {
        Held {
            tokens: 0,
            expires: now,
            demand: Demand::new(now),
            failed_until: now,
            reserve: None,
            reserve_used: now,
        }
    }
}

/// The tokens that this host holds, by account.
#[derive(Clone, Debug, Default)]
pub struct HeldTokens {
    accounts: BTreeMap<AccountKey, Held>,
}

impl HeldTokens {
    fn of(&mut self, account: AccountKey, now: Moment) -> &mut Held {
        self.accounts
            .entry(account)
            .or_insert_with(|| Held::new(now))
    }

    /// Counts a request, for the number of tokens taken in advance.
    pub fn count(&mut self, account: AccountKey, now: Moment) {
        self.of(account, now).demand.count(1, now);
    }

    /// Takes a token that this host holds; returns whether there was one.
    pub fn take(&mut self, account: AccountKey, now: Moment) -> bool {
        let held = self.of(account, now);
        if now >= held.expires {
            held.tokens = 0;
        }
        let had = held.tokens > 0;
        held.tokens -= u32::from(had);
        had
    }

    /// Adds tokens: granted ones, or those of requests that weren't sent.
    pub fn add(&mut self, account: AccountKey, tokens: u32, now: Moment) {
        let held = self.of(account, now);
        if now >= held.expires {
            held.tokens = 0;
        }
        held.tokens += tokens;
        held.expires = now + TOKEN_TTL;
    }

    /// Returns how many tokens this host wants, the one for the next request included.
    pub fn wanted(&mut self, account: AccountKey, now: Moment) -> u32 {
        let rate = self.of(account, now).demand.rate(now);
        1 + (rate * PREFETCH.as_secs_f64()) as u32
    }

    /// Notes that the first choice of home didn't answer.
    pub fn home_failed(&mut self, account: AccountKey, now: Moment) {
        self.of(account, now).failed_until = now + FAILURE_TTL;
    }

    /// Returns whether the first choice of home failed to answer a moment ago.
    pub fn has_failed(&mut self, account: AccountKey, now: Moment) -> bool {
        now < self.of(account, now).failed_until
    }

    /// Takes a token from this host's own reserve, if it can reach no home.
    ///
    /// `share` is the host's share of all hosts, 0 to 1. Returns the time until there is a
    /// token if there is none.
    ///
    /// # Errors
    ///
    /// Returns the time until the reserve has a token.
    pub fn take_reserve(
        &mut self,
        account: AccountKey,
        limit: QuotaLimit,
        share: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let limit = reserve(limit, share);
        let held = self.of(account, now);
        // Tokens saved while the homes grant the quota would be a second burst.
        if now.since(held.reserve_used) > RESERVE_TTL {
            held.reserve = None;
        }
        held.reserve_used = now;
        let bucket = held
            .reserve
            .get_or_insert_with(|| QuotaBucket::new(limit, 0.0, now));
        bucket.set_limit(limit, now);
        match bucket.take(1, 1, now) {
            0 => Err(bucket.wait(0.0)),
            _ => Ok(()),
        }
    }

    /// Drops the accounts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(AccountKey) -> bool) {
        self.accounts.retain(|account, _| keep(*account));
    }
}
