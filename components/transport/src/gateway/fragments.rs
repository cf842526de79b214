//! Sends and receives messages between neighbours that are too large for a datagram.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coordination::fragment_queue::FragmentQueue;
use coordination::fragments::{
    self, Fragment, FragmentRequest, Inserted, MESSAGE_TTL, MessageKey, Reassembly, RequestTarget,
};
use protocol::neighbour::{DATAGRAM_LIMIT, NeighbourMessage, RecordUpdate, Topic};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// How long to wait for the next fragment before the missing ones are requested.
///
/// While a message is being sent, fragments arrive every few milliseconds.
const FRAGMENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of updates kept until a large message with the preceding records is complete.
const MAX_DEFERRED_UPDATES: usize = 8;

/// The large messages being sent and received.
#[derive(Default)]
pub(super) struct Transfers {
    fragments: Reassembly,
    /// Incomplete messages.
    receiving: BTreeMap<MessageKey, Topic>,
    /// Updates whose preceding records are in an incomplete message, with their senders.
    deferred: VecDeque<(RecordUpdate, SocketAddr)>,
    outbox: FragmentQueue<Topic>,
}

impl Gateway {
    /// Sends a message to one neighbour, in fragments if it is too large for a datagram.
    pub(super) fn send_in_fragments(
        self: &Rc<Self>,
        to: SocketAddr,
        topic: Topic,
        message: &NeighbourMessage,
    ) {
        let encoded = Bytes::from(message.encode());
        if encoded.len() <= DATAGRAM_LIMIT {
            self.send(to, message);
            return;
        }
        if self.transfers.borrow().outbox.is_busy() {
            // The neighbour soon asks another host, or reads from the store.
            return;
        }
        let fragments = self.split(&encoded);
        let queued = |f: &Fragment| self.transfers.borrow().outbox.contains(to, f.message);
        if fragments.first().is_some_and(queued) {
            // The neighbour repeated its request before the fragments were sent.
            return;
        }
        let pairs = fragments.into_iter().map(|f| (to, f));
        self.queue(topic, pairs);
    }

    /// Distributes a message to all neighbours; each receives some of the fragments
    /// and forwards them to the others.
    pub(super) fn distribute(self: &Rc<Self>, topic: Topic, message: &NeighbourMessage) {
        let neighbours = self.neighbours.borrow_mut().current(clock::now());
        let encoded = Bytes::from(message.encode());
        let fragments = self.split(&encoded);
        log::info!(
            "E0422 message-distributed topic={topic:?} next={:?} bytes={} fragments={} neighbours={}",
            message.next_offset(),
            encoded.len(),
            fragments.len(),
            neighbours.len()
        );
        let pairs = fragments::assign_relays(self.settings.peers, &fragments, &neighbours);
        self.queue(topic, pairs.into_iter());
    }

    /// Splits a message into fragments, and keeps them for neighbours that lose some.
    fn split(self: &Rc<Self>, message: &Bytes) -> Vec<Fragment> {
        let now = clock::now();
        let count = self.neighbours.borrow_mut().current(now).len();
        let fragments = fragments::split(self.settings.peers, message, count + 1);
        self.transfers
            .borrow_mut()
            .fragments
            .insert_own(&fragments, now);
        spawn_local(Rc::clone(self).expire_later());
        fragments
    }

    /// Frees the memory of expired messages.
    async fn expire_later(self: Rc<Self>) {
        sleep(MESSAGE_TTL).await;
        self.transfers.borrow_mut().fragments.expire(clock::now());
    }

    fn queue(&self, topic: Topic, pairs: impl Iterator<Item = (SocketAddr, Fragment)>) {
        let mut transfers = self.transfers.borrow_mut();
        let mut dropped = 0;
        for (to, fragment) in pairs {
            if !transfers.outbox.push(to, topic, fragment) {
                dropped += 1;
            }
        }
        if dropped > 0 {
            log::warn!("E0420 fragments-dropped topic={topic:?} fragments={dropped}");
        }
        self.fragments_notify.notify_one();
    }

