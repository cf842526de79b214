//! The subsets of the hosts of a data centre: evenness, stability and size.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::Subset;
use state::fleet::subset::{Usage, even_size};
use state::fleet::subset_size::{Demand, Limits, SubsetSize};
use state::{EndpointKey, Moment};

const WANTED: usize = 6;

/// Hosts and endpoints of a data centre.
const SIZES: [(usize, usize); 8] = [
    (52, 26),
    (52, 32),
    (32, 22),
    (33, 14),
    (200, 400),
    (200, 2_000),
    (300, 71),
    (7, 60),
];

fn endpoints(count: usize, seed: u64) -> BTreeSet<EndpointKey> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..count).map(|_| EndpointKey(random.random())).collect()
}

/// Returns the members at each host.
fn subsets(near: &BTreeSet<EndpointKey>, hosts: usize) -> Vec<BTreeSet<EndpointKey>> {
    let of = |position| Subset::new(near, position, hosts, WANTED);
    let members = |position| match of(position) {
        Some(subset) => subset.members().iter().copied().collect(),
        None => near.clone(),
    };
    (0..hosts).map(members).collect()
}

/// Uneven subsets would overload the endpoints that are in many of them, and leave others
/// without requests.
#[test]
fn even_spread() {
    for (hosts, count) in SIZES {
        for seed in 0..5 {
            let near = endpoints(count, seed);
            let subsets = subsets(&near, hosts);
            let mut holders: BTreeMap<EndpointKey, usize> = BTreeMap::new();
            for key in subsets.iter().flatten() {
                *holders.entry(*key).or_default() += 1;
            }
            let all: usize = holders.values().sum();
            let mean = all as f64 / count as f64;
            let most = *holders.values().max().unwrap();
            assert!(most as f64 <= 1.2 * mean, "{hosts} {count}: {most} {mean}");
            assert!(mean >= 2.0, "{hosts} {count}: {mean}");
            assert_eq!(holders.len(), count);
        }
    }
}

/// A host that leaves must not make the others open connections to other endpoints.
#[test]
fn host_leaves() {
    for (hosts, count) in SIZES {
        let near = endpoints(count, 1);
        let before = subsets(&near, hosts);
        let size = even_size(hosts, count, WANTED);
        for gone in [0, hosts / 2, hosts - 1] {
            if even_size(hosts - 1, count, WANTED) != size {
                continue;
            }
            let after = subsets(&near, hosts - 1);
            let mut staying = before.clone();
            staying.remove(gone);
            let changed = changed(&staying, &after);
            // The start of a host moves by less than the distance between two hosts.
            let most = count.div_ceil(hosts) + 1;
            assert!(
                changed.iter().all(|c| *c <= most),
                "{hosts} {count}: {changed:?}"
            );
        }
    }
}

/// An endpoint that joins must not change more than its neighbourhood on the ring.
#[test]
fn endpoint_joins() {
    for (hosts, count) in SIZES {
        for seed in 0..5 {
            let near = endpoints(count, seed);
            let before = subsets(&near, hosts);
            let size = even_size(hosts, count, WANTED);
            if even_size(hosts, count + 1, WANTED) != size {
                continue;
            }
            let mut grown = near.clone();
            grown.insert(EndpointKey(StdRng::seed_from_u64(seed + 100).random()));
            let changed = changed(&before, &subsets(&grown, hosts));
            assert!(
                changed.iter().all(|c| *c <= 2),
                "{hosts} {count}: {changed:?}"
            );
        }
    }
}

/// Returns how many members each host has that it didn't have.
fn changed(before: &[BTreeSet<EndpointKey>], after: &[BTreeSet<EndpointKey>]) -> Vec<usize> {
    let pairs = before.iter().zip(after);
    pairs.map(|(b, a)| a.difference(b).count()).collect()
}

/// A host that doesn't know its neighbours yet must not send all its requests to the few
/// endpoints that it would use among hundreds of hosts.
#[test]
fn unknown_position() {
    assert_eq!(Subset::new(&endpoints(26, 1), 0, 1, WANTED), None);
    assert_eq!(Subset::new(&endpoints(0, 1), 0, 52, WANTED), None);
    assert_eq!(Subset::new(&endpoints(26, 1), 52, 52, WANTED), None);
}

