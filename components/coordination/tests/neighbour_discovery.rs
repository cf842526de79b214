//! Tests how the hosts of a data centre discover each other.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::neighbours::{Contact, GreetingEffect, Neighbours};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::Moment;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 4, 0, n], 7540))
}

fn at(seconds: u64) -> Moment {
    Moment::from_millis(1_000 * seconds)
}

/// Returns hosts that all know the first two and are known to them.
fn star(count: u8) -> Vec<Neighbours> {
    let mut hosts: Vec<Neighbours> = (0..count)
        .map(|n| Neighbours::new(address(n), "d"))
        .collect();
    for n in 0..count {
        for hub in 0..2 {
            if hub != n {
                hosts[usize::from(n)].greeting_received(address(hub), "d", at(0));
                hosts[usize::from(hub)].greeting_received(address(n), "d", at(0));
            }
        }
    }
    hosts
}

/// A data centre's hosts found only the two that the store named first. Each host
/// receives the updates of those two and none of the other 22, so that all 24 read the
/// store whenever endpoints are replaced, and the site's reads reach the store's rate
/// limit.
#[test]
fn star_becomes_mesh() {
    let mut random = StdRng::seed_from_u64(4);
    let mut hosts = star(24);
    for second in 1..=20 {
        let now = at(second);
        for n in 0..hosts.len() {
            let me = address(n as u8);
            let known = hosts[n].current(now);
            for other in known {
                hosts[usize::from(last(other))].greeting_received(me, "d", now);
            }
            let Some(queried) = hosts[n].next_query(random.random()) else {
                continue;
            };
            let answer = hosts[usize::from(last(queried))].hosts_of("d", now);
            for other in answer {
                if hosts[n].add(other, now) {
                    hosts[usize::from(last(other))].greeting_received(me, "d", now);
                }
            }
        }
    }
    for host in &mut hosts {
        assert_eq!(host.current(at(20)).len(), 23);
    }
}

fn last(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(v4) => v4.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}

/// A site has four data centres, and its settings name three hosts. Without
/// introductions, the hosts of the fourth data centre would know nobody until each of
/// them reads the store.
#[test]
fn remote_hosts_introduced() {
    let mut seed = Neighbours::new(address(1), "a");
    assert_eq!(
        seed.greeting_received(address(7), "d", at(1)),
        GreetingEffect::NewRemote
    );
    assert_eq!(
        seed.greeting_received(address(7), "d", at(1)),
        GreetingEffect::Remote
    );
    assert_eq!(
        seed.greeting_received(address(8), "d", at(1)),
        GreetingEffect::NewRemote
    );
    assert_eq!(seed.hosts_of("d", at(2)), [address(7), address(8)]);
    assert!(seed.hosts_of("c", at(2)).is_empty());
    assert!(seed.is_empty());
    assert!(seed.hosts_of("d", at(60)).is_empty());
}

/// A neighbour was replaced by one at another address: updates to the old address have to
/// stop.
#[test]
fn silent_removed() {
    let mut host = Neighbours::new(address(1), "d");
    assert_eq!(
        host.greeting_received(address(2), "d", at(1)),
        GreetingEffect::New
    );
    assert_eq!(
        host.greeting_received(address(2), "d", at(2)),
        GreetingEffect::Known
    );
    assert!(!host.add(address(1), at(2)));
    assert!(host.add(address(3), at(2)));
    assert_eq!(host.current(at(10)).len(), 2);
    host.greeting_received(address(3), "d", at(15));
    assert_eq!(host.current(at(25)), [address(3)]);
    assert!(host.current(at(15) + Duration::from_secs(30)).is_empty());
}

/// A reader sends updates to a few hosts of each other data centre. One of these has
/// failed: hosts must not go on naming it to each other forever, and hosts that still
/// answer come first.
#[test]
fn contacts_kept() {
    let mut host = Neighbours::new(address(1), "a");
    for (centre, n) in [("b", 9), ("b", 8), ("c", 7)] {
        host.greeting_received(address(n), centre, at(1));
    }
    host.add_remote(
        Contact {
            centre: "b".to_owned(),
            address: address(2),
        },
        at(1),
    );
    let b = vec![address(8), address(9)];
    assert_eq!(host.remote_targets(at(2)), [b, vec![address(7)]]);
    assert!(
        host.remote_sample(at(2))
            .iter()
            .all(|c| c.address != address(2))
    );
    host.greeting_received(address(7), "c", at(20));
    assert_eq!(host.remote_targets(at(30)), [vec![address(7)]]);
}

/// A host estimates the number of all hosts from its own data centre and from greetings of
/// hosts of others; one that has not been heard of counts like its own.
#[test]
fn site_size() {
    let address = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
    let now = Moment::from_millis(1_000);
    let mut known = Neighbours::new(address(1), "here");
    for n in 2..=50 {
        known.add(address(n), now);
    }
    assert_eq!(known.site_size(3, now), 150);
    known.size_received("there", 20, now);
    known.size_received("here", 7, now);
    assert_eq!(known.site_size(3, now), 120);
    known.size_received("far", 30, now + Duration::from_secs(20));
    assert_eq!(known.site_size(3, now + Duration::from_secs(20)), 100);
    assert_eq!(known.site_size(3, now + Duration::from_secs(40)), 130);
}
