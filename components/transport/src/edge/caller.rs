//! The stream of one caller's connection, as the HTTP library sees it.

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

/// What the calls of one connection and its stream tell each other.
#[derive(Default)]
pub struct CallerState {
    answering: AtomicBool,
    ended: AtomicBool,
    broken: AtomicBool,
}

impl CallerState {
    /// Notes that a call has begun: what is written now is its answer.
    pub fn begin(&self) {
        self.ended.store(false, Ordering::Relaxed);
        self.answering.store(true, Ordering::Relaxed);
    }

    /// Notes that the answer's body has been handed over whole, or given up.
    pub fn body_ended(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Notes that the answer broke after its head had gone out.
    pub fn break_off(&self) {
        self.broken.store(true, Ordering::Relaxed);
    }

    /// Returns whether the answer broke after its head had gone out.
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

/// A caller's stream with a limit on how slowly it may read its answers.
///
/// The HTTP library answers a head that it can't parse by itself, with an
/// empty body and without an outcome. Such an answer is the only thing it
/// writes while no call is under way: it is swallowed here, and the connection
/// then gives the caller one that says what is wrong.
pub struct CallerStream {
    stream: TcpStream,
    state: Arc<CallerState>,
    stall: StallTimer,
    waiting: Option<Waiting>,
}

struct Waiting {
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

    /// Returns the bare stream.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn paced(
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
            Poll::Pending => self.poll_patience(cx),
        }
    }

    fn poll_patience(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let left = self.stall.remaining();
        let waiting = self.waiting.get_or_insert_with(|| Waiting {
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
        self.paced(cx, result)
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
        self.paced(cx, result)
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
