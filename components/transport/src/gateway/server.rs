//! Accepts callers' connections and serves their HTTP requests.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use protocol::request_splitter::MAX_HEADER_FIELDS;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::origin::Source;
use super::pipeline::Pipeline;
use super::read_ahead::ReadAhead;
use super::stream::{CallerStream, CallerTimeouts, ConnectionActivity};
use super::{Gateway, Stage, call};

/// The pause after a connection could not be accepted, as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a connection that is opened during the shutdown may take to send its request, which
/// is rejected.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The time limits until the operators' configuration is known.
const DEFAULT_TIMEOUTS: CallerTimeouts = CallerTimeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// The size limit of a request head, in bytes, until the operators' configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Who opens the connections that a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listener {
    /// Callers.
    Callers,
    /// Other hosts, which forward requests.
    Hosts,
}

/// Counts a caller's connection as open until dropped.
struct ConnectionGuard(Rc<Gateway>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
    }
}

impl Gateway {
    /// Accepts connections of callers or hosts; never returns.
    pub(super) async fn accept(self: Rc<Self>, sockets: TcpListener, listener: Listener) {
        loop {
            match sockets.accept().await {
                // Close at once: no request has been read, so the caller can retry
                // at another host.
                Ok(_) if self.callers.get() >= self.live.borrow().callers_limit => {
                    log::warn!("E0124 callers-limit callers={}", self.callers.get());
                }
                Ok((stream, address)) => {
                    self.callers.set(self.callers.get() + 1);
                    let guard = ConnectionGuard(Rc::clone(&self));
                    let source = match listener {
                        Listener::Callers => Source::Caller(address.ip()),
                        Listener::Hosts => Source::Host,
                    };
                    spawn_local(serve(guard, stream, source));
                }
                Err(error) => {
                    log::warn!("E0101 accept-failed error={error:?}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn timeouts(&self) -> (CallerTimeouts, usize) {
        let config = self.config.borrow();
        match &config.catalogue {
            None => (DEFAULT_TIMEOUTS, DEFAULT_HEAD_BYTES),
            Some(catalogue) => (
                CallerTimeouts {
                    head: catalogue.limits.head_time,
                    idle: catalogue.limits.idle_time,
                },
                catalogue.limits.head_size,
            ),
        }
    }
}

/// Serves the requests of one connection in sequence.
async fn serve(guard: ConnectionGuard, stream: TcpStream, source: Source) {
    let gateway = &guard.0;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("E0125 caller-lost error={error:?}");
        return;
    }
    let activity = Rc::new(ConnectionActivity::new());
    let (timeouts, head) = gateway.timeouts();
    let pipeline = Rc::new(Pipeline::new(Rc::clone(gateway), source));
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Rc::clone(gateway);
        let pipeline = Rc::clone(&pipeline);
        let (parts, incoming) = request.into_parts();
        let early = pipeline.take(&parts);
        let guard = activity.serving();
        async move {
            let answer = match early {
                Some(early) => early.answer().await,
                None => call::handle(&gateway, parts, Some(incoming), source).await,
            };
            let mut response = pipeline.secure(answer).await;
            // Requests that were started are answered before the connection ends.
            if *gateway.stage.borrow() >= Stage::Leaving && !pipeline.is_waiting() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response.body_mut().set_guard(guard);
            Ok::<_, Infallible>(response)
        }
    });
    let max_bytes = head.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES;
    let ahead = ReadAhead::new(Rc::clone(&pipeline), max_bytes);
    let stream = CallerStream::new(stream, Rc::clone(&activity), timeouts, ahead);
    let io = TokioIo::new(stream);
    let connection = http1::Builder::new()
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(max_bytes)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut stage = gateway.stage.subscribe();
    let is_late = *stage.borrow() >= Stage::Closing;
    let closing = async {
        // The stage outlives its connections.
        drop(stage.wait_for(|s| *s >= Stage::Closing).await);
        if is_late {
            sleep(LATE_REQUEST_TIMEOUT).await;
        }
        pipeline.all_taken().await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("E0125 caller-lost error={error:?}");
    }
}
