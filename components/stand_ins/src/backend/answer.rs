//! The body of an answer: of any length, chunked or cut off in the middle, in bounded memory.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

const CHUNK_SIZE: usize = 16 * 1024;
/// Delay before the connection is closed, so that the bytes before the cut reach the caller.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Returns the text that the answer to call `call` repeats up to its size.
///
/// A caller that compares the body with it detects an answer that belongs to another call or
/// is incomplete.
pub fn pattern(call: u64) -> String {
    format!("answer to call {call:016x}\n")
}

/// A body of `size` bytes.
pub(super) struct Answer {
    chunk: Bytes,
    remaining: u64,
    chunked: bool,
    cut_at: Option<u64>,
    cut_timer: Option<Pin<Box<Sleep>>>,
}

impl Answer {
    pub(super) fn new(call: u64, size: u64, chunked: bool, cut: bool) -> Answer {
        let text = pattern(call);
        let times = match size {
            s if s <= text.len() as u64 => 1,
            _ => CHUNK_SIZE / text.len(),
        };
        Answer {
            chunk: Bytes::from(text.repeat(times)),
            remaining: size,
            chunked,
            cut_at: cut.then_some(size / 2),
            cut_timer: None,
        }
    }

    /// Returns a body with a short text.
    pub(super) fn text(text: impl Into<Bytes>) -> Answer {
        let chunk = text.into();
        Answer {
            remaining: chunk.len() as u64,
            chunk,
            chunked: false,
            cut_at: None,
            cut_timer: None,
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let end = self.cut_at.unwrap_or(0);
        if self.remaining > end {
            let room = usize::try_from(self.remaining - end).unwrap_or(usize::MAX);
            let chunk = self.chunk.slice(..room.min(self.chunk.len()));
            self.remaining -= chunk.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.cut_at.is_none() {
            return Poll::Ready(None);
        }
        let cut_timer = self
            .cut_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(CUT_DELAY)));
        match cut_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Some(Err(io::Error::other(
                "answer cut off by an injected fault",
            )))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0 && self.cut_at.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match self.chunked {
            true => SizeHint::default(),
            false => SizeHint::with_exact(self.remaining),
        }
    }
}