fn limits(near: usize, slots: u32) -> Limits {
    Limits {
        idle_lifetime: Duration::from_millis(8_500),
        slots,
        near,
    }
}

/// Returns the size after `seconds` of this many requests, with this service time.
fn settle(
    size: &mut SubsetSize,
    at: &mut u64,
    seconds: u64,
    demand: Demand,
    limits: Limits,
) -> usize {
    for _ in 0..seconds {
        *at += 1;
        size.update(demand, limits, Moment::from_millis(*at * 1_000));
    }
    size.size()
}

fn demand(requests: u32, service_ms: u64) -> Demand {
    Demand {
        requests,
        busy: Duration::from_millis(service_ms) * requests,
        usage: Usage::default(),
    }
}

/// Hosts that keep connections to all near endpoints open must go on using all of them;
/// hosts with a request a second must not.
#[test]
fn size_by_rate() {
    let settled = |requests, limits| {
        settle(
            &mut SubsetSize::new(Moment(0)),
            &mut 0,
            60,
            demand(requests, 100),
            limits,
        )
    };
    assert!(settled(20, limits(12, 4)) >= 12);
    assert!(settled(5, limits(20, 4)) >= 20);
    assert_eq!(settled(1, limits(26, 4)), 7);
    assert_eq!(settled(0, limits(26, 2)), 6);
}

/// A host that starts with more than the smallest subset opens connections that expire before
/// their next use. It must follow a high rate at once, and no pause between requests.
#[test]
fn starts_small() {
    let started = || SubsetSize::new(Moment(0));
    assert_eq!(started().size(), WANTED);
    let first = |requests| {
        let near = limits(26, 4);
        settle(&mut started(), &mut 0, 1, demand(requests, 100), near)
    };
    assert_eq!(first(0), WANTED);
    assert_eq!(first(1), 7);
    assert!(first(20) >= 26);
    let (mut size, mut at) = (started(), 0);
    for (seconds, requests) in [(1, 1), (10, 1), (50, 1), (10, 0)] {
        let demand = demand(requests, 100);
        let settled = settle(&mut size, &mut at, seconds, demand, limits(26, 4));
        assert_eq!(settled, 7);
    }
}

/// Where connections don't stay open between requests, a subset saves none and only narrows
/// the choice.
#[test]
fn short_lifetime() {
    for idle_ms in [0, 1, 999] {
        let limits = Limits {
            idle_lifetime: Duration::from_millis(idle_ms),
            ..limits(26, 4)
        };
        let mut size = SubsetSize::new(Moment(0));
        let settled = settle(&mut size, &mut 0, 1, demand(1, 100), limits);
        assert!(settled >= 26, "{idle_ms}: {settled}");
    }
}

/// Members that are nearly full must not hold back requests while other endpoints are idle:
/// the subset grows within seconds, and shrinks when the load is gone.
#[test]
fn size_under_load() {
    let mut size = SubsetSize::new(Moment(0));
    let mut at = 0;
    let calm = demand(1, 100);
    settle(&mut size, &mut at, 60, calm, limits(100, 2));
    let crowded = Demand {
        usage: Usage {
            decisions: 10,
            crowded: 5,
        },
        ..calm
    };
    assert!(settle(&mut size, &mut at, 5, crowded, limits(100, 2)) >= 40);
    assert!(settle(&mut size, &mut at, 60, calm, limits(100, 2)) <= 8);
    // 30 requests of a second each need as many slots.
    let busy = demand(30, 1_000);
    assert!(settle(&mut size, &mut at, 6, busy, limits(1_000, 2)) >= 50);
}

/// Small sites, whose hosts can keep connections to all endpoints, must be served as without
/// subsets.
#[test]
fn small_sites() {
    assert_eq!(Subset::new(&endpoints(60, 1), 0, 5, WANTED), None);
    assert_eq!(Subset::new(&endpoints(8, 1), 0, 52, WANTED), None);
    assert!(Subset::new(&endpoints(26, 1), 0, 6, WANTED).is_some());
}
