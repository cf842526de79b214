//! The HTTP server of the store's stand-in.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use platform::store_server::{self, Call};
use serde::Serialize;
use transport::peers::host_list::HostEntry;

use super::topics::{Behaviour, Counts, Loss, Refused, StoreState};
use crate::http_server::{self, Answer, HttpServer};

/// A stand-in for the platform's store, served from its own threads until dropped.
pub struct StoreStandIn {
    address: SocketAddr,
    store: Arc<StoreState>,
    servers: Vec<HttpServer>,
}

#[derive(Serialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

impl StoreStandIn {
    /// Serves the store on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be served.
    pub fn start(listener: TcpListener, behaviour: Behaviour) -> io::Result<StoreStandIn> {
        let address = listener.local_addr()?;
        let mut stand_in = StoreStandIn {
            address,
            store: Arc::new(StoreState::new(behaviour)),
            servers: Vec::new(),
        };
        stand_in.add_listener(listener)?;
        log::info!("E0901 log-stand-in-started address={address}");
        Ok(stand_in)
    }

    /// Serves the store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn on_loopback(behaviour: Behaviour) -> io::Result<StoreStandIn> {
        StoreStandIn::start(TcpListener::bind(("127.0.0.1", 0))?, behaviour)
    }

    /// Serves the same store on a further listener, such as one without a fault proxy before it.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be served.
    pub fn add_listener(&mut self, listener: TcpListener) -> io::Result<()> {
        let store = Arc::clone(&self.store);
        let handler = Arc::new(move |request: &Request<Bytes>| answer(request, &store));
        let server = HttpServer::start("log-stand-in", listener, handler)?;
        self.servers.push(server);
        Ok(())
    }

    /// Returns the address of the first listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.store.change(change);
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> Counts {
        self.store.counts()
    }

    /// Sets the list of hosts that `GET /hosts` returns.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.store.set_hosts(hosts);
    }

    /// Starts a journal that keeps every record regardless of retention, for checks.
    pub fn record_journal(&self) {
        self.store.record_journal();
    }

    /// Returns every record of a topic since [`StoreStandIn::record_journal`].
    pub fn journal(&self, topic: &str) -> Vec<Bytes> {
        self.store.journal(topic)
    }

    /// Appends a record directly: not over HTTP, outside the budget and with no lost answer.
    pub fn append(&self, topic: &str, record: Bytes) -> Option<u64> {
        self.store
            .append(topic, vec![record], None)
            .ok()
            .map(|appended| appended.offset)
    }

    /// Writes a value under a key of a keyed topic, or removes the key if `value` is `None`.
    ///
    /// Operators and backend servers write like this; faults of the store's HTTP side don't
    /// apply.
    pub fn put(&self, topic: &str, key: &str, value: Option<Bytes>) {
        self.store.put(topic, key, value);
    }

    /// Compacts a topic: drops all its records; the newest of each key stays available.
    pub fn compact(&self, topic: &str) {
        self.store.compact(topic);
    }
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.store.stop();
    }
}

fn answer(request: &Request<Bytes>, store: &StoreState) -> Option<Answer> {
    let path = request.uri().path_and_query().map_or("", |p| p.as_str());
    match (request.method(), path) {
        (&Method::PUT, "/control") => Some(control(request, store)),
        (&Method::GET, "/control") => Some(json(&store.behaviour())),
        (&Method::PUT, "/hosts") => Some(set_hosts(request, store)),
        (&Method::GET, "/counts") => Some(json(&store.counts())),
        (&Method::GET, "/hosts") => Some(hosts(store)),
        _ => match store_server::parse_call(path, request.body().clone()) {
            None => Some(refuse(StatusCode::BAD_REQUEST)),
            Some(call) => execute(store, call),
        },
    }
}

/// Executes a call; returns `None` if its answer is to be lost in silence.
fn execute(store: &StoreState, call: Call) -> Option<Answer> {
    if let Err(refused) = store.admit(&call) {
        return Some(refused_answer(&refused));
    }
    std::thread::sleep(Duration::from_millis(store.behaviour().slow_ms));
    let result = match call {
        Call::Append { topic, records, at } => match store.append(&topic, records, at) {
            Ok(appended) => match appended.loss {
                Some(Loss::Silence) => return None,
                Some(Loss::Gateway) => return Some(refuse(StatusCode::GATEWAY_TIMEOUT)),
                None => Ok(store_server::append_answer(appended.offset, appended.end)),
            },
            Err(refused) => Err(refused),
        },
        Call::Read { topic, .. } if store.loses_read(&topic) => return None,
        Call::Read {
            topic,
            from,
            bytes,
            wait,
        } => store
            .read(&topic, from, bytes, wait)
            .map(|read| store_server::read_answer(read.first, read.end, &read.records)),
        Call::Trim { topic, before } => {
            store.trim(&topic, before);
            Ok(b"{}".to_vec())
        }
        Call::Newest { topic, after } => {
            let page = store.newest(&topic, after.as_deref());
            Ok(store_server::newest_answer(
                &page.records,
                page.more,
                page.end,
            ))
        }
        Call::Join(join) => {
            let (generation, partitions) = store.join(join);
            Ok(store_server::join_answer(generation, &partitions))
        }
        Call::Owners { group } => Ok(store_server::owners_answer(&store.owners(&group))),
    };
    Some(match result {
        Ok(body) => http_server::data(StatusCode::OK, body),
        Err(refused) => refused_answer(&refused),
    })
}

fn refused_answer(refused: &Refused) -> Answer {
    match refused {
        Refused::Down => refuse(StatusCode::SERVICE_UNAVAILABLE),
        Refused::Budget => refuse(StatusCode::TOO_MANY_REQUESTS),
        Refused::WrongOffset(end) => {
            let body = store_server::append_answer(*end, *end);
            http_server::data(StatusCode::PRECONDITION_FAILED, body)
        }
        Refused::Trimmed(first) => {
            http_server::data(StatusCode::GONE, store_server::trimmed_answer(*first))
        }
    }
}

fn hosts(store: &StoreState) -> Answer {
    match store.is_up() {
        true => json(&Hosts {
            hosts: store.hosts(),
        }),
        false => refuse(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn control(request: &Request<Bytes>, store: &StoreState) -> Answer {
    match serde_json::from_slice::<Behaviour>(request.body()) {
        Ok(behaviour) => {
            store.change(|b| *b = behaviour);
            json(&store.behaviour())
        }
        Err(error) => http_server::text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn set_hosts(request: &Request<Bytes>, store: &StoreState) -> Answer {
    match serde_json::from_slice::<Vec<HostEntry>>(request.body()) {
        Ok(list) => {
            store.set_hosts(list);
            json(&Hosts {
                hosts: store.hosts(),
            })
        }
        Err(error) => http_server::text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => http_server::data(StatusCode::OK, body),
        Err(error) => http_server::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn refuse(status: StatusCode) -> Answer {
    http_server::data(status, b"{}".to_vec())
}
