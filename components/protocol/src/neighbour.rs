//! What entry hosts of one data centre tell each other of the store.
//!
//! Each message is one datagram, or fragments of one each where it is too large.
//! One that is lost costs a read of the store, never a promise.

use std::net::SocketAddr;

use bytes::Bytes;
use coordination::fragments::{Fragment, FragmentRequest, MessageKey};
use coordination::neighbours::Contact;
use derives::{tag, value};
use prost::Message;
use thiserror::Error;

use crate::crash_report::{CrashReport, WireCrashes};
use crate::limit_report::{LimitReport, WireLimits};

/// The version of this protocol; others are refused.
const VERSION: u8 = 3;

/// Bytes of a message that goes into one datagram, well below what one may hold.
pub const DATAGRAM_LIMIT: usize = 16 * 1024;

/// Which topic of the store a message is about.
#[tag]
pub enum Topic {
    /// What operators write.
    Operators,
    /// What endpoints write of themselves.
    Endpoints,
}

/// One message between neighbours.
#[derive(Clone, Debug, PartialEq)]
pub enum NeighbourMessage {
    /// The sender is here.
    Hello(Hello),
    /// The sender has read the store.
    Update(RecordUpdate),
    /// The sender has begun to read this topic by itself.
    ReadStarted(Topic),
    /// The sender could not read this topic.
    ReadFailed(Topic),
    /// The sender knows nothing of this topic and can't read it.
    SnapshotRequest(Topic),
    /// All that the sender knows of a topic, in answer to the former.
    Snapshot(TopicSnapshot),
    /// The sender lacks the records of a topic from this offset on.
    RecordsRequest(Topic, u64),
    /// A piece of a message about a topic that fits into no datagram.
    Fragment(Topic, Fragment),
    /// The sender lacks fragments of a message about a topic.
    FragmentRequest(Topic, FragmentRequest),
    /// The sender may ask endpoints hardly any more questions; each request has a number.
    Borrow(u32),
    /// Questions that the receiver may ask in the sender's place.
    Lend(ProbeLoan),
    /// Requests that crash endpoints.
    CrashReport(CrashReport),
    /// Rate limits that endpoints advertise.
    LimitReport(LimitReport),
}

/// Questions lent in answer to a request.
#[tag]
pub struct ProbeLoan {
    /// The request's number.
    pub request_id: u32,
    /// How many questions.
    pub probes: u32,
}

/// A greeting.
#[value]
pub struct Hello {
    /// The sender's data centre.
    pub centre: String,
    /// Whether the sender asks whom the other knows.
    pub wants_hosts: bool,
    /// The hosts there that the sender knows, in answer to one that asks.
    pub neighbours: Vec<SocketAddr>,
    /// A few hosts of other data centres, in answer to one that asks.
    pub contacts: Vec<Contact>,
}

/// All that a neighbour knows of a topic.
#[value]
pub struct TopicSnapshot {
    /// The topic.
    pub topic: Topic,
    /// Where to read on.
    pub next: u64,
    /// The newest record of each key, as they lie in the store.
    pub records: Vec<Bytes>,
    /// Whether all hosts of the data centre are handed the same.
    pub shared: bool,
}

/// Records that a neighbour has read.
#[value]
pub struct RecordUpdate {
    /// The topic.
    pub topic: Topic,
    /// The host that read them; nobody's address in a message that goes in fragments.
    pub reader: SocketAddr,
    /// The host that tells its data centre first, the reader or one that heard of it.
    pub relay_root: SocketAddr,
    /// Whether the reader is of another data centre, and the receiver to tell its own.
    pub cross_centre: bool,
    /// The offset of the first record.
    pub from: u64,
    /// The records, as they lie in the store.
    pub records: Vec<Bytes>,
}

/// Why a datagram can't be understood.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// It is empty or of another version.
    #[error("the datagram is of another version")]
    OtherVersion,
    /// It is damaged.
    #[error("the datagram can't be read: {0}")]
    Damaged(#[from] prost::DecodeError),
    /// It names a topic that doesn't exist.
    #[error("the datagram is about an unknown topic")]
    UnknownTopic,
    /// It names a neighbour by something that is no address.
    #[error("the datagram names a neighbour by {0:?}, which is no address")]
    NoAddress(String),
}

