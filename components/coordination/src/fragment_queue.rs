//! Queues fragments, and paces them so that they don't saturate a narrow link.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fragments::{Fragment, MessageKey};

/// Bytes of fragments that a host sends in a second.
///
/// The narrowest links carry 10 Mbit/s: a fifth of that is left to callers. A message of
/// 290 KB reaches a data centre of any size within 0.6 s.
const SEND_RATE: f64 = 1_000_000.0;

/// Bytes sent without a pause, so that not every fragment needs a timer.
const BURST_BYTES: usize = 8 * 1_024;

/// The most bytes queued.
///
/// With more, a fragment would wait longer than any host waits for it.
const QUEUE_LIMIT_BYTES: usize = 4 * 1_024 * 1_024;

/// Queued bytes above which a host doesn't answer requests for missing fragments.
///
/// The missing fragments may be in this queue already, and answers to all requests would
/// delay the next message.
const BUSY_BYTES: usize = 64 * 1_024;

/// The queued fragments, each with its destination and a tag of the caller's.
#[derive(Clone, Debug)]
pub struct FragmentQueue<T> {
    queue: VecDeque<(SocketAddr, T, Fragment)>,
    size: usize,
    /// Bytes sent since the last pause.
    sent: usize,
}

impl<T> Default for FragmentQueue<T> {
    fn default() -> FragmentQueue<T> {
        FragmentQueue {
            queue: VecDeque::new(),
            size: 0,
            sent: 0,
        }
    }
}

impl<T> FragmentQueue<T> {
    /// Appends a fragment, and returns whether there was room for it.
    pub fn push(&mut self, to: SocketAddr, tag: T, fragment: Fragment) -> bool {
        if self.size + fragment.bytes.len() > QUEUE_LIMIT_BYTES {
            return false;
        }
        self.size += fragment.bytes.len();
        self.queue.push_back((to, tag, fragment));
        true
    }

    /// Removes and returns the next fragment to send.
    pub fn pop(&mut self) -> Option<(SocketAddr, T, Fragment)> {
        let next = self.queue.pop_front()?;
        let size = next.2.bytes.len();
        self.size -= size;
        self.sent += size;
        Some(next)
    }

    /// Returns how long to pause before the next fragment, if a pause is due.
    pub fn pause(&mut self) -> Option<Duration> {
        if self.sent < BURST_BYTES {
            return None;
        }
        let sent = std::mem::take(&mut self.sent);
        let bytes = u32::try_from(sent).unwrap_or(u32::MAX);
        Some(Duration::from_secs_f64(f64::from(bytes) / SEND_RATE))
    }

    /// Returns whether too many bytes are queued to answer requests for missing
    /// fragments.
    pub fn is_busy(&self) -> bool {
        self.size > BUSY_BYTES
    }

    /// Returns whether fragments of the message are queued for this host.
    pub fn contains(&self, to: SocketAddr, message: MessageKey) -> bool {
        let mut queue = self.queue.iter();
        queue.any(|(host, _, fragment)| *host == to && fragment.message == message)
    }
}
