//! The body of a request as the caller sends it, within its limits.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use state::stall::StallTimer;
use thiserror::Error;
use tokio::time::{Sleep, timeout};

/// The largest body held in memory so that it can be sent a second time.
///
/// A body up to this size is read whole before a slot is asked for, so that a
/// slow caller holds no slot.
pub const MAX_REPLAY_BODY: usize = 64 * 1024;

/// The largest body of a call with an idempotency key.
///
/// Its digest has to be known before the key is claimed, so it is held whole.
pub const KEYED_LIMIT: usize = 1024 * 1024;

/// How long the rest of a body is read after its request has been answered.
///
/// Time for a megabyte at 2 Mbit/s; a caller that takes longer is cut off.
const LINGER_LIMIT: Duration = Duration::from_secs(5);

/// Why a request's body can't be read.
#[derive(Clone, Debug, Error)]
pub enum BodyError {
    /// It is larger than the service takes, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The caller sends it too slowly.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// It is not what its head announced.
    #[error("{0}")]
    Broken(String),
}

/// A request's body, counted and timed.
pub struct CallerBody {
    incoming: Incoming,
    limit: u64,
    taken: u64,
    stall: StallTimer,
    waiting: Option<Waiting>,
}

struct Waiting {
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

/// The beginning of a body, read before the call is placed.
pub struct BodyPrefix {
    /// What was read.
    pub start: Bytes,
    /// What is still to come, none where `start` is the whole body.
    pub rest: Option<CallerBody>,
}

impl CallerBody {
    /// Returns the body with a limit of `limit` bytes.
    ///
    /// # Errors
    ///
    /// Says so where the head already announces more.
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

    /// Reads until the end, or until more than `most` bytes are held.
    ///
    /// # Errors
    ///
    /// Says why the body can't be read; nothing was passed on yet.
    pub async fn read_prefix(mut self, most: usize) -> Result<BodyPrefix, BodyError> {
        let mut start = Bytes::new();
        let mut more = BytesMut::new();
        while start.len() + more.len() <= most {
            match std::future::poll_fn(|cx| self.poll_data(cx))
                .await
                .transpose()?
            {
                None => {
                    return Ok(BodyPrefix {
                        start: joined(start, &more),
                        rest: None,
                    });
                }
                Some(piece) if start.is_empty() => start = piece,
                Some(piece) => more.extend_from_slice(&piece),
            }
            if self.is_end() {
                return Ok(BodyPrefix {
                    start: joined(start, &more),
                    rest: None,
                });
            }
        }
        Ok(BodyPrefix {
            start: joined(start, &more),
            rest: Some(self),
        })
    }

    /// Returns the next piece.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Pending => return self.poll_patience(cx),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(e))) => {
                    return Poll::Ready(Some(Err(BodyError::Broken(reason(&e)))));
                }
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Poll::Ready(Some(self.count(data))),
                    Err(_) => continue,
                },
            }
        }
    }

    /// Returns whether all of it has been read.
    pub fn is_end(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Returns how many bytes are still to come, where the head says so.
    pub fn remaining(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    fn count(&mut self, data: Bytes) -> Result<Bytes, BodyError> {
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

    fn poll_patience(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let left = self.stall.remaining();
        let waiting = self.waiting.get_or_insert_with(|| Waiting {
            since: Instant::now(),
            timer: Box::pin(tokio::time::sleep(left)),
        });
        match waiting.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::TooSlow))),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// A body that its request's attempt and the caller's connection both hold.
///
/// An endpoint may answer, or a host reject, before a long body has come. Were
/// the rest left unread, closing the connection would reset it, and the caller,
/// still sending, would see a reset in place of its answer. So the connection
/// keeps hold of the body and reads the rest once the answer is out.
#[derive(Clone)]
pub struct SharedBody(Arc<Mutex<CallerBody>>);

impl SharedBody {
    /// Returns a body to be shared.
    pub fn new(body: CallerBody) -> SharedBody {
        SharedBody(Arc::new(Mutex::new(body)))
    }

    /// Returns the next piece.
    pub fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.with(|body| body.poll_data(cx))
    }

    /// Returns whether all of it has been read.
    pub fn is_end(&self) -> bool {
        self.with(|body| body.is_end())
    }

    /// Returns how many bytes are still to come, where the head says so.
    pub fn remaining(&self) -> Option<u64> {
        self.with(|body| body.remaining())
    }

    /// Reads the rest and forgets it, as long as the caller keeps sending.
    pub async fn drain(self) {
        let rest = async {
            while let Some(Ok(_)) = std::future::poll_fn(|cx| self.poll_data(cx)).await {}
        };
        if timeout(LINGER_LIMIT, rest).await.is_err() {
            log::debug!("E0130 body-left-unread left={:?}", self.remaining());
        }
    }

    fn with<R>(&self, act: impl FnOnce(&mut CallerBody) -> R) -> R {
        // A panic leaves the body as it was before the piece; reading on is safe.
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn joined(start: Bytes, more: &BytesMut) -> Bytes {
    if more.is_empty() {
        return start;
    }
    let mut whole = BytesMut::with_capacity(start.len() + more.len());
    whole.extend_from_slice(&start);
    whole.extend_from_slice(more);
    whole.freeze()
}

/// Returns the library's reason with the cause beneath it.
pub fn reason(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
