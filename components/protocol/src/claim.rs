//! The formats of claims: records of the log's `claims` streams, and messages to a key's home.

use std::time::Duration;

use bytes::Bytes;
use coordination::claims::{
    Answer, Batch, CachedAnswer, ClaimId, ClaimKey, ClaimMessage, Ending, Entry, KeyRequest,
    Outcome,
};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::ProtocolError;

/// The version of the record format.
///
/// A home that reads a record of another version stops answering requests, since
/// it no longer knows which claims are held.
pub const RECORD_VERSION: u32 = 1;

#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(fixed64, tag = "2")]
    checksum: u64,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct WireBatch {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<WireEntry>,
}

/// An entry of a batch.
///
/// Claims are frequent, so all kinds share one flat message without nesting.
#[derive(Clone, PartialEq, Message)]
struct WireEntry {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, required, tag = "2")]
    id: WireU128,
    #[prost(message, required, tag = "3")]
    key: WireU128,
    #[prost(message, optional, tag = "4")]
    digest: Option<WireU128>,
    #[prost(uint64, tag = "5")]
    ttl_ms: u64,
    #[prost(uint64, tag = "6")]
    age: u64,
}

/// A 128-bit number.
#[derive(Clone, Copy, PartialEq, Message)]
struct WireU128 {
    #[prost(fixed64, tag = "1")]
    high: u64,
    #[prost(fixed64, tag = "2")]
    low: u64,
}

