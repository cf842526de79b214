//! Follows the `config` stream and keeps the configuration in force up to date.

use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coordination::config::{Answer, CommandId, Fold, Position, Record, Snapshot, SnapshotPolicy};
use derives::value;
use protocol::config_record::{decode_record, encode_snapshot};
use state::{Config, Moment};
use tokio::sync::{broadcast, watch};

use super::client::BlockingStoreClient;
use super::reader::{Event, Reader};

/// Options of a follower.
#[value]
pub struct FollowerOptions {
    /// How long the store holds a read that finds no new record. While reads
    /// succeed, [`Progress::end_seen`] gets at most twice this old.
    pub wait: Duration,
    /// The delay before a retry after the first failed read; it doubles with each further one.
    pub retry_delay: Duration,
    /// The longest delay before a retry, which limits how late a host notices
    /// that an outage is over.
    pub max_retry_delay: Duration,
    /// How long a read may take in addition to its wait before a second read is
    /// sent on another connection. This limits how late a host notices that a
    /// connection no longer delivers.
    pub hedge_delay: Duration,
    /// Kilobytes of records requested by one read, or none for the store's own limit.
    pub max_kilobytes: Option<u32>,
    /// When snapshots are due, or none if this follower appends no snapshots.
    pub snapshots: Option<SnapshotPolicy>,
}

impl Default for FollowerOptions {
    fn default() -> FollowerOptions {
        FollowerOptions {
            wait: Duration::from_millis(500),
            retry_delay: Duration::from_millis(50),
            max_retry_delay: Duration::from_secs(1),
            hedge_delay: Duration::from_secs(1),
            max_kilobytes: None,
            snapshots: Some(SnapshotPolicy::default()),
        }
    }
}

/// How far a follower has read the stream.
#[value]
pub struct Progress {
    /// The position up to which records have been folded.
    pub position: Position,
    /// When the latest read was sent that reached the end of the stream, or none
    /// before the first. Records appended later may be missing here.
    pub end_seen: Option<Moment>,
    /// Why this host has no configuration or may have an old one, or none if it is current.
    pub stale_reason: Option<String>,
}

impl Default for Progress {
    fn default() -> Progress {
        Progress {
            position: Position::default(),
            end_seen: None,
            stale_reason: Some("the log has not been read yet".to_owned()),
        }
    }
}

impl Progress {
    /// Returns whether a read reached the end of the stream within `age` before `now`.
    pub fn is_fresh(&self, now: Moment, age: Duration) -> bool {
        self.end_seen.is_some_and(|seen| now.since(seen) <= age)
    }
}

/// Folds the `config` stream into the configuration, on a thread that stops when this is dropped.
pub struct Follower {
    shared: Arc<Shared>,
    events: Sender<Event>,
    config: watch::Receiver<Arc<Config>>,
    progress: watch::Receiver<Progress>,
}

pub(super) struct Shared {
    pub(super) client: BlockingStoreClient,
    pub(super) options: FollowerOptions,
    pub(super) fold: Mutex<Fold>,
    pub(super) progress: watch::Sender<Progress>,
    folded: Condvar,
    config: watch::Sender<Arc<Config>>,
    changes: broadcast::Sender<Arc<Config>>,
}

/// Number of changes buffered for a slow receiver before it misses some.
const CHANGE_BUFFER: usize = 64;

impl Follower {
    /// Starts to follow the stream from its first record.
    ///
    /// # Panics
    ///
    /// Panics if the system can't start a thread.
    pub fn start(client: BlockingStoreClient, options: FollowerOptions) -> Follower {
        let (config_sender, config) = watch::channel(Arc::default());
        let (progress_sender, progress) = watch::channel(Progress::default());
        let shared = Arc::new(Shared {
            client,
            options,
            fold: Mutex::default(),
            folded: Condvar::new(),
            config: config_sender,
            progress: progress_sender,
            changes: broadcast::channel(CHANGE_BUFFER).0,
        });
        let events = Reader::start(Arc::clone(&shared));
        Follower {
            shared,
            events,
            config,
            progress,
        }
    }

