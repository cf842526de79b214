//! The envelope of every message between two entry hosts.

use bytes::Bytes;
use coordination::claims::{Answer, ClaimMessage, Ending};
use coordination::members::MemberMessage;
use coordination::slots::message::SlotMessage;
use derives::{tag, value};
use prost::Message;
use thiserror::Error;

use crate::claim::WireClaim;
use crate::heartbeat::WireMember;
use crate::slots::WireSlots;

/// The version of the messages between entry hosts.
///
/// A host of another version is refused rather than half understood.
pub const VERSION: u32 = 1;

/// The longest message before the sender is known to be a member, in bytes.
pub const HELLO_LIMIT: usize = 1_024;

/// The longest message of a member, in bytes: a whole configuration with room to grow.
pub const MESSAGE_LIMIT: usize = 1_024 * 1_024;

/// The longest name of a host, in bytes.
pub const NAME_LIMIT: usize = 255;

/// One message between two entry hosts.
#[value]
pub enum PeerMessage {
    /// The first message on a link, each way.
    Hello(Hello),
    /// The answer to a hello that was not accepted; the link ends with it.
    Refused(Refused),
    /// A message of the failure detector.
    Member(MemberMessage),
    /// A message about claims of idempotency keys.
    Claim(ClaimMessage),
    /// Asks for the sender's configuration; also from a host that is no member yet.
    AskConfig,
    /// A newer configuration, handed over.
    Config(ConfigOffer),
    /// A message about slots.
    Slots(SlotMessage),
}

/// Says who speaks on a link.
#[value]
pub struct Hello {
    /// The speaker's name.
    pub name: String,
    /// The speaker's incarnation.
    pub incarnation: u64,
    /// The name of the host the speaker means to reach.
    pub to: String,
    /// The revision of the speaker's configuration.
    pub revision: u64,
    /// The log's offset up to which the speaker has folded the configuration.
    pub offset: u64,
}

/// Says why a hello was not accepted.
#[value]
pub struct Refused {
    /// The reason.
    pub reason: RefusedReason,
    /// The revision of the refusing host's configuration.
    pub revision: u64,
    /// The offset of the refusing host's configuration.
    pub offset: u64,
}

/// Why a hello was not accepted.
#[tag]
pub enum RefusedReason {
    /// The speaker, in this incarnation, is no member of the configuration.
    NoMember,
    /// The speaker meant another host.
    OtherHost,
    /// The first message was no hello.
    NoHello,
}

/// A configuration handed from one host to another.
#[value]
pub struct ConfigOffer {
    /// Its revision.
    pub revision: u64,
    /// Its offset.
    pub offset: u64,
    /// The configuration in the form of the log's snapshot record.
    pub body: Bytes,
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The bytes are cut or damaged.
    #[error("the message can't be read: {0}")]
    Damaged(String),
    /// The sender speaks another version.
    #[error(
        "the message is of version {0}, this host speaks {VERSION}: run one release on all hosts"
    )]
    Version(u32),
    /// A required part is missing, or its kind is not known.
    #[error("the message lacks its {0}")]
    Missing(&'static str),
    /// A part is longer than allowed.
    #[error("the message's {0} is too long")]
    TooLong(&'static str),
}

impl PeerMessage {
    /// Returns whether the message may wait while others go first.
    ///
    /// A configuration of some hundred kilobytes ahead of a heartbeat would
    /// make a living host look lost.
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

    /// Returns the message's kind, as metrics name it.
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

    /// Returns the message as it travels, without the frame's length.
    pub fn encode(&self) -> Bytes {
        let envelope = Envelope {
            version: VERSION,
            body: Some(Body::from(self)),
        };
        envelope.encode_to_vec().into()
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Says what is wrong with bytes that are no message of this version.
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
                reason: reason_number(r.reason),
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
                reason: reason(r.reason)?,
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

fn reason_number(reason: RefusedReason) -> u32 {
    match reason {
        RefusedReason::NoMember => 1,
        RefusedReason::OtherHost => 2,
        RefusedReason::NoHello => 3,
    }
}

fn reason(number: u32) -> Result<RefusedReason, ProtocolError> {
    match number {
        1 => Ok(RefusedReason::NoMember),
        2 => Ok(RefusedReason::OtherHost),
        3 => Ok(RefusedReason::NoHello),
        _ => Err(ProtocolError::Missing("reason")),
    }
}
