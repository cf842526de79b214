//! Late second answers while endpoints are full at times: do requests that may run only once
//! run twice?

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{HEALTH, SHED, healthy, listen, success};
use crate::http::{Ending, Wire};
use crate::random::Random;
use crate::record::{Record, lock};
use crate::site::{Route, Service, Site};

const HOSTS: u8 = 18;
const ENDPOINTS: usize = 24;
/// 14 of 24 endpoints garble: a share of 0.58, of 0.6 allowed.
const GARBLING: usize = 14;
/// The part of its answers to requests that it ran which an endpoint sends a second time.
const GARBLED: f64 = 0.03;
/// The endpoints garble for five seconds, and not for the next two.
const GARBLE_TIME: u64 = 5;
const CALM_TIME: u64 = 2;
/// The time that a health check takes.
const HEALTH_TIME: Duration = Duration::from_millis(6);
const SLOTS: usize = 2;
const QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(50);
const RATE: f64 = 600.0;
const LENGTH: Duration = Duration::from_secs(95);
const CLIENT_TIME: Duration = Duration::from_millis(3_000);

struct Endpoint {
    name: String,
    garbles: bool,
    /// The number of requests running or waiting.
    taken: Mutex<usize>,
    running: Mutex<usize>,
    freed: Condvar,
    random: Mutex<Random>,
}

struct Shared {
    record: Record,
    began: Instant,
    /// By attempt id, the endpoints that ran the request.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    endings: Mutex<BTreeMap<String, Ending>>,
    sheds: Mutex<u64>,
    /// Late second answers, and those of them that came before the answer to a health check.
    extra: Mutex<(u64, u64)>,
}

impl Shared {
    fn is_garbling(&self) -> bool {
        self.began.elapsed().as_secs() % (GARBLE_TIME + CALM_TIME) < GARBLE_TIME
    }
}

impl Endpoint {
    /// Takes a place; returns false if the endpoint is full.
    fn enter(&self) -> bool {
        let mut taken = lock(&self.taken);
        let has_room = *taken < SLOTS + QUEUE;
        *taken += usize::from(has_room);
        has_room
    }

    /// Runs a request on a slot.
    fn run(&self, id: &str, shared: &Shared) {
        let mut running = lock(&self.running);
        while *running >= SLOTS {
            running = self
                .freed
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        drop(running);
        shared
            .record
            .note(&format!("run      {id} at {}", self.name));
        let mut runs = lock(&shared.runs);
        runs.entry(id.to_owned())
            .or_default()
            .push(self.name.clone());
        drop(runs);
        thread::sleep(WORK);
        *lock(&self.running) -= 1;
        self.freed.notify_one();
        *lock(&self.taken) -= 1;
    }

    fn serve(&self, mut wire: Wire, shared: &Shared) -> io::Result<()> {
        // The copy of an earlier answer that is still to come on this connection.
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Some(head) = wire.head()? {
            wire.body(head.length())?;
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            if let Some((copied, copy)) = late.take() {
                let path = head.path();
                shared.record.note(&format!(
                    "extra    answer to {copied} from {}, before that to {path}",
                    self.name
                ));
                let mut extra = lock(&shared.extra);
                extra.0 += 1;
                extra.1 += u64::from(path == HEALTH);
                drop(extra);
                wire.send(&copy)?;
            }
            if head.path() == HEALTH {
                // A full endpoint rejects a health check as it does any other request.
                let is_full = *lock(&self.taken) >= SLOTS + QUEUE;
                thread::sleep(HEALTH_TIME);
                match is_full {
                    true => wire.send(SHED)?,
                    false => wire.send(&healthy(&self.name, None))?,
                }
                continue;
            }
            if !self.enter() {
                *lock(&shared.sheds) += 1;
                shared
                    .record
                    .note(&format!("rejected {id} at {}", self.name));
                wire.send(SHED)?;
                continue;
            }
            self.run(&id, shared);
            let answer = success(&self.name, &id, "whole");
            wire.send(&answer)?;
            if self.garbles && shared.is_garbling() && lock(&self.random).fraction() < GARBLED {
                late = Some((id, answer));
            }
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
        endings: Mutex::default(),
        sheds: Mutex::default(),
        extra: Mutex::default(),
    });
    let route = Route {
        name: "deposit",
        kind: "unsafe",
        timeout: 1.5,
        aim: 0.8,
        attempts: 2,
        service: "ledger",
    };
    site.configure(&[Service { name: "ledger" }], &[route])?;
    for number in 0..ENDPOINTS {
        let endpoint = Arc::new(Endpoint {
            name: format!("i-{number}"),
            garbles: trouble && number < GARBLING,
            taken: Mutex::default(),
            running: Mutex::default(),
            freed: Condvar::new(),
            random: Mutex::new(Random::new(number as u64 + 77)),
        });
        let name = endpoint.name.clone();
        let all = Arc::clone(&shared);
        let address = listen(Arc::new(move |wire| endpoint.serve(wire, &all)))?;
        site.register(&name, "ledger", address)?;
    }
    site.start_hosts(HOSTS)?;
    let began = Instant::now();
    let mut random = Random::new(1);
    let mut sent = 0u64;
    while began.elapsed() < LENGTH {
        thread::sleep(random.gap(RATE));
        sent += 1;
        let host = site.hosts[random.index(site.hosts.len())];
        let shared = Arc::clone(&shared);
        thread::spawn(move || {
            let id = format!("a{sent}");
            shared.record.note(&format!("sent     {id}"));
            let ending = ask(host, &id).unwrap_or(Ending::Closed);
            shared.record.note(&format!("answered {id} {ending:?}"));
            lock(&shared.endings).insert(id, ending);
        });
    }
    thread::sleep(CLIENT_TIME + Duration::from_millis(500));
    if !site.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    drop(site);
    Ok(judge(&shared, sent))
}

fn ask(host: std::net::SocketAddr, id: &str) -> io::Result<Ending> {
    let until = Instant::now() + CLIENT_TIME;
    let mut wire = Wire::connect(host)?;
    let request = format!(
        "POST /deposit/{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\
         Time-Remaining: {}\r\nContent-Length: 7\r\n\r\ndeposit",
        CLIENT_TIME.as_millis()
    );
    wire.send(request.as_bytes())?;
    Ok(wire.answer(until))
}

/// Returns whether a rule was broken.
fn judge(shared: &Shared, sent: u64) -> bool {
    let runs = lock(&shared.runs);
    let endings = lock(&shared.endings);
    let mut broken = false;
    for (id, at) in runs.iter() {
        if at.len() > 1 {
            shared.record.say(&format!("TWICE: {id} ran at {at:?}"));
            broken = true;
        }
        let status = endings.get(id).map_or(0, Ending::status);
        if matches!(status, 408 | 421 | 429 | 503) {
            shared.record.say(&format!(
                "REFUSED: {id} ran at {at:?} and was answered {status}"
            ));
            broken = true;
        }
    }
    let (extra, before_health) = *lock(&shared.extra);
    let good = endings.values().filter(|e| e.status() == 200).count();
    shared.record.say(&format!(
        "sent={sent} successes={good} rejections={} extra={extra} before_health_checks={before_health} broken={broken}",
        *lock(&shared.sheds)
    ));
    broken
}
