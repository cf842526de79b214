//! Small `Copy` keys that identify the system's objects.
//!
//! A key is the 64-bit XXH3 hash of a name, so that every host derives the same key from
//! the same preset without any coordination. The validation of a preset rejects two names
//! with the same key.

use std::net::SocketAddr;

use derives::key;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an entry host.
#[key]
#[derive(Serialize, Deserialize)]
pub struct HostKey(pub u64);

/// Identifies a service.
#[key]
pub struct ServiceKey(pub u64);

/// Identifies an endpoint: one backend server of one service.
#[key]
pub struct EndpointKey(pub u64);

/// Identifies a data centre.
#[key]
pub struct DataCentreKey(pub u64);

/// Identifies a region: data centres that are close to each other.
#[key]
pub struct RegionKey(pub u64);

/// Identifies a version of a service's software.
#[key]
pub struct VersionKey(pub u64);

/// Identifies a client account.
#[key]
pub struct AccountKey(pub u64);

/// Identifies a flow of requests that gets a fair share of a service: an account, or a route
/// whose requests belong to none.
#[key]
pub struct FlowKey(pub u64);

impl From<AccountKey> for FlowKey {
    fn from(account: AccountKey) -> FlowKey {
        FlowKey(account.0)
    }
}

impl AccountKey {
    /// Returns the key of the client account with this name.
    pub fn named(name: &str) -> AccountKey {
        AccountKey(xxh3_64(name.as_bytes()))
    }
}

impl VersionKey {
    /// Returns the key of the version with this name.
    pub fn named(name: &str) -> VersionKey {
        VersionKey(xxh3_64(name.as_bytes()))
    }
}

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

/// Returns the weight of `owner` for `item`; the owner with the greatest weight is
/// chosen.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998): when an owner leaves, only its own
/// items move, and every host computes the same result.
pub fn rendezvous(owner: u64, item: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&owner.to_le_bytes());
    bytes[8..].copy_from_slice(&item.to_le_bytes());
    xxh3_64(&bytes)
}
