//! A pool of idle connections to backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use state::{Config, EndpointKey, Moment};

use super::connection::{ConnectError, Connection};
use crate::clock;

/// How long a connection may stay idle in the pool.
///
/// Common servers close an idle connection after 5 s. A request sent while the
/// server closes may or may not have run; a limit one second shorter avoids this
/// race.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The interval at which expired and closed idle connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The idle connections of all endpoints.
#[derive(Default)]
pub struct ConnectionPool {
    endpoints: Mutex<BTreeMap<EndpointKey, EndpointPool>>,
}

/// The idle connections of one endpoint.
#[derive(Default)]
struct EndpointPool {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    limit: usize,
    opening: bool,
}

impl ConnectionPool {
    /// Applies the endpoints and limits of a configuration; drops the connections of
    /// endpoints that `config` doesn't contain.
    pub fn configure(&self, config: &Config) {
        let mut endpoints = self.endpoints();
        let mut old = std::mem::take(&mut *endpoints);
        for service in config.services() {
            let limit = max_idle_per_host(service.connections, service.slots, config.members.len());
            for endpoint in &service.endpoints {
                let key = endpoint.key(service);
                let mut pool = old.remove(&key).unwrap_or_default();
                pool.address = Some(endpoint.address);
                pool.limit = limit;
                endpoints.insert(key, pool);
            }
        }
    }

    /// Returns an idle connection to `endpoint`, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be opened.
    pub async fn take(
        self: &Arc<Self>,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.pop(endpoint) {
            if connection.is_usable() {
                return Ok(connection);
            }
        }
        Connection::open(endpoint, address).await
    }

    /// Returns a connection to the pool after its last answer was read completely.
    pub fn put(&self, mut connection: Connection) {
        if !connection.is_usable() {
            return;
        }
        connection.reused = true;
        connection.idle_since = clock::now();
        self.add_idle(connection);
    }

    /// Drops the idle connections of `endpoint` that became idle before `since`.
    pub fn drop_idle_before(&self, endpoint: EndpointKey, since: Moment) {
        let mut endpoints = self.endpoints();
        let Some(pool) = endpoints.get_mut(&endpoint) else {
            return;
        };
        let (kept, dropped) = split(std::mem::take(&mut pool.idle), |c| c.idle_since >= since);
        pool.idle = kept;
        drop(endpoints);
        // A long-running call triggers this too; without idle connections nothing is logged.
        if dropped.is_empty() {
            return;
        }
        log::info!(
            "E0110 idle-connections-dropped endpoint={:016x} dropped={}",
            endpoint.0,
            dropped.len()
        );
    }

    /// Returns the number of idle connections of all endpoints.
    pub fn idle_count(&self) -> usize {
        self.endpoints().values().map(|s| s.idle.len()).sum()
    }

    /// Periodically drops idle connections that have expired or are closed; never returns.
    pub async fn sweep(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.sweep_once(clock::now());
        }
    }

    fn sweep_once(&self, now: Moment) {
        let mut old = Vec::new();
        for pool in self.endpoints().values_mut() {
            let fresh =
                |c: &mut Connection| now.since(c.idle_since) < IDLE_TIMEOUT && c.is_usable();
            let (kept, dropped) = split(std::mem::take(&mut pool.idle), fresh);
            pool.idle = kept;
            old.extend(dropped);
        }
    }

    /// Takes the most recently used connection; if it was the last idle one, opens a
    /// spare connection in the background.
    fn pop(self: &Arc<Self>, endpoint: EndpointKey) -> Option<Connection> {
        let mut endpoints = self.endpoints();
        let pool = endpoints.get_mut(&endpoint)?;
        let connection = pool.idle.pop();
        if connection.is_some() && pool.idle.is_empty() && !pool.opening && pool.limit > 1 {
            pool.opening = true;
            let address = pool.address;
            drop(endpoints);
            if let Some(address) = address {
                tokio::spawn(Arc::clone(self).open_spare(endpoint, address));
            }
        }
        connection
    }

    /// Opens a connection outside the path of a call, since opening takes about 1 ms.
    async fn open_spare(self: Arc<Self>, endpoint: EndpointKey, address: SocketAddr) {
        let opened = Connection::open(endpoint, address).await;
        if let Some(pool) = self.endpoints().get_mut(&endpoint) {
            pool.opening = false;
        }
        if let Ok(connection) = opened {
            self.put_spare(connection);
        }
    }

    fn put_spare(&self, mut connection: Connection) {
        connection.idle_since = clock::now();
        if connection.is_usable() {
            self.add_idle(connection);
        }
    }

    fn add_idle(&self, connection: Connection) {
        let mut endpoints = self.endpoints();
        match endpoints.get_mut(&connection.endpoint) {
            Some(pool) if pool.idle.len() < pool.limit => pool.idle.push(connection),
            _ => drop(endpoints),
        }
    }

    fn endpoints(&self) -> MutexGuard<'_, BTreeMap<EndpointKey, EndpointPool>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many idle connections one entry host may keep to one endpoint.
///
/// The number of connections in use by all hosts is bounded by the endpoint's
/// slots, since each serves a call that holds a slot. The rest of the endpoint's
/// connection limit is divided evenly among the `members`, so that all hosts
/// together stay within the limit.
pub fn max_idle_per_host(connections: u32, slots: u32, members: usize) -> usize {
    let spare = connections.saturating_sub(slots) as usize;
    spare / members.max(1)
}

fn split(
    connections: Vec<Connection>,
    keep: impl FnMut(&mut Connection) -> bool,
) -> (Vec<Connection>, Vec<Connection>) {
    let mut keep = keep;
    let mut kept = Vec::new();
    let mut dropped = Vec::new();
    for mut connection in connections {
        match keep(&mut connection) {
            true => kept.push(connection),
            false => dropped.push(connection),
        }
    }
    (kept, dropped)
}
