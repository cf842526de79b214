//! Endpoints break off long answers: what becomes of the requests that wait behind them on
//! their connections, and which the host has already passed on to other endpoints?

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{HEALTH, healthy, listen, success_head};
use crate::http::{Ending, Wire};
use crate::random::Random;
use crate::record::{Record, lock};
use crate::site::{Route, Service, Site};

const HOSTS: u8 = 3;
const ENDPOINTS: usize = 6;
/// Two endpoints of six break off answers: a share of 0.33, of 0.35 allowed.
const GARBLING: usize = 2;
/// The part of its answers that such an endpoint breaks off.
const BROKEN_OFF: f64 = 0.02;
/// The endpoints do so for five seconds, and not for the next five.
const GARBLE_TIME: u64 = 5;
const WORK: Duration = Duration::from_millis(100);
const ANSWER: usize = 200_000;
/// Where an answer is broken off.
const CUT: usize = 160_000;
const CLIENTS: u64 = 12;
/// The requests that a client sends before it reads the answer to the first of them.
const DEPTH: usize = 3;
const LENGTH: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);
const CLIENT_TIME: Duration = Duration::from_millis(2_000);
/// The rule allows a host this many.
const ALLOWED: u64 = 3;

struct Endpoint {
    name: String,
    garbles: bool,
    random: Mutex<Random>,
}

struct Shared {
    record: Record,
    began: Instant,
    /// By attempt id, the sound endpoints to which a request was passed on.
    runs: Mutex<BTreeMap<String, String>>,
    cuts: Mutex<u64>,
    /// By host, the requests that a sound endpoint had, and whose connection was closed.
    lost: Mutex<BTreeMap<SocketAddr, u64>>,
}

impl Endpoint {
    fn breaks_off(&self, shared: &Shared) -> bool {
        let is_time = (shared.began.elapsed().as_secs() / GARBLE_TIME).is_multiple_of(2);
        self.garbles && is_time && lock(&self.random).fraction() < BROKEN_OFF
    }

    fn serve(&self, mut wire: Wire, shared: &Shared) -> io::Result<()> {
        let body = [b't'; ANSWER];
        while let Some(head) = wire.head()? {
            if head.path() == HEALTH {
                wire.send(&healthy(&self.name, Some((0, 0))))?;
                continue;
            }
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            shared
                .record
                .note(&format!("run      {id} at {}", self.name));
            if !self.garbles {
                lock(&shared.runs).insert(id.clone(), self.name.clone());
            }
            thread::sleep(WORK);
            wire.send(success_head(&self.name, &id, ANSWER).as_bytes())?;
            if self.breaks_off(shared) {
                shared
                    .record
                    .note(&format!("cut      {id} at {}", self.name));
                *lock(&shared.cuts) += 1;
                return wire.send(&body[..CUT]);
            }
            wire.send(&body)?;
        }
        Ok(())
    }
}

pub fn run(folder: &Path, logs: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(logs)?;
    let shared = Arc::new(Shared {
        record: Record::create(folder)?,
        began: Instant::now(),
        runs: Mutex::default(),
        cuts: Mutex::default(),
        lost: Mutex::default(),
    });
    let route = Route {
        name: "archive",
        kind: "safe",
        timeout: 1.2,
        aim: 1.2,
        attempts: 2,
        service: "vault",
    };
    site.configure(&[Service { name: "vault" }], &[route])?;
    for number in 0..ENDPOINTS {
        let endpoint = Arc::new(Endpoint {
            name: format!("i-{number}"),
            garbles: trouble && number < GARBLING,
            random: Mutex::new(Random::new(number as u64 + 31)),
        });
        let name = endpoint.name.clone();
        let all = Arc::clone(&shared);
        let address = listen(Arc::new(move |wire| endpoint.serve(wire, &all)))?;
        site.register(&name, "vault", address)?;
    }
    site.start_hosts(HOSTS)?;
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let shared = Arc::clone(&shared);
            let hosts = site.hosts.clone();
            thread::spawn(move || {
                let mut random = Random::new(number + 100);
                let mut round = 0;
                while Instant::now() < end {
                    round += 1;
                    let host = hosts[random.index(hosts.len())];
                    // A connection that can't be opened is no matter of this case.
                    let _ = keep_connection(host, &format!("c{number}-{round}"), end, &shared);
                }
            })
        })
        .collect();
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    if !site.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    drop(site);
    let lost = lock(&shared.lost);
    let cuts = *lock(&shared.cuts);
    let broken = lost.values().any(|count| *count > ALLOWED);
    let runs = lock(&shared.runs).len();
    shared.record.say(&format!(
        "requests at sound endpoints={runs} answers cut by others={cuts} \
         lost by host={:?} broken={broken}",
        lost.values().collect::<Vec<_>>()
    ));
    Ok(broken)
}

/// Sends some requests at once and reads their answers, again and again on one connection.
fn keep_connection(host: SocketAddr, name: &str, end: Instant, shared: &Shared) -> io::Result<()> {
    let mut wire = Wire::connect(host)?;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let ids: Vec<String> = (0..DEPTH)
            .map(|at| format!("{name}-{number}-{at}"))
            .collect();
        let mut requests = String::new();
        for id in &ids {
            shared.record.note(&format!("sent     {id}"));
            requests += &format!(
                "GET /archive/{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\
                 Time-Remaining: {}\r\n\r\n",
                CLIENT_TIME.as_millis()
            );
        }
        let until = Instant::now() + CLIENT_TIME;
        wire.send(requests.as_bytes())?;
        for (at, id) in ids.iter().enumerate() {
            let ending = wire.answer(until);
            shared.record.note(&format!("answered {id} {ending:?}"));
            if ending == Ending::Closed {
                // The first of them is the answer that was cut.
                note_lost(host, &ids[at + 1..], shared);
            }
            if !matches!(ending, Ending::Answered { .. }) {
                return Ok(());
            }
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn note_lost(host: SocketAddr, ids: &[String], shared: &Shared) {
    let runs = lock(&shared.runs);
    for id in ids {
        if let Some(endpoint) = runs.get(id) {
            shared.record.note(&format!(
                "LOST     {id}, passed on to {endpoint}, by {host}"
            ));
            *lock(&shared.lost).entry(host).or_default() += 1;
        }
    }
}
