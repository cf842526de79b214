//! What entry hosts say to each other about slots.

use std::time::Duration;

use derives::{key, tag, value};
use state::{EndpointKey, HostKey, ServiceKey};

/// Names one slot of one endpoint.
#[key]
pub struct SlotKey {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The slot's number, from 0.
    pub number: u32,
}

/// Names one lease of a slot.
///
/// The owner draws a new `serial` each time it leases a free slot; `hop`
/// counts the times that lease was handed from holder to holder. A message
/// about an earlier serial or hop is out of date.
#[key]
pub struct LeaseKey {
    /// The slot.
    pub slot: SlotKey,
    /// Drawn by the owner, never twice.
    pub serial: u64,
    /// Counts handovers.
    pub hop: u32,
}

/// A moment of another host's own clock in microseconds, opaque to everyone else.
///
/// It is only ever sent back to the host that stamped it, which then knows
/// that what comes with it was decided after that moment.
#[key]
#[derive(Default)]
pub struct Stamp {
    /// The incarnation of the host that stamped it.
    pub incarnation: u64,
    /// Its clock.
    pub clock: u64,
}

/// A message about slots.
#[value]
pub struct SlotMessage {
    /// The sender's incarnation and clock as it sent this.
    pub stamp: Stamp,
    /// What it says.
    pub body: SlotBody,
}

/// What a message about slots says.
#[value]
pub enum SlotBody {
    /// Holder to owner: these leases are still held; this was seen of your endpoints.
    Renew {
        /// The leases to renew.
        leases: Vec<LeaseKey>,
        /// What calls showed since the last message.
        stats: Vec<CallStats>,
    },
    /// Owner to holder: the leases of the renewal you stamped so go on, but for these.
    Renewed {
        /// The stamp of the renewal.
        echo: Stamp,
        /// Leases that are over.
        ended: Vec<LeaseKey>,
        /// Leases the owner can't renew yet: to be asked again soon.
        pending: Vec<LeaseKey>,
    },
    /// Owner to holder: give these back as soon as they are idle.
    Recall(Vec<LeaseKey>),
    /// Holder to owner: these are no longer held.
    Return {
        /// The leases.
        leases: Vec<ReturnedLease>,
        /// What calls showed since the last message.
        stats: Vec<CallStats>,
    },
    /// Holder or owner to the next holder: these are yours.
    Transfer {
        /// The receiver's stamp that the giver knew.
        echo: Stamp,
        /// The leases.
        leases: Vec<TransferredLease>,
    },
    /// Host to broker: how it stands with a service here.
    Demand(Demand),
    /// Broker to holder: hand slots straight to another host as they come free.
    TransferRequest {
        /// The service.
        service: ServiceKey,
        /// Who shall have them.
        to: HostKey,
        /// Its stamp as the broker knows it.
        echo: Stamp,
        /// How many.
        count: u32,
        /// How long the oldest call waits that they are for.
        oldest: Duration,
    },
    /// Broker to host: whether calls wait that no idle slot can serve.
    Shortage {
        /// The service.
        service: ServiceKey,
        /// Idle slots are wanted at once.
        active: bool,
    },
    /// Earlier owner to the next one: this is out, and I lease no more.
    Handoff(Vec<EndpointHandoff>),
}

/// What an entry host saw of an endpoint's answers since it last said so.
#[value]
pub struct CallStats {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Calls that took far longer than the service's calls do.
    pub slow: u32,
    /// All calls.
    pub total: u32,
}

/// A lease given back to its owner.
#[value]
pub struct ReturnedLease {
    /// The lease.
    pub lease: LeaseKey,
    /// Why.
    pub reason: Reason,
}

/// Why a lease is given back.
#[tag]
pub enum Reason {
    /// It was not needed or recalled.
    Idle,
    /// The backend server refused the call.
    Shed,
    /// The backend server could not be reached.
    Unreachable,
}

/// A lease handed to the next holder.
#[value]
pub struct TransferredLease {
    /// The lease, with its hop counted up.
    pub lease: LeaseKey,
    /// What was left of it at the giver.
    pub left: Duration,
    /// It is for one call only, to try an endpoint in doubt.
    pub single_use: bool,
}

/// How a host stands with one service.
#[value]
pub struct Demand {
    /// The service.
    pub service: ServiceKey,
    /// Calls that wait.
    pub waiting: u32,
    /// How long the oldest of them has waited.
    pub oldest: Duration,
    /// Slots wanted beyond that, so that the next calls needn't wait.
    pub spare: u32,
    /// Slots held.
    pub held: u32,
    /// Slots held that are idle.
    pub idle: u32,
    /// Slots handed to this host so far, so that the broker knows which are on their way.
    pub received: u32,
}

/// An endpoint's leases as its earlier owner leaves them.
#[value]
pub struct EndpointHandoff {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The revision of the configuration by which the giver laid it down.
    pub revision: u64,
    /// How long slots that are not named may still be in use by leases unknown to the giver.
    pub fence: Duration,
    /// The cap on slots out.
    pub cap: u32,
    /// The leases that are out.
    pub leases: Vec<HandoffLease>,
}

/// One lease of an estate.
#[value]
pub struct HandoffLease {
    /// The lease.
    pub lease: LeaseKey,
    /// Who holds it.
    pub holder: HostKey,
    /// What is left of it at the owner.
    pub left: Duration,
}
