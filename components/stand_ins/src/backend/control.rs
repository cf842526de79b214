//! The control port, which sets faults and serves counters and the history.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};

use super::{Backend, Knobs, Shared};
use crate::history::{self, History};
use crate::http_server::{Answer, HttpServer, data, text};

/// The control port of a set of backend servers, served from its own thread.
pub struct Control {
    _server: HttpServer,
}

impl Control {
    /// Starts serving the control port of `backends` with their shared `history` on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub fn start(
        listener: TcpListener,
        backends: &[Backend],
        history: History,
    ) -> io::Result<Control> {
        let service = ControlService {
            backends: backends.iter().map(|b| Arc::clone(&b.shared)).collect(),
            history,
        };
        let handler = Arc::new(move |request: &Request<Bytes>| Some(service.answer(request)));
        Ok(Control {
            _server: HttpServer::start("backend-control", listener, handler)?,
        })
    }
}

struct ControlService {
    backends: Vec<Arc<Shared>>,
    history: History,
}

impl ControlService {
    fn answer(&self, request: &Request<Bytes>) -> Answer {
        let path = request.uri().path();
        match *request.method() {
            Method::GET if path == "/journal" => self.journal(),
            Method::GET => self.counts(path),
            Method::POST => self.set(path, request.body()),
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"),
        }
    }

    fn journal(&self) -> Answer {
        let mut lines = Vec::new();
        match history::write_lines(&self.history.sorted(), &mut lines) {
            Ok(()) => data(StatusCode::OK, lines),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    fn counts(&self, path: &str) -> Answer {
        let Some(shared) = self.find(path) else {
            return text(
                StatusCode::NOT_FOUND,
                "no such backend server; use /IP:PORT",
            );
        };
        let counts = shared.admission().counts();
        let body = serde_json::to_vec(&counts).expect("counters serialize to JSON");
        data(StatusCode::OK, body)
    }

    fn set(&self, path: &str, body: &[u8]) -> Answer {
        let knobs: Knobs = match serde_json::from_slice(body) {
            Ok(knobs) => knobs,
            Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let chosen: Vec<&Arc<Shared>> = match path {
            "/all" => self.backends.iter().collect(),
            _ => self.find(path).into_iter().collect(),
        };
        if chosen.is_empty() {
            return text(
                StatusCode::NOT_FOUND,
                "no such backend server; use /IP:PORT or /all",
            );
        }
        for shared in chosen {
            shared.set(&knobs);
        }
        text(StatusCode::OK, "set")
    }

    fn find(&self, path: &str) -> Option<&Arc<Shared>> {
        let address: SocketAddr = path.strip_prefix('/')?.parse().ok()?;
        self.backends.iter().find(|b| b.address == address)
    }
}
