//! The control port, which sets faults and serves counters and the history.

use std::io::{self, Cursor};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tiny_http::{Method, Request, Response, Server};

use super::{Backend, Knobs, Shared};
use crate::history::{self, History};

/// The control port of a set of backend servers, served from its own thread.
pub struct Control {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
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
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let service = ControlService {
            backends: backends.iter().map(|b| Arc::clone(&b.shared)).collect(),
            history,
        };
        let thread = {
            let server = Arc::clone(&server);
            thread::spawn(move || {
                for request in server.incoming_requests() {
                    service.serve(request);
                }
            })
        };
        Ok(Control {
            server,
            thread: Some(thread),
        })
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

struct ControlService {
    backends: Vec<Arc<Shared>>,
    history: History,
}

type Reply = Response<Cursor<Vec<u8>>>;

impl ControlService {
    fn serve(&self, mut request: Request) {
        let path = request.url().to_owned();
        let reply = match request.method() {
            Method::Get if path == "/journal" => self.journal(),
            Method::Get => self.counts(&path),
            Method::Post => self.set(&path, &mut request),
            _ => refuse(405, "GET or POST"),
        };
        // The client is a test or a person, who notices a failed answer without a log line.
        let _ = request.respond(reply);
    }

    fn journal(&self) -> Reply {
        let mut lines = Vec::new();
        match history::write_lines(&self.history.sorted(), &mut lines) {
            Ok(()) => Response::from_data(lines),
            Err(error) => refuse(500, &error.to_string()),
        }
    }

    fn counts(&self, path: &str) -> Reply {
        let Some(shared) = self.find(path) else {
            return refuse(404, "no such backend server; use /IP:PORT");
        };
        let counts = shared.admission().counts();
        Response::from_data(serde_json::to_vec(&counts).expect("counters serialize to JSON"))
    }

    fn set(&self, path: &str, request: &mut Request) -> Reply {
        let knobs: Knobs = match serde_json::from_reader(request.as_reader()) {
            Ok(knobs) => knobs,
            Err(error) => return refuse(400, &error.to_string()),
        };
        let chosen: Vec<&Arc<Shared>> = match path {
            "/all" => self.backends.iter().collect(),
            _ => self.find(path).into_iter().collect(),
        };
        if chosen.is_empty() {
            return refuse(404, "no such backend server; use /IP:PORT or /all");
        }
        for shared in chosen {
            shared.set(&knobs);
        }
        Response::from_data(b"set\n")
    }

    fn find(&self, path: &str) -> Option<&Arc<Shared>> {
        let address: SocketAddr = path.strip_prefix('/')?.parse().ok()?;
        self.backends.iter().find(|b| b.address == address)
    }
}

fn refuse(status: u16, why: &str) -> Reply {
    Response::from_string(format!("{why}\n")).with_status_code(status)
}
