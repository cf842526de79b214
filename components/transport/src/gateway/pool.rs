//! Idle connections to endpoints, kept for the next request.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use state::{EndpointKey, Moment};
use tokio::time::{MissedTickBehavior, interval};

use super::Gateway;
use crate::clock;
use crate::upstream::Connection;

/// How long an idle connection is kept where the endpoint doesn't say.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// How much earlier than the endpoint this host lets go of a connection.
///
/// A request that crosses the endpoint's close may have run or not.
const EARLIER: Duration = Duration::from_millis(1_500);

/// How often idle connections are looked over.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Idle connections kept to one endpoint at most.
///
/// A host seldom has more than a few requests at one endpoint at a time.
const KEPT: usize = 6;

/// The idle connections of all endpoints.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<EndpointKey, Vec<Kept>>,
}

struct Kept {
    connection: Connection,
    until: Moment,
}

impl Pool {
    /// Returns whether a connection to an endpoint lies idle.
    pub fn holds(&self, key: EndpointKey) -> bool {
        self.idle.get(&key).is_some_and(|kept| !kept.is_empty())
    }

    /// Takes the connection used last, none where no usable one lies idle.
    pub fn take(&mut self, key: EndpointKey, now: Moment) -> Option<Connection> {
        let kept = self.idle.get_mut(&key)?;
        while let Some(mut last) = kept.pop() {
            if now < last.until && last.connection.usable() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read whole.
    ///
    /// `limit` is how long the endpoint says that it keeps it, `most` how many
    /// are kept to one endpoint.
    pub fn put(
        &mut self,
        mut connection: Connection,
        limit: Option<Duration>,
        most: usize,
        now: Moment,
    ) {
        let kept = self.idle.entry(connection.endpoint).or_default();
        if kept.len() >= most || !connection.usable() {
            return;
        }
        let time = limit.map_or(IDLE_LIMIT, |l| l.saturating_sub(EARLIER));
        connection.reused = true;
        connection.idle_since = now;
        kept.push(Kept {
            connection,
            until: now + time,
        });
    }

    /// Drops the idle connections to an endpoint, as one of them fell silent.
    pub fn drop_all(&mut self, key: EndpointKey) {
        self.idle.remove(&key);
    }

    /// Drops connections that are closed or too old.
    fn sweep(&mut self, now: Moment) {
        for kept in self.idle.values_mut() {
            kept.retain_mut(|k| now < k.until && k.connection.usable());
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }
}

impl Gateway {
    /// Keeps a connection whose last answer had these fields and was read whole.
    pub(super) fn keep(&self, connection: Connection, fields: &HeaderMap) {
        let limit = platform::headers::keep_alive_timeout(fields);
        let most = self.kept_limit(connection.endpoint);
        self.pool
            .borrow_mut()
            .put(connection, limit, most, clock::now());
    }

    /// Returns how many idle connections this host keeps to an endpoint.
    ///
    /// The endpoint's connections are for all hosts together; this host's part
    /// of them leaves as much again for those in use.
    fn kept_limit(&self, key: EndpointKey) -> usize {
        let orders = self.orders.borrow();
        let registry = self.registry.borrow();
        let service = registry.get(key).map(|s| s.endpoint.service);
        let plan = service.and_then(|s| orders.catalogue.as_ref()?.services.get(&s));
        let connections = f64::from(plan.map_or(0, |p| p.connections));
        let mine = connections * self.share.get() / 2.0;
        (mine as usize).clamp(1, KEPT)
    }

    /// Looks over the idle connections, for ever.
    pub(super) async fn keep_pool(self: Rc<Self>) {
        let mut ticks = interval(SWEEP_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.pool.borrow_mut().sweep(clock::now());
        }
    }
}
