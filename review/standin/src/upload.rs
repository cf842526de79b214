//! Endpoints reject long requests before they are in: is the next request on the client's
//! connection answered?

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{HEALTH, SHED, healthy, listen, success};
use crate::http::{Ending, Wire};
use crate::random::Random;
use crate::record::{Record, lock};
use crate::site::{Route, Service, Site};
use crate::tally::Tally;

const HOSTS: u8 = 3;
const ENDPOINTS: usize = 3;
/// Two endpoints of three reject early: a share of 0.67, of 0.7 allowed.
const GARBLING: usize = 2;
/// The part of the long requests that such an endpoint rejects early.
const EARLY: f64 = 0.4;
/// The endpoints do so for six seconds, and not for the next six.
const GARBLE_TIME: u64 = 6;
const WORK: Duration = Duration::from_millis(70);
const CLIENTS: u64 = 12;
const LENGTH: Duration = Duration::from_secs(66);
/// The size of an upload in bytes.
const UPLOAD: usize = 200_000;
/// A piece of it each ten milliseconds: a link of ten megabits a second.
const PIECE: usize = 12_500;
const PIECE_TIME: Duration = Duration::from_millis(10);
const PAUSE: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_millis(1_200);
const CLIENT_TIME: Duration = Duration::from_millis(2_500);

struct Endpoint {
    name: String,
    rejects: bool,
    random: Mutex<Random>,
}

struct Shared {
    record: Record,
    began: Instant,
    uploads: Tally,
    bookings: Tally,
    early: Mutex<u64>,
}

impl Endpoint {
    fn rejects_now(&self, shared: &Shared) -> bool {
        let is_time = (shared.began.elapsed().as_secs() / GARBLE_TIME).is_multiple_of(2);
        self.rejects && is_time && lock(&self.random).fraction() < EARLY
    }

    fn serve(&self, mut wire: Wire, shared: &Shared) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            if head.path() == HEALTH {
                wire.send(&healthy(&self.name, Some((0, 0))))?;
                continue;
            }
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            let is_long = head.length() > PIECE;
            let is_rejected = is_long && self.rejects_now(shared);
            if is_rejected {
                *lock(&shared.early) += 1;
                shared
                    .record
                    .note(&format!("rejected {id} at {} early", self.name));
                wire.send(SHED)?;
            }
            // The rest of a long request is read on, also after it has been rejected.
            if wire.body(head.length())?.is_none() {
                return Ok(());
            }
            if !is_rejected {
                shared
                    .record
                    .note(&format!("run      {id} at {}", self.name));
                thread::sleep(WORK);
                wire.send(&success(&self.name, &id, "whole"))?;
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
        uploads: Tally::default(),
        bookings: Tally::default(),
        early: Mutex::default(),
    });
    let route = |name, kind| Route {
        name,
        kind,
        timeout: TIMEOUT.as_secs_f64(),
        aim: 0.3,
        attempts: 2,
        service: "kitchen",
    };
    site.configure(
        &[Service { name: "kitchen" }],
        &[route("photo", "upload"), route("slot", "unsafe")],
    )?;
    for number in 0..ENDPOINTS {
        let endpoint = Arc::new(Endpoint {
            name: format!("i-{number}"),
            rejects: trouble && number < GARBLING,
            random: Mutex::new(Random::new(number as u64 + 7)),
        });
        let name = endpoint.name.clone();
        let all = Arc::clone(&shared);
        let address = listen(Arc::new(move |wire| endpoint.serve(wire, &all)))?;
        site.register(&name, "kitchen", address)?;
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
    shared
        .record
        .say(&format!("early rejections: {}", *lock(&shared.early)));
    let broken = shared.uploads.judge(&shared.record, "uploads");
    Ok(shared
        .bookings
        .judge(&shared.record, "requests behind uploads")
        || broken)
}

/// Sends an upload and a booking in turn on one connection, until one gets no answer.
fn keep_connection(host: SocketAddr, name: &str, end: Instant, shared: &Shared) -> io::Result<()> {
    let mut wire = Wire::connect(host)?;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let upload = format!("{name}-{number}u");
        send_head(&mut wire, &upload, "photo", UPLOAD, shared)?;
        let bytes = [b'p'; PIECE];
        for _ in 0..UPLOAD / PIECE {
            wire.send(&bytes)?;
            thread::sleep(PIECE_TIME);
        }
        if !await_answer(&mut wire, &upload, &shared.uploads, shared) {
            break;
        }
        let booking = format!("{name}-{number}b");
        send_head(&mut wire, &booking, "slot", 0, shared)?;
        if !await_answer(&mut wire, &booking, &shared.bookings, shared) {
            break;
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn send_head(
    wire: &mut Wire,
    id: &str,
    route: &str,
    length: usize,
    shared: &Shared,
) -> io::Result<()> {
    shared.record.note(&format!("sent     {id}"));
    let head = format!(
        "POST /{route}/{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\
         Time-Remaining: {}\r\nContent-Length: {length}\r\n\r\n",
        CLIENT_TIME.as_millis()
    );
    wire.send(head.as_bytes())
}

/// Waits for the answer to a request whose last byte was just sent; returns whether it came.
fn await_answer(wire: &mut Wire, id: &str, tally: &Tally, shared: &Shared) -> bool {
    let sent = Instant::now();
    let ending = wire.answer(sent + CLIENT_TIME);
    shared.record.note(&format!(
        "answered {id} {ending:?} after {:?}",
        sent.elapsed()
    ));
    let came = matches!(ending, Ending::Answered { .. });
    // A connection that the host closed is an end, too; this case is about silence.
    let is_silent = ending == Ending::Nothing;
    tally.note(TIMEOUT, (!is_silent).then(|| sent.elapsed()));
    came
}
