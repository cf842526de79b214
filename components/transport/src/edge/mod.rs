//! The HTTP/1.1 server of an entry host: accepts callers' connections and
//! answers their calls.

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

/// How long to wait before accepting again after a failure, such as running out
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on callers' connections and on the heads of their requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many connections of callers may be open at once.
    pub max_callers: usize,
    /// How long a caller may take to send the head of a request.
    pub head_timeout: Duration,
    /// The largest head of a request, in bytes.
    pub max_head_size: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_callers: 20_000,
            head_timeout: Duration::from_secs(10),
            max_head_size: 32 * 1024,
        }
    }
}

/// Serves callers and forwards their calls to backend servers.
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

/// The progress of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Calls are served.
    Serving,
    /// Calls are served, and each answer has `Connection: close`.
    Leaving,
    /// No connection is accepted, and idle ones are closed.
    Closing,
}

impl Edge {
    /// Returns an edge that gets the slots of its calls from `dispatcher`, without tracing.
    pub fn new(
        limits: Limits,
        dispatcher: Arc<Dispatcher>,
        config: watch::Receiver<Arc<Config>>,
    ) -> Arc<Edge> {
        Edge::with_tracing(limits, dispatcher, config, Tracing::disabled())
    }

    /// Returns an edge that gets the slots of its calls from `dispatcher` and
    /// traces them by `tracing`.
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

    /// Sets what claims idempotency keys. Until then calls with a key are rejected as not run.
    ///
    /// Only the first call has an effect; later ones are logged.
    pub fn set_claims(&self, claims: Arc<dyn KeyClaims>) {
        if self.claims.set(claims).is_err() {
            log::warn!("E0102 claims-set-twice");
        }
    }

    /// Accepts callers' connections until the edge is drained.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let maintenance = tokio::spawn(Arc::clone(&self).maintain_pool());
        let mut stage = self.stage.subscribe();
        let closing = async move {
            // Never fails: this edge owns the sender.
            let _ = stage.wait_for(|s| *s >= Stage::Closing).await;
        };
        tokio::select! {
            () = Arc::clone(&self).accept(&listener) => {}
            () = closing => {}
        }
        drop(listener);
        let mut callers = self.callers.subscribe();
        let _ = callers.wait_for(|n| *n == 0).await;
        maintenance.abort();
    }

    /// Shuts the edge down without breaking a call, and returns when the last
    /// connection has been closed.
    ///
    /// For the time `notice` calls are still served, each answer with
    /// `Connection: close`, so that the platform's balancer can take this host
    /// out of service first. Closing a connection while a request is in transit
    /// would break that call; a connection that was idle during all of `notice`
    /// has none.
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

    /// Returns how many connections of callers are open.
    pub fn callers(&self) -> usize {
        *self.callers.borrow()
    }

    /// Returns how many idle connections to backend servers are in the pool.
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
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Applies each new configuration to the connection pool, closes expired
    /// idle connections and updates the gauges, until aborted.
    async fn maintain_pool(self: Arc<Self>) {
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
                tokio::time::sleep(GAUGE_INTERVAL).await;
            }
        };
        tokio::join!(sweep, follow, count);
    }
}
