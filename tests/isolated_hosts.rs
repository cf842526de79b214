//! Hosts that are cut off from all endpoints, while callers and other hosts reach them.

mod site;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use site::endpoint::{Behaviour, Leaving};
use site::{CutMode, Endpoint, Host, Network, Store, until};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

const ENDPOINT_COUNT: usize = 8;

/// How long an endpoint runs a request, in milliseconds.
const WORK_MS: u64 = 10;

/// How long an endpoint runs a long request, in milliseconds.
const LONG_WORK_MS: u64 = 300;

/// The latency factor, in percent, that makes an endpoint a second choice.
const SLOW_PERCENT: u32 = 200;

/// The time between two requests of the load, to all hosts in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// How long after the start of a cut callers may be served worse.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// How long first tries are counted.
const COUNTED_TIME: Duration = Duration::from_secs(2);

/// One in this many first tries may fail at hosts that are cut off.
const FAILED_DIVISOR: usize = 50;

/// Requests and answers at one host.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
}

struct Site {
    network: Network,
    _store: Store,
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<Host>>,
}

impl Site {
    /// Starts a site whose hosts are in these data centres, and opens connections between
    /// all hosts and endpoints.
    async fn start(centres: &[&str]) -> Site {
        let network = Network::default();
        let (store, endpoints) = site::store_and_endpoints_on(&network, ENDPOINT_COUNT).await;
        endpoints
            .iter()
            .for_each(|e| e.set_behaviour(Behaviour::Delay(WORK_MS)));
        let mut hosts = vec![Arc::new(Host::start("host-0", &store).await)];
        for (number, centre) in centres.iter().enumerate().skip(1) {
            let name = format!("host-{number}");
            let host = hosts[0].join_in(centre, &name, &store).await;
            hosts.push(Arc::new(host));
        }
        let site = Site {
            network,
            _store: store,
            endpoints,
            hosts,
        };
        for host in &site.hosts {
            until("the host is ready", async || host.readiness().await == 200).await;
        }
        site.load("before", "GET", Duration::from_secs(1)).await;
        site
    }

    /// Cuts the first `count` hosts off from all endpoints.
    fn cut(&self, count: usize, mode: CutMode) {
        let hosts: Vec<&Host> = self.hosts[..count].iter().map(|h| &**h).collect();
        self.network.cut(&hosts, mode);
    }

    /// Sends requests to all hosts in turn, and returns the statuses by host and by ID.
    async fn statuses(
        &self,
        name: &str,
        method: &str,
        time: Duration,
    ) -> Vec<(usize, String, u16)> {
        let path = match method {
            "GET" => "/read/x",
            _ => "/write/x",
        };
        let end = Instant::now() + time;
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        let mut number = 0;
        while Instant::now() < end {
            ticks.tick().await;
            let at = number % self.hosts.len();
            let host = Arc::clone(&self.hosts[at]);
            let id = format!("{name}-{number}");
            let method = method.to_owned();
            running.spawn(async move {
                let answer = host.try_request(&method, path, &id).await;
                (at, id, answer.map_or(0, |a| a.status))
            });
            number += 1;
        }
        running.join_all().await
    }

    /// Sends requests to all hosts in turn, and returns how many were served by host.
    async fn load(&self, name: &str, method: &str, time: Duration) -> Vec<Tally> {
        let mut tallies = vec![Tally::default(); self.hosts.len()];
        for (at, id, status) in self.statuses(name, method, time).await {
            tallies[at].sent += 1;
            tallies[at].served += usize::from(status == 200);
            if status != 200 {
                println!("host {at} answered {id} with {status}");
            }
        }
        tallies
    }

    /// Asserts that first tries are served at each of the first `cut` hosts.
    async fn assert_served(&self, cut: usize) {
        self.load("during", "GET", STABILITY_WINDOW).await;
        for method in ["GET", "POST"] {
            let tallies = self.load(method, method, COUNTED_TIME).await;
            for tally in &tallies[..cut] {
                let failed = tally.sent - tally.served;
                assert!(
                    failed <= tally.sent / FAILED_DIVISOR,
                    "{method}: {tally:?} at a host that is cut off, of {tallies:?}"
                );
            }
        }
    }

    /// Returns the IDs of all requests that ran, and of those that ran more than once.
    fn runs(&self) -> (BTreeSet<String>, Vec<String>) {
        let mut unique = BTreeSet::new();
        let mut repeated = Vec::new();
        for id in self.endpoints.iter().flat_map(Endpoint::runs) {
            if !unique.insert(id.clone()) {
                repeated.push(id);
            }
        }
        (unique, repeated)
    }
}

/// Half of the hosts can't reach any endpoint, and their connections hang. Their callers must be
/// served at the first try, rather than wait for endpoints that don't answer.
#[tokio::test(flavor = "multi_thread")]
async fn cut_hangs() {
    let site = Site::start(&["here"; 4]).await;
    site.cut(2, CutMode::Hang);
    site.assert_served(2).await;
}

/// Half of the hosts can't reach any endpoint, and their connections are reset. Their callers must
/// be served at the first try.
#[tokio::test(flavor = "multi_thread")]
async fn cut_resets() {
    let site = Site::start(&["here"; 4]).await;
    site.cut(2, CutMode::Reset);
    site.assert_served(2).await;
}

/// Half of the hosts can't open connections to endpoints, and the open ones live on. Work takes
/// longer than before, so that they are too few; callers must be served at the first try all the
/// same.
#[tokio::test(flavor = "multi_thread")]
async fn new_refused() {
    let site = Site::start(&["here"; 4]).await;
    site.cut(2, CutMode::RefuseNew);
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Delay(LONG_WORK_MS));
    }
    site.assert_served(2).await;
}

