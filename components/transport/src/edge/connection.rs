//! Serves one caller's connection: its calls, its limits and its close.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::caller::{CallerState, CallerStream};
use super::fault::Fault;
use super::{Edge, Stage, body, call, reject};

/// How long a connection is still read from after its write side has been
/// closed, so that the last answer reaches the caller.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// How many header fields one request may have.
const MAX_HEADERS: usize = 100;

/// Takes a caller's connection out of the count of open ones when dropped.
struct ConnectionGuard(Arc<Edge>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.callers.send_modify(|n| *n -= 1);
    }
}

/// Serves the calls of one connection, one after another, and closes the connection.
pub async fn serve(edge: Arc<Edge>, stream: TcpStream, caller: SocketAddr) {
    let _guard = ConnectionGuard(Arc::clone(&edge));
    if stream.set_nodelay(true).is_err() {
        return;
    }
    if edge.callers() > edge.limits.max_callers {
        let stream = reject::send(stream, Fault::TooManyCallers).await;
        linger(stream).await;
        return;
    }
    let state = Arc::new(CallerState::default());
    let (stream, fault) = serve_calls(edge, stream, caller, &state).await;
    let stream = match fault {
        Some(fault) => reject::send(stream, fault).await,
        None => stream,
    };
    match state.is_broken() {
        true => reset_on_close(&stream),
        false => linger(stream).await,
    }
}

/// Serves calls until the connection ends, and returns its stream and the fault,
/// if any, that the caller is still to be answered with.
async fn serve_calls(
    edge: Arc<Edge>,
    stream: TcpStream,
    caller: SocketAddr,
    state: &Arc<CallerState>,
) -> (TcpStream, Option<Fault>) {
    let mut stage = edge.stage.subscribe();
    let limits = edge.limits;
    let service = service_fn(|request| {
        let edge = Arc::clone(&edge);
        let state = Arc::clone(state);
        Box::pin(async move {
            state.begin();
            let mut response = call::answer(&edge, request, caller).await;
            if *edge.stage.borrow() >= Stage::Leaving {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response.body_mut().set_caller(state);
            Ok::<_, Infallible>(response)
        })
    });
    let io = TokioIo::new(CallerStream::new(stream, Arc::clone(state)));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.max_head_size)
        .serve_connection(io, service);
    let closing = async { stage.wait_for(|s| *s >= Stage::Closing).await.is_ok() };
    let result = tokio::select! {
        result = poll_fn(|cx| connection.poll_without_shutdown(cx)) => result,
        _ = closing => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    let parts = connection.into_parts();
    let fault = result
        .err()
        .and_then(|e| close_fault(&e, !parts.read_buf.is_empty()));
    (parts.io.into_inner().into_stream(), fault)
}

/// Returns the fault of the caller's that ended the connection, none if an
/// answer is no longer possible.
fn close_fault(error: &hyper::Error, head_begun: bool) -> Option<Fault> {
    match error {
        e if e.is_parse_too_large() => Some(Fault::HeadTooLarge),
        e if e.is_parse() => Some(Fault::NotHttp(body::error_text(e))),
        e if e.is_timeout() && head_begun => Some(Fault::HeadTooSlow),
        _ => None,
    }
}

/// Makes the close of a connection a TCP reset, so that the caller detects that
/// its answer was truncated.
///
/// An HTTP/1.0 caller would take an orderly close as the end of the answer.
fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // If this fails, the close that follows still truncates an answer that has a
    // Content-Length or chunked coding.
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Closes a connection so that the bytes sent last still reach the caller.
///
/// Closing a socket with unread bytes makes the kernel reset the connection,
/// and the caller would lose an answer that it has not read yet.
async fn linger(mut stream: TcpStream) {
    let drain = async {
        if stream.shutdown().await.is_err() {
            return;
        }
        let mut sink = [0; 4096];
        while let Ok(1..) = stream.read(&mut sink).await {}
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}
