//! The wire format of the failure detector's messages.

use coordination::members::{
    Gossip, GossipEvent, Heartbeat, HeartbeatAck, LivenessQuery, LivenessReply, MemberMessage,
};
use state::HostKey;

use crate::peer::ProtocolError;

/// Encoded form of a message of the failure detector.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireMember {
    #[prost(oneof = "WireKind", tags = "1, 2, 3, 4, 5")]
    kind: Option<WireKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireKind {
    #[prost(message, tag = "1")]
    Heartbeat(WireHeartbeat),
    #[prost(message, tag = "2")]
    HeartbeatAck(WireHeartbeatAck),
    #[prost(message, tag = "3")]
    LivenessQuery(WireLivenessQuery),
    #[prost(message, tag = "4")]
    LivenessReply(WireLivenessReply),
    #[prost(message, tag = "5")]
    Gossip(WireGossip),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHeartbeat {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(uint64, tag = "3")]
    epoch: u64,
    #[prost(uint64, tag = "4")]
    offset: u64,
    #[prost(bool, tag = "5")]
    wants_ack: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHeartbeatAck {
    #[prost(uint64, tag = "1")]
    sequence: u64,
    #[prost(uint64, tag = "2")]
    offset: u64,
    #[prost(uint64, optional, tag = "3")]
    suspected: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireLivenessQuery {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    epoch: u64,
    #[prost(uint64, tag = "4")]
    silent_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireLivenessReply {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    ago_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireGossip {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(oneof = "WireGossipEvent", tags = "3, 4, 5")]
    event: Option<WireGossipEvent>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireSuspected {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(uint64, tag = "2")]
    round: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Oneof)]
enum WireGossipEvent {
    #[prost(message, tag = "3")]
    Suspected(WireSuspected),
    #[prost(uint64, tag = "4")]
    Alive(u64),
    #[prost(uint64, tag = "5")]
    Applied(u64),
}

impl From<&MemberMessage> for WireMember {
    fn from(message: &MemberMessage) -> WireMember {
        let kind = match message {
            MemberMessage::Heartbeat(b) => WireKind::Heartbeat(WireHeartbeat {
                incarnation: b.incarnation,
                sequence: b.sequence,
                epoch: b.epoch,
                offset: b.offset,
                wants_ack: b.wants_ack,
            }),
            MemberMessage::HeartbeatAck(a) => WireKind::HeartbeatAck(WireHeartbeatAck {
                sequence: a.sequence,
                offset: a.offset,
                suspected: a.suspected,
            }),
            MemberMessage::LivenessQuery(d) => WireKind::LivenessQuery(WireLivenessQuery {
                host: d.host.0,
                incarnation: d.incarnation,
                epoch: d.epoch,
                silent_ms: d.silent_ms,
            }),
            MemberMessage::LivenessReply(h) => WireKind::LivenessReply(WireLivenessReply {
                host: h.host.0,
                incarnation: h.incarnation,
                ago_ms: h.ago_ms,
            }),
            MemberMessage::Gossip(r) => WireKind::Gossip(WireGossip {
                host: r.host.0,
                incarnation: r.incarnation,
                event: Some(encode_event(r.event)),
            }),
        };
        WireMember { kind: Some(kind) }
    }
}

impl TryFrom<WireMember> for MemberMessage {
    type Error = ProtocolError;

    fn try_from(wire: WireMember) -> Result<MemberMessage, ProtocolError> {
        let message = match wire.kind.ok_or(ProtocolError::Missing("member kind"))? {
            WireKind::Heartbeat(b) => MemberMessage::Heartbeat(Heartbeat {
                incarnation: b.incarnation,
                sequence: b.sequence,
                epoch: b.epoch,
                offset: b.offset,
                wants_ack: b.wants_ack,
            }),
            WireKind::HeartbeatAck(a) => MemberMessage::HeartbeatAck(HeartbeatAck {
                sequence: a.sequence,
                offset: a.offset,
                suspected: a.suspected,
            }),
            WireKind::LivenessQuery(d) => MemberMessage::LivenessQuery(LivenessQuery {
                host: HostKey(d.host),
                incarnation: d.incarnation,
                epoch: d.epoch,
                silent_ms: d.silent_ms,
            }),
            WireKind::LivenessReply(h) => MemberMessage::LivenessReply(LivenessReply {
                host: HostKey(h.host),
                incarnation: h.incarnation,
                ago_ms: h.ago_ms,
            }),
            WireKind::Gossip(r) => MemberMessage::Gossip(Gossip {
                host: HostKey(r.host),
                incarnation: r.incarnation,
                event: decode_event(r.event.ok_or(ProtocolError::Missing("gossip event"))?),
            }),
        };
        Ok(message)
    }
}

fn encode_event(event: GossipEvent) -> WireGossipEvent {
    match event {
        GossipEvent::Suspected { epoch, round } => {
            WireGossipEvent::Suspected(WireSuspected { epoch, round })
        }
        GossipEvent::Alive { epoch } => WireGossipEvent::Alive(epoch),
        GossipEvent::Applied { offset } => WireGossipEvent::Applied(offset),
    }
}

fn decode_event(wire: WireGossipEvent) -> GossipEvent {
    match wire {
        WireGossipEvent::Suspected(WireSuspected { epoch, round }) => {
            GossipEvent::Suspected { epoch, round }
        }
        WireGossipEvent::Alive(epoch) => GossipEvent::Alive { epoch },
        WireGossipEvent::Applied(offset) => GossipEvent::Applied { offset },
    }
}
