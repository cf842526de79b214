//! The admin port: health, readiness, metrics, status and commands, for operators.
//!
//! Connections are served on a thread of the port's own, so that neither callers
//! nor commands that wait for the store delay `/readyz`. A delayed answer there
//! would make the platform's balancer take a healthy host out of service.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// How many commands may wait for the store at once.
const MAX_COMMANDS: usize = 8;

/// How many threads build the other answers, besides those that run commands.
const PAGE_THREADS: usize = 4;

/// The largest body an operator's command may have, in bytes.
const MAX_BODY_SIZE: usize = 4 * 1024 * 1024;

/// How long a connection may wait for the head of a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long to wait before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The entry host, as the admin port uses it.
pub trait Host: Send + Sync {
    /// Returns why the host isn't ready to take calls, none if it is ready.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the state of the host, as JSON.
    fn status(&self) -> serde_json::Value;

    /// Returns the configuration in force, as JSON.
    fn config(&self) -> String;

    /// Submits an operator's command to the store, and returns an HTTP status and a JSON body.
    fn command(&self, body: &[u8]) -> (u16, String);
}

/// The admin port, open until dropped.
pub struct Admin {
    address: SocketAddr,
    /// Ends the port's thread when dropped.
    _open: oneshot::Sender<()>,
}

/// Why the admin port can't be opened.
#[derive(Debug, Error)]
#[error("the admin port can't be opened: {0}")]
pub struct AdminError(#[from] io::Error);

impl Admin {
    /// Opens the port on `listener` and answers for `host`.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used, or if no thread can be started.
    pub fn open(
        listener: StdListener,
        host: &Arc<dyn Host>,
        metrics: Option<&PrometheusHandle>,
    ) -> Result<Admin, AdminError> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(MAX_COMMANDS + PAGE_THREADS)
            .build()?;
        let port = Arc::new(Port {
            host: Arc::clone(host),
            metrics: metrics.cloned(),
            commands: Semaphore::new(MAX_COMMANDS),
        });
        let (open, closed) = oneshot::channel();
        thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || run(runtime, listener, port, closed))?;
        Ok(Admin {
            address,
            _open: open,
        })
    }

    /// Returns the address that the port listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Serves until the port is dropped. Commands that are running then continue
/// in their threads, and their answers are lost.
fn run(runtime: Runtime, listener: StdListener, port: Arc<Port>, closed: oneshot::Receiver<()>) {
    runtime.block_on(async {
        tokio::select! {
            error = accept(listener, port) => log::error!("E0511 admin-port-closed error={error}"),
            _ = closed => {}
        }
    });
    runtime.shutdown_background();
}

/// Accepts connections without end, each served by a task of its own; returns the
/// error if the listener can't be used.
async fn accept(listener: StdListener, port: Arc<Port>) -> io::Error {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return error,
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, Arc::clone(&port)));
            }
            Err(error) => {
                log::warn!("E0512 admin-accept-failed error={error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, port: Arc<Port>) {
    let service = service_fn(|request| {
        let port = Arc::clone(&port);
        async move { Ok::<_, Infallible>(port.answer(request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("E0501 admin-answer-lost error={error}");
    }
}

type Answer = Response<Full<Bytes>>;

/// The state shared by all connections of the admin port.
struct Port {
    host: Arc<dyn Host>,
    metrics: Option<PrometheusHandle>,
    commands: Semaphore,
}

impl Port {
    async fn answer(self: Arc<Port>, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/commands") => self.command(request).await,
            (&Method::GET, path) => {
                let path = path.to_owned();
                run_blocking(move || self.page(&path)).await
            }
            _ => not_found(),
        }
    }

    /// Runs a command on a thread of its own, unless too many are running.
    async fn command(self: Arc<Port>, request: Request<Incoming>) -> Answer {
        let Ok(_permit) = self.commands.try_acquire() else {
            return unavailable("too many commands wait for the log: try again");
        };
        let body = match Limited::new(request.into_body(), MAX_BODY_SIZE)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return unavailable("the command is larger than four megabytes");
            }
            Err(error) => return unavailable(&format!("the command broke off: {error}")),
        };
        let host = Arc::clone(&self.host);
        run_blocking(move || {
            let (status, answer) = host.command(&body);
            json(status, answer)
        })
        .await
    }

    fn page(&self, path: &str) -> Answer {
        match path {
            "/healthz" => text(200, "ok\n"),
            "/readyz" => match self.host.unready_reason() {
                None => text(200, "ready\n"),
                Some(reason) => text(503, format!("not ready: {reason}\n")),
            },
            "/metrics" => {
                let page = self.metrics.as_ref().map(PrometheusHandle::render);
                text(200, page.unwrap_or_default())
            }
            "/status" => json(200, self.host.status().to_string()),
            "/config" => json(200, self.host.config()),
            _ => not_found(),
        }
    }
}

/// Builds an answer on a thread for blocking work, since `make` may block.
async fn run_blocking(make: impl FnOnce() -> Answer + Send + 'static) -> Answer {
    match spawn_blocking(make).await {
        Ok(answer) => answer,
        Err(error) => {
            log::error!("E0513 admin-answer-failed error={error}");
            text(500, "the answer could not be made: see the host's log\n")
        }
    }
}

fn not_found() -> Answer {
    text(
        404,
        "see /healthz, /readyz, /metrics, /status, /config, POST /commands\n",
    )
}

fn unavailable(reason: &str) -> Answer {
    let answer = serde_json::json!({ "outcome": "unreachable", "reason": reason });
    json(503, answer.to_string())
}

fn text(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

fn json(status: u16, body: String) -> Answer {
    let mut answer = text(status, body);
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
