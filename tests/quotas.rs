//! Quotas of client accounts over several real entry hosts.

mod site;

use std::sync::Arc;
use std::time::{Duration, Instant};

use site::accounts::config;
use site::{Answer, CutMode, Endpoint, Host, Network, Store, exchange, start_hosts, until};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// An account of 20 requests a second and 10 at once, and one without a quota.
const ALICE: &str = r#"["alice",["key-a"],1,20,10]"#;
const BOB: &str = r#"["bob",["key-b"],1,null,null]"#;

const WINDOW: Duration = Duration::from_secs(1);

/// The most requests of the first account in a window, with a tenth and two for the time
/// between a token and the arrival.
const MAX_ARRIVALS: usize = 35;

/// The fewest requests of the first account that must be served in three seconds: four fifths
/// of its rate.
const MIN_SERVED: usize = 48;

const HOST_COUNT: usize = 3;

struct Site {
    network: Network,
    store: Store,
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<Host>>,
}

impl Site {
    async fn start() -> Site {
        let network = Network::default();
        let store = Store::start().await;
        store.put("keyed.op", "config", Some(&config(1, &[ALICE, BOB])));
        let mut endpoints = Vec::new();
        for number in 0..4 {
            let endpoint = Endpoint::start_on(&network, &format!("i-{number}"), "v1").await;
            endpoint.register(&store, "ready");
            endpoints.push(endpoint);
        }
        let hosts = start_hosts(&store, HOST_COUNT).await;
        let hosts: Vec<Arc<Host>> = hosts.into_iter().map(Arc::new).collect();
        for host in &hosts {
            until("the host hears of the others", async || {
                get(host, "key-a", "warm").await.status == 200
            })
            .await;
        }
        Site {
            network,
            store,
            endpoints,
            hosts,
        }
    }

    /// Sends requests at this interval, each to the host that `choose` names; returns the
    /// answers.
    async fn load(
        &self,
        key: &'static str,
        count: usize,
        pause: Duration,
        choose: impl Fn(usize) -> usize,
    ) -> Vec<Answer> {
        let mut ticks = interval(pause);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = JoinSet::new();
        for number in 0..count {
            ticks.tick().await;
            let host = Arc::clone(&self.hosts[choose(number)]);
            running.spawn(async move { get(&host, key, &format!("{key}.{number}")).await });
        }
        running.join_all().await
    }

    /// Returns the most requests with this key that arrived in any window.
    fn max_arrivals(&self, key: &str) -> usize {
        let all = self.endpoints.iter().flat_map(Endpoint::arrivals);
        let times: Vec<Instant> = all
            .filter(|(id, _)| id.starts_with(key))
            .map(|(_, at)| at)
            .collect();
        let windows = times.iter().map(|first| {
            let inside = times.iter();
            inside
                .filter(|at| *at >= first && **at < *first + WINDOW)
                .count()
        });
        windows.max().unwrap_or_default()
    }
}

async fn get(host: &Host, key: &str, id: &str) -> Answer {
    let head = format!(
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nTime-Remaining: 2000\r\nConnection: close\r\nCredential: {key}\r\n\r\n"
    );
    exchange(host.callers, &head).await.expect("an answer")
}

fn count(answers: &[Answer], status: u16) -> usize {
    answers.iter().filter(|a| a.status == status).count()
}

/// An account that sends many times its quota to all hosts gets its quota and no more;
/// another account is served beside it. If each host granted the quota by itself, the
/// account would get three times as much.
#[tokio::test(flavor = "multi_thread")]
async fn hot_account() {
    let site = Site::start().await;
    let (hot, calm) = tokio::join!(
        site.load("key-a", 450, Duration::from_millis(7), |n| n % HOST_COUNT),
        site.load("key-b", 60, Duration::from_millis(50), |n| n % HOST_COUNT),
    );
    assert_eq!(count(&calm, 200), 60);
    let most = site.max_arrivals("key-a");
    assert!(most <= MAX_ARRIVALS, "{most} requests in {WINDOW:?}");
    let served = count(&hot, 200);
    assert!(
        served >= 50,
        "{served} of 60 requests within the quota were served"
    );
    assert_eq!(served + count(&hot, 429), 450);
    let refused = hot.iter().filter(|a| a.status == 429);
    assert!(refused.into_iter().all(|a| a.has_header("retry-after")));
}

/// An account whose callers all come to one host gets its whole quota there.
#[tokio::test(flavor = "multi_thread")]
async fn callers_at_one_host() {
    let site = Site::start().await;
    // The requests that waited for the hosts' start have used up the burst.
    site.load("key-a", 10, Duration::from_millis(150), |_| 0)
        .await;
    for host in 0..HOST_COUNT {
        let answers = site
            .load("key-a", 30, Duration::from_millis(60), |_| host)
            .await;
        assert_eq!(count(&answers, 200), 30, "at host {host}");
    }
}

/// A lowered quota binds at all hosts.
#[tokio::test(flavor = "multi_thread")]
async fn quota_lowered() {
    let site = Site::start().await;
    let low = r#"["alice",["key-a"],1,1,1]"#;
    let config = config(2, &[low, BOB, r#"["new",["key-n"],1,null,null]"#]);
    site.store.put("keyed.op", "config", Some(&config));
    for host in &site.hosts {
        until("the configuration is in force", async || {
            get(host, "key-n", "n").await.status == 200
        })
        .await;
    }
    let before = site.max_arrivals("key-a");
    let answers = site
        .load("key-a", 200, Duration::from_millis(10), |n| n % HOST_COUNT)
        .await;
    assert_eq!(before, 0);
    // Two seconds at one a second, the burst, and tokens that hosts held before.
    assert!(count(&answers, 200) <= 6, "{}", count(&answers, 200));
}

/// A host that reaches no endpoint has other hosts run an account's requests. Each must take one
/// token: two would halve the quota, and none would exceed it.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_host() {
    let site = Site::start().await;
    site.network.cut(&[&*site.hosts[0]], CutMode::Reset);
    let answers = site
        .load("key-a", 300, Duration::from_millis(10), |_| 0)
        .await;
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert!(served >= MIN_SERVED, "{served} requests");
    let arrivals = site.max_arrivals("key-a");
    assert!(
        arrivals <= MAX_ARRIVALS,
        "{arrivals} requests in {WINDOW:?}"
    );
}
