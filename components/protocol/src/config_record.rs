//! The format of records in the log's `config` topic.

use bytes::Bytes;
use coordination::config::{Change, Command, CommandId, Record, Snapshot, Unreadable};
use prost::Message;
use state::HostKey;
use xxhash_rust::xxh3::xxh3_64;

/// The version of the record format and of the rules by which hosts apply records.
///
/// Two hosts that decide a command differently would hold different
/// configurations under the same revision. The version is therefore increased
/// with every change of these rules, including the rules for valid presets.
pub const VERSION: u32 = 1;

/// A record as stored in the log. The checksum is the XXH3-64 hash of the body.
#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(fixed64, tag = "2")]
    checksum: u64,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct Body {
    #[prost(oneof = "Kind", tags = "1, 2, 3")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Command(CommandBody),
    /// A [`Snapshot`] as JSON. It is written only a few times a day and read
    /// rarely, so a compact form isn't needed.
    #[prost(bytes = "bytes", tag = "2")]
    Snapshot(Bytes),
    /// The text of the preset that starts a new configuration.
    #[prost(string, tag = "3")]
    Begin(String),
}

#[derive(Clone, PartialEq, Message)]
struct CommandBody {
    #[prost(fixed64, tag = "1")]
    id_high: u64,
    #[prost(fixed64, tag = "2")]
    id_low: u64,
    #[prost(uint64, tag = "3")]
    decided_on: u64,
    #[prost(oneof = "ChangeBody", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12")]
    change: Option<ChangeBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum ChangeBody {
    #[prost(string, tag = "4")]
    PutPreset(String),
    #[prost(string, tag = "5")]
    ChoosePreset(String),
    #[prost(string, tag = "6")]
    LeaveCentre(String),
    #[prost(string, tag = "7")]
    ReturnCentre(String),
    #[prost(string, tag = "8")]
    LeaveHost(String),
    #[prost(string, tag = "9")]
    ReturnHost(String),
    #[prost(message, tag = "10")]
    Join(JoinBody),
    #[prost(message, tag = "11")]
    Remove(MemberBody),
    #[prost(message, tag = "12")]
    Drain(MemberBody),
}

#[derive(Clone, PartialEq, Message)]
struct JoinBody {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    peer: String,
    #[prost(string, tag = "4")]
    data_centre: String,
}

#[derive(Clone, PartialEq, Message)]
struct MemberBody {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
}

/// Encodes the record of a command.
pub fn encode_command(command: &Command) -> Bytes {
    let body = CommandBody {
        id_high: (command.id.0 >> 64) as u64,
        id_low: command.id.0 as u64,
        decided_on: command.decided_on,
        change: Some(encode_change(&command.change)),
    };
    encode_record(Kind::Command(body))
}

/// Encodes the record of a snapshot, for the log and for messages between peers.
///
/// # Panics
///
/// Never in practice: all maps of a snapshot have keys that JSON allows.
pub fn encode_snapshot(snapshot: &Snapshot) -> Bytes {
    let json = serde_json::to_vec(snapshot).expect("a snapshot can be written as JSON");
    encode_record(Kind::Snapshot(json.into()))
}

/// Encodes the record that starts a new configuration with only this preset, in force.
pub fn encode_begin(text: &str) -> Bytes {
    encode_record(Kind::Begin(text.to_owned()))
}

/// Decodes a record of the `config` topic.
///
/// # Errors
///
/// Returns whether the bytes are damaged or of a newer version. The caller must
/// skip and report such a record: a host that stopped there would never get past it.
pub fn decode_record(data: &Bytes) -> Result<Record, Unreadable> {
    let envelope = Envelope::decode(data.clone()).map_err(|_| Unreadable::Damaged)?;
    match envelope {
        e if e.version == 0 => return Err(Unreadable::Damaged),
        e if e.checksum != xxh3_64(&e.body) => return Err(Unreadable::Damaged),
        e if e.version > VERSION => return Err(Unreadable::Newer(e.version)),
        _ => {}
    }
    let body = Body::decode(envelope.body).map_err(|_| Unreadable::Damaged)?;
    match body.kind.ok_or(Unreadable::Damaged)? {
        Kind::Command(body) => decode_command(body)
            .ok_or(Unreadable::Damaged)
            .map(Record::Command),
        Kind::Snapshot(json) => serde_json::from_slice(&json)
            .map(|s| Record::Snapshot(Box::new(s)))
            .map_err(|_| Unreadable::Damaged),
        Kind::Begin(text) => Ok(Record::Begin(text)),
    }
}

fn encode_record(kind: Kind) -> Bytes {
    let body = Bytes::from(Body { kind: Some(kind) }.encode_to_vec());
    let envelope = Envelope {
        version: VERSION,
        checksum: xxh3_64(&body),
        body,
    };
    envelope.encode_to_vec().into()
}

fn encode_change(change: &Change) -> ChangeBody {
    match change {
        Change::PutPreset { text } => ChangeBody::PutPreset(text.clone()),
        Change::ChoosePreset { name } => ChangeBody::ChoosePreset(name.clone()),
        Change::LeaveCentre { name } => ChangeBody::LeaveCentre(name.clone()),
        Change::ReturnCentre { name } => ChangeBody::ReturnCentre(name.clone()),
        Change::LeaveHost { name } => ChangeBody::LeaveHost(name.clone()),
        Change::ReturnHost { name } => ChangeBody::ReturnHost(name.clone()),
        Change::Join {
            name,
            incarnation,
            peer,
            data_centre,
        } => ChangeBody::Join(JoinBody {
            name: name.clone(),
            incarnation: *incarnation,
            peer: peer.to_string(),
            data_centre: data_centre.clone(),
        }),
        Change::Remove { host, incarnation } => {
            ChangeBody::Remove(encode_member(*host, *incarnation))
        }
        Change::Drain { host, incarnation } => {
            ChangeBody::Drain(encode_member(*host, *incarnation))
        }
    }
}

fn encode_member(host: HostKey, incarnation: u64) -> MemberBody {
    MemberBody {
        host: host.0,
        incarnation,
    }
}

fn decode_command(body: CommandBody) -> Option<Command> {
    let change = match body.change? {
        ChangeBody::PutPreset(text) => Change::PutPreset { text },
        ChangeBody::ChoosePreset(name) => Change::ChoosePreset { name },
        ChangeBody::LeaveCentre(name) => Change::LeaveCentre { name },
        ChangeBody::ReturnCentre(name) => Change::ReturnCentre { name },
        ChangeBody::LeaveHost(name) => Change::LeaveHost { name },
        ChangeBody::ReturnHost(name) => Change::ReturnHost { name },
        ChangeBody::Join(join) => Change::Join {
            name: join.name,
            incarnation: join.incarnation,
            peer: join.peer.parse().ok()?,
            data_centre: join.data_centre,
        },
        ChangeBody::Remove(remove) => Change::Remove {
            host: HostKey(remove.host),
            incarnation: remove.incarnation,
        },
        ChangeBody::Drain(drain) => Change::Drain {
            host: HostKey(drain.host),
            incarnation: drain.incarnation,
        },
    };
    Some(Command {
        id: CommandId((u128::from(body.id_high) << 64) | u128::from(body.id_low)),
        decided_on: body.decided_on,
        change,
    })
}
