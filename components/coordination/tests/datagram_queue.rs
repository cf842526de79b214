//! Tests of datagrams that wait for a full send buffer.

use std::net::SocketAddr;

use bytes::Bytes;
use coordination::datagram_queue::DatagramQueue;

fn host(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7540))
}

/// Copies for which the send buffer has no room must be sent later, in order: dropped, the same
/// hosts would miss every large message.
#[test]
fn kept_in_order() {
    let mut queue = DatagramQueue::default();
    for number in 0..6 {
        queue.push(host(number), Bytes::from(vec![number; 14_000]));
    }
    for number in 0..6 {
        assert_eq!(queue.front().map(|(to, _)| *to), Some(host(number)));
        queue.pop();
    }
    assert!(queue.is_empty());
    assert_eq!(queue.take_dropped(), 0);
}

/// A link that carries nothing for seconds must not fill the memory.
#[test]
fn bounded() {
    let mut queue = DatagramQueue::default();
    for _ in 0..1_000 {
        queue.push(host(1), Bytes::from(vec![1; 1_024]));
    }
    assert_eq!(queue.take_dropped(), 1_000 - 128);
    assert_eq!(queue.take_dropped(), 0);
    queue.pop();
    queue.push(host(1), Bytes::from(vec![1; 1_024]));
    assert_eq!(queue.take_dropped(), 0);
}
