//! Sends datagrams to other hosts.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use protocol::neighbour::NeighbourMessage;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// How long to wait when it is unknown whether a datagram can be sent.
const SEND_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Gateway {
    /// Sends a message to all neighbours.
    pub(super) fn broadcast(&self, message: &NeighbourMessage) {
        let addresses = self.neighbours.borrow_mut().current(clock::now());
        self.send_to_all(&addresses, message);
    }

    /// Sends a message to several hosts, encoded once.
    pub(super) fn send_to_all(&self, addresses: &[SocketAddr], message: &NeighbourMessage) {
        let datagram = Bytes::from(message.encode());
        let mut traffic = self.traffic.borrow_mut();
        for address in addresses {
            traffic.sent(message, datagram.len());
            self.send_datagram(*address, &datagram);
        }
    }

    /// Sends a datagram without blocking, or queues it if the send buffer is full.
    fn send_datagram(&self, address: SocketAddr, datagram: &Bytes) {
        let mut unsent = self.unsent.borrow_mut();
        if unsent.is_empty() && try_send(&self.socket, address, datagram) {
            return;
        }
        unsent.push(address, datagram.clone());
        self.unsent_notify.notify_one();
    }

    /// Sends queued datagrams once the send buffer has room; never returns.
    pub(super) async fn send_queued(self: Rc<Self>) {
        loop {
            self.unsent_notify.notified().await;
            while !self.unsent.borrow().is_empty() {
                if let Err(error) = self.socket.writable().await {
                    log::warn!("E0406 datagram-not-sent error={error:?}");
                    sleep(SEND_RETRY_DELAY).await;
                }
                self.send_unsent();
            }
            let dropped = self.unsent.borrow_mut().take_dropped();
            if dropped > 0 {
                log::info!("E0406 datagram-not-sent datagrams={dropped} error=queue full");
            }
        }
    }

    fn send_unsent(&self) {
        let mut unsent = self.unsent.borrow_mut();
        while let Some((address, datagram)) = unsent.front() {
            if !try_send(&self.socket, *address, datagram) {
                return;
            }
            unsent.pop();
        }
    }

    /// Sends a message to all hosts: to the neighbours, and to some hosts of each
    /// other data centre, which forward it to their neighbours.
    ///
    /// `message` builds the message; its argument tells whether the message goes to
    /// another data centre.
    pub(super) fn broadcast_all_centres(&self, message: impl Fn(bool) -> NeighbourMessage) {
        self.broadcast(&message(false));
        let cross_centre = message(true);
        let contacts = self.neighbours.borrow_mut().remote_targets(clock::now());
        for host in contacts.into_iter().flatten() {
            self.send(host, &cross_centre);
        }
    }

    /// Sends a message to one host.
    pub(super) fn send(&self, address: SocketAddr, message: &NeighbourMessage) {
        self.send_to_all(&[address], message);
    }
}

/// Sends a datagram, and returns whether that is done; `false` if the send buffer is full.
fn try_send(socket: &UdpSocket, address: SocketAddr, datagram: &[u8]) -> bool {
    match socket.try_send_to(datagram, address) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
        Err(error) => log::warn!(
            "E0406 datagram-not-sent address={address} bytes={} error={error:?}",
            datagram.len()
        ),
    }
    true
}
