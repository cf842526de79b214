//! The platform's store, as the stand-in of the product gives it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use stand_ins::store::{Behaviour, Outage, StoreStandIn};

/// How the store behaves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Up,
    /// It answers 503 to all.
    Refusing,
    /// It answers nothing.
    Silent,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    log: Arc<StoreStandIn>,
}

impl Store {
    pub async fn start() -> Store {
        let log = StoreStandIn::on_loopback(Behaviour::default()).expect("a port is free");
        Store {
            address: log.address(),
            log: Arc::new(log),
        }
    }

    /// Writes under a key, or drops it.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let value = value.map(|v| Bytes::copy_from_slice(v.as_bytes()));
        self.log.put(topic, key, value);
    }

    /// Forgets the records of a topic but for the newest of each key.
    pub fn forget(&self, topic: &str) {
        self.log.compact(topic);
    }

    pub fn set(&self, mode: Mode) {
        self.log.change(|b| {
            b.outage = match mode {
                Mode::Up => None,
                Mode::Refusing => Some(Outage::Refusing),
                Mode::Silent => Some(Outage::Silent),
            };
        });
    }

    /// Returns how many bytes of records reads have handed out.
    pub fn bytes_read(&self) -> u64 {
        self.log.counts().bytes_read
    }

    /// Returns how many pages of newest records were handed out.
    pub fn listings(&self) -> u64 {
        self.log.counts().listings
    }

    /// Returns how many calls came.
    pub fn calls(&self) -> u32 {
        u32::try_from(self.log.counts().calls).expect("a test makes few calls")
    }
}
