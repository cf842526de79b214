//! A single HTTP/1.1 connection to a backend server.

use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use protocol::answer_head::{self, Expected, InvalidHead};
use socket2::{SockRef, TcpKeepalive};
use state::fleet::AnswerHistory;
use state::{EndpointKey, Moment};
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio_util::task::AbortOnDropHandle;

use super::body::RequestBody;
use super::counting_stream::{ByteCounts, CountingStream};
use crate::clock;

/// Time limit for opening a connection.
///
/// Connecting takes about 1 ms within a region. 500 ms allows for one packet
/// retransmission between regions and still leaves time to try another endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// When a middlebox has dropped its state for a connection, bytes sent on it are
/// never acknowledged, and the kernel would retransmit for 15 minutes by default.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection is idle before the kernel sends a TCP keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// The interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a connection's buffer in each direction, in bytes.
const BUFFER_BYTES: usize = 128 * 1024;

/// Maximum number of bytes that may come without a head or a piece of a body.
///
/// The HTTP library limits the size of a head, but not the number of interim answers (1xx)
/// before it, nor the length of a chunk's size line, which it reads without pausing. Several
/// full buffers may be read before a piece of a body is taken.
const MAX_FUTILE_BYTES: u64 = 4 * BUFFER_BYTES as u64;

/// The reason why a connection could not be opened; no request bytes were sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The backend server or the network refused the connection.
    #[error("connecting to {0} failed: {1}")]
    Refused(SocketAddr, io::Error),
    /// Connecting took longer than the time limit.
    #[error("connecting to {0} took more than {limit} ms", limit = CONNECT_TIMEOUT.as_millis())]
    TooSlow(SocketAddr),
    /// The HTTP library could not start on the new connection.
    #[error("starting HTTP on the connection to {0} failed: {1}")]
    Handshake(SocketAddr, hyper::Error),
}

/// The reason why a request got no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection broke before any byte of the request was handed to the kernel.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The connection broke after a part of the request may have been sent.
    #[error("the connection broke after the request was sent: {0}")]
    Sent(hyper::Error),
    /// The head of the answer is invalid; the request may have run.
    #[error("the answer is invalid: {0}")]
    Invalid(InvalidHead),
}

/// A connection with its HTTP driver, polled by the task of the call that uses it.
///
/// Without a separate driver task an answer needs no wake-up of a second task,
/// and no other task can read it.
pub struct Connection {
    /// The endpoint that the connection leads to.
    pub endpoint: EndpointKey,
    /// The time at which the connection last became idle.
    pub idle_since: Moment,
    /// Whether an earlier call has completed on this connection.
    pub reused: bool,
    /// What the connection's answers so far say about the next one.
    pub history: AnswerHistory,
    sender: http1::SendRequest<RequestBody>,
    driver: Driver,
    counts: Arc<ByteCounts>,
    closed: bool,
}

/// What reads and writes on a connection.
enum Driver {
    /// Whoever polls the connection.
    Polled(Box<HttpConnection>),
    /// A task, until this is dropped.
    Task { _task: AbortOnDropHandle<()> },
}

