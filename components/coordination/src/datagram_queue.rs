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
}

impl DatagramQueue {
    /// Appends a datagram, and returns whether there was room for it.
    pub fn push(&mut self, to: SocketAddr, datagram: Bytes) -> bool {
        if self.size + datagram.len() > LIMIT_BYTES {
            return false;
        }
        self.size += datagram.len();
        self.datagrams.push_back((to, datagram));
        true
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
