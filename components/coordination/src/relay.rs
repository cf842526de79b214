//! Decides which hosts forward what a reader has read from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of hosts to which each host forwards an update.
///
/// With six each, two steps reach 42 others. A reader that sent an update to dozens of
/// hosts by itself would saturate a narrow link, and hosts that miss an update read the
/// store.
const FAN_OUT: usize = 6;

/// The largest message in bytes that is forwarded in the tree.
///
/// A host sends its copies at once, and a narrow link that is full loses some: the hosts below
/// them would miss every message of that size.
const MAX_MESSAGE_BYTES: usize = 4 * 1_024;

/// The same for a topic that changes all the time.
///
/// Fragments don't tell which host reads. For such a topic several hosts would go on reading,
/// and send what they read to all data centres.
const MAX_FREQUENT_BYTES: usize = 16 * 1_024;

/// Returns whether a message of this size in bytes may be forwarded in the tree.
pub fn takes(message_bytes: usize, is_frequent: bool) -> bool {
    match is_frequent {
        true => message_bytes <= MAX_FREQUENT_BYTES,
        false => message_bytes <= MAX_MESSAGE_BYTES,
    }
}

/// Returns the hosts to which `me` forwards an update that started at `relay_root`.
///
/// All hosts, sorted by address and beginning with the relay root, form a tree. Each host
/// computes the tree from the neighbours it knows; where two hosts know different ones,
/// some host receives an update twice or not at all, which costs a read of the store and
/// nothing else.
pub fn next_hops(
    me: SocketAddr,
    relay_root: SocketAddr,
    neighbours: &[SocketAddr],
) -> Vec<SocketAddr> {
    let mut hosts: Vec<SocketAddr> = neighbours.to_vec();
    hosts.extend([me, relay_root]);
    hosts.sort();
    hosts.dedup();
    let first = hosts.partition_point(|h| *h < relay_root);
    hosts.rotate_left(first);
    let Some(at) = hosts.iter().position(|h| *h == me) else {
        return Vec::new();
    };
    let children = hosts.iter().skip(at * FAN_OUT + 1).take(FAN_OUT);
    children.copied().collect()
}

/// The offsets up to which updates have been forwarded, by relay root.
///
/// When endpoints are replaced one after the other, several hosts read the same records
/// at the same moment. If hosts forwarded only updates that are new to them, the readers
/// would never learn of each other and would all go on reading.
#[derive(Clone, Debug, Default)]
pub struct Forwarded {
    offsets: BTreeMap<SocketAddr, u64>,
}

impl Forwarded {
    /// Returns whether an update of `relay_root` up to `next` has yet to be forwarded,
    /// and marks it as forwarded.
    ///
    /// Each update is forwarded once, so that none circulates where hosts know different
    /// neighbours.
    pub fn mark(&mut self, relay_root: SocketAddr, next: u64) -> bool {
        let last = self.offsets.entry(relay_root).or_default();
        let is_new = next > *last;
        *last = next.max(*last);
        is_new
    }

    /// Removes the relay roots for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.offsets.retain(|relay_root, _| keep(*relay_root));
    }
}
