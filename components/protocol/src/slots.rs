//! The wire format of slot messages.

use std::time::Duration;

use coordination::slots::message::{
    CallStats, Demand, EndpointHandoff, HandoffLease, LeaseKey, Reason, ReturnedLease, SlotBody,
    SlotKey, SlotMessage, Stamp, TransferredLease,
};
use coordination::slots::timing::{FENCE_DURATION, LEASE_TERM};
use state::{EndpointKey, HostKey, ServiceKey};

use crate::peer::ProtocolError;

/// Maximum number of entries in one list of a message.
///
/// At the deployment size that the system is built for, fewer leases are in use.
const MAX_ENTRIES: usize = 4_096;
/// The highest slot number that is accepted.
const MAX_SLOT_NUMBER: u32 = 1_024;

/// Encoded form of a slot message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireSlots {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    clock: u64,
    #[prost(oneof = "WireKind", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    kind: Option<WireKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireKind {
    #[prost(message, tag = "3")]
    Renew(WireRenew),
    #[prost(message, tag = "4")]
    Renewed(WireRenewed),
    #[prost(message, tag = "5")]
    Recall(WireRecall),
    #[prost(message, tag = "6")]
    Return(WireReturn),
    #[prost(message, tag = "7")]
    Transfer(WireTransfer),
    #[prost(message, tag = "8")]
    Demand(WireDemand),
    #[prost(message, tag = "9")]
    TransferRequest(WireTransferRequest),
    #[prost(message, tag = "10")]
    Shortage(WireShortage),
    #[prost(message, tag = "11")]
    Handoff(WireHandoff),
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireStamp {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    clock: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireLease {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    #[prost(uint32, tag = "2")]
    number: u32,
    #[prost(fixed64, tag = "3")]
    serial: u64,
    #[prost(uint32, tag = "4")]
    hop: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRenew {
    #[prost(message, repeated, tag = "1")]
    leases: Vec<WireLease>,
    #[prost(message, repeated, tag = "2")]
    stats: Vec<WireCallStats>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRenewed {
    #[prost(message, optional, tag = "1")]
    echo: Option<WireStamp>,
    #[prost(message, repeated, tag = "2")]
    ended: Vec<WireLease>,
    #[prost(message, repeated, tag = "3")]
    pending: Vec<WireLease>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRecall {
    #[prost(message, repeated, tag = "1")]
    leases: Vec<WireLease>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireReturnedLease {
    #[prost(message, optional, tag = "1")]
    lease: Option<WireLease>,
    #[prost(uint32, tag = "2")]
    reason: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireReturn {
    #[prost(message, repeated, tag = "1")]
    leases: Vec<WireReturnedLease>,
    #[prost(message, repeated, tag = "2")]
    stats: Vec<WireCallStats>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireCallStats {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    #[prost(uint32, tag = "2")]
    slow: u32,
    #[prost(uint32, tag = "3")]
    total: u32,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireTransferredLease {
    #[prost(message, optional, tag = "1")]
    lease: Option<WireLease>,
    #[prost(uint64, tag = "2")]
    left_us: u64,
    #[prost(bool, tag = "3")]
    single_use: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireTransfer {
    #[prost(message, optional, tag = "1")]
    echo: Option<WireStamp>,
    #[prost(message, repeated, tag = "2")]
    leases: Vec<WireTransferredLease>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireDemand {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    waiting: u32,
    #[prost(uint64, tag = "3")]
    oldest_us: u64,
    #[prost(uint32, tag = "4")]
    spare: u32,
    #[prost(uint32, tag = "5")]
    held: u32,
    #[prost(uint32, tag = "6")]
    idle: u32,
    #[prost(uint32, tag = "7")]
    received: u32,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireTransferRequest {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    to: u64,
    #[prost(message, optional, tag = "3")]
    echo: Option<WireStamp>,
    #[prost(uint32, tag = "4")]
    count: u32,
    #[prost(uint64, tag = "5")]
    oldest_us: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireShortage {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(bool, tag = "2")]
    active: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHandoff {
    #[prost(message, repeated, tag = "1")]
    handoffs: Vec<WireEndpointHandoff>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireEndpointHandoff {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    #[prost(uint64, tag = "2")]
    fence_us: u64,
    #[prost(uint32, tag = "3")]
    cap: u32,
    #[prost(message, repeated, tag = "4")]
    leases: Vec<WireHandoffLease>,
    #[prost(uint64, tag = "5")]
    revision: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireHandoffLease {
    #[prost(message, optional, tag = "1")]
    lease: Option<WireLease>,
    #[prost(fixed64, tag = "2")]
    holder: u64,
    #[prost(uint64, tag = "3")]
    left_us: u64,
}

impl From<&SlotMessage> for WireSlots {
    fn from(message: &SlotMessage) -> WireSlots {
        WireSlots {
            incarnation: message.stamp.incarnation,
            clock: message.stamp.clock,
            kind: Some(WireKind::from(&message.body)),
        }
    }
}

impl From<&SlotBody> for WireKind {
    fn from(body: &SlotBody) -> WireKind {
        match body {
            SlotBody::Renew { leases, stats } => WireKind::Renew(WireRenew {
                leases: leases.iter().map(WireLease::from).collect(),
                stats: stats.iter().map(WireCallStats::from).collect(),
            }),
            SlotBody::Renewed {
                echo,
                ended,
                pending,
            } => WireKind::Renewed(WireRenewed {
                echo: Some(echo.into()),
                ended: ended.iter().map(WireLease::from).collect(),
                pending: pending.iter().map(WireLease::from).collect(),
            }),
            SlotBody::Recall(leases) => WireKind::Recall(WireRecall {
                leases: leases.iter().map(WireLease::from).collect(),
            }),
            SlotBody::Return { leases, stats } => WireKind::Return(WireReturn {
                leases: leases.iter().map(WireReturnedLease::from).collect(),
                stats: stats.iter().map(WireCallStats::from).collect(),
            }),
            SlotBody::Transfer { echo, leases } => WireKind::Transfer(WireTransfer {
                echo: Some(echo.into()),
                leases: leases.iter().map(WireTransferredLease::from).collect(),
            }),
            SlotBody::Demand(demand) => WireKind::Demand(demand.into()),
            SlotBody::TransferRequest {
                service,
                to,
                echo,
                count,
                oldest,
            } => WireKind::TransferRequest(WireTransferRequest {
                service: service.0,
                to: to.0,
                echo: Some(echo.into()),
                count: *count,
                oldest_us: micros(*oldest),
            }),
            SlotBody::Shortage { service, active } => WireKind::Shortage(WireShortage {
                service: service.0,
                active: *active,
            }),
            SlotBody::Handoff(handoffs) => WireKind::Handoff(WireHandoff {
                handoffs: handoffs.iter().map(WireEndpointHandoff::from).collect(),
            }),
        }
    }
}

impl From<&Stamp> for WireStamp {
    fn from(stamp: &Stamp) -> WireStamp {
        WireStamp {
            incarnation: stamp.incarnation,
            clock: stamp.clock,
        }
    }
}

impl From<&LeaseKey> for WireLease {
    fn from(lease: &LeaseKey) -> WireLease {
        WireLease {
            endpoint: lease.slot.endpoint.0,
            number: lease.slot.number,
            serial: lease.serial,
            hop: lease.hop,
        }
    }
}

impl From<&CallStats> for WireCallStats {
    fn from(stats: &CallStats) -> WireCallStats {
        WireCallStats {
            endpoint: stats.endpoint.0,
            slow: stats.slow,
            total: stats.total,
        }
    }
}

impl From<&ReturnedLease> for WireReturnedLease {
    fn from(returned: &ReturnedLease) -> WireReturnedLease {
        let reason = match returned.reason {
            Reason::Idle => 0,
            Reason::Shed => 1,
            Reason::Unreachable => 2,
        };
        WireReturnedLease {
            lease: Some((&returned.lease).into()),
            reason,
        }
    }
}

impl From<&TransferredLease> for WireTransferredLease {
    fn from(transferred: &TransferredLease) -> WireTransferredLease {
        WireTransferredLease {
            lease: Some((&transferred.lease).into()),
            left_us: micros(transferred.left),
            single_use: transferred.single_use,
        }
    }
}

impl From<&Demand> for WireDemand {
    fn from(demand: &Demand) -> WireDemand {
        WireDemand {
            service: demand.service.0,
            waiting: demand.waiting,
            oldest_us: micros(demand.oldest),
            spare: demand.spare,
            held: demand.held,
            idle: demand.idle,
            received: demand.received,
        }
    }
}

impl From<&EndpointHandoff> for WireEndpointHandoff {
    fn from(handoff: &EndpointHandoff) -> WireEndpointHandoff {
        let leases = handoff.leases.iter().map(|entry| WireHandoffLease {
            lease: Some((&entry.lease).into()),
            holder: entry.holder.0,
            left_us: micros(entry.left),
        });
        WireEndpointHandoff {
            endpoint: handoff.endpoint.0,
            revision: handoff.revision,
            fence_us: micros(handoff.fence),
            cap: handoff.cap,
            leases: leases.collect(),
        }
    }
}

impl TryFrom<WireSlots> for SlotMessage {
    type Error = ProtocolError;

    fn try_from(wire: WireSlots) -> Result<SlotMessage, ProtocolError> {
        let kind = wire.kind.ok_or(ProtocolError::Missing("kind"))?;
        Ok(SlotMessage {
            stamp: Stamp {
                incarnation: wire.incarnation,
                clock: wire.clock,
            },
            body: kind.try_into()?,
        })
    }
}

impl TryFrom<WireKind> for SlotBody {
    type Error = ProtocolError;

    fn try_from(kind: WireKind) -> Result<SlotBody, ProtocolError> {
        Ok(match kind {
            WireKind::Renew(w) => SlotBody::Renew {
                leases: decode_list(w.leases)?,
                stats: decode_list(w.stats)?,
            },
            WireKind::Renewed(w) => SlotBody::Renewed {
                echo: decode_stamp(w.echo)?,
                ended: decode_list(w.ended)?,
                pending: decode_list(w.pending)?,
            },
            WireKind::Recall(w) => SlotBody::Recall(decode_list(w.leases)?),
            WireKind::Return(w) => SlotBody::Return {
                leases: decode_list(w.leases)?,
                stats: decode_list(w.stats)?,
            },
            WireKind::Transfer(w) => SlotBody::Transfer {
                echo: decode_stamp(w.echo)?,
                leases: decode_list(w.leases)?,
            },
            WireKind::Demand(w) => SlotBody::Demand(w.into()),
            WireKind::TransferRequest(w) => SlotBody::TransferRequest {
                service: ServiceKey(w.service),
                to: HostKey(w.to),
                echo: decode_stamp(w.echo)?,
                count: w.count.min(MAX_SLOT_NUMBER),
                oldest: Duration::from_micros(w.oldest_us),
            },
            WireKind::Shortage(w) => SlotBody::Shortage {
                service: ServiceKey(w.service),
                active: w.active,
            },
            WireKind::Handoff(w) => SlotBody::Handoff(decode_list(w.handoffs)?),
        })
    }
}

impl TryFrom<WireLease> for LeaseKey {
    type Error = ProtocolError;

    fn try_from(wire: WireLease) -> Result<LeaseKey, ProtocolError> {
        if wire.number > MAX_SLOT_NUMBER {
            return Err(ProtocolError::TooLong("slot number"));
        }
        Ok(LeaseKey {
            slot: SlotKey {
                endpoint: EndpointKey(wire.endpoint),
                number: wire.number,
            },
            serial: wire.serial,
            hop: wire.hop,
        })
    }
}

impl TryFrom<WireCallStats> for CallStats {
    type Error = ProtocolError;

    fn try_from(wire: WireCallStats) -> Result<CallStats, ProtocolError> {
        Ok(CallStats {
            endpoint: EndpointKey(wire.endpoint),
            slow: wire.slow.min(wire.total),
            total: wire.total,
        })
    }
}

impl TryFrom<WireReturnedLease> for ReturnedLease {
    type Error = ProtocolError;

    fn try_from(wire: WireReturnedLease) -> Result<ReturnedLease, ProtocolError> {
        let reason = match wire.reason {
            0 => Reason::Idle,
            1 => Reason::Shed,
            2 => Reason::Unreachable,
            _ => return Err(ProtocolError::Missing("reason")),
        };
        let lease = decode_lease(wire.lease)?;
        Ok(ReturnedLease { lease, reason })
    }
}

impl TryFrom<WireTransferredLease> for TransferredLease {
    type Error = ProtocolError;

    fn try_from(wire: WireTransferredLease) -> Result<TransferredLease, ProtocolError> {
        Ok(TransferredLease {
            lease: decode_lease(wire.lease)?,
            left: Duration::from_micros(wire.left_us).min(LEASE_TERM),
            single_use: wire.single_use,
        })
    }
}

impl TryFrom<WireEndpointHandoff> for EndpointHandoff {
    type Error = ProtocolError;

    fn try_from(wire: WireEndpointHandoff) -> Result<EndpointHandoff, ProtocolError> {
        Ok(EndpointHandoff {
            endpoint: EndpointKey(wire.endpoint),
            revision: wire.revision,
            fence: Duration::from_micros(wire.fence_us).min(FENCE_DURATION),
            cap: wire.cap,
            leases: decode_list(wire.leases)?,
        })
    }
}

impl TryFrom<WireHandoffLease> for HandoffLease {
    type Error = ProtocolError;

    fn try_from(wire: WireHandoffLease) -> Result<HandoffLease, ProtocolError> {
        Ok(HandoffLease {
            lease: decode_lease(wire.lease)?,
            holder: HostKey(wire.holder),
            left: Duration::from_micros(wire.left_us).min(LEASE_TERM),
        })
    }
}

impl From<WireDemand> for Demand {
    fn from(wire: WireDemand) -> Demand {
        Demand {
            service: ServiceKey(wire.service),
            waiting: wire.waiting,
            oldest: Duration::from_micros(wire.oldest_us),
            spare: wire.spare,
            held: wire.held,
            idle: wire.idle,
            received: wire.received,
        }
    }
}

fn decode_list<W, T>(wire: Vec<W>) -> Result<Vec<T>, ProtocolError>
where
    T: TryFrom<W, Error = ProtocolError>,
{
    if wire.len() > MAX_ENTRIES {
        return Err(ProtocolError::TooLong("list"));
    }
    wire.into_iter().map(T::try_from).collect()
}

fn decode_stamp(wire: Option<WireStamp>) -> Result<Stamp, ProtocolError> {
    let wire = wire.ok_or(ProtocolError::Missing("stamp"))?;
    Ok(Stamp {
        incarnation: wire.incarnation,
        clock: wire.clock,
    })
}

fn decode_lease(wire: Option<WireLease>) -> Result<LeaseKey, ProtocolError> {
    wire.ok_or(ProtocolError::Missing("lease"))?.try_into()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
