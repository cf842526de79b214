//! A pool of idle connections to endpoints.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use state::{EndpointKey, Moment};
use tokio::time::{MissedTickBehavior, interval};

use super::Gateway;
use crate::clock;
use crate::upstream::Connection;

/// How long an idle connection is kept if the endpoint doesn't advertise its own limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long before the endpoint's idle limit this host closes a connection.
///
/// A request sent while the endpoint closes may or may not have run.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_500);

/// The interval at which expired and closed idle connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of idle connections to one endpoint.
///
/// A host seldom has more than a few requests at one endpoint at the same time.
const MAX_IDLE: usize = 6;

/// The idle connections of all endpoints.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<EndpointKey, Vec<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection,
    until: Moment,
}

impl Pool {
    /// Returns whether there is an idle connection to an endpoint that hasn't expired.
    pub fn holds(&self, key: EndpointKey, now: Moment) -> bool {
        let kept = self.idle.get(&key);
        kept.is_some_and(|kept| kept.iter().any(|k| now < k.until))
    }

    /// Returns for each endpoint with idle connections when the last of them expires.
    pub fn expiries(&self) -> BTreeMap<EndpointKey, Moment> {
        let idle = self.idle.iter();
        let last = idle.filter_map(|(key, kept)| Some((*key, kept.iter().map(|k| k.until).max()?)));
        last.collect()
    }

    /// Takes the most recently used open connection to an endpoint, if there is one.
    pub fn take(&mut self, key: EndpointKey, now: Moment) -> Option<Connection> {
        let kept = self.idle.get_mut(&key)?;
        while let Some(mut last) = kept.pop() {
            if now < last.until && last.connection.is_usable() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection whose last answer was read completely.
    ///
    /// `limit` is the idle limit that the endpoint advertises, `max_idle` the maximum
    /// number of idle connections to the endpoint.
    pub fn put(
        &mut self,
        mut connection: Connection,
        limit: Option<Duration>,
        max_idle: usize,
        now: Moment,
    ) {
        let kept = self.idle.entry(connection.endpoint).or_default();
        if kept.len() >= max_idle || !connection.is_usable() {
            return;
        }
        let time = idle_lifetime(limit);
        connection.reused = true;
        connection.idle_since = now;
        kept.push(IdleConnection {
            connection,
            until: now + time,
        });
    }

    /// Drops all idle connections to an endpoint, after one of them stopped responding.
    pub fn drop_all(&mut self, key: EndpointKey) {
        self.idle.remove(&key);
    }

    /// Drops connections that are closed or have expired.
    fn sweep(&mut self, now: Moment) {
        for kept in self.idle.values_mut() {
            kept.retain_mut(|k| now < k.until && k.connection.is_usable());
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }
}

/// Returns how long a connection is kept whose endpoint advertises this idle limit.
fn idle_lifetime(limit: Option<Duration>) -> Duration {
    limit.map_or(IDLE_TIMEOUT, |l| l.saturating_sub(CLOSE_MARGIN))
}

impl Gateway {
    /// Returns a connection to the pool; `headers` are the headers of its last answer.
    ///
    /// The answer must have been read completely.
    pub(super) fn keep_connection(&self, connection: Connection, headers: &HeaderMap) {
        let limit = platform::headers::keep_alive_timeout(headers);
        let max_idle = self.max_idle(connection.endpoint);
        let registry = self.registry.borrow();
        let service = registry.get(connection.endpoint);
        if let (Some(state), Some(_)) = (service, limit) {
            let service = state.endpoint.service;
            let lifetime = idle_lifetime(limit);
            self.subsets.note_idle_lifetime(service, lifetime);
        }
        drop(registry);
        self.pool
            .borrow_mut()
            .put(connection, limit, max_idle, clock::now());
    }

    /// Returns how many idle connections this host may keep to an endpoint.
    ///
    /// The endpoint's connection limit applies to all hosts together. Half of this
    /// host's share may be idle, which leaves the other half for those in use.
    fn max_idle(&self, key: EndpointKey) -> usize {
        let config = self.config.borrow();
        let registry = self.registry.borrow();
        let service = registry.get(key).map(|s| s.endpoint.service);
        let plan = service.and_then(|s| config.catalogue.as_ref()?.services.get(&s));
        let connections = f64::from(plan.map_or(0, |p| p.connections));
        let mine = connections * self.share.get() / 2.0;
        (mine as usize).clamp(1, MAX_IDLE)
    }

    /// Periodically drops expired and closed idle connections; never returns.
    pub(super) async fn sweep_pool(self: Rc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.pool.borrow_mut().sweep(clock::now());
        }
    }
}
