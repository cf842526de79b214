//! Defines the commands that change the configuration, and their answers.

use std::fmt;
use std::net::SocketAddr;

use derives::{key, value};
use serde::{Deserialize, Serialize};
use state::HostKey;

/// Identifies one command, so that repeating the command is harmless.
///
/// The upper half is the log offset up to which the author had read, the lower half is
/// random. With the offset in the id, a fold that has dropped old ids can still detect
/// that an id *may* be one of them, and never runs a command twice.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CommandId(pub u128);

impl CommandId {
    /// Returns a new id for an author that has read the log up to `offset`.
    pub fn new(offset: u64, random: u64) -> CommandId {
        CommandId((u128::from(offset) << 64) | u128::from(random))
    }

    /// Returns the log offset up to which the author had read.
    pub fn author_offset(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl TryFrom<String> for CommandId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<CommandId, Self::Error> {
        u128::from_str_radix(&text, 16).map(CommandId)
    }
}

impl From<CommandId> for String {
    fn from(id: CommandId) -> String {
        id.to_string()
    }
}

/// One command, as written to the log.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Command {
    /// The command's id.
    pub id: CommandId,
    /// The revision on which the author based the command.
    pub decided_on: u64,
    /// The requested change.
    pub change: Change,
}

/// The change that a command requests.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum Change {
    /// Adds a preset, or replaces the one of the same name.
    PutPreset {
        /// The preset's TOML text.
        text: String,
    },
    /// Puts a preset into force in place of the current one.
    ChoosePreset {
        /// The preset's name.
        name: String,
    },
    /// Takes a data centre out of service: it gets no new work.
    LeaveCentre {
        /// The data centre's name.
        name: String,
    },
    /// Returns a data centre to service.
    ReturnCentre {
        /// The data centre's name.
        name: String,
    },
    /// Takes a host out of service: an entry host by name, or a backend server by IP
    /// address or socket address.
    LeaveHost {
        /// The host's name or address.
        name: String,
    },
    /// Returns a host to service.
    ReturnHost {
        /// The host's name or address.
        name: String,
    },
    /// Makes an entry host a member.
    Join {
        /// The entry host's name.
        name: String,
        /// A random number that its process drew at its start.
        incarnation: u64,
        /// The address on which peers reach the entry host.
        peer: SocketAddr,
        /// The entry host's data centre.
        data_centre: String,
    },
    /// Makes a member transfer its roles before it leaves.
    Drain {
        /// The member.
        host: HostKey,
        /// The incarnation of the process that is to drain.
        incarnation: u64,
    },
    /// Ends an entry host's membership, unless the host has been restarted since.
    Remove {
        /// The member.
        host: HostKey,
        /// The incarnation of the process that is to be removed.
        incarnation: u64,
    },
}

/// The outcome of a command, the same on every host.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Answer {
    /// The command is in force.
    Accepted {
        /// The revision since which the command is in force.
        revision: u64,
    },
    /// The command changed nothing, and won't later.
    Refused {
        /// The reason.
        refusal: Refusal,
    },
}

/// Why a command was refused.
#[value]
#[derive(Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Refusal {
    /// Another command changed the same subject after the revision on which this one is
    /// based.
    #[error("{subject} was changed first, at revision {revision}: look again and decide again")]
    Conflict {
        /// The subject that both commands change.
        subject: Subject,
        /// The revision of the other command's change.
        revision: u64,
    },
    /// The command is so old that it may be a repeat of one whose answer has been dropped.
    #[error(
        "the command is older than the commands whose answers are kept: it does nothing now, \
         and whether it ran before is unknown; look at the configuration and decide again"
    )]
    TooOld,
    /// The command names a revision or offset that this log has not reached.
    #[error("the command names revision or offset {0}, which this log has not reached")]
    Future(u64),
    /// The preset's text has errors.
    #[error("the preset has errors:\n{0}")]
    Faulty(String),
    /// No preset has this name.
    #[error("no preset is named {0}: put it first")]
    UnknownPreset(String),
    /// No preset defines this data centre.
    #[error("no preset names a data centre {0}")]
    UnknownCentre(String),
    /// No preset has an endpoint on this host, and no member has this name.
    #[error("no entry host is named {0} and no preset has an endpoint there")]
    UnknownHost(String),
    /// The member named by the command does not exist.
    #[error("the member is not there, or another process has taken its place")]
    UnknownMember,
    /// Another name has the same 64-bit key.
    #[error("the name {0} has the key of another member: choose another name")]
    SameKey(String),
}

/// What a command changes; two commands conflict only over the same subject.
#[value]
#[derive(PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Which preset is in force.
    Choice,
    /// The text of the preset with this name.
    Preset(String),
    /// Whether the data centre with this name is leaving.
    Centre(String),
    /// Whether the host with this name is leaving.
    Host(String),
    /// An entry host's membership.
    Member(HostKey),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Choice => write!(f, "the preset in force"),
            Subject::Preset(name) => write!(f, "preset {name}"),
            Subject::Centre(name) => write!(f, "data centre {name}"),
            Subject::Host(name) => write!(f, "host {name}"),
            Subject::Member(host) => write!(f, "member {:016x}", host.0),
        }
    }
}

impl Change {
    /// Returns the subject of the change; `None` for a preset's text, which has to be
    /// parsed first.
    pub fn subject(&self) -> Option<Subject> {
        Some(match self {
            Change::PutPreset { .. } => return None,
            Change::ChoosePreset { .. } => Subject::Choice,
            Change::LeaveCentre { name } | Change::ReturnCentre { name } => {
                Subject::Centre(name.clone())
            }
            Change::LeaveHost { name } | Change::ReturnHost { name } => Subject::Host(name.clone()),
            Change::Join { name, .. } => Subject::Member(HostKey::named(name)),
            Change::Drain { host, .. } | Change::Remove { host, .. } => Subject::Member(*host),
        })
    }
}