#[derive(Clone, PartialEq, Message)]
struct WireNews {
    /// 0 for a hello, the topic's number, what is borrowed or lent, crashes, or limits.
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    from: u64,
    #[prost(bytes = "bytes", repeated, tag = "3")]
    records: Vec<Bytes>,
    /// Addresses as text, in a hello.
    #[prost(string, repeated, tag = "4")]
    neighbours: Vec<String>,
    /// Whether the topic could not be read.
    #[prost(bool, tag = "5")]
    failed: bool,
    /// The sender's data centre, in a hello.
    #[prost(string, tag = "6")]
    centre: String,
    /// The reader's address, as text.
    #[prost(string, tag = "7")]
    reader: String,
    /// Whether the sender of a hello asks whom the other knows.
    #[prost(bool, tag = "8")]
    wants_hosts: bool,
    /// Whether all that is known of the topic is asked for.
    #[prost(bool, tag = "9")]
    wanted: bool,
    /// Whether the records are all that is known.
    #[prost(bool, tag = "10")]
    held: bool,
    /// Whether the records from `from` on are asked for.
    #[prost(bool, tag = "12")]
    missing: bool,
    #[prost(message, optional, tag = "13")]
    fragment: Option<WireFragment>,
    #[prost(message, optional, tag = "14")]
    lacking: Option<WireLacking>,
    /// The number of a request to borrow.
    #[prost(uint32, tag = "15")]
    number: u32,
    #[prost(uint32, tag = "16")]
    questions: u32,
    /// The teller's address, as text.
    #[prost(string, tag = "17")]
    relay_root: String,
    #[prost(bool, tag = "18")]
    cross_centre: bool,
    #[prost(message, repeated, tag = "19")]
    contacts: Vec<WireContact>,
    /// Whether the sender has begun to read the topic.
    #[prost(bool, tag = "20")]
    reading: bool,
    /// Whether all hosts of the data centre are handed the same.
    #[prost(bool, tag = "21")]
    shared: bool,
    #[prost(message, optional, tag = "22")]
    crashes: Option<WireCrashes>,
    #[prost(message, optional, tag = "23")]
    limits: Option<WireLimits>,
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
}

#[derive(Clone, PartialEq, Message)]
struct WireLacking {
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
const CRASHES: u32 = 5;
const LIMITS: u32 = 6;

impl RecordUpdate {
    /// Returns these news as any host that read the same would tell them.
    ///
    /// Large news are named by what they hold, so the reader must not be in them.
    pub fn without_addresses(self) -> RecordUpdate {
        let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
        RecordUpdate {
            reader: nobody,
            relay_root: nobody,
            ..self
        }
    }

    /// Returns these news for a host of another data centre.
    ///
    /// It reads by itself what fits into no datagram.
    pub fn for_other_centres(&self) -> RecordUpdate {
        let fits = self.size() <= DATAGRAM_LIMIT;
        RecordUpdate {
            cross_centre: true,
            from: if fits { self.from } else { self.next() },
            records: if fits {
                self.records.clone()
            } else {
                Vec::new()
            },
            ..*self
        }
    }

    /// Returns where to read on after these records.
    pub fn next(&self) -> u64 {
        self.from + self.records.len() as u64
    }

