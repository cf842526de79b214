//! Endpoints that advertise a rate limit, through real entry hosts.

mod site;

use std::sync::Arc;
use std::time::{Duration, Instant};

use site::{Endpoint, Host};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// The rate that a limited endpoint advertises, in requests a second from all hosts together.
const RATE_LIMIT: f64 = 1.5;

/// The window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most arrivals allowed in a window at a limited endpoint.
const MAX_ARRIVALS: usize = 14;

/// The time from an endpoint's first request, whose answer advertises the limit, until all
/// hosts must apply the limit.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// How many of the eight endpoints are limited.
const LIMITED_COUNT: usize = 4;

const HOST_COUNT: usize = 5;

/// The time between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// How many requests the load has.
const REQUEST_COUNT: usize = 650;

struct Site {
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<Host>>,
}

impl Site {
    async fn start() -> Site {
        let (store, endpoints) = site::store_and_endpoints(8).await;
        let hosts = site::start_hosts(&store, HOST_COUNT).await;
        let hosts = hosts.into_iter().map(Arc::new).collect();
        Site { endpoints, hosts }
    }

    fn limited(&self) -> &[Endpoint] {
        &self.endpoints[..LIMITED_COUNT]
    }

    /// Sends `requests` requests to all hosts in turn, and returns how many were served.
    async fn send_load(&self, requests: usize) -> usize {
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        for number in 0..requests {
            ticks.tick().await;
            let at = number % HOST_COUNT;
            let host = Arc::clone(&self.hosts[at]);
            let id = format!("{at}");
            running.spawn(async move { host.request("GET", "/read/x", &id).await.status });
        }
        let statuses = running.join_all().await;
        statuses.iter().filter(|s| **s == 200).count()
    }
}

/// Returns the most arrivals in any window that starts after all hosts must apply the limit.
fn max_arrivals(endpoint: &Endpoint) -> usize {
    let arrivals: Vec<Instant> = endpoint.arrivals().into_iter().map(|(_, at)| at).collect();
    let known = arrivals.first().map(|first| *first + APPLY_TIMEOUT);
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

/// An endpoint's advertised rate limit holds for all hosts together. Without coordination each
/// host would send as many requests as the limit allows. All requests must still be served, by the
/// endpoints without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn advertised_limit() {
    let site = Site::start().await;
    site.limited()
        .iter()
        .for_each(|e| e.set_rate_limit(Some(RATE_LIMIT)));
    assert_eq!(site.send_load(REQUEST_COUNT).await, REQUEST_COUNT);
    for endpoint in site.limited() {
        let most = max_arrivals(endpoint);
        assert!(most <= MAX_ARRIVALS, "{most} requests in {WINDOW:?}");
    }
}
