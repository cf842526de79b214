//! Starts an entry host, runs its background tasks and shuts it down.

mod router;
mod settings;
mod slot_sender;
mod status;

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rand::Rng;
use serde::Serialize;
use state::Config;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::admin::{Admin, AdminError};
use crate::claims::{Claims, ClaimsOptions, WorkerOptions};
use crate::dispatch::{Dispatcher, DispatcherOptions};
use crate::edge::{Edge, Limits};
use crate::log::{BlockingStoreClient, Follower, FollowerOptions, STORE_TIMEOUT, Submission};
use crate::peers::{Identity, Links, LiveView, Members, MembersOptions};
use crate::trace::Tracing;
use router::Router;

pub use settings::Settings;

/// How long an operator's command may wait for the store.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// How long answers carry `Connection: close` before idle connections are closed.
///
/// The platform's balancer notices the failing readiness check within this
/// time, so that no request is in transit to a connection that is being closed.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// Why a host is not ready while the configuration doesn't list it as a member.
const NOT_A_MEMBER: &str = "not a member, so no slots: is the log up? see E0412 and E0414";

/// The time between two runs of the metrics recorder's upkeep, which moves
/// recorded values into the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The time between two confirmations to the dispatcher that this host's
/// configuration is current, so that the host may act as an owner.
///
/// Well below the time for which such a confirmation holds, so that one late
/// tick doesn't stop an owner.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// How long a shutdown waits until other hosts have taken over this host's roles.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a shutdown waits until the host's removal from the members is in force.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time given to the messages that return idle slots before the links are closed.
const RETURN_DELAY: Duration = Duration::from_millis(200);

/// A running entry host.
pub struct EntryHost {
    ports: Ports,
    drain: Duration,
    host: Arc<Host>,
    _admin: Admin,
}

/// The addresses that an entry host listens on.
#[derive(Clone, Debug, Serialize)]
pub struct Ports {
    /// The port for callers.
    pub callers: SocketAddr,
    /// The port for other entry hosts.
    pub peers: SocketAddr,
    /// The admin port, for operators.
    pub admin: SocketAddr,
}

/// Why an entry host can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A port can't be opened.
    #[error("can't listen on {address}: {source}; is another process there?")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The admin port can't be opened.
    #[error(transparent)]
    Admin(#[from] AdminError),
}

/// The components of a running entry host, which the admin port reads too.
struct Host {
    name: String,
    data_centre: String,
    stopping: AtomicBool,
    has_linked: AtomicBool,
    follower: Arc<Follower>,
    submission: Submission,
    members: Arc<Members>,
    links: Arc<Links>,
    claims: Arc<Claims>,
    dispatcher: Arc<Dispatcher>,
    edge: Arc<Edge>,
}

impl EntryHost {
    /// Opens the ports and starts to serve, on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be opened.
    pub async fn start(settings: Settings) -> Result<EntryHost, StartError> {
        let callers = listen(settings.callers).await?;
        let peers = listen(settings.peers).await?;
        let admin = StdListener::bind(settings.admin).map_err(|source| StartError::Listen {
            address: settings.admin,
            source,
        })?;
        let callers_address = local_address(&callers, settings.callers)?;
        let peers_address = local_address(&peers, settings.peers)?;
        let host = Arc::new(Host::start(&settings, peers, peers_address));
        let admin_host: Arc<dyn crate::admin::Host> = Arc::clone(&host) as _;
        let recorder = metrics_recorder();
        let admin = Admin::open(admin, &admin_host, recorder)?;
        tokio::spawn(run_upkeep(recorder));
        tokio::spawn(Arc::clone(&host.edge).serve(callers));
        let ports = Ports {
            callers: callers_address,
            peers: peers_address,
            admin: admin.address(),
        };
        log::info!(
            "E0502 host-started name={} callers={} peers={} admin={}",
            settings.name,
            ports.callers,
            ports.peers,
            ports.admin
        );
        Ok(EntryHost {
            ports,
            drain: settings.drain,
            host,
            _admin: admin,
        })
    }

    /// Returns the addresses that the host listens on.
    pub fn ports(&self) -> &Ports {
        &self.ports
    }

    /// Shuts the host down: finishes the calls that have arrived and takes no new ones.
    ///
    /// The host's roles as owner go to other hosts first, while it still
    /// serves, so that no slot is out of use. The slots that it holds are
    /// returned only after the last call has ended: a call that still waits for
    /// one arrived before the shutdown, and is served.
    pub async fn drain(self) {
        let host = &self.host;
        log::info!("E0503 host-draining name={}", host.name);
        host.stopping.store(true, Ordering::SeqCst);
        host.members.drain(HANDOVER_TIMEOUT).await;
        let ended = timeout(self.drain, host.edge.drain(DRAIN_NOTICE))
            .await
            .is_ok();
        let left = if ended { 0 } else { host.edge.callers() };
        host.dispatcher.stop();
        sleep(RETURN_DELAY).await;
        host.members.leave(LEAVE_TIMEOUT).await;
        host.members.stop();
        host.claims.stop();
        log::info!("E0504 host-stopped name={} left={left}", host.name);
    }
}

