//! Counts what tenants get of their quotas while one entry host is removed.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use stand_ins::store::{Behaviour, StoreStandIn};

use crate::endpoint::{self, Run, Runs};
use crate::host::{Host, Site};

const HOSTS: u8 = 5;
const ENDPOINTS: usize = 6;
const TENANTS: usize = 20;

/// Each tenant's quota: requests a second, and at once.
const RATE: f64 = 20.0;
const BURST: f64 = 200.0;

/// The bounds of the rule, as the pages of the site set them.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The requests of each tenant in one burst, and the time over which they are sent.
const BURST_REQUESTS: usize = 230;
const BURST_TIME: Duration = Duration::from_millis(700);

/// From the start of the first burst to that of the second, with no requests in between.
const PAUSE: Duration = Duration::from_millis(3_700);

/// From the hosts' start to the first burst: the quotas have filled up long before.
const LEAD: Duration = Duration::from_secs(30);

/// Connections of the clients of one tenant.
const CONNECTIONS: usize = 5;

/// A request as its client sees it.
struct Sent {
    at: Instant,
    tenant: usize,
    id: String,
    status: u16,
}

type AllSent = Arc<Mutex<Vec<Sent>>>;

fn config() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|n| format!(r#"["tenant-{n}",["key-{n}"],1,{RATE},{BURST}]"#))
        .collect();
    format!(
        r#"{{"version":1,"routes":{{"columns":["name","host","pathPrefix","kind","timeoutS","targetLatencyS","priority","maxAttempts","service","public"],"rows":[["read","a.example","/read/","safe",2.0,0.5,2,2,"svc",false]]}},"services":{{"columns":["name","healthCheckPath","maxConnections","protocol","tls","warmupS","coldPerS"],"rows":[["svc","/health",860,"h1",false,3.0,8.5]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":60}},"tenants":{{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[{}]}},"baseVersion":0}}"#,
        tenants.join(",")
    )
}

fn register(store: &StoreStandIn, instance: &str, address: SocketAddr, sequence: u64) {
    let entry = format!(
        r#"{{"service":"svc","address":"{address}","zone":"riga-a","version":"v1","slots":8,"state":"ready","warmupRemainingS":0,"sequence":{sequence},"born":1}}"#
    );
    store.put("keyed.servers", instance, Some(Bytes::from(entry)));
}

/// A client's connection; opened again after any failure.
struct Connection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    /// Sends a request and returns the status, 0 for no answer.
    fn send(&mut self, key: &str, id: &str) -> u16 {
        let status = self.exchange(key, id);
        if status.is_none() {
            self.stream = None;
        }
        status.unwrap_or(0)
    }

    fn exchange(&mut self, key: &str, id: &str) -> Option<u16> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.address).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut()?;
        let head = format!(
            "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nTime-Remaining: 2000\r\nCredential: {key}\r\n\r\n"
        );
        reader.get_mut().write_all(head.as_bytes()).ok()?;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let (mut length, mut closes) = (0, false);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
            closes |= line == "connection: close";
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        if closes {
            self.stream = None;
        }
        Some(status)
    }
}

/// Sends one burst of each tenant to these hosts, and returns when all are answered.
fn burst(name: &str, hosts: &[SocketAddr], requests: usize, time: Duration, sent: &AllSent) {
    let start = Instant::now();
    thread::scope(|scope| {
        for tenant in 0..TENANTS {
            for number in 0..CONNECTIONS {
                let sent = Arc::clone(sent);
                let address = hosts[number % hosts.len()];
                scope.spawn(move || {
                    let mut connection = Connection {
                        address,
                        stream: None,
                    };
                    for n in (number..requests).step_by(CONNECTIONS) {
                        let due = start + time.mul_f64(n as f64 / requests as f64);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        let id = format!("{name}-{tenant}-{n}");
                        let at = Instant::now();
                        let status = connection.send(&format!("key-{tenant}"), &id);
                        sent.lock()
                            .expect("no thread panics with the lock")
                            .push(Sent {
                                at,
                                tenant,
                                id,
                                status,
                            });
                    }
                });
            }
        }
    });
}

/// Returns the most runs of requests that were both sent and arrived in one window.
fn most_in_window(runs: &[(Instant, Instant)]) -> usize {
    let starts = runs.iter().map(|(sent, _)| *sent);
    let counts = starts.map(|start| {
        let inside = runs.iter();
        inside
            .filter(|(sent, at)| *sent >= start && *at <= start + WINDOW)
            .count()
    });
    counts.max().unwrap_or_default()
}