/// Encoded form of a message about a claim.
#[derive(Clone, PartialEq, Message)]
pub struct WireClaim {
    #[prost(message, required, tag = "1")]
    id: WireU128,
    #[prost(message, optional, tag = "2")]
    key: Option<WireU128>,
    #[prost(oneof = "WireKind", tags = "3, 4, 5, 6, 7")]
    kind: Option<WireKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireKind {
    #[prost(message, tag = "3")]
    Request(WireKeyRequest),
    #[prost(message, tag = "4")]
    RequestAck(WireEmpty),
    #[prost(message, tag = "5")]
    Answer(WireAnswer),
    #[prost(message, tag = "6")]
    End(WireEnd),
    #[prost(message, tag = "7")]
    EndAck(WireEmpty),
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireEmpty {}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireKeyRequest {
    #[prost(message, required, tag = "1")]
    digest: WireU128,
    #[prost(uint64, tag = "2")]
    ttl_ms: u64,
    #[prost(uint64, tag = "3")]
    wait_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireAnswer {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    retry_ms: u64,
    #[prost(message, optional, tag = "3")]
    cached: Option<WireCachedAnswer>,
}

#[derive(Clone, PartialEq, Message)]
struct WireEnd {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, optional, tag = "2")]
    cached: Option<WireCachedAnswer>,
}

#[derive(Clone, PartialEq, Message)]
struct WireCachedAnswer {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(message, repeated, tag = "2")]
    fields: Vec<WireField>,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct WireField {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
}

/// Encodes a batch as a record of a `claims` stream.
pub fn encode_batch(batch: &Batch) -> Bytes {
    let entries = batch.entries.iter().map(encode_entry).collect();
    let body: Bytes = WireBatch { entries }.encode_to_vec().into();
    let record = WireRecord {
        version: RECORD_VERSION,
        checksum: xxh3_64(&body),
        body,
    };
    record.encode_to_vec().into()
}

/// Decodes a record of a `claims` stream.
///
/// # Errors
///
/// Returns [`ProtocolError::Version`] for a record of another version, after which
/// this host no longer knows who holds a key, and another error for a damaged
/// record, which every host skips.
pub fn decode_batch(data: &Bytes) -> Result<Batch, ProtocolError> {
    let damaged = |e: prost::DecodeError| ProtocolError::Damaged(e.to_string());
    let record = WireRecord::decode(data.clone()).map_err(damaged)?;
    match record {
        r if r.checksum != xxh3_64(&r.body) => {
            return Err(ProtocolError::Damaged("the checksum differs".to_owned()));
        }
        r if r.version != RECORD_VERSION => return Err(ProtocolError::Version(r.version)),
        _ => {}
    }
    let batch = WireBatch::decode(record.body).map_err(damaged)?;
    let entries: Result<Vec<Entry>, ProtocolError> =
        batch.entries.iter().map(decode_entry).collect();
    Ok(Batch { entries: entries? })
}

fn encode_entry(entry: &Entry) -> WireEntry {
    let plain = |kind, id: ClaimId, key: ClaimKey| WireEntry {
        kind,
        id: encode_u128(id.0),
        key: encode_u128(key.0),
        digest: None,
        ttl_ms: 0,
        age: 0,
    };
    match *entry {
        Entry::Claim {
            id,
            key,
            digest,
            ttl_ms,
        } => WireEntry {
            digest: Some(encode_u128(digest)),
            ttl_ms,
            ..plain(1, id, key)
        },
        Entry::Ended { id, key, outcome } => match outcome {
            Outcome::Done => plain(2, id, key),
            Outcome::NotRun => plain(3, id, key),
            Outcome::Unknown => plain(4, id, key),
        },
        Entry::Carried {
            id,
            key,
            digest,
            ttl_ms,
            age,
        } => WireEntry {
            digest: Some(encode_u128(digest)),
            ttl_ms,
            age,
            ..plain(5, id, key)
        },
        Entry::Expired { id, key } => plain(6, id, key),
    }
}

fn decode_entry(wire: &WireEntry) -> Result<Entry, ProtocolError> {
    let id = ClaimId(decode_u128(wire.id));
    let key = ClaimKey(decode_u128(wire.key));
    let digest = || {
        wire.digest
            .map(decode_u128)
            .ok_or(ProtocolError::Missing("digest"))
    };
    let ended = |outcome| Entry::Ended { id, key, outcome };
    let ttl_ms = wire.ttl_ms;
    Ok(match wire.kind {
        1 => Entry::Claim {
            id,
            key,
            digest: digest()?,
            ttl_ms,
        },
        2 => ended(Outcome::Done),
        3 => ended(Outcome::NotRun),
        4 => ended(Outcome::Unknown),
        5 => Entry::Carried {
            id,
            key,
            digest: digest()?,
            ttl_ms,
            age: wire.age,
        },
        6 => Entry::Expired { id, key },
        _ => return Err(ProtocolError::Missing("entry kind")),
    })
}

impl From<&ClaimMessage> for WireClaim {
    fn from(message: &ClaimMessage) -> WireClaim {
        let (id, key, kind) = match message {
            ClaimMessage::Request(request, wait) => {
                let wire = WireKeyRequest {
                    digest: encode_u128(request.digest),
                    ttl_ms: millis(request.ttl),
                    wait_ms: millis(*wait),
                };
                (request.id, Some(request.key), WireKind::Request(wire))
            }
            ClaimMessage::RequestAck(id) => (*id, None, WireKind::RequestAck(WireEmpty {})),
            ClaimMessage::Answer(id, answer) => {
                (*id, None, WireKind::Answer(encode_answer(answer)))
            }
            ClaimMessage::End(id, key, ending) => {
                (*id, Some(*key), WireKind::End(encode_ending(ending)))
            }
            ClaimMessage::EndAck(id) => (*id, None, WireKind::EndAck(WireEmpty {})),
        };
        WireClaim {
            id: encode_u128(id.0),
            key: key.map(|k| encode_u128(k.0)),
            kind: Some(kind),
        }
    }
}

impl TryFrom<WireClaim> for ClaimMessage {
    type Error = ProtocolError;

