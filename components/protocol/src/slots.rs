//! The wire form of messages about slots.

use std::time::Duration;

use coordination::slots::message::{
    Demand, Estate, EstateLease, Handed, LeaseKey, Reason, Returned, Seen, SlotBody, SlotKey,
    SlotMessage, Stamp,
};
use coordination::slots::terms::{FENCE, TERM};
use state::{EndpointKey, HostKey, ServiceKey};

use crate::peer::ProtocolError;

/// The most leases in one message; more can't be out at the size this is made for.
const LEASES: usize = 4_096;
/// The highest number of a slot.
const NUMBER: u32 = 1_024;

/// One message about slots, as it travels.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireSlots {
    #[prost(fixed64, tag = "1")]
    life: u64,
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
    Hand(WireHand),
    #[prost(message, tag = "8")]
    Demand(WireDemand),
    #[prost(message, tag = "9")]
    Yield(WireYield),
    #[prost(message, tag = "10")]
    Pulse(WirePulse),
    #[prost(message, tag = "11")]
    Handoff(WireHandoff),
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireStamp {
    #[prost(fixed64, tag = "1")]
    life: u64,
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
    seen: Vec<WireSeen>,
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
struct WireReturned {
    #[prost(message, optional, tag = "1")]
    lease: Option<WireLease>,
    #[prost(uint32, tag = "2")]
    reason: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireReturn {
    #[prost(message, repeated, tag = "1")]
    leases: Vec<WireReturned>,
    #[prost(message, repeated, tag = "2")]
    seen: Vec<WireSeen>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireSeen {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    #[prost(uint32, tag = "2")]
    over: u32,
    #[prost(uint32, tag = "3")]
    total: u32,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireHanded {
    #[prost(message, optional, tag = "1")]
    lease: Option<WireLease>,
    #[prost(uint64, tag = "2")]
    left_us: u64,
    #[prost(bool, tag = "3")]
    once: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHand {
    #[prost(message, optional, tag = "1")]
    echo: Option<WireStamp>,
    #[prost(message, repeated, tag = "2")]
    leases: Vec<WireHanded>,
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
    got: u32,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireYield {
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
struct WirePulse {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(bool, tag = "2")]
    hungry: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHandoff {
    #[prost(message, repeated, tag = "1")]
    estates: Vec<WireEstate>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireEstate {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    #[prost(uint64, tag = "2")]
    fence_us: u64,
    #[prost(uint32, tag = "3")]
    cap: u32,
    #[prost(message, repeated, tag = "4")]
    leases: Vec<WireEstateLease>,
    #[prost(uint64, tag = "5")]
    revision: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireEstateLease {
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
            life: message.stamp.life,
            clock: message.stamp.clock,
            kind: Some(WireKind::from(&message.body)),
        }
    }
}

impl From<&SlotBody> for WireKind {
    fn from(body: &SlotBody) -> WireKind {
        match body {
            SlotBody::Renew { leases, seen } => WireKind::Renew(WireRenew {
                leases: leases.iter().map(WireLease::from).collect(),
                seen: seen.iter().map(WireSeen::from).collect(),
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
            SlotBody::Return { leases, seen } => WireKind::Return(WireReturn {
                leases: leases.iter().map(WireReturned::from).collect(),
                seen: seen.iter().map(WireSeen::from).collect(),
            }),
            SlotBody::Hand { echo, leases } => WireKind::Hand(WireHand {
                echo: Some(echo.into()),
                leases: leases.iter().map(WireHanded::from).collect(),
            }),
            SlotBody::Demand(demand) => WireKind::Demand(demand.into()),
            SlotBody::Yield {
                service,
                to,
                echo,
                count,
                oldest,
            } => WireKind::Yield(WireYield {
                service: service.0,
                to: to.0,
                echo: Some(echo.into()),
                count: *count,
                oldest_us: micros(*oldest),
            }),
            SlotBody::Pulse { service, hungry } => WireKind::Pulse(WirePulse {
                service: service.0,
                hungry: *hungry,
            }),
            SlotBody::Handoff(estates) => WireKind::Handoff(WireHandoff {
                estates: estates.iter().map(WireEstate::from).collect(),
            }),
        }
    }
}

impl From<&Stamp> for WireStamp {
    fn from(stamp: &Stamp) -> WireStamp {
        WireStamp {
            life: stamp.life,
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

impl From<&Seen> for WireSeen {
    fn from(seen: &Seen) -> WireSeen {
        WireSeen {
            endpoint: seen.endpoint.0,
            over: seen.over,
            total: seen.total,
        }
    }
}

impl From<&Returned> for WireReturned {
    fn from(returned: &Returned) -> WireReturned {
        let reason = match returned.reason {
            Reason::Idle => 0,
            Reason::Shed => 1,
            Reason::Unreachable => 2,
        };
        WireReturned {
            lease: Some((&returned.lease).into()),
            reason,
        }
    }
}

impl From<&Handed> for WireHanded {
    fn from(handed: &Handed) -> WireHanded {
        WireHanded {
            lease: Some((&handed.lease).into()),
            left_us: micros(handed.left),
            once: handed.once,
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
            got: demand.got,
        }
    }
}

impl From<&Estate> for WireEstate {
    fn from(estate: &Estate) -> WireEstate {
        let leases = estate.leases.iter().map(|entry| WireEstateLease {
            lease: Some((&entry.lease).into()),
            holder: entry.holder.0,
            left_us: micros(entry.left),
        });
        WireEstate {
            endpoint: estate.endpoint.0,
            revision: estate.revision,
            fence_us: micros(estate.fence),
            cap: estate.cap,
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
                life: wire.life,
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
                leases: list(w.leases)?,
                seen: list(w.seen)?,
            },
            WireKind::Renewed(w) => SlotBody::Renewed {
                echo: stamp(w.echo)?,
                ended: list(w.ended)?,
                pending: list(w.pending)?,
            },
            WireKind::Recall(w) => SlotBody::Recall(list(w.leases)?),
            WireKind::Return(w) => SlotBody::Return {
                leases: list(w.leases)?,
                seen: list(w.seen)?,
            },
            WireKind::Hand(w) => SlotBody::Hand {
                echo: stamp(w.echo)?,
                leases: list(w.leases)?,
            },
            WireKind::Demand(w) => SlotBody::Demand(w.into()),
            WireKind::Yield(w) => SlotBody::Yield {
                service: ServiceKey(w.service),
                to: HostKey(w.to),
                echo: stamp(w.echo)?,
                count: w.count.min(NUMBER),
                oldest: Duration::from_micros(w.oldest_us),
            },
            WireKind::Pulse(w) => SlotBody::Pulse {
                service: ServiceKey(w.service),
                hungry: w.hungry,
            },
            WireKind::Handoff(w) => SlotBody::Handoff(list(w.estates)?),
        })
    }
}

impl TryFrom<WireLease> for LeaseKey {
    type Error = ProtocolError;

    fn try_from(wire: WireLease) -> Result<LeaseKey, ProtocolError> {
        if wire.number > NUMBER {
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

impl TryFrom<WireSeen> for Seen {
    type Error = ProtocolError;

    fn try_from(wire: WireSeen) -> Result<Seen, ProtocolError> {
        Ok(Seen {
            endpoint: EndpointKey(wire.endpoint),
            over: wire.over.min(wire.total),
            total: wire.total,
        })
    }
}

impl TryFrom<WireReturned> for Returned {
    type Error = ProtocolError;

    fn try_from(wire: WireReturned) -> Result<Returned, ProtocolError> {
        let reason = match wire.reason {
            0 => Reason::Idle,
            1 => Reason::Shed,
            2 => Reason::Unreachable,
            _ => return Err(ProtocolError::Missing("reason")),
        };
        let lease = lease(wire.lease)?;
        Ok(Returned { lease, reason })
    }
}

impl TryFrom<WireHanded> for Handed {
    type Error = ProtocolError;

    fn try_from(wire: WireHanded) -> Result<Handed, ProtocolError> {
        Ok(Handed {
            lease: lease(wire.lease)?,
            left: Duration::from_micros(wire.left_us).min(TERM),
            once: wire.once,
        })
    }
}

impl TryFrom<WireEstate> for Estate {
    type Error = ProtocolError;

    fn try_from(wire: WireEstate) -> Result<Estate, ProtocolError> {
        Ok(Estate {
            endpoint: EndpointKey(wire.endpoint),
            revision: wire.revision,
            fence: Duration::from_micros(wire.fence_us).min(FENCE),
            cap: wire.cap,
            leases: list(wire.leases)?,
        })
    }
}

impl TryFrom<WireEstateLease> for EstateLease {
    type Error = ProtocolError;

    fn try_from(wire: WireEstateLease) -> Result<EstateLease, ProtocolError> {
        Ok(EstateLease {
            lease: lease(wire.lease)?,
            holder: HostKey(wire.holder),
            left: Duration::from_micros(wire.left_us).min(TERM),
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
            got: wire.got,
        }
    }
}

fn list<W, T>(wire: Vec<W>) -> Result<Vec<T>, ProtocolError>
where
    T: TryFrom<W, Error = ProtocolError>,
{
    if wire.len() > LEASES {
        return Err(ProtocolError::TooLong("list"));
    }
    wire.into_iter().map(T::try_from).collect()
}

fn stamp(wire: Option<WireStamp>) -> Result<Stamp, ProtocolError> {
    let wire = wire.ok_or(ProtocolError::Missing("stamp"))?;
    Ok(Stamp {
        life: wire.life,
        clock: wire.clock,
    })
}

fn lease(wire: Option<WireLease>) -> Result<LeaseKey, ProtocolError> {
    wire.ok_or(ProtocolError::Missing("lease"))?.try_into()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
