//! The admin port: health, readiness, metrics, status and commands, for operators.
//!
//! `tiny_http` fits here, since only operators and the platform reach this
//! port: see docs/design/edge.md for why it doesn't fit towards callers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tiny_http::{Header, Method, Request, Response, Server};

/// Threads that answer operators; scrapes and probes may come at once.
const WORKERS: usize = 2;

/// Commands that wait for the log at once.
///
/// Each has a thread of its own: while the log is slow they wait for seconds,
/// and on the workers they would hold up `/readyz`, by which the platform's
/// balancer would take a good host out.
const COMMANDS: usize = 8;

/// The largest body an operator's command may have, in bytes.
const BODY_LIMIT: u64 = 4 * 1024 * 1024;

/// What the admin port asks of the entry host it stands beside.
pub trait Host: Send + Sync {
    /// Returns why the host isn't ready to take calls, nothing where it is.
    fn unready(&self) -> Option<String>;

    /// Returns what the host knows, as JSON.
    fn status(&self) -> serde_json::Value;

    /// Returns the configuration in force, as JSON.
    fn config(&self) -> String;

    /// Carries an operator's command to the log, and answers a status and JSON.
    fn command(&self, body: &[u8]) -> (u16, String);
}

/// The admin port, open until it is dropped.
pub struct Admin {
    address: SocketAddr,
    server: Arc<Server>,
}

/// Why the admin port can't be opened.
#[derive(Debug, Error)]
#[error("the admin port can't be opened: {0}")]
pub struct AdminError(String);

impl Admin {
    /// Opens the port on `listener` and answers for `host`.
    ///
    /// # Errors
    ///
    /// Fails where the listener can't be used.
    pub fn open(
        listener: TcpListener,
        host: &Arc<dyn Host>,
        metrics: Option<&PrometheusHandle>,
    ) -> Result<Admin, AdminError> {
        let address = listener
            .local_addr()
            .map_err(|e| AdminError(e.to_string()))?;
        let server =
            Server::from_listener(listener, None).map_err(|e| AdminError(e.to_string()))?;
        let server = Arc::new(server);
        for _ in 0..WORKERS {
            let server = Arc::clone(&server);
            let host = Arc::clone(host);
            let metrics = metrics.cloned();
            thread::spawn(move || answer_all(&server, &host, metrics.as_ref()));
        }
        Ok(Admin { address, server })
    }

    /// Returns where the port listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        for _ in 0..WORKERS {
            self.server.unblock();
        }
    }
}

fn answer_all(server: &Server, host: &Arc<dyn Host>, metrics: Option<&PrometheusHandle>) {
    while let Ok(request) = server.recv() {
        let answered = match (request.method(), request.url()) {
            (Method::Post, "/commands") => command_apart(request, host),
            _ => answer(request, host.as_ref(), metrics),
        };
        note(answered);
    }
}

fn note(answered: io::Result<()>) {
    if let Err(error) = answered {
        log::debug!("E0501 admin-answer-lost error={error}");
    }
}

/// Carries a command out on a thread of its own, as far as there may be more.
fn command_apart(request: Request, host: &Arc<dyn Host>) -> io::Result<()> {
    let Some(place) = Place::take() else {
        let busy = serde_json::json!({
            "outcome": "unreachable",
            "reason": "too many commands wait for the log: try again",
        });
        return json(request, 503, &busy.to_string());
    };
    let host = Arc::clone(host);
    thread::spawn(move || {
        let _place = place;
        note(command(request, host.as_ref()));
    });
    Ok(())
}

/// Commands that run now, over all entry hosts of this process.
static RUNNING: AtomicUsize = AtomicUsize::new(0);

/// One of the places for commands that run at the same time.
///
/// Given back when it is dropped: a command that panics must not take its place
/// away for good, or after eight of them operators could change nothing more.
struct Place;

impl Place {
    fn take() -> Option<Place> {
        let place = Place;
        (RUNNING.fetch_add(1, Ordering::SeqCst) < COMMANDS).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        RUNNING.fetch_sub(1, Ordering::SeqCst);
    }
}

fn command(mut request: Request, host: &dyn Host) -> io::Result<()> {
    let mut body = Vec::new();
    io::Read::read_to_end(
        &mut io::Read::take(request.as_reader(), BODY_LIMIT),
        &mut body,
    )?;
    let (status, answer) = host.command(&body);
    json(request, status, &answer)
}

fn answer(request: Request, host: &dyn Host, metrics: Option<&PrometheusHandle>) -> io::Result<()> {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::Get, "/healthz") => text(request, 200, "ok\n"),
        (Method::Get, "/readyz") => match host.unready() {
            None => text(request, 200, "ready\n"),
            Some(reason) => text(request, 503, &format!("not ready: {reason}\n")),
        },
        (Method::Get, "/metrics") => {
            let page = metrics.map(PrometheusHandle::render).unwrap_or_default();
            text(request, 200, &page)
        }
        (Method::Get, "/status") => json(request, 200, &host.status().to_string()),
        (Method::Get, "/config") => json(request, 200, &host.config()),
        _ => text(
            request,
            404,
            "see /healthz, /readyz, /metrics, /status, /config, POST /commands\n",
        ),
    }
}

fn text(request: Request, status: u16, body: &str) -> io::Result<()> {
    request.respond(Response::from_string(body).with_status_code(status))
}

fn json(request: Request, status: u16, body: &str) -> io::Result<()> {
    let kind = Header::from_bytes("content-type", "application/json")
        .expect("the header field is plain ASCII");
    request.respond(
        Response::from_string(body)
            .with_status_code(status)
            .with_header(kind),
    )
}
