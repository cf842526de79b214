//! Messages by which entry hosts share what they read from the platform's store.
//!
//! Each message is sent as one datagram, or as several fragments with a datagram
//! each if it is too large. A lost datagram costs an additional read of the store
//! and never affects correctness.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coordination::fragments::{Fragment, FragmentRequest, MessageKey};
use coordination::neighbours::Contact;
use derives::{tag, value};
use prost::Message;
use thiserror::Error;

use crate::crash_report::{CrashReport, WireCrashReport};
use crate::envelope::{self, EnvelopeError};
use crate::limit_report::{LimitReport, WireLimitReport};
use crate::observation_report::{ObservationReport, WireObservationReport};
use crate::quota_message::{QuotaMessage, WireQuota};
use crate::record_runs::{self, RunsError};
use crate::rollout_message::{RolloutMessage, WireRollout};
use crate::share_message::{ShareMessage, WireShares};

/// Maximum size in bytes of a message sent in one datagram.
///
/// The limit is well below the maximum payload of a datagram.
pub const DATAGRAM_LIMIT: usize = 16 * 1024;

/// The topic of the store that a message refers to.
#[tag]
pub enum Topic {
    /// The topic that operators write to.
    Operators,
    /// The topic in which endpoints register themselves.
    Endpoints,
}

/// A message between entry hosts, most often between neighbours.
#[derive(Clone, Debug, PartialEq)]
pub enum NeighbourMessage {
    /// Announces the sender.
    Hello(Hello),
    /// Contains records that a host has read from the store.
    Update(RecordUpdate),
    /// Announces that the sender has started to read this topic from the store.
    ReadStarted(Topic),
    /// Reports that the sender failed to read this topic from the store.
    ReadFailed(Topic),
    /// Announces that the sender reads this whole topic, since the store dropped records that
    /// no host had read. It sends what has changed.
    Resync(Topic),
    /// Requests a snapshot of this topic, since the sender has no records of it and can't
    /// read the store.
    SnapshotRequest(Topic),
    /// Contains the newest record of each key of a topic.
    Snapshot(TopicSnapshot),
    /// Requests the records of a topic from this offset on.
    RecordsRequest(Topic, u64),
    /// Contains a fragment of a message about a topic that is too large for one datagram.
    Fragment(Topic, Fragment),
    /// Requests missing fragments of a message about a topic.
    FragmentRequest(Topic, FragmentRequest),
    /// Requests probes from the receiver's budget, since the sender's is nearly used up.
    ///
    /// The value identifies the request among those of the sender.
    Borrow(u32),
    /// Transfers probes from the sender's budget to the receiver's.
    Lend(ProbeLoan),
    /// Reports requests that crash endpoints.
    CrashReport(CrashReport),
    /// Reports rate limits that endpoints advertise.
    LimitReport(LimitReport),
    /// Tells about a roll-out; the flag is set if the sender is in another data centre.
    Rollout(RolloutMessage, bool),
    /// Divides the quotas of client accounts.
    Quota(QuotaMessage),
    /// Reports what the sender observes about endpoints.
    Observations(ObservationReport),
    /// Divides a service's capacity among client accounts.
    Shares(ShareMessage),
}

/// Probes lent to a neighbour, in answer to its request.
///
/// The lender gives up as many probes as the borrower gets, so that all hosts together
/// keep within the limit.
#[tag]
pub struct ProbeLoan {
    /// The identifier of the request that is answered.
    pub request_id: u32,
    /// The number of probes lent.
    pub probes: u32,
}

/// Announces a host, and exchanges the addresses of others.
#[value]
pub struct Hello {
    /// The sender's data centre.
    pub centre: String,
    /// The number of hosts of the sender's data centre, itself included; 0 if unknown.
    pub size: u32,
    /// Whether the sender requests the hosts that the receiver knows.
    pub wants_hosts: bool,
    /// The hosts of the sender's data centre that the sender knows; only in an answer.
    pub neighbours: Vec<SocketAddr>,
    /// A few remote hosts, which are in other data centres; only in an answer.
    pub contacts: Vec<Contact>,
    /// How far the sender knows the topics; only in some greetings.
    pub positions: Vec<Position>,
}

/// How far a host knows a topic.
#[tag]
pub struct Position {
    /// The topic.
    pub topic: Topic,
    /// The offset after the last record that the host knows.
    pub next: u64,
    /// How long ago the store was read, by any host, and had no further records.
    pub age: Duration,
}

