//! The whole folded state as one record, for the log and for peers.

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use state::Config;

use super::command::{Answer, CommandId, Subject};

/// How far a fold has come. All folds are prefixes of one sequence, so that
/// marks of different hosts can be compared.
#[tag]
#[derive(Default, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The log's offset after the last record folded in.
    pub next: u64,
    /// The revision in force there.
    pub revision: u64,
}

/// Returns whether a peer's configuration should take the place of one's own.
///
/// A host that comes back from a pause is handed older configurations that
/// were on their way meanwhile. Taking one would send work to a data centre
/// that has left; so only more of the log counts, and never a lower revision.
pub fn is_newer(mine: Position, theirs: Position) -> bool {
    theirs.next > mine.next && theirs.revision >= mine.revision
}

/// The state after folding every record before `next`.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The log's offset after the last record folded in.
    pub next: u64,
    /// The configuration.
    pub config: Config,
    /// The last commands and their answers, by offset.
    pub recent: Vec<RecentCommand>,
    /// The revision at which each subject was last changed.
    pub touched: Vec<(Subject, u64)>,
    /// What has been forgotten.
    pub floor: Floor,
}

/// A command that was decided, kept so that repeating it is harmless.
#[value]
#[derive(Serialize, Deserialize)]
pub struct RecentCommand {
    /// Its offset on the log.
    pub offset: u64,
    /// Its id.
    pub id: CommandId,
    /// The revision after it.
    pub revision: u64,
    /// Its answer.
    pub answer: Answer,
}

/// The newest command that has been forgotten.
///
/// Commands that were decided on before it can't be told from repeats, so that
/// they are refused. Counted in offsets and revisions: hosts' clocks differ.
#[tag]
#[derive(Default, Serialize, Deserialize)]
pub struct Floor {
    /// The offset after it.
    pub offset: u64,
    /// The revision after it.
    pub revision: u64,
}

impl Snapshot {
    /// Returns how far the snapshot has come.
    pub fn position(&self) -> Position {
        Position {
            next: self.next,
            revision: self.config.revision,
        }
    }
}
