//! The events of a history.

use std::net::SocketAddr;

use derives::{tag, value};
use serde::{Deserialize, Serialize};

/// An event and its time.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since 1970.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event, as its observer recorded it.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A backend server started.
    Endpoint {
        /// The backend server's address.
        endpoint: SocketAddr,
        /// The backend server's data centre.
        data_centre: String,
        /// Calls that the backend server can run at once when warm.
        slots: u32,
    },
    /// A caller sent a call.
    Sent {
        /// The call's number, unique in the history.
        call: u64,
        /// The entry host that the call was sent to.
        host: String,
        /// Whether the call's HTTP method is idempotent.
        idempotent: bool,
        /// The value of the call's `Idempotency-Key` header.
        key: Option<String>,
        /// The call's deadline, in milliseconds from the time of sending.
        deadline_ms: u64,
    },
    /// A caller's call ended.
    Answered {
        /// The call's number.
        call: u64,
        /// The outcome that the caller observed.
        outcome: Outcome,
        /// Whether the answer was complete and belonged to this call.
        own: bool,
    },
    /// A call reached a backend server.
    Received {
        /// The backend server.
        endpoint: SocketAddr,
        /// The call's number.
        call: u64,
        /// The value of the call's `Idempotency-Key` header.
        key: Option<String>,
        /// Calls at the backend server, including this one.
        running: u32,
        /// Calls that the backend server can currently run at once.
        bears: u32,
        /// Whether the backend server is cold.
        cold: bool,
        /// Whether the work was started; the call was shed otherwise.
        started: bool,
    },
    /// The work of a call ended.
    Ended {
        /// The backend server.
        endpoint: SocketAddr,
        /// The call's number.
        call: u64,
        /// How the work ended.
        ending: Ending,
    },
    /// A backend server sent a load report.
    Probed {
        /// The backend server.
        endpoint: SocketAddr,
        /// The cost of the report, in microseconds of one slot's time.
        cost_us: u64,
    },
    /// A backend server turned cold without announcing it.
    TurnedCold {
        /// The backend server.
        endpoint: SocketAddr,
    },
    /// A backend server started or stopped draining.
    Draining {
        /// The backend server.
        endpoint: SocketAddr,
        /// Whether the backend server drains.
        draining: bool,
    },
    /// An operator's command is about to be sent; from now on it may be in force.
    Asked {
        /// The command.
        order: Order,
        /// The data centre, host or preset that the command names.
        name: String,
    },
    /// An operator's command was accepted.
    Ordered {
        /// The command.
        order: Order,
        /// The data centre, host or preset that the command names.
        name: String,
        /// The revision of the configuration that the command created.
        revision: u64,
    },
    /// An entry host showed the configuration in force there.
    Seen {
        /// The entry host.
        host: String,
        /// The revision of the configuration.
        revision: u64,
        /// The preset in force there.
        preset: Option<String>,
    },
    /// An entry host was asked to shut down gracefully.
    Stopping {
        /// The entry host.
        host: String,
    },
    /// An entry host's process ended, or was killed or paused by the test.
    Gone {
        /// The entry host.
        host: String,
    },
    /// An entry host was started, or resumed after a pause.
    Up {
        /// The entry host.
        host: String,
    },
}

/// The outcome of a call that its caller observed.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete answer of a backend server arrived.
    Complete,
    /// The work did not run.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The connection broke, possibly after a part of the answer.
    Broken,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

/// How the work of a call ended at its backend server.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The work was completed.
    Done,
    /// The call's connection was closed.
    Cancelled,
    /// The call's deadline passed.
    Expired,
}

/// An operator's command.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// A data centre leaves.
    CentreLeaves,
    /// A data centre returns.
    CentreReturns,
    /// A host leaves.
    HostLeaves,
    /// A host returns.
    HostReturns,
    /// A preset is chosen.
    Choose,
}