    fn try_from(wire: WireClaim) -> Result<ClaimMessage, ProtocolError> {
        let id = ClaimId(decode_u128(wire.id));
        let key = wire.key.map(|k| ClaimKey(decode_u128(k)));
        let key = key.ok_or(ProtocolError::Missing("key"));
        Ok(
            match wire.kind.ok_or(ProtocolError::Missing("claim kind"))? {
                WireKind::Request(a) => {
                    let request = KeyRequest {
                        id,
                        key: key?,
                        digest: decode_u128(a.digest),
                        ttl: Duration::from_millis(a.ttl_ms),
                    };
                    ClaimMessage::Request(request, Duration::from_millis(a.wait_ms))
                }
                WireKind::RequestAck(_) => ClaimMessage::RequestAck(id),
                WireKind::Answer(a) => ClaimMessage::Answer(id, decode_answer(a)?),
                WireKind::End(e) => ClaimMessage::End(id, key?, decode_ending(e)?),
                WireKind::EndAck(_) => ClaimMessage::EndAck(id),
            },
        )
    }
}

fn encode_answer(answer: &Answer) -> WireAnswer {
    let plain = |kind| WireAnswer {
        kind,
        retry_ms: 0,
        cached: None,
    };
    match answer {
        Answer::Granted => plain(1),
        Answer::Known(cached) => WireAnswer {
            cached: Some(encode_cached(cached)),
            ..plain(2)
        },
        Answer::Started => plain(3),
        Answer::InProgress => plain(6),
        Answer::Mismatch => plain(4),
        Answer::NotRun(retry) => WireAnswer {
            retry_ms: millis(*retry),
            ..plain(5)
        },
    }
}

fn decode_answer(wire: WireAnswer) -> Result<Answer, ProtocolError> {
    Ok(match wire.kind {
        1 => Answer::Granted,
        2 => Answer::Known(decode_cached(
            wire.cached.ok_or(ProtocolError::Missing("answer"))?,
        )?),
        3 => Answer::Started,
        6 => Answer::InProgress,
        4 => Answer::Mismatch,
        5 => Answer::NotRun(Duration::from_millis(wire.retry_ms)),
        _ => return Err(ProtocolError::Missing("answer kind")),
    })
}

fn encode_ending(ending: &Ending) -> WireEnd {
    let plain = |kind| WireEnd { kind, cached: None };
    match ending {
        Ending::Answered(cached) => WireEnd {
            cached: Some(encode_cached(cached)),
            ..plain(1)
        },
        Ending::AnsweredLarge => plain(2),
        Ending::NotRun => plain(3),
        Ending::Unknown => plain(4),
        Ending::GivenUp => plain(5),
    }
}

fn decode_ending(wire: WireEnd) -> Result<Ending, ProtocolError> {
    Ok(match wire.kind {
        1 => Ending::Answered(decode_cached(
            wire.cached.ok_or(ProtocolError::Missing("answer"))?,
        )?),
        2 => Ending::AnsweredLarge,
        3 => Ending::NotRun,
        4 => Ending::Unknown,
        5 => Ending::GivenUp,
        _ => return Err(ProtocolError::Missing("ending kind")),
    })
}

fn encode_cached(cached: &CachedAnswer) -> WireCachedAnswer {
    let field = |(name, value): &(String, Bytes)| WireField {
        name: name.clone(),
        value: value.clone(),
    };
    WireCachedAnswer {
        status: u32::from(cached.status),
        fields: cached.fields.iter().map(field).collect(),
        body: cached.body.clone(),
    }
}

fn decode_cached(wire: WireCachedAnswer) -> Result<CachedAnswer, ProtocolError> {
    let fields = wire.fields.into_iter().map(|f| (f.name, f.value));
    Ok(CachedAnswer {
        status: u16::try_from(wire.status).map_err(|_| ProtocolError::Missing("status"))?,
        fields: fields.collect(),
        body: wire.body,
    })
}

fn encode_u128(number: u128) -> WireU128 {
    WireU128 {
        high: (number >> 64) as u64,
        low: number as u64,
    }
}

fn decode_u128(wire: WireU128) -> u128 {
    u128::from(wire.high) << 64 | u128::from(wire.low)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
