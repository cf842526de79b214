//! The whole folded state as one record, for the log and for peers.

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use state::Config;

use super::command::{Answer, CommandId, Subject};

/// How far a fold has read the log, and the revision there.
///
/// All folds are prefixes of the same sequence, so that the positions of different hosts
/// can be compared.
#[tag]
#[derive(Default, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The offset after the last folded record.
    pub next: u64,
    /// The revision in force after that record.
    pub revision: u64,
}

/// Returns whether a peer's configuration should replace a host's own.
///
/// A host that resumes after a pause receives older configurations that were sent
/// meanwhile. Applying one would send work to a data centre that has left; so a
/// configuration replaces another only if it covers more of the log and has no lower
/// revision.
pub fn is_newer(mine: Position, theirs: Position) -> bool {
    theirs.next > mine.next && theirs.revision >= mine.revision
}

/// The state after folding every record before `next`.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset after the last folded record.
    pub next: u64,
    /// The configuration.
    pub config: Config,
    /// The most recent commands and their answers, by offset.
    pub recent: Vec<RecentCommand>,
    /// The revision at which each subject was last changed.
    pub touched: Vec<(Subject, u64)>,
    /// The newest command that is no longer in `recent`.
    pub floor: Floor,
}

/// A decided command, kept so that repeating it is harmless.
#[value]
#[derive(Serialize, Deserialize)]
pub struct RecentCommand {
    /// The command's offset on the log.
    pub offset: u64,
    /// The command's id.
    pub id: CommandId,
    /// The revision after the command.
    pub revision: u64,
    /// The answer to the command.
    pub answer: Answer,
}

/// The newest command whose answer has been dropped.
///
/// Commands based on an earlier revision can't be distinguished from repeats and are
/// refused. Counted in offsets and revisions, since the clocks of hosts differ.
#[tag]
#[derive(Default, Serialize, Deserialize)]
pub struct Floor {
    /// The offset after the command.
    pub offset: u64,
    /// The revision after the command.
    pub revision: u64,
}

impl Snapshot {
    /// Returns the position of the fold at the snapshot.
    pub fn position(&self) -> Position {
        Position {
            next: self.next,
            revision: self.config.revision,
        }
    }
}