impl Host {
    fn start(settings: &Settings, peers: TcpListener, peers_address: SocketAddr) -> Host {
        let client = BlockingStoreClient::new(settings.log, STORE_TIMEOUT);
        let follower = Arc::new(Follower::start(client.clone(), FollowerOptions::default()));
        let submission = Submission::new(client.clone(), Arc::clone(&follower), COMMAND_TIMEOUT);
        let identity = Identity {
            name: settings.name.clone(),
            incarnation: rand::rng().random(),
            data_centre: settings.data_centre.clone(),
        };
        let links = Links::new(identity.clone(), follower.config());
        let router = Arc::new(Router::default());
        let members = Members::start(
            MembersOptions {
                identity: identity.clone(),
                address: peers_address,
                follower: Arc::clone(&follower),
                host_list: settings.log,
                submission: submission.clone(),
            },
            peers,
            Arc::clone(&links),
            Arc::clone(&router) as _,
        );
        let claims = Claims::start(ClaimsOptions {
            client,
            links: Arc::clone(&links),
            worker: WorkerOptions::default(),
        });
        let options = DispatcherOptions {
            host: links.own_key(),
            incarnation: identity.incarnation,
            data_centre: settings.data_centre.clone(),
            policy: settings.policy,
        };
        let dispatcher = Dispatcher::new(&options, slot_sender::start(Arc::clone(&links)));
        router.set(Arc::clone(&dispatcher), Arc::clone(&claims));
        let exporter = opentelemetry_stdout::SpanExporter::default();
        let tracing = Tracing::new(settings.trace_every, &settings.name, exporter);
        let limits = Limits::default();
        let edge = Edge::with_tracing(limits, Arc::clone(&dispatcher), follower.config(), tracing);
        edge.set_claims(Arc::clone(&claims) as _);
        tokio::spawn(follow_config(follower.config(), Arc::clone(&dispatcher)));
        tokio::spawn(follow_alive(links.view(), Arc::clone(&dispatcher)));
        tokio::spawn(confirm_config(
            Arc::downgrade(&members),
            Arc::clone(&dispatcher),
        ));
        Host {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            stopping: AtomicBool::new(false),
            has_linked: AtomicBool::new(false),
            follower,
            submission,
            members,
            links,
            claims,
            dispatcher,
            edge,
        }
    }
}

impl Host {
    /// Returns whether this host has ever had links to at least half of the
    /// other members that are alive.
    ///
    /// A host that took calls before that could get no slots for them. Once
    /// true, the result stays true: otherwise cut links could make all hosts
    /// unready at the same time.
    fn has_been_linked(&self) -> bool {
        if self.has_linked.load(Ordering::SeqCst) {
            return true;
        }
        let others = self.links.view().borrow().alive().count().saturating_sub(1);
        let has_linked = self.links.link_count() * 2 >= others;
        self.has_linked.store(has_linked, Ordering::SeqCst);
        has_linked
    }
}

impl crate::admin::Host for Host {
    fn unready_reason(&self) -> Option<String> {
        let progress = self.follower.progress();
        let progress = progress.borrow();
        match (
            self.follower.config().borrow().preset(),
            &progress.stale_reason,
        ) {
            _ if self.stopping.load(Ordering::SeqCst) => Some("shutting down".to_owned()),
            (None, Some(reason)) => Some(format!("no configuration yet: {reason}")),
            (None, None) => Some("no preset has been chosen: use `preset choose`".to_owned()),
            _ if !self.members.is_member() => Some(NOT_A_MEMBER.to_owned()),
            _ if !self.has_been_linked() => {
                Some("links to the other hosts are being made".to_owned())
            }
            _ => None,
        }
    }

    fn status(&self) -> serde_json::Value {
        status::to_json(self)
    }

    fn config(&self) -> String {
        let config = Arc::clone(&self.follower.config().borrow());
        serde_json::to_string(config.as_ref()).unwrap_or_default()
    }

    fn command(&self, body: &[u8]) -> (u16, String) {
        self.submission.answer_json(body)
    }
}

/// Applies each configuration to the dispatcher as it comes into force.
async fn follow_config(mut config: watch::Receiver<Arc<Config>>, dispatcher: Arc<Dispatcher>) {
    loop {
        let current = Arc::clone(&config.borrow_and_update());
        dispatcher.configure(&current);
        if config.changed().await.is_err() {
            return;
        }
    }
}

/// Runs the metrics recorder's upkeep periodically, without end.
///
/// The recorder otherwise moves recorded values into its histograms only when
/// the metrics page is read. If no one reads that page, each call's time would
/// stay in memory for good.
async fn run_upkeep(recorder: Option<&'static PrometheusHandle>) {
    let Some(recorder) = recorder else {
        return;
    };
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        recorder.run_upkeep();
    }
}

/// Passes each change of the set of members that are alive to the dispatcher.
async fn follow_alive(mut view: watch::Receiver<Arc<LiveView>>, dispatcher: Arc<Dispatcher>) {
    loop {
        let alive = view.borrow_and_update().alive().collect();
        dispatcher.set_alive(alive);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Passes this host's incarnation to the dispatcher, and the moment at which its
/// configuration was last proved to be current, until the members are dropped.
async fn confirm_config(members: Weak<Members>, dispatcher: Arc<Dispatcher>) {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while let Some(members) = members.upgrade() {
        dispatcher.renew_incarnation(members.own_id().incarnation);
        if let Some(proved_at) = members.current_at() {
            dispatcher.confirm(proved_at);
        }
        drop(members);
        ticks.tick().await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|source| StartError::Listen { address, source })
}

/// Returns the process's metrics recorder, which is installed on the first call.
fn metrics_recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE
        .get_or_init(|| PrometheusBuilder::new().install_recorder().ok())
        .as_ref()
}
