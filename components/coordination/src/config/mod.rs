//! The configuration that all entry hosts agree on: the fold of the log's `config` stream.
//!
//! Commands stand on the log in offset order; folding them in that order
//! decides which are accepted, the same on every host. Nothing else decides:
//! no host is special, and no answer is given before the fold has given it.

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
