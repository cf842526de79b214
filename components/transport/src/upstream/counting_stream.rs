//! A TCP stream that counts the bytes exchanged with the kernel, limits those read, and follows
//! the lines of heads.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use protocol::answer_head::HeadLines;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that a stream has exchanged with the kernel so far.
#[derive(Default)]
pub struct ByteCounts {
    written: AtomicU64,
    read: AtomicU64,
    /// The number of bytes read from which reading fails.
    read_limit: AtomicU64,
    /// The lines of the head that is expected.
    head: Mutex<HeadLines>,
}

impl ByteCounts {
    /// Returns the number of bytes handed to the kernel.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes got from the kernel.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Allows about `bytes` more to be read; beyond them reading fails.
    pub fn allow_reads(&self, bytes: u64) {
        let limit = self.read().saturating_add(bytes);
        self.read_limit.store(limit, Ordering::Relaxed);
    }

    /// Expects the head of an answer in the bytes that are read next.
    pub fn expect_head(&self) {
        self.with_head(|head| *head = HeadLines::default());
    }

    /// Returns whether a line of the expected head is invalid.
    pub fn is_head_invalid(&self) -> bool {
        self.with_head(|head| head.is_invalid())
    }

    fn with_head<R>(&self, act: impl FnOnce(&mut HeadLines) -> R) -> R {
        let mut head = self.head.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut head)
    }

    fn may_read(&self) -> bool {
        self.read() <= self.read_limit.load(Ordering::Relaxed)
    }
}

/// A TCP stream to a backend server that counts the bytes written and read.
///
/// A call whose connection breaks may be retried without risk only if no byte
/// of the request can have reached the backend server. Comparing the count before
/// and after proves it: bytes never handed to the kernel were never sent.
pub struct CountingStream {
    stream: TcpStream,
    counts: Arc<ByteCounts>,
}

impl CountingStream {
    /// Returns the counting stream, and the shared counts starting at zero.
    pub fn new(stream: TcpStream) -> (CountingStream, Arc<ByteCounts>) {
        let counts = Arc::new(ByteCounts::default());
        let counting_stream = CountingStream {
            stream,
            counts: Arc::clone(&counts),
        };
        (counting_stream, counts)
    }

    /// Returns the underlying TCP stream.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = result {
            self.counts.written.fetch_add(n as u64, Ordering::Relaxed);
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
        if !self.counts.may_read() {
            let error = "too many bytes without an answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let bytes = &buffer.filled()[before..];
        self.counts.with_head(|head| head.read(bytes));
        self.counts
            .read
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        result
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
