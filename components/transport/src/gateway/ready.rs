//! The readiness endpoint for the platform's balancer.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Gateway;

/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit for the head of a request on an open connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl Gateway {
    /// Serves readiness checks with status 200 or 503; never returns.
    pub(super) async fn answer_readiness(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let gateway = Rc::clone(&self);
            spawn_local(async move {
                let service = service_fn(move |_| {
                    let status = match gateway.is_ready() {
                        true => StatusCode::OK,
                        false => StatusCode::SERVICE_UNAVAILABLE,
                    };
                    let mut response = Response::new(Empty::<Bytes>::new());
                    *response.status_mut() = status;
                    std::future::ready(Ok::<_, Infallible>(response))
                });
                let serving = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    log::debug!("E0505 readiness-connection-broke error={error:?}");
                }
            });
        }
    }
}
