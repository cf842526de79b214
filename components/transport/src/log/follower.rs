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

/// How a follower reads.
#[value]
pub struct FollowerOptions {
    /// How long the log holds a read that finds nothing new. It bounds how old
    /// [`Progress::end_seen`] gets while all is well: twice this.
    pub wait: Duration,
    /// The first pause after a read that failed.
    pub retry_delay: Duration,
    /// The longest pause. It bounds how late a host learns that an outage is over.
    pub max_retry_delay: Duration,
    /// How long a read may take beyond its wait before another is sent beside
    /// it. It bounds how late a host learns that a link has gone silent.
    pub hedge_delay: Duration,
    /// Kilobytes of records asked for at once, none for as many as the log gives.
    pub max_kilobytes: Option<u32>,
    /// When snapshots are due, or none where this follower appends none.
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

/// How far a follower has come.
#[value]
pub struct Progress {
    /// What has been folded.
    pub position: Position,
    /// When the read was sent whose answer showed that nothing more stood on
    /// the log, or none yet. What came later may not be known here.
    pub end_seen: Option<Moment>,
    /// Why this host has no configuration, or an old one; empty where all is well.
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
    /// Returns whether the log's end was seen within `age` before `now`.
    pub fn is_fresh(&self, now: Moment, age: Duration) -> bool {
        self.end_seen.is_some_and(|seen| now.since(seen) <= age)
    }
}

/// A thread that folds the `config` stream. Stops when dropped.
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

/// Changes that a slow reader may be behind before it is told that it missed some.
const CHANGES: usize = 64;

impl Follower {
    /// Starts to follow the log from its first record.
    ///
    /// # Panics
    ///
    /// Panics where the system gives no thread.
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
            changes: broadcast::channel(CHANGES).0,
        });
        let events = Reader::start(Arc::clone(&shared));
        Follower {
            shared,
            events,
            config,
            progress,
        }
    }

    /// Returns the configuration in force, as it changes. Its revision only grows.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
    }

    /// Returns each configuration in turn, also those that are in force for a moment only.
    ///
    /// The failure detector needs them all: see `coordination::members::History`.
    pub fn changes(&self) -> broadcast::Receiver<Arc<Config>> {
        self.shared.changes.subscribe()
    }

    /// Returns how far the follower has come, as it changes.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.clone()
    }

    /// Returns whether this host has a preset in force, from the log or a peer.
    ///
    /// # Errors
    ///
    /// Says why it has none, for the host is not ready then.
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

    /// Returns how far the follower has folded.
    pub fn position(&self) -> Position {
        lock(&self.shared.fold).position()
    }

    /// Returns whether the log has dropped records that this host needs, and
    /// holds no snapshot in their place up to `end`.
    pub fn is_lost(&self, end: u64) -> bool {
        let fold = lock(&self.shared.fold);
        fold.is_behind() && fold.read_offset() >= end
    }

    /// Waits up to `limit` until every record before `next` is folded; says whether it is. Blocks.
    pub fn wait_folded(&self, next: u64, limit: Duration) -> bool {
        let fold = lock(&self.shared.fold);
        let waited = self
            .shared
            .folded
            .wait_timeout_while(fold, limit, |f| f.position().next < next)
            .unwrap_or_else(PoisonError::into_inner);
        waited.0.position().next >= next
    }

    /// Reads again at once, in place of waiting out a pause after a failure.
    ///
    /// To be called when a sign says that the log may be back, such as a peer
    /// that has read further.
    pub fn resume(&self) {
        // A reader that has ended has nothing to resume.
        let _ = self.events.send(Event::Resume);
    }

    /// Takes a peer's snapshot, where it is newer. Returns whether it was.
    pub fn take(&self, snapshot: Snapshot) -> bool {
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

    /// Returns the whole state for a peer that has none, or none where there is nothing to hand on.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let fold = lock(&self.shared.fold);
        match fold.position().next {
            0 => None,
            _ => fold.snapshot(),
        }
    }

    /// Takes a snapshot's record as a peer hands it on. Returns whether it was newer.
    pub fn install_record(&self, record: &Bytes) -> bool {
        match decode_record(record) {
            Ok(Record::Snapshot(snapshot)) => self.take(*snapshot),
            Ok(Record::Command(_) | Record::Begin(_)) => false,
            Err(unreadable) => {
                log::warn!("E0309 peer-config-unreadable reason=\"{unreadable}\"");
                false
            }
        }
    }

    /// Returns the snapshot's record to hand to a peer, with its mark.
    pub fn snapshot_record(&self) -> Option<(Position, Bytes)> {
        let snapshot = self.snapshot()?;
        Some((snapshot.position(), encode_snapshot(&snapshot)))
    }

    /// Returns a copy of the folded state.
    pub fn fold(&self) -> Fold {
        lock(&self.shared.fold).clone()
    }

    /// Waits up to `limit` for the answer to a command. Blocks.
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

    /// Hands on what has been folded. An older revision is never shown: it
    /// would send work back to what has left. The same one with other content
    /// comes only where a record of a newer version was skipped and is made good.
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
