//! Snapshots of the store's topics, exchanged between neighbours.
//!
//! A host that starts while the store is unavailable knows neither routes nor
//! endpoints. It gets both from a neighbour; otherwise it would have to reject
//! every request until the store is available again.

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
use super::follow::blank_configs;
use crate::clock;

/// Delay before a host requests snapshots when the whole site starts.
///
/// By then all hosts have started and sent a greeting to the seeds.
const FETCH_DELAY: Duration = Duration::from_millis(400);

/// Maximum random addition to the delay, so that hosts don't all request at once.
const FETCH_JITTER: Duration = Duration::from_millis(300);

/// How long a host waits before it requests a snapshot from another neighbour.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The interval at which a restarted host checks whether a neighbour has greeted it.
const GREETING_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The newest record of each key of one topic, encoded as in the store.
#[derive(Default)]
pub(super) struct TopicCache {
    /// The last records read, for neighbours that missed some.
    pub recent: RecentRecords,
    /// Neighbours that requested a snapshot before this host had one.
    waiting: BTreeSet<SocketAddr>,
    records: BTreeMap<String, Bytes>,
    /// The size of `records` in bytes.
    size: usize,
}

impl TopicCache {
    /// Stores a record; a record without a value deletes its key.
    pub fn put(&mut self, record: &Record, bytes: Bytes) {
        let size = bytes.len();
        let before = match record.value {
            Some(_) => {
                self.size += size;
                self.records.insert(record.key.clone(), bytes)
            }
            None => self.records.remove(&record.key),
        };
        self.size -= before.map_or(0, |b| b.len());
    }

    /// Appends a record to the last ones.
    pub fn push_recent(&mut self, offset: u64, bytes: Bytes) {
        self.recent.push(offset, bytes, self.size);
    }

    /// Appends the records of an update to the last ones.
    pub fn push_update(&mut self, update: &RecordUpdate) {
        for (offset, bytes) in (update.from..).zip(&update.records) {
            self.push_recent(offset, bytes.clone());
        }
    }

    /// Returns the records by which `newest`, the newest record of each key, differs from what
    /// is known; a removed key has a record without a value.
    ///
    /// `is_known` tells whether a record says nothing new.
    pub fn changes(&self, newest: &[Record], is_known: impl Fn(&Record) -> bool) -> Vec<Bytes> {
        let names: BTreeSet<&str> = newest.iter().map(|r| r.key.as_str()).collect();
        let removed = self
            .records
            .keys()
            .filter(|key| !names.contains(key.as_str()));
        let removed = removed.filter_map(|key| {
            platform::store::encode_record(&Record {
                key: key.clone(),
                value: None,
            })
        });
        let changed = newest.iter().filter(|record| !is_known(record));
        let changed = changed.filter_map(platform::store::encode_record);
        removed.chain(changed).collect()
    }

    /// Replaces all records.
    pub fn replace(&mut self, records: &[Record]) {
        let encoded = records.iter().filter_map(|r| {
            let bytes = platform::store::encode_record(r)?;
            Some((r.key.clone(), bytes))
        });
        self.records = encoded.collect();
        self.size = self.records.values().map(Bytes::len).sum();
    }
}

impl Gateway {
    /// Requests a snapshot of a topic from a random neighbour, if this host has none.
    pub(super) fn request_snapshot(&self, topic: Topic) {
        if self
            .with_schedule(topic, |schedule| schedule.next())
            .is_some()
        {
            return;
        }
        let draw = self.random_u64();
        if let Some(address) = self.neighbours.borrow().any(draw) {
            self.send(address, &NeighbourMessage::SnapshotRequest(topic));
        }
    }

    /// Requests snapshots from neighbours until this host has both topics.
    pub(super) async fn fetch_topics(self: Rc<Self>) {
        match self.settings.first_start {
            true => sleep(FETCH_DELAY + FETCH_JITTER.mul_f64(self.random_fraction())).await,
            false => {
                spawn_local(Rc::clone(&self).postpone_first_read());
                self.await_greeting().await;
            }
        }
        while !self.has_all_topics() {
            for topic in [Topic::Operators, Topic::Endpoints] {
                self.request_snapshot(topic);
            }
            sleep(FETCH_RETRY_DELAY).await;
        }
    }

    /// Waits until a neighbour has greeted this host, at most for `GREETING_WAIT`.
    async fn await_greeting(&self) {
        let last = clock::now() + GREETING_WAIT;
        while self.neighbours.borrow().is_empty() && clock::now() < last {
            sleep(GREETING_POLL_INTERVAL).await;
        }
    }

    /// Postpones this host's first read by a random time that grows with the number of
    /// its neighbours.
    ///
    /// The neighbours are counted after the time in which they send greetings.
    async fn postpone_first_read(self: Rc<Self>) {
        sleep(GREETING_WAIT).await;
        let known = self.neighbours.borrow().len();
        let expected = self.expected_neighbours();
        for topic in [Topic::Operators, Topic::Endpoints] {
            let draw = self.random_fraction();
            self.with_schedule(topic, |schedule| {
                schedule.neighbours_counted(known, expected, draw, clock::now());
            });
        }
        self.schedule_changed.notify_waiters();
    }

