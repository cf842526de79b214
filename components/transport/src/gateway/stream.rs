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
    /// The number of requests that have been served or are being served.
    requests: Cell<u64>,
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
    /// The last request has its answer, and the rest of its body is being read.
    Draining,
}

impl Activity {
    /// Returns whether the next request has to wait.
    fn is_busy(self) -> bool {
        matches!(self, Activity::Serving | Activity::Draining)
    }
}

impl ConnectionActivity {
    /// Returns the activity of a new connection, which is idle.
    pub fn new() -> ConnectionActivity {
        ConnectionActivity {
            activity: Cell::new(Activity::Idle(Instant::now())),
            requests: Cell::new(0),
            waker: RefCell::default(),
        }
    }

    /// Marks a request as being served until the returned guard is dropped.
    pub fn serving(self: &Rc<Self>) -> RequestGuard {
        self.activity.set(Activity::Serving);
        self.requests.set(self.requests.get() + 1);
        RequestGuard {
            activity: Rc::clone(self),
            request: self.requests.get(),
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

/// Keeps the next request of a connection waiting; the connection is idle when dropped.
pub(super) struct RequestGuard {
    activity: Rc<ConnectionActivity>,
    request: u64,
}

impl RequestGuard {
    /// Marks the request as answered, while its body is still being read.
    pub fn draining(&self) {
        if self.is_current() {
            self.activity.activity.set(Activity::Draining);
        }
    }

    /// Returns whether the next request hasn't begun.
    ///
    /// The HTTP library may read it before it tells the end of a chunked body.
    fn is_current(&self) -> bool {
        self.activity.requests.get() == self.request
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_current() {
            return;
        }
        let idle = Activity::Idle(Instant::now());
        self.activity.activity.set(idle);
        if let Some(waker) = self.activity.waker.take() {
            waker.wake();
        }
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
            Activity::Serving | Activity::Draining => return Poll::Pending,
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
        let activity = this.activity.activity.get();
        let before = buffer.filled().len();
        let result = this
            .ahead
            .poll_read(&mut this.stream, activity.is_busy(), cx, buffer);
        let came = buffer.filled().len() > before || this.ahead.has_bytes();
        if came && matches!(activity, Activity::Idle(_)) {
            this.activity.activity.set(Activity::Head(Instant::now()));
        }
        // The time limit of an idle connection starts when the drain ends.
        if activity == Activity::Draining || (activity.is_busy() && this.ahead.has_bytes()) {
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
