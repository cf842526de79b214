//! Reads a caller's connection ahead of the HTTP library.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use protocol::request_splitter::{Split, read_head, split};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use super::pipeline::Pipeline;

/// Bytes read from a connection at once.
const CHUNK_BYTES: usize = 4 * 1024;

/// The unread bytes of a connection, which the HTTP library gets one request at a time.
///
/// While a request is being served, the requests behind it stay here and are started by
/// the connection's pipeline. Reading stops while `max_bytes` are unread, so a caller that
/// sends more has to wait.
pub(super) struct ReadAhead {
    pipeline: Rc<Pipeline>,
    max_bytes: usize,
    unread: BytesMut,
    /// The rest of the request that the HTTP library is reading, in bytes.
    current: u64,
    /// The length of the requests in `unread` that were started early.
    started: usize,
    /// Whether the HTTP library reads the connection by itself, since requests can't be
    /// told apart.
    is_direct: bool,
    is_end: bool,
}

impl ReadAhead {
    pub fn new(pipeline: Rc<Pipeline>, max_bytes: usize) -> ReadAhead {
        ReadAhead {
            pipeline,
            max_bytes,
            unread: BytesMut::new(),
            current: 0,
            started: 0,
            is_direct: false,
            is_end: false,
        }
    }

    /// Returns whether a part of a request has arrived that the HTTP library hasn't got.
    pub fn has_bytes(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Reads for the HTTP library; `is_serving` tells that a request is being served.
    pub fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        is_serving: bool,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.hand_over(buffer) {
                return Poll::Ready(Ok(()));
            }
            if self.is_direct {
                return Pin::new(stream).poll_read(cx, buffer);
            }
            if self.may_read_directly(is_serving, buffer.remaining()) {
                return self.poll_read_directly(stream, cx, buffer);
            }
            if self.current > 0 {
                if !ready!(self.poll_fill(stream, cx))? {
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            if is_serving {
                // The HTTP library wants to know whether the caller has hung up.
                self.start_requests();
                if !ready!(self.poll_fill(stream, cx))? {
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            match split(&self.unread) {
                Split::Bodyless(length) => {
                    self.pipeline.reading(self.started > 0);
                    self.started = self.started.saturating_sub(length);
                    self.current = length as u64;
                }
                Split::Sized(length) => {
                    self.pipeline.reading(false);
                    self.current = length;
                }
                Split::Incomplete if self.unread.len() < self.max_bytes && !self.is_end => {
                    ready!(self.poll_fill(stream, cx))?;
                    if self.is_end && self.unread.is_empty() {
                        return Poll::Ready(Ok(()));
                    }
                }
                Split::Incomplete | Split::Unknown => {
                    self.pipeline.reading(false);
                    self.is_direct = true;
                }
            }
        }
    }

    /// Returns whether the HTTP library may get what is read next without a copy of it.
    fn may_read_directly(&self, is_serving: bool, room: usize) -> bool {
        let is_within = self.current >= room as u64;
        let is_next = self.current == 0 && !is_serving;
        self.unread.is_empty() && !self.is_end && (is_within || is_next)
    }

    /// Reads into the HTTP library's buffer, and takes back what is not of the current
    /// request.
    fn poll_read_directly(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *stream).poll_read(cx, buffer))?;
        let count = buffer.filled().len() - before;
        if self.current > 0 || count == 0 {
            self.current = self.current.saturating_sub(count as u64);
            return Poll::Ready(Ok(()));
        }
        self.pipeline.reading(false);
        let length = match split(&buffer.filled()[before..]) {
            Split::Bodyless(length) => length as u64,
            Split::Sized(length) => length,
            Split::Incomplete if count < self.max_bytes => {
                // The HTTP library would not say where the rest of the head ends.
                self.unread.extend_from_slice(&buffer.filled()[before..]);
                buffer.set_filled(before);
                return self.poll_read(stream, false, cx, buffer);
            }
            Split::Incomplete | Split::Unknown => {
                self.is_direct = true;
                return Poll::Ready(Ok(()));
            }
        };
        let own = usize::try_from(length).map_or(count, |l| l.min(count));
        self.current = length - own as u64;
        self.unread
            .extend_from_slice(&buffer.filled()[before + own..]);
        buffer.set_filled(before + own);
        Poll::Ready(Ok(()))
    }

    /// Gives the HTTP library unread bytes of the current request; returns whether there
    /// were any.
    fn hand_over(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let limit = match self.is_direct {
            true => self.unread.len(),
            false => usize::try_from(self.current).unwrap_or(usize::MAX),
        };
        let count = limit.min(self.unread.len()).min(buffer.remaining());
        buffer.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        self.current = self.current.saturating_sub(count as u64);
        if self.unread.is_empty() {
            // Thousands of idle connections hold no buffer.
            self.unread = BytesMut::new();
        }
        count > 0
    }

    /// Reads more bytes; returns false at the end of the connection.
    fn poll_fill(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<bool>> {
        if self.is_end {
            return Poll::Ready(Ok(false));
        }
        if self.unread.len() >= self.max_bytes {
            return Poll::Pending;
        }
        let mut chunk = [0; CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk);
        ready!(Pin::new(stream).poll_read(cx, &mut buffer))?;
        self.unread.extend_from_slice(buffer.filled());
        self.is_end = buffer.filled().is_empty();
        Poll::Ready(Ok(!self.is_end))
    }

    /// Starts the unread requests that may run beside the current one.
    fn start_requests(&mut self) {
        while self.started < self.unread.len() && self.pipeline.has_room() {
            let Split::Bodyless(length) = split(&self.unread[self.started..]) else {
                return;
            };
            let end = self.started + length;
            let head = read_head(&self.unread[self.started..end]);
            if !head.is_some_and(|parts| self.pipeline.start(parts)) {
                return;
            }
            self.started = end;
        }
    }
}
