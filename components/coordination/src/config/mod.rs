//! The configuration that all entry hosts agree on: the fold of the log's `config` stream.
//!
//! Commands stand on the log in offset order; folding them in that order
//! decides which are accepted, the same on every host. Nothing else decides:
//! no host is special, and no answer is given before the fold has given it.

mod check;
mod command;
mod decide;
mod fold;
mod retention;
mod schema;
mod snapshot;

pub use check::{Fault, Faults, parse_preset};
pub use command::{Answer, Change, Command, CommandId, Refusal, Subject};
pub use fold::{Fold, Record, Step, Unreadable, WINDOW};
pub use retention::{LogView, SnapshotTimer, Spacing};
pub use snapshot::{Floor, Mark, Recent, Snapshot, newer};