/// The newest record of each key of a topic.
#[value]
pub struct TopicSnapshot {
    /// The topic that the records belong to.
    pub topic: Topic,
    /// The offset at which to continue reading.
    pub next: u64,
    /// The newest record of each key, encoded as in the store.
    pub records: Vec<Bytes>,
    /// Whether this message is sent to all hosts of the data centre.
    pub shared: bool,
    /// How long ago the store was read, by any host, and had no further records; unknown in
    /// fragments, which tell it themselves.
    pub age: Option<Duration>,
}

/// Consecutive records of a topic that a host has read from the store.
#[value]
pub struct RecordUpdate {
    /// The topic that the records belong to.
    pub topic: Topic,
    /// The host that read the records; `0.0.0.0:0` in a message that is sent in fragments.
    pub reader: SocketAddr,
    /// The root of the relay tree within a data centre.
    ///
    /// It is the reader, or the host that received the message from another data centre.
    pub relay_root: SocketAddr,
    /// Whether the reader is in another data centre.
    ///
    /// The receiver then distributes the message within its own data centre.
    pub cross_centre: bool,
    /// The offset of the first record.
    pub from: u64,
    /// How long ago the store was read, by any host, and had no further records; unknown in
    /// fragments, which tell it themselves.
    pub age: Option<Duration>,
    /// The records, encoded as in the store; an empty one renews its key's last record.
    ///
    /// Endpoints renew their entries every few seconds. What a host sends and receives would
    /// grow with the number of endpoints if the renewals were sent too.
    pub records: Vec<Bytes>,
}

