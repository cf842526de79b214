//! Which requests get the tokens of an account that asks for more than its quota.
//!
//! Designed for an account that asks for several times its quota while its refused callers
//! retry at other hosts. Prevents late retries from taking tokens that first attempts could use
//! in time, and claims for tokens that aren't there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use state::Moment;
use state::accounts::QuotaLimit;
use state::fleet::QuotaBucket;

use super::home::Claim;

/// The longest time for which a host need not ask.
///
/// Bounds how long tokens stay unused after a home is lost or the account's load has fallen. The
/// shortest objective in use is 250 ms, so that a request refused meanwhile may still be in time.
pub const MAX_NONE_FOR: Duration = Duration::from_millis(200);

/// How long requests yield after one that could be in time found the bucket short.
const CONTENTION_TTL: Duration = Duration::from_millis(500);

/// How long a host counts among those that ask.
///
/// Longer than `MAX_NONE_FOR`, after which a host that still has requests asks again.
const ASKER_TTL: Duration = Duration::from_millis(500);

/// The time for whose tokens a bucket is short: what requests in time take while a grant
/// travels and its host's next request comes.
const SHORT_TIME: Duration = Duration::from_millis(50);

/// The fraction of the quota that yielding requests get in any case.
const LATE_FRACTION: f64 = 0.02;

/// The multiple of the level below which tokens are short from which yielding requests get some.
///
/// Near the level itself they took the tokens that hosts were about to ask for.
const LEFT_OVER_FACTOR: f64 = 3.0;

/// Whether a request can still be answered within its objective, from its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It can.
    InTime,
    /// It can't.
    Late,
}

/// A request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// The latest time at which the request can start at an endpoint and be in time, counted
    /// from its caller's first attempt.
    pub latest_start: Moment,
}

impl TokenRequest {
    /// A request that was late from the start.
    pub const LATE: TokenRequest = TokenRequest {
        latest_start: Moment::from_millis(0),
    };

    /// Returns whether the request can still be in time.
    ///
    /// Inferred from what callers announce: it may only decide who yields to others.
    pub fn urgency(&self, now: Moment) -> Urgency {
        match now <= self.latest_start {
            true => Urgency::InTime,
            false => Urgency::Late,
        }
    }
}

/// Requests that a host refused without asking.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// Those that could be in time.
    pub in_time: u32,
    /// Those that couldn't.
    pub late: u32,
}

impl Refused {
    /// Counts a request.
    pub fn count(&mut self, urgency: Urgency) {
        let count = match urgency {
            Urgency::InTime => &mut self.in_time,
            Urgency::Late => &mut self.late,
        };
        *count = count.saturating_add(1);
    }

    /// Returns the number of all requests.
    pub fn total(&self) -> u32 {
        self.in_time.saturating_add(self.late)
    }
}

/// The competition for one account's tokens at its home.
#[derive(Clone, Debug)]
pub struct Contention {
    /// Until when requests that can't be in time yield.
    until: Moment,
    /// What yielding requests get in any case.
    late: Option<QuotaBucket>,
    /// The hosts that asked while tokens were short, and when.
    askers: BTreeMap<SocketAddr, Moment>,
}

impl Contention {
    /// Returns the state of an account without competition.
    pub fn new(now: Moment) -> Contention {
        Contention {
            until: now,
            late: None,
            askers: BTreeMap::new(),
        }
    }

    /// Takes tokens from the bucket for a claim; returns how many.
    pub fn take(
        &mut self,
        bucket: &mut QuotaBucket,
        limit: QuotaLimit,
        claim: &Claim,
        now: Moment,
    ) -> u32 {
        if claim.urgency == Urgency::InTime {
            let tokens = bucket.take(1, claim.wanted, now);
            if is_short(bucket, limit, now) {
                self.until = now + CONTENTION_TTL;
            }
            return tokens;
        }
        let level = bucket.level(now);
        let is_left = now >= self.until || level >= left_over_level(limit);
        // It grows from the first late claim on, and is spent only if there is a token.
        let allowance = self.late_allowance(limit, now);
        let is_granted = level >= 1.0 && (is_left || allowance.take(1, 1, now) > 0);
        match is_granted {
            true => bucket.take(1, 1, now),
            false => 0,
        }
    }

    /// Returns what yielding requests get in any case.
    fn late_allowance(&mut self, limit: QuotaLimit, now: Moment) -> &mut QuotaBucket {
        let limit = QuotaLimit {
            rate: limit.rate * LATE_FRACTION,
            burst: 1.0,
        };
        let bucket = self
            .late
            .get_or_insert_with(|| QuotaBucket::new(limit, 0.0, now));
        bucket.set_limit(limit, now);
        bucket
    }

    /// Returns how long the sender need not ask again, after `tokens` were granted.
    ///
    /// Each of the hosts that ask gets one token in the time in which one comes for each.
    /// Tokens that they leave stay in the bucket, for hosts that ask seldom; once it is no
    /// longer short, all hosts ask for each request.
    pub fn none_for(
        &mut self,
        bucket: &mut QuotaBucket,
        limit: QuotaLimit,
        claim: &Claim,
        tokens: u32,
        now: Moment,
    ) -> Duration {
        if !is_short(bucket, limit, now) {
            return Duration::ZERO;
        }
        match claim.urgency {
            Urgency::Late if tokens > 0 => Duration::ZERO,
            Urgency::Late if now < self.until => MAX_NONE_FOR,
            Urgency::Late => bucket.wait(0.0).min(MAX_NONE_FOR),
            Urgency::InTime => {
                self.forget(now);
                self.askers.insert(claim.sender, now);
                let time = self.askers.len() as f64 / limit.rate;
                Duration::try_from_secs_f64(time).map_or(MAX_NONE_FOR, |t| t.min(MAX_NONE_FOR))
            }
        }
    }

    /// Drops the hosts that have not asked of late.
    pub fn forget(&mut self, now: Moment) {
        self.askers.retain(|_, at| now.since(*at) < ASKER_TTL);
    }
}

/// Returns the level below which a bucket is short of tokens.
fn low_level(limit: QuotaLimit) -> f64 {
    (limit.rate * SHORT_TIME.as_secs_f64())
        .min(limit.burst / 4.0)
        .max(1.0)
}

/// Returns the level from which tokens are left over for requests that yield.
fn left_over_level(limit: QuotaLimit) -> f64 {
    (low_level(limit) * LEFT_OVER_FACTOR + 1.0).min(limit.burst)
}

fn is_short(bucket: &mut QuotaBucket, limit: QuotaLimit, now: Moment) -> bool {
    bucket.level(now) < low_level(limit)
}
