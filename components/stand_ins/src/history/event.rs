//! The events of a history.

use std::net::SocketAddr;

use derives::{tag, value};
use serde::{Deserialize, Serialize};

/// One event and its time.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since 1970.
    pub at: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened, as the one who saw it says.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A backend server came up.
    Endpoint {
        /// Where it listens.
        endpoint: SocketAddr,
        /// The data centre it stands in.
        data_centre: String,
        /// Calls it bears at once.
        slots: u32,
    },
    /// A caller sent a call.
    Sent {
        /// The call's number, unique in the history.
        call: u64,
        /// The entry host it was sent to.
        host: String,
        /// Whether its method is idempotent.
        idempotent: bool,
        /// Its `Idempotency-Key`.
        key: Option<String>,
        /// When the caller has no more use of an answer, in milliseconds from now.
        deadline_ms: u64,
    },
    /// A caller's call ended.
    Answered {
        /// The call's number.
        call: u64,
        /// What the caller was told.
        outcome: Outcome,
        /// Whether the answer was whole and the call's own.
        own: bool,
    },
    /// A call reached a backend server.
    Received {
        /// The backend server.
        endpoint: SocketAddr,
        /// The call's number.
        call: u64,
        /// Its `Idempotency-Key`.
        key: Option<String>,
        /// Calls at the backend server now, this one among them.
        running: u32,
        /// Calls it bears now.
        bears: u32,
        /// Whether it is cold.
        cold: bool,
        /// Whether the work was started; it was shed otherwise.
        started: bool,
    },
    /// The work of a call ended.
    Ended {
        /// The backend server.
        endpoint: SocketAddr,
        /// The call's number.
        call: u64,
        /// How it ended.
        ending: Ending,
    },
    /// A backend server gave its load report.
    Probed {
        /// The backend server.
        endpoint: SocketAddr,
        /// What the report cost it, in microseconds of one slot.
        cost_us: u64,
    },
    /// A backend server turned cold without a word.
    TurnedCold {
        /// The backend server.
        endpoint: SocketAddr,
    },
    /// A backend server began to drain, or ended it.
    Draining {
        /// The backend server.
        endpoint: SocketAddr,
        /// Whether it drains.
        draining: bool,
    },
    /// An operator's command is about to be sent: it may be in force from now on.
    Asked {
        /// The command.
        order: Order,
        /// The data centre, host or preset it names.
        name: String,
    },
    /// An operator's command was accepted.
    Ordered {
        /// The command.
        order: Order,
        /// The data centre, host or preset it names.
        name: String,
        /// The configuration's revision that it made.
        revision: u64,
    },
    /// An entry host showed the configuration it acts on.
    Seen {
        /// The entry host.
        host: String,
        /// Its configuration's revision.
        revision: u64,
        /// The preset in force there.
        preset: Option<String>,
    },
    /// An entry host was told to shut down gracefully.
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

/// What a caller was told.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A whole answer of a backend server.
    Complete,
    /// The work did not run.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The connection broke, with or without a part of the answer.
    Broken,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

/// How the work of a call ended at its backend server.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It was done.
    Done,
    /// Its connection was closed.
    Cancelled,
    /// Its deadline passed.
    Expired,
}

/// An operator's command.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// A data centre was taken out.
    CentreLeaves,
    /// A data centre was brought back.
    CentreReturns,
    /// A host was taken out.
    HostLeaves,
    /// A host was brought back.
    HostReturns,
    /// A preset was chosen.
    Choose,
}
