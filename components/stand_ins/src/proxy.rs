//! A TCP proxy that injects network faults.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use derives::tag;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_SIZE: usize = 16 * 1024;

/// What the proxy does to the bytes that it forwards.
#[tag]
#[derive(Default)]
pub enum Fault {
    /// Forwards everything unchanged.
    #[default]
    Pass,
    /// Delays each chunk by this time, in both directions.
    Delay(Duration),
    /// Reads and discards what the client sends.
    LoseRequests,
    /// Reads and discards what the target sends.
    LoseAnswers,
    /// Closes all connections, and each new one immediately.
    Cut,
    /// Closes each connection after this many more bytes from the target were forwarded.
    CutAnswers(u64),
}

/// A running proxy. Dropping it closes its listener and all connections.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

struct Shared {
    target: SocketAddr,
    fault: watch::Sender<Fault>,
    opened: AtomicU64,
    /// Connections with a lower number are silent for good.
    silent_below: watch::Sender<u64>,
}

#[tag]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of the same IP address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind((target.ip(), 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let shared = Arc::new(Shared {
            target,
            fault: watch::Sender::default(),
            opened: AtomicU64::default(),
            silent_below: watch::Sender::default(),
        });
        let accept_task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Proxy {
            address,
            shared,
            accept_task,
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects `fault` from now on, in open connections too.
    pub fn set(&self, fault: Fault) {
        self.shared.fault.send_replace(fault);
    }

    /// Makes all connections that are open now silent for good; new connections work.
    ///
    /// A middlebox that lost its connection table behaves like this.
    pub fn silence(&self) {
        let next = self.shared.opened.load(Ordering::SeqCst);
        self.shared.silent_below.send_replace(next);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.set(Fault::Cut);
    }
}

async fn accept(listener: tokio::net::TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let number = shared.opened.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(connection(stream, number, Arc::clone(&shared)));
            }
            Err(error) => {
                log::warn!(
                    "E0921 proxy-accept-failed target={} error={error}",
                    shared.target
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(client: TcpStream, number: u64, shared: Arc<Shared>) {
    if *shared.fault.borrow() == Fault::Cut {
        return;
    }
    let Ok(upstream) = TcpStream::connect(shared.target).await else {
        return;
    };
    // With Nagle's algorithm the kernel would add delays of its own.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut fault = shared.fault.subscribe();
    let requests = forward(
        client_read,
        upstream_write,
        Direction::Request,
        number,
        &shared,
    );
    let answers = forward(
        upstream_read,
        client_write,
        Direction::Answer,
        number,
        &shared,
    );
    tokio::select! {
        // When one side closes, both are closed, as without a proxy: HTTP/1 as used here has no
        // half-closed connections.
        _ = requests => {}
        _ = answers => {}
        _ = fault.wait_for(|f| *f == Fault::Cut) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    number: u64,
    shared: &Shared,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_SIZE];
    let mut forwarded = 0;
    loop {
        let read = from.read(&mut buffer).await?;
        let silent = number < *shared.silent_below.borrow();
        if silent {
            // The other end must not even see the closing of a silent connection.
            return std::future::pending().await;
        }
        if read == 0 {
            return Ok(());
        }
        let fault = *shared.fault.borrow();
        match (fault, direction) {
            (Fault::LoseRequests, Direction::Request) | (Fault::LoseAnswers, Direction::Answer) => {
                continue;
            }
            (Fault::Delay(delay), _) => tokio::time::sleep(delay).await,
            (Fault::CutAnswers(limit), Direction::Answer) => {
                let room = usize::try_from(limit.saturating_sub(forwarded)).unwrap_or(usize::MAX);
                let part = read.min(room);
                to.write_all(&buffer[..part]).await?;
                forwarded += part as u64;
                if part < read {
                    return to.shutdown().await;
                }
                continue;
            }
            _ => {}
        }
        to.write_all(&buffer[..read]).await?;
    }
}
