//! The server side: what callers see of an entry host.

pub mod answer;
pub mod body;
mod call;
pub mod caller;
mod connection;
pub mod fault;
pub mod headers;
pub mod keyed;
pub mod outcome;
mod reject;
pub mod route;
mod service;

use std::future::Future;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use metrics::gauge;
use state::Config;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::dispatch::Dispatcher;
use crate::trace::Tracing;
use crate::upstream::ConnectionPool;
pub use keyed::KeyClaims;
use service::Services;

/// How long to wait when no connection can be accepted, such as when no file is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often the gauges are set.
const GAUGE_EVERY: Duration = Duration::from_secs(1);

/// Limits that an operator may set.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Callers' connections held at once.
    pub callers: usize,
    /// How long the head of a request may take.
    pub head_time: Duration,
    /// The largest head of a request, in bytes.
    pub head_size: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            callers: 20_000,
            head_time: Duration::from_secs(10),
            head_size: 32 * 1024,
        }
    }
}

/// Serves callers and passes their calls on to backend servers.
pub struct Edge {
    limits: Limits,
    dispatcher: Arc<Dispatcher>,
    config: watch::Receiver<Arc<Config>>,
    pool: Arc<ConnectionPool>,
    services: Services,
    tracing: Tracing,
    claims: OnceLock<Arc<dyn KeyClaims>>,
    callers: watch::Sender<usize>,
    stage: watch::Sender<Stage>,
}

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Calls are served.
    Serving,
    /// Calls are served, and each answer asks the caller to connect elsewhere.
    Leaving,
    /// No connection is accepted, and idle ones are closed.
    Closing,
}

impl Edge {
    /// Returns an edge that places its calls by `dispatcher`.
    pub fn new(
        limits: Limits,
        dispatcher: Arc<Dispatcher>,
        config: watch::Receiver<Arc<Config>>,
    ) -> Arc<Edge> {
        Edge::with_tracing(limits, dispatcher, config, Tracing::disabled())
    }

    /// Returns an edge whose calls are traced by `tracing`.
    pub fn with_tracing(
        limits: Limits,
        dispatcher: Arc<Dispatcher>,
        config: watch::Receiver<Arc<Config>>,
        tracing: Tracing,
    ) -> Arc<Edge> {
        Arc::new(Edge {
            limits,
            dispatcher,
            config,
            pool: Arc::new(ConnectionPool::default()),
            services: Services::default(),
            tracing,
            claims: OnceLock::new(),
            callers: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
        })
    }

    /// Has keys claimed by `claims`; until then calls with a key are refused, not run.
    ///
    /// Only the first word counts.
    pub fn set_claims(&self, claims: Arc<dyn KeyClaims>) {
        if self.claims.set(claims).is_err() {
            log::warn!("E0102 claims-set-twice");
        }
    }

    /// Accepts callers until the edge is drained.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let keeper = tokio::spawn(Arc::clone(&self).keep_pools());
        let mut stage = self.stage.subscribe();
        let closing = async move {
            // The sender lives as long as this edge.
            let _ = stage.wait_for(|s| *s >= Stage::Closing).await;
        };
        tokio::select! {
            () = Arc::clone(&self).accept(&listener) => {}
            () = closing => {}
        }
        drop(listener);
        let mut callers = self.callers.subscribe();
        let _ = callers.wait_for(|n| *n == 0).await;
        keeper.abort();
    }

    /// Stops taking calls without breaking one, and ends when the last call has ended.
    ///
    /// For the time `notice` callers are served as before, but asked with each
    /// answer to connect elsewhere, so that the platform's balancer can take
    /// this host out first. A connection closed while a request is on its way
    /// would break that call; one left idle for all of `notice` has none.
    pub fn drain(self: &Arc<Self>, notice: Duration) -> impl Future<Output = ()> + use<> {
        let edge = Arc::clone(self);
        let mut callers = self.callers.subscribe();
        async move {
            edge.stage.send_replace(Stage::Leaving);
            tokio::time::sleep(notice).await;
            edge.stage.send_replace(Stage::Closing);
            let _ = callers.wait_for(|n| *n == 0).await;
            edge.tracing.flush();
        }
    }

    /// Returns how many callers are connected.
    pub fn callers(&self) -> usize {
        *self.callers.borrow()
    }

    /// Returns how many idle connections to backend servers are kept.
    pub fn idle_connections(&self) -> usize {
        self.pool.idle_count()
    }

    async fn accept(self: Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    self.callers.send_modify(|n| *n += 1);
                    let edge = Arc::clone(&self);
                    tokio::spawn(connection::serve(edge, stream, address));
                }
                Err(e) => {
                    log::warn!("E0101 accept-failed error={e:?}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Keeps the pools in step with the configuration and free of old connections.
    async fn keep_pools(self: Arc<Self>) {
        let mut config = self.config.clone();
        let sweep = Arc::clone(&self.pool).sweep();
        let follow = async {
            loop {
                let current = Arc::clone(&config.borrow_and_update());
                self.pool.configure(&current);
                if config.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let count = async {
            loop {
                gauge!("cardamomvale_callers").set(self.callers() as f64);
                gauge!("cardamomvale_kept_connections").set(self.idle_connections() as f64);
                tokio::time::sleep(GAUGE_EVERY).await;
            }
        };
        tokio::join!(sweep, follow, count);
    }
}
