//! Tests how soon hosts get their partitions of the group, and how many joins that takes.

use std::collections::BTreeMap;
use std::time::Duration;

use coordination::group_joins::{GROUP_TOPICS, GroupJoins, has_lapsed, share};
use state::Moment;

/// Number of partitions of all topics, 24 each.
const PARTITIONS: usize = GROUP_TOPICS * 24;

/// The store's group: a partition moves once its former holder has joined again.
#[derive(Default)]
struct Group {
    generation: u64,
    /// The generation that each member sent with its last join.
    members: BTreeMap<usize, u64>,
    assigned: BTreeMap<usize, usize>,
}

impl Group {
    fn join(&mut self, member: usize, generation: u64) -> (u64, usize) {
        if !self.members.contains_key(&member) {
            self.generation += 1;
        }
        self.members.insert(member, generation);
        let assigned = self.assigned.get(&member).copied().unwrap_or_default();
        let even_split = self.even_split(member);
        // Partitions missing from the answer are released by the next join.
        let listed = assigned.min(even_split);
        if generation == self.generation {
            self.assigned.insert(member, listed);
        }
        let free = PARTITIONS - self.assigned.values().sum::<usize>();
        let more = free.min(even_split - listed);
        if more > 0 {
            self.assigned.insert(member, listed + more);
        }
        (self.generation, listed + more)
    }

    fn even_split(&self, member: usize) -> usize {
        let count = self.members.len();
        let rank = self.members.range(..member).count();
        PARTITIONS / count + usize::from(rank < PARTITIONS % count)
    }
}

/// Simulates hosts that all start within 300 ms; returns the partitions of each host and
/// the number of joins.
fn simulate(hosts: usize, seconds: u64) -> (Vec<usize>, usize) {
    let start_times = (0..hosts).map(|n| Moment::from_millis((n * 300 / hosts) as u64));
    simulate_from(start_times.collect(), seconds)
}

/// Simulates hosts that start at these times.
fn simulate_from(mut due: Vec<Moment>, seconds: u64) -> (Vec<usize>, usize) {
    let hosts = due.len();
    let mut group = Group::default();
    let mut joins = vec![GroupJoins::default(); hosts];
    let mut assigned = vec![0; hosts];
    let mut calls = 0;
    for millis in 0..seconds * 1_000 {
        let now = Moment::from_millis(millis);
        for host in 0..hosts {
            if due[host] > now {
                continue;
            }
            let (generation, partitions) = group.join(host, joins[host].generation());
            assigned[host] = partitions;
            let pause = joins[host].join_succeeded(generation, partitions);
            due[host] = now + pause.max(Duration::from_millis(4));
            calls += 1;
            assert!(
                assigned.iter().sum::<usize>() <= PARTITIONS,
                "more partitions than exist are assigned"
            );
        }
    }
    (assigned, calls)
}

/// A site starts, and callers arrive eight seconds later. A host without a partition may
/// neither retry requests nor keep connections open; the first host to join holds all
/// partitions until it joins again.
#[test]
fn partitions_in_time() {
    for hosts in [13, 94, 472] {
        let (assigned, _) = simulate(hosts, 8);
        let without = assigned.iter().filter(|n| **n == 0).count();
        assert_eq!(without, 0, "of {hosts} hosts");
    }
}

/// The group doesn't change for a minute; every join is charged.
#[test]
fn stable_minute() {
    let (_, calls) = simulate(472, 60);
    assert!(calls <= 472 * 8, "{calls} joins");
}

/// A hundred hosts are added to a site whose group was stable. Other hosts have to
/// release partitions before the new ones get them: otherwise the sum over all hosts
/// would exceed the limits for a while.
#[test]
fn hosts_added() {
    let first = (0..370).map(Moment::from_millis);
    let added = (0..100).map(|n| Moment::from_millis(40_000 + n));
    let start_times: Vec<Moment> = first.chain(added).collect();
    let (assigned, _) = simulate_from(start_times, 75);
    assert!(assigned.iter().all(|n| (1..=2).contains(n)), "{assigned:?}");
}

/// With more hosts than partitions half of the hosts would have no share, and send no retry
/// and nothing to a cold or limited endpoint. The shares add up to one at any size, and to
/// little more while hosts estimate the number of hosts differently.
#[test]
fn shares_of_large_sites() {
    for hosts in [13, 60, 250, 472, 490, 1_000, 2_000] {
        for error in [0.0, 0.05, 0.1] {
            let shares: Vec<f64> = (0..hosts)
                .map(|host| {
                    let held = PARTITIONS / hosts + usize::from(host < PARTITIONS % hosts);
                    let estimate = hosts as f64 * (1.0 - error * f64::from(host % 2 == 0));
                    share(held, PARTITIONS, estimate as usize)
                })
                .collect();
            let sum: f64 = shares.iter().sum();
            assert!((0.95..=1.12).contains(&sum), "{hosts} hosts: {sum}");
            let without = shares.iter().filter(|s| **s == 0.0).count();
            assert!(
                without * 50 <= hosts,
                "{without} of {hosts} hosts have no share"
            );
        }
    }
}

/// All sessions lapse during an outage of the store, and the first host to join afterwards gets
/// all partitions while the others go on with what they held until they join again. The shares
/// must not add up to more than one partition a host more than there are.
#[test]
fn sessions_lapsed() {
    for hosts in [13, 97, 472] {
        let others = (1..hosts).map(|n| {
            let held = PARTITIONS / hosts + usize::from(n < PARTITIONS % hosts);
            share(held, PARTITIONS, hosts)
        });
        let sum = share(PARTITIONS, PARTITIONS, hosts) + others.sum::<f64>();
        let limit = 1.0 + 1.0 / PARTITIONS as f64;
        assert!(sum <= limit, "{hosts} hosts: {sum}");
    }
}

/// Hosts are added and the store assigns all partitions anew at once: the new hosts get theirs
/// while the others still count on what they held. The shares must not add up to more than one
/// partition a host more than there are.
#[test]
fn partitions_reassigned() {
    for (before, after) in [(18, 22), (97, 130), (300, 470)] {
        let old = (0..before).map(|n| {
            let held = PARTITIONS / before + usize::from(n < PARTITIONS % before);
            share(held, PARTITIONS, after)
        });
        let new = (before..after).map(|n| {
            let held = PARTITIONS / after + usize::from(n < PARTITIONS % after);
            share(held, PARTITIONS, after)
        });
        let sum: f64 = old.chain(new).sum();
        let limit = 1.0 + after as f64 / PARTITIONS as f64;
        assert!(sum <= limit, "{before} to {after} hosts: {sum}");
    }
}

/// The store rejects one host's joins and gives its partitions to others: it must not go on using
/// its share, or the shares of all hosts add up to more than one.
#[test]
fn rejected_member() {
    let session_end = Moment::from_millis(60_000);
    let read_at = |millis| Some(Moment::from_millis(millis));
    assert!(!has_lapsed(session_end, read_at(59_000)));
    assert!(has_lapsed(session_end, read_at(70_000)));
}

/// During an outage of the store no partition is reassigned: hosts that gave up their shares
/// could neither retry nor use cold endpoints.
#[test]
fn outage_keeps_share() {
    let session_end = Moment::from_millis(60_000);
    assert!(!has_lapsed(session_end, None));
    assert!(!has_lapsed(session_end, Some(Moment::from_millis(40_000))));
    // The store is back, and this host joins again at its next try.
    assert!(!has_lapsed(session_end, Some(Moment::from_millis(63_000))));
}
