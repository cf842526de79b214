//! The body of an answer that an entry host sends to a caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use state::Moment;
use thiserror::Error;
use tokio::time::Sleep;

use super::caller::CallerState;
use super::keyed::Keeper;
use super::service::ServiceState;
use crate::clock;
use crate::dispatch::Ending;
use crate::trace::{CallTrace, Hop};
use crate::upstream::Exchange;

/// How long an answer that has begun may make no progress, once its deadline has passed.
///
/// A long answer that still makes progress is relayed past its deadline:
/// aborting it would waste what has been transferred. A stalled one would hold
/// its slot forever.
const STALL_LIMIT: Duration = Duration::from_secs(2);

/// Why an answer was aborted after its head had been sent.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The connection to the backend server broke before the end of the answer.
    #[error("the backend server's answer was truncated: {0}")]
    Cut(hyper::Error),
    /// The backend server's answer made no progress for too long.
    #[error("the backend server's answer stalled")]
    Stalled,
}

/// The body of an answer, either made by the entry host or relayed from a backend server.
pub struct AnswerBody {
    kind: Kind,
    caller: Option<Arc<CallerState>>,
    trace: Option<CallTrace>,
}

enum Kind {
    Line(Bytes),
    Relay(Box<Relay>),
}

/// A backend server's answer body, relayed piece by piece.
pub struct Relay {
    exchange: Exchange,
    incoming: Incoming,
    deadline: Moment,
    progress: Moment,
    timer: Pin<Box<Sleep>>,
    escort: Escort,
}

/// What is updated while an answer is relayed and when it ends.
pub struct Escort {
    /// Records the answer for repeats of its key; none for a call without a key.
    pub keeper: Option<Keeper>,
    /// The span of the call to the backend server.
    pub hop: Hop,
    /// The service whose metrics count a truncated answer.
    pub service: Arc<ServiceState>,
}

impl Relay {
    /// Returns the body of the answer that has begun on `exchange`.
    pub fn new(exchange: Exchange, incoming: Incoming, deadline: Moment, escort: Escort) -> Relay {
        let now = clock::now();
        let mut relay = Relay {
            exchange,
            incoming,
            deadline,
            progress: now,
            timer: Box::pin(tokio::time::sleep(now.until(deadline))),
            escort,
        };
        relay.settle();
        relay
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, AnswerError>>> {
        match self.exchange.poll_data(&mut self.incoming, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.progress = clock::now();
                if let Some(keeper) = &mut self.escort.keeper {
                    keeper.add(&data);
                }
                self.settle();
                Poll::Ready(Some(Ok(data)))
            }
            Poll::Ready(Some(Err(e))) => {
                self.exchange.end(Ending::Broken);
                self.cut();
                Poll::Ready(Some(Err(AnswerError::Cut(e))))
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_patience(cx),
        }
    }

    /// Releases slot and connection as soon as the last byte has been read.
    ///
    /// The HTTP library doesn't poll a body of known length again after its
    /// last byte. Without this check, dropping the body would count as
    /// abandoning the answer.
    fn settle(&mut self) {
        if self.incoming.is_end_stream() {
            self.complete();
        }
    }

    fn cut(&self) {
        self.escort.service.cut();
        self.escort.hop.note("cardamomvale.cut", true);
    }

    fn complete(&mut self) {
        self.exchange.complete();
        if let Some(keeper) = self.escort.keeper.take() {
            keeper.finish();
        }
    }

    fn poll_patience(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, AnswerError>>> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let limit = self.deadline.max(self.progress + STALL_LIMIT);
            let now = clock::now();
            if now >= limit {
                self.cut();
                return Poll::Ready(Some(Err(AnswerError::Stalled)));
            }
            let at = tokio::time::Instant::now() + now.until(limit);
            self.timer.as_mut().reset(at);
        }
        Poll::Pending
    }
}

impl AnswerBody {
    /// Returns a body that the entry host made itself.
    pub fn line(text: Bytes) -> AnswerBody {
        AnswerBody {
            kind: Kind::Line(text),
            caller: None,
            trace: None,
        }
    }

    /// Returns a body that is relayed from a backend server.
    pub fn relay(relay: Relay) -> AnswerBody {
        AnswerBody {
            kind: Kind::Relay(Box::new(relay)),
            caller: None,
            trace: None,
        }
    }

    /// Sets the state of the caller's connection, which is updated when this body ends or breaks.
    pub fn tell(&mut self, caller: Arc<CallerState>) {
        self.caller = Some(caller);
    }

    /// Keeps the call's trace open until this body is dropped.
    pub fn keep_trace(&mut self, trace: CallTrace) {
        self.trace = Some(trace);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let this = self.get_mut();
        let next = match &mut this.kind {
            Kind::Line(text) if text.is_empty() => Poll::Ready(None),
            Kind::Line(text) => Poll::Ready(Some(Ok(std::mem::take(text)))),
            Kind::Relay(relay) => relay.poll_data(cx),
        };
        if let (Poll::Ready(Some(Err(_))), Some(caller)) = (&next, &this.caller) {
            caller.break_off();
        }
        next.map(|piece| piece.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Line(text) => text.is_empty(),
            Kind::Relay(relay) => relay.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Line(text) => SizeHint::with_exact(text.len() as u64),
            Kind::Relay(relay) => relay.incoming.size_hint(),
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(caller) = &self.caller {
            caller.body_ended();
        }
    }
}
