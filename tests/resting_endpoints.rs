//! Endpoints that ask a host for rest, and endpoints that say with their answers that they leave.

mod site;

use std::sync::Arc;
use std::time::{Duration, Instant};

use site::endpoint::{Behaviour, Leaving};
use site::{Endpoint, Host, Store};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// The time of rest that endpoints ask for, in seconds.
const REST_SECONDS: u32 = 3;

/// How long after an endpoint has asked for rest requests under way may still reach it.
const REST_DELAY: Duration = Duration::from_millis(500);

/// The latency factor, in percent, that makes an endpoint a second choice.
const SLOW_PERCENT: u32 = 200;

/// The time between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// How long the load lasts, less than the time of rest.
const LOAD_TIME: Duration = Duration::from_millis(2_700);

struct Site {
    _store: Store,
    endpoints: Vec<Endpoint>,
    host: Arc<Host>,
}

impl Site {
    async fn start(endpoints: usize) -> Site {
        let (store, endpoints) = site::store_and_endpoints(endpoints).await;
        let host = Arc::new(Host::ready("host", &store).await);
        Site {
            _store: store,
            endpoints,
            host,
        }
    }

    /// Sends one request to the first endpoint, by making the others slower meanwhile.
    async fn request_first(&self) -> u16 {
        for other in &self.endpoints[1..] {
            other.set_latency(SLOW_PERCENT);
        }
        let answer = self.host.request("GET", "/read/x", "first").await;
        for other in &self.endpoints[1..] {
            other.set_latency(100);
        }
        answer.status
    }

    /// Sends requests of both routes by turns, and returns the statuses.
    async fn load(&self, time: Duration) -> Vec<u16> {
        let end = Instant::now() + time;
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        let mut number = 0;
        while Instant::now() < end {
            ticks.tick().await;
            number += 1;
            let host = Arc::clone(&self.host);
            let (method, path) = match number % 2 {
                0 => ("GET", "/read/x"),
                _ => ("POST", "/write/x"),
            };
            running.spawn(async move {
                let id = format!("{number}");
                host.request(method, path, &id).await.status
            });
        }
        running.join_all().await
    }
}

/// Returns how many of `contacts` fall into a time of rest that one of `rejections` asked for.
fn in_rest(contacts: &[Instant], rejections: &[Instant]) -> usize {
    let counts = rejections.iter().map(|asked| {
        let from = *asked + REST_DELAY;
        let until = *asked + Duration::from_secs(REST_SECONDS.into());
        let inside = contacts.iter().filter(|at| **at > from && **at < until);
        inside.count()
    });
    counts.max().unwrap_or_default()
}

/// An endpoint turns a request away and asks for rest. The host must not send it anything for so
/// long, neither requests nor health checks; the other endpoints must serve all requests.
#[tokio::test(flavor = "multi_thread")]
async fn rest_kept() {
    let site = Site::start(4).await;
    let resting = &site.endpoints[0];
    resting.set_behaviour(Behaviour::Rest(REST_SECONDS));
    site.request_first().await;
    let statuses = site.load(LOAD_TIME).await;
    let rejections = resting.rejections();
    assert!(!rejections.is_empty());
    let requests = in_rest(&rejections, &rejections);
    assert_eq!(requests, 0, "requests in the time of rest");
    let probes = in_rest(&resting.probes(), &rejections);
    assert_eq!(probes, 0, "health checks in the time of rest");
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, statuses.len(), "{statuses:?}");
}

/// All endpoints ask for rest. Requests must be rejected at once as not run rather than be sent
/// there, also those that wait in line.
#[tokio::test(flavor = "multi_thread")]
async fn all_resting() {
    let site = Site::start(3).await;
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Rest(REST_SECONDS));
    }
    let statuses = site.load(LOAD_TIME).await;
    assert!(statuses.iter().all(|s| *s == 503), "{statuses:?}");
    for endpoint in &site.endpoints {
        let requests = in_rest(&endpoint.rejections(), &endpoint.rejections());
        assert_eq!(requests, 0, "requests in the time of rest");
    }
}

/// An endpoint is used again after its rest.
#[tokio::test(flavor = "multi_thread")]
async fn rest_ends() {
    let site = Site::start(1).await;
    let endpoint = &site.endpoints[0];
    endpoint.set_behaviour(Behaviour::Rest(1));
    assert_eq!(
        site.host.request("GET", "/read/x", "first").await.status,
        503
    );
    endpoint.set_behaviour(Behaviour::Serve);
    sleep(Duration::from_millis(1_100)).await;
    assert_eq!(
        site.host.request("GET", "/read/x", "second").await.status,
        200
    );
}

/// An endpoint says with its answers that it leaves, and its record in the store doesn't. It must
/// get no further requests, or they are lost when it ends.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_told() {
    let site = Site::start(4).await;
    let leaving = &site.endpoints[0];
    leaving.set_leaving(Leaving::All);
    assert_eq!(site.request_first().await, 200);
    let first = Instant::now();
    let statuses = site.load(LOAD_TIME).await;
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    let late = leaving.arrivals();
    let late = late.iter().filter(|(_, at)| *at > first + REST_DELAY);
    assert_eq!(late.count(), 0);
}
