//! An endpoint that writes its answers as raw bytes, so that they may break HTTP's rules.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::sleep;

use super::Store;

/// The answer to a health check.
pub const HEALTHY: &str =
    "HTTP/1.1 200 OK\r\nInstance-Id: i-raw\r\nServer-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n";

/// The number of bytes that an endless answer writes at once.
const ENDLESS_BYTES: usize = 64 * 1024;

/// The time between two bytes of a dripping answer.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);

/// A request as received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The connection of the request, counted from 0.
    pub connection: usize,
    /// The request line and the headers.
    pub head: String,
    /// The body, decoded if it is chunked.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the request's `Attempt-Id`, or an empty string if there is none.
    pub fn id(&self) -> &str {
        header(&self.head, "attempt-id").unwrap_or_default()
    }

    /// Returns whether the request is a health check.
    pub fn is_probe(&self) -> bool {
        self.head.starts_with("GET /health ")
    }
}

/// How the endpoint answers one request, by its head.
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Keep(String),
    /// Writes these bytes and closes the connection with FIN.
    Close(String),
    /// Writes these bytes and resets the connection.
    Reset(String),
    /// Writes these bytes before reading the request's body, then reads the body.
    Early(String),
    /// Writes the first bytes at once and the second ones some time later.
    Twice(String, Duration, String),
    /// Writes these bytes while it reads the request's body.
    Beside(String),
    /// Writes nothing, and neither reads nor closes the connection any more.
    Silent,
    /// Writes these bytes and then the second ones again and again, until the host closes.
    Endless(String, &'static str),
    /// Writes these bytes and then one byte after the other, until the host closes.
    Dripping(String),
}

/// Which requests a script answers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scripted {
    /// All but health checks, which are answered as by a healthy endpoint.
    Requests,
    /// All.
    All,
}

type Script = dyn Fn(&ReceivedRequest) -> Reply + Send + Sync;

/// A running endpoint, registered as instance `i-raw`.
pub struct RawEndpoint {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    refused: Arc<Mutex<Option<IpAddr>>>,
}

impl RawEndpoint {
    /// Starts an endpoint that answers each request as `script` returns, and is healthy.
    pub async fn start(
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> RawEndpoint {
        RawEndpoint::start_scripted(Scripted::Requests, script).await
    }

    /// Starts an endpoint that answers health checks, too, as `script` returns.
    pub async fn start_unhealthy(
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> RawEndpoint {
        RawEndpoint::start_scripted(Scripted::All, script).await
    }

    async fn start_scripted(
        scripted: Scripted,
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> RawEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&received);
        let refused = Arc::new(Mutex::new(None));
        let shared_refused = Arc::clone(&refused);
        let script: Arc<Script> = Arc::new(script);
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, peer)) = listener.accept().await {
                let refused = *shared_refused
                    .lock()
                    .expect("no test panics with the lock held");
                if refused == Some(peer.ip()) {
                    continue;
                }
                let (reader, writer) = stream.into_split();
                let opened = Connection {
                    connection,
                    scripted,
                    reader: Reader {
                        stream: reader,
                        buffer: Vec::new(),
                    },
                    writer,
                    script: Arc::clone(&script),
                    received: Arc::clone(&shared),
                };
                tokio::spawn(opened.run());
                connection += 1;
            }
        });
        RawEndpoint {
            address,
            received,
            refused,
        }
    }

    /// Closes new connections from this address.
    pub fn refuse(&self, source: IpAddr) {
        let mut refused = self
            .refused
            .lock()
            .expect("no test panics with the lock held");
        *refused = Some(source);
    }

    /// Writes the endpoint's record into the store.
    pub fn register(&self, store: &Store, service: &str) {
        self.register_as("i-raw", store, service);
    }

    /// Writes the endpoint's record into the store, as this instance.
    pub fn register_as(&self, instance: &str, store: &Store, service: &str) {
        self.register_version("v1", instance, store, service);
    }

    /// Writes the endpoint's record into the store, as this instance and version.
    pub fn register_version(&self, version: &str, instance: &str, store: &Store, service: &str) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"here","version":"{version}","slots":6,"state":"ready","warmupRemainingS":0,"sequence":1,"born":1}}"#,
            self.address
        );
        store.put("keyed.servers", instance, Some(&entry));
    }

    /// Returns the requests received, without health checks.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received
            .lock()
            .expect("no test panics with the lock held")
            .clone()
    }
}

