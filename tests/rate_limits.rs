//! Endpoints that advertise a rate limit, through real entry hosts.

mod site;

use std::sync::Arc;
use std::time::{Duration, Instant};

use site::{Endpoint, Host, peers};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Requests a second that an endpoint in need takes from all hosts together.
const LIMIT: f64 = 1.5;

/// The window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Arrivals granted in a window at an endpoint that advertises the limit.
const GRANTED: usize = 14;

/// How long after an endpoint first named its limit all hosts have to act on it.
const TOLD: Duration = Duration::from_millis(500);

/// Endpoints in need, of eight.
const LIMITED: usize = 4;

const HOSTS: usize = 5;

/// The pause between two requests of the load.
const PAUSE: Duration = Duration::from_millis(10);

/// Requests of the load.
const REQUESTS: usize = 650;

struct Site {
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<Host>>,
}

impl Site {
    async fn start() -> Site {
        let (store, endpoints) = site::endpoints(8).await;
        let hosts = site::hosts(&store, &peers(HOSTS)).await;
        let hosts = hosts.into_iter().map(Arc::new).collect();
        Site { endpoints, hosts }
    }

    fn limited(&self) -> &[Endpoint] {
        &self.endpoints[..LIMITED]
    }

    /// Sends so many requests to all hosts in turn, and returns how many were served.
    async fn load(&self, requests: usize) -> usize {
        let mut ticks = interval(PAUSE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        for number in 0..requests {
            ticks.tick().await;
            let at = number % HOSTS;
            let host = Arc::clone(&self.hosts[at]);
            let id = format!("{at}");
            running.spawn(async move { host.request("GET", "/read/x", &id).await.status });
        }
        let statuses = running.join_all().await;
        statuses.iter().filter(|s| **s == 200).count()
    }
}

/// Returns the most arrivals in one window that begins once all hosts have to know.
fn busiest(endpoint: &Endpoint) -> usize {
    let arrivals: Vec<Instant> = endpoint.arrivals().into_iter().map(|(_, at)| at).collect();
    let known = arrivals.first().map(|first| *first + TOLD);
    let counted: Vec<Instant> = arrivals
        .iter()
        .copied()
        .filter(|at| known.is_some_and(|known| *at > known))
        .collect();
    let windows = counted.iter().map(|first| {
        let inside = counted
            .iter()
            .filter(|at| *at >= first && **at < *first + WINDOW);
        inside.count()
    });
    windows.max().unwrap_or_default()
}

/// An endpoint that takes a few requests a second from all hosts together must not get
/// as many from each, while the others have room.
#[tokio::test(flavor = "multi_thread")]
async fn advertised_limit() {
    let site = Site::start().await;
    site.limited().iter().for_each(|e| e.limit(Some(LIMIT)));
    assert_eq!(site.load(REQUESTS).await, REQUESTS);
    for endpoint in site.limited() {
        let most = busiest(endpoint);
        assert!(most <= GRANTED, "{most} requests in {WINDOW:?}");
    }
}