/// All hosts of a data centre can't reach any endpoint. Hosts elsewhere must serve their callers.
#[tokio::test(flavor = "multi_thread")]
async fn centre_cut() {
    let site = Site::start(&["here", "here", "there", "there"]).await;
    site.cut(2, CutMode::Hang);
    site.assert_served(2).await;
}

/// A request that may run only once must not run twice while hosts are cut off, and one whose
/// caller was told that it didn't run must not have run.
#[tokio::test(flavor = "multi_thread")]
async fn runs_once() {
    let site = Site::start(&["here"; 4]).await;
    for (round, mode) in [CutMode::Hang, CutMode::Reset].into_iter().enumerate() {
        site.cut(2, mode);
        let name = format!("round-{round}");
        let statuses = site.statuses(&name, "POST", STABILITY_WINDOW).await;
        site.network.heal();
        let (ran, repeated) = site.runs();
        assert!(repeated.is_empty(), "ran twice: {repeated:?}");
        let rejected = statuses.iter().filter(|(_, _, status)| *status == 503);
        for (_, id, _) in rejected {
            assert!(!ran.contains(id), "{id} was rejected as not run, and ran");
        }
    }
}

/// A host that serves callers only through others must leave the balancer's rotation until it
/// reaches endpoints again.
#[tokio::test(flavor = "multi_thread")]
async fn not_ready() {
    let site = Site::start(&["here"; 3]).await;
    let host = &site.hosts[0];
    site.cut(1, CutMode::Reset);
    site.load("cut", "GET", Duration::from_secs(1)).await;
    assert_eq!(host.readiness().await, 503);
    site.network.heal();
    until("the host is ready again", async || {
        host.readiness().await == 200
    })
    .await;
}

/// No host reaches any endpoint. Requests must be rejected as not run, without going round among
/// the hosts, and the hosts must stay in the balancer's rotation.
#[tokio::test(flavor = "multi_thread")]
async fn all_cut() {
    let site = Site::start(&["here"; 3]).await;
    site.cut(3, CutMode::Reset);
    site.load("first", "GET", Duration::from_secs(1)).await;
    let statuses = site.statuses("second", "POST", COUNTED_TIME).await;
    let rejected = statuses.iter().filter(|(_, _, status)| *status == 503);
    assert_eq!(rejected.count(), statuses.len(), "{statuses:?}");
    for host in &site.hosts {
        assert_eq!(host.readiness().await, 200);
    }
    site.network.heal();
    until("requests are served again", async || {
        let tallies = site.load("third", "GET", Duration::from_millis(100)).await;
        tallies.iter().all(|t| t.served == t.sent)
    })
    .await;
}

/// The host that serves another one's requests is killed. Its own share may be lost; none may run
/// twice, and the requests after it must be served by the hosts that are left.
#[tokio::test(flavor = "multi_thread")]
async fn helper_killed() {
    let site = Site::start(&["here"; 4]).await;
    site.cut(2, CutMode::Hang);
    site.load("during", "GET", STABILITY_WINDOW).await;
    site.hosts[3].kill();
    let lost = site.load("killed", "POST", COUNTED_TIME).await;
    let after = site.load("after", "POST", COUNTED_TIME).await;
    for tally in &after[..2] {
        assert_eq!(tally.served, tally.sent, "{after:?}, before {lost:?}");
    }
    let (_, mut repeated) = site.runs();
    // Idempotent requests may run again.
    repeated.retain(|id| !id.starts_with("during-"));
    assert!(repeated.is_empty(), "ran twice: {repeated:?}");
}

/// The host that serves another one's requests stands still, and its connections stay open. No
/// request may wait there until its caller gives up.
#[tokio::test(flavor = "multi_thread")]
async fn helper_frozen() {
    let mut site = Site::start(&["here"; 4]).await;
    site.cut(2, CutMode::Hang);
    site.load("during", "GET", STABILITY_WINDOW).await;
    let frozen = site.hosts.pop().expect("four hosts");
    frozen.freeze();
    let tallies = site.load("frozen", "POST", COUNTED_TIME).await;
    for tally in &tallies[..2] {
        let failed = tally.sent - tally.served;
        // What was on its way when the host stopped may be lost.
        assert!(failed <= tally.sent / FAILED_DIVISOR, "{tallies:?}");
    }
}

/// A host passes on an answer that it got through another host, and the answer says that its
/// endpoint leaves. The host must not send that endpoint anything once the cut has ended.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_forwarded() {
    let site = Site::start(&["here"; 2]).await;
    let host = &site.hosts[0];
    site.cut(1, CutMode::Reset);
    site.load("during", "GET", Duration::from_secs(1)).await;
    let leaving = &site.endpoints[0];
    leaving.set_leaving(Leaving::Requests);
    for other in &site.endpoints[1..] {
        other.set_latency(SLOW_PERCENT);
    }
    until(
        "an answer of the leaving endpoint is passed on",
        async || {
            let answer = host.request("GET", "/read/x", "forwarded").await;
            answer.has_header("server-leaving")
        },
    )
    .await;
    site.network.heal();
    until("the host is ready", async || host.readiness().await == 200).await;
    let before = leaving.arrivals().len();
    site.load("after", "GET", COUNTED_TIME).await;
    assert_eq!(leaving.arrivals().len(), before);
}
