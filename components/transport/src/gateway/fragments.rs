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
use protocol::neighbour::{DATAGRAM_LIMIT, NeighbourMessage, RecordUpdate, Topic, TopicSnapshot};
use state::Moment;
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

/// An update that waits for the records before it.
struct DeferredUpdate {
    update: RecordUpdate,
    sender: SocketAddr,
    received_at: Moment,
}

/// The large messages being sent and received.
#[derive(Default)]
pub(super) struct Transfers {
    fragments: Reassembly,
    /// Incomplete messages, with the offsets up to which they lead.
    receiving: BTreeMap<MessageKey, (Topic, u64)>,
    /// Updates whose preceding records are in an incomplete message.
    deferred: VecDeque<DeferredUpdate>,
    outbox: FragmentQueue<Topic>,
}

impl Gateway {
    /// Sends records to one neighbour, in fragments if they are too large for a datagram.
    pub(super) fn send_in_fragments(
        self: &Rc<Self>,
        to: SocketAddr,
        topic: Topic,
        message: NeighbourMessage,
    ) {
        let encoded = Bytes::from(message.encode());
        if encoded.len() <= DATAGRAM_LIMIT {
            self.send(to, &with_age(message, self.age(topic)));
            return;
        }
        if self.transfers.borrow().outbox.is_busy() {
            // The neighbour soon asks another host, or reads from the store.
            return;
        }
        let next = message.next_offset().unwrap_or_default();
        let fragments = self.split(topic, next, &encoded);
        let queued = |f: &Fragment| self.transfers.borrow().outbox.contains(to, f.message);
        if fragments.first().is_some_and(queued) {
            // The neighbour repeated its request before the fragments were sent.
            return;
        }
        let pairs = fragments.into_iter().map(|f| (to, f));
        self.queue(topic, pairs);
    }

    /// Distributes a message to all neighbours; each receives some of the fragments
    /// and forwards them to the others. The message leads to the offset `next`.
    pub(super) fn distribute(self: &Rc<Self>, topic: Topic, next: u64, message: &NeighbourMessage) {
        let neighbours = self.neighbours.borrow_mut().current(clock::now());
        let encoded = Bytes::from(message.encode());
        let fragments = self.split(topic, next, &encoded);
        log::info!(
            "E0422 message-distributed topic={topic:?} next={next} bytes={} fragments={} neighbours={}",
            encoded.len(),
            fragments.len(),
            neighbours.len()
        );
        let pairs = fragments::assign_relays(self.settings.peers, &fragments, &neighbours);
        self.queue(topic, pairs.into_iter());
    }

    /// Splits a message into fragments, and keeps them for neighbours that lose some.
    fn split(self: &Rc<Self>, topic: Topic, next: u64, message: &Bytes) -> Vec<Fragment> {
        let now = clock::now();
        let count = self.neighbours.borrow_mut().current(now).len();
        let fragments = fragments::split(self.settings.peers, next, message, count + 1);
        let age = self.age(topic);
        self.transfers
            .borrow_mut()
            .fragments
            .insert_own(&fragments, age, now);
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

    /// Returns how long ago the store was read to a large message, if known.
    fn message_age(&self, message: MessageKey) -> Option<Duration> {
        self.transfers.borrow().fragments.age(message, clock::now())
    }

    /// Sends queued fragments; never returns.
    ///
    /// The rate is limited so that a link of low bandwidth still carries the
    /// callers' traffic.
    pub(super) async fn send_fragments(self: Rc<Self>) {
        loop {
            let next = self.transfers.borrow_mut().outbox.pop();
            let Some((to, topic, mut fragment)) = next else {
                self.fragments_notify.notified().await;
                continue;
            };
            fragment.age = self.message_age(fragment.message);
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
            Inserted::New => self.await_fragments(topic, fragment),
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
                let age = self.message_age(fragment.message);
                self.handle_message(fragment.origin, age, &message);
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
    fn await_fragments(self: &Rc<Self>, topic: Topic, fragment: &Fragment) {
        let draw = self.random_fraction();
        self.with_schedule(topic, |schedule| {
            schedule.fragment_received(fragment.next, draw, clock::now());
        });
        self.schedule_changed.notify_waiters();
        let message = fragment.message;
        let mut transfers = self.transfers.borrow_mut();
        let before = transfers.receiving.insert(message, (topic, fragment.next));
        drop(transfers);
        if before.is_none() {
            spawn_local(Rc::clone(self).reassemble(topic, message));
        }
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

    /// Handles a complete message; the store was read to it this long ago, if known.
    fn handle_message(self: &Rc<Self>, origin: SocketAddr, age: Option<Duration>, message: &[u8]) {
        match NeighbourMessage::decode(message) {
            Ok(NeighbourMessage::Update(update)) => {
                let update = RecordUpdate {
                    reader: origin,
                    relay_root: origin,
                    age,
                    ..update
                };
                if update.cross_centre {
                    self.handle_cross_centre(update, origin);
                } else {
                    self.handle_update(&update, origin);
                }
            }
            Ok(NeighbourMessage::Snapshot(snapshot)) => {
                self.handle_snapshot(TopicSnapshot { age, ..snapshot });
            }
            Ok(_) => log::warn!(
                "E0405 datagram-refused from={origin} error=message kind not allowed in fragments"
            ),
            Err(error) => log::warn!("E0405 datagram-refused from={origin} error={error}"),
        }
    }

    /// Returns whether a message that leads to `offset` or beyond is being received.
    pub(super) fn is_receiving(&self, topic: Topic, offset: u64) -> bool {
        let transfers = self.transfers.borrow();
        let mut receiving = transfers.receiving.values();
        receiving.any(|(t, next)| *t == topic && *next >= offset)
    }

    /// Keeps an update until the records before it have arrived.
    pub(super) fn defer_update(&self, update: &RecordUpdate, sender: SocketAddr) {
        let mut transfers = self.transfers.borrow_mut();
        if transfers.deferred.len() == MAX_DEFERRED_UPDATES {
            // A gap in the records is filled by reading from the store.
            transfers.deferred.pop_front();
            log::info!("E0425 update-dropped topic={:?}", update.topic);
        }
        transfers.deferred.push_back(DeferredUpdate {
            update: update.clone(),
            sender,
            received_at: clock::now(),
        });
    }

    /// Handles the updates that waited for a large message about this topic.
    fn handle_deferred(self: &Rc<Self>, topic: Topic) {
        let mut transfers = self.transfers.borrow_mut();
        let all = std::mem::take(&mut transfers.deferred);
        let (waiting, others) = all.into_iter().partition(|d| d.update.topic == topic);
        transfers.deferred = others;
        drop(transfers);
        let waiting: VecDeque<DeferredUpdate> = waiting;
        for deferred in waiting {
            let waited = clock::now().since(deferred.received_at);
            let update = RecordUpdate {
                age: deferred.update.age.map(|age| age + waited),
                ..deferred.update
            };
            self.handle_update(&update, deferred.sender);
        }
    }
}

/// Returns records with their age, for a message in one datagram.
fn with_age(message: NeighbourMessage, age: Option<Duration>) -> NeighbourMessage {
    match message {
        NeighbourMessage::Update(update) => {
            NeighbourMessage::Update(RecordUpdate { age, ..update })
        }
        NeighbourMessage::Snapshot(snapshot) => {
            NeighbourMessage::Snapshot(TopicSnapshot { age, ..snapshot })
        }
        other => other,
    }
}
