//! Answer bodies sent to callers.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use state::fleet::outcome::Outcome;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{Sleep, sleep};

use super::Gateway;
use super::attempt::{Answer, RemainingBody};
use super::stream::RequestGuard;
use crate::clock;
use crate::edge::body::SharedBody;

/// Why the rest of an answer can't be sent to its caller, whose connection is closed then.
#[derive(Debug, Error)]
pub(super) enum RelayError {
    /// The endpoint's connection ended before its answer did.
    #[error("the rest of the answer broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The rest took too long.
    #[error("the rest of the answer did not come before the deadline")]
    Overdue,
}

/// The rest of a long answer, relayed until its deadline.
struct Relay {
    body: RemainingBody,
    deadline: Pin<Box<Sleep>>,
    gateway: Rc<Gateway>,
}

impl Relay {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, RelayError>>> {
        let chunk = self.body.connection.poll_chunk(&mut self.body.incoming, cx);
        let is_end = matches!(chunk, Poll::Ready(None));
        if !is_end && self.deadline.as_mut().poll(cx).is_ready() {
            // A caller that reads slowly is not its endpoint's fault.
            let is_stalled = chunk.is_pending();
            let has_length = self.body.incoming.size_hint().exact().is_some();
            if is_stalled || !has_length {
                self.note_failure(&RelayError::Overdue);
            }
            return Poll::Ready(Some(Err(RelayError::Overdue)));
        }
        let chunk = chunk.map(|chunk| chunk.map(|result| result.map_err(RelayError::from)));
        if let Poll::Ready(Some(Err(error))) = &chunk {
            self.note_failure(error);
        }
        chunk
    }

    fn note_failure(&self, error: &RelayError) {
        let key = self.body.connection.endpoint;
        log::info!("E0168 answer-cut endpoint={:016x} error={error}", key.0);
        self.gateway.record_outcome(key, Outcome::Broken);
    }
}

/// The body of an answer to a caller.
pub(super) struct AnswerBody {
    start: Bytes,
    rest: Option<Relay>,
    guard: Option<Rc<RequestGuard>>,
    unread: Option<SharedBody>,
}

impl AnswerBody {
    /// Returns a body that is completely in memory.
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody {
            start: bytes,
            rest: None,
            guard: None,
            unread: None,
        }
    }

    /// Returns an endpoint's answer, of which a part may still have to come by its deadline.
    pub fn relay(gateway: &Rc<Gateway>, answer: Answer) -> AnswerBody {
        let left = clock::now().until(answer.deadline);
        let rest = answer.rest.map(|body| Relay {
            body,
            deadline: Box::pin(sleep(left)),
            gateway: Rc::clone(gateway),
        });
        AnswerBody {
            start: answer.start,
            rest,
            guard: None,
            unread: None,
        }
    }

    /// Waits for the rest of the answer, unless the body is longer than `max_bytes`; returns
    /// whether it is complete.
    ///
    /// # Errors
    ///
    /// Returns why the rest won't come.
    pub async fn complete(&mut self, max_bytes: usize) -> Result<bool, RelayError> {
        let mut held = BytesMut::new();
        while let Some(rest) = &mut self.rest
            && self.start.len() + held.len() <= max_bytes
        {
            match poll_fn(|cx| rest.poll_chunk(cx)).await.transpose()? {
                Some(chunk) => held.extend_from_slice(&chunk),
                None => self.rest = None,
            }
        }
        if !held.is_empty() {
            self.start = [&self.start[..], &held].concat().into();
        }
        Ok(self.rest.is_none())
    }

    /// Sets the rest of the request body, to be read and discarded.
    pub fn set_unread(&mut self, unread: SharedBody) {
        self.unread = Some(unread);
    }

    /// Removes the rest of the request body.
    pub fn take_unread(&mut self) -> Option<SharedBody> {
        self.unread.take()
    }

    /// Sets the guard that keeps the next request of the caller's connection waiting until
    /// this body is sent and the request body is read.
    ///
    /// The request body is read beside the answer: many callers read no answer before they
    /// have sent the whole request.
    pub fn set_guard(&mut self, guard: RequestGuard) {
        let guard = Rc::new(guard);
        self.guard = Some(Rc::clone(&guard));
        if self.unread.as_ref().is_none_or(SharedBody::is_end) {
            return;
        }
        match self.rest.take() {
            // The endpoint still gets the body.
            Some(rest) => {
                let body = rest.body.detach();
                self.rest = Some(Relay { body, ..rest });
            }
            None => self.drain(guard),
        }
    }

    /// Starts to discard the rest of the request body, if that hasn't been started.
    fn drain(&mut self, guard: Rc<RequestGuard>) {
        if let Some(unread) = self.unread.take().filter(|u| !u.is_end()) {
            spawn_local(async move {
                unread.drain().await;
                drop(guard);
            });
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = self.get_mut();
        if !this.start.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.start)))));
        }
        match &mut this.rest {
            None => Poll::Ready(None),
            Some(rest) => rest
                .poll_chunk(cx)
                .map(|chunk| chunk.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        let ended = self
            .rest
            .as_ref()
            .is_none_or(|r| r.body.incoming.is_end_stream());
        self.start.is_empty() && ended
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.len() as u64;
        match &self.rest {
            None => SizeHint::with_exact(start),
            Some(rest) => match rest.body.incoming.size_hint().exact() {
                Some(left) => SizeHint::with_exact(start + left),
                None => SizeHint::default(),
            },
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // The endpoint's connection is closed, and reads no more of the body.
        self.rest = None;
        if let Some(guard) = self.guard.take() {
            self.drain(Rc::clone(&guard));
            guard.draining();
        }
    }
}
