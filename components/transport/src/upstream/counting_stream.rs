//! A TCP stream that counts the bytes handed to the kernel.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream to a backend server that counts the bytes written.
///
/// A call whose connection breaks may be retried without risk only if no byte
/// of the request can have reached the backend server. Comparing the count before
/// and after proves it: bytes never handed to the kernel were never sent.
pub struct CountingStream {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl CountingStream {
    /// Returns the counting stream, and the shared counter starting at zero.
    pub fn new(stream: TcpStream) -> (CountingStream, Arc<AtomicU64>) {
        let written = Arc::new(AtomicU64::new(0));
        let counting_stream = CountingStream {
            stream,
            written: Arc::clone(&written),
        };
        (counting_stream, written)
    }

    /// Returns the underlying TCP stream.
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

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CountingStream {
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
