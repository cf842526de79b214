//! The home of an account's quota in one data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use state::accounts::QuotaLimit;
use state::fleet::QuotaBucket;
use state::{AccountKey, DataCentreKey, Moment};

use super::contention::{Contention, Refused, Urgency};
use super::demand::Demand;
use super::{DemandEntry, DemandReport, USED_SLACK};

/// How long the demand of another data centre counts after it was last heard of.
const DEMAND_TTL: Duration = Duration::from_secs(20);

/// The demand that each data centre is credited with, as a fraction of the quota's rate.
///
/// Without it a data centre where the first caller of an account appears would have no
/// share until its demand has become known elsewhere.
const BASE_DEMAND: f64 = 0.05;

/// The rate of grants of a host that isn't the first choice of home, as a fraction.
///
/// The first choice may still be granting tokens to hosts that reach it.
const SECOND_FRACTION: f64 = 0.5;

/// The time over which refused requests are counted, for the time at which they return.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// The shortest time after which a refused caller is told to return.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The longest time after which a refused caller is told to return.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The data centres that share the quotas with this one.
#[derive(Clone, Debug, Default)]
pub struct Centres {
    /// The other data centres with known hosts.
    pub others: Vec<DataCentreKey>,
}

/// A request for tokens.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The account.
    pub account: AccountKey,
    /// The account's quota over all hosts.
    pub limit: QuotaLimit,
    /// The tokens that the sender can use now or soon; the first is for a waiting request.
    pub wanted: u32,
    /// Whether this host is the first choice of home.
    pub is_first: bool,
    /// The host that asks.
    pub sender: SocketAddr,
    /// Whether the waiting request can still be in time.
    pub urgency: Urgency,
    /// Requests that the sender refused by itself since its last claim.
    pub refused: Refused,
}

impl Claim {
    /// Returns the claim for another transmission, which doesn't count refused requests again.
    pub fn repeated(self) -> Claim {
        Claim {
            refused: Refused::default(),
            ..self
        }
    }
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The tokens granted; none if the quota is used up.
    pub tokens: u32,
    /// How long until a token can be expected for a refused request of this urgency; zero if
    /// the account has room.
    pub retry_after: Duration,
    /// How long until the account has room for all refused requests; zero if the home doesn't
    /// tell, or it has room.
    pub room_after: Duration,
    /// How long the host need not ask again for requests of this or a lower urgency.
    pub none_for: Duration,
}

/// The demand of another data centre.
#[derive(Clone, Copy, Debug)]
struct RemoteDemand {
    rate: f64,
    at: Moment,
}

/// One account at its home.
#[derive(Clone, Debug)]
struct HomeAccount {
    /// None until the first request for tokens.
    bucket: Option<QuotaBucket>,
    demand: Demand,
    /// The demand of this data centre that the others were last told.
    reported: Option<f64>,
    remote: BTreeMap<DataCentreKey, RemoteDemand>,
    refused: Demand,
    /// Those of the refused requests that could have been in time.
    refused_in_time: Demand,
    contention: Contention,
    used: Moment,
    usage: QuotaUsage,
}

/// What one home granted and refused of an account's quota since it was last asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaUsage {
    /// Tokens granted.
    pub granted: u32,
    /// Tokens granted for requests that could be in time, those in advance included.
    pub granted_in_time: u32,
    /// Requests refused.
    pub refused: u32,
    /// Requests refused by the hosts that were told that there is nothing, part of `refused`.
    pub refused_locally: u32,
    /// Claims answered.
    pub claims: u32,
    /// This data centre's part of the quota, 0 to 1.
    pub part: f64,
}

/// The accounts whose home this host is, or has been.
#[derive(Clone, Debug)]
pub struct QuotaHomes {
    accounts: BTreeMap<AccountKey, HomeAccount>,
    /// Since when this host hears of most of its neighbours.
    member_since: Moment,
}

impl HomeAccount {
    fn new(now: Moment) -> HomeAccount {
        HomeAccount {
            bucket: None,
            demand: Demand::new(now),
            reported: None,
            remote: BTreeMap::new(),
            refused: Demand::new(now),
            refused_in_time: Demand::new(now),
            contention: Contention::new(now),
            used: now,
            usage: QuotaUsage::default(),
        }
    }

    /// Returns this data centre's part of a quota.
    ///
    /// All data centres divide the quota by the demand that they last told each other, so
    /// their parts add up to the quota. One that has not been heard of counts as if its
    /// demand were the same as here.
    fn part(&self, limit: QuotaLimit, centres: &Centres, now: Moment) -> f64 {
        let base = limit.rate * BASE_DEMAND;
        let own = self.reported.unwrap_or_else(|| self.demand.rate(now)) + base;
        let others = centres.others.iter().map(|centre| {
            let heard = self.remote.get(centre);
            let heard = heard.filter(|r| now.since(r.at) < DEMAND_TTL);
            heard.map_or(own, |r| r.rate + base)
        });
        own / (own + others.sum::<f64>())
    }

    /// Returns the limit of this data centre.
    fn limit(&self, claim: &Claim, centres: &Centres, slack: f64, now: Moment) -> QuotaLimit {
        let part = self.part(claim.limit, centres, now);
        let count = (centres.others.len() + 1) as f64;
        let factor = if claim.is_first { 1.0 } else { SECOND_FRACTION };
        let slack = slack * USED_SLACK / count;
        let burst = match claim.is_first {
            true => claim.limit.burst * part + slack,
            // The first choice grants the burst, and may still do so.
            false => slack.max(1.0),
        };
        // With less than one token at once, no data centre could grant any.
        let is_largest = part * count >= 1.0;
        QuotaLimit {
            rate: claim.limit.rate * part * factor,
            burst: if is_largest { burst.max(1.0) } else { burst },
        }
    }

