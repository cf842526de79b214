//! An endpoint falls silent in the middle of long answers: do the clients get an end?

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{HEALTH, healthy, listen, success_head};
use crate::http::{Ending, Wire};
use crate::random::Random;
use crate::record::{Record, lock};
use crate::site::{Route, Service, Site};
use crate::tally::Tally;

const HOSTS: u8 = 3;
/// One of eight falls silent: a share of 0.125, of 0.14 allowed.
const ENDPOINTS: usize = 8;
/// How long it is silent, and when the next one is.
const DARK_TIME: Duration = Duration::from_millis(4_500);
const DARK_INTERVAL: Duration = Duration::from_millis(8_000);
const FIRST_DARK: Duration = Duration::from_millis(4_000);
const LENGTH: Duration = Duration::from_secs(80);
const RATE: f64 = 100.0;
/// An answer is sent in this many pieces, which takes 400 ms in all.
const PIECES: usize = 30;
const PIECE: usize = 30_000;
const PIECE_TIME: Duration = Duration::from_millis(13);
const TIMEOUT: Duration = Duration::from_millis(1_200);
const CLIENT_TIME: Duration = Duration::from_millis(2_500);

struct Endpoint {
    name: String,
    running: Mutex<usize>,
    /// While it is silent, until when.
    dark_until: Mutex<Option<Instant>>,
}

struct Shared {
    record: Record,
    tally: Tally,
    random: Mutex<Random>,
}

impl Endpoint {
    /// Waits while the endpoint is silent; fails afterwards, since it has crashed then.
    fn check(&self) -> io::Result<()> {
        let until = *lock(&self.dark_until);
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        match left.filter(|left| !left.is_zero()) {
            None => Ok(()),
            Some(left) => {
                thread::sleep(left);
                Err(io::ErrorKind::ConnectionReset.into())
            }
        }
    }

    fn serve(&self, mut wire: Wire, shared: &Shared) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            self.check()?;
            if head.path() == HEALTH {
                let running = *lock(&self.running);
                wire.send(&healthy(&self.name, Some((running, 0))))?;
                continue;
            }
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            shared
                .record
                .note(&format!("run      {id} at {}", self.name));
            *lock(&self.running) += 1;
            let sent = self.send_answer(&mut wire, &id);
            *lock(&self.running) -= 1;
            sent?;
        }
        Ok(())
    }

    fn send_answer(&self, wire: &mut Wire, id: &str) -> io::Result<()> {
        wire.send(success_head(&self.name, id, PIECES * PIECE).as_bytes())?;
        let bytes = [b'h'; PIECE];
        for _ in 0..PIECES {
            thread::sleep(PIECE_TIME);
            self.check()?;
            wire.send(&bytes)?;
        }
        Ok(())
    }
}

pub fn run(folder: &Path, logs: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(logs)?;
    let shared = Arc::new(Shared {
        record: Record::create(folder)?,
        tally: Tally::default(),
        random: Mutex::new(Random::new(3)),
    });
    let route = Route {
        name: "hall",
        kind: "safe",
        timeout: TIMEOUT.as_secs_f64(),
        aim: 0.6,
        attempts: 2,
        service: "board",
    };
    site.configure(&[Service { name: "board" }], &[route])?;
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let endpoint = Arc::new(Endpoint {
            name: format!("i-{number}"),
            running: Mutex::default(),
            dark_until: Mutex::default(),
        });
        let (one, all) = (Arc::clone(&endpoint), Arc::clone(&shared));
        let address = listen(Arc::new(move |wire| one.serve(wire, &all)))?;
        site.register(&endpoint.name, "board", address)?;
        endpoints.push(endpoint);
    }
    site.start_hosts(HOSTS)?;
    let began = Instant::now();
    if trouble {
        let shared = Arc::clone(&shared);
        thread::spawn(move || darken(&endpoints, &shared));
    }
    let mut sent = 0u64;
    while began.elapsed() < LENGTH {
        thread::sleep(lock(&shared.random).gap(RATE));
        sent += 1;
        let host = site.hosts[lock(&shared.random).index(site.hosts.len())];
        let shared = Arc::clone(&shared);
        thread::spawn(move || {
            let id = format!("a{sent}");
            shared.record.note(&format!("sent     {id}"));
            let began = Instant::now();
            let ending = ask(host, &id).unwrap_or(Ending::Closed);
            let time = began.elapsed();
            shared
                .record
                .note(&format!("answered {id} {ending:?} after {time:?}"));
            shared
                .tally
                .note(TIMEOUT, (ending != Ending::Nothing).then_some(time));
        });
    }
    thread::sleep(CLIENT_TIME + Duration::from_millis(500));
    if !site.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    drop(site);
    Ok(shared.tally.judge(&shared.record, "requests"))
}

/// Makes one endpoint after the other fall silent.
fn darken(endpoints: &[Arc<Endpoint>], shared: &Shared) {
    thread::sleep(FIRST_DARK);
    for endpoint in endpoints {
        shared.record.note(&format!("silent   {}", endpoint.name));
        *lock(&endpoint.dark_until) = Some(Instant::now() + DARK_TIME);
        thread::sleep(DARK_INTERVAL);
    }
}

fn ask(host: std::net::SocketAddr, id: &str) -> io::Result<Ending> {
    let until = Instant::now() + CLIENT_TIME;
    let mut wire = Wire::connect(host)?;
    let request = format!(
        "GET /hall/{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\
         Time-Remaining: {}\r\n\r\n",
        CLIENT_TIME.as_millis()
    );
    wire.send(request.as_bytes())?;
    Ok(wire.answer(until))
}
