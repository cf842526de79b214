//! Which members watch which.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use derives::{key, value};
use state::keys::rendezvous;
use state::{Config, HostKey};

/// Watchers of each member.
///
/// Five, of which three agree on what needs a majority: two may be lost
/// together, as when a data centre goes, and the other three still answer.
/// The number is fixed, so that heartbeats cost a host the same at 17 members
/// and at 300.
pub const WATCHERS: usize = 5;

/// One process that is or was a member.
#[key]
pub struct MemberId {
    /// Its host.
    pub host: HostKey,
    /// Its incarnation: a host that starts or joins again is another member.
    pub incarnation: u64,
}

/// Who watches whom, at one configuration.
#[value]
#[derive(Default)]
pub struct WatchMap {
    watchers: BTreeMap<MemberId, Vec<MemberId>>,
    regions: BTreeMap<HostKey, String>,
}

impl WatchMap {
    /// Computes the watchers of all members.
    ///
    /// A member's watchers stand in its own region, where that has others: a
    /// region that loses sight of another must not think it dead. They are
    /// spread over the region's data centres, so that one that goes takes few.
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

    /// Returns the watchers of `member`, the first choice first.
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

    /// Returns the member that `host` is at this configuration.
    pub fn member(&self, host: HostKey) -> Option<MemberId> {
        let first = MemberId {
            host,
            incarnation: 0,
        };
        let member = self.watchers.range(first..).next().map(|(id, _)| *id);
        member.filter(|id| id.host == host)
    }

    /// Returns the members of the region that `host` stands in.
    pub fn region(&self, host: HostKey) -> impl Iterator<Item = MemberId> {
        let region = self.regions.get(&host);
        self.members()
            .filter(move |id| self.regions.get(&id.host) == region)
    }
}

/// Returns the least number that is more than half of `count`.
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

/// A member and where it stands.
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