    /// Returns the bytes of the records.
    pub fn size(&self) -> usize {
        self.records.iter().map(Bytes::len).sum()
    }
}

impl NeighbourMessage {
    /// Returns the name of this kind of message, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            NeighbourMessage::Hello(hello) if hello.neighbours.is_empty() => "greeting",
            NeighbourMessage::Hello(_) => "hosts",
            NeighbourMessage::Update(news) if news.cross_centre => "news_abroad",
            NeighbourMessage::Update(news) if news.records.is_empty() => "news_empty",
            NeighbourMessage::Update(_) => "news",
            NeighbourMessage::ReadStarted(_) => "reading",
            NeighbourMessage::ReadFailed(_) => "trouble",
            NeighbourMessage::SnapshotRequest(_) => "wanted",
            NeighbourMessage::Snapshot(_) => "held",
            NeighbourMessage::RecordsRequest(..) => "missing",
            NeighbourMessage::Fragment(..) => "fragment",
            NeighbourMessage::FragmentRequest(..) => "lacking",
            NeighbourMessage::Borrow(_) | NeighbourMessage::Lend(_) => "loan",
            NeighbourMessage::CrashReport(_) => "crashes",
            NeighbourMessage::LimitReport(_) => "limits",
        }
    }

    /// Returns the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let wire = match self {
            NeighbourMessage::Hello(hello) => WireNews {
                centre: hello.centre.clone(),
                wants_hosts: hello.wants_hosts,
                neighbours: hello.neighbours.iter().map(SocketAddr::to_string).collect(),
                contacts: hello.contacts.iter().map(WireContact::from).collect(),
                ..WireNews::default()
            },
            NeighbourMessage::Update(news) => WireNews {
                topic: number(news.topic),
                reader: news.reader.to_string(),
                relay_root: news.relay_root.to_string(),
                cross_centre: news.cross_centre,
                from: news.from,
                records: news.records.clone(),
                ..WireNews::default()
            },
            NeighbourMessage::SnapshotRequest(topic) => WireNews {
                topic: number(*topic),
                wanted: true,
                ..WireNews::default()
            },
            NeighbourMessage::RecordsRequest(topic, from) => WireNews {
                topic: number(*topic),
                from: *from,
                missing: true,
                ..WireNews::default()
            },
            NeighbourMessage::Snapshot(held) => WireNews {
                topic: number(held.topic),
                from: held.next,
                held: true,
                shared: held.shared,
                records: held.records.clone(),
                ..WireNews::default()
            },
            NeighbourMessage::Fragment(topic, fragment) => WireNews {
                topic: number(*topic),
                fragment: Some(WireFragment::from(fragment)),
                ..WireNews::default()
            },
            NeighbourMessage::FragmentRequest(topic, lacking) => WireNews {
                topic: number(*topic),
                lacking: Some(WireLacking {
                    digest: lacking.message.digest,
                    count: lacking.message.count,
                    numbers: lacking.numbers.clone(),
                }),
                ..WireNews::default()
            },
            NeighbourMessage::Borrow(number) => WireNews {
                topic: BORROW,
                number: *number,
                ..WireNews::default()
            },
            NeighbourMessage::Lend(loan) => WireNews {
                topic: LEND,
                number: loan.request_id,
                questions: loan.probes,
                ..WireNews::default()
            },
            NeighbourMessage::CrashReport(crashes) => WireNews {
                topic: CRASHES,
                cross_centre: crashes.cross_centre,
                crashes: Some(WireCrashes::from(crashes)),
                ..WireNews::default()
            },
            NeighbourMessage::LimitReport(limits) => WireNews {
                topic: LIMITS,
                cross_centre: limits.cross_centre,
                limits: Some(WireLimits::from(limits)),
                ..WireNews::default()
            },
            NeighbourMessage::ReadStarted(topic) => WireNews {
                topic: number(*topic),
                reading: true,
                ..WireNews::default()
            },
            NeighbourMessage::ReadFailed(topic) => WireNews {
                topic: number(*topic),
                failed: true,
                ..WireNews::default()
            },
        };
        let mut datagram = vec![VERSION];
        datagram.extend(wire.encode_to_vec());
        datagram
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Says why it can't be understood.
    pub fn decode(datagram: &[u8]) -> Result<NeighbourMessage, DatagramError> {
        let body = match datagram.split_first() {
            Some((&VERSION, body)) => body,
            _ => return Err(DatagramError::OtherVersion),
        };
        let wire = WireNews::decode(body)?;
        let topic = match wire.topic {
            HELLO => {
                return Ok(NeighbourMessage::Hello(Hello {
                    neighbours: addresses(&wire.neighbours)?,
                    contacts: contacts(wire.contacts)?,
                    wants_hosts: wire.wants_hosts,
                    centre: wire.centre,
                }));
            }
            BORROW => return Ok(NeighbourMessage::Borrow(wire.number)),
            LEND => {
                return Ok(NeighbourMessage::Lend(ProbeLoan {
                    request_id: wire.number,
                    probes: wire.questions,
                }));
            }
            CRASHES => {
                let crashes = wire.crashes.unwrap_or_default();
                return Ok(NeighbourMessage::CrashReport(
                    crashes.read(wire.cross_centre),
                ));
            }
            LIMITS => {
                let limits = wire.limits.unwrap_or_default();
                return Ok(NeighbourMessage::LimitReport(
                    limits.read(wire.cross_centre),
                ));
            }
            OPERATORS => Topic::Operators,
            ENDPOINTS => Topic::Endpoints,
            _ => return Err(DatagramError::UnknownTopic),
        };
        match wire {
            _ if wire.reading => return Ok(NeighbourMessage::ReadStarted(topic)),
            _ if wire.failed => return Ok(NeighbourMessage::ReadFailed(topic)),
            _ if wire.missing => return Ok(NeighbourMessage::RecordsRequest(topic, wire.from)),
            _ if wire.wanted => return Ok(NeighbourMessage::SnapshotRequest(topic)),
            _ if wire.held => {
                return Ok(NeighbourMessage::Snapshot(TopicSnapshot {
                    topic,
                    next: wire.from,
                    records: wire.records,
                    shared: wire.shared,
                }));
            }
            _ => {}
        }
        if let Some(fragment) = wire.fragment {
            return Ok(NeighbourMessage::Fragment(topic, fragment.read()?));
        }
        if let Some(lacking) = wire.lacking {
            return Ok(NeighbourMessage::FragmentRequest(topic, lacking.read()));
        }
        Ok(NeighbourMessage::Update(RecordUpdate {
            topic,
            reader: address(&wire.reader)?,
            relay_root: address(&wire.relay_root)?,
            cross_centre: wire.cross_centre,
            from: wire.from,
            records: wire.records,
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
        }
    }
}

impl WireFragment {
    fn read(self) -> Result<Fragment, DatagramError> {
        Ok(Fragment {
            message: MessageKey {
                digest: self.digest,
                count: self.count,
            },
            origin: address(&self.origin)?,
            number: self.number,
            relay: self.relay,
            bytes: self.bytes,
        })
    }
}

impl WireLacking {
    fn read(self) -> FragmentRequest {
        FragmentRequest {
            message: MessageKey {
                digest: self.digest,
                count: self.count,
            },
            numbers: self.numbers,
        }
    }
}

fn number(topic: Topic) -> u32 {
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
