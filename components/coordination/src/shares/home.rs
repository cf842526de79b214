//! Computes the shares of a service's flows from the reports of a data centre's hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use state::{Moment, ServiceKey};

use super::{LimitRow, MAX_ROWS, ShareKey, ShareLimits, UsageReport, max_min_level};

/// The factor on the rate of placed requests that is taken for the capacity.
///
/// Capacity is only known by what was placed. Without a margin, limits would keep it from
/// being found out that endpoints have become faster.
const HEADROOM: f64 = 1.1;

/// The part of the capacity that each priority can use, however much more urgent ones want.
const MIN_PART: f64 = 0.02;

/// The part of the lifetime of reports for which computed limits are used.
const CACHE_FRACTION: f64 = 0.1;

/// The newest report of one host.
#[derive(Clone, Debug)]
struct Received {
    report: UsageReport,
    at: Moment,
}

/// Limits that were computed lately.
#[derive(Clone, Debug)]
struct Computed {
    limits: ShareLimits,
    at: Moment,
}

/// The reports about one service.
#[derive(Clone, Debug, Default)]
struct ServiceReports {
    hosts: BTreeMap<SocketAddr, Received>,
    computed: Option<Computed>,
}

/// What all hosts want for one flow, and what they get.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    wanted: f64,
    placed: f64,
}

/// The state of a host as the home of services.
#[derive(Clone, Debug, Default)]
pub struct ShareHome {
    services: BTreeMap<ServiceKey, ServiceReports>,
}

impl ShareHome {
    /// Takes in a host's report and returns the limits for it; reports lapse after `lifetime`.
    pub fn report_received(
        &mut self,
        from: SocketAddr,
        report: UsageReport,
        lifetime: Duration,
        now: Moment,
    ) -> ShareLimits {
        let service = report.service;
        let reports = self.services.entry(service).or_default();
        reports.hosts.insert(from, Received { report, at: now });
        let max_age = lifetime.mul_f64(CACHE_FRACTION);
        let cached = reports.computed.as_ref();
        if let Some(computed) = cached.filter(|c| now.since(c.at) < max_age) {
            return computed.limits.clone();
        }
        reports.hosts.retain(|_, r| now.since(r.at) <= lifetime);
        let limits = compute(service, reports.hosts.values().map(|r| &r.report));
        reports.computed = Some(Computed {
            limits: limits.clone(),
            at: now,
        });
        limits
    }

    /// Drops services about which no host has reported for `lifetime`.
    pub fn expire(&mut self, lifetime: Duration, now: Moment) {
        self.services.retain(|_, reports| {
            let mut hosts = reports.hosts.values();
            hosts.any(|r| now.since(r.at) <= lifetime)
        });
    }
}

fn compute<'a>(service: ServiceKey, reports: impl Iterator<Item = &'a UsageReport>) -> ShareLimits {
    let mut totals: BTreeMap<ShareKey, Total> = BTreeMap::new();
    let mut waiting = 0u32;
    for report in reports {
        waiting = waiting.saturating_add(report.waiting);
        for row in &report.rows {
            let total = totals.entry(row.key).or_default();
            total.wanted += row.wanted;
            total.placed += row.placed;
        }
    }
    let mut rows = limit_rows(&totals);
    rows.sort_by(|a, b| b.wanted.total_cmp(&a.wanted));
    rows.truncate(MAX_ROWS);
    ShareLimits {
        service,
        waiting,
        rows,
    }
}

/// Returns the limits of all flows that want more than their share, the most urgent
/// priority served first.
fn limit_rows(totals: &BTreeMap<ShareKey, Total>) -> Vec<LimitRow> {
    let capacity = totals.values().map(|t| t.placed).sum::<f64>() * HEADROOM;
    let mut priorities: Vec<u32> = totals.keys().map(|key| key.priority).collect();
    priorities.dedup();
    let mut left = capacity;
    let mut rows = Vec::new();
    for priority in priorities {
        let class = || totals.iter().filter(|(key, _)| key.priority == priority);
        let level = max_min_level(
            left.max(capacity * MIN_PART),
            class().map(|(_, total)| total.wanted),
        );
        left -= class().map(|(_, t)| t.wanted.min(level)).sum::<f64>();
        let limited = class().filter(|(_, total)| total.wanted > level);
        rows.extend(limited.map(|(key, total)| LimitRow {
            key: *key,
            share: level,
            wanted: total.wanted,
        }));
    }
    rows
}
