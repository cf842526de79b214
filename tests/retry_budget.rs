//! How often all hosts together send requests again.

mod site;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use site::endpoint::Behaviour;
use site::{Endpoint, Host, Store};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// The retries granted for each request, the default of the settings.
const RATIO: f64 = 0.2;

/// The retries granted to all hosts besides, in each window.
const SLACK: f64 = 12.0;

const WINDOW: Duration = Duration::from_secs(4);

/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

const HOSTS: usize = 3;

/// Starts hosts with the bounds of this test.
async fn start_hosts(store: &Store) -> Vec<Arc<Host>> {
    let hosts = site::start_hosts(store, HOSTS).await;
    for host in &hosts {
        let bounds = format!(
            "repeat_slack = {SLACK}\nrepeat_window_seconds = {}\n",
            WINDOW.as_secs()
        );
        host.change_settings("repeat_slack = 50\n", &bounds);
    }
    hosts.into_iter().map(Arc::new).collect()
}

/// Sends requests to the hosts in turn, and returns when each was sent.
async fn load(hosts: &[Arc<Host>], time: Duration, name: &str) -> Vec<Instant> {
    let mut ticks = interval(REQUEST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let end = Instant::now() + time;
    let mut running = JoinSet::new();
    let mut sent = Vec::new();
    while Instant::now() < end {
        ticks.tick().await;
        let number = sent.len();
        let host = Arc::clone(&hosts[number % hosts.len()]);
        let id = format!("{name}-{number}");
        running.spawn(async move { host.try_request("GET", "/read/x", &id).await });
        sent.push(Instant::now());
    }
    running.join_all().await;
    sent
}

/// Returns when each request arrived that had arrived anywhere before.
fn retries(endpoints: &[Endpoint]) -> Vec<Instant> {
    let mut contacts: Vec<_> = endpoints.iter().flat_map(Endpoint::contacts).collect();
    contacts.sort_by_key(|(_, at)| *at);
    let mut seen = BTreeSet::new();
    let again = contacts
        .into_iter()
        .filter(|(id, _)| !seen.insert(id.clone()));
    again.map(|(_, at)| at).collect()
}

fn within(times: &[Instant], from: Instant) -> usize {
    let inside = |at: &&Instant| **at >= from && **at < from + WINDOW;
    times.iter().filter(inside).count()
}

/// Endpoints begin to reject most requests after a calm time. Then all hosts are replaced by new
/// ones, which know nothing of what has been sent again: callers' requests must not earn retries
/// at both.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_replaced() {
    let (store, endpoints) = site::store_and_endpoints(6).await;
    let old = start_hosts(&store).await;
    let new = start_hosts(&store).await;
    let mut sent = load(&old, WINDOW, "calm").await;
    for endpoint in &endpoints {
        endpoint.set_behaviour(Behaviour::RejectMost);
    }
    sent.extend(load(&old, Duration::from_millis(1_500), "old").await);
    drop(old);
    sent.extend(load(&new, WINDOW, "new").await);
    let retries = retries(&endpoints);
    assert!(retries.len() * 10 > sent.len(), "hardly any retries");
    for from in &retries {
        let requests = [0, 1, 2].map(|halves| {
            let earlier = from.checked_sub(WINDOW / 2 * halves);
            earlier.map_or(0, |from| within(&sent, from))
        });
        let most = requests.into_iter().max().unwrap_or_default();
        let allowed = most as f64 * RATIO + SLACK;
        let counted = within(&retries, *from);
        assert!(
            counted as f64 <= allowed,
            "{counted} retries in a window, {allowed:.0} allowed"
        );
    }
}
