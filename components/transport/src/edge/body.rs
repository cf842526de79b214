//! The body of a request as it is read from the caller, with limits on size and time.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use state::stall::StallTimer;
use thiserror::Error;
use tokio::time::{Sleep, timeout};

/// The largest body, in bytes, that is buffered so that it can be sent again.
///
/// A body up to this size is read completely before a slot is acquired, so that
/// a slow caller occupies no slot.
pub const MAX_REPLAY_BODY: usize = 64 * 1024;

/// The largest body of a call with an idempotency key, in bytes.
///
/// The digest of the whole body is needed before the key is claimed, so the
/// body is buffered completely.
pub const MAX_KEYED_BODY: usize = 1024 * 1024;

/// How long the rest of a body is read after its request has been answered.
///
/// Enough for a megabyte at 2 Mbit/s; a caller that takes longer is disconnected.
const BODY_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the body of a request can't be read.
#[derive(Clone, Debug, Error)]
pub enum BodyError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The caller sends the body too slowly.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The body breaks HTTP/1.1 framing, or the connection ended before the body did.
    #[error("{0}")]
    Broken(String),
}

/// The body of a request, with a limit on its size and on how long it may stall.
pub struct CallerBody {
    incoming: Incoming,
    limit: u64,
    taken: u64,
    stall: StallTimer,
    waiting: Option<StallWait>,
}

struct StallWait {
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

/// The beginning of a body, read before the call is sent to an endpoint.
pub struct BodyPrefix {
    /// The bytes read so far.
    pub start: Bytes,
    /// The unread remainder; none if `start` is the whole body.
    pub rest: Option<CallerBody>,
}

impl CallerBody {
    /// Returns the body with a limit of `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the `Content-Length` of the request exceeds the limit.
    pub fn new(incoming: Incoming, limit: u64) -> Result<CallerBody, BodyError> {
        match incoming.size_hint().exact() {
            Some(size) if size > limit => Err(BodyError::TooLarge(limit)),
            _ => Ok(CallerBody {
                incoming,
                limit,
                taken: 0,
                stall: StallTimer::default(),
                waiting: None,
            }),
        }
    }

    /// Reads until the end of the body, or until more than `max_bytes` are buffered.
    ///
    /// # Errors
    ///
    /// Returns why the body can't be read. No part of it has been sent on by then.
    pub async fn read_prefix(mut self, max_bytes: usize) -> Result<BodyPrefix, BodyError> {
        let mut start = Bytes::new();
        let mut more = BytesMut::new();
        while start.len() + more.len() <= max_bytes {
            match std::future::poll_fn(|cx| self.poll_data(cx))
                .await
                .transpose()?
            {
                None => {
                    return Ok(BodyPrefix {
                        start: concatenated(start, &more),
                        rest: None,
                    });
                }
                Some(piece) if start.is_empty() => start = piece,
                Some(piece) => more.extend_from_slice(&piece),
            }
            if self.is_end() {
                return Ok(BodyPrefix {
                    start: concatenated(start, &more),
                    rest: None,
                });
            }
        }
        Ok(BodyPrefix {
            start: concatenated(start, &more),
            rest: Some(self),
        })
    }

    /// Returns the next piece of the body, none at its end.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Pending => return self.poll_stall(cx),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(e))) => {
                    return Poll::Ready(Some(Err(BodyError::Broken(error_text(&e)))));
                }
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Poll::Ready(Some(self.check_size(data))),
                    Err(_) => continue,
                },
            }
        }
    }

    /// Discards the next piece of the body, whatever its size; returns false at the end.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        frame.map(|frame| matches!(frame, Some(Ok(_))))
    }

    /// Returns whether the whole body has been read.
    pub fn is_end(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Returns how many bytes are still to be read, none for a chunked body.
    pub fn remaining(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    fn check_size(&mut self, data: Bytes) -> Result<Bytes, BodyError> {
        if let Some(waiting) = self.waiting.take() {
            self.stall.note_wait(waiting.since.elapsed());
        }
        self.stall.note_bytes(data.len() as u64);
        self.taken += data.len() as u64;
        match self.taken > self.limit {
            true => Err(BodyError::TooLarge(self.limit)),
            false => Ok(data),
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let left = self.stall.remaining();
        let waiting = self.waiting.get_or_insert_with(|| StallWait {
            since: Instant::now(),
            timer: Box::pin(tokio::time::sleep(left)),
        });
        match waiting.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::TooSlow))),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// A body shared by the attempt that sends it and the caller's connection.
///
/// An endpoint may answer, or a host reject, before a long body has been
/// received. If the rest were left unread, closing the connection would reset
/// it, and the caller, still sending, would get a reset instead of its answer.
/// So the connection keeps the body and drains it once the answer has been sent.
#[derive(Clone)]
pub struct SharedBody(Arc<Mutex<CallerBody>>);

impl SharedBody {
    /// Returns a shared handle to `body`; clones refer to the same body.
    pub fn new(body: CallerBody) -> SharedBody {
        SharedBody(Arc::new(Mutex::new(body)))
    }

    /// Returns the next piece of the body, none at its end.
    pub fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.with(|body| body.poll_data(cx))
    }

    /// Returns whether the whole body has been read.
    pub fn is_end(&self) -> bool {
        self.with(|body| body.is_end())
    }

    /// Returns how many bytes are still to be read, none for a chunked body.
    pub fn remaining(&self) -> Option<u64> {
        self.with(|body| body.remaining())
    }

    /// Reads and discards the rest of the body, for a limited time.
    ///
    /// A body with a length ends with its last byte. The HTTP library tells the end only after
    /// it has tried to read the next request, which may have to wait for this one's body.
    pub async fn drain(self) {
        let rest = async {
            while !self.is_end()
                && std::future::poll_fn(|cx| self.with(|b| b.poll_discard(cx))).await
            {}
        };
        if timeout(BODY_DRAIN_TIMEOUT, rest).await.is_err() {
            log::debug!("E0130 body-left-unread left={:?}", self.remaining());
        }
    }

    fn with<R>(&self, act: impl FnOnce(&mut CallerBody) -> R) -> R {
        // A panic leaves the body as it was before the current piece, so a poisoned
        // lock is safe to use.
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn concatenated(start: Bytes, more: &BytesMut) -> Bytes {
    if more.is_empty() {
        return start;
    }
    let mut whole = BytesMut::with_capacity(start.len() + more.len());
    whole.extend_from_slice(&start);
    whole.extend_from_slice(more);
    whole.freeze()
}

/// Returns the text of an error of the HTTP library, followed by its source's text.
pub fn error_text(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
