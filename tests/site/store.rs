//! The platform's store, backed by the stand-in of `stand_ins`.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use stand_ins::store::{Behaviour, Outage, StoreStandIn};
use transport::store::StoreClient;

/// How the store handles calls.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers all calls normally.
    Up,
    /// Answers 503 to all calls.
    Refusing,
    /// Accepts calls and never answers them.
    Silent,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    stand_in: Arc<StoreStandIn>,
}

impl Store {
    pub async fn start() -> Store {
        let stand_in = StoreStandIn::on_loopback(Behaviour::default()).expect("a port is free");
        Store {
            address: stand_in.address(),
            stand_in: Arc::new(stand_in),
        }
    }

    /// Writes the record of a key, or a tombstone if `value` is `None`.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let value = value.map(|v| Bytes::copy_from_slice(v.as_bytes()));
        self.stand_in.put(topic, key, value);
    }

    /// Drops the records of a topic except the newest one of each key.
    pub fn compact(&self, topic: &str) {
        self.stand_in.compact(topic);
    }

    pub fn set_mode(&self, mode: Mode) {
        self.stand_in.change(|b| {
            b.outage = match mode {
                Mode::Up => None,
                Mode::Refusing => Some(Outage::Refusing),
                Mode::Silent => Some(Outage::Silent),
            };
        });
    }

    /// Returns the value of a key as text, `None` if there is none.
    pub async fn value(&self, topic: &str, key: &str) -> Option<String> {
        let mut client = StoreClient::new(self.address);
        let page = client.newest(topic, None).await.ok()?;
        let record = page.records.into_iter().find(|r| r.key == key)?;
        String::from_utf8(record.value?.to_vec()).ok()
    }

    /// Returns how many bytes of records the store has sent in answer to reads.
    pub fn bytes_read(&self) -> u64 {
        self.stand_in.counts().bytes_read
    }

    /// Returns how many pages of newest records the store has sent.
    pub fn listings(&self) -> u64 {
        self.stand_in.counts().listings
    }

    /// Returns how many calls the store has received.
    pub fn calls(&self) -> u32 {
        u32::try_from(self.stand_in.counts().calls).expect("the number of calls fits")
    }
}
