//! Fragments that wait to be sent, no faster than a narrow link bears.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fragments::{Fragment, MessageKey};

/// Bytes of fragments that a host sends in a second.
///
/// The narrowest links carry 10 Mbit/s: a fifth of that is left to callers. A
/// message of 290 KB reaches a data centre of any size within 0.6 s.
const SEND_RATE: f64 = 1_000_000.0;

/// Bytes sent without a pause, so that not every fragment costs a timer.
const BURST_BYTES: usize = 8 * 1_024;

/// Bytes that may wait.
///
/// More would be on its way longer than any host waits for it.
const QUEUE_LIMIT_BYTES: usize = 4 * 1_024 * 1_024;

/// Bytes that wait above which a host answers nobody who lacks fragments.
///
/// What they lack may be on its way in this very queue, and answers to all of them
/// would hold up the next message.
const BUSY_BYTES: usize = 64 * 1_024;

/// The fragments that wait, each with the host it goes to and what it is about.
#[derive(Clone, Debug)]
pub struct FragmentQueue<T> {
    waiting: VecDeque<(SocketAddr, T, Fragment)>,
    size: usize,
    /// Bytes sent since the last pause.
    sent: usize,
}

impl<T> Default for FragmentQueue<T> {
    fn default() -> FragmentQueue<T> {
        FragmentQueue {
            waiting: VecDeque::new(),
            size: 0,
            sent: 0,
        }
    }
}

impl<T> FragmentQueue<T> {
    /// Takes a fragment to be sent, and returns whether there is room for it.
    pub fn push(&mut self, to: SocketAddr, about: T, fragment: Fragment) -> bool {
        if self.size + fragment.bytes.len() > QUEUE_LIMIT_BYTES {
            return false;
        }
        self.size += fragment.bytes.len();
        self.waiting.push_back((to, about, fragment));
        true
    }

    /// Returns what is to be sent now.
    pub fn pop(&mut self) -> Option<(SocketAddr, T, Fragment)> {
        let next = self.waiting.pop_front()?;
        let size = next.2.bytes.len();
        self.size -= size;
        self.sent += size;
        Some(next)
    }

    /// Returns how long to pause before the next one, where that is due.
    pub fn pause(&mut self) -> Option<Duration> {
        if self.sent < BURST_BYTES {
            return None;
        }
        let sent = std::mem::take(&mut self.sent);
        let bytes = u32::try_from(sent).unwrap_or(u32::MAX);
        Some(Duration::from_secs_f64(f64::from(bytes) / SEND_RATE))
    }

    /// Returns whether too much waits to answer those who lack fragments.
    pub fn is_busy(&self) -> bool {
        self.size > BUSY_BYTES
    }

    /// Returns whether fragments of a message wait to be sent to this host.
    pub fn contains(&self, to: SocketAddr, message: MessageKey) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|(host, _, fragment)| *host == to && fragment.message == message)
    }
}
