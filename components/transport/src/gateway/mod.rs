//! An entry host on the platform: requests in, endpoints out, the store behind.
//!
//! One thread runs everything, so that state is shared without locks: a host
//! has a fifth of a core. Decisions are made by `state::fleet`; this module
//! moves bytes, keeps time and follows the store.

mod answer;
mod ask;
mod attempt;
mod call;
mod drain;
mod follow;
mod fragments;
mod held;
mod limits;
mod line;
mod neighbours;
mod pool;
mod quarantine;
mod ready;
mod refusal;
mod reports;
mod request_log;
mod server;
mod settings;
mod share;
mod stream;
mod traffic;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use coordination::neighbours::Neighbours;
use coordination::read_schedule::ReadSchedule;
use protocol::neighbour::Topic;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::fleet::retry_budget::RetryBounds;
use state::fleet::service_time::ServiceTime;
use state::fleet::{HostProbeBudget, Registry, WindowedRetryBudget};
use state::routing::{OperatorConfig, Route};
use state::{DataCentreKey, Moment, ServiceKey};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::clock;
use fragments::Large;
use held::Shelves;
use line::Lines;
use pool::Pool;
use quarantine::Suspects;
use reports::Reports;
use request_log::RequestLog;
pub use settings::{Bounds, Live, Settings};
use traffic::Traffic;

/// Why a host can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A port can't be had.
    #[error("can't listen on {0}: {1}; is another process there?")]
    Listen(SocketAddr, io::Error),
}

/// How far a host's shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Requests are served.
    Serving,
    /// Requests are served; each answer asks the caller to connect elsewhere.
    Leaving,
    /// Requests are rejected as not run, and idle connections are closed.
    Closing,
}

/// How far this host is with each topic of the store.
struct Feeds {
    operators: ReadSchedule,
    endpoints: ReadSchedule,
}

impl Feeds {
    /// Returns the feeds of a host, which may start `first`, with its whole site.
    fn new(first: bool, draw: f64, now: Moment) -> Feeds {
        let feed = match first {
            true => ReadSchedule::at_site_start(draw, now),
            false => ReadSchedule::restarted(now),
        };
        Feeds {
            operators: feed.clone(),
            endpoints: feed,
        }
    }
}

/// A running entry host.
pub struct Gateway {
    settings: Settings,
    live: RefCell<Live>,
    home: DataCentreKey,
    started: Moment,
    orders: RefCell<OperatorConfig>,
    registry: RefCell<Registry>,
    listed: Cell<bool>,
    feeds: RefCell<Feeds>,
    /// Wakes the tasks that follow the store where they have to read sooner.
    sooner: Notify,
    /// Wakes requests that wait until routes and endpoints are known.
    known: Notify,
    shelves: RefCell<Shelves>,
    socket: UdpSocket,
    neighbours: RefCell<Neighbours>,
    large: RefCell<Large>,
    traffic: RefCell<Traffic>,
    /// Wakes the task that sends fragments.
    fragments_wait: Notify,
    pool: RefCell<Pool>,
    budgets: RefCell<BTreeMap<ServiceKey, WindowedRetryBudget>>,
    tempos: RefCell<BTreeMap<String, ServiceTime>>,
    asks: RefCell<HostProbeBudget>,
    lines: RefCell<Lines>,
    share: Cell<f64>,
    random: RefCell<SmallRng>,
    stage: watch::Sender<Stage>,
    callers: Cell<usize>,
    requests: RefCell<RequestLog>,
    suspects: RefCell<Suspects>,
    limit_reports: RefCell<Reports>,
    /// Wakes the task that finds out whether an endpoint crashed.
    broken_wait: Notify,
}

