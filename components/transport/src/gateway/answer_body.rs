//! Answer bodies sent to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::task::spawn_local;

use super::attempt::RemainingBody;
use super::stream::ConnectionActivity;
use crate::edge::body::SharedBody;

/// The body of an answer to a caller.
pub(super) struct AnswerBody {
    start: Bytes,
    rest: Option<RemainingBody>,
    activity: Option<Rc<ConnectionActivity>>,
    unread: Option<SharedBody>,
}

impl AnswerBody {
    /// Returns a body that is completely in memory.
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody {
            start: bytes,
            rest: None,
            activity: None,
            unread: None,
        }
    }

    /// Returns a body of buffered bytes followed by the rest that an endpoint still sends.
    pub fn relay(start: Bytes, rest: Option<RemainingBody>) -> AnswerBody {
        AnswerBody {
            start,
            rest,
            activity: None,
            unread: None,
        }
    }

    /// Makes the rest of the request body be read and discarded once this body is sent.
    pub fn drain_afterwards(&mut self, unread: SharedBody) {
        self.unread = Some(unread);
    }

    /// Sets the activity of the caller's connection, which becomes idle when this body ends.
    pub fn set_activity(&mut self, activity: Rc<ConnectionActivity>) {
        self.activity = Some(activity);
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
                .poll_chunk(&mut rest.incoming, cx)
                .map(|chunk| chunk.map(|result| result.map(Frame::data))),
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
        let guard = self.activity.take().map(AnswerGuard);
        if let Some(unread) = self.unread.take().filter(|u| !u.is_end()) {
            // The connection isn't idle before the request body has ended.
            spawn_local(async move {
                unread.drain().await;
                drop(guard);
            });
        }
    }
}

/// Marks the request on a caller's connection as finished when dropped.
struct AnswerGuard(Rc<ConnectionActivity>);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.idle();
    }
}
