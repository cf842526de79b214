//! One call's use of a connection and a slot, from sending to the answer's end.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use state::{EndpointKey, Moment};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body::RequestBody;
use super::connection::{Connection, WireError};
use super::pool::ConnectionPool;
use crate::clock;
use crate::dispatch::{Ending, Grant};
use crate::edge::body::BodyError;

/// How long a backend server may take to close a connection given up on.
///
/// One that accepts cancellation closes within a round-trip. One that doesn't
/// is then cut off for good.
const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// How long a slot rests after its backend server has closed a connection given up on.
///
/// A server may close its side a moment before it has let go of the work: a
/// call sent at once came 195 µs too early, and was the seventh on six slots.
const CANCEL_SETTLE: Duration = Duration::from_millis(5);

/// How long a call on a kept connection is silent before the others are doubted.
///
/// Something between the two ends that lost track of one connection has most
/// likely lost all that lay idle as long. Dropping those costs 1 ms each to
/// open anew; keeping them would cost a whole call each.
const DOUBT_AFTER: Duration = Duration::from_millis(500);

/// How long the body of a refusal is waited for.
const REFUSAL_LIMIT: Duration = Duration::from_millis(100);

/// Why a request got no head of an answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of it was sent.
    #[error("the backend server closed the connection before the request was sent")]
    Unsent,
    /// Some of it may have been sent.
    #[error("the connection to the backend server broke: {0}")]
    Broken(hyper::Error),
    /// The caller's body broke while it was passed on.
    #[error("the caller's body broke: {0}")]
    Body(BodyError),
    /// The deadline passed.
    #[error("the backend server gave no answer before the deadline")]
    Expired,
}

/// One request on one connection, with the slot that it uses.
///
/// Dropping it before the answer is whole gives the call up: the connection is
/// closed and never used again, so that a late answer reaches nobody else.
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
    /// Returns the exchange that will use `connection` and `grant`.
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

    /// Sends `request` and waits for the head of its answer until the deadline.
    ///
    /// # Errors
    ///
    /// Says whether the request may have been sent. The slot is given back as
    /// soon as the work has really ended.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.head(request).await {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(WireError::Unsent)) => {
                self.end(Ending::Unreachable);
                Err(SendError::Unsent)
            }
            Some(Err(WireError::Sent(e))) => Err(self.broken(e)),
            None => {
                self.abandon();
                Err(SendError::Expired)
            }
        }
    }

    /// Returns the head of the answer, or nothing where the deadline passed.
    async fn head(
        &mut self,
        request: Request<RequestBody>,
    ) -> Option<Result<Response<Incoming>, WireError>> {
        let parts = self.parts.as_mut()?;
        let sent_at = clock::now();
        let doubtful = parts.connection.reused && DOUBT_AFTER < sent_at.until(self.deadline);
        let endpoint = parts.connection.endpoint;
        let mut sending = pin!(parts.connection.send(request));
        if doubtful {
            match timeout(DOUBT_AFTER, sending.as_mut()).await {
                Ok(result) => return Some(result),
                Err(_) => self.pool.doubt(endpoint, sent_at),
            }
        }
        timeout(clock::now().until(self.deadline), sending)
            .await
            .ok()
    }

    /// Returns the next piece of the answer's body.
    pub fn poll_data(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        if let ready @ Poll::Ready(_) = poll_piece(body, cx) {
            return ready;
        }
        if let Some(parts) = self.parts.as_mut() {
            parts.connection.drive(cx);
        }
        poll_piece(body, cx)
    }

    /// Ends it with a whole answer: the connection may serve another call.
    pub fn complete(&mut self) {
        self.keep(Ending::Answered);
    }

    /// Ends it without an answer: the connection is closed.
    pub fn end(&mut self, ending: Ending) {
        if let Some(parts) = self.parts.take() {
            parts.grant.finish(ending);
        }
    }

    /// Reads the body of a refusal of the backend server's, so that the connection can be kept.
    ///
    /// Past `most` bytes, or a tenth of a second, a new connection is cheaper.
    pub async fn drain_rejection(mut self, body: &mut Incoming, most: usize) {
        let read = async {
            let mut seen = 0;
            while let Some(piece) = poll_fn(|cx| self.poll_data(body, cx)).await {
                seen += piece.as_ref().map_or(most, Bytes::len);
                if seen >= most {
                    return false;
                }
            }
            true
        };
        match timeout(REFUSAL_LIMIT, read).await {
            Ok(true) => self.keep(Ending::Shed),
            _ => self.end(Ending::Shed),
        }
    }

    /// Returns the endpoint that the call was sent to.
    pub fn endpoint(&self) -> Option<EndpointKey> {
        self.parts.as_ref().map(|p| p.grant.endpoint)
    }

    /// Sorts out whose fault a break was.
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

    /// Closes the connection, and gives the slot back when the work has ended.
    fn abandon(&mut self) {
        let Some(Parts { connection, grant }) = self.parts.take() else {
            return;
        };
        let stream = connection.into_stream();
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

/// Cancels the work on `stream` and holds its slot until it has ended.
///
/// If the slot were given back at the hang-up, the next call would reach a
/// backend server that is still busy with this one, and it would hold more
/// than it can bear. The backend server closes its side when it has stopped;
/// one that doesn't is taken to work on until the deadline it was told.
async fn cancel(mut stream: TcpStream, grant: Grant, deadline: Moment) {
    let closed = timeout(CANCEL_GRACE, until_closed(&mut stream)).await;
    drop(stream);
    if closed.is_err() {
        tokio::time::sleep(clock::now().until(deadline)).await;
    }
    tokio::time::sleep(CANCEL_SETTLE).await;
    grant.finish(Ending::Cancelled);
}

async fn until_closed(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0; 4096];
    while let Ok(1..) = stream.read(&mut sink).await {}
}

fn poll_piece(
    body: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, hyper::Error>>> {
    loop {
        return match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => Poll::Ready(Some(Ok(data))),
                Err(_) => continue,
            },
            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(e))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        };
    }
}
