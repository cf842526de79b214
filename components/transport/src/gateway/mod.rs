//! The entry host on the platform: forwards callers' requests to endpoints, and
//! gets its configuration and endpoints from the platform's store.
//!
//! A host has a fifth of a core, so a single thread runs all tasks and they share
//! state without locks. `state::fleet` makes the decisions; this module transfers
//! bytes, reads the clock and follows the store.

mod accounts;
mod answer_body;
mod attempt;
mod call;
mod centre_loss;
mod confirm;
mod datagrams;
mod denial;
mod drain;
mod follow;
mod forward;
mod fragments;
mod group;
mod isolation;
mod limits;
mod neighbours;
mod observations;
mod origin;
mod pipeline;
mod pool;
mod positions;
mod probe;
mod quarantine;
mod quota;
mod read_ahead;
mod ready;
mod report_limiter;
mod request_log;
mod request_tokens;
mod retries;
mod rollouts;
mod server;
mod settings;
mod shares;
mod signals;
mod stream;
mod subset;
mod topic_cache;
mod traffic;
mod used_time;
mod wait_queue;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use coordination::datagram_queue::DatagramQueue;
use coordination::helpers::Helpers;
use coordination::neighbours::Neighbours;
use coordination::read_schedule::ReadSchedule;
use coordination::rollouts::Rollouts;
use protocol::neighbour::Topic;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::fleet::service_time::ServiceTime;
use state::fleet::token_buckets::HostPhase;
use state::fleet::{AnnouncedTimes, HostProbeBudget, Registry};
use state::routing::{OperatorConfig, Route};
use state::{DataCentreKey, HostKey, Moment, ServiceKey};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::clock;
use centre_loss::LossWatch;
use forward::ForwardedCounts;
use fragments::Transfers;
use isolation::IsolationChecks;
use observations::Observations;
use pool::Pool;
use quarantine::CrashTracker;
use quota::Quotas;
use report_limiter::ReportLimiter;
use request_log::RequestLog;
use retries::RetryBudgets;
use server::Listener;
pub use settings::{Bounds, Live, Ports, Settings};
use shares::Shares;
use subset::Subsets;
use topic_cache::TopicCaches;
use traffic::Traffic;
use wait_queue::WaitQueues;

/// The reason why a host can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket can't be bound.
    #[error("can't listen on {0}: {1}; does another process use the port?")]
    Listen(SocketAddr, io::Error),
}

/// The stage of a host's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Requests are served.
    Serving,
    /// Requests are served; each answer asks the caller to close the connection.
    Leaving,
    /// Requests are rejected as not run, and idle connections are closed.
    Closing,
}

/// The read schedule of each topic of the store.
struct ReadSchedules {
    operators: ReadSchedule,
    endpoints: ReadSchedule,
}

impl ReadSchedules {
    /// Returns the initial schedules; `first` means that the whole site starts with this host.
    ///
    /// `draw` is a random number from 0 to 1.
    fn new(first: bool, draw: f64, now: Moment) -> ReadSchedules {
        let schedule = match first {
            true => ReadSchedule::at_site_start(draw, now),
            false => ReadSchedule::restarted(now),
        };
        ReadSchedules {
            operators: schedule.clone(),
            endpoints: schedule,
        }
    }
}