    /// Returns a watch on the configuration in force, whose revision never decreases.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
    }

    /// Returns a channel that receives every configuration, also those in force only for a moment.
    ///
    /// The failure detector needs all of them: see `coordination::members::WatchHistory`.
    pub fn changes(&self) -> broadcast::Receiver<Arc<Config>> {
        self.shared.changes.subscribe()
    }

    /// Returns a watch on the follower's progress.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.clone()
    }

    /// Checks that this host has a preset in force, from the store or from a peer.
    ///
    /// # Errors
    ///
    /// Returns why no preset is in force; the host is not ready then.
    pub fn ready(&self) -> Result<(), String> {
        match self.config.borrow().preset() {
            Some(_) => Ok(()),
            None => Err(self.stale_reason()),
        }
    }

    /// Returns why the configuration is missing or may be old.
    pub fn stale_reason(&self) -> String {
        let stale_reason = self.progress.borrow().stale_reason.clone();
        stale_reason.unwrap_or_else(|| "the log's records have not all been read yet".to_owned())
    }

    /// Returns the position up to which the follower has folded the stream.
    pub fn position(&self) -> Position {
        lock(&self.shared.fold).position()
    }

    /// Returns whether the store has trimmed records that this host needs, and
    /// the stream holds no snapshot in their place before offset `end`.
    pub fn is_log_lost(&self, end: u64) -> bool {
        let fold = lock(&self.shared.fold);
        fold.is_behind() && fold.read_offset() >= end
    }

    /// Waits up to `limit` until every record before offset `next` is folded, and returns whether
    /// that is so. Blocks.
    pub fn wait_folded(&self, next: u64, limit: Duration) -> bool {
        let fold = lock(&self.shared.fold);
        let waited = self
            .shared
            .folded
            .wait_timeout_while(fold, limit, |f| f.position().next < next)
            .unwrap_or_else(PoisonError::into_inner);
        waited.0.position().next >= next
    }

    /// Reads again at once, in place of waiting for the delay after a failed read.
    ///
    /// To be called on a sign that the store may be available again, such as a
    /// peer that has read further.
    pub fn resume(&self) {
        // Sending fails only after the reader has ended, when there is nothing to resume.
        let _ = self.events.send(Event::Resume);
    }

    /// Replaces the folded state by a peer's snapshot if that is newer, and returns whether it
    /// was.
    pub fn install_snapshot(&self, snapshot: Snapshot) -> bool {
        let mut fold = lock(&self.shared.fold);
        let taken = fold.take_snapshot(snapshot);
        if taken {
            log::info!(
                "E0305 config-from-peer revision={}",
                fold.position().revision
            );
            self.shared.publish(&fold);
        }
        taken
    }

    /// Returns a snapshot of the folded state for a peer, or none if nothing has been folded.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let fold = lock(&self.shared.fold);
        match fold.position().next {
            0 => None,
            _ => fold.snapshot(),
        }
    }

    /// Applies an encoded snapshot record received from a peer, and returns whether it was newer.
    pub fn install_record(&self, record: &Bytes) -> bool {
        match decode_record(record) {
            Ok(Record::Snapshot(snapshot)) => self.install_snapshot(*snapshot),
            Ok(Record::Command(_) | Record::Begin(_)) => false,
            Err(unreadable) => {
                log::warn!("E0309 peer-config-unreadable reason=\"{unreadable}\"");
                false
            }
        }
    }

    /// Returns an encoded snapshot record for a peer, with its position.
    pub fn snapshot_record(&self) -> Option<(Position, Bytes)> {
        let snapshot = self.snapshot()?;
        Some((snapshot.position(), encode_snapshot(&snapshot)))
    }

    /// Returns a clone of the folded state.
    pub fn fold(&self) -> Fold {
        lock(&self.shared.fold).clone()
    }

    /// Waits up to `limit` for the decision on a command. Blocks.
    pub fn wait_answer(&self, id: CommandId, limit: Duration) -> Option<Answer> {
        let fold = lock(&self.shared.fold);
        let waited = self
            .shared
            .folded
            .wait_timeout_while(fold, limit, |f| f.answer(id).is_none())
            .unwrap_or_else(PoisonError::into_inner);
        waited.0.answer(id).cloned()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Stop);
    }
}

impl Shared {
    pub(super) fn announce(&self, fold: &Fold) {
        if self.changes.receiver_count() > 0 {
            let _ = self.changes.send(Arc::clone(fold.config()));
        }
    }

    /// Publishes the folded configuration.
    ///
    /// An older revision is never published, since it would send work to hosts
    /// and endpoints that have left. The same revision with other content occurs
    /// only if a record of a newer version was skipped and a snapshot has
    /// made up for it.
    pub(super) fn publish(&self, fold: &Fold) {
        let config = fold.config();
        self.config.send_if_modified(|shown| {
            let same = Arc::ptr_eq(shown, config) || **shown == **config;
            let show = config.revision >= shown.revision && !same;
            if show {
                self.announce(fold);
                *shown = Arc::clone(config);
            }
            show
        });
        self.folded.notify_all();
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
