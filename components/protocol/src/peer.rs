//! The envelope of all messages between two entry hosts.

use bytes::Bytes;
use coordination::claims::{Answer, ClaimMessage, Ending};
use coordination::members::MemberMessage;
use coordination::slots::message::SlotMessage;
use derives::{tag, value};
use prost::Message;
use thiserror::Error;

use crate::claim::WireClaim;
use crate::member::WireMember;
use crate::slots::WireSlots;

/// The protocol version of the messages between entry hosts.
///
/// Messages of any other version are refused: misread, they could for instance
/// free a slot that is in use.
pub const VERSION: u32 = 1;

/// Maximum size in bytes of a message from a host that is not yet known to be a member.
pub const HELLO_LIMIT: usize = 1_024;

/// Maximum size in bytes of a message from a member.
///
/// Large enough for a whole configuration, with room for its growth.
pub const MESSAGE_LIMIT: usize = 1_024 * 1_024;

/// Maximum length of a host's name in bytes.
pub const NAME_LIMIT: usize = 255;

/// A message between two entry hosts.
#[value]
pub enum PeerMessage {
    /// The first message on a link, in each direction.
    Hello(Hello),
    /// The answer to a rejected hello; the sender closes the link after it.
    Refused(Refused),
    /// A message of the failure detector.
    Member(MemberMessage),
    /// A message about a claim of an idempotency key.
    Claim(ClaimMessage),
    /// Requests the receiver's configuration; hosts that are not yet members may send it.
    AskConfig,
    /// A configuration that is newer than the receiver's.
    Config(ConfigOffer),
    /// A message about slots and their leases.
    Slots(SlotMessage),
}

/// Identifies the sender at the start of a link.
#[value]
pub struct Hello {
    /// The sender's name.
    pub name: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The name of the host that the sender means to connect to.
    pub to: String,
    /// The revision of the sender's configuration.
    pub revision: u64,
    /// The log offset up to which the sender has applied configuration records.
    pub offset: u64,
}

/// Rejects a hello.
#[value]
pub struct Refused {
    /// Why the hello was rejected.
    pub reason: RefusedReason,
    /// The revision of the rejecting host's configuration.
    pub revision: u64,
    /// The log offset up to which the rejecting host has applied configuration records.
    pub offset: u64,
}

/// Why a hello was rejected.
#[tag]
pub enum RefusedReason {
    /// The configuration has no member of this name and incarnation.
    NoMember,
    /// The sender meant to connect to another host.
    OtherHost,
    /// The first message on the link was not a hello.
    NoHello,
}

/// A configuration that one host sends to another.
#[value]
pub struct ConfigOffer {
    /// The configuration's revision.
    pub revision: u64,
    /// The log offset up to which its records are applied.
    pub offset: u64,
    /// The configuration, encoded as a snapshot record of the log.
    pub body: Bytes,
}