impl Gateway {
    /// Opens the ports and starts to serve, on the current thread's local set.
    ///
    /// # Errors
    ///
    /// Fails where a port can't be had.
    pub async fn start(settings: Settings) -> Result<Rc<Gateway>, StartError> {
        let callers = listen(settings.callers).await?;
        let readiness = listen(settings.readiness).await?;
        let socket = UdpSocket::bind(settings.peers)
            .await
            .map_err(|e| StartError::Listen(settings.peers, e))?;
        let gateway = Rc::new(Gateway::new(settings, socket));
        spawn_local(Rc::clone(&gateway).accept(callers));
        spawn_local(Rc::clone(&gateway).answer_readiness(readiness));
        spawn_local(Rc::clone(&gateway).hear());
        spawn_local(Rc::clone(&gateway).greet());
        spawn_local(Rc::clone(&gateway).send_fragments());
        spawn_local(Rc::clone(&gateway).seek_all());
        spawn_local(Rc::clone(&gateway).follow(Topic::Operators));
        spawn_local(Rc::clone(&gateway).follow(Topic::Endpoints));
        spawn_local(Rc::clone(&gateway).keep_share());
        spawn_local(Rc::clone(&gateway).keep_pool());
        spawn_local(Rc::clone(&gateway).report_traffic());
        spawn_local(Rc::clone(&gateway).confirm_crashes());
        spawn_local(Rc::clone(&gateway).remind_of_crashes());
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
        let feeds = Feeds::new(settings.first_start, random.random(), clock::now());
        let neighbours = Neighbours::new(settings.peers, &settings.data_centre);
        let asks = match settings.first_start {
            true => HostProbeBudget::new(clock::now()),
            false => HostProbeBudget::restarted(clock::now()),
        };
        Gateway {
            home: DataCentreKey::named(&settings.data_centre),
            live: RefCell::new(settings.live.clone()),
            settings,
            started: clock::now(),
            orders: RefCell::default(),
            registry: RefCell::default(),
            listed: Cell::new(false),
            feeds: RefCell::new(feeds),
            sooner: Notify::new(),
            known: Notify::new(),
            shelves: RefCell::default(),
            socket,
            neighbours: RefCell::new(neighbours),
            large: RefCell::default(),
            traffic: RefCell::default(),
            fragments_wait: Notify::new(),
            pool: RefCell::default(),
            budgets: RefCell::default(),
            tempos: RefCell::default(),
            asks: RefCell::new(asks),
            lines: RefCell::default(),
            share: Cell::new(0.0),
            random: RefCell::new(random),
            stage: watch::Sender::new(Stage::Serving),
            callers: Cell::new(0),
            requests: RefCell::default(),
            suspects: RefCell::default(),
            limit_reports: RefCell::default(),
            broken_wait: Notify::new(),
        }
    }

    /// Takes over what has changed in the settings, for all that comes from now on.
    pub fn reload(&self, live: Live) {
        self.live.replace(live);
    }

    /// Returns whether this host can serve: it knows routes and endpoints.
    pub fn is_ready(&self) -> bool {
        self.knows_all() && *self.stage.borrow() == Stage::Serving
    }

    fn knows_all(&self) -> bool {
        self.knows(Topic::Operators) && self.knows(Topic::Endpoints)
    }

    fn knows(&self, topic: Topic) -> bool {
        match topic {
            Topic::Operators => self.orders.borrow().catalogue.is_some(),
            Topic::Endpoints => self.listed.get(),
        }
    }

    /// Returns an evenly drawn number from all of `u64`.
    fn draw(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Returns an evenly drawn number from 0 to 1.
    fn draw_share(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Changes the repeat budget of a service.
    fn with_budget<R>(
        &self,
        service: ServiceKey,
        act: impl FnOnce(&mut WindowedRetryBudget) -> R,
    ) -> R {
        let bounds = {
            let bounds = &self.live.borrow().bounds;
            RetryBounds {
                ratio: bounds.repeat_ratio,
                slack: bounds.repeat_slack,
                window: bounds.repeat_window,
            }
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service)
            .or_insert_with(|| WindowedRetryBudget::new(bounds, self.started));
        budget.set_bounds(bounds);
        act(budget)
    }

    /// Changes what is known of how long a route's work takes.
    fn with_tempo<R>(&self, route: &Route, act: impl FnOnce(&mut ServiceTime) -> R) -> R {
        let mut tempos = self.tempos.borrow_mut();
        let tempo = tempos
            .entry(route.name.clone())
            .or_insert_with(|| ServiceTime::new(route.objective));
        act(tempo)
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| StartError::Listen(address, e))
}
