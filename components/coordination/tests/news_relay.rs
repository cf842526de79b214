//! What a reader has read reaches every neighbour, through others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::relay::next_hops;

/// A reader with a narrow link tells dozens of neighbours: each of them is told
/// once, and nobody tells more than a few.
#[test]
fn told_once() {
    for count in [1, 2, 7, 44, 300] {
        let hosts: Vec<SocketAddr> = (0..count)
            .map(|n| SocketAddr::from(([10, 1, (n / 200) as u8, (n % 200) as u8], 7540)))
            .collect();
        for reader in [hosts[0], hosts[count / 2], hosts[count - 1]] {
            let mut told = BTreeMap::new();
            for me in &hosts {
                let others: Vec<SocketAddr> = hosts.iter().copied().filter(|h| h != me).collect();
                let hops = next_hops(*me, reader, &others);
                assert!(hops.len() <= 6);
                for hop in hops {
                    *told.entry(hop).or_insert(0) += 1;
                }
            }
            assert!(told.values().all(|n| *n == 1));
            assert_eq!(told.len(), count - 1);
            assert!(!told.contains_key(&reader));
        }
    }
}