/// Why bytes can't be decoded as a message or record.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The bytes are truncated or damaged.
    #[error("the message can't be decoded: {0}")]
    Damaged(String),
    /// The sender uses another protocol version.
    #[error(
        "the message has version {0}, this host uses {VERSION}: run the same release on all hosts"
    )]
    Version(u32),
    /// A required field is missing, or its value is unknown.
    #[error("the message has no valid {0}")]
    Missing(&'static str),
    /// A field is longer than allowed.
    #[error("the message's {0} is too long")]
    TooLong(&'static str),
}

impl PeerMessage {
    /// Returns whether the message is bulk data, which is sent after all other queued messages.
    ///
    /// A configuration of some hundred kilobytes that is sent ahead of a heartbeat
    /// would delay the heartbeat until the receiver suspects a running host.
    pub fn is_bulk(&self) -> bool {
        match self {
            PeerMessage::Claim(ClaimMessage::Answer(_, answer)) => {
                matches!(answer, Answer::Known(_))
            }
            PeerMessage::Claim(ClaimMessage::End(_, _, ending)) => {
                matches!(ending, Ending::Answered(_))
            }
            other => matches!(other, PeerMessage::Config(_)),
        }
    }

    /// Returns the message's kind for the `kind` label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Hello(_) => "hello",
            PeerMessage::Refused(_) => "refused",
            PeerMessage::Member(_) => "member",
            PeerMessage::Claim(_) => "claim",
            PeerMessage::AskConfig => "ask_config",
            PeerMessage::Config(_) => "config",
            PeerMessage::Slots(_) => "slots",
        }
    }

    /// Encodes the message, without the length prefix of its frame.
    pub fn encode(&self) -> Bytes {
        let envelope = Envelope {
            version: VERSION,
            body: Some(Body::from(self)),
        };
        envelope.encode_to_vec().into()
    }

    /// Decodes a message from the payload of one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid message of this version.
    pub fn decode(bytes: Bytes) -> Result<PeerMessage, ProtocolError> {
        let envelope =
            Envelope::decode(bytes).map_err(|e| ProtocolError::Damaged(e.to_string()))?;
        if envelope.version != VERSION {
            return Err(ProtocolError::Version(envelope.version));
        }
        let body = envelope.body.ok_or(ProtocolError::Missing("body"))?;
        body.try_into()
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Body {
    #[prost(message, tag = "2")]
    Hello(WireHello),
    #[prost(message, tag = "3")]
    Refused(WireRefused),
    #[prost(message, tag = "4")]
    Member(WireMember),
    #[prost(message, tag = "5")]
    Config(WireConfig),
    #[prost(message, tag = "6")]
    Slots(WireSlots),
    #[prost(message, tag = "7")]
    AskConfig(WireEmpty),
    #[prost(message, tag = "8")]
    Claim(WireClaim),
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireEmpty {}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHello {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    to: String,
    #[prost(uint64, tag = "4")]
    revision: u64,
    #[prost(uint64, tag = "5")]
    offset: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRefused {
    #[prost(uint32, tag = "1")]
    reason: u32,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    offset: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireConfig {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint64, tag = "2")]
    offset: u64,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
}

impl From<&PeerMessage> for Body {
    fn from(message: &PeerMessage) -> Body {
        match message {
            PeerMessage::Hello(h) => Body::Hello(WireHello {
                name: h.name.clone(),
                incarnation: h.incarnation,
                to: h.to.clone(),
                revision: h.revision,
                offset: h.offset,
            }),
            PeerMessage::Refused(r) => Body::Refused(WireRefused {
                reason: encode_reason(r.reason),
                revision: r.revision,
                offset: r.offset,
            }),
            PeerMessage::Member(m) => Body::Member(m.into()),
            PeerMessage::Claim(c) => Body::Claim(c.into()),
            PeerMessage::AskConfig => Body::AskConfig(WireEmpty {}),
            PeerMessage::Config(c) => Body::Config(WireConfig {
                revision: c.revision,
                offset: c.offset,
                body: c.body.clone(),
            }),
            PeerMessage::Slots(m) => Body::Slots(m.into()),
        }
    }
}

impl TryFrom<Body> for PeerMessage {
    type Error = ProtocolError;

    fn try_from(body: Body) -> Result<PeerMessage, ProtocolError> {
        match body {
            Body::Hello(h) if h.name.len() > NAME_LIMIT || h.to.len() > NAME_LIMIT => {
                Err(ProtocolError::TooLong("name"))
            }
            Body::Hello(h) => Ok(PeerMessage::Hello(Hello {
                name: h.name,
                incarnation: h.incarnation,
                to: h.to,
                revision: h.revision,
                offset: h.offset,
            })),
            Body::Refused(r) => Ok(PeerMessage::Refused(Refused {
                reason: decode_reason(r.reason)?,
                revision: r.revision,
                offset: r.offset,
            })),
            Body::Member(m) => Ok(PeerMessage::Member(m.try_into()?)),
            Body::Claim(c) => Ok(PeerMessage::Claim(c.try_into()?)),
            Body::AskConfig(_) => Ok(PeerMessage::AskConfig),
            Body::Config(c) => Ok(PeerMessage::Config(ConfigOffer {
                revision: c.revision,
                offset: c.offset,
                body: c.body,
            })),
            Body::Slots(m) => Ok(PeerMessage::Slots(m.try_into()?)),
        }
    }
}

fn encode_reason(reason: RefusedReason) -> u32 {
    match reason {
        RefusedReason::NoMember => 1,
        RefusedReason::OtherHost => 2,
        RefusedReason::NoHello => 3,
    }
}

fn decode_reason(number: u32) -> Result<RefusedReason, ProtocolError> {
    match number {
        1 => Ok(RefusedReason::NoMember),
        2 => Ok(RefusedReason::OtherHost),
        3 => Ok(RefusedReason::NoHello),
        _ => Err(ProtocolError::Missing("reason")),
    }
}
