//! A test edge on loopback, scripted backend servers, and callers that send raw bytes.

#![allow(dead_code, reason = "each test file uses only a part of the module")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use state::policy::Policy;
use state::preset::{DataCentre, Endpoint, Service};
use state::{Config, HostKey, Preset};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use transport::dispatch::{Dispatcher, DispatcherOptions};
use transport::edge::{Edge, Limits};
use transport::trace::Tracing;

/// Time-out of every wait, long enough for a busy machine.
pub const GENEROUS: Duration = Duration::from_secs(30);

/// What a scripted backend server does with one request.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Keep(String),
    /// Writes these bytes and closes the connection.
    Close(String),
    /// Writes these bytes and then nothing, until the other end closes.
    Hang(String),
    /// Writes nothing and keeps the connection open, even when the other end closes it.
    Ignore,
}

/// A request that a scripted backend server received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The request line and the header fields, as received.
    pub head: String,
    /// The body, with the framing of a chunked one.
    pub body: Vec<u8>,
    /// The index of the connection, counted from 0.
    pub connection: usize,
}

/// The requests and connections that a scripted backend server has recorded.
#[derive(Default)]
pub struct ServerRecord {
    /// The complete requests.
    pub requests: Vec<RecordedRequest>,
    /// Number of connections that the other end closed while a reply hung.
    pub cancelled: usize,
    /// Number of accepted connections.
    pub accepted: usize,
}

/// A scripted backend server.
pub struct ScriptedServer {
    /// The listening address.
    pub address: SocketAddr,
    record: Arc<Mutex<ServerRecord>>,
    task: JoinHandle<()>,
}

