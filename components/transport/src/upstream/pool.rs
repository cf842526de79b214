//! Idle connections to backend servers, kept for the next call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use state::{Config, EndpointKey, Moment};

use super::connection::{ConnectError, Connection};
use crate::clock;

/// How long a connection may lie idle.
///
/// Common servers close an idle connection after 5 s; a request that crosses
/// such a close on the wire may have run or not. One second less avoids it.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// How often idle connections are looked over.
const SWEEP_EVERY: Duration = Duration::from_millis(250);

/// The idle connections of all endpoints.
#[derive(Default)]
pub struct ConnectionPool {
    shelves: Mutex<BTreeMap<EndpointKey, Shelf>>,
}

/// The idle connections of one endpoint.
#[derive(Default)]
struct Shelf {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    limit: usize,
    opening: bool,
}

impl ConnectionPool {
    /// Takes over the endpoints and limits of the configuration in force.
    pub fn configure(&self, config: &Config) {
        let mut shelves = self.shelves();
        let mut old = std::mem::take(&mut *shelves);
        for service in config.services() {
            let limit = idle_limit(service.connections, service.slots, config.members.len());
            for endpoint in &service.endpoints {
                let key = endpoint.key(service);
                let mut shelf = old.remove(&key).unwrap_or_default();
                shelf.address = Some(endpoint.address);
                shelf.limit = limit;
                shelves.insert(key, shelf);
            }
        }
    }

    /// Returns a connection to `endpoint`, kept or new.
    ///
    /// # Errors
    ///
    /// Says why none could be opened.
    pub async fn take(
        self: &Arc<Self>,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.pop(endpoint) {
            if connection.usable() {
                return Ok(connection);
            }
        }
        Connection::open(endpoint, address).await
    }

    /// Keeps a connection whose last answer was read whole.
    pub fn put(&self, mut connection: Connection) {
        if !connection.usable() {
            return;
        }
        connection.reused = true;
        connection.idle_since = clock::now();
        self.shelve(connection);
    }

    /// Drops the idle connections of `endpoint` that have not been used since `silent`.
    pub fn doubt(&self, endpoint: EndpointKey, silent: Moment) {
        let mut shelves = self.shelves();
        let Some(shelf) = shelves.get_mut(&endpoint) else {
            return;
        };
        let (kept, dropped) = split(std::mem::take(&mut shelf.idle), |c| c.idle_since >= silent);
        shelf.idle = kept;
        drop(shelves);
        // A call of long work looks the same; it is no event where none lay idle.
        if dropped.is_empty() {
            return;
        }
        log::info!(
            "E0110 connections-doubted endpoint={:016x} dropped={}",
            endpoint.0,
            dropped.len()
        );
    }

    /// Returns how many connections lie idle.
    pub fn idle_count(&self) -> usize {
        self.shelves().values().map(|s| s.idle.len()).sum()
    }

    /// Drops idle connections that are too old or closed, for ever.
    pub async fn sweep(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(SWEEP_EVERY);
        loop {
            ticks.tick().await;
            self.sweep_once(clock::now());
        }
    }

    fn sweep_once(&self, now: Moment) {
        let mut old = Vec::new();
        for shelf in self.shelves().values_mut() {
            let fresh = |c: &mut Connection| now.since(c.idle_since) < IDLE_LIMIT && c.usable();
            let (kept, dropped) = split(std::mem::take(&mut shelf.idle), fresh);
            shelf.idle = kept;
            old.extend(dropped);
        }
    }

    /// Takes the connection used last, and has a spare opened where it was the only one.
    fn pop(self: &Arc<Self>, endpoint: EndpointKey) -> Option<Connection> {
        let mut shelves = self.shelves();
        let shelf = shelves.get_mut(&endpoint)?;
        let connection = shelf.idle.pop();
        if connection.is_some() && shelf.idle.is_empty() && !shelf.opening && shelf.limit > 1 {
            shelf.opening = true;
            let address = shelf.address;
            drop(shelves);
            if let Some(address) = address {
                tokio::spawn(Arc::clone(self).open_spare(endpoint, address));
            }
        }
        connection
    }

    /// Opens a connection off the call's path, since opening takes about 1 ms.
    async fn open_spare(self: Arc<Self>, endpoint: EndpointKey, address: SocketAddr) {
        let opened = Connection::open(endpoint, address).await;
        if let Some(shelf) = self.shelves().get_mut(&endpoint) {
            shelf.opening = false;
        }
        if let Ok(connection) = opened {
            self.put_spare(connection);
        }
    }

    fn put_spare(&self, mut connection: Connection) {
        connection.idle_since = clock::now();
        if connection.usable() {
            self.shelve(connection);
        }
    }

    fn shelve(&self, connection: Connection) {
        let mut shelves = self.shelves();
        match shelves.get_mut(&connection.endpoint) {
            Some(shelf) if shelf.idle.len() < shelf.limit => shelf.idle.push(connection),
            _ => drop(shelves),
        }
    }

    fn shelves(&self) -> MutexGuard<'_, BTreeMap<EndpointKey, Shelf>> {
        self.shelves.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many idle connections one entry host may keep to one endpoint.
///
/// Busy connections are bounded by the endpoint's slots over all hosts, since
/// each is in use by a call that holds one. What is left of the endpoint's
/// connections is divided evenly, so that all hosts together stay within it.
pub fn idle_limit(connections: u32, slots: u32, members: usize) -> usize {
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
