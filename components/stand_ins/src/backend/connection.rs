//! Connections that can be closed, or made silent for good, from outside.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// All connections of one backend server, numbered in the order in which they were opened.
#[derive(Default)]
pub(super) struct Connections {
    opened: AtomicU64,
    silent_below: Arc<AtomicU64>,
    close_below: watch::Sender<u64>,
}

/// One connection; it is silent or closed once its number is below the matching bound.
pub(super) struct Connection {
    stream: TcpStream,
    number: u64,
    silent_below: Arc<AtomicU64>,
    close_below: watch::Receiver<u64>,
}

impl Connections {
    pub(super) fn open(&self, stream: TcpStream) -> Connection {
        Connection {
            stream,
            number: self.opened.fetch_add(1, Ordering::SeqCst),
            silent_below: Arc::clone(&self.silent_below),
            close_below: self.close_below.subscribe(),
        }
    }

    /// Makes all connections that are open now silent for good, without closing them.
    pub(super) fn silence(&self) {
        let next = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    /// Closes all connections that are open now.
    pub(super) fn close_all(&self) {
        self.close_below
            .send_replace(self.opened.load(Ordering::SeqCst));
    }
}

impl Connection {
    /// Returns a future that completes when this connection has to be closed.
    pub(super) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let mut below = self.close_below.clone();
        let number = self.number;
        async move {
            // An error means that the backend server was dropped, which closes its connections too.
            let _ = below.wait_for(|below| number < *below).await;
        }
    }

    fn is_silent(&self) -> bool {
        self.number < self.silent_below.load(Ordering::SeqCst)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.is_silent() {
            return polled;
        }
        buffer.set_filled(filled);
        Poll::Pending
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
