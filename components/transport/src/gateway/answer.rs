//! The body of an answer on its way to the caller.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::task::spawn_local;

use super::attempt::Rest;
use super::stream::Phase;
use crate::edge::body::SharedBody;

/// What a host sends as an answer's body.
pub(super) struct AnswerBody {
    start: Bytes,
    rest: Option<Rest>,
    phase: Option<Rc<Phase>>,
    unread: Option<SharedBody>,
}

impl AnswerBody {
    /// Returns a body that is all here.
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody {
            start: bytes,
            rest: None,
            phase: None,
            unread: None,
        }
    }

    /// Returns a body whose rest is still on its way.
    pub fn relay(start: Bytes, rest: Option<Rest>) -> AnswerBody {
        AnswerBody {
            start,
            rest,
            phase: None,
            unread: None,
        }
    }

    /// Has the rest of the request's body read once this answer is out.
    pub fn then_drain(&mut self, unread: SharedBody) {
        self.unread = Some(unread);
    }

    /// Has the caller's connection told when this body ends.
    pub fn tell(&mut self, phase: Rc<Phase>) {
        self.phase = Some(phase);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        if !this.start.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.start)))));
        }
        match &mut this.rest {
            None => Poll::Ready(None),
            Some(rest) => rest
                .connection
                .poll_piece(&mut rest.incoming, cx)
                .map(|piece| piece.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        let ended = self
            .rest
            .as_ref()
            .is_none_or(|r| r.incoming.is_end_stream());
        self.start.is_empty() && ended
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.len() as u64;
        match &self.rest {
            None => SizeHint::with_exact(start),
            Some(rest) => match rest.incoming.size_hint().exact() {
                Some(left) => SizeHint::with_exact(start + left),
                None => SizeHint::default(),
            },
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let answered = self.phase.take().map(Answered);
        if let Some(unread) = self.unread.take().filter(|u| !u.is_end()) {
            // Until the body has ended the connection is not idle.
            spawn_local(async move {
                unread.drain().await;
                drop(answered);
            });
        }
    }
}

/// Tells a caller's connection, when dropped, that its request is done.
struct Answered(Rc<Phase>);

impl Drop for Answered {
    fn drop(&mut self) {
        self.0.answered();
    }
}
