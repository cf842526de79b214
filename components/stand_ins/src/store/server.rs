//! The HTTP server of the store's stand-in.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use platform::store_server::{self, Call};
use serde::Serialize;
use socket2::SockRef;
use tiny_http::{Method, Request, Response, Server};
use transport::peers::host_list::HostEntry;

use super::topics::{Behaviour, Counts, Loss, Refused, StoreState};

/// The largest body of a call that is accepted, in bytes.
const MAX_CALL_SIZE: u64 = 4 * 1024 * 1024;

/// A stand-in for the platform's store, served from its own threads until dropped.
pub struct StoreStandIn {
    address: SocketAddr,
    store: Arc<StoreState>,
    servers: Vec<Arc<Server>>,
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
        // Accepted connections inherit the option. Without it an answer of more than one write
        // waits 40 ms for a delayed acknowledgement, which the real store doesn't.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        serve(&server, &self.store)?;
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
        self.servers.iter().for_each(|s| s.unblock());
    }
}

fn serve(server: &Arc<Server>, store: &Arc<StoreState>) -> io::Result<()> {
    let server = Arc::clone(server);
    let store = Arc::clone(store);
    std::thread::Builder::new()
        .name("log-stand-in".to_owned())
        .spawn(move || accept(&server, &store))?;
    Ok(())
}

/// Answers each request on its own thread, since reads are long polls.
fn accept(server: &Server, store: &Arc<StoreState>) {
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

fn answer(mut request: Request, store: &StoreState) {
    let path = request.url().to_owned();
    let response = match (request.method(), path.as_str()) {
        (Method::Put, "/control") => control(&mut request, store),
        (Method::Get, "/control") => json(200, &store.behaviour()),
        (Method::Put, "/hosts") => set_hosts(&mut request, store),
        (Method::Get, "/counts") => json(200, &store.counts()),
        (Method::Get, "/hosts") => hosts(store),
        _ => match read_call(&mut request, &path) {
            None => refuse(400),
            Some(call) => match execute(store, call) {
                Some(response) => response,
                None => return leave_unanswered(request),
            },
        },
    };
    // The client may have disconnected, which is no fault of the stand-in.
    let _ = request.respond(response);
}

fn read_call(request: &mut Request, path: &str) -> Option<Call> {
    let body = match request.method() {
        Method::Post => body(request)?,
        _ => Vec::new(),
    };
    store_server::parse_call(path, Bytes::from(body))
}

type Answer = Response<io::Cursor<Vec<u8>>>;

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
                Some(Loss::Gateway) => return Some(refuse(504)),
                None => Ok(store_server::append_answer(appended.offset, appended.end)),
            },
            Err(refused) => Err(refused),
        },
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
        Ok(body) => Response::from_data(body),
        Err(refused) => refused_answer(&refused),
    })
}

fn refused_answer(refused: &Refused) -> Answer {
    match refused {
        Refused::Down => refuse(503),
        Refused::Budget => refuse(429),
        Refused::WrongOffset(end) => {
            Response::from_data(store_server::append_answer(*end, *end)).with_status_code(412)
        }
        Refused::Trimmed(first) => {
            Response::from_data(store_server::trimmed_answer(*first)).with_status_code(410)
        }
    }
}

/// Leaves a request without an answer, as a link that has gone silent does.
fn leave_unanswered(request: Request) {
    drop(request.into_writer());
}

fn hosts(store: &StoreState) -> Answer {
    match store.is_up() {
        true => json(
            200,
            &Hosts {
                hosts: store.hosts(),
            },
        ),
        false => refuse(503),
    }
}

fn control(request: &mut Request, store: &StoreState) -> Answer {
    let parsed = body(request).and_then(|b| serde_json::from_slice::<Behaviour>(&b).ok());
    match parsed {
        Some(behaviour) => {
            store.change(|b| *b = behaviour);
            json(200, &store.behaviour())
        }
        None => refuse(400),
    }
}

fn set_hosts(request: &mut Request, store: &StoreState) -> Answer {
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
        None => refuse(400),
    }
}

fn body(request: &mut Request) -> Option<Vec<u8>> {
    let announced = request.body_length()?;
    let mut data = Vec::new();
    let reader = request.as_reader();
    reader.take(MAX_CALL_SIZE + 1).read_to_end(&mut data).ok()?;
    (data.len() == announced && data.len() as u64 <= MAX_CALL_SIZE).then_some(data)
}

fn json(status: u16, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::from_data(body).with_status_code(status)
}

fn refuse(status: u16) -> Answer {
    Response::from_data("{}").with_status_code(status)
}
