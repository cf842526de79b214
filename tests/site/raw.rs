//! An endpoint that writes its answers byte by byte, as no library would let it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::Store;

/// The answer to a question for its health.
const HEALTHY: &str =
    "HTTP/1.1 200 OK\r\nInstance-Id: i-raw\r\nServer-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n";

/// A request as it came in.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The connection on which it came, counted from 0.
    pub connection: usize,
    /// The request line and the fields.
    pub head: String,
    /// The body, taken out of its chunks.
    pub body: Vec<u8>,
}

impl Seen {
    /// Returns what the client named its attempt.
    pub fn id(&self) -> &str {
        field(&self.head, "attempt-id").unwrap_or_default()
    }
}

/// What the endpoint does with one request.
pub enum Reply {
    /// It writes these bytes and keeps the connection.
    Keep(String),
    /// It writes these bytes and ends the connection in order.
    Close(String),
    /// It writes these bytes and resets the connection.
    Reset(String),
    /// It writes these bytes before it has read the body, then reads on.
    Early(String),
    /// It falls silent on this connection, for good.
    Mute,
}

type Script = dyn Fn(&Seen) -> Reply + Send + Sync;

/// A running endpoint.
pub struct RawEndpoint {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl RawEndpoint {
    /// Starts an endpoint that asks `script` what to do with each request.
    pub async fn start(script: impl Fn(&Seen) -> Reply + Send + Sync + 'static) -> RawEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&seen);
        let script: Arc<Script> = Arc::new(script);
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                let served = Served {
                    connection,
                    stream,
                    buffer: Vec::new(),
                    script: Arc::clone(&script),
                    seen: Arc::clone(&shared),
                };
                tokio::spawn(served.run());
                connection += 1;
            }
        });
        RawEndpoint { address, seen }
    }

    /// Writes its entry into the store.
    pub fn register(&self, store: &Store, service: &str) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"here","version":"v1","slots":6,"state":"ready","warmupRemainingS":0,"sequence":1,"born":1}}"#,
            self.address
        );
        store.put("keyed.servers", "i-raw", Some(&entry));
    }

    /// Returns the requests that came, without the questions for its health.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no test panics here").clone()
    }
}

/// One connection of an endpoint.
struct Served {
    connection: usize,
    stream: TcpStream,
    buffer: Vec<u8>,
    script: Arc<Script>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Served {
    /// Serves request after request; nothing where the other end has gone.
    async fn run(mut self) -> Option<()> {
        loop {
            let head = self.head().await?;
            if head.starts_with("GET /health ") {
                self.stream.write_all(HEALTHY.as_bytes()).await.ok()?;
                continue;
            }
            let mut seen = Seen {
                connection: self.connection,
                head,
                body: Vec::new(),
            };
            if let Reply::Early(bytes) = (self.script)(&seen) {
                self.stream.write_all(bytes.as_bytes()).await.ok()?;
                seen.body = self.body(&seen.head).await?;
                self.note(seen);
                continue;
            }
            seen.body = self.body(&seen.head).await?;
            let reply = (self.script)(&seen);
            self.note(seen);
            let (Reply::Keep(bytes)
            | Reply::Close(bytes)
            | Reply::Reset(bytes)
            | Reply::Early(bytes)) = &reply
            else {
                // Kept open and never read again.
                std::future::pending::<()>().await;
                return None;
            };
            self.stream.write_all(bytes.as_bytes()).await.ok()?;
            match reply {
                Reply::Close(_) => return self.stream.shutdown().await.ok(),
                Reply::Reset(_) => {
                    let socket = socket2::SockRef::from(&self.stream);
                    return socket.set_linger(Some(std::time::Duration::ZERO)).ok();
                }
                _ => {}
            }
        }
    }

    fn note(&self, seen: Seen) {
        self.seen.lock().expect("no test panics here").push(seen);
    }

    async fn head(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return String::from_utf8(head).ok();
            }
            self.more().await?;
        }
    }

    async fn body(&mut self, head: &str) -> Option<Vec<u8>> {
        if field(head, "transfer-encoding").is_some() {
            return self.chunks().await;
        }
        let length: usize = field(head, "content-length").map_or(Some(0), |l| l.parse().ok())?;
        self.take(length).await
    }

    async fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line().await?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let chunk = self.take(length).await?;
            self.line().await?;
            if length == 0 {
                return Some(body);
            }
            body.extend(chunk);
        }
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return String::from_utf8(line).ok();
            }
            self.more().await?;
        }
    }

    async fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.more().await?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    async fn more(&mut self) -> Option<()> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece).await.ok()?;
        self.buffer.extend_from_slice(&piece[..count]);
        (count > 0).then_some(())
    }
}

/// Returns a field of a head, by its name in small letters.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
