//! Divides the quota of a client account among all hosts.
//!
//! A quota holds for all hosts together, and an account's callers may come to any of them.
//! In each data centre one host, the account's home, keeps a token bucket, from which the
//! others take a token before they send a request. The homes of all data centres divide
//! the quota by the demand that they tell each other.
//!
//! A host chooses the home from the hosts that it hears of, by rendezvous hashing, so that
//! nobody has to be elected. A host that hears of only a few of its neighbours is cut off
//! from them: it takes no part, and uses a small reserve of its own instead.

pub mod contention;
pub mod demand;
pub mod held;
pub mod home;

use std::net::SocketAddr;

use derives::value;
use state::accounts::QuotaLimit;
use state::keys::rendezvous;
use state::{AccountKey, DataCentreKey};
use xxhash_rust::xxh3::xxh3_64;

/// The part of the tolerated excess over a quota that homes grant.
///
/// The rest covers tokens granted by two hosts that both take themselves for the home,
/// and requests that wait between their token and their endpoint.
const USED_SLACK: f64 = 0.5;

/// The part of its share of the quota that a cut-off host uses by itself.
///
/// The homes go on granting the whole quota. With a half, a third of the hosts cut off during a
/// burst exceeded the bound by up to 7%.
const RESERVE_FRACTION: f64 = 0.25;

/// The demand for an account's requests, as the home of one data centre tells the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandEntry {
    /// The account.
    pub account: AccountKey,
    /// Requests per second, those over the quota included.
    pub demand: f64,
}

/// The demand for several accounts in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// The data centre of the sender.
    pub centre: DataCentreKey,
    /// One entry for each account.
    pub entries: Vec<DemandEntry>,
}

/// The hosts that may be an account's home, the first choice first.
#[value]
pub struct HomeRanks {
    /// The first choice.
    pub first: SocketAddr,
    /// The choice while the first one doesn't answer; none if there is no other host.
    pub second: Option<SocketAddr>,
}

/// Returns the homes of an account among `hosts`, or `None` if there are no hosts.
pub fn homes(
    account: AccountKey,
    hosts: impl IntoIterator<Item = SocketAddr>,
) -> Option<HomeRanks> {
    let mut best: [Option<(u64, SocketAddr)>; 2] = [None, None];
    for host in hosts {
        let weighed = Some((rendezvous(host_number(host), account.0), host));
        if weighed > best[0] {
            best = [weighed, best[0]];
        } else if weighed > best[1] {
            best[1] = weighed;
        }
    }
    let [first, second] = best.map(|b| b.map(|(_, host)| host));
    Some(HomeRanks {
        first: first?,
        second,
    })
}

fn host_number(host: SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    match host {
        SocketAddr::V4(v4) => bytes[..4].copy_from_slice(&v4.ip().octets()),
        SocketAddr::V6(v6) => bytes[..16].copy_from_slice(&v6.ip().octets()),
    }
    bytes[16..].copy_from_slice(&host.port().to_le_bytes());
    xxh3_64(&bytes)
}

/// Returns whether a host that hears of `heard` neighbours may choose or be a home.
///
/// `known` is the number of neighbours that there should be. Of two parts of a data
/// centre that don't hear of each other, at most one has a home.
pub fn has_majority(heard: usize, known: usize) -> bool {
    (heard + 1) * 2 > known + 1
}

/// Returns the limit of a host that is cut off from the others.
///
/// `share` is the host's share of all hosts, 0 to 1.
pub fn reserve(limit: QuotaLimit, share: f64) -> QuotaLimit {
    QuotaLimit {
        rate: limit.rate * share * RESERVE_FRACTION,
        burst: (limit.burst * share * RESERVE_FRACTION).max(1.0),
    }
}
