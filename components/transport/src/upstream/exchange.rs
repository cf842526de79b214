//! One call on a connection and a slot, from sending the request to the end of the answer.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use protocol::answer_head::InvalidHead;
use state::{EndpointKey, Moment};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body::RequestBody;
use super::connection::{Connection, RequestError, poll_data};
use super::pool::ConnectionPool;
use crate::clock;
use crate::dispatch::{Ending, Grant};
use crate::edge::body::BodyError;

/// How long a backend server may take to close the connection of a cancelled call.
///
/// A server that supports cancellation closes within one round trip. For any
/// other server the host then closes the connection itself.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a slot stays reserved after its backend server has closed a cancelled connection.
///
/// A server may close its side shortly before it has released the work. In one
/// case a call sent immediately arrived 195 µs too early and was the seventh on
/// six slots.
const CANCEL_SETTLE_DELAY: Duration = Duration::from_millis(5);

/// How long a call on a reused connection waits before idle connections of equal age are dropped.
///
/// A middlebox that has dropped its state for one connection has most likely
/// dropped it for all that were idle as long. Dropping them costs 1 ms each to
/// reconnect; keeping them would cost a failed call each.
const STALE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for reading the body of a rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// The reason why a request got no head of an answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No part of the request was sent.
    #[error("the backend server closed the connection before the request was sent")]
    Unsent,
    /// The connection broke after a part of the request may have been sent.
    #[error("the connection to the backend server broke: {0}")]
    Broken(hyper::Error),
    /// The head of the answer is invalid.
    #[error("the backend server's answer is invalid: {0}")]
    Invalid(InvalidHead),
    /// Reading the caller's body failed while forwarding it.
    #[error("reading the caller's body failed: {0}")]
    Body(BodyError),
    /// The deadline passed without an answer.
    #[error("the backend server gave no answer before the deadline")]
    Expired,
}

/// One request on one connection, with the slot that it uses.
///
/// Dropping an exchange before the answer is complete cancels the call: the
/// connection is closed and never reused, so that a late answer can't be taken
/// for the answer to another request.
pub struct Exchange {
    parts: Option<Parts>,
    pool: Arc<ConnectionPool>,
    deadline: Moment,
}

struct Parts {
    connection: Connection,
    grant: Grant,
}

impl Exchange {
    /// Returns an exchange that uses `connection` and the slot of `grant`.
    pub fn new(
        pool: Arc<ConnectionPool>,
        connection: Connection,
        grant: Grant,
        deadline: Moment,
    ) -> Exchange {
        Exchange {
            parts: Some(Parts { connection, grant }),
            pool,
            deadline,
        }
    }

    /// Sends `request` and waits for the head of the answer until the deadline.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been sent. The slot is released once
    /// the backend server's work has ended.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.await_head(request).await {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(RequestError::Unsent)) => {
                self.end(Ending::Unreachable);
                Err(SendError::Unsent)
            }
            Some(Err(RequestError::Sent(e))) => Err(self.broken(e)),
            Some(Err(RequestError::Invalid(e))) => {
                self.end(Ending::Broken);
                Err(SendError::Invalid(e))
            }
            None => {
                self.abandon();
                Err(SendError::Expired)
            }
        }
    }

    /// Returns the head of the answer, or `None` once the deadline has passed.
    async fn await_head(
        &mut self,
        request: Request<RequestBody>,
    ) -> Option<Result<Response<Incoming>, RequestError>> {
        let parts = self.parts.as_mut()?;
        let sent_at = clock::now();
        let may_be_stale = parts.connection.reused && STALE_TIMEOUT < sent_at.until(self.deadline);
        let endpoint = parts.connection.endpoint;
        let mut sending = pin!(parts.connection.send(request));
        if may_be_stale {
            match timeout(STALE_TIMEOUT, sending.as_mut()).await {
                Ok(result) => return Some(result),
                Err(_) => self.pool.drop_idle_before(endpoint, sent_at),
            }
        }
        timeout(clock::now().until(self.deadline), sending)
            .await
            .ok()
    }

    /// Polls for the next chunk of the answer's body.
    pub fn poll_data(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        match &mut self.parts {
            Some(parts) => parts.connection.poll_chunk(body, cx),
            None => poll_data(body, cx),
        }
    }

    /// Ends the exchange after a complete answer, and keeps the connection for reuse.
    pub fn complete(&mut self) {
        self.keep(Ending::Answered);
    }

    /// Ends the exchange without a complete answer, and closes the connection.
    pub fn end(&mut self, ending: Ending) {
        if let Some(parts) = self.parts.take() {
            parts.grant.finish(ending);
        }
    }

    /// Reads the body of a backend server's rejection, so that the connection can be reused.
    ///
    /// Beyond `max_bytes`, or 100 ms, opening a new connection is cheaper.
    pub async fn drain_rejection(mut self, body: &mut Incoming, max_bytes: usize) {
        let read = async {
            let mut seen = 0;
            while let Some(chunk) = poll_fn(|cx| self.poll_data(body, cx)).await {
                seen += chunk.as_ref().map_or(max_bytes, Bytes::len);
                if seen >= max_bytes {
                    return false;
                }
            }
            true
        };
        match timeout(REJECTION_TIMEOUT, read).await {
            Ok(true) => self.keep(Ending::Shed),
            _ => self.end(Ending::Shed),
        }
    }

    /// Returns the endpoint that the request is sent to, `None` after the exchange has ended.
    pub fn endpoint(&self) -> Option<EndpointKey> {
        self.parts.as_ref().map(|p| p.grant.endpoint)
    }

    /// Decides whether the caller's body or the backend connection caused a failure.
    fn broken(&mut self, error: hyper::Error) -> SendError {
        let source = std::error::Error::source(&error);
        match source.and_then(|s| s.downcast_ref::<BodyError>()).cloned() {
            Some(body) => {
                self.abandon();
                SendError::Body(body)
            }
            None => {
                self.end(Ending::Broken);
                SendError::Broken(error)
            }
        }
    }

    fn keep(&mut self, ending: Ending) {
        if let Some(parts) = self.parts.take() {
            parts.grant.finish(ending);
            self.pool.put(parts.connection);
        }
    }

    /// Closes the connection, and releases the slot once the work has ended.
    fn abandon(&mut self) {
        let Some(Parts { connection, grant }) = self.parts.take() else {
            return;
        };
        let Some(stream) = connection.into_stream() else {
            grant.finish(Ending::Cancelled);
            return;
        };
        let deadline = self.deadline;
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(cancel(stream, grant, deadline))),
            Err(_) => grant.finish(Ending::Cancelled),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.abandon();
    }
}

/// Cancels the work on `stream` and holds its slot until the work has ended.
///
/// If the slot were released as soon as the host closes its side, the next call
/// would reach a backend server that is still working on this one and overload
/// it. A backend server closes its side when it has stopped; a server that
/// doesn't close is assumed to work until the deadline sent with the request.
async fn cancel(mut stream: TcpStream, grant: Grant, deadline: Moment) {
    let closed = timeout(CANCEL_TIMEOUT, until_closed(&mut stream)).await;
    drop(stream);
    if closed.is_err() {
        tokio::time::sleep(clock::now().until(deadline)).await;
    }
    tokio::time::sleep(CANCEL_SETTLE_DELAY).await;
    grant.finish(Ending::Cancelled);
}

async fn until_closed(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0; 4096];
    while let Ok(1..) = stream.read(&mut sink).await {}
}
