//! What this host holds of each topic, to be handed to a neighbour that can't read it.
//!
//! A host that starts while the store is away knows neither routes nor endpoints
//! and would refuse every caller until the store is back, though its neighbours
//! know both.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coordination::read_schedule::GREETING_WAIT;
use coordination::recent_records::RecentRecords;
use platform::store::Record;
use protocol::neighbour::{NeighbourMessage, RecordUpdate, Topic, TopicSnapshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// When a host of a starting site asks a neighbour for what it knows.
///
/// By then all hosts have started and greeted the seeds.
const SEEK_AFTER: Duration = Duration::from_millis(400);

/// By how much hosts differ in that, so that they don't all ask at once.
const SEEK_SPREAD: Duration = Duration::from_millis(300);

/// How long a host that starts again waits until it asks the next neighbour.
const SEEK_AGAIN: Duration = Duration::from_millis(150);

/// How often it looks whether it has been greeted.
const SEEK_STEP: Duration = Duration::from_millis(5);

/// The newest record of each key of one topic, as it lies in the store.
#[derive(Default)]
pub(super) struct Shelf {
    /// The last records, for neighbours that missed some.
    pub recent: RecentRecords,
    /// Neighbours that asked before this host knew anything.
    askers: BTreeSet<SocketAddr>,
    records: BTreeMap<String, Bytes>,
}

impl Shelf {
    /// Takes in a record; one without a value drops its key.
    pub fn put(&mut self, record: &Record, bytes: Bytes) {
        match record.value {
            Some(_) => self.records.insert(record.key.clone(), bytes),
            None => self.records.remove(&record.key),
        };
    }

    /// Takes in all that the store holds.
    pub fn replace(&mut self, records: &[Record]) {
        let encoded = records.iter().filter_map(|r| {
            let bytes = platform::store::encode_record(r)?;
            Some((r.key.clone(), bytes))
        });
        self.records = encoded.collect();
    }
}

impl Gateway {
    /// Asks one neighbour for all that it knows of a topic, where this host knows nothing.
    pub(super) fn want(&self, topic: Topic) {
        if self.feed(topic, |feed| feed.next()).is_some() {
            return;
        }
        let draw = self.draw();
        if let Some(address) = self.neighbours.borrow().any(draw) {
            self.tell(address, &NeighbourMessage::SnapshotRequest(topic));
        }
    }

    /// Asks neighbours for both topics until this host knows them.
    pub(super) async fn seek_all(self: Rc<Self>) {
        match self.settings.first_start {
            true => sleep(SEEK_AFTER + SEEK_SPREAD.mul_f64(self.draw_share())).await,
            false => {
                spawn_local(Rc::clone(&self).defer_reading());
                self.await_greeting().await;
            }
        }
        while !self.knows_all() {
            for topic in [Topic::Operators, Topic::Endpoints] {
                self.want(topic);
            }
            sleep(SEEK_AGAIN).await;
        }
    }

    /// Waits until a neighbour has greeted this host, not for long.
    async fn await_greeting(&self) {
        let last = clock::now() + GREETING_WAIT;
        while self.neighbours.borrow().is_empty() && clock::now() < last {
            sleep(SEEK_STEP).await;
        }
    }

    /// Puts this host's own reading off for the neighbours that have greeted it.
    async fn defer_reading(self: Rc<Self>) {
        sleep(GREETING_WAIT).await;
        let known = self.neighbours.borrow().len();
        let expected = self.expected_neighbours();
        for topic in [Topic::Operators, Topic::Endpoints] {
            let draw = self.draw_share();
            self.feed(topic, |feed| {
                feed.neighbours_counted(known, expected, draw, clock::now());
            });
        }
        self.sooner.notify_waiters();
    }

    /// Returns how many neighbours this host should have, by its part of all hosts.
    ///
    /// Where all hosts start at once it has been greeted by a few of them only.
    pub(super) fn expected_neighbours(&self) -> usize {
        let share = self.share.get();
        let centres = self.settings.topology.count() as f64;
        match share > 0.0 {
            true => (1.0 / share / centres) as usize,
            false => 0,
        }
    }

    /// Asks for both topics, as a neighbour has become known.
    ///
    /// Only what could not be read from the store is asked for.
    pub(super) fn want_all(&self) {
        for topic in [Topic::Operators, Topic::Endpoints] {
            if self.feed(topic, |feed| feed.failures()) > 0 {
                self.want(topic);
            }
        }
    }

    /// Hands all that this host knows of a topic to a neighbour that asks for it.
    pub(super) fn hand_over(self: &Rc<Self>, to: SocketAddr, topic: Topic) {
        let Some(next) = self.feed(topic, |feed| feed.next()) else {
            self.shelves.borrow_mut().of(topic).askers.insert(to);
            return;
        };
        let held = self.held(topic, next, false);
        self.tell_whole(to, topic, &NeighbourMessage::Snapshot(held));
    }

    fn held(&self, topic: Topic, next: u64, shared: bool) -> TopicSnapshot {
        let records = self.shelves.borrow_mut().of(topic).records.clone();
        TopicSnapshot {
            topic,
            next,
            shared,
            records: records.into_values().collect(),
        }
    }

    /// Hands what this host has read to all neighbours, where they may know nothing.
    ///
    /// Made for the moment at which all hosts have lost power: handed from one to
    /// the next, it would reach the last of a hundred hosts after a second. A host
    /// that reads all for the `first` time got nothing from its neighbours.
    pub(super) fn share_all(self: &Rc<Self>, topic: Topic, first: bool) {
        let askers = std::mem::take(&mut self.shelves.borrow_mut().of(topic).askers);
        let next = self.feed(topic, |feed| feed.next());
        let lacking = !askers.is_empty() || first && self.knows_neighbours();
        if let (true, Some(next)) = (lacking, next) {
            let held = self.held(topic, next, true);
            self.spread(topic, &NeighbourMessage::Snapshot(held));
        }
    }

    /// Sends records again that a neighbour missed; it reads the store where it gets none.
    pub(super) fn send_again(self: &Rc<Self>, to: SocketAddr, topic: Topic, from: u64) {
        let Some(records) = self
            .shelves
            .borrow_mut()
            .of(topic)
            .recent
            .records_from(from)
        else {
            self.hand_over(to, topic);
            return;
        };
        let news = RecordUpdate {
            topic,
            reader: self.settings.peers,
            relay_root: self.settings.peers,
            cross_centre: false,
            from,
            records,
        };
        self.tell_whole(to, topic, &NeighbourMessage::Update(news));
    }

    /// Takes in what a neighbour hands over.
    pub(super) fn take_held(self: &Rc<Self>, held: TopicSnapshot) {
        let (topic, next) = (held.topic, held.next);
        if self
            .feed(topic, |feed| feed.next())
            .is_some_and(|known| known >= next)
        {
            return;
        }
        let records: Vec<Record> = held
            .records
            .into_iter()
            .filter_map(platform::store::decode_record)
            .collect();
        log::info!(
            "E0317 topic-handed-over topic={topic:?} records={}",
            records.len()
        );
        let draw = self.draw_share();
        self.feed(topic, |f| f.snapshot_received(next, draw, clock::now()));
        self.take_all(topic, &records);
        let askers = std::mem::take(&mut self.shelves.borrow_mut().of(topic).askers);
        if !held.shared {
            for asker in askers {
                self.hand_over(asker, topic);
            }
        }
    }
}

/// What this host holds of both topics.
#[derive(Default)]
pub(super) struct Shelves {
    operators: Shelf,
    endpoints: Shelf,
}

impl Shelves {
    /// Returns what is held of one topic.
    pub fn of(&mut self, topic: Topic) -> &mut Shelf {
        match topic {
            Topic::Operators => &mut self.operators,
            Topic::Endpoints => &mut self.endpoints,
        }
    }
}
