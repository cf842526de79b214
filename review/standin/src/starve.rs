//! The store comes back after an outage, but one host stays cut off from it: do the others
//! learn of a new configuration?

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{HEALTH, healthy, listen, success};
use crate::http::{Ending, Wire};
use crate::proxy::Proxy;
use crate::record::{Record, lock};
use crate::site::{Route, Service, Site};

const HOSTS: u8 = 5;
/// How long the store is down, and how long the host is cut off from it.
const OUTAGE: Duration = Duration::from_millis(4_500);
const CUT: Duration = Duration::from_millis(5_500);
/// The cut begins so long before the store is back.
const OVERLAP: Duration = Duration::from_millis(500);
/// How long after the store is back the operators change the configuration.
const CHANGE: Duration = Duration::from_millis(300);
/// `configurationApplyS` and `stabilityWindowS`.
const APPLY: Duration = Duration::from_secs(2);
const STABLE: Duration = Duration::from_secs(3);
/// A tenth of a second more than the rule gives.
const MARGIN: Duration = Duration::from_millis(100);
const CALM: Duration = Duration::from_secs(8);
const PROBE_TIME: Duration = Duration::from_millis(50);
const CLIENT_TIME: Duration = Duration::from_millis(1_500);

/// A request for the dropped route: when it was sent, at which host, and what came.
struct Asked {
    sent: Instant,
    host: usize,
    ending: Ending,
}

pub fn run(folder: &Path, logs: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(logs)?;
    let record = Arc::new(Record::create(folder)?);
    let old = route("old");
    site.configure_version(1, &[Service { name: "board" }], &[old])?;
    for number in 0..3 {
        let name = format!("i-{number}");
        let (instance, notes) = (name.clone(), Arc::clone(&record));
        let address = listen(Arc::new(move |wire| serve(&instance, wire, &notes)))?;
        site.register(&name, "board", address)?;
    }
    let mut proxies = Vec::new();
    for _ in 0..HOSTS {
        proxies.push(Proxy::start(site.store)?);
    }
    let ways: Vec<SocketAddr> = proxies.iter().map(|p| p.address).collect();
    site.start_hosts_behind(&ways)?;
    thread::sleep(CALM);

    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let end = Instant::now() + OUTAGE + CUT + Duration::from_secs(4);
    let clients: Vec<_> = (0..site.hosts.len())
        .map(|host| {
            let (address, asked, record) =
                (site.hosts[host], Arc::clone(&asked), Arc::clone(&record));
            thread::spawn(move || ask_often(host, address, end, &asked, &record))
        })
        .collect();

    // The host that reads for the others.
    let reader = (0..proxies.len()).max_by_key(|i| proxies[*i].last_read());
    let reader = reader.unwrap_or_default();
    record.say(&format!(
        "edge-{} reads the store for the others",
        reader + 1
    ));
    if trouble {
        site.set_outage(true)?;
        record.note("the store is down");
    }
    thread::sleep(OUTAGE - OVERLAP);
    if trouble {
        proxies[reader].cut();
        record.note(&format!("edge-{} is cut off from the store", reader + 1));
    }
    let cut_at = Instant::now();
    thread::sleep(OVERLAP);
    if trouble {
        site.set_outage(false)?;
        record.note("the store is back");
    }
    let back_at = Instant::now();
    thread::sleep(CHANGE);
    site.configure_version(2, &[Service { name: "board" }], &[route("new")])?;
    let acknowledged = Instant::now();
    record.note("the configuration without the route is acknowledged");
    thread::sleep((cut_at + CUT).saturating_duration_since(Instant::now()));
    proxies[reader].heal();
    let healed_at = Instant::now();
    record.note("the cut has ended");
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    if !site.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    drop(site);
    let from = (acknowledged + APPLY).max(back_at + STABLE) + MARGIN;
    let asked = lock(&asked);
    let counted = asked
        .iter()
        .filter(|a| a.host != reader && a.sent > from && a.sent < healed_at);
    let (mut all, mut ran) = (0, 0);
    for request in counted {
        all += 1;
        ran += u32::from(request.ending.status() == 200);
    }
    let broken = ran > 0;
    record.say(&format!(
        "requests for the dropped route, sent by {:.1} s to {:.1} s after its dropping was \
         acknowledged, at hosts with a path to the store: {all}, run: {ran} broken={broken}",
        (from - acknowledged).as_secs_f64(),
        healed_at
            .saturating_duration_since(acknowledged)
            .as_secs_f64()
    ));
    match all {
        0 => Err(io::Error::other("no request could be counted")),
        _ => Ok(broken),
    }
}

fn route(name: &'static str) -> Route {
    Route {
        name,
        kind: "safe",
        timeout: 1.2,
        aim: 0.6,
        attempts: 2,
        service: "board",
    }
}

fn serve(instance: &str, mut wire: Wire, record: &Record) -> io::Result<()> {
    while let Some(head) = wire.head()? {
        if head.path() == HEALTH {
            wire.send(&healthy(instance, Some((0, 0))))?;
            continue;
        }
        let id = head.field("attempt-id").unwrap_or_default().to_owned();
        record.note(&format!("run      {id} at {instance}"));
        thread::sleep(Duration::from_millis(5));
        wire.send(&success(instance, &id, "whole"))?;
    }
    Ok(())
}

/// Sends requests for the route that is going to be dropped, one after the other.
fn ask_often(
    host: usize,
    address: SocketAddr,
    end: Instant,
    asked: &Mutex<Vec<Asked>>,
    record: &Record,
) {
    for number in 0.. {
        let sent = Instant::now();
        if sent >= end {
            break;
        }
        let id = format!("h{}-{number}", host + 1);
        record.note(&format!("sent     {id} to edge-{}", host + 1));
        let ending = ask(address, &id).unwrap_or(Ending::Closed);
        record.note(&format!("answered {id} {ending:?}"));
        lock(asked).push(Asked { sent, host, ending });
        thread::sleep(PROBE_TIME);
    }
}

fn ask(address: SocketAddr, id: &str) -> io::Result<Ending> {
    let mut wire = Wire::connect(address)?;
    let request = format!(
        "GET /old/{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\
         Time-Remaining: {}\r\n\r\n",
        CLIENT_TIME.as_millis()
    );
    wire.send(request.as_bytes())?;
    Ok(wire.answer(Instant::now() + CLIENT_TIME))
}