impl ScriptedServer {
    /// Starts a server that answers its n-th request with what `script` returns.
    pub async fn start(
        script: impl Fn(usize, &RecordedRequest) -> Reply + Send + Sync + 'static,
    ) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let record = Arc::new(Mutex::new(ServerRecord::default()));
        let shared = Arc::clone(&record);
        let script = Arc::new(script);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut record = shared.lock().expect("the record");
                    record.accepted += 1;
                    record.accepted - 1
                };
                tokio::spawn(serve_connection(
                    stream,
                    number,
                    Arc::clone(&shared),
                    Arc::clone(&script),
                ));
            }
        });
        ScriptedServer {
            address,
            record,
            task,
        }
    }

    /// Starts a server that answers every request with `reply`.
    pub async fn always(reply: Reply) -> ScriptedServer {
        ScriptedServer::start(move |_, _| reply.clone()).await
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.record.lock().expect("the record").requests.clone()
    }

    /// Returns the number of hanging replies whose connection the other end closed.
    pub fn cancelled(&self) -> usize {
        self.record.lock().expect("the record").cancelled
    }

    /// Returns the number of accepted connections.
    pub fn accepted(&self) -> usize {
        self.record.lock().expect("the record").accepted
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    record: Arc<Mutex<ServerRecord>>,
    script: Arc<impl Fn(usize, &RecordedRequest) -> Reply + Send + Sync + 'static>,
) {
    while let Some(request) = read_request(&mut stream, connection).await {
        let number = {
            let mut record = record.lock().expect("the record");
            record.requests.push(request.clone());
            record.requests.len() - 1
        };
        let (text, more) = match script(number, &request) {
            Reply::Ignore => return std::future::pending().await,
            Reply::Keep(text) => (text, None),
            Reply::Close(text) => (text, Some(false)),
            Reply::Hang(text) => (text, Some(true)),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match more {
            None => {}
            Some(false) => return,
            Some(true) => {
                let mut sink = [0; 1024];
                while let Ok(1..) = stream.read(&mut sink).await {}
                record.lock().expect("the record").cancelled += 1;
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, connection: usize) -> Option<RecordedRequest> {
    let mut bytes = Vec::new();
    let head = loop {
        match bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            Some(end) => break end + 4,
            None => read_some(stream, &mut bytes).await?,
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let whole = match field(&text, "content-length") {
        Some(length) => head + length.parse::<usize>().expect("a length"),
        None if field(&text, "transfer-encoding").is_some() => {
            while !bytes.ends_with(b"0\r\n\r\n") {
                read_some(stream, &mut bytes).await?;
            }
            bytes.len()
        }
        None => head,
    };
    while bytes.len() < whole {
        read_some(stream, &mut bytes).await?;
    }
    Some(RecordedRequest {
        head: text,
        body: bytes.split_off(head),
        connection,
    })
}

async fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(bytes).await {
        Ok(1..) => Some(()),
        _ => None,
    }
}

/// Returns the value of the header field `name` in `head`.
pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines()
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
}

/// Returns a complete answer with status 200 and `body`.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An edge with one service, `hallboard`.
pub struct EdgeServer {
    /// The address for callers.
    pub address: SocketAddr,
    /// The edge under test.
    pub edge: Arc<Edge>,
    _config: watch::Sender<Arc<Config>>,
    task: JoinHandle<()>,
}

impl EdgeServer {
    /// Starts an edge with `servers` as the service's endpoints.
    pub async fn start(servers: &[&ScriptedServer]) -> EdgeServer {
        EdgeServer::with(servers, |_| {}, Limits::default()).await
    }

    /// Starts an edge that records traces with `tracing`.
    pub async fn traced(servers: &[&ScriptedServer], tracing: Tracing) -> EdgeServer {
        EdgeServer::build(servers, |_| {}, Limits::default(), tracing).await
    }

    /// Starts an edge with `limits`, and with the service's settings adjusted by `change`.
    pub async fn with(
        servers: &[&ScriptedServer],
        change: impl Fn(&mut Service),
        limits: Limits,
    ) -> EdgeServer {
        EdgeServer::build(servers, change, limits, Tracing::disabled()).await
    }

    async fn build(
        servers: &[&ScriptedServer],
        change: impl Fn(&mut Service),
        limits: Limits,
        tracing: Tracing,
    ) -> EdgeServer {
        let addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
        let mut service = hallboard(&addresses);
        change(&mut service);
        let config = Arc::new(config(service));
        let dispatcher = Dispatcher::new(&single_host(), Arc::new(|_, _| {}));
        dispatcher.configure(&config);
        let (sender, receiver) = watch::channel(config);
        let edge = Edge::with_tracing(limits, dispatcher, receiver, tracing);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let task = tokio::spawn(Arc::clone(&edge).serve(listener));
        EdgeServer {
            address,
            edge,
            _config: sender,
            task,
        }
    }

    /// Opens a caller's connection.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("the edge accepts the connection")
    }

    /// Sends `request` on a new connection and returns the answer.
    pub async fn call(&self, request: &str) -> Answer {
        let mut stream = self.connect().await;
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the request is sent");
        Answer::read(&mut stream).await
    }
}

impl Drop for EdgeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a caller received until its connection was closed.
#[derive(Debug)]
pub struct Answer {
    /// The status line and the header fields.
    pub head: String,
    /// All bytes after the head.
    pub body: Vec<u8>,
    /// Whether the connection was reset.
    pub reset: bool,
}

impl Answer {
    /// Reads until the connection is closed.
    pub async fn read(stream: &mut TcpStream) -> Answer {
        let mut bytes = Vec::new();
        let end = tokio::time::timeout(GENEROUS, stream.read_to_end(&mut bytes)).await;
        let reset = end.expect("the connection ends").is_err();
        let head = bytes
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map_or(bytes.len(), |end| end + 4);
        let body = bytes.split_off(head);
        Answer {
            head: String::from_utf8_lossy(&bytes).into_owned(),
            body,
            reset,
        }
    }

    /// Returns the status, or 0 if the head has none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of the outcome header, or an empty string if it is missing.
    pub fn outcome(&self) -> String {
        field(&self.head, "cardamomvale-outcome").unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns a GET of `path` on a connection that is closed afterwards.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n")
}

/// Returns a GET of `path` with a deadline, on a connection that is closed afterwards.
pub fn get_within(path: &str, millis: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: e\r\ncardamomvale-deadline-ms: {millis}\r\nconnection: close\r\n\r\n"
    )
}

/// Returns a POST of `path` with a body, on a connection that is closed afterwards.
pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Waits until `condition` holds.
pub async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(GENEROUS, wait)
        .await
        .expect("the condition comes to hold");
}

/// Returns the setup of a single entry host, which owns all slots.
fn single_host() -> DispatcherOptions {
    DispatcherOptions {
        host: HostKey::named("alone"),
        incarnation: 1,
        data_centre: "trent".into(),
        policy: Policy::FixedShare,
    }
}

fn hallboard(addresses: &[SocketAddr]) -> Service {
    Service {
        name: "hallboard".into(),
        endpoints: addresses
            .iter()
            .map(|address| Endpoint {
                address: *address,
                data_centre: "trent".into(),
            })
            .collect(),
        slots: 6,
        cold_slots: 1,
        connections: 200,
        deadline_ms: 20_000,
        queue: 100,
        body_limit: 1024 * 1024,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    }
}

fn config(service: Service) -> Config {
    let preset = Preset {
        name: "ordinary".into(),
        data_centres: vec![DataCentre {
            name: "trent".into(),
            region: "midlands".into(),
        }],
        services: vec![service],
    };
    Config {
        revision: 1,
        presets: BTreeMap::from([("ordinary".into(), preset)]),
        chosen: Some("ordinary".into()),
        ..Config::default()
    }
}
