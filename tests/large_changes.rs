//! Changes of the configuration too large for a datagram.

mod site;

use site::{Host, ROUTES, Store, config, until};

/// Routes that operators add at once: 290 KB of configuration.
const MANY: usize = 4_200;

/// Hosts of the data centre.
const HOSTS: usize = 6;

fn many_routes() -> String {
    let mut rows = ROUTES.to_owned();
    for n in 0..MANY {
        rows += &format!(r#",["bulk-{n}","b.example","/bulk{n}/","safe",2.0,0.5,2,null,2,"svc"]"#);
    }
    rows
}

async fn site_of(count: usize, store: &Store) -> Vec<Host> {
    let peers = site::peers(count);
    let mut hosts = Vec::new();
    for (n, address) in peers.iter().enumerate() {
        let seed = (n > 0).then_some(peers[0]);
        hosts.push(Host::start_beside(&format!("bulk-{n}"), store, *address, seed).await);
    }
    for host in &hosts {
        until("a host is ready", async || host.readiness().await == 200).await;
    }
    hosts
}

/// Returns whether a host serves a route that only the large change has.
async fn serves_last(host: &Host) -> bool {
    let path = format!("/bulk{}/x", MANY - 1);
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: b.example\r\nAttempt-Id: b\r\nTime-Remaining: 2000\r\nConnection: close\r\n\r\n"
    );
    let answer = site::exchange(host.callers, &request).await;
    answer.is_some_and(|a| a.status == 200)
}

/// Operators added 1,400 routes, the third time in a row. Some hosts went on answering
/// 404 for them, or used the routes of before, a second longer than was promised. Such
/// a change fits into no datagram, so hosts could not tell it to each other: all came to
/// read it from the store in the same quarter second and shared what the store gives.
/// Each datagram was refused as too long, and all hosts together received a hundred
/// times their usual in two seconds.
#[tokio::test(flavor = "multi_thread")]
async fn large_change_told() {
    let (store, _endpoint) = site::served(&config(1, ROUTES)).await;
    let hosts = site_of(HOSTS, &store).await;
    let change = config(2, &many_routes());
    let before = store.bytes_read();
    store.put("keyed.op", "config", Some(&change));
    for host in &hosts {
        until("the change is in force", async || serves_last(host).await).await;
    }
    let copies = (store.bytes_read() - before) / change.len() as u64;
    // One reader a data centre; two where a second one began at the same moment.
    assert!(copies <= 2, "{HOSTS} hosts read the change {copies} times");
}

/// A host starts while the store is down, in a site with thousands of routes. It
/// refused every caller, though its neighbours knew all routes: what they handed over
/// went in datagrams too, and no datagram held it.
#[tokio::test(flavor = "multi_thread")]
async fn large_topic_handed_over() {
    let (store, _endpoint) = site::served(&config(2, &many_routes())).await;
    let [_old, new] = site::started_in_outage(&store).await;
    assert!(serves_last(&new).await);
}
