//! A stream that counts the bytes handed to the kernel.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection to a backend server that counts what was written to it.
///
/// A call whose connection breaks may be sent again only if no byte of it can
/// have reached the backend server. The count taken before and after says so
/// for certain: what was never handed to the kernel was never sent.
pub struct Meter {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl Meter {
    /// Returns the stream with its count at zero, and the count.
    pub fn new(stream: TcpStream) -> (Meter, Arc<AtomicU64>) {
        let written = Arc::new(AtomicU64::new(0));
        let meter = Meter {
            stream,
            written: Arc::clone(&written),
        };
        (meter, written)
    }

    /// Returns the stream itself.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = result {
            self.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncRead for Meter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Meter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.count(result)
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