/// Why a datagram can't be decoded.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// The datagram's envelope is invalid.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The datagram is truncated or damaged.
    #[error("the datagram can't be decoded: {0}")]
    Damaged(#[from] prost::DecodeError),
    /// The datagram refers to an unknown topic.
    #[error("the datagram refers to an unknown topic")]
    UnknownTopic,
    /// The datagram is about a roll-out, in a form that this release doesn't know.
    #[error("the datagram about a roll-out is of an unknown form")]
    UnknownRollout,
    /// The datagram is about a quota, in a form that this release doesn't know.
    #[error("the datagram about a quota is of an unknown form")]
    UnknownQuota,
    /// The datagram reports observations in a form that this release doesn't know.
    #[error("the datagram about observations is of an unknown form")]
    UnknownObservations,
    /// The datagram is about shares of a service, with rows that are no valid rates.
    #[error("the datagram about shares of a service is invalid")]
    InvalidShares,
    /// The numbers of records and renewals are wrong.
    #[error(transparent)]
    Runs(#[from] RunsError),
    /// The datagram contains an invalid address of a host.
    #[error("the datagram contains {0:?}, which is not an IP address and port")]
    NoAddress(String),
}

#[derive(Clone, PartialEq, Message)]
struct WireMessage {
    /// The topic's number, or the number of a kind of message without a topic.
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    from: u64,
    #[prost(bytes = "bytes", repeated, tag = "3")]
    records: Vec<Bytes>,
    /// In a hello, addresses as text.
    #[prost(string, repeated, tag = "4")]
    neighbours: Vec<String>,
    /// Whether the sender failed to read the topic.
    #[prost(bool, tag = "5")]
    read_failed: bool,
    /// In a hello, the sender's data centre.
    #[prost(string, tag = "6")]
    centre: String,
    /// The reader's address, as text.
    #[prost(string, tag = "7")]
    reader: String,
    /// In a hello, whether the sender requests the hosts that the receiver knows.
    #[prost(bool, tag = "8")]
    wants_hosts: bool,
    /// Whether a snapshot of the topic is requested.
    #[prost(bool, tag = "9")]
    snapshot_request: bool,
    /// Whether the records are the newest of each key.
    #[prost(bool, tag = "10")]
    snapshot: bool,
    /// Whether the records from `from` on are requested.
    #[prost(bool, tag = "12")]
    resend: bool,
    #[prost(message, optional, tag = "13")]
    fragment: Option<WireFragment>,
    #[prost(message, optional, tag = "14")]
    fragment_request: Option<WireFragmentRequest>,
    /// The identifier of a request for probes.
    #[prost(uint32, tag = "15")]
    request_id: u32,
    #[prost(uint32, tag = "16")]
    probes: u32,
    /// The address of the relay tree's root, as text.
    #[prost(string, tag = "17")]
    relay_root: String,
    #[prost(bool, tag = "18")]
    cross_centre: bool,
    #[prost(message, repeated, tag = "19")]
    contacts: Vec<WireContact>,
    /// Whether the sender has started to read the topic.
    #[prost(bool, tag = "20")]
    read_started: bool,
    /// Whether the message is sent to all hosts of the data centre.
    #[prost(bool, tag = "21")]
    shared: bool,
    #[prost(message, optional, tag = "22")]
    crash_report: Option<WireCrashReport>,
    #[prost(message, optional, tag = "23")]
    limit_report: Option<WireLimitReport>,
    #[prost(message, optional, tag = "24")]
    rollout: Option<WireRollout>,
    #[prost(message, optional, tag = "25")]
    quota: Option<WireQuota>,
    /// The lengths of runs in an update: of records, of renewals and so on by turns. Without
    /// any, all are records.
    #[prost(uint32, repeated, tag = "26")]
    runs: Vec<u32>,
    /// In a hello, the number of hosts of the sender's data centre.
    #[prost(uint32, tag = "27")]
    size: u32,
    #[prost(message, optional, tag = "29")]
    observations: Option<WireObservationReport>,
    #[prost(message, optional, tag = "28")]
    shares: Option<WireShares>,
    /// How long ago the store was read to what the message holds, in milliseconds.
    #[prost(uint64, optional, tag = "30")]
    age_ms: Option<u64>,
    #[prost(message, repeated, tag = "31")]
    positions: Vec<WirePosition>,
    /// Whether the sender reads the whole topic for its neighbours.
    #[prost(bool, tag = "32")]
    resync: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WirePosition {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    next: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireContact {
    #[prost(string, tag = "1")]
    centre: String,
    /// The address, as text.
    #[prost(string, tag = "2")]
    address: String,
}

#[derive(Clone, PartialEq, Message)]
struct WireFragment {
    /// The origin's address, as text.
    #[prost(string, tag = "1")]
    origin: String,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    #[prost(uint32, tag = "3")]
    number: u32,
    #[prost(uint32, tag = "4")]
    count: u32,
    #[prost(bool, tag = "5")]
    relay: bool,
    #[prost(bytes = "bytes", tag = "6")]
    bytes: Bytes,
    #[prost(uint64, tag = "7")]
    next: u64,
    #[prost(uint64, optional, tag = "8")]
    age_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireFragmentRequest {
    #[prost(fixed64, tag = "1")]
    digest: u64,
    #[prost(uint32, tag = "2")]
    count: u32,
    #[prost(uint32, repeated, tag = "3")]
    numbers: Vec<u32>,
}

const HELLO: u32 = 0;
const OPERATORS: u32 = 1;
const ENDPOINTS: u32 = 2;
const BORROW: u32 = 3;
const LEND: u32 = 4;
const CRASH_REPORT: u32 = 5;
const LIMIT_REPORT: u32 = 6;
const ROLLOUT: u32 = 7;
const QUOTA: u32 = 8;
const OBSERVATIONS: u32 = 10;
const SHARES: u32 = 9;

impl RecordUpdate {
    /// Returns the same records without the addresses of hosts and without their age.
    ///
    /// Fragmented messages are identified by the digest of their content, so
    /// hosts that read the same records must send identical messages.
    pub fn content(self) -> RecordUpdate {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        RecordUpdate {
            reader: unspecified,
            relay_root: unspecified,
            age: None,
            ..self
        }
    }

    /// Returns the update for a host of another data centre.
    ///
    /// Records that don't fit into one datagram are left out: the receiver requests them, or
    /// reads them from the store.
    pub fn for_other_centres(&self) -> RecordUpdate {
        let whole = RecordUpdate {
            cross_centre: true,
            ..self.clone()
        };
        if NeighbourMessage::Update(whole.clone()).fits_datagram() {
            return whole;
        }
        RecordUpdate {
            from: self.next(),
            records: Vec::new(),
            ..whole
        }
    }

    /// Returns the offset after the last record, at which to continue reading.
    pub fn next(&self) -> u64 {
        self.from + self.records.len() as u64
    }

    /// Returns the records that are no renewals.
    pub fn changed(&self) -> impl Iterator<Item = &Bytes> {
        self.records.iter().filter(|r| !r.is_empty())
    }

    /// Returns the total size of the records in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(Bytes::len).sum()
    }
}

impl NeighbourMessage {
    /// Returns the offset to read on from after this message, if it contains records.
    pub fn next_offset(&self) -> Option<u64> {
        match self {
            NeighbourMessage::Update(update) => Some(update.next()),
            NeighbourMessage::Snapshot(snapshot) => Some(snapshot.next),
            _ => None,
        }
    }

    /// Returns the message's kind, under which sent and received messages are counted.
    pub fn kind(&self) -> &'static str {
        match self {
            NeighbourMessage::Hello(hello) if hello.neighbours.is_empty() => "greeting",
            NeighbourMessage::Hello(_) => "hosts",
            NeighbourMessage::Update(update) if update.cross_centre => "news_abroad",
            NeighbourMessage::Update(update) if update.size() == 0 => "news_empty",
            NeighbourMessage::Update(_) => "news",
            NeighbourMessage::ReadStarted(_) => "reading",
            NeighbourMessage::ReadFailed(_) => "trouble",
            NeighbourMessage::Resync(_) => "resync",
            NeighbourMessage::SnapshotRequest(_) => "wanted",
            NeighbourMessage::Snapshot(_) => "held",
            NeighbourMessage::RecordsRequest(..) => "missing",
            NeighbourMessage::Fragment(..) => "fragment",
            NeighbourMessage::FragmentRequest(..) => "lacking",
            NeighbourMessage::Borrow(_) | NeighbourMessage::Lend(_) => "loan",
            NeighbourMessage::CrashReport(_) => "crashes",
            NeighbourMessage::LimitReport(_) => "limits",
            NeighbourMessage::Quota(QuotaMessage::Demand(..)) => "quota_demand",
            NeighbourMessage::Quota(_) => "quota",
            NeighbourMessage::Observations(_) => "observations",
            NeighbourMessage::Shares(_) => "shares",
            NeighbourMessage::Rollout(RolloutMessage::State(_), _) => "rollout_state",
            NeighbourMessage::Rollout(RolloutMessage::Report(_), _) => "rollout_report",
            NeighbourMessage::Rollout(RolloutMessage::Summary(_), _) => "rollout_summary",
        }
    }

    /// Returns whether the message can be sent in one datagram.
    pub fn fits_datagram(&self) -> bool {
        self.encode().len() <= DATAGRAM_LIMIT
    }

    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let wire = match self {
            NeighbourMessage::Hello(hello) => WireMessage {
                centre: hello.centre.clone(),
                size: hello.size,
                wants_hosts: hello.wants_hosts,
                neighbours: hello.neighbours.iter().map(SocketAddr::to_string).collect(),
                contacts: hello.contacts.iter().map(WireContact::from).collect(),
                positions: hello.positions.iter().map(WirePosition::from).collect(),
                ..WireMessage::default()
            },
            NeighbourMessage::Update(update) => WireMessage {
                topic: topic_number(update.topic),
                reader: update.reader.to_string(),
                relay_root: update.relay_root.to_string(),
                cross_centre: update.cross_centre,
                from: update.from,
                age_ms: update.age.map(millis),
                records: update.changed().cloned().collect(),
                runs: record_runs::lengths(&update.records),
                ..WireMessage::default()
            },
            NeighbourMessage::SnapshotRequest(topic) => WireMessage {
                topic: topic_number(*topic),
                snapshot_request: true,
                ..WireMessage::default()
            },
            NeighbourMessage::RecordsRequest(topic, from) => WireMessage {
                topic: topic_number(*topic),
                from: *from,
                resend: true,
                ..WireMessage::default()
            },
            NeighbourMessage::Snapshot(snapshot) => WireMessage {
                topic: topic_number(snapshot.topic),
                from: snapshot.next,
                snapshot: true,
                shared: snapshot.shared,
                age_ms: snapshot.age.map(millis),
                records: snapshot.records.clone(),
                ..WireMessage::default()
            },
            NeighbourMessage::Fragment(topic, fragment) => WireMessage {
                topic: topic_number(*topic),
                fragment: Some(WireFragment::from(fragment)),
                ..WireMessage::default()
            },
            NeighbourMessage::FragmentRequest(topic, fragment_request) => WireMessage {
                topic: topic_number(*topic),
                fragment_request: Some(WireFragmentRequest {
                    digest: fragment_request.message.digest,
                    count: fragment_request.message.count,
                    numbers: fragment_request.numbers.clone(),
                }),
                ..WireMessage::default()
            },
            NeighbourMessage::Borrow(request_id) => WireMessage {
                topic: BORROW,
                request_id: *request_id,
                ..WireMessage::default()
            },
            NeighbourMessage::Lend(loan) => WireMessage {
                topic: LEND,
                request_id: loan.request_id,
                probes: loan.probes,
                ..WireMessage::default()
            },
            NeighbourMessage::CrashReport(crash_report) => WireMessage {
                topic: CRASH_REPORT,
                cross_centre: crash_report.cross_centre,
                crash_report: Some(WireCrashReport::from(crash_report)),
                ..WireMessage::default()
            },
            NeighbourMessage::LimitReport(limit_report) => WireMessage {
                topic: LIMIT_REPORT,
                cross_centre: limit_report.cross_centre,
                limit_report: Some(WireLimitReport::from(limit_report)),
                ..WireMessage::default()
            },
            NeighbourMessage::Rollout(message, cross_centre) => WireMessage {
                topic: ROLLOUT,
                cross_centre: *cross_centre,
                rollout: Some(WireRollout::from(message)),
                ..WireMessage::default()
            },
            NeighbourMessage::Quota(message) => WireMessage {
                topic: QUOTA,
                cross_centre: matches!(message, QuotaMessage::Demand(_, true)),
                quota: Some(WireQuota::new(message)),
                ..WireMessage::default()
            },
            NeighbourMessage::Observations(report) => WireMessage {
                topic: OBSERVATIONS,
                observations: Some(WireObservationReport::from(report)),
                ..WireMessage::default()
            },
            NeighbourMessage::Shares(message) => WireMessage {
                topic: SHARES,
                shares: Some(WireShares::new(message)),
                ..WireMessage::default()
            },
            NeighbourMessage::ReadStarted(topic) => WireMessage {
                topic: topic_number(*topic),
                read_started: true,
                ..WireMessage::default()
            },
            NeighbourMessage::ReadFailed(topic) => WireMessage {
                topic: topic_number(*topic),
                read_failed: true,
                ..WireMessage::default()
            },
            NeighbourMessage::Resync(topic) => WireMessage {
                topic: topic_number(*topic),
                // Hosts of earlier releases know it as any other read.
                read_started: true,
                resync: true,
                ..WireMessage::default()
            },
        };
        let message = wire.encode_to_vec();
        let is_fragment = matches!(self, NeighbourMessage::Fragment(..));
        match is_fragment {
            // The message that it is a part of is compressed already.
            true => envelope::wrap_plain(&message),
            false => envelope::wrap(&message),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid message of this version.
    pub fn decode(datagram: &[u8]) -> Result<NeighbourMessage, DatagramError> {
        let wire = WireMessage::decode(envelope::unwrap(datagram)?)?;
        let topic = match wire.topic {
            HELLO => {
                return Ok(NeighbourMessage::Hello(Hello {
                    neighbours: addresses(&wire.neighbours)?,
                    contacts: contacts(wire.contacts)?,
                    positions: positions(&wire.positions)?,
                    wants_hosts: wire.wants_hosts,
                    size: wire.size,
                    centre: wire.centre,
                }));
            }
            BORROW => return Ok(NeighbourMessage::Borrow(wire.request_id)),
            LEND => {
                return Ok(NeighbourMessage::Lend(ProbeLoan {
                    request_id: wire.request_id,
                    probes: wire.probes,
                }));
            }
            CRASH_REPORT => {
                let crash_report = wire.crash_report.unwrap_or_default();
                return Ok(NeighbourMessage::CrashReport(
                    crash_report.into_report(wire.cross_centre),
                ));
            }
            LIMIT_REPORT => {
                let limit_report = wire.limit_report.unwrap_or_default();
                return Ok(NeighbourMessage::LimitReport(
                    limit_report.into_report(wire.cross_centre),
                ));
            }
            ROLLOUT => {
                let message = wire.rollout.and_then(WireRollout::into_message);
                let message = message.ok_or(DatagramError::UnknownRollout)?;
                return Ok(NeighbourMessage::Rollout(message, wire.cross_centre));
            }
            QUOTA => {
                let message = wire
                    .quota
                    .and_then(|quota| quota.into_message(wire.cross_centre));
                let message = message.ok_or(DatagramError::UnknownQuota)?;
                return Ok(NeighbourMessage::Quota(message));
            }
            OBSERVATIONS => {
                let report = wire.observations;
                let report = report.and_then(WireObservationReport::into_report);
                let report = report.ok_or(DatagramError::UnknownObservations)?;
                return Ok(NeighbourMessage::Observations(report));
            }
            SHARES => {
                let message = wire.shares.and_then(WireShares::into_message);
                let message = message.ok_or(DatagramError::InvalidShares)?;
                return Ok(NeighbourMessage::Shares(message));
            }
            number => topic_of(number)?,
        };
        match wire {
            _ if wire.resync => return Ok(NeighbourMessage::Resync(topic)),
            _ if wire.read_started => return Ok(NeighbourMessage::ReadStarted(topic)),
            _ if wire.read_failed => return Ok(NeighbourMessage::ReadFailed(topic)),
            _ if wire.resend => return Ok(NeighbourMessage::RecordsRequest(topic, wire.from)),
            _ if wire.snapshot_request => return Ok(NeighbourMessage::SnapshotRequest(topic)),
            _ if wire.snapshot => {
                return Ok(NeighbourMessage::Snapshot(TopicSnapshot {
                    topic,
                    age: wire.age_ms.map(Duration::from_millis),
                    next: wire.from,
                    records: wire.records,
                    shared: wire.shared,
                }));
            }
            _ => {}
        }
        if let Some(fragment) = wire.fragment {
            return Ok(NeighbourMessage::Fragment(topic, fragment.into_fragment()?));
        }
        if let Some(fragment_request) = wire.fragment_request {
            return Ok(NeighbourMessage::FragmentRequest(
                topic,
                fragment_request.into_request(),
            ));
        }
        Ok(NeighbourMessage::Update(RecordUpdate {
            topic,
            reader: address(&wire.reader)?,
            relay_root: address(&wire.relay_root)?,
            cross_centre: wire.cross_centre,
            from: wire.from,
            age: wire.age_ms.map(Duration::from_millis),
            records: record_runs::expand(wire.records, &wire.runs)?,
        }))
    }
}

impl From<&Contact> for WireContact {
    fn from(contact: &Contact) -> WireContact {
        WireContact {
            centre: contact.centre.clone(),
            address: contact.address.to_string(),
        }
    }
}

impl From<&Fragment> for WireFragment {
    fn from(fragment: &Fragment) -> WireFragment {
        WireFragment {
            origin: fragment.origin.to_string(),
            digest: fragment.message.digest,
            number: fragment.number,
            count: fragment.message.count,
            relay: fragment.relay,
            bytes: fragment.bytes.clone(),
            next: fragment.next,
            age_ms: fragment.age.map(millis),
        }
    }
}

impl WireFragment {
    fn into_fragment(self) -> Result<Fragment, DatagramError> {
        Ok(Fragment {
            message: MessageKey {
                digest: self.digest,
                count: self.count,
            },
            origin: address(&self.origin)?,
            number: self.number,
            relay: self.relay,
            bytes: self.bytes,
            next: self.next,
            age: self.age_ms.map(Duration::from_millis),
        })
    }
}

impl WireFragmentRequest {
    fn into_request(self) -> FragmentRequest {
        FragmentRequest {
            message: MessageKey {
                digest: self.digest,
                count: self.count,
            },
            numbers: self.numbers,
        }
    }
}

impl From<&Position> for WirePosition {
    fn from(position: &Position) -> WirePosition {
        WirePosition {
            topic: topic_number(position.topic),
            next: position.next,
            age_ms: millis(position.age),
        }
    }
}

fn positions(wire: &[WirePosition]) -> Result<Vec<Position>, DatagramError> {
    let read = wire.iter().map(|position| {
        Ok(Position {
            topic: topic_of(position.topic)?,
            next: position.next,
            age: Duration::from_millis(position.age_ms),
        })
    });
    read.collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn topic_of(number: u32) -> Result<Topic, DatagramError> {
    match number {
        OPERATORS => Ok(Topic::Operators),
        ENDPOINTS => Ok(Topic::Endpoints),
        _ => Err(DatagramError::UnknownTopic),
    }
}

fn topic_number(topic: Topic) -> u32 {
    match topic {
        Topic::Operators => OPERATORS,
        Topic::Endpoints => ENDPOINTS,
    }
}

fn addresses(texts: &[String]) -> Result<Vec<SocketAddr>, DatagramError> {
    texts.iter().map(|t| address(t)).collect()
}

fn contacts(wire: Vec<WireContact>) -> Result<Vec<Contact>, DatagramError> {
    let read = wire.into_iter().map(|contact| {
        Ok(Contact {
            address: address(&contact.address)?,
            centre: contact.centre,
        })
    });
    read.collect()
}

fn address(text: &str) -> Result<SocketAddr, DatagramError> {
    text.parse()
        .map_err(|_| DatagramError::NoAddress(text.to_owned()))
}
