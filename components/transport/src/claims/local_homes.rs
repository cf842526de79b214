//! The homes that this host runs: one worker for each stream, started when first needed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use coordination::claims::{ClaimKey, Reply, STREAMS};
use coordination::members::LiveView;
use state::HostKey;
use state::keys::rendezvous;

use super::client::Claims;
use super::worker::{Event, Worker, WorkerOptions, WorkerSetup};
use crate::log::BlockingStoreClient;

/// Returns the home of `stream`, chosen among the members that are alive by rendezvous hashing.
///
/// Hosts with different views of the members choose different homes for a
/// while; the order of the stream's records decides between their claims.
pub fn home_of(stream: u64, view: &LiveView) -> Option<HostKey> {
    view.alive().max_by_key(|host| rendezvous(host.0, stream))
}

/// The workers that run homes on this host.
pub struct LocalHomes {
    client: BlockingStoreClient,
    options: WorkerOptions,
    workers: Mutex<BTreeMap<u64, Worker>>,
    /// The streams that have this host as their home.
    own_streams: Arc<Mutex<BTreeSet<u64>>>,
}

impl LocalHomes {
    /// Returns an instance without workers.
    pub fn new(client: BlockingStoreClient, options: WorkerOptions) -> LocalHomes {
        LocalHomes {
            client,
            options,
            workers: Mutex::default(),
            own_streams: Arc::default(),
        }
    }

    /// Sends an event to the worker of the key's stream, which is started if it is missing.
    pub fn send(&self, claims: &Weak<Claims>, key: ClaimKey, event: Event) {
        let stream = key.stream();
        let mut workers = lock(&self.workers);
        let worker = workers
            .entry(stream)
            .or_insert_with(|| self.start(claims, stream));
        worker.send(event);
    }

    /// Applies a changed view of the members, in which the hosts in `lost` are no longer alive.
    ///
    /// Starts the workers of the streams that have this host as their home now,
    /// so that they have read their stream before the first claim arrives, and
    /// notifies all workers of the lost hosts.
    pub fn update_view(
        &self,
        claims: &Weak<Claims>,
        own_key: HostKey,
        view: &LiveView,
        lost: &[HostKey],
    ) {
        let own_streams: BTreeSet<u64> = (0..STREAMS)
            .filter(|stream| home_of(*stream, view) == Some(own_key))
            .collect();
        lock(&self.own_streams).clone_from(&own_streams);
        let mut workers = lock(&self.workers);
        for stream in own_streams {
            workers
                .entry(stream)
                .or_insert_with(|| self.start(claims, stream));
        }
        for worker in workers.values() {
            for host in lost {
                worker.send(Event::HostLost(*host));
            }
        }
    }

    /// Stops all workers.
    pub fn stop(&self) {
        lock(&self.workers).clear();
    }

    fn start(&self, claims: &Weak<Claims>, stream: u64) -> Worker {
        let claims = Weak::clone(claims);
        let own_streams = Arc::clone(&self.own_streams);
        Worker::start(WorkerSetup {
            client: self.client.clone(),
            stream,
            options: self.options,
            send_reply: Arc::new(move |reply: Reply| {
                if let Some(claims) = claims.upgrade() {
                    claims.deliver(reply);
                }
            }),
            is_home: Arc::new(move |stream| lock(&own_streams).contains(&stream)),
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
