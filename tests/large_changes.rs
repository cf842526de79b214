//! Configurations that are too large for a datagram.

mod site;

use site::{Host, ROUTES, config, until};

/// How many routes operators add at once: 290 KB of configuration.
const ROUTE_COUNT: usize = 4_200;

/// How many hosts the data centre has.
const HOST_COUNT: usize = 6;

fn many_routes() -> String {
    let mut rows = ROUTES.to_owned();
    for n in 0..ROUTE_COUNT {
        rows += &format!(r#",["bulk-{n}","b.example","/bulk{n}/","safe",2.0,0.5,2,null,2,"svc"]"#);
    }
    rows
}

/// Returns whether a host serves the last route of the large configuration.
async fn serves_last_route(host: &Host) -> bool {
    let path = format!("/bulk{}/x", ROUTE_COUNT - 1);
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: b.example\r\nAttempt-Id: b\r\nTime-Remaining: 2000\r\nConnection: close\r\n\r\n"
    );
    let answer = site::exchange(host.callers, &request).await;
    answer.is_some_and(|a| a.status == 200)
}

/// Operators added 1,400 routes three times in a row. A configuration of that size fits into no
/// datagram, so hosts could not gossip it: each datagram was refused as too long, and all hosts read
/// the change from the store within the same quarter second and shared its throughput. Some
/// answered 404 for new routes, or used the old routes, a second longer than allowed, and all hosts
/// together received a hundred times their usual traffic in two seconds.
#[tokio::test(flavor = "multi_thread")]
async fn large_change_gossiped() {
    let (store, _endpoint) = site::store_and_endpoint(&config(1, ROUTES)).await;
    let hosts = site::start_hosts(&store, HOST_COUNT).await;
    let change = config(2, &many_routes());
    let before = store.bytes_read();
    store.put("keyed.op", "config", Some(&change));
    for host in &hosts {
        until("the change is in force", async || {
            serves_last_route(host).await
        })
        .await;
    }
    let reads = (store.bytes_read() - before) / change.len() as u64;
    // One host of the data centre reads the change, or two if another one started reading at the
    // same moment.
    assert!(
        reads <= 2,
        "{HOST_COUNT} hosts read the change {reads} times"
    );
}

/// A host starts during an outage of the store, in a site with thousands of routes. Its neighbours
/// know all routes, but a snapshot of the topic fits into no datagram: without fragments the host
/// would refuse every caller.
#[tokio::test(flavor = "multi_thread")]
async fn large_snapshot_sent() {
    let (store, _endpoint) = site::store_and_endpoint(&config(2, &many_routes())).await;
    let [_old, new] = site::start_in_outage(&store).await;
    assert!(serves_last_route(&new).await);
}
