//! Requests that crash the endpoints that run them, through real entry hosts.

mod site;

use site::endpoint::Behaviour;
use site::{Answer, Endpoint, Host, Store, until};

/// The path whose requests crash endpoints.
const CRASHING_PATH: &str = "/read/fatal";

/// The most times that the request may reach endpoints after all hosts reject it.
const MAX_ARRIVALS: usize = 3;

/// A store, endpoints that crash on `CRASHING_PATH`, and connected hosts.
struct Site {
    store: Store,
    endpoints: Vec<Endpoint>,
    hosts: Vec<Host>,
}

impl Site {
    async fn start() -> Site {
        let (store, endpoints) = site::store_and_endpoints(8).await;
        endpoints
            .iter()
            .for_each(|e| e.crash_on(CRASHING_PATH, &store));
        let hosts = site::start_hosts(&store, 3).await;
        Site {
            store,
            endpoints,
            hosts,
        }
    }

    /// Starts one more host, which joins through the first.
    async fn add_host(&mut self) {
        let host = self.hosts[0].join("late", &self.store).await;
        until("the host is ready", async || host.readiness().await == 200).await;
        self.hosts.push(host);
    }

    /// Returns how often endpoints have started to run the request.
    fn crashes(&self) -> usize {
        let runs = self.endpoints.iter().flat_map(Endpoint::runs);
        runs.filter(|id| id.starts_with("fatal")).count()
    }

    /// Sends the request to each host in turn, and returns whether all reject it without running
    /// it and serve other requests.
    async fn all_reject(&self) -> bool {
        let before = self.crashes();
        let mut all = true;
        for host in &self.hosts {
            let answer = host.request("GET", CRASHING_PATH, "fatal").await;
            all &= answer.status == 503 && answer.has_header("retry-after");
        }
        all && self.crashes() == before && self.serves().await
    }

    /// Returns whether every host serves another request.
    async fn serves(&self) -> bool {
        for host in &self.hosts {
            let answer: Answer = host.request("GET", "/read/popular", "popular").await;
            if answer.status != 200 {
                return false;
            }
        }
        true
    }
}

/// A request that crashes every endpoint must not reach one endpoint after the other while its
/// caller retries it at all hosts.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request() {
    let site = Site::start().await;
    until(
        "all hosts reject the request and serve others",
        async || site.all_reject().await,
    )
    .await;
    let before = site.crashes();
    for _ in 0..10 {
        until("other requests are served", async || site.serves().await).await;
        for host in &site.hosts {
            host.request("GET", CRASHING_PATH, "fatal").await;
        }
    }
    let arrivals = site.crashes() - before;
    assert!(
        arrivals <= MAX_ARRIVALS,
        "the request reached endpoints {arrivals} times more"
    );
}

/// A host that starts after a request was quarantined must reject the request too.
#[tokio::test(flavor = "multi_thread")]
async fn late_host() {
    let mut site = Site::start().await;
    until(
        "all hosts reject the request and serve others",
        async || site.all_reject().await,
    )
    .await;
    site.add_host().await;
    let before = site.crashes();
    until("the new host rejects the request too", async || {
        site.all_reject().await
    })
    .await;
    let arrivals = site.crashes() - before;
    assert!(
        arrivals <= MAX_ARRIVALS,
        "the request reached endpoints {arrivals} times more"
    );
}

/// A popular request must not be quarantined if its connections are reset while its endpoints keep
/// running.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connections() {
    let site = Site::start().await;
    site.endpoints
        .iter()
        .for_each(|e| e.set_behaviour(Behaviour::Reset));
    for host in &site.hosts {
        for _ in 0..3 {
            let answer = host.request("GET", "/read/popular", "popular").await;
            assert_ne!(answer.status, 200);
        }
    }
    site.endpoints
        .iter()
        .for_each(|e| e.set_behaviour(Behaviour::Serve));
    assert!(site.serves().await);
}
