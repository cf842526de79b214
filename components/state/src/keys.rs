//! Small `Copy` keys of what the system names.
//!
//! A key is the 64-bit XXH3 hash of the name, so that every host derives the
//! same key from the same preset without agreeing on numbers first. The check
//! of a preset refuses two names with one key.

use std::net::SocketAddr;

use derives::key;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Names one entry host.
#[key]
#[derive(Serialize, Deserialize)]
pub struct HostKey(pub u64);

/// Names one service.
#[key]
pub struct ServiceKey(pub u64);

/// Names one endpoint, that is one backend server of one service.
#[key]
pub struct EndpointKey(pub u64);

/// Names one data centre.
#[key]
pub struct DataCentreKey(pub u64);

/// Names one region, some data centres that lie close to each other.
#[key]
pub struct RegionKey(pub u64);

impl HostKey {
    /// Returns the key of the entry host with this name.
    pub fn named(name: &str) -> HostKey {
        HostKey(xxh3_64(name.as_bytes()))
    }
}

impl ServiceKey {
    /// Returns the key of the service with this name.
    pub fn named(name: &str) -> ServiceKey {
        ServiceKey(xxh3_64(name.as_bytes()))
    }
}

impl EndpointKey {
    /// Returns the key of the endpoint of `service` at `address`.
    pub fn of(service: &str, address: SocketAddr) -> EndpointKey {
        EndpointKey(xxh3_64(format!("{service}/{address}").as_bytes()))
    }
}

impl RegionKey {
    /// Returns the key of the region with this name.
    pub fn named(name: &str) -> RegionKey {
        RegionKey(xxh3_64(name.as_bytes()))
    }
}

impl DataCentreKey {
    /// Returns the key of the data centre with this name.
    pub fn named(name: &str) -> DataCentreKey {
        DataCentreKey(xxh3_64(name.as_bytes()))
    }
}

/// Weighs `owner` for `item`: the owner with the greatest weight wins.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998): when one owner goes,
/// only the items it had move, and every host computes the same answer.
pub fn rendezvous(owner: u64, item: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&owner.to_le_bytes());
    bytes[8..].copy_from_slice(&item.to_le_bytes());
    xxh3_64(&bytes)
}