    /// Returns the expected number of neighbours, estimated from this host's share of all hosts.
    ///
    /// When all hosts start at once, only a few of them have greeted this host so far.
    pub(super) fn expected_neighbours(&self) -> usize {
        let share = self.share.get();
        let centres = self.settings.topology.count() as f64;
        match share > 0.0 {
            true => (1.0 / share / centres) as usize,
            false => 0,
        }
    }

    /// Requests a snapshot of each topic that this host failed to read from the store.
    pub(super) fn request_unread_topics(&self) {
        for topic in [Topic::Operators, Topic::Endpoints] {
            if self.with_schedule(topic, |schedule| schedule.failures()) > 0 {
                self.request_snapshot(topic);
            }
        }
    }

    /// Sends a snapshot of a topic to a neighbour, now or as soon as this host has one.
    pub(super) fn send_snapshot(self: &Rc<Self>, to: SocketAddr, topic: Topic) {
        let Some(next) = self.with_schedule(topic, |schedule| schedule.next()) else {
            self.caches.borrow_mut().of(topic).waiting.insert(to);
            return;
        };
        let snapshot = self.snapshot(topic, next, false);
        self.send_in_fragments(to, topic, NeighbourMessage::Snapshot(snapshot));
    }

    fn snapshot(&self, topic: Topic, next: u64, shared: bool) -> TopicSnapshot {
        let records = self.caches.borrow_mut().of(topic).records.clone();
        TopicSnapshot {
            topic,
            next,
            shared,
            age: None,
            records: records.into_values().collect(),
        }
    }

    /// Distributes a snapshot to all neighbours, if they may have none.
    ///
    /// Guards against a slow start after all hosts have lost power: sent from one
    /// host to the next, a snapshot would reach the last of a hundred hosts after
    /// a second. `is_awaited` means that this host had no snapshot before, so it got
    /// none from its neighbours, or that it told them to wait for what it reads. Returns
    /// whether the snapshot is distributed.
    pub(super) fn distribute_snapshot(self: &Rc<Self>, topic: Topic, is_awaited: bool) -> bool {
        let waiting = std::mem::take(&mut self.caches.borrow_mut().of(topic).waiting);
        let next = self.with_schedule(topic, |schedule| schedule.next());
        let needed = !waiting.is_empty() || is_awaited && self.has_neighbours();
        let Some(next) = next.filter(|_| needed) else {
            return false;
        };
        let snapshot = self.snapshot(topic, next, true);
        self.distribute(topic, next, &NeighbourMessage::Snapshot(snapshot));
        true
    }

    /// Resends records that a neighbour missed, or a snapshot if they are no longer kept.
    ///
    /// A neighbour that receives neither reads from the store. So does a host of another data
    /// centre that missed more than the last records: a snapshot is too large to be sent
    /// there.
    pub(super) fn resend_records(self: &Rc<Self>, to: SocketAddr, topic: Topic, from: u64) {
        let is_neighbour = self.neighbours.borrow().is_neighbour(to);
        let records = self.caches.borrow_mut().of(topic).recent.records_from(from);
        let Some(mut records) = records else {
            if is_neighbour {
                self.send_snapshot(to, topic);
            }
            return;
        };
        if topic == Topic::Operators {
            blank_configs(&mut records);
        }
        let update = RecordUpdate {
            topic,
            reader: self.settings.peers,
            relay_root: self.settings.peers,
            cross_centre: !is_neighbour,
            from,
            age: None,
            records,
        };
        self.send_in_fragments(to, topic, NeighbourMessage::Update(update));
    }

    /// Handles a snapshot from a neighbour.
    pub(super) fn handle_snapshot(self: &Rc<Self>, snapshot: TopicSnapshot) {
        let (topic, next) = (snapshot.topic, snapshot.next);
        let known = self.with_schedule(topic, |schedule| schedule.next());
        if known.is_some_and(|known| known >= next) {
            return;
        }
        let records: Vec<Record> = snapshot
            .records
            .into_iter()
            .filter_map(platform::store::decode_record)
            .collect();
        log::info!(
            "E0317 snapshot-received topic={topic:?} records={} next={next} known={known:?}",
            records.len()
        );
        let draw = self.random_fraction();
        let now = clock::now();
        let read_at = snapshot.age.and_then(|age| now.checked_sub(age));
        self.with_schedule(topic, |s| s.snapshot_received(next, read_at, draw, now));
        self.apply_snapshot(topic, &records);
        let waiting = std::mem::take(&mut self.caches.borrow_mut().of(topic).waiting);
        if !snapshot.shared {
            for host in waiting {
                self.send_snapshot(host, topic);
            }
        }
    }
}

/// The records of both topics.
#[derive(Default)]
pub(super) struct TopicCaches {
    operators: TopicCache,
    endpoints: TopicCache,
}

impl TopicCaches {
    /// Returns the records of one topic.
    pub fn of(&mut self, topic: Topic) -> &mut TopicCache {
        match topic {
            Topic::Operators => &mut self.operators,
            Topic::Endpoints => &mut self.endpoints,
        }
    }
}
