//! One entry host: its ports, what runs behind them, and its shutdown.

mod settings;
mod status;

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::admin::{Admin, AdminError};
use crate::dispatch::Dispatcher;
use crate::edge::{Edge, Limits};
use crate::log::{Follower, FollowerOptions, LogClient, Submission, Timeouts};
use crate::trace::Tracing;

pub use settings::Settings;

/// How long an operator's command may wait for the log.
const COMMAND_LIMIT: Duration = Duration::from_secs(5);

/// How long callers are asked to connect elsewhere before idle connections close.
///
/// The platform's balancer sees the readiness fail within this time, so that
/// no request is on its way to a connection that is being closed.
const NOTICE: Duration = Duration::from_millis(500);

/// How often observed times are sorted into the metrics.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// A running entry host.
pub struct Entry {
    ports: Ports,
    drain: Duration,
    edge: Arc<Edge>,
    host: Arc<Host>,
    _admin: Admin,
}

/// Where an entry host listens.
#[derive(Clone, Debug, Serialize)]
pub struct Ports {
    /// For callers.
    pub callers: SocketAddr,
    /// For its peers.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// Why an entry host can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A port can't be had.
    #[error("can't listen on {address}: {source}; is another process there?")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The admin port can't be used.
    #[error(transparent)]
    Admin(#[from] AdminError),
}

/// What the admin port sees of this host.
struct Host {
    name: String,
    data_centre: String,
    stopping: AtomicBool,
    follower: Arc<Follower>,
    submission: Submission,
    edge: Arc<Edge>,
}

impl Entry {
    /// Opens the ports and starts to serve, on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails where a port can't be had.
    pub async fn start(settings: Settings) -> Result<Entry, StartError> {
        let callers = listen(settings.callers).await?;
        let peers = listen(settings.peers).await?;
        let admin = StdListener::bind(settings.admin).map_err(|source| StartError::Listen {
            address: settings.admin,
            source,
        })?;
        let client = LogClient::new(&settings.log.to_string(), Timeouts::default());
        let follower = Arc::new(Follower::start(client.clone(), FollowerOptions::default()));
        let config = follower.config();
        let dispatcher = Arc::new(Dispatcher::default());
        let recorder = recorder();
        let exporter = opentelemetry_stdout::SpanExporter::default();
        let tracing = Tracing::new(settings.trace_every, &settings.name, exporter);
        let limits = Limits::default();
        let edge = Edge::traced(limits, Arc::clone(&dispatcher), config.clone(), tracing);
        let host = Arc::new(Host {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            stopping: AtomicBool::new(false),
            submission: Submission::new(client, Arc::clone(&follower), COMMAND_LIMIT),
            follower,
            edge: Arc::clone(&edge),
        });
        let answers: Arc<dyn crate::admin::Host> = Arc::clone(&host) as _;
        let admin = Admin::open(admin, &answers, recorder)?;
        let ports = Ports {
            callers: local(&callers, settings.callers)?,
            peers: local(&peers, settings.peers)?,
            admin: admin.address(),
        };
        tokio::spawn(configure(config, dispatcher));
        tokio::spawn(upkeep(recorder));
        tokio::spawn(Arc::clone(&edge).serve(callers));
        log::info!(
            "E0502 host-started name={} callers={} peers={} admin={}",
            settings.name,
            ports.callers,
            ports.peers,
            ports.admin
        );
        Ok(Entry {
            ports,
            drain: settings.drain,
            edge,
            host,
            _admin: admin,
        })
    }

    /// Returns where the host listens.
    pub fn ports(&self) -> &Ports {
        &self.ports
    }

    /// Takes no new call, lets every call in flight end, and stops.
    pub async fn drain(self) {
        log::info!("E0503 host-draining name={}", self.host.name);
        self.host.stopping.store(true, Ordering::SeqCst);
        let ended = timeout(self.drain, self.edge.drain(NOTICE)).await.is_ok();
        let left = if ended { 0 } else { self.edge.callers() };
        log::info!("E0504 host-stopped name={} left={left}", self.host.name);
    }
}

impl crate::admin::Host for Host {
    fn unready(&self) -> Option<String> {
        let progress = self.follower.progress();
        let progress = progress.borrow();
        match self.follower.config().borrow().preset() {
            _ if self.stopping.load(Ordering::SeqCst) => Some("shutting down".to_owned()),
            Some(_) => None,
            None => Some(match &progress.trouble {
                Some(trouble) => format!("no configuration yet: {trouble}"),
                None => "no preset has been chosen: use `preset choose`".to_owned(),
            }),
        }
    }

    fn status(&self) -> serde_json::Value {
        status::page(self)
    }

    fn config(&self) -> String {
        let config = Arc::clone(&self.follower.config().borrow());
        serde_json::to_string(config.as_ref()).unwrap_or_default()
    }

    fn command(&self, body: &[u8]) -> (u16, String) {
        self.submission.answer_json(body)
    }
}

/// Hands each configuration on to the dispatcher as it comes into force.
async fn configure(
    mut config: tokio::sync::watch::Receiver<Arc<state::Config>>,
    dispatcher: Arc<Dispatcher>,
) {
    loop {
        let current = Arc::clone(&config.borrow_and_update());
        dispatcher.configure(&current);
        if config.changed().await.is_err() {
            return;
        }
    }
}

/// Has the metrics' recorder sort in what was observed, for ever.
///
/// It does so when the metrics page is read. Where nobody reads that page,
/// each call's time would stay in memory for good.
async fn upkeep(recorder: Option<&'static PrometheusHandle>) {
    let Some(recorder) = recorder else {
        return;
    };
    loop {
        tokio::time::sleep(UPKEEP_EVERY).await;
        recorder.run_upkeep();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|source| StartError::Listen { address, source })
}

/// Returns the process's metrics page, installed once.
fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE
        .get_or_init(|| PrometheusBuilder::new().install_recorder().ok())
        .as_ref()
}
