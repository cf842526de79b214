//! Divides a service's capacity among client accounts, over all hosts of a data centre.
//!
//! Designed for overload in which an account's callers come to many hosts and those of others
//! to few. With turns at each host alone, an account gets a turn at every host that its
//! callers are connected to, and so a multiple of what others get. While requests wait for a
//! service, hosts tell the service's home in their data centre the rates by flow that they
//! want and place ([`host`]). The home answers with the max-min shares of the flows that want
//! more than theirs ([`home`]). Each host holds back those flows beyond its part of the share.
//!
//! Limits are soft state. They lapse after [`lifetime`], and the turns at each host apply
//! until newer ones come.

pub mod home;
pub mod host;
mod max_min;

use std::net::SocketAddr;
use std::time::Duration;

use derives::key;
use state::{AccountKey, FlowKey, ServiceKey};

pub use max_min::max_min_level;

use crate::quota::{self, HomeRanks};

/// The largest number of rows in a message; the heaviest flows are told.
pub const MAX_ROWS: usize = 64;

/// The shortest interval between two reports of a host about a service.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two reports to one home, which bounds its load to 330 reports a second.
const TIME_PER_HOST: Duration = Duration::from_millis(3);

/// The number of intervals after which reports and limits lapse.
const LIFETIME_INTERVALS: u32 = 3;

/// The smallest number of hosts in a data centre that divide services by shares.
///
/// With a few hosts, turns at each of them are nearly turns over all, and shares are rounded
/// down to parts of a request: four hosts placed a fifth less with shares than with turns
/// (`fair_shares` bench).
pub const MIN_HOSTS: usize = 16;

/// Requests that share capacity: those of one flow with one priority.
#[key]
pub struct ShareKey {
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The flow.
    pub flow: FlowKey,
}

/// What one host wants for one flow, and what it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageRow {
    /// The requests that are meant.
    pub key: ShareKey,
    /// Requests per second that came and could be in time.
    pub wanted: f64,
    /// Requests per second that were sent to endpoints.
    pub placed: f64,
}

/// The use of a service by the callers of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The service.
    pub service: ServiceKey,
    /// The requests that wait and can be in time.
    pub waiting: u32,
    /// One row for each flow.
    pub rows: Vec<UsageRow>,
}

/// The share of one flow that wants more than it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRow {
    /// The requests that are meant.
    pub key: ShareKey,
    /// The share in requests per second, over all hosts of the data centre.
    pub share: f64,
    /// What all hosts want in requests per second.
    pub wanted: f64,
}

/// The shares of a service's flows in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareLimits {
    /// The service.
    pub service: ServiceKey,
    /// The requests that wait at all hosts and can be in time.
    pub waiting: u32,
    /// One row for each flow that wants more than its share; the others aren't limited.
    pub rows: Vec<LimitRow>,
}

/// Returns the interval between reports in a data centre with this number of hosts.
pub fn report_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(TIME_PER_HOST.saturating_mul(hosts))
}

/// Returns the time after which reports and limits lapse.
pub fn lifetime(hosts: usize) -> Duration {
    report_interval(hosts) * LIFETIME_INTERVALS
}

/// Returns the homes of a service among `hosts`, or `None` if there are no hosts.
pub fn homes(
    service: ServiceKey,
    hosts: impl IntoIterator<Item = SocketAddr>,
) -> Option<HomeRanks> {
    quota::homes(AccountKey(service.0), hosts)
}
