//! Sends messages to neighbours that are too large for a datagram, and gathers them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coordination::fragment_queue::FragmentQueue;
use coordination::fragments::{
    self, Fragment, FragmentRequest, Inserted, KEEP_TIME, MessageKey, Reassembly, RequestTarget,
};
use protocol::neighbour::{DATAGRAM_LIMIT, NeighbourMessage, RecordUpdate, Topic};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// How long a message may lack fragments without one coming before they are asked for.
///
/// They come every few milliseconds while they are on their way.
const SILENCE: Duration = Duration::from_millis(100);

/// News kept that wait for a message that is on its way.
const PENDING_LIMIT: usize = 8;

/// Large messages on their way, in and out.
#[derive(Default)]
pub(super) struct Large {
    fragments: Reassembly,
    /// Messages of which fragments are awaited.
    awaited: BTreeMap<MessageKey, Topic>,
    /// News that follow on records in a message that is awaited, and who told them.
    pending: VecDeque<(RecordUpdate, SocketAddr)>,
    outbox: FragmentQueue<Topic>,
}

impl Gateway {
    /// Tells one neighbour, in fragments where the message is too large for a datagram.
    pub(super) fn tell_whole(
        self: &Rc<Self>,
        to: SocketAddr,
        topic: Topic,
        message: &NeighbourMessage,
    ) {
        let encoded = Bytes::from(message.encode());
        if encoded.len() <= DATAGRAM_LIMIT {
            self.tell(to, message);
            return;
        }
        if self.large.borrow().outbox.is_busy() {
            // It asks another one soon, or reads the store.
            return;
        }
        let fragments = self.cut(&encoded);
        let queued = |f: &Fragment| self.large.borrow().outbox.contains(to, f.message);
        if fragments.first().is_some_and(queued) {
            // It asked again before its turn came.
            return;
        }
        let pairs = fragments.into_iter().map(|f| (to, f));
        self.queue(topic, pairs);
    }

    /// Tells all neighbours: each gets some fragments and passes them on to the others.
    pub(super) fn spread(self: &Rc<Self>, topic: Topic, message: &NeighbourMessage) {
        let neighbours = self.neighbours.borrow_mut().current(clock::now());
        let encoded = Bytes::from(message.encode());
        let fragments = self.cut(&encoded);
        log::info!(
            "E0422 message-spread topic={topic:?} bytes={} fragments={} neighbours={}",
            encoded.len(),
            fragments.len(),
            neighbours.len()
        );
        let pairs = fragments::assign_relays(self.settings.peers, &fragments, &neighbours);
        self.queue(topic, pairs.into_iter());
    }

    /// Cuts a message of this host's, and keeps it for neighbours that lose some.
    fn cut(self: &Rc<Self>, message: &Bytes) -> Vec<Fragment> {
        let now = clock::now();
        let count = self.neighbours.borrow_mut().current(now).len();
        let fragments = fragments::split(self.settings.peers, message, count + 1);
        self.large
            .borrow_mut()
            .fragments
            .insert_own(&fragments, now);
        spawn_local(Rc::clone(self).forget_later());
        fragments
    }

    /// Gives the memory of messages back that nobody asks for any more.
    async fn forget_later(self: Rc<Self>) {
        sleep(KEEP_TIME).await;
        self.large.borrow_mut().fragments.expire(clock::now());
    }

    fn queue(&self, topic: Topic, pairs: impl Iterator<Item = (SocketAddr, Fragment)>) {
        let mut large = self.large.borrow_mut();
        let mut dropped = 0;
        for (to, fragment) in pairs {
            if !large.outbox.push(to, topic, fragment) {
                dropped += 1;
            }
        }
        if dropped > 0 {
            log::warn!("E0420 fragments-dropped topic={topic:?} fragments={dropped}");
        }
        self.fragments_wait.notify_one();
    }

