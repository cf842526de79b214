//! Sends an answer on a connection whose bytes could not be read as a request.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::answer::AnswerBody;
use super::fault::Fault;

/// A valid request that the HTTP library reads in place of the caller's bytes.
const PLACEHOLDER_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: none\r\nconnection: close\r\n\r\n";

/// A stream that reads the placeholder request and writes to the caller.
///
/// To a request that it can't parse, the HTTP library can send only its own
/// empty answer. With a placeholder request it writes the fault's answer, so
/// that this module doesn't have to serialize HTTP itself.
struct PlaceholderStream {
    unread: &'static [u8],
    stream: TcpStream,
}

/// Sends the answer to `fault` and returns the stream, which the caller of this
/// function has to close.
pub async fn send(stream: TcpStream, fault: Fault) -> TcpStream {
    let fault = Mutex::new(Some(fault));
    let service = service_fn(|_request| {
        let fault = fault.lock().ok().and_then(|mut f| f.take());
        let response = match fault {
            Some(fault) => fault.into_response(),
            None => Response::new(AnswerBody::buffered(bytes::Bytes::new())),
        };
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let placeholder = PlaceholderStream {
        unread: PLACEHOLDER_REQUEST,
        stream,
    };
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(placeholder), service);
    // An error means that the caller has disconnected.
    let _ = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    connection.into_parts().io.into_inner().stream
}

impl AsyncRead for PlaceholderStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let n = self.unread.len().min(buffer.remaining());
        let (now, later) = self.unread.split_at(n);
        buffer.put_slice(now);
        self.unread = later;
        match n {
            // The caller's own bytes are not read: they can't be parsed.
            0 => Poll::Pending,
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for PlaceholderStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