    /// Sends queued fragments; never returns.
    ///
    /// The rate is limited so that a link of low bandwidth still carries the
    /// callers' traffic.
    pub(super) async fn send_fragments(self: Rc<Self>) {
        loop {
            let next = self.transfers.borrow_mut().outbox.pop();
            let Some((to, topic, fragment)) = next else {
                self.fragments_notify.notified().await;
                continue;
            };
            self.send(to, &NeighbourMessage::Fragment(topic, fragment));
            let pause = self.transfers.borrow_mut().outbox.pause();
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
    }

    /// Handles a fragment, and forwards a fragment marked for distribution.
    pub(super) fn handle_fragment(self: &Rc<Self>, topic: Topic, fragment: &Fragment) {
        let now = clock::now();
        let inserted = self.transfers.borrow_mut().fragments.insert(fragment, now);
        if inserted == Inserted::Ignored {
            return;
        }
        if fragment.relay {
            self.forward_fragment(topic, fragment);
        }
        match inserted {
            Inserted::Ignored => {}
            Inserted::New => self.await_fragments(topic, fragment.message),
            Inserted::Complete(message) => {
                self.transfers
                    .borrow_mut()
                    .receiving
                    .remove(&fragment.message);
                log::info!(
                    "E0423 message-complete topic={topic:?} bytes={} origin={}",
                    message.len(),
                    fragment.origin
                );
                self.handle_message(fragment.origin, &message);
                self.handle_deferred(topic);
            }
        }
    }

    /// Forwards a fragment to all neighbours except its origin.
    fn forward_fragment(&self, topic: Topic, fragment: &Fragment) {
        let neighbours = self.neighbours.borrow_mut().current(clock::now());
        let hosts = fragments::relay_order(self.settings.peers, fragment.origin, neighbours);
        let copy = Fragment {
            relay: false,
            ..fragment.clone()
        };
        self.queue(topic, hosts.into_iter().map(|h| (h, copy.clone())));
    }

    /// Waits for the remaining fragments of a message, and postpones reading from the store.
    fn await_fragments(self: &Rc<Self>, topic: Topic, message: MessageKey) {
        self.postpone_read(topic);
        let before = self.transfers.borrow_mut().receiving.insert(message, topic);
        if before.is_none() {
            spawn_local(Rc::clone(self).reassemble(topic, message));
        }
    }

    fn postpone_read(&self, topic: Topic) {
        let draw = self.random_fraction();
        self.with_schedule(topic, |s| s.fragment_received(draw, clock::now()));
    }

    /// Requests missing fragments until the message is complete or given up.
    async fn reassemble(self: Rc<Self>, topic: Topic, message: MessageKey) {
        while self.transfers.borrow().fragments.is_incomplete(message) {
            sleep(FRAGMENT_TIMEOUT).await;
            let now = clock::now();
            let request =
                self.transfers
                    .borrow_mut()
                    .fragments
                    .next_request(message, FRAGMENT_TIMEOUT, now);
            if let Some((target, request)) = request {
                self.request_fragments(topic, target, request);
            }
        }
        if self
            .transfers
            .borrow_mut()
            .receiving
            .remove(&message)
            .is_some()
        {
            log::info!(
                "E0421 message-incomplete topic={topic:?} digest={:016x}",
                message.digest
            );
            self.handle_deferred(topic);
        }
        self.expire_later().await;
    }

    fn request_fragments(&self, topic: Topic, target: RequestTarget, request: FragmentRequest) {
        self.postpone_read(topic);
        let draw = self.random_u64();
        let to = match target {
            RequestTarget::Origin(origin) => Some(origin),
            RequestTarget::Any => self.neighbours.borrow().any(draw),
        };
        if let Some(to) = to {
            self.send(to, &NeighbourMessage::FragmentRequest(topic, request));
        }
    }

    /// Sends the fragments that a neighbour requests.
    pub(super) fn resend_fragments(
        &self,
        from: SocketAddr,
        topic: Topic,
        request: &FragmentRequest,
    ) {
        let now = clock::now();
        if self.transfers.borrow().outbox.is_busy() {
            // The neighbour soon repeats its request.
            return;
        }
        let fragments = self.transfers.borrow_mut().fragments.resend(request, now);
        self.queue(topic, fragments.into_iter().map(|f| (from, f)));
    }

    fn handle_message(self: &Rc<Self>, origin: SocketAddr, message: &[u8]) {
        match NeighbourMessage::decode(message) {
            Ok(NeighbourMessage::Update(update)) => {
                let update = RecordUpdate {
                    reader: origin,
                    relay_root: origin,
                    ..update
                };
                if update.cross_centre {
                    self.handle_cross_centre(update, origin);
                } else {
                    self.handle_update(&update, origin);
                }
            }
            Ok(NeighbourMessage::Snapshot(snapshot)) => self.handle_snapshot(snapshot),
            Ok(_) => log::warn!(
                "E0405 datagram-refused from={origin} error=message kind not allowed in fragments"
            ),
            Err(error) => log::warn!("E0405 datagram-refused from={origin} error={error}"),
        }
    }

    /// Returns whether a fragmented message about this topic is being received.
    pub(super) fn is_receiving(&self, topic: Topic) -> bool {
        self.transfers
            .borrow()
            .receiving
            .values()
            .any(|t| *t == topic)
    }

    /// Keeps an update until the records before it have arrived.
    pub(super) fn defer_update(&self, update: &RecordUpdate, sender: SocketAddr) {
        let mut transfers = self.transfers.borrow_mut();
        if transfers.deferred.len() == MAX_DEFERRED_UPDATES {
            // A gap in the records is filled by reading from the store.
            transfers.deferred.pop_front();
            log::info!("E0425 update-dropped topic={:?}", update.topic);
        }
        transfers.deferred.push_back((update.clone(), sender));
    }

    /// Handles the updates that waited for a large message about this topic.
    fn handle_deferred(self: &Rc<Self>, topic: Topic) {
        let waiting = std::mem::take(&mut self.transfers.borrow_mut().deferred);
        for (update, sender) in waiting {
            match update.topic == topic {
                true => {
                    self.handle_update(&update, sender);
                }
                false => self.defer_update(&update, sender),
            }
        }
    }
}
