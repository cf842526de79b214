//! A caller's TCP stream with time limits for request heads and idle connections.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The current activity of a connection, shared between its requests and its stream.
pub(super) struct ConnectionActivity(Cell<Activity>);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// Waiting for the next request since this time.
    Idle(Instant),
    /// Receiving a request head since this time.
    Head(Instant),
    /// A request is being served.
    Serving,
}

impl ConnectionActivity {
    /// Returns the activity of a new connection, which is idle.
    pub fn new() -> ConnectionActivity {
        ConnectionActivity(Cell::new(Activity::Idle(Instant::now())))
    }

    /// Marks a request as being served, after its head was read.
    pub fn serving(&self) {
        self.0.set(Activity::Serving);
    }

    /// Marks the connection as idle, after an answer was sent.
    pub fn idle(&self) {
        self.0.set(Activity::Idle(Instant::now()));
    }
}

/// Time limits for receiving a request head and for an idle connection.
#[derive(Clone, Copy)]
pub(super) struct CallerTimeouts {
    pub head: Duration,
    pub idle: Duration,
}

/// A caller's stream that ends when the caller exceeds a time limit.
///
/// The HTTP library has one limit for both times, but operators set two. With the
/// shorter one for both, idle connections would be closed that callers still
/// expect to use.
pub(super) struct CallerStream {
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
    timeouts: CallerTimeouts,
    timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    pub fn new(
        stream: TcpStream,
        activity: Rc<ConnectionActivity>,
        timeouts: CallerTimeouts,
    ) -> CallerStream {
        CallerStream {
            stream,
            activity,
            timeouts,
            timer: Box::pin(sleep_until(Instant::now() + timeouts.idle)),
        }
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let until = match self.activity.0.get() {
            Activity::Serving => return Poll::Pending,
            Activity::Idle(since) => since + self.timeouts.idle,
            Activity::Head(since) => since + self.timeouts.head,
        };
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        match (self.timer.as_mut().poll(cx), self.activity.0.get()) {
            (Poll::Pending, _) => Poll::Pending,
            // An end of input makes the library close an idle connection gracefully.
            (Poll::Ready(()), Activity::Idle(_)) => Poll::Ready(Ok(())),
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
            Poll::Pending => self.poll_timeout(cx),
            ready => {
                let came = buffer.filled().len() > before;
                if came && matches!(self.activity.0.get(), Activity::Idle(_)) {
                    self.activity.0.set(Activity::Head(Instant::now()));
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
