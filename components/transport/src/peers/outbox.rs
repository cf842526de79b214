//! The bounded queue of messages to one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::Notify;

use super::counters;

/// Control messages that may wait for one peer.
///
/// A peer that reads nothing must not grow this host's memory; what waits
/// longer than this many messages is too old to be of use.
const CONTROL_LIMIT: usize = 1_024;

/// Bytes of bulk messages that may wait for one peer.
const BULK_LIMIT: usize = 2 * 1_024 * 1_024;

/// Bytes written at once before control messages are looked at again.
const BATCH_LIMIT: usize = 64 * 1_024;

/// Messages that wait to be written to one peer, control before bulk.
#[derive(Default)]
pub struct Outbox {
    queues: Mutex<Queues>,
    ready: Notify,
}

#[derive(Default)]
struct Queues {
    control: VecDeque<Bytes>,
    bulk: VecDeque<Bytes>,
    bulk_bytes: usize,
}

impl Outbox {
    /// Adds a message; false where it was dropped because too much waits.
    pub fn push(&self, message: Bytes, bulk: bool) -> bool {
        let mut queues = self.queues();
        let fits = match bulk {
            true => queues.bulk_bytes + message.len() <= BULK_LIMIT,
            false => queues.control.len() < CONTROL_LIMIT,
        };
        if !fits {
            counters::dropped("full", 1);
            return false;
        }
        if bulk {
            queues.bulk_bytes += message.len();
            queues.bulk.push_back(message);
        } else {
            queues.control.push_back(message);
        }
        drop(queues);
        self.ready.notify_one();
        true
    }

    /// Waits until there is something to write, then frames as much as one write takes.
    pub async fn batch(&self, buffer: &mut BytesMut) {
        loop {
            if self.take(buffer) {
                return;
            }
            self.ready.notified().await;
        }
    }

    /// Drops all that waits: it was meant for a link that is gone.
    pub fn clear(&self) {
        let mut queues = self.queues();
        counters::dropped("no_link", queues.control.len() + queues.bulk.len());
        *queues = Queues::default();
    }

    fn take(&self, buffer: &mut BytesMut) -> bool {
        let mut queues = self.queues();
        while buffer.len() < BATCH_LIMIT {
            let Some(message) = queues.next() else {
                break;
            };
            counters::sent(message.len() + LENGTH_FIELD);
            frame(buffer, &message);
        }
        !buffer.is_empty()
    }

    fn queues(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queues {
    fn next(&mut self) -> Option<Bytes> {
        if let Some(message) = self.control.pop_front() {
            return Some(message);
        }
        let message = self.bulk.pop_front()?;
        self.bulk_bytes -= message.len();
        Some(message)
    }
}

/// Bytes of a frame's length field, as `tokio-util`'s codec reads it by default.
pub const LENGTH_FIELD: usize = 4;

/// Appends `message` with its length to `buffer`.
pub fn frame(buffer: &mut BytesMut, message: &Bytes) {
    buffer.reserve(LENGTH_FIELD + message.len());
    buffer.put_u32(u32::try_from(message.len()).expect("a message is far shorter than 4 GiB"));
    buffer.put_slice(message);
}
