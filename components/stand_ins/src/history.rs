//! Records the events that callers, operators and backend servers observe, as one list.

use std::io::{self, BufRead, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

pub mod check;
pub mod event;

pub use event::{Ending, Event, Order, Outcome, Record};

/// Collects events from any thread of one process.
///
/// Clones share one list. Times are microseconds of the machine's wall clock,
/// so that histories of several processes on one machine can be merged.
#[derive(Clone, Default)]
pub struct History {
    records: Arc<Mutex<Vec<Record>>>,
}

impl History {
    /// Adds `event` with the current time.
    pub fn add(&self, event: Event) {
        self.add_at(wall_micros(), event);
    }

    /// Adds `event` with the time `at`, in microseconds since 1970.
    pub fn add_at(&self, at: u64, event: Event) {
        self.records().push(Record { at, event });
    }

    /// Adds the records of another process.
    pub fn extend(&self, records: Vec<Record>) {
        self.records().extend(records);
    }

    /// Returns all records so far, sorted by time.
    pub fn sorted(&self) -> Vec<Record> {
        let mut records = self.records().clone();
        records.sort_by_key(|r| r.at);
        records
    }

    fn records(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall clock in microseconds since 1970.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Writes records as JSON, one per line.
///
/// # Errors
///
/// Fails if writing to `out` fails.
pub fn write_lines(records: &[Record], mut out: impl Write) -> io::Result<()> {
    for record in records {
        serde_json::to_writer(&mut out, record)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

/// Reads records in the format of [`write_lines`].
///
/// # Errors
///
/// Fails if reading from `input` fails, and on a line that is not a record.
pub fn read_lines(input: impl BufRead) -> io::Result<Vec<Record>> {
    input
        .lines()
        .map(|line| Ok(serde_json::from_str(&line?)?))
        .collect()
}
