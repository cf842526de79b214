//! The configuration on which all entry hosts agree: the fold of the log's `config`
//! stream.
//!
//! The log holds commands in offset order; folding them in that order decides which ones
//! are accepted, with the same result on every host. Nothing else decides: no host is
//! special, and no command is answered before it has been folded.

mod check;
mod command;
mod decide;
mod fold;
mod schema;
mod snapshot;
mod snapshot_timer;

pub use check::{PresetError, PresetErrors, parse_preset};
pub use command::{Answer, Change, Command, CommandId, Refusal, Subject};
pub use fold::{Applied, Fold, KEPT_COMMANDS, Record, Unreadable};
pub use snapshot::{Floor, Position, RecentCommand, Snapshot, is_newer};
pub use snapshot_timer::{LogView, SnapshotPolicy, SnapshotTimer};
