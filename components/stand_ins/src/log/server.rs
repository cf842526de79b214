//! The stand-in's HTTP side.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use serde::Serialize;
use socket2::SockRef;
use tiny_http::{Method, Request, Response, Server};
use transport::log::HostEntry;

use super::store::{Behaviour, Counts, Loss, Refused, Store};

/// The largest record that is taken, in bytes.
const RECORD_LIMIT: u64 = 4 * 1024 * 1024;

/// The longest wait for a record, in milliseconds.
const LONGEST_WAIT: u64 = 30_000;

/// The stand-in, serving on threads of its own until it is dropped.
pub struct LogStandIn {
    address: SocketAddr,
    store: Arc<Store>,
    servers: Vec<Arc<Server>>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Refusal {
    refused: &'static str,
}

#[derive(Serialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

impl LogStandIn {
    /// Serves the log on `listener`.
    ///
    /// # Errors
    ///
    /// Says why the listener can't be served.
    pub fn start(listener: TcpListener, behaviour: Behaviour) -> io::Result<LogStandIn> {
        let address = listener.local_addr()?;
        // Taken over by each connection. Without it an answer of more than one
        // write waits for a delayed acknowledgement, 40 ms, as no real log would.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let store = Arc::new(Store::new(behaviour));
        serve(&server, &store)?;
        log::info!("E0901 log-stand-in-started address={address}");
        Ok(LogStandIn {
            address,
            store,
            servers: vec![server],
        })
    }

    /// Serves the log on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Says why no port can be had.
    pub fn on_loopback(behaviour: Behaviour) -> io::Result<LogStandIn> {
        LogStandIn::start(TcpListener::bind(("127.0.0.1", 0))?, behaviour)
    }

    /// Serves the same on another listener, such as one that no fault proxy stands before.
    ///
    /// # Errors
    ///
    /// Says why the listener can't be served.
    pub fn also_listen(&mut self, listener: TcpListener) -> io::Result<()> {
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        serve(&server, &self.store)?;
        self.servers.push(server);
        Ok(())
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes its behaviour from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.store.change(change);
    }

    /// Returns what it has done so far.
    pub fn counts(&self) -> Counts {
        self.store.counts()
    }

    /// Sets the list of hosts that it hands out.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.store.set_hosts(hosts);
    }

    /// Keeps every record from now on, whatever the retention, to check against.
    pub fn keep_journal(&self) {
        self.store.keep_journal();
    }

    /// Returns every record of a stream since [`LogStandIn::keep_journal`].
    pub fn journal(&self, stream: &str) -> Vec<Bytes> {
        self.store.journal(stream)
    }

    /// Appends a record without HTTP and without its budget's answer getting lost.
    pub fn append(&self, stream: &str, data: Bytes) -> Option<u64> {
        self.store
            .append(stream, data)
            .ok()
            .map(|(offset, _)| offset)
    }
}

impl Drop for LogStandIn {
    fn drop(&mut self) {
        self.store.stop();
        self.servers.iter().for_each(|s| s.unblock());
    }
}

fn serve(server: &Arc<Server>, store: &Arc<Store>) -> io::Result<()> {
    let server = Arc::clone(server);
    let store = Arc::clone(store);
    std::thread::Builder::new()
        .name("log-stand-in".to_owned())
        .spawn(move || accept(&server, &store))?;
    Ok(())
}

/// Answers each request on a thread of its own, since reads wait long.
fn accept(server: &Server, store: &Arc<Store>) {
    for request in server.incoming_requests() {
        let store = Arc::clone(store);
        let spawned = std::thread::Builder::new()
            .name("log-request".to_owned())
            .spawn(move || answer(request, &store));
        if let Err(error) = spawned {
            log::warn!("E0902 log-stand-in-overloaded error=\"{error}\"");
        }
    }
}

