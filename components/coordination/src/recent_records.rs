//! The last records of a topic, for neighbours that missed some.
//!
//! A datagram gets lost now and then, mostly on a link that is full. Whoever
//! misses one would read the store for it, and behind a lost piece of a large
//! bunch dozens of hosts would, each call paid for. Asking the neighbour that
//! told the next one costs nothing.

use std::collections::VecDeque;

use bytes::Bytes;

/// Bytes of records kept: a bunch of three hundred endpoints that change at once.
const MAX_BYTES: usize = 64 * 1024;

/// The last records of one topic.
#[derive(Clone, Debug, Default)]
pub struct RecentRecords {
    from: u64,
    size: usize,
    records: VecDeque<Bytes>,
}

impl RecentRecords {
    /// Takes in the record at `offset`.
    ///
    /// One that doesn't follow the last begins anew: what lies between is unknown.
    pub fn push(&mut self, offset: u64, record: Bytes) {
        if offset != self.end() {
            *self = RecentRecords {
                from: offset,
                ..RecentRecords::default()
            };
        }
        self.size += record.len();
        self.records.push_back(record);
        while self.size > MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.size -= oldest.len();
            self.from += 1;
        }
    }

    /// Returns the records from `from` on, nothing where they aren't all here.
    pub fn records_from(&self, from: u64) -> Option<Vec<Bytes>> {
        if from < self.from || from >= self.end() {
            return None;
        }
        let skip = usize::try_from(from - self.from).ok()?;
        Some(self.records.iter().skip(skip).cloned().collect())
    }

    fn end(&self) -> u64 {
        self.from + self.records.len() as u64
    }
}
