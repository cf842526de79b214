//! A caller's TCP stream with time limits for request heads and idle connections.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::read_ahead::ReadAhead;

/// The current activity of a connection, shared between its requests and its stream.
pub(super) struct ConnectionActivity {
    activity: Cell<Activity>,
    /// Wakes the connection when it becomes idle, if a request waits there by then.
    waker: RefCell<Option<Waker>>,
}

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
        ConnectionActivity {
            activity: Cell::new(Activity::Idle(Instant::now())),
            waker: RefCell::default(),
        }
    }

    /// Marks a request as being served, after its head was read.
    pub fn serving(&self) {
        self.activity.set(Activity::Serving);
    }

    /// Marks the connection as idle, after an answer was sent.
    pub fn idle(&self) {
        self.activity.set(Activity::Idle(Instant::now()));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Wakes the connection once it is idle.
    ///
    /// The HTTP library reads again when the caller sends more, which may not happen
    /// before the requests that have arrived are answered.
    fn wake_when_idle(&self, cx: &Context<'_>) {
        self.waker.replace(Some(cx.waker().clone()));
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
    ahead: ReadAhead,
}

impl CallerStream {
    pub fn new(
        stream: TcpStream,
        activity: Rc<ConnectionActivity>,
        timeouts: CallerTimeouts,
        ahead: ReadAhead,
    ) -> CallerStream {
        CallerStream {
            stream,
            activity,
            timeouts,
            timer: Box::pin(sleep_until(Instant::now() + timeouts.idle)),
            ahead,
        }
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let until = match self.activity.activity.get() {
            Activity::Serving => return Poll::Pending,
            Activity::Idle(since) => since + self.timeouts.idle,
            Activity::Head(since) => since + self.timeouts.head,
        };
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        match (self.timer.as_mut().poll(cx), self.activity.activity.get()) {
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
        let this = &mut *self;
        let is_serving = this.activity.activity.get() == Activity::Serving;
        let before = buffer.filled().len();
        let result = this
            .ahead
            .poll_read(&mut this.stream, is_serving, cx, buffer);
        let came = buffer.filled().len() > before || this.ahead.has_bytes();
        if came && matches!(this.activity.activity.get(), Activity::Idle(_)) {
            this.activity.activity.set(Activity::Head(Instant::now()));
        }
        if is_serving && this.ahead.has_bytes() {
            this.activity.wake_when_idle(cx);
        }
        match result {
            Poll::Pending => this.poll_timeout(cx),
            ready => ready,
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
