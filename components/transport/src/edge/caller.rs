//! The byte stream of one caller's connection, as the HTTP library reads and writes it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use state::stall::StallTimer;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// State shared by the calls of one connection and its stream.
#[derive(Default)]
pub struct CallerState {
    answering: AtomicBool,
    ended: AtomicBool,
    broken: AtomicBool,
}

impl CallerState {
    /// Records that a call has begun: whatever is written from now on is its answer.
    pub fn begin(&self) {
        self.ended.store(false, Ordering::Relaxed);
        self.answering.store(true, Ordering::Relaxed);
    }

    /// Records that the answer's body was dropped, after its end or before.
    pub fn body_ended(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Records that the answer broke after its head had been sent.
    pub fn mark_broken(&self) {
        self.broken.store(true, Ordering::Relaxed);
    }

    /// Returns whether the answer broke after its head had been sent.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    fn flushed(&self) {
        if self.ended.load(Ordering::Relaxed) {
            self.answering.store(false, Ordering::Relaxed);
        }
    }

    fn is_answering(&self) -> bool {
        self.answering.load(Ordering::Relaxed)
    }
}

/// A caller's stream, with a limit on how slowly the caller may read its answers.
///
/// The HTTP library itself answers a head that it can't parse, with an empty
/// body and without an outcome. Such an answer is the only thing that it writes
/// while no call is in progress. The stream discards those bytes, and
/// the connection then sends an answer that states the fault.
pub struct CallerStream {
    stream: TcpStream,
    state: Arc<CallerState>,
    stall: StallTimer,
    waiting: Option<StallWait>,
}

struct StallWait {
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Returns the stream that shares `state` with the connection's calls.
    pub fn new(stream: TcpStream, state: Arc<CallerState>) -> CallerStream {
        CallerStream {
            stream,
            state,
            stall: StallTimer::default(),
            waiting: None,
        }
    }

    /// Returns the underlying TCP stream.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn track_stall(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(n)) => {
                if let Some(waiting) = self.waiting.take() {
                    self.stall.note_wait(waiting.since.elapsed());
                }
                self.stall.note_bytes(n as u64);
                Poll::Ready(Ok(n))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => self.poll_stall(cx),
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let left = self.stall.remaining();
        let waiting = self.waiting.get_or_insert_with(|| StallWait {
            since: Instant::now(),
            timer: Box::pin(tokio::time::sleep(left)),
        });
        waiting
            .timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.state.is_answering() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.track_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.state.is_answering() {
            return Poll::Ready(Ok(slices.iter().map(|s| s.len()).sum()));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.track_stall(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