    /// Counts an answered claim, and the requests that its sender refused before.
    fn count(&mut self, claim: &Claim, tokens: u32, now: Moment) {
        let is_refused = u32::from(tokens == 0);
        let is_in_time = claim.urgency == Urgency::InTime;
        let locally = claim.refused.total();
        self.demand
            .count(tokens.max(1).saturating_add(locally), now);
        let refused = locally.saturating_add(is_refused);
        self.refused.count(refused, now);
        let in_time = is_refused * u32::from(is_in_time);
        self.refused_in_time
            .count(claim.refused.in_time.saturating_add(in_time), now);
        let usage = &mut self.usage;
        usage.claims += 1;
        usage.granted += tokens;
        usage.granted_in_time += tokens * u32::from(is_in_time);
        usage.refused = usage.refused.saturating_add(refused);
        usage.refused_locally = usage.refused_locally.saturating_add(locally);
    }
}

impl QuotaHomes {
    /// Returns the state of a host that starts at `now`.
    pub fn new(now: Moment) -> QuotaHomes {
        QuotaHomes {
            accounts: BTreeMap::new(),
            member_since: now,
        }
    }

    /// Notes that this host doesn't hear of most of its neighbours.
    pub fn cut_off(&mut self, now: Moment) {
        self.member_since = now;
    }

    /// Grants tokens of an account's quota.
    ///
    /// `slack` is the number of requests by which all hosts together may exceed a quota.
    pub fn grant(&mut self, claim: &Claim, centres: &Centres, slack: f64, now: Moment) -> Grant {
        let account = self
            .accounts
            .entry(claim.account)
            .or_insert_with(|| HomeAccount::new(now));
        account.used = now;
        let limit = account.limit(claim, centres, slack, now);
        let since = self.member_since;
        let bucket = account
            .bucket
            .get_or_insert_with(|| first_bucket(limit, since, now));
        bucket.set_limit(limit, now);
        let tokens = account.contention.take(bucket, limit, claim, now);
        let refusals = match claim.urgency {
            Urgency::InTime => &account.refused_in_time,
            Urgency::Late => &account.refused,
        };
        let wait = |refused: &Demand| {
            let wait = bucket.wait(refused.rate(now) * REFUSAL_WINDOW.as_secs_f64());
            wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
        };
        let waits = (wait(refusals), wait(&account.refused));
        let none_for = account
            .contention
            .none_for(bucket, limit, claim, tokens, now);
        account.usage.part = account.part(claim.limit, centres, now);
        account.count(claim, tokens, now);
        let (retry_after, room_after) = match tokens > 0 && none_for.is_zero() {
            true => (Duration::ZERO, Duration::ZERO),
            false => waits,
        };
        Grant {
            tokens,
            retry_after,
            room_after,
            none_for,
        }
    }

    /// Takes in the demand of another data centre.
    pub fn demand_reported(&mut self, report: &DemandReport, now: Moment) {
        for entry in &report.entries {
            let account = self
                .accounts
                .entry(entry.account)
                .or_insert_with(|| HomeAccount::new(now));
            if entry.demand > 0.0 {
                account.used = now;
            }
            let remote = RemoteDemand {
                rate: entry.demand,
                at: now,
            };
            account.remote.insert(report.centre, remote);
        }
    }

    /// Returns the demand here that the other data centres have to be told.
    ///
    /// Called at a fixed interval; `is_first` tells for which accounts this host is the first
    /// choice of home. The others' buckets are drained: while this host was cut off or passed
    /// over they filled up, and another host granted the quota. Their demand isn't told, since
    /// it would replace that of their present home. Accounts without demand anywhere are
    /// forgotten.
    pub fn report(
        &mut self,
        is_first: impl Fn(AccountKey) -> bool,
        now: Moment,
    ) -> Vec<DemandEntry> {
        self.accounts
            .retain(|_, account| now.since(account.used) < DEMAND_TTL);
        let mut entries = Vec::with_capacity(self.accounts.len());
        for (key, account) in &mut self.accounts {
            account.contention.forget(now);
            if !is_first(*key) {
                account.bucket.iter_mut().for_each(|b| b.drain(now));
                account.reported = None;
                continue;
            }
            let demand = match account.demand.rate(now) {
                rate if rate < MIN_DEMAND => 0.0,
                rate => rate,
            };
            account.reported = Some(demand);
            entries.push(DemandEntry {
                account: *key,
                demand,
            });
        }
        entries
    }

    /// Returns the accounts that had requests refused since the last call, the most refused
    /// first, and starts counting anew.
    pub fn take_usage(&mut self) -> Vec<(AccountKey, QuotaUsage)> {
        let all = self.accounts.iter_mut();
        let all = all.map(|(key, account)| (*key, std::mem::take(&mut account.usage)));
        let mut refused: Vec<(AccountKey, QuotaUsage)> =
            all.filter(|(_, usage)| usage.refused > 0).collect();
        refused.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.refused));
        refused
    }

    /// Returns whether this host is home of any account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// A lower demand counts as none, in requests per second.
const MIN_DEMAND: f64 = 0.01;

/// Returns the bucket of an account whose first request has come.
///
/// It has filled up since this host is a member, whichever account comes first. A host that
/// has just started has nothing: an earlier home, or this host before it was killed, may have
/// granted the burst a moment ago, and hosts may be killed again and again.
fn first_bucket(limit: QuotaLimit, since: Moment, now: Moment) -> QuotaBucket {
    let mut bucket = QuotaBucket::new(limit, 0.0, since);
    bucket.set_limit(limit, now);
    bucket
}
