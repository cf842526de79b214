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
use coordination::recent::Recent;
use platform::store::Record;
use protocol::news::{Held, Neighbourly, News, Topic};
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// When a host of a starting site asks a neighbour for what it knows.
///
/// By then all hosts have started and greeted the seeds.
const SEEK_AFTER: Duration = Duration::from_millis(400);

/// By how much hosts differ in that, so that they don't all ask at once.
const SEEK_SPREAD: Duration = Duration::from_millis(300);

/// Neighbours that are served at once, when this host comes to know a topic.
///
/// What 240 endpoints fill takes a link of 10 Mbit/s 40 ms. Those served serve
/// others in turn; who is left out reads the store.
const SERVED: usize = 3;

/// The newest record of each key of one topic, as it lies in the store.
#[derive(Default)]
pub(super) struct Shelf {
    /// The last records, for neighbours that missed some.
    pub recent: Recent,
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
            let bytes = platform::store::encode(r)?;
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
            self.tell(address, &Neighbourly::Wanted(topic));
        }
    }

    /// Asks a neighbour for both topics soon after a whole site has started.
    pub(super) async fn seek_all(self: Rc<Self>) {
        if !self.settings.first_start {
            return;
        }
        sleep(SEEK_AFTER + SEEK_SPREAD.mul_f64(self.draw_share())).await;
        for topic in [Topic::Operators, Topic::Endpoints] {
            self.want(topic);
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
        let records = self.shelves.borrow_mut().of(topic).records.clone();
        let held = Held {
            topic,
            next,
            records: records.into_values().collect(),
        };
        self.tell_whole(to, topic, &Neighbourly::Held(held));
    }

    /// Sends records again that a neighbour missed; it reads the store where it gets none.
    pub(super) fn send_again(self: &Rc<Self>, to: SocketAddr, topic: Topic, from: u64) {
        let Some(records) = self.shelves.borrow_mut().of(topic).recent.since(from) else {
            return;
        };
        let news = News {
            topic,
            reader: self.settings.peers,
            teller: self.settings.peers,
            abroad: false,
            from,
            records,
        };
        self.tell_whole(to, topic, &Neighbourly::News(news));
    }

    /// Hands all on to a few neighbours that asked before this host knew it.
    pub(super) fn serve_askers(self: &Rc<Self>, topic: Topic) {
        let askers = std::mem::take(&mut self.shelves.borrow_mut().of(topic).askers);
        for asker in askers.into_iter().take(SERVED) {
            self.hand_over(asker, topic);
        }
    }

    /// Takes in what a neighbour hands over.
    pub(super) fn take_held(self: &Rc<Self>, held: Held) {
        let (topic, next) = (held.topic, held.next);
        if self.feed(topic, |feed| feed.next()).is_some() {
            return;
        }
        let records: Vec<Record> = held
            .records
            .into_iter()
            .filter_map(platform::store::record)
            .collect();
        log::info!(
            "E0317 topic-handed-over topic={topic:?} records={}",
            records.len()
        );
        let draw = self.draw_share();
        self.feed(topic, |feed| feed.handed(next, draw, clock::now()));
        self.take_all(topic, &records);
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
