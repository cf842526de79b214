//! Messages about slots between entry hosts.

use std::time::Duration;

use derives::{key, tag, value};
use state::{EndpointKey, HostKey, ServiceKey};

/// Names one slot of one endpoint.
#[key]
pub struct SlotKey {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The number of the slot, from 0.
    pub number: u32,
}

/// Names one lease of a slot.
///
/// The owner uses a new `serial` each time it leases a free slot. `hop` counts
/// the transfers of that lease from holder to holder. A message about an earlier
/// serial or hop is out of date.
#[key]
pub struct LeaseKey {
    /// The slot.
    pub slot: SlotKey,
    /// A number chosen by the owner, never used twice.
    pub serial: u64,
    /// The number of transfers so far.
    pub hop: u32,
}

/// A reading of another host's clock, in microseconds and opaque to all other hosts.
///
/// A stamp is only sent back to the host that created it. That host then knows
/// that the sender decided after that time.
#[key]
#[derive(Default)]
pub struct Stamp {
    /// The incarnation of the host that created the stamp.
    pub incarnation: u64,
    /// The clock of that host, in microseconds.
    pub clock: u64,
}

/// A message about slots.
#[value]
pub struct SlotMessage {
    /// The incarnation and clock of the sender when it sent the message.
    pub stamp: Stamp,
    /// The content of the message.
    pub body: SlotBody,
}

/// The content of a message about slots.
#[value]
pub enum SlotBody {
    /// Holder to owner: renews leases and reports call statistics of the owner's endpoints.
    Renew {
        /// The leases to renew.
        leases: Vec<LeaseKey>,
        /// Call statistics since the last message.
        stats: Vec<CallStats>,
    },
    /// Owner to holder: answers a renewal. Leases that are not listed are extended.
    Renewed {
        /// The stamp of the renewal.
        echo: Stamp,
        /// Leases that are over.
        ended: Vec<LeaseKey>,
        /// Leases that the owner cannot renew yet; the holder has to retry soon.
        pending: Vec<LeaseKey>,
    },
    /// Owner to holder: asks for leases to be returned as soon as they are idle.
    Recall(Vec<LeaseKey>),
    /// Holder to owner: returns leases and reports call statistics.
    Return {
        /// The returned leases.
        leases: Vec<ReturnedLease>,
        /// Call statistics since the last message.
        stats: Vec<CallStats>,
    },
    /// Holder or owner to the next holder: transfers leases.
    Transfer {
        /// The latest stamp of the receiver that the sender knew.
        echo: Stamp,
        /// The transferred leases.
        leases: Vec<TransferredLease>,
    },
    /// Host to broker: demand and supply of a service at the sender.
    Demand(Demand),
    /// Broker to holder: asks for slots to be transferred to another host as they become idle.
    TransferRequest {
        /// The service.
        service: ServiceKey,
        /// The host that gets the slots.
        to: HostKey,
        /// The latest stamp of that host that the broker knew.
        echo: Stamp,
        /// The number of slots.
        count: u32,
        /// How long the oldest call that needs one of the slots has waited.
        oldest: Duration,
    },
    /// Broker to host: whether calls wait that no idle slot can serve.
    Shortage {
        /// The service.
        service: ServiceKey,
        /// Whether the shortage lasts, so that idle slots are needed at once.
        active: bool,
    },
    /// Earlier owner to the next one: the state of its endpoints, which it leases no more.
    Handoff(Vec<EndpointHandoff>),
}

/// An entry host's statistics of an endpoint's calls since its last message.
#[value]
pub struct CallStats {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The number of calls that took far longer than is usual for the service.
    pub slow: u32,
    /// The number of all calls.
    pub total: u32,
}

/// A lease returned to its owner.
#[value]
pub struct ReturnedLease {
    /// The lease.
    pub lease: LeaseKey,
    /// The reason for the return.
    pub reason: Reason,
}

/// The reason for the return of a lease.
#[tag]
pub enum Reason {
    /// The lease was not needed or was recalled.
    Idle,
    /// The backend server refused the call.
    Shed,
    /// The backend server could not be reached.
    Unreachable,
}

/// A lease transferred to the next holder.
#[value]
pub struct TransferredLease {
    /// The lease, with its hop count incremented.
    pub lease: LeaseKey,
    /// The remaining time of the lease at the sender.
    pub left: Duration,
    /// Whether the lease is for a single call, to try an endpoint that may be unhealthy.
    pub single_use: bool,
}

/// A host's demand and supply of one service.
#[value]
pub struct Demand {
    /// The service.
    pub service: ServiceKey,
    /// The number of waiting calls.
    pub waiting: u32,
    /// How long the oldest of the waiting calls has waited.
    pub oldest: Duration,
    /// The number of slots wanted in addition, so that the next calls need not wait.
    pub spare: u32,
    /// The number of slots held.
    pub held: u32,
    /// The number of idle slots held.
    pub idle: u32,
    /// The number of slots received so far, which tells the broker how many are in transit.
    pub received: u32,
}

/// The state of an endpoint's leases that an earlier owner hands off.
#[value]
pub struct EndpointHandoff {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The revision of the configuration that ended the sender's ownership.
    pub revision: u64,
    /// How long slots that are not listed may be in use under leases unknown to the sender.
    pub fence: Duration,
    /// The cap on leased slots.
    pub cap: u32,
    /// The granted leases.
    pub leases: Vec<HandoffLease>,
}

/// One lease of a handoff.
#[value]
pub struct HandoffLease {
    /// The lease.
    pub lease: LeaseKey,
    /// The holder of the lease.
    pub holder: HostKey,
    /// The remaining time of the lease at the earlier owner.
    pub left: Duration,
}
