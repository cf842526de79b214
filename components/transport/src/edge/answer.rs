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
use super::keyed::AnswerRecorder;
use super::service::ServiceState;
use crate::clock;
use crate::dispatch::Ending;
use crate::trace::{CallSpan, CallTrace};
use crate::upstream::Exchange;

/// How long an answer that has begun may make no progress, once its deadline has passed.
///
/// A long answer that still makes progress is relayed past its deadline:
/// aborting it would waste what has been transferred. A stalled one would hold
/// its slot forever.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

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
    Buffered(Bytes),
    Relayed(Box<RelayedBody>),
}

/// A backend server's answer body, relayed piece by piece.
pub struct RelayedBody {
    exchange: Exchange,
    incoming: Incoming,
    deadline: Moment,
    progress: Moment,
    timer: Pin<Box<Sleep>>,
    context: AnswerContext,
}

/// What is updated while an answer is relayed and when it ends.
pub struct AnswerContext {
    /// Records the answer for repeats of its key; none for a call without a key.
    pub recorder: Option<AnswerRecorder>,
    /// The span of the call to the backend server.
    pub span: CallSpan,
    /// The service whose metrics count a truncated answer.
    pub service: Arc<ServiceState>,
}

impl RelayedBody {
    /// Returns the body of the answer that has begun on `exchange`.
    pub fn new(
        exchange: Exchange,
        incoming: Incoming,
        deadline: Moment,
        context: AnswerContext,
    ) -> RelayedBody {
        let now = clock::now();
        let mut body = RelayedBody {
            exchange,
            incoming,
            deadline,
            progress: now,
            timer: Box::pin(tokio::time::sleep(now.until(deadline))),
            context,
        };
        body.release_at_end();
        body
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, AnswerError>>> {
        match self.exchange.poll_data(&mut self.incoming, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.progress = clock::now();
                if let Some(recorder) = &mut self.context.recorder {
                    recorder.add(&data);
                }
                self.release_at_end();
                Poll::Ready(Some(Ok(data)))
            }
            Poll::Ready(Some(Err(e))) => {
                self.exchange.end(Ending::Broken);
                self.note_cut();
                Poll::Ready(Some(Err(AnswerError::Cut(e))))
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_stall(cx),
        }
    }

    /// Releases slot and connection as soon as the last byte has been read.
    ///
    /// The HTTP library doesn't poll a body of known length again after its
    /// last byte. Without this check, dropping the body would count as
    /// abandoning the answer.
    fn release_at_end(&mut self) {
        if self.incoming.is_end_stream() {
            self.complete();
        }
    }

    fn note_cut(&self) {
        self.context.service.count_cut();
        self.context.span.set_attribute("cardamomvale.cut", true);
    }

    fn complete(&mut self) {
        self.exchange.complete();
        if let Some(recorder) = self.context.recorder.take() {
            recorder.finish();
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, AnswerError>>> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let limit = self.deadline.max(self.progress + STALL_TIMEOUT);
            let now = clock::now();
            if now >= limit {
                self.note_cut();
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
    pub fn buffered(bytes: Bytes) -> AnswerBody {
        AnswerBody {
            kind: Kind::Buffered(bytes),
            caller: None,
            trace: None,
        }
    }

    /// Returns a body that is relayed from a backend server.
    pub fn relayed(body: RelayedBody) -> AnswerBody {
        AnswerBody {
            kind: Kind::Relayed(Box::new(body)),
            caller: None,
            trace: None,
        }
    }

    /// Sets the state of the caller's connection, which is updated when this body ends or breaks.
    pub fn set_caller(&mut self, caller: Arc<CallerState>) {
        self.caller = Some(caller);
    }

    /// Keeps the call's trace open until this body is dropped.
    pub fn set_trace(&mut self, trace: CallTrace) {
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
            Kind::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Kind::Buffered(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Kind::Relayed(body) => body.poll_data(cx),
        };
        if let (Poll::Ready(Some(Err(_))), Some(caller)) = (&next, &this.caller) {
            caller.mark_broken();
        }
        next.map(|piece| piece.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Buffered(bytes) => bytes.is_empty(),
            Kind::Relayed(body) => body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Kind::Relayed(body) => body.incoming.size_hint(),
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