/// A running entry host.
pub struct Gateway {
    settings: Settings,
    live: RefCell<Live>,
    home: DataCentreKey,
    started: Moment,
    config: RefCell<OperatorConfig>,
    registry: RefCell<Registry>,
    /// Whether the list of endpoints has been received.
    endpoints_loaded: Cell<bool>,
    schedules: RefCell<ReadSchedules>,
    /// Wakes the tasks that follow the store when their next read is due earlier.
    schedule_changed: Notify,
    /// Wakes requests that wait for routes and endpoints to be loaded.
    config_loaded: Notify,
    caches: RefCell<TopicCaches>,
    socket: UdpSocket,
    unsent: RefCell<DatagramQueue>,
    /// Wakes the task that sends queued datagrams.
    unsent_notify: Notify,
    neighbours: RefCell<Neighbours>,
    transfers: RefCell<Transfers>,
    traffic: RefCell<Traffic>,
    /// Wakes the task that sends fragments.
    fragments_notify: Notify,
    pool: RefCell<Pool>,
    subsets: Subsets,
    /// Idle connections to other hosts.
    host_pool: RefCell<Pool>,
    /// The hosts that serve requests for this one, by service.
    helpers: RefCell<BTreeMap<ServiceKey, Helpers>>,
    forwarded: ForwardedCounts,
    isolation_checks: RefCell<IsolationChecks>,
    /// Wakes the task that checks whether endpoints answer.
    checks_due: Notify,
    retry_budgets: RetryBudgets,
    /// Service time estimates by route name.
    service_times: RefCell<BTreeMap<String, ServiceTime>>,
    /// What callers with accounts announce as their time, by route name.
    announced_times: RefCell<AnnouncedTimes>,
    probe_budget: RefCell<HostProbeBudget>,
    quotas: Quotas,
    shares: Shares,
    queues: RefCell<WaitQueues>,
    /// The partitions of the store's group that this host holds; none before the first join.
    partitions: Cell<Option<usize>>,
    /// When the store may assign them to others, unless this host joins again.
    session_end: Cell<Moment>,
    /// This host's fraction of all hosts, from 0 to 1; 0 until known.
    share: Cell<f64>,
    /// The number of hosts of the site; 1 before the first join.
    site_size: Cell<usize>,
    random: RefCell<SmallRng>,
    stage: watch::Sender<Stage>,
    /// Until when requests are awaited during the shutdown.
    drain_end: Cell<Option<Moment>>,
    /// The number of open connections from callers.
    callers: Cell<usize>,
    /// The number of pipelined requests that were started early.
    ahead: Cell<usize>,
    request_log: RefCell<RequestLog>,
    crash_tracker: RefCell<CrashTracker>,
    /// Limits the reports of endpoints' rate limits to other hosts.
    limit_reports: RefCell<ReportLimiter>,
    /// Wakes the task that checks whether an endpoint crashed.
    broken_notify: Notify,
    observations: RefCell<Observations>,
    loss_watch: RefCell<LossWatch>,
    /// Wakes the task that checks data centres in which endpoints fail.
    centres_failing: Notify,
    /// Wakes the task that tells observations.
    observations_due: Notify,
    rollouts: RefCell<Rollouts>,
    /// Wakes the task that steps the roll-outs.
    rollouts_changed: Notify,
}

impl Gateway {
    /// Binds the sockets and spawns the host's tasks on the current `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound.
    pub async fn start(mut settings: Settings) -> Result<Rc<Gateway>, StartError> {
        let callers = listen(&mut settings.callers).await?;
        let readiness = listen(&mut settings.readiness).await?;
        let (socket, hosts) = bind_peers(&mut settings.peers).await?;
        let gateway = Rc::new(Gateway::new(settings, socket));
        spawn_local(Rc::clone(&gateway).accept(callers, Listener::Callers));
        spawn_local(Rc::clone(&gateway).accept(hosts, Listener::Hosts));
        spawn_local(Rc::clone(&gateway).check_isolation());
        spawn_local(Rc::clone(&gateway).answer_readiness(readiness));
        spawn_local(Rc::clone(&gateway).receive_datagrams());
        spawn_local(Rc::clone(&gateway).send_greetings());
        spawn_local(Rc::clone(&gateway).send_fragments());
        spawn_local(Rc::clone(&gateway).send_queued());
        spawn_local(Rc::clone(&gateway).fetch_topics());
        spawn_local(Rc::clone(&gateway).follow(Topic::Operators));
        spawn_local(Rc::clone(&gateway).follow(Topic::Endpoints));
        spawn_local(Rc::clone(&gateway).maintain_group());
        spawn_local(Rc::clone(&gateway).sweep_pool());
        spawn_local(Rc::clone(&gateway).maintain_subsets());
        spawn_local(Rc::clone(&gateway).report_traffic());
        spawn_local(Rc::clone(&gateway).report_retries());
        spawn_local(Rc::clone(&gateway).confirm_crashes());
        spawn_local(Rc::clone(&gateway).send_reminders());
        spawn_local(Rc::clone(&gateway).report_demand());
        spawn_local(Rc::clone(&gateway).tell_observations());
        spawn_local(Rc::clone(&gateway).watch_centres());
        spawn_local(Rc::clone(&gateway).exchange_shares());
        if gateway.rollouts.borrow().is_enabled() {
            spawn_local(Rc::clone(&gateway).run_rollouts());
        }
        log::info!(
            "E0502 host-started name={} callers={} log={}",
            gateway.settings.name,
            gateway.settings.callers,
            gateway.settings.log
        );
        Ok(gateway)
    }

