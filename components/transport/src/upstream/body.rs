//! Request bodies sent to backend servers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::edge::body::{BodyError, SharedBody};

/// The body of a request to a backend server.
pub enum RequestBody {
    /// The complete body, held in memory; empty for a request without a body.
    Buffered(Bytes),
    /// The part already read from the caller, and the rest as the caller sends it.
    Streamed(Bytes, SharedBody),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RequestBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            RequestBody::Buffered(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            RequestBody::Streamed(start, _) if !start.is_empty() => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(start)))))
            }
            RequestBody::Streamed(_, rest) => {
                rest.poll_data(cx).map(|d| d.map(|r| r.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(bytes) => bytes.is_empty(),
            RequestBody::Streamed(start, rest) => start.is_empty() && rest.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Streamed(start, rest) => match rest.remaining() {
                Some(left) => SizeHint::with_exact(start.len() as u64 + left),
                None => SizeHint::default(),
            },
        }
    }
}
