//! A stand-in for a backend server, with every fault the brief names, injected on demand.
//!
//! docs/backend-servers.md describes its protocol.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derives::value;
use tokio::task::JoinHandle;

use crate::history::{Event, History};

mod admission;
mod answer;
mod connection;
mod control;
mod knobs;
mod service;

pub use admission::{Admission, Counts};
pub use answer::pattern;
pub use control::Control;
pub use knobs::{Knobs, Report};

/// Request header with the call's number, written into the backend server's history.
pub const CALL_HEADER: &str = "stand-in-call";
/// Header, in requests and answers, with the call number that the answer's body is made of.
///
/// Calls with the same idempotency key carry the number of the first of them, since any of
/// them may get the answer of any other.
pub const ANSWER_HEADER: &str = "stand-in-answer";
/// Answer header with the time that the work actually took, in microseconds.
pub const WORK_HEADER: &str = "stand-in-work-us";

/// Configuration of one backend server.
#[value]
pub struct Options {
    /// The backend server's data centre.
    pub data_centre: String,
    /// Calls that the backend server can run at once when warm.
    pub slots: u32,
    /// Calls that the backend server can run at once while cold.
    pub cold_slots: u32,
    /// Whether the backend server starts cold.
    pub cold: bool,
    /// Completed calls after which a cold backend server becomes warm.
    pub warm_calls: u32,
    /// Milliseconds after which a cold backend server becomes warm.
    pub warm_ms: u64,
    /// Milliseconds for which a cold backend server sheds all calls after it was overloaded.
    pub overload_ms: u64,
    /// Milliseconds of one slot's time that a load report costs.
    pub probe_ms: u64,
    /// The most connections open at once.
    pub connections: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            data_centre: String::new(),
            slots: 6,
            cold_slots: 1,
            cold: false,
            warm_calls: 50,
            warm_ms: 10_000,
            overload_ms: 1_000,
            probe_ms: 6,
            connections: 250,
        }
    }
}

/// A running backend server. Dropping it closes its listener and all connections.
pub struct Backend {
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

/// State shared by all connections of one backend server.
struct Shared {
    address: SocketAddr,
    options: Options,
    history: History,
    admission: Mutex<Admission>,
    knobs: Mutex<Knobs>,
    connections: connection::Connections,
}

impl Backend {
    /// Starts a backend server on `listener` in the running tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(listener: TcpListener, options: Options, history: History) -> io::Result<Backend> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        history.add(Event::Endpoint {
            endpoint: address,
            data_centre: options.data_centre.clone(),
            slots: options.slots,
        });
        let shared = Arc::new(Shared {
            address,
            admission: Mutex::new(Admission::new(options.clone(), transport::clock::now())),
            options,
            history,
            knobs: Mutex::default(),
            connections: connection::Connections::default(),
        });
        let accept_task = tokio::spawn(service::accept(listener, Arc::clone(&shared)));
        Ok(Backend {
            shared,
            accept_task,
        })
    }

    /// Returns the address that the backend server listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sets the faults that are present in `knobs`; the others stay as they are.
    pub fn set(&self, knobs: &Knobs) {
        self.shared.set(knobs);
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> Counts {
        self.shared.admission().counts()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.shared.connections.close_all();
    }
}

impl Shared {
    fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn knobs(&self) -> MutexGuard<'_, Knobs> {
        self.knobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, knobs: &Knobs) {
        let now = transport::clock::now();
        if let Some(draining) = knobs.draining {
            self.admission().drain(draining);
            self.history.add(Event::Draining {
                endpoint: self.address,
                draining,
            });
        }
        if knobs.turn_cold || knobs.restart {
            self.admission().turn_cold(now);
            self.history.add(Event::TurnedCold {
                endpoint: self.address,
            });
        }
        if knobs.restart {
            self.connections.close_all();
        }
        if knobs.silence {
            self.connections.silence();
        }
        self.knobs().merge(knobs);
    }
}