    fn new(settings: Settings, socket: UdpSocket) -> Gateway {
        let mut random = SmallRng::from_os_rng();
        let schedules = ReadSchedules::new(settings.first_start, random.random(), clock::now());
        let neighbours = Neighbours::new(settings.peers, &settings.data_centre);
        let rollouts = Rollouts::new(
            settings.peers,
            random.random(),
            &settings.data_centre,
            settings.exposure,
        );
        let probe_budget = match settings.first_start {
            true => HostProbeBudget::new(clock::now()),
            false => HostProbeBudget::restarted(clock::now()),
        };
        let phase = HostPhase {
            host: HostKey::named(&settings.peers.to_string()).0,
            uptime: clock::uptime_at_start(),
        };
        Gateway {
            home: DataCentreKey::named(&settings.data_centre),
            live: RefCell::new(settings.live.clone()),
            settings,
            started: clock::now(),
            config: RefCell::default(),
            registry: RefCell::new(Registry::new(phase)),
            endpoints_loaded: Cell::new(false),
            schedules: RefCell::new(schedules),
            schedule_changed: Notify::new(),
            config_loaded: Notify::new(),
            caches: RefCell::default(),
            socket,
            unsent: RefCell::default(),
            unsent_notify: Notify::new(),
            neighbours: RefCell::new(neighbours),
            transfers: RefCell::default(),
            traffic: RefCell::default(),
            fragments_notify: Notify::new(),
            pool: RefCell::default(),
            subsets: Subsets::default(),
            host_pool: RefCell::default(),
            helpers: RefCell::default(),
            forwarded: ForwardedCounts::default(),
            isolation_checks: RefCell::default(),
            checks_due: Notify::new(),
            retry_budgets: RefCell::default(),
            service_times: RefCell::default(),
            announced_times: RefCell::default(),
            probe_budget: RefCell::new(probe_budget),
            quotas: Quotas::new(clock::now()),
            shares: Shares::default(),
            queues: RefCell::default(),
            partitions: Cell::new(None),
            session_end: Cell::new(clock::now()),
            share: Cell::new(0.0),
            site_size: Cell::new(1),
            random: RefCell::new(random),
            stage: watch::Sender::new(Stage::Serving),
            drain_end: Cell::new(None),
            callers: Cell::new(0),
            ahead: Cell::new(0),
            request_log: RefCell::default(),
            crash_tracker: RefCell::default(),
            limit_reports: RefCell::default(),
            broken_notify: Notify::new(),
            observations: RefCell::default(),
            loss_watch: RefCell::default(),
            centres_failing: Notify::new(),
            observations_due: Notify::new(),
            rollouts: RefCell::new(rollouts),
            rollouts_changed: Notify::new(),
        }
    }

    /// Returns the addresses that this host listens on.
    pub fn ports(&self) -> Ports {
        Ports {
            callers: self.settings.callers,
            readiness: self.settings.readiness,
            peers: self.settings.peers,
        }
    }

    /// Replaces the reloadable settings; requests and connections from now on use them.
    pub fn reload(&self, live: Live) {
        self.live.replace(live);
    }

    /// Returns whether this host has routes and endpoints, isn't shutting down, and serves
    /// callers as well as other hosts do.
    pub fn is_ready(&self) -> bool {
        self.knows_endpoints()
            && *self.stage.borrow() == Stage::Serving
            && !self.depends_on_helpers()
    }

    /// Returns whether this host knows which endpoints a request may be sent to.
    fn knows_endpoints(&self) -> bool {
        self.has_all_topics() && !self.rollouts.borrow().must_wait(clock::now())
    }

    fn has_all_topics(&self) -> bool {
        self.has_topic(Topic::Operators) && self.has_topic(Topic::Endpoints)
    }

    fn has_topic(&self, topic: Topic) -> bool {
        match topic {
            Topic::Operators => self.config.borrow().catalogue.is_some(),
            Topic::Endpoints => self.endpoints_loaded.get(),
        }
    }

    /// Returns a uniformly distributed random `u64`.
    fn random_u64(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Returns a uniformly distributed random number from 0 to 1.
    fn random_fraction(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Runs `act` on the service time estimate of a route.
    fn with_service_time<R>(&self, route: &Route, act: impl FnOnce(&mut ServiceTime) -> R) -> R {
        let mut service_times = self.service_times.borrow_mut();
        let service_time = service_times
            .entry(route.name.clone())
            .or_insert_with(|| ServiceTime::new(route.objective));
        act(service_time)
    }
}

/// Listens on `address`, and sets its port if it was 0.
async fn listen(address: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let failed = |e| StartError::Listen(*address, e);
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// The number of free UDP ports that are tried until one is free for TCP too.
const MAX_PORT_TRIES: usize = 16;

/// Binds a UDP socket and listens on the same port, and sets the port of `address` if it
/// was 0.
async fn bind_peers(address: &mut SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let wanted = *address;
    let mut tries = 0;
    loop {
        *address = wanted;
        tries += 1;
        let socket = bind(address).await?;
        match listen(address).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(_) if wanted.port() == 0 && tries < MAX_PORT_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

/// Binds a UDP socket to `address`, and sets its port if it was 0.
async fn bind(address: &mut SocketAddr) -> Result<UdpSocket, StartError> {
    let failed = |e| StartError::Listen(*address, e);
    let socket = UdpSocket::bind(*address).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}
