//! One connection to a backend server.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use state::{EndpointKey, Moment};
use thiserror::Error;
use tokio::net::TcpStream;

use super::body::RequestBody;
use super::meter::Meter;
use crate::clock;

/// How long opening a connection may take.
///
/// It takes about 1 ms within a region; 500 ms lets one lost packet be sent
/// again between regions and still leaves time for another endpoint.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long sent bytes may stay without acknowledgement.
///
/// When something between the two ends has lost track of a connection, bytes
/// sent on it are never acknowledged and the kernel would try for 15 minutes.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection is silent before the kernel asks whether it lives.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// How far apart the kernel's questions are.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes that one connection may buffer in each direction.
const BUFFER_LIMIT: usize = 128 * 1024;

/// Why no connection could be opened. Nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The backend server or the network refused.
    #[error("connecting to {0} failed: {1}")]
    Refused(SocketAddr, io::Error),
    /// It took longer than the limit.
    #[error("connecting to {0} took more than {limit} ms", limit = CONNECT_LIMIT.as_millis())]
    TooSlow(SocketAddr),
    /// The HTTP library could not start on it.
    #[error("starting HTTP on the connection to {0} failed: {1}")]
    Handshake(SocketAddr, hyper::Error),
}

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection broke before a byte of the request was handed to the kernel.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The connection broke after something of the request may have been sent.
    #[error("the connection broke after the request was sent: {0}")]
    Sent(hyper::Error),
}

/// One connection with its driver, polled by whichever call uses it.
///
/// The call's own task drives it: an answer then needs no hop between tasks,
/// and nobody else can read it.
pub struct Connection {
    /// The endpoint it leads to.
    pub endpoint: EndpointKey,
    /// When it was last given back unused.
    pub idle_since: Moment,
    /// Whether a call has been answered on it before.
    pub reused: bool,
    sender: http1::SendRequest<RequestBody>,
    driver: http1::Connection<TokioIo<Meter>, RequestBody>,
    written: Arc<AtomicU64>,
    closed: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Says why it failed; nothing has been sent then.
    pub async fn open(
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::TooSlow(address))?
            .and_then(|stream| prepare(&stream).map(|()| stream))
            .map_err(|e| ConnectError::Refused(address, e))?;
        let (meter, written) = Meter::new(stream);
        metrics::counter!("cardamomvale_connections_opened_total").increment(1);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_LIMIT)
            .handshake(TokioIo::new(meter))
            .await
            .map_err(|e| ConnectError::Handshake(address, e))?;
        Ok(Connection {
            endpoint,
            idle_since: clock::now(),
            reused: false,
            sender,
            driver,
            written,
            closed: false,
        })
    }
    /// Returns whether a request may be sent on it, as far as can be seen now.
    ///
    /// A backend server closes idle connections whenever it likes; a request
    /// sent on one that is already closed would be lost.
    pub fn usable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.drive(&mut cx);
        !self.closed && self.sender.is_ready()
    }

    /// Sends `request` and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether anything of the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, WireError> {
        let before = self.written.load(Ordering::Relaxed);
        let mut answer = pin!(self.sender.try_send_request(request));
        let result = poll_fn(|cx| {
            self.drive(cx);
            answer.as_mut().poll(cx)
        })
        .await;
        result.map_err(|e| match self.written.load(Ordering::Relaxed) == before {
            true => WireError::Unsent,
            false => WireError::Sent(e.into_error()),
        })
    }

    /// Moves bytes in both directions as far as they go.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        if !self.closed {
            self.closed = self.driver.poll_without_shutdown(cx).is_ready();
        }
    }

    /// Returns the next piece of an answer's body, nothing at its end.
    pub async fn next_piece(
        &mut self,
        incoming: &mut Incoming,
    ) -> Option<Result<Bytes, hyper::Error>> {
        poll_fn(|cx| self.poll_piece(incoming, cx)).await
    }

    /// Polls for the next piece of an answer's body, and moves the connection on.
    pub fn poll_piece(
        &mut self,
        incoming: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        if let ready @ Poll::Ready(_) = poll_data(incoming, cx) {
            // The end may be known before the connection knows that it is free.
            self.drive(cx);
            return ready;
        }
        self.drive(cx);
        poll_data(incoming, cx)
    }

    /// Gives up what is under way and returns the bare stream.
    pub fn into_stream(self) -> TcpStream {
        self.driver.into_parts().io.into_inner().into_stream()
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let questions = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&questions)
}

fn poll_data(
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
        // Trailers concern this connection only.
        if let Ok(data) = frame.into_data() {
            return Poll::Ready(Some(Ok(data)));
        }
    }
}
