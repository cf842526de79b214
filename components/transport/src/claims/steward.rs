//! The homes that this host runs: one worker for each stream, started when first needed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use coordination::claims::{ClaimKey, Reply, STREAMS};
use coordination::members::LiveView;
use state::HostKey;
use state::keys::rendezvous;

use super::entry::Claims;
use super::worker::{Order, Worker, WorkerOptions, WorkerSetup};
use crate::log::BlockingStoreClient;

/// Returns the home of `stream`, chosen among the members that are alive by rendezvous hashing.
///
/// Hosts with different views of the members choose different homes for a
/// while; the order of the stream's records decides between their claims.
pub fn home_of(stream: u64, view: &LiveView) -> Option<HostKey> {
    view.alive().max_by_key(|host| rendezvous(host.0, stream))
}

/// The workers that run homes on this host.
pub struct Steward {
    client: BlockingStoreClient,
    options: WorkerOptions,
    workers: Mutex<BTreeMap<u64, Worker>>,
    /// The streams that have this host as their home.
    mine: Arc<Mutex<BTreeSet<u64>>>,
}

impl Steward {
    /// Returns an instance without workers.
    pub fn new(client: BlockingStoreClient, options: WorkerOptions) -> Steward {
        Steward {
            client,
            options,
            workers: Mutex::default(),
            mine: Arc::default(),
        }
    }

    /// Sends an order to the worker of the key's stream, which is started where it is missing.
    pub fn order(&self, claims: &Weak<Claims>, key: ClaimKey, order: Order) {
        let stream = key.stream();
        let mut workers = lock(&self.workers);
        let worker = workers
            .entry(stream)
            .or_insert_with(|| self.start(claims, stream));
        worker.order(order);
    }

    /// Applies a changed view of the members, in which the hosts in `lost` are no longer alive.
    ///
    /// Starts the workers of the streams that have this host as their home now,
    /// so that they have read their stream before the first claim arrives, and
    /// notifies all workers of the lost hosts.
    pub fn take(&self, claims: &Weak<Claims>, me: HostKey, view: &LiveView, lost: &[HostKey]) {
        let mine: BTreeSet<u64> = (0..STREAMS)
            .filter(|stream| home_of(*stream, view) == Some(me))
            .collect();
        lock(&self.mine).clone_from(&mine);
        let mut workers = lock(&self.workers);
        for stream in mine {
            workers
                .entry(stream)
                .or_insert_with(|| self.start(claims, stream));
        }
        for worker in workers.values() {
            for host in lost {
                worker.order(Order::Lost(*host));
            }
        }
    }

    /// Stops all workers.
    pub fn stop(&self) {
        lock(&self.workers).clear();
    }

    fn start(&self, claims: &Weak<Claims>, stream: u64) -> Worker {
        let claims = Weak::clone(claims);
        let mine = Arc::clone(&self.mine);
        Worker::start(WorkerSetup {
            client: self.client.clone(),
            stream,
            options: self.options,
            answers: Arc::new(move |reply: Reply| {
                if let Some(claims) = claims.upgrade() {
                    claims.pass_on(reply);
                }
            }),
            is_home: Arc::new(move |stream| lock(&mine).contains(&stream)),
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
