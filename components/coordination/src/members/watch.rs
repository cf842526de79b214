//! Assigns watchers to members.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use derives::{key, value};
use state::keys::rendezvous;
use state::{Config, HostKey};

/// The number of watchers of each member.
///
/// Three of the five form a majority. Two may be lost together, for instance with
/// a data centre, and the other three still answer. The number is fixed, so that
/// the cost of heartbeats per host is the same with 17 members and with 300.
pub const WATCHERS: usize = 5;

/// One process that is or was a member.
#[key]
pub struct MemberId {
    /// The host of the process.
    pub host: HostKey,
    /// The incarnation of the host. A host that restarts or rejoins is another member.
    pub incarnation: u64,
}

/// The watchers of all members of one configuration.
#[value]
#[derive(Default)]
pub struct WatchMap {
    watchers: BTreeMap<MemberId, Vec<MemberId>>,
    regions: BTreeMap<HostKey, String>,
}

impl WatchMap {
    /// Computes the watchers of all members.
    ///
    /// Watchers are chosen from the member's own region, if that has other members: a
    /// region that loses its connection to another must not consider it dead. They are
    /// spread over the data centres of the region, so that the loss of one takes few.
    pub fn from_config(config: &Config) -> WatchMap {
        let regions = regions(config);
        let located: Vec<Located> = config
            .members
            .iter()
            .map(|(host, member)| Located {
                id: MemberId {
                    host: *host,
                    incarnation: member.incarnation,
                },
                centre: &member.data_centre,
                region: &regions[host],
            })
            .collect();
        let watchers = located
            .iter()
            .map(|s| (s.id, choose(s, &located)))
            .collect();
        WatchMap { watchers, regions }
    }

    /// Returns the watchers of `member` in order of preference.
    pub fn watchers(&self, member: MemberId) -> &[MemberId] {
        self.watchers
            .get(&member)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Returns the members that `watcher` watches.
    pub fn watched_by(&self, watcher: MemberId) -> impl Iterator<Item = MemberId> {
        self.watchers
            .iter()
            .filter(move |(_, watchers)| watchers.contains(&watcher))
            .map(|(member, _)| *member)
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = MemberId> {
        self.watchers.keys().copied()
    }

    /// Returns the member that `host` is in this configuration.
    pub fn member(&self, host: HostKey) -> Option<MemberId> {
        let first = MemberId {
            host,
            incarnation: 0,
        };
        let member = self.watchers.range(first..).next().map(|(id, _)| *id);
        member.filter(|id| id.host == host)
    }

    /// Returns the members of the region of `host`.
    pub fn region(&self, host: HostKey) -> impl Iterator<Item = MemberId> {
        let region = self.regions.get(&host);
        self.members()
            .filter(move |id| self.regions.get(&id.host) == region)
    }
}

/// Returns the smallest number that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

fn regions(config: &Config) -> BTreeMap<HostKey, String> {
    let centres: BTreeMap<&str, &str> = config
        .data_centres()
        .iter()
        .map(|c| (c.name.as_str(), c.region.as_str()))
        .collect();
    let region = |centre: &str| centres.get(centre).copied().unwrap_or_default().to_owned();
    config
        .members
        .iter()
        .map(|(host, member)| (*host, region(&member.data_centre)))
        .collect()
}

/// A member and its location.
struct Located<'a> {
    id: MemberId,
    centre: &'a str,
    region: &'a str,
}

fn choose(member: &Located, located: &[Located]) -> Vec<MemberId> {
    let others = || located.iter().filter(|s| s.id.host != member.id.host);
    let mut ranked: Vec<&Located> = others().filter(|s| s.region == member.region).collect();
    if ranked.is_empty() {
        ranked = others().collect();
    }
    ranked.sort_by_cached_key(|s| Reverse(rendezvous(s.id.host.0, member.id.host.0)));
    let centres: BTreeSet<&str> = ranked.iter().map(|s| s.centre).collect();
    let share = WATCHERS.div_ceil(centres.len().max(1));
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut chosen, rest): (Vec<&Located>, Vec<&Located>) = ranked.iter().partition(|s| {
        let count = taken.entry(s.centre).or_default();
        *count += 1;
        *count <= share
    });
    chosen.extend(rest);
    chosen.iter().take(WATCHERS).map(|s| s.id).collect()
}
