//! What one host wants and places by flow, and which flows it holds back.

use std::collections::BTreeMap;
use std::time::Duration;

use state::{Moment, ServiceKey};

use super::{MAX_ROWS, ShareKey, ShareLimits, UsageReport, UsageRow};
use crate::quota::demand::Demand;

/// The time after the last request that waited, during which a host reports.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// The time whose credits a host may save up for a flow.
const CREDIT_TIME: Duration = Duration::from_millis(250);

/// The rate in requests per second below which a flow is forgotten.
const FORGOTTEN_RATE: f64 = 0.01;

/// The smallest rate in requests per second that a host may have placed for a limited flow.
///
/// After an outage nothing has been placed, so shares are zero; with all flows held at all
/// hosts nobody would find out that endpoints answer again. It also serves hosts at which all
/// requests of a flow are late, which don't count as wanted.
const MIN_CREDIT_RATE: f64 = 0.25;

/// The smallest rate that rates are divided by; a row may say zero.
const MIN_RATE: f64 = 1e-6;

/// The rates of one flow at this host.
#[derive(Clone, Copy, Debug)]
struct Usage {
    wanted: Demand,
    placed: Demand,
}

/// The requests that a flow may still have placed at this host.
#[derive(Clone, Copy, Debug)]
struct Credit {
    rate: f64,
    available: f64,
    updated: Moment,
}

impl Credit {
    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        let most = (self.rate * CREDIT_TIME.as_secs_f64()).max(1.0);
        self.available = (self.available + earned).min(most);
        self.updated = now;
    }

    /// Returns the time until a request may be placed.
    fn wait(&self, now: Moment) -> Duration {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        let lacking = 1.0 - self.available - earned;
        let seconds =
            (lacking / self.rate.max(MIN_RATE)).clamp(0.0, CREDIT_TIME.as_secs_f64() * 4.0);
        Duration::from_secs_f64(seconds)
    }
}

/// The state of one service.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    usage: BTreeMap<ShareKey, Usage>,
    waited_at: Option<Moment>,
    credits: BTreeMap<ShareKey, Credit>,
    /// The requests in time that wait at all hosts.
    waiting: u32,
    /// When the credits lapse.
    valid_until: Moment,
}

/// The state of one host that shares services with others.
#[derive(Clone, Debug, Default)]
pub struct HostShares {
    services: BTreeMap<ServiceKey, ServiceShares>,
}

impl HostShares {
    /// Counts a request that came and can be in time.
    pub fn count_wanted(&mut self, service: ServiceKey, key: ShareKey, now: Moment) {
        self.usage(service, key, now).wanted.count(1, now);
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count_placed(&mut self, service: ServiceKey, key: ShareKey, now: Moment) {
        self.usage(service, key, now).placed.count(1, now);
        let shares = self.services.entry(service).or_default();
        if let Some(credit) = shares.credits.get_mut(&key) {
            credit.refill(now);
            credit.available = (credit.available - 1.0).max(-1.0);
        }
    }

    fn usage(&mut self, service: ServiceKey, key: ShareKey, now: Moment) -> &mut Usage {
        let shares = self.services.entry(service).or_default();
        shares.usage.entry(key).or_insert_with(|| Usage {
            wanted: Demand::new(now),
            placed: Demand::new(now),
        })
    }

    /// Notes that a request waits for the service, so that the host reports.
    pub fn note_waiting(&mut self, service: ServiceKey, now: Moment) {
        self.services.entry(service).or_default().waited_at = Some(now);
    }

    /// Returns the services for which requests have waited lately.
    pub fn active(&self, now: Moment) -> Vec<ServiceKey> {
        let active = self.services.iter().filter(|(_, shares)| {
            let waited = shares.waited_at;
            waited.is_some_and(|at| now.since(at) <= ACTIVE_TIME)
        });
        active.map(|(service, _)| *service).collect()
    }

    /// Returns the report about a service, with the heaviest flows by use; `waiting` is the
    /// number of requests that wait and can be in time.
    pub fn report(&mut self, service: ServiceKey, waiting: u32, now: Moment) -> UsageReport {
        let shares = self.services.entry(service).or_default();
        let rows = shares.usage.iter().map(|(key, usage)| UsageRow {
            key: *key,
            wanted: usage.wanted.rate(now),
            placed: usage.placed.rate(now),
        });
        let mut rows: Vec<UsageRow> = rows
            .filter(|r| r.wanted.max(r.placed) >= FORGOTTEN_RATE)
            .collect();
        rows.sort_by(|a, b| (b.wanted + b.placed).total_cmp(&(a.wanted + a.placed)));
        rows.truncate(MAX_ROWS);
        UsageReport {
            service,
            waiting,
            rows,
        }
    }

    /// Takes in the limits of a service, which lapse after `lifetime`.
    pub fn limits_received(&mut self, limits: &ShareLimits, lifetime: Duration, now: Moment) {
        let shares = self.services.entry(limits.service).or_default();
        let old = std::mem::take(&mut shares.credits);
        for row in &limits.rows {
            let usage = shares.usage.get(&row.key);
            let own = usage.map_or(0.0, |u| u.wanted.rate(now));
            let part = (own / row.wanted.max(MIN_RATE)).clamp(0.0, 1.0);
            // With nothing at first, a flow that is limited only now and then would be held
            // for up to a second each time.
            let mut credit = old.get(&row.key).copied().unwrap_or(Credit {
                rate: 0.0,
                available: 1.0,
                updated: now,
            });
            credit.refill(now);
            credit.rate = (row.share * part).max(MIN_CREDIT_RATE);
            shares.credits.insert(row.key, credit);
        }
        shares.waiting = limits.waiting;
        shares.valid_until = now + lifetime;
    }

    /// Returns the time until a request of the flow may be placed, `None` if it may be now.
    pub fn held_for(&self, service: ServiceKey, key: ShareKey, now: Moment) -> Option<Duration> {
        let shares = self.services.get(&service)?;
        let credit = shares.credits.get(&key)?;
        let wait = credit.wait(now);
        (now < shares.valid_until && wait > Duration::ZERO).then_some(wait)
    }

    /// Returns whether requests in time wait for the service at any host.
    pub fn is_contended(&self, service: ServiceKey, now: Moment) -> bool {
        let shares = self.services.get(&service);
        shares.is_some_and(|s| now < s.valid_until && s.waiting > 0)
    }

    /// Drops flows that send hardly any requests, and limits that have lapsed.
    pub fn expire(&mut self, now: Moment) {
        self.services.retain(|_, shares| {
            shares.usage.retain(|_, usage| {
                usage.wanted.rate(now).max(usage.placed.rate(now)) >= FORGOTTEN_RATE
            });
            if now >= shares.valid_until {
                shares.credits.clear();
            }
            !shares.usage.is_empty() || !shares.credits.is_empty()
        });
    }
}
