//! Keeps datagrams for which the socket's send buffer has no room.
//!
//! A host with a narrow link sends to dozens of others at once. If the datagrams that don't
//! fit were dropped, the same hosts would miss every message of that size.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

/// The most bytes queued: what a link of 10 Mbit/s carries in 100 ms.
const LIMIT_BYTES: usize = 128 * 1_024;

/// Datagrams that wait until the socket takes them, in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub struct DatagramQueue {
    datagrams: VecDeque<(SocketAddr, Bytes)>,
    size: usize,
    /// Number of datagrams for which there was no room.
    dropped: u64,
}

impl DatagramQueue {
    /// Appends a datagram, or drops and counts it if there is no room.
    pub fn push(&mut self, to: SocketAddr, datagram: Bytes) {
        if self.size + datagram.len() > LIMIT_BYTES {
            self.dropped += 1;
            return;
        }
        self.size += datagram.len();
        self.datagrams.push_back((to, datagram));
    }

    /// Returns how many datagrams were dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the next datagram.
    pub fn front(&self) -> Option<&(SocketAddr, Bytes)> {
        self.datagrams.front()
    }

    /// Removes the next datagram.
    pub fn pop(&mut self) {
        if let Some((_, datagram)) = self.datagrams.pop_front() {
            self.size -= datagram.len();
        }
    }

    /// Returns whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.datagrams.is_empty()
    }
}