/// One accepted connection of the endpoint.
struct Connection {
    connection: usize,
    scripted: Scripted,
    reader: Reader,
    writer: OwnedWriteHalf,
    script: Arc<Script>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

/// The requests of a connection.
struct Reader {
    stream: OwnedReadHalf,
    buffer: Vec<u8>,
}

impl Connection {
    /// Serves requests until the connection ends; returns `None` if the peer ended it.
    async fn run(mut self) -> Option<()> {
        loop {
            let head = self.reader.read_head().await?;
            let is_probe = head.starts_with("GET /health ");
            if is_probe && self.scripted == Scripted::Requests {
                self.writer.write_all(HEALTHY.as_bytes()).await.ok()?;
                continue;
            }
            let mut received = ReceivedRequest {
                connection: self.connection,
                head,
                body: Vec::new(),
            };
            let reply = (self.script)(&received);
            if let Reply::Early(bytes) = &reply {
                self.writer.write_all(bytes.as_bytes()).await.ok()?;
                received.body = self.reader.read_body(&received.head).await?;
                self.record(received);
                continue;
            }
            if let Reply::Beside(bytes) = &reply {
                let body = self.reader.read_body(&received.head);
                let (written, body) = tokio::join!(self.writer.write_all(bytes.as_bytes()), body);
                received.body = body?;
                self.record(received);
                written.ok()?;
                continue;
            }
            received.body = self.reader.read_body(&received.head).await?;
            if !is_probe {
                self.record(received);
            }
            if let Reply::Twice(first, pause, second) = &reply {
                self.writer.write_all(first.as_bytes()).await.ok()?;
                sleep(*pause).await;
                self.writer.write_all(second.as_bytes()).await.ok()?;
                continue;
            }
            if let Reply::Endless(start, more) = &reply {
                self.writer.write_all(start.as_bytes()).await.ok()?;
                let more = more.repeat(ENDLESS_BYTES / more.len());
                loop {
                    self.writer.write_all(more.as_bytes()).await.ok()?;
                }
            }
            if let Reply::Dripping(start) = &reply {
                self.writer.write_all(start.as_bytes()).await.ok()?;
                loop {
                    sleep(DRIP_INTERVAL).await;
                    self.writer.write_all(b"x").await.ok()?;
                }
            }
            let (Reply::Keep(bytes)
            | Reply::Close(bytes)
            | Reply::Reset(bytes)
            | Reply::Early(bytes)
            | Reply::Beside(bytes)) = &reply
            else {
                // `Silent`: the connection stays open.
                std::future::pending::<()>().await;
                return None;
            };
            self.writer.write_all(bytes.as_bytes()).await.ok()?;
            match reply {
                Reply::Close(_) => return self.writer.shutdown().await.ok(),
                Reply::Reset(_) => {
                    let socket = socket2::SockRef::from(self.writer.as_ref());
                    socket.set_linger(Some(Duration::ZERO)).ok()?;
                    // Dropped, it would close the connection with FIN first.
                    self.writer.forget();
                    return None;
                }
                _ => {}
            }
        }
    }

    fn record(&self, received: ReceivedRequest) {
        self.received
            .lock()
            .expect("no test panics with the lock held")
            .push(received);
    }
}

impl Reader {
    async fn read_head(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return String::from_utf8(head).ok();
            }
            self.read_more().await?;
        }
    }

    async fn read_body(&mut self, head: &str) -> Option<Vec<u8>> {
        if header(head, "transfer-encoding").is_some() {
            return self.read_chunks().await;
        }
        let length: usize = header(head, "content-length").map_or(Some(0), |l| l.parse().ok())?;
        self.read_bytes(length).await
    }

    async fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let chunk = self.read_bytes(length).await?;
            self.read_line().await?;
            if length == 0 {
                return Some(body);
            }
            body.extend(chunk);
        }
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return String::from_utf8(line).ok();
            }
            self.read_more().await?;
        }
    }

    async fn read_bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    async fn read_more(&mut self) -> Option<()> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece).await.ok()?;
        self.buffer.extend_from_slice(&piece[..count]);
        (count > 0).then_some(())
    }
}

/// Returns the value of a header of `head`; `name` may be in any case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