/// Runs the case; returns whether the rule held.
pub fn run(
    (program, folder, record): (&Path, &Path, &Path),
    trouble: bool,
) -> Result<bool, String> {
    let store = StoreStandIn::on_loopback(Behaviour::default()).map_err(|e| e.to_string())?;
    store.put("keyed.op", "config", Some(Bytes::from(config())));
    let runs: Runs = Arc::default();
    let endpoints: Vec<(String, SocketAddr)> = (0..ENDPOINTS)
        .map(|n| format!("i-{n}"))
        .map(|instance| (instance.clone(), endpoint::start(&instance, &runs)))
        .collect();
    for (instance, address) in &endpoints {
        register(&store, instance, *address, 1);
    }
    let store = Arc::new(store);
    let beats = Arc::clone(&store);
    let listed = endpoints.clone();
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_500));
            for (instance, address) in &listed {
                register(&beats, instance, *address, sequence);
            }
        }
    });

    let site = Site {
        program,
        folder,
        store: store.address(),
    };
    let id = u8::try_from(std::process::id() % 250).expect("below 250");
    let ip = |n: u8| IpAddr::from([127, 77, 1 + id, 1 + n]);
    let mut hosts = vec![Host::start(
        &site,
        "edge-0",
        SocketAddr::new(ip(0), 0),
        None,
    )];
    let seed = hosts[0].peers;
    for n in 1..HOSTS {
        let address = SocketAddr::new(ip(n), seed.port());
        hosts.push(Host::start(
            &site,
            &format!("edge-{n}"),
            address,
            Some(seed),
        ));
    }
    let began = Instant::now();
    if !hosts.iter().all(Host::is_ready) {
        return Err("a host isn't ready".to_owned());
    }
    let callers: Vec<SocketAddr> = hosts.iter().map(|h| h.callers).collect();
    let sent: AllSent = Arc::default();
    thread::sleep((began + LEAD).saturating_duration_since(Instant::now()));

    let first = Instant::now();
    burst("first", &callers, BURST_REQUESTS, BURST_TIME, &sent);
    let gone = hosts.len() - 1;
    let mut removed = None;
    if trouble {
        removed = Some(Instant::now());
        hosts[gone].signal("KILL");
        hosts[gone].wait();
    }
    let ended = Instant::now();
    thread::sleep((first + PAUSE).saturating_duration_since(Instant::now()));
    burst(
        "second",
        &callers[..gone],
        BURST_REQUESTS,
        BURST_TIME,
        &sent,
    );

    let since = |at: Instant| at.saturating_duration_since(first).as_secs_f64();
    let sent = sent.lock().expect("no thread panics with the lock");
    let runs: Vec<Run> = runs.lock().expect("no thread panics with the lock").clone();
    let by_id: BTreeMap<&str, &Run> = runs.iter().map(|r| (r.id.as_str(), r)).collect();
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    let mut text = format!(
        "{HOSTS} hosts, {TENANTS} tenants of {RATE} requests a second and {BURST} at once each; the most that a tenant may run in {} s: {bound}\n",
        WINDOW.as_secs()
    );
    if let Some(at) = removed {
        let _ = writeln!(
            text,
            "{} was removed (SIGKILL) {:.3} s after the start of the first burst, and had ended at {:.3} s",
            hosts[gone].name,
            since(at),
            since(ended)
        );
    }
    let mut held = true;
    for tenant in 0..TENANTS {
        let own: Vec<&Sent> = sent.iter().filter(|s| s.tenant == tenant).collect();
        let part = |name: &str, status: u16| {
            let own = own.iter();
            own.filter(|s| s.id.starts_with(name) && s.status == status)
                .count()
        };
        let times: Vec<(Instant, Instant)> = own
            .iter()
            .filter_map(|s| by_id.get(s.id.as_str()).map(|r| (s.at, r.at)))
            .collect();
        let most = most_in_window(&times);
        let is_within = most as f64 <= bound;
        held &= is_within;
        let _ = writeln!(
            text,
            "tenant-{tenant}: first burst {} answered 200 and {} 429, second burst {} answered 200 and {} 429; most runs in a window: {most}{}",
            part("first", 200),
            part("first", 429),
            part("second", 200),
            part("second", 429),
            if is_within { "" } else { " BROKEN" }
        );
    }
    let _ = writeln!(
        text,
        "\nsent (s), tenant, id, status; ran (s), endpoint, tenant named"
    );
    for s in sent.iter() {
        let ran = by_id.get(s.id.as_str());
        let ran = ran.map_or("-".to_owned(), |r| {
            format!("{:.4} {} {}", since(r.at), r.endpoint, r.tenant)
        });
        let _ = writeln!(
            text,
            "{:.4} tenant-{} {} {}; {ran}",
            since(s.at),
            s.tenant,
            s.id,
            s.status
        );
    }
    fs::write(record, text).map_err(|e| e.to_string())?;
    Ok(held)
}
