//! Who passes on what a reader has read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How many hosts each host passes something on to.
///
/// Six each reach 42 others in two steps. A reader that told dozens by itself would
/// fill a narrow link, and those that miss something read the store.
const FAN_OUT: usize = 6;

/// Returns to whom `me` passes on what `reader` has read.
///
/// All hosts, in the order of their addresses beginning with the reader, make a
/// tree. Each host works it out from the neighbours that it knows; where two
/// know different ones, some host is told twice or not at all, which costs a
/// read of the store and nothing else.
pub fn next_hops(me: SocketAddr, reader: SocketAddr, neighbours: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut hosts: Vec<SocketAddr> = neighbours.to_vec();
    hosts.extend([me, reader]);
    hosts.sort();
    hosts.dedup();
    let first = hosts.partition_point(|h| *h < reader);
    hosts.rotate_left(first);
    let Some(at) = hosts.iter().position(|h| *h == me) else {
        return Vec::new();
    };
    let children = hosts.iter().skip(at * FAN_OUT + 1).take(FAN_OUT);
    children.copied().collect()
}

/// How far the news of each reader have been passed on.
///
/// When endpoints are replaced one after the other, several hosts read the same
/// records at the same moment. Were news passed on only by hosts to which they
/// are new, the readers would never hear of each other and all go on reading.
#[derive(Clone, Debug, Default)]
pub struct Forwarded {
    readers: BTreeMap<SocketAddr, u64>,
}

impl Forwarded {
    /// Returns whether what `reader` read up to `next` is yet to be passed on, and notes it.
    ///
    /// Each is passed on once, so that nothing goes round where hosts know
    /// different neighbours.
    pub fn mark(&mut self, reader: SocketAddr, next: u64) -> bool {
        let last = self.readers.entry(reader).or_default();
        let further = next > *last;
        *last = next.max(*last);
        further
    }

    /// Forgets readers that `keep` doesn't know any more.
    pub fn retain(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.readers.retain(|reader, _| keep(*reader));
    }
}