fn answer(mut request: Request, store: &Store) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let slow = Duration::from_millis(store.behaviour().slow_ms);
    let response = match (request.method(), path) {
        (Method::Put, "/control") => control(&mut request, store),
        (Method::Get, "/control") => json(200, &store.behaviour()),
        (Method::Put, "/hosts") => set_hosts(&mut request, store),
        (Method::Get, "/counts") => json(200, &store.counts()),
        (Method::Get, "/hosts") => late(slow, hosts(store)),
        (Method::Post, path) if path.starts_with("/streams/") => {
            match append(&mut request, store, &path["/streams/".len()..]) {
                Some(response) => late(slow, response),
                None => return lose(request),
            }
        }
        (Method::Get, path) if path.starts_with("/streams/") => {
            late(slow, read(store, &path["/streams/".len()..], query))
        }
        _ => refuse(404, "no such path"),
    };
    // The client may have gone; that is its own affair.
    let _ = request.respond(response);
}

type Answer = Response<io::Cursor<Vec<u8>>>;

fn append(request: &mut Request, store: &Store, stream: &str) -> Option<Answer> {
    let Some(data) = body(request) else {
        return Some(refuse(413, "the record is too large or was cut"));
    };
    if store.enter().is_err() {
        return Some(refuse(503, "the log is down"));
    }
    match store.append(stream, data.into()) {
        Ok((offset, None)) => Some(json(200, &Appended { offset })),
        Ok((_, Some(Loss::Gateway))) => {
            Some(Response::from_data("gateway timeout").with_status_code(504))
        }
        Ok((_, Some(Loss::Silence))) => None,
        Err(Refused::Budget) => Some(refuse(429, "too many appends a second")),
        Err(Refused::Down) => Some(refuse(503, "the log is down")),
    }
}

/// Leaves the client without an answer, as a link does that has gone silent.
fn lose(request: Request) {
    drop(request.into_writer());
}

fn read(store: &Store, stream: &str, query: &str) -> Answer {
    let number = |key: &str| {
        let pair = query.split('&').find_map(|p| p.strip_prefix(key));
        pair.and_then(|v| v.strip_prefix('=')?.parse::<u64>().ok())
    };
    let from = number("from").unwrap_or(0);
    let max = usize::try_from(number("max").unwrap_or(256)).unwrap_or(usize::MAX);
    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(LONGEST_WAIT));
    let page = store
        .enter()
        .and_then(|()| store.read(stream, from, max, wait));
    match page {
        Ok(page) => Response::from_data(page.encode_to_vec()),
        Err(_) => refuse(503, "the log is down"),
    }
}

fn hosts(store: &Store) -> Answer {
    match store.enter() {
        Ok(()) => json(
            200,
            &Hosts {
                hosts: store.hosts(),
            },
        ),
        Err(_) => refuse(503, "the log is down"),
    }
}

fn control(request: &mut Request, store: &Store) -> Answer {
    let parsed = body(request).and_then(|b| serde_json::from_slice::<Behaviour>(&b).ok());
    match parsed {
        Some(behaviour) => {
            store.change(|b| *b = behaviour);
            json(200, &store.behaviour())
        }
        None => refuse(400, "the body is no behaviour in JSON"),
    }
}

fn set_hosts(request: &mut Request, store: &Store) -> Answer {
    let parsed = body(request).and_then(|b| serde_json::from_slice::<Vec<HostEntry>>(&b).ok());
    match parsed {
        Some(list) => {
            store.set_hosts(list);
            json(
                200,
                &Hosts {
                    hosts: store.hosts(),
                },
            )
        }
        None => refuse(400, "the body is no list of hosts in JSON"),
    }
}

fn body(request: &mut Request) -> Option<Vec<u8>> {
    let announced = request.body_length()?;
    let mut data = Vec::new();
    let reader = request.as_reader();
    reader.take(RECORD_LIMIT + 1).read_to_end(&mut data).ok()?;
    (data.len() == announced && data.len() as u64 <= RECORD_LIMIT).then_some(data)
}

fn late(slow: Duration, response: Answer) -> Answer {
    std::thread::sleep(slow);
    response
}

fn json(status: u16, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::from_data(body).with_status_code(status)
}

fn refuse(status: u16, why: &'static str) -> Answer {
    json(status, &Refusal { refused: why })
}
