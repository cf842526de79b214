//! Accepts callers' connections and serves their HTTP requests.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::stream::{CallerStream, CallerTimeouts, ConnectionActivity};
use super::{Gateway, Stage, call};

/// The pause after a connection could not be accepted, as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 200;

/// The smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The time limits until the operators' configuration is known.
const DEFAULT_TIMEOUTS: CallerTimeouts = CallerTimeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// The size limit of a request head, in bytes, until the operators' configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Counts a caller's connection as open until dropped.
struct ConnectionGuard(Rc<Gateway>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
    }
}

impl Gateway {
    /// Accepts callers' connections; never returns.
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                // Close at once: no request has been read, so the caller can retry
                // at another host.
                Ok(_) if self.callers.get() >= self.live.borrow().callers_limit => {
                    log::warn!("E0124 callers-limit callers={}", self.callers.get());
                }
                Ok((stream, address)) => {
                    self.callers.set(self.callers.get() + 1);
                    let guard = ConnectionGuard(Rc::clone(&self));
                    spawn_local(serve(guard, stream, address.ip()));
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
async fn serve(guard: ConnectionGuard, stream: TcpStream, caller: IpAddr) {
    let gateway = &guard.0;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("E0125 caller-lost error={error:?}");
        return;
    }
    let activity = Rc::new(ConnectionActivity::new());
    let (timeouts, head) = gateway.timeouts();
    let service = service_fn(|request| {
        let gateway = Rc::clone(gateway);
        let activity = Rc::clone(&activity);
        async move {
            activity.serving();
            let mut response = call::handle(&gateway, request, caller).await;
            if *gateway.stage.borrow() >= Stage::Leaving {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response.body_mut().set_activity(activity);
            Ok::<_, Infallible>(response)
        }
    });
    let io = TokioIo::new(CallerStream::new(stream, Rc::clone(&activity), timeouts));
    let connection = http1::Builder::new()
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(head.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut stage = gateway.stage.subscribe();
    let closing = async { stage.wait_for(|s| *s >= Stage::Closing).await.is_ok() };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("E0125 caller-lost error={error:?}");
    }
}
