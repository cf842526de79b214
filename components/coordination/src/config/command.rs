//! Commands that change the configuration, and the answers to them.

use std::fmt;
use std::net::SocketAddr;

use derives::{key, value};
use serde::{Deserialize, Serialize};
use state::HostKey;

/// Names one command, so that repeating it is harmless.
///
/// The upper half is the log's offset that its author had read up to, the
/// lower half is random. With the offset inside, a fold that has forgotten old
/// ids can still tell that an id *may* be one of them, and never runs it twice.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CommandId(pub u128);

impl CommandId {
    /// Returns a new id for an author that has read the log up to `offset`.
    pub fn new(offset: u64, random: u64) -> CommandId {
        CommandId((u128::from(offset) << 64) | u128::from(random))
    }

    /// Returns the log's offset that the author had read up to.
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

/// One command, as it stands on the log.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Command {
    /// Names it.
    pub id: CommandId,
    /// The revision its author looked at when deciding on it.
    pub decided_on: u64,
    /// What it asks for.
    pub change: Change,
}

/// What a command asks for.
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
    /// Brings a preset into force in place of the one in force.
    ChoosePreset {
        /// The preset's name.
        name: String,
    },
    /// Takes a data centre out: it gets no new work.
    LeaveCentre {
        /// The data centre's name.
        name: String,
    },
    /// Brings a data centre back.
    ReturnCentre {
        /// The data centre's name.
        name: String,
    },
    /// Takes a host out: an entry host's name, or a backend server's IP number or address.
    LeaveHost {
        /// The host.
        name: String,
    },
    /// Brings a host back.
    ReturnHost {
        /// The host.
        name: String,
    },
    /// Makes an entry host a member.
    Join {
        /// Its name.
        name: String,
        /// Drawn when its process started.
        incarnation: u64,
        /// Where its peers reach it.
        peer: SocketAddr,
        /// The data centre it stands in.
        data_centre: String,
    },
    /// Has a member hand its roles on before it leaves.
    Drain {
        /// The member.
        host: HostKey,
        /// The process that is meant.
        incarnation: u64,
    },
    /// Ends an entry host's membership, unless it has been started anew since.
    Remove {
        /// The member.
        host: HostKey,
        /// The process that is meant.
        incarnation: u64,
    },
}

/// What the fold made of a command: the same on every host.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Answer {
    /// It is in force since this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// It changed nothing and never will.
    Refused {
        /// Why.
        refusal: Refusal,
    },
}

/// Why a command was refused.
#[value]
#[derive(Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Refusal {
    /// Another command changed the same thing after the author had looked.
    #[error("{subject} was changed first, at revision {revision}: look again and decide anew")]
    Conflict {
        /// What both change.
        subject: Subject,
        /// The revision of the other's change.
        revision: u64,
    },
    /// The command is so old that whether it ran before is no longer known.
    #[error(
        "the command is older than what the log remembers: it does nothing now, \
         and whether it ran before can't be told; look at the configuration and decide anew"
    )]
    TooOld,
    /// The revision or the id is from the future: not drawn from this log.
    #[error("the command names revision or offset {0}, which this log has not reached")]
    Future(u64),
    /// The preset's text has faults.
    #[error("the preset has faults:\n{0}")]
    Faulty(String),
    /// No preset has this name.
    #[error("no preset is named {0}: put it first")]
    UnknownPreset(String),
    /// No preset names this data centre.
    #[error("no preset names a data centre {0}")]
    UnknownCentre(String),
    /// No preset names an endpoint on this host and no member has this name.
    #[error("no entry host is named {0} and no preset has an endpoint there")]
    UnknownHost(String),
    /// The member that the command means is not there.
    #[error("the member is not there, or another process has taken its place")]
    UnknownMember,
    /// Two names have the same 64-bit key.
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
    /// A preset's text.
    Preset(String),
    /// Whether a data centre is leaving.
    Centre(String),
    /// Whether a host is leaving.
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
    /// Returns what the change is about, where its text can be read.
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
