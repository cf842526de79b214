//! Followers in place of entry hosts, each behind its own proxy.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coordination::config::SnapshotPolicy;
use derives::value;
use state::Config;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use transport::log::{BlockingStoreClient, Follower, FollowerOptions, Submission};

use super::lock;
use crate::proxy::{Fault, Proxy};
use crate::store::StoreStandIn;

/// A configuration that a host showed.
#[value]
pub struct Observation {
    /// The host.
    pub host: usize,
    /// How often the host had been restarted; a new process has no state of the old one.
    pub restarts: usize,
    /// The configuration.
    pub config: Arc<Config>,
}

struct Host {
    proxy: Proxy,
    follower: Mutex<Arc<Follower>>,
    restarts: Mutex<usize>,
}

/// All hosts of a run.
pub(super) struct Hosts<'a> {
    hosts: Vec<Host>,
    observations: Arc<Mutex<Vec<Observation>>>,
    runtime: &'a Runtime,
}

impl<'a> Hosts<'a> {
    pub(super) fn start(
        count: usize,
        store: &StoreStandIn,
        runtime: &'a Runtime,
    ) -> io::Result<Self> {
        let _inside = runtime.enter();
        let observations = Arc::default();
        let mut hosts = Hosts {
            hosts: Vec::new(),
            observations,
            runtime,
        };
        for number in 0..count {
            let proxy = Proxy::start(store.address())?;
            let follower = start_follower(&proxy);
            hosts.watch(number, 0, follower.config());
            hosts.hosts.push(Host {
                proxy,
                follower: Mutex::new(follower),
                restarts: Mutex::new(0),
            });
        }
        Ok(hosts)
    }

    pub(super) fn count(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn follower(&self, number: usize) -> Arc<Follower> {
        Arc::clone(&lock(&self.hosts[number].follower))
    }

    /// Returns a submission of commands through this host.
    pub(super) fn submission(&self, number: usize, limit: Duration) -> Submission {
        let client = client(&self.hosts[number].proxy);
        Submission::new(client, self.follower(number), limit)
    }

    pub(super) fn set(&self, number: usize, fault: Fault) {
        self.hosts[number].proxy.set(fault);
    }

    pub(super) fn silence(&self, number: usize) {
        self.hosts[number].proxy.silence();
    }

    /// Replaces a host's process by a new one without state.
    pub(super) fn restart(&self, number: usize) {
        let host = &self.hosts[number];
        let follower = start_follower(&host.proxy);
        let mut restarts = lock(&host.restarts);
        *restarts += 1;
        self.watch(number, *restarts, follower.config());
        *lock(&host.follower) = follower;
    }

    /// Returns the record that a host would send to a peer.
    pub(super) fn offered_record(&self, number: usize) -> Option<Bytes> {
        self.follower(number)
            .snapshot_record()
            .map(|(_, record)| record)
    }

    /// Waits until every host has folded the whole log, or until `deadline`; returns the hosts'
    /// revisions.
    pub(super) fn wait_converged(&self, store: &StoreStandIn, deadline: Instant) -> Vec<u64> {
        let end = |f: &Arc<Follower>| {
            let fold = f.fold();
            let next = store.journal(transport::log::CONFIG_STREAM).len() as u64;
            !fold.is_behind() && fold.position().next == next
        };
        while Instant::now() < deadline && !(0..self.count()).all(|n| end(&self.follower(n))) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let revision = |n| self.follower(n).config().borrow().revision;
        (0..self.count()).map(revision).collect()
    }

    pub(super) fn observations(&self) -> Vec<Observation> {
        lock(&self.observations).clone()
    }

    fn watch(&self, host: usize, restarts: usize, mut config: watch::Receiver<Arc<Config>>) {
        let observations = Arc::clone(&self.observations);
        self.runtime.spawn(async move {
            loop {
                let config_now = Arc::clone(&config.borrow_and_update());
                lock(&observations).push(Observation {
                    host,
                    restarts,
                    config: config_now,
                });
                if config.changed().await.is_err() {
                    return;
                }
            }
        });
    }
}

fn client(proxy: &Proxy) -> BlockingStoreClient {
    BlockingStoreClient::new(proxy.address(), Duration::from_millis(150))
}

/// Starts a follower with short timeouts and frequent snapshots, to match the short run.
fn start_follower(proxy: &Proxy) -> Arc<Follower> {
    let options = FollowerOptions {
        wait: Duration::from_millis(50),
        retry_delay: Duration::from_millis(5),
        max_retry_delay: Duration::from_millis(50),
        hedge_delay: Duration::from_millis(100),
        max_kilobytes: Some(1),
        snapshots: Some(SnapshotPolicy {
            max_age: Duration::from_secs(1),
            max_records: 16,
            jitter: Duration::from_millis(30),
        }),
    };
    Arc::new(Follower::start(client(proxy), options))
}
