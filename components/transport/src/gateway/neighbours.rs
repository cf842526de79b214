//! Tells the hosts of the same data centre what was read, and hears it from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::news::{DATAGRAM_LIMIT, Neighbourly, News};
use state::Moment;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::Gateway;
use crate::clock;

/// How often a host says that it is here.
const HELLO_EVERY: Duration = Duration::from_secs(3);

/// How long a neighbour that says nothing is still told.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// How long to wait when no datagram can be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// The hosts of the same data centre, and when each was heard or heard of.
#[derive(Default)]
pub struct Neighbours {
    heard: BTreeMap<SocketAddr, Moment>,
}

impl Neighbours {
    /// Notes a neighbour, and returns whether it is a new one.
    pub fn note(&mut self, address: SocketAddr, now: Moment) -> bool {
        self.heard.insert(address, now).is_none()
    }

    /// Returns whether no neighbour is known.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Returns all neighbours, and forgets those that have long been silent.
    fn current(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.heard.retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.heard.keys().copied().collect()
    }
}

impl Gateway {
    /// Says to all neighbours that this host is here, for ever.
    pub(super) async fn greet(self: Rc<Self>) {
        let mut ticks = interval(HELLO_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let hello = self.hello();
            self.tell_all(&hello);
        }
    }

    /// Greets a neighbour that the store or another neighbour names.
    pub(super) fn meet(&self, address: SocketAddr) {
        let known = self.neighbours.borrow().heard.contains_key(&address);
        if address == self.settings.peers || known {
            return;
        }
        if self.neighbours.borrow_mut().note(address, clock::now()) {
            self.tell(address, &self.hello());
        }
    }

    /// Tells all neighbours what was read.
    pub(super) fn tell_news(&self, news: News) {
        for piece in news.split() {
            self.tell_all(&Neighbourly::News(piece));
        }
    }

    /// Hears what neighbours tell, for ever.
    pub(super) async fn hear(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT * 4];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("E0403 datagram-not-received error={error:?}");
                    sleep(RECEIVE_PAUSE).await;
                    continue;
                }
            };
            self.take_datagram(from, &buffer[..length]);
        }
    }

    fn take_datagram(&self, from: SocketAddr, datagram: &[u8]) {
        let message = match Neighbourly::decode(datagram) {
            Ok(message) => message,
            Err(error) => {
                log::warn!("E0405 datagram-refused from={from} error={error}");
                return;
            }
        };
        let new = self.neighbours.borrow_mut().note(from, clock::now());
        if new {
            self.tell(from, &self.hello());
        }
        match message {
            Neighbourly::News(news) => self.take_news(from, &news),
            Neighbourly::Trouble(topic) => self.take_trouble(topic),
            Neighbourly::Hello(others) => {
                for other in others {
                    self.meet(other);
                }
            }
        }
    }

    /// Returns the greeting, which names all neighbours.
    ///
    /// Hosts that start at the same moment find few of each other in the store;
    /// the one that they all found tells the rest.
    fn hello(&self) -> Neighbourly {
        let known = self.neighbours.borrow_mut().current(clock::now());
        Neighbourly::Hello(known)
    }

    /// Tells all neighbours.
    pub(super) fn tell_all(&self, message: &Neighbourly) {
        let addresses = self.neighbours.borrow_mut().current(clock::now());
        for address in addresses {
            self.tell(address, message);
        }
    }

    fn tell(&self, address: SocketAddr, message: &Neighbourly) {
        send(&self.socket, address, message);
    }
}

/// Sends a datagram, or drops it where the link is full: telling never blocks.
fn send(socket: &UdpSocket, address: SocketAddr, message: &Neighbourly) {
    if let Err(error) = socket.try_send_to(&message.encode(), address) {
        log::debug!("E0406 datagram-not-sent address={address} error={error:?}");
    }
}
