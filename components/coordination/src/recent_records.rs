//! Keeps the last records of a topic, for neighbours that missed some.
//!
//! Datagrams get lost now and then, mostly on a saturated link. A host that misses one
//! would have to read the store; after the loss of a fragment of a large update dozens of
//! hosts would, and each read is charged. A request to the neighbour that sent the next
//! update costs nothing.

use std::collections::VecDeque;

use bytes::Bytes;

/// Bytes of records that are always kept: enough for three hundred endpoints that change at
/// once.
const MIN_BYTES: usize = 64 * 1024;

/// The least number of bytes that a record counts: a renewal is empty.
const MIN_RECORD_BYTES: usize = 32;

/// The last records of one topic.
#[derive(Clone, Debug, Default)]
pub struct RecentRecords {
    from: u64,
    size: usize,
    records: VecDeque<Bytes>,
}

impl RecentRecords {
    /// Appends the record at `offset`.
    ///
    /// If the record doesn't follow the last one, all earlier records are dropped: those
    /// between are unknown.
    ///
    /// `topic_bytes` is the size of all records of the topic. As long as the last ones take
    /// less than half of it they are sent rather than a snapshot.
    pub fn push(&mut self, offset: u64, record: Bytes, topic_bytes: usize) {
        if offset != self.end() {
            *self = RecentRecords {
                from: offset,
                ..RecentRecords::default()
            };
        }
        self.size += counted_bytes(&record);
        self.records.push_back(record);
        while self.size > (topic_bytes / 2).max(MIN_BYTES) {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.size -= counted_bytes(&oldest);
            self.from += 1;
        }
    }

    /// Returns the records from `from` on, or `None` if some of them are missing.
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

fn counted_bytes(record: &Bytes) -> usize {
    record.len().max(MIN_RECORD_BYTES)
}
