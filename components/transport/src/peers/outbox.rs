//! The bounded send queue of one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::Notify;

use super::counters;

/// Control messages that may be queued for one peer.
///
/// A peer that does not read must not make this host's memory grow. A message
/// with this many others before it would be out of date when it is sent.
const CONTROL_LIMIT: usize = 1_024;

/// Bytes of bulk messages that may be queued for one peer.
const BULK_LIMIT: usize = 2 * 1_024 * 1_024;

/// Bytes of one write. Control messages that arrive meanwhile go first in the next one.
const BATCH_LIMIT: usize = 64 * 1_024;

/// The messages queued for one peer. Control messages are sent before bulk messages.
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
    /// Adds a message. Returns false if the queue is full and the message was dropped.
    pub fn push(&self, message: Bytes, bulk: bool) -> bool {
        let mut queues = self.queues();
        let fits = match bulk {
            true => queues.bulk_bytes + message.len() <= BULK_LIMIT,
            false => queues.control.len() < CONTROL_LIMIT,
        };
        if !fits {
            counters::count_dropped("full", 1);
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

    /// Waits for a message, then appends frames for one write to `buffer`.
    pub async fn batch(&self, buffer: &mut BytesMut) {
        loop {
            if self.take(buffer) {
                return;
            }
            self.ready.notified().await;
        }
    }

    /// Drops all queued messages, after their link was closed.
    pub fn clear(&self) {
        let mut queues = self.queues();
        counters::count_dropped("no_link", queues.control.len() + queues.bulk.len());
        *queues = Queues::default();
    }

    fn take(&self, buffer: &mut BytesMut) -> bool {
        let mut queues = self.queues();
        while buffer.len() < BATCH_LIMIT {
            let Some(message) = queues.next() else {
                break;
            };
            counters::count_sent(message.len() + LENGTH_FIELD);
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

/// Bytes of a frame's length field, which is the default of `tokio-util`'s codec.
pub const LENGTH_FIELD: usize = 4;

/// Appends a frame to `buffer`: the length of `message`, then `message`.
pub fn frame(buffer: &mut BytesMut, message: &Bytes) {
    buffer.reserve(LENGTH_FIELD + message.len());
    buffer.put_u32(u32::try_from(message.len()).expect("a message is far shorter than 4 GiB"));
    buffer.put_slice(message);
}
