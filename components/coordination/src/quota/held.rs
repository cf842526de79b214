//! The tokens that a host holds of each account's quota.

use std::collections::BTreeMap;
use std::time::Duration;

use state::accounts::QuotaLimit;
use state::fleet::QuotaBucket;
use state::{AccountKey, Moment};

use super::contention::{MAX_NONE_FOR, Refused, TokenRequest, Urgency};
use super::demand::Demand;
use super::home::Grant;
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

/// The remaining validity below which any request may use a token.
const LAST_USE: Duration = Duration::from_millis(250);

/// The shortest time after which a refused caller is told to return.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long refused requests are counted; the home estimates the demand of the last second.
const REFUSED_TTL: Duration = Duration::from_secs(1);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run; it has a token.
    Run,
    /// The home has to be asked.
    Ask,
    /// The request is refused; its caller may return after this time.
    Refuse(Duration),
}

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
    /// Until when the home has nothing for requests that can be in time.
    none_until: Moment,
    /// Until when the home has nothing for requests that can't be in time.
    none_for_late_until: Moment,
    /// When a token can be expected for a request that can be in time, by the home's last answer
    /// to such a request.
    token_at: Moment,
    /// When the account has room for any request.
    room_at: Moment,
    /// Requests refused since the home was last asked.
    refused: Refused,
    /// When the first of them was refused.
    refused_since: Moment,
}

impl Held {
    /// Returns the time after which a refused caller should retry: when a token can be expected
    /// with which its request is in time, or else when the account has room.
    fn retry_after(&self, request: TokenRequest, now: Moment) -> Duration {
        let token_at = self.token_at.max(self.none_until);
        // Requests that can be in time get tokens first.
        let room_at = self.room_at.max(self.none_for_late_until).max(token_at);
        let at = match token_at <= request.latest_start {
            true => token_at,
            false => room_at,
        };
        now.until(at).max(MIN_RETRY_DELAY)
    }

    fn drop_old_refused(&mut self, now: Moment) {
        if now.since(self.refused_since) > REFUSED_TTL {
            self.refused = Refused::default();
        }
    }

    fn new(now: Moment) -> Held {
        Held {
            tokens: 0,
            expires: now,
            demand: Demand::new(now),
            failed_until: now,
            reserve: None,
            reserve_used: now,
            none_until: now,
            none_for_late_until: now,
            token_at: now,
            room_at: now,
            refused: Refused::default(),
            refused_since: now,
        }
    }
}

/// The tokens that this host holds, by account.
#[derive(Clone, Debug, Default)]
pub struct HeldTokens {
    accounts: BTreeMap<AccountKey, Held>,
    /// Tokens that were lost because no request came while they were valid.
    expired: u64,
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
        self.drop_expired(account, now);
        let held = self.of(account, now);
        let had = held.tokens > 0;
        held.tokens -= u32::from(had);
        had
    }

    /// Takes a token for a request; returns what to do.
    ///
    /// While the home has nothing for requests that can't be in time, they leave the tokens
    /// here to others, unless those are about to expire.
    pub fn decide(&mut self, account: AccountKey, request: TokenRequest, now: Moment) -> Decision {
        let urgency = request.urgency(now);
        self.count(account, now);
        self.drop_expired(account, now);
        let held = self.of(account, now);
        let none_until = match urgency {
            Urgency::InTime => held.none_until,
            Urgency::Late => held.none_for_late_until,
        };
        let is_yielding =
            urgency == Urgency::Late && now < none_until && now.until(held.expires) > LAST_USE;
        if held.tokens > 0 && !is_yielding {
            held.tokens -= 1;
            return Decision::Run;
        }
        if now >= none_until {
            return Decision::Ask;
        }
        held.drop_old_refused(now);
        if held.refused.total() == 0 {
            held.refused_since = now;
        }
        held.refused.count(urgency);
        Decision::Refuse(held.retry_after(request, now))
    }

    /// Returns the requests refused since the last call; none if they are older than a second.
    pub fn take_refused(&mut self, account: AccountKey, now: Moment) -> Refused {
        let held = self.of(account, now);
        held.drop_old_refused(now);
        std::mem::take(&mut held.refused)
    }

    /// Takes in the home's answer to a claim; returns whether the request may run.
    ///
    /// `urgency` is that of the request when the claim was made.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry.
    pub fn granted(
        &mut self,
        account: AccountKey,
        request: TokenRequest,
        urgency: Urgency,
        grant: Grant,
        now: Moment,
    ) -> Result<(), Duration> {
        let held = self.of(account, now);
        let until = now + grant.none_for.min(MAX_NONE_FOR);
        held.none_for_late_until = held.none_for_late_until.max(until);
        match urgency {
            Urgency::InTime => {
                held.none_until = until;
                held.token_at = now + grant.retry_after;
                held.room_at = now + grant.room_after.max(grant.retry_after);
            }
            Urgency::Late => held.room_at = now + grant.retry_after,
        }
        match grant.tokens {
            0 => Err(held.retry_after(request, now)),
            n => {
                self.add(account, n - 1, now);
                Ok(())
            }
        }
    }

    /// Adds tokens: granted ones, or those of requests that weren't sent.
    pub fn add(&mut self, account: AccountKey, tokens: u32, now: Moment) {
        self.drop_expired(account, now);
        let held = self.of(account, now);
        held.tokens = held.tokens.saturating_add(tokens);
        held.expires = now + TOKEN_TTL;
    }

    fn drop_expired(&mut self, account: AccountKey, now: Moment) {
        let held = self.of(account, now);
        if now >= held.expires {
            let lost = std::mem::take(&mut held.tokens);
            self.expired += u64::from(lost);
        }
    }

    /// Returns the tokens that expired unused so far.
    pub fn expired(&self) -> u64 {
        self.expired
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
