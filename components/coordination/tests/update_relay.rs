//! Tests that the records read by one host reach every neighbour through relays.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coordination::fragments;
use coordination::read_schedule::ReadSchedule;
use coordination::relay::{self, Forwarded, next_hops};
use state::Moment;

/// What a narrow link holds at once.
const LINK_BYTES: usize = 40 * 1_024;

/// A reader with a narrow link has dozens of neighbours: each of them receives the update
/// once, and no host sends it to more than a few.
#[test]
fn received_once() {
    for count in [1, 2, 7, 44, 300] {
        let hosts: Vec<SocketAddr> = (0..count)
            .map(|n| SocketAddr::from(([10, 1, (n / 200) as u8, (n % 200) as u8], 7540)))
            .collect();
        for reader in [hosts[0], hosts[count / 2], hosts[count - 1]] {
            let mut received = BTreeMap::new();
            for me in &hosts {
                let others: Vec<SocketAddr> = hosts.iter().copied().filter(|h| h != me).collect();
                let hops = next_hops(*me, reader, &others);
                assert!(hops.len() <= 6);
                for hop in hops {
                    *received.entry(hop).or_insert(0) += 1;
                }
            }
            assert!(received.values().all(|n| *n == 1));
            assert_eq!(received.len(), count - 1);
            assert!(!received.contains_key(&reader));
        }
    }
}

fn hosts(count: u8) -> Vec<SocketAddr> {
    let address = |n| SocketAddr::from(([10, 1, 0, n], 7540));
    (0..count).map(address).collect()
}

/// Endpoints are replaced one after the other, and three hosts of a data centre read the
/// same records at the same moment. If the readers don't learn of each other, all go on
/// reading, every read is charged three times, and other hosts reach the store's rate
/// limit.
#[test]
fn one_reader_left() {
    let hosts = hosts(26);
    let start = Moment::from_millis(1_000);
    let mut schedules = vec![ReadSchedule::new(start); hosts.len()];
    let mut forwarded = vec![Forwarded::default(); hosts.len()];
    for schedule in &mut schedules {
        schedule.full_read_finished(100, start, 0.5, start);
    }
    let now = start + Duration::from_secs(2);
    let readers = [3, 11, 19];
    for reader in readers {
        schedules[reader].begin_read();
        schedules[reader].read_finished(150, now, false, 0.5, now);
    }
    let mut in_flight: Vec<(usize, SocketAddr)> = Vec::new();
    let hops = |me: usize, reader: SocketAddr| {
        let others: Vec<SocketAddr> = hosts.iter().copied().filter(|h| *h != hosts[me]).collect();
        next_hops(hosts[me], reader, &others)
    };
    let index = |host: SocketAddr| hosts.iter().position(|h| *h == host).expect("a host");
    for reader in readers {
        let first = hops(reader, hosts[reader]);
        in_flight.extend(first.into_iter().map(|h| (index(h), hosts[reader])));
    }
    let mut sent = 0;
    while !in_flight.is_empty() {
        let (me, reader) = in_flight.remove(0);
        sent += 1;
        schedules[me].update_received((100, 150), Some(now), reader < hosts[me], 0.5, now);
        if forwarded[me].mark(reader, 150) {
            let next = hops(me, reader);
            in_flight.extend(next.into_iter().map(|h| (index(h), reader)));
        }
    }
    let left: Vec<usize> = (0..hosts.len())
        .filter(|n| schedules[*n].is_reader())
        .collect();
    assert_eq!(left, [3]);
    assert_eq!(sent, 3 * 25);
}

/// Two hosts know different neighbours, so that the same update arrives twice. If it were
/// forwarded each time, it would circulate forever.
#[test]
fn forwarded_once() {
    let reader = hosts(1)[0];
    let mut forwarded = Forwarded::default();
    assert!(forwarded.mark(reader, 150));
    assert!(!forwarded.mark(reader, 150));
    assert!(!forwarded.mark(reader, 140));
    assert!(forwarded.mark(reader, 151));
    forwarded.retain(|_| false);
    assert!(forwarded.mark(reader, 150));
}

/// Returns the hosts that a tree reaches if each host loses what its link doesn't hold.
fn reached_in_tree(hosts: &[SocketAddr], message_bytes: usize) -> BTreeSet<SocketAddr> {
    let mut reached = BTreeSet::from([hosts[0]]);
    let mut senders = VecDeque::from([hosts[0]]);
    while let Some(me) = senders.pop_front() {
        let others: Vec<SocketAddr> = hosts.iter().copied().filter(|h| *h != me).collect();
        let hops = next_hops(me, hosts[0], &others);
        for hop in hops.into_iter().take(LINK_BYTES / message_bytes) {
            reached.insert(hop);
            senders.push_back(hop);
        }
    }
    reached
}

/// A host forwards a configuration to six others at once. If their copies exceed what its link
/// holds, half of a data centre misses every update of that size, and answers from an old one.
#[test]
fn copies_fit_link() {
    let hosts = hosts(51);
    for bytes in (1..=16).map(|kilobytes| kilobytes * 1_024) {
        if relay::takes(bytes, false) {
            assert_eq!(
                reached_in_tree(&hosts, bytes).len(),
                hosts.len(),
                "{bytes} bytes"
            );
            continue;
        }
        // In fragments, a host relays a small part, and queues it.
        let message = Bytes::from(vec![7; bytes]);
        let parts = fragments::split(hosts[0], 1, &message, hosts.len());
        let relayed = parts.len().div_ceil(hosts.len()) * parts[0].bytes.len();
        assert!(relayed <= 1_024, "{relayed} of {bytes} bytes");
    }
}
