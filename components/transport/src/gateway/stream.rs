//! A caller's stream, with limits on how long a head and an idle time may be.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// What a connection is doing, told by its requests to its stream.
pub(super) struct Phase(Cell<Doing>);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Doing {
    /// No byte of the next request has come since then.
    Idle(Instant),
    /// The first bytes of a head came then.
    Head(Instant),
    /// A request is being served.
    Serving,
}

impl Phase {
    /// Returns the phase of a connection that was just made.
    pub fn new() -> Phase {
        Phase(Cell::new(Doing::Idle(Instant::now())))
    }

    /// Notes that a request's head has been read.
    pub fn serving(&self) {
        self.0.set(Doing::Serving);
    }

    /// Notes that an answer has been handed over.
    pub fn answered(&self) {
        self.0.set(Doing::Idle(Instant::now()));
    }
}

/// How long a head may take and a connection may lie idle.
#[derive(Clone, Copy)]
pub(super) struct Patience {
    pub head: Duration,
    pub idle: Duration,
}

/// A caller's stream that ends by itself where the caller takes too long.
///
/// The HTTP library has one limit for both times; operators set two, and the
/// shorter one would close idle connections that callers still count on.
pub(super) struct CallerStream {
    stream: TcpStream,
    phase: Rc<Phase>,
    patience: Patience,
    timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    pub fn new(stream: TcpStream, phase: Rc<Phase>, patience: Patience) -> CallerStream {
        CallerStream {
            stream,
            phase,
            patience,
            timer: Box::pin(sleep_until(Instant::now() + patience.idle)),
        }
    }

    fn poll_patience(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let until = match self.phase.0.get() {
            Doing::Serving => return Poll::Pending,
            Doing::Idle(since) => since + self.patience.idle,
            Doing::Head(since) => since + self.patience.head,
        };
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        match (self.timer.as_mut().poll(cx), self.phase.0.get()) {
            (Poll::Pending, _) => Poll::Pending,
            // No more bytes: the library ends an idle connection in order.
            (Poll::Ready(()), Doing::Idle(_)) => Poll::Ready(Ok(())),
            (Poll::Ready(()), _) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Pending => self.poll_patience(cx),
            ready => {
                let came = buffer.filled().len() > before;
                if came && matches!(self.phase.0.get(), Doing::Idle(_)) {
                    self.phase.0.set(Doing::Head(Instant::now()));
                }
                ready
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