type HttpConnection = http1::Connection<TokioIo<CountingStream>, RequestBody>;

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns why connecting failed; no request bytes have been sent then.
    pub async fn open(
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        Connection::open_from(None, endpoint, address).await
    }

    /// Opens a connection to `address` from the local address `source`, or from the one that
    /// the system chooses.
    ///
    /// # Errors
    ///
    /// Returns why connecting failed; no request bytes have been sent then.
    pub async fn open_from(
        source: Option<IpAddr>,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect(source, address))
            .await
            .map_err(|_| ConnectError::TooSlow(address))?
            .and_then(|stream| configure_socket(&stream).map(|()| stream))
            .map_err(|e| ConnectError::Refused(address, e))?;
        let (counting_stream, counts) = CountingStream::new(stream);
        metrics::counter!("cardamomvale_connections_opened_total").increment(1);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(counting_stream))
            .await
            .map_err(|e| ConnectError::Handshake(address, e))?;
        Ok(Connection {
            endpoint,
            idle_since: clock::now(),
            reused: false,
            history: AnswerHistory::default(),
            sender,
            driver: Driver::Polled(Box::new(driver)),
            counts,
            closed: false,
        })
    }

    /// Returns whether the connection is open and ready for a request.
    ///
    /// A backend server may close an idle connection at any time, and a request
    /// sent on a closed connection would be lost.
    pub fn is_usable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.drive(&mut cx);
        let is_polled = matches!(self.driver, Driver::Polled(_));
        is_polled && !self.closed && self.sender.is_ready()
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns whether any part of the request may have been sent. A connection whose answer is
    /// invalid must not be used again.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, RequestError> {
        let before = self.counts.written();
        self.counts.allow_reads(MAX_FUTILE_BYTES);
        self.counts.expect_head();
        let expected = Expected::of(request.method(), request.headers());
        let mut answer = pin!(self.sender.try_send_request(request));
        let result = poll_fn(|cx| {
            self.drive(cx);
            answer.as_mut().poll(cx)
        })
        .await;
        self.counts.allow_reads(MAX_FUTILE_BYTES);
        let answer = result.map_err(|e| match self.counts.written() == before {
            true => RequestError::Unsent,
            false => RequestError::Sent(e.into_error()),
        })?;
        if self.counts.is_head_invalid() {
            return Err(RequestError::Invalid(InvalidHead::Line));
        }
        answer_head::check(answer.status(), answer.headers(), expected)
            .map_err(RequestError::Invalid)?;
        Ok(answer)
    }

    /// Returns the bytes that the connection has carried so far.
    pub fn counts(&self) -> &Arc<ByteCounts> {
        &self.counts
    }

    /// Reads and writes as many bytes as possible without blocking.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        match &mut self.driver {
            Driver::Polled(driver) if !self.closed => {
                self.closed = driver.poll_without_shutdown(cx).is_ready();
            }
            Driver::Polled(_) | Driver::Task { .. } => {}
        }
    }

    /// Has a task of its own drive the connection, beside the reader of its answer.
    ///
    /// The request body goes on being sent while the answer isn't read.
    pub fn detach(self) -> Connection {
        let Driver::Polled(mut driver) = self.driver else {
            return self;
        };
        let task = spawn_local(async move {
            // How it ends shows in the answer's body.
            let _ended = poll_fn(|cx| driver.poll_without_shutdown(cx)).await;
        });
        Connection {
            driver: Driver::Task {
                _task: AbortOnDropHandle::new(task),
            },
            ..self
        }
    }

    /// Returns the next chunk of the body of an answer, or `None` at the end.
    pub async fn next_chunk(
        &mut self,
        incoming: &mut Incoming,
    ) -> Option<Result<Bytes, hyper::Error>> {
        poll_fn(|cx| self.poll_chunk(incoming, cx)).await
    }

    /// Polls for the next chunk of the body of an answer, and drives the connection.
    pub fn poll_chunk(
        &mut self,
        incoming: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        if let ready @ Poll::Ready(_) = poll_data(incoming, cx) {
            self.counts.allow_reads(MAX_FUTILE_BYTES);
            // The body can end before the driver has marked the connection as reusable.
            self.drive(cx);
            return ready;
        }
        self.drive(cx);
        let chunk = poll_data(incoming, cx);
        if chunk.is_ready() {
            self.counts.allow_reads(MAX_FUTILE_BYTES);
        }
        chunk
    }

    /// Abandons a request in progress and returns the underlying TCP stream, or nothing if a
    /// task drives the connection.
    pub fn into_stream(self) -> Option<TcpStream> {
        match self.driver {
            Driver::Polled(driver) => Some(driver.into_parts().io.into_inner().into_stream()),
            Driver::Task { .. } => None,
        }
    }
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Polls for the next chunk of the body of an answer, without driving its connection.
pub(super) fn poll_data(
    incoming: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, hyper::Error>>> {
    loop {
        let frame = match Pin::new(&mut *incoming).poll_frame(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(e))),
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        // Trailers apply to this connection only and are not forwarded.
        if let Ok(data) = frame.into_data() {
            return Poll::Ready(Some(Ok(data)));
        }
    }
}