    /// Sends fragments, for ever, no faster than a narrow link bears beside callers.
    pub(super) async fn send_fragments(self: Rc<Self>) {
        loop {
            let next = self.large.borrow_mut().outbox.pop();
            let Some((to, topic, fragment)) = next else {
                self.fragments_wait.notified().await;
                continue;
            };
            self.tell(to, &NeighbourMessage::Fragment(topic, fragment));
            let pause = self.large.borrow_mut().outbox.pause();
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
    }

    /// Takes in a fragment, and passes it on where it is asked to.
    pub(super) fn take_fragment(self: &Rc<Self>, topic: Topic, fragment: &Fragment) {
        let now = clock::now();
        let taken = self.large.borrow_mut().fragments.insert(fragment, now);
        if taken == Inserted::Ignored {
            return;
        }
        if fragment.relay {
            self.relay(topic, fragment);
        }
        match taken {
            Inserted::Ignored => {}
            Inserted::New => self.await_rest(topic, fragment.message),
            Inserted::Complete(message) => {
                self.large.borrow_mut().awaited.remove(&fragment.message);
                log::info!(
                    "E0423 message-whole topic={topic:?} bytes={} origin={}",
                    message.len(),
                    fragment.origin
                );
                self.take_message(fragment.origin, &message);
                self.take_pending(topic);
            }
        }
    }

    /// Passes a fragment on to all neighbours but the host that sent it first.
    fn relay(&self, topic: Topic, fragment: &Fragment) {
        let neighbours = self.neighbours.borrow_mut().current(clock::now());
        let hosts = fragments::relay_order(self.settings.peers, fragment.origin, neighbours);
        let copy = Fragment {
            relay: false,
            ..fragment.clone()
        };
        self.queue(topic, hosts.into_iter().map(|h| (h, copy.clone())));
    }

    /// Waits for the rest of a message before this host reads the store for it.
    fn await_rest(self: &Rc<Self>, topic: Topic, message: MessageKey) {
        self.hold_off(topic);
        let before = self.large.borrow_mut().awaited.insert(message, topic);
        if before.is_none() {
            spawn_local(Rc::clone(self).gather(topic, message));
        }
    }

    fn hold_off(&self, topic: Topic) {
        let draw = self.draw_share();
        self.feed(topic, |feed| feed.fragment_received(draw, clock::now()));
    }

    /// Asks for what a message lacks until it is whole, or given up.
    async fn gather(self: Rc<Self>, topic: Topic, message: MessageKey) {
        while self.large.borrow().fragments.is_incomplete(message) {
            sleep(SILENCE).await;
            let now = clock::now();
            let ask = self
                .large
                .borrow_mut()
                .fragments
                .next_request(message, SILENCE, now);
            if let Some((source, lacking)) = ask {
                self.ask_again(topic, source, lacking);
            }
        }
        if self.large.borrow_mut().awaited.remove(&message).is_some() {
            log::info!(
                "E0421 message-incomplete topic={topic:?} digest={:016x}",
                message.digest
            );
            self.take_pending(topic);
        }
        self.forget_later().await;
    }

    fn ask_again(&self, topic: Topic, source: RequestTarget, lacking: FragmentRequest) {
        self.hold_off(topic);
        let draw = self.draw();
        let to = match source {
            RequestTarget::Origin(origin) => Some(origin),
            RequestTarget::Any => self.neighbours.borrow().any(draw),
        };
        if let Some(to) = to {
            self.tell(to, &NeighbourMessage::FragmentRequest(topic, lacking));
        }
    }

    /// Sends the fragments that a neighbour lacks.
    pub(super) fn take_lacking(&self, from: SocketAddr, topic: Topic, lacking: &FragmentRequest) {
        let now = clock::now();
        if self.large.borrow().outbox.is_busy() {
            // It asks again soon.
            return;
        }
        let fragments = self.large.borrow_mut().fragments.resend(lacking, now);
        self.queue(topic, fragments.into_iter().map(|f| (from, f)));
    }

    fn take_message(self: &Rc<Self>, origin: SocketAddr, message: &[u8]) {
        match NeighbourMessage::decode(message) {
            Ok(NeighbourMessage::Update(news)) => {
                let news = RecordUpdate {
                    reader: origin,
                    relay_root: origin,
                    ..news
                };
                self.take_news(&news, origin);
            }
            Ok(NeighbourMessage::Snapshot(held)) => self.take_held(held),
            Ok(_) => log::warn!("E0405 datagram-refused from={origin} error=no large message"),
            Err(error) => log::warn!("E0405 datagram-refused from={origin} error={error}"),
        }
    }

    /// Returns whether a message about this topic is on its way.
    pub(super) fn awaits(&self, topic: Topic) -> bool {
        self.large.borrow().awaited.values().any(|t| *t == topic)
    }

    /// Keeps news until what lies before them has come.
    pub(super) fn put_off(&self, news: &RecordUpdate, teller: SocketAddr) {
        let mut large = self.large.borrow_mut();
        if large.pending.len() == PENDING_LIMIT {
            // The store is read for what follows on a gap.
            large.pending.pop_front();
        }
        large.pending.push_back((news.clone(), teller));
    }

    /// Takes in the news that waited for a message.
    fn take_pending(self: &Rc<Self>, topic: Topic) {
        let waiting = std::mem::take(&mut self.large.borrow_mut().pending);
        for (news, teller) in waiting {
            match news.topic == topic {
                true => {
                    self.take_news(&news, teller);
                }
                false => self.put_off(&news, teller),
            }
        }
    }
}
