//! Follows the `config` stream and keeps the configuration in force up to date.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coordination::config::{
    Answer, CommandId, Fold, LogView, Mark, Record, Snapshot, SnapshotTimer, Spacing, Step,
    Unreadable,
};
use derives::value;
use protocol::record::{Page, decode_record, encode_snapshot};
use rand::Rng;
use state::{Config, Moment};
use tokio::sync::watch;

use super::CONFIG_STREAM;
use super::client::LogClient;
use crate::clock;

/// How a follower reads.
#[value]
pub struct FollowerOptions {
    /// How long the log holds a read that finds nothing new. It bounds how old
    /// [`Progress::end_seen`] gets while all is well: twice this.
    pub wait: Duration,
    /// The first pause after a read that failed.
    pub pause: Duration,
    /// The longest pause. It bounds how late a host learns that an outage is over.
    pub longest_pause: Duration,
    /// How long a read may take beyond its wait, at first. It bounds how late a
    /// link is given up that has gone silent; it doubles while the log is slower.
    pub patience: Duration,
    /// Records asked for at once.
    pub batch: usize,
    /// When snapshots are due, or none where this follower appends none.
    pub snapshots: Option<Spacing>,
}

impl Default for FollowerOptions {
    fn default() -> FollowerOptions {
        FollowerOptions {
            wait: Duration::from_millis(500),
            pause: Duration::from_millis(50),
            longest_pause: Duration::from_secs(1),
            patience: Duration::from_secs(1),
            batch: 256,
            snapshots: Some(Spacing::default()),
        }
    }
}

/// The longest time that a slow log is given beyond a read's wait.
const LONGEST_PATIENCE: Duration = Duration::from_secs(20);

/// How far a follower has come.
#[value]
pub struct Progress {
    /// What has been folded.
    pub mark: Mark,
    /// When the read was sent whose answer showed that nothing more stood on
    /// the log, or none yet. What came later may not be known here.
    pub end_seen: Option<Moment>,
    /// Why this host has no configuration, or an old one; empty where all is well.
    pub trouble: Option<String>,
}

impl Default for Progress {
    fn default() -> Progress {
        Progress {
            mark: Mark::default(),
            end_seen: None,
            trouble: Some("the log has not been read yet".to_owned()),
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
    config: watch::Receiver<Arc<Config>>,
    progress: watch::Receiver<Progress>,
}

struct Shared {
    client: LogClient,
    options: FollowerOptions,
    fold: Mutex<Fold>,
    folded: Condvar,
    resume: Mutex<bool>,
    resumed: Condvar,
    stopped: AtomicBool,
    config: watch::Sender<Arc<Config>>,
    progress: watch::Sender<Progress>,
}

impl Follower {
    /// Starts to follow the log from its first record.
    ///
    /// # Panics
    ///
    /// Panics where the system gives no thread.
    pub fn start(client: LogClient, options: FollowerOptions) -> Follower {
        let (config_sender, config) = watch::channel(Arc::default());
        let (progress_sender, progress) = watch::channel(Progress::default());
        let shared = Arc::new(Shared {
            client,
            options,
            fold: Mutex::default(),
            folded: Condvar::new(),
            resume: Mutex::new(false),
            resumed: Condvar::new(),
            stopped: AtomicBool::new(false),
            config: config_sender,
            progress: progress_sender,
        });
        let reader = Reader::new(Arc::clone(&shared));
        std::thread::Builder::new()
            .name("config-follower".to_owned())
            .spawn(move || reader.run())
            .expect("a thread can be started");
        Follower {
            shared,
            config,
            progress,
        }
    }

    /// Returns the configuration in force, as it changes. Its revision only grows.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
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
            None => Err(self
                .progress
                .borrow()
                .trouble
                .clone()
                .unwrap_or_else(|| "no preset has been chosen yet".to_owned())),
        }
    }

    /// Reads again at once, in place of waiting out a pause after a failure.
    ///
    /// To be called when a sign says that the log may be back, such as a peer
    /// that has read further.
    pub fn resume(&self) {
        *lock(&self.shared.resume) = true;
        self.shared.resumed.notify_all();
    }

    /// Takes a peer's snapshot, where it is newer. Returns whether it was.
    pub fn take(&self, snapshot: Snapshot) -> bool {
        let mut fold = lock(&self.shared.fold);
        let taken = fold.take(snapshot);
        if taken {
            log::info!("E0305 config-from-peer revision={}", fold.mark().revision);
            self.shared.publish(&fold);
        }
        taken
    }

    /// Returns the whole state for a peer that has none, or none where there is nothing to hand on.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let fold = lock(&self.shared.fold);
        match fold.mark().next {
            0 => None,
            _ => fold.snapshot(),
        }
    }

    /// Takes a snapshot's record as a peer hands it on. Returns whether it was newer.
    pub fn take_record(&self, record: &Bytes) -> bool {
        match decode_record(record) {
            Ok(Record::Snapshot(snapshot)) => self.take(*snapshot),
            Ok(Record::Command(_)) => false,
            Err(unreadable) => {
                log::warn!("E0309 peer-config-unreadable reason=\"{unreadable}\"");
                false
            }
        }
    }

    /// Returns the snapshot's record to hand to a peer, with its mark.
    pub fn offer(&self) -> Option<(Mark, Bytes)> {
        let snapshot = self.snapshot()?;
        Some((snapshot.mark(), encode_snapshot(&snapshot)))
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
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.resume();
    }
}

impl Shared {
    /// Hands on what has been folded. An older revision is never shown: it
    /// would send work back to what has left. The same one with other content
    /// comes only where a record of a newer version was skipped and is made good.
    fn publish(&self, fold: &Fold) {
        let config = fold.config();
        self.config.send_if_modified(|shown| {
            let same = Arc::ptr_eq(shown, config) || **shown == **config;
            let show = config.revision >= shown.revision && !same;
            if show {
                *shown = Arc::clone(config);
            }
            show
        });
        self.folded.notify_all();
    }
}

/// What the follower's own thread keeps.
struct Reader {
    shared: Arc<Shared>,
    timer: Option<SnapshotTimer>,
    pause: Duration,
    patience: Duration,
    failures: u32,
}

impl Reader {
    fn new(shared: Arc<Shared>) -> Reader {
        let now = clock::now();
        let timer = shared.options.snapshots.map(|s| SnapshotTimer::new(s, now));
        let pause = shared.options.pause;
        let patience = shared.options.patience;
        Reader {
            shared,
            timer,
            pause,
            patience,
            failures: 0,
        }
    }

    fn run(mut self) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            let from = lock(&self.shared.fold).position();
            let options = &self.shared.options;
            let sent = clock::now();
            let client = self.shared.client.waiting(self.patience);
            let read = client.read(CONFIG_STREAM, from, options.batch, options.wait);
            let took = clock::now().since(sent);
            match read {
                Ok(page) if page.next < from => self.fail(&format!(
                    "the log ends at offset {}, before {from}, where this host has been",
                    page.next
                )),
                Ok(page) => {
                    self.recover(took);
                    self.fold(&page, sent);
                }
                Err(error) => self.fail(&error.to_string()),
            }
        }
    }

    fn fold(&mut self, page: &Page, sent: Moment) {
        let mut fold = lock(&self.shared.fold);
        fold.retained_from(page.first);
        for record in &page.records {
            let decoded = decode_record(&record.data);
            note_snapshot(&mut self.timer, record.offset, &decoded);
            let step = fold.apply(record.offset, decoded);
            report(record.offset, &step);
        }
        let mark = fold.mark();
        let at_end = !fold.is_behind() && mark.next >= page.next;
        let trouble = trouble(&fold, page);
        self.shared.publish(&fold);
        drop(fold);
        self.shared.progress.send_modify(|p| {
            p.mark = mark;
            p.trouble = trouble;
            if at_end {
                p.end_seen = Some(sent);
            }
        });
        metrics::gauge!("cardamomvale_config_revision").set(mark.revision as f64);
        if at_end {
            self.append_snapshot(page);
        }
    }

    fn append_snapshot(&mut self, page: &Page) {
        let Some(timer) = &mut self.timer else {
            return;
        };
        let now = clock::now();
        let view = LogView {
            first: page.first,
            next: page.next,
        };
        let mut draw = rand::rng();
        if !timer.is_due(view, now, draw.random()) {
            return;
        }
        timer.tried(now, draw.random());
        let Some(snapshot) = lock(&self.shared.fold).snapshot() else {
            return;
        };
        let record = encode_snapshot(&snapshot);
        let bytes = record.len();
        match self.shared.client.append(CONFIG_STREAM, &record) {
            Ok(offset) => log::info!("E0306 snapshot-appended offset={offset} bytes={bytes}"),
            Err(error) => log::warn!("E0307 snapshot-not-appended error=\"{error}\""),
        }
    }

    /// Notes a read that went well, and how patient the next one has to be.
    fn recover(&mut self, took: Duration) {
        if self.failures > 0 {
            let failures = self.failures;
            log::info!("E0310 log-readable-again failures={failures}");
        }
        self.failures = 0;
        self.pause = self.shared.options.pause;
        self.patience = (took * 2).clamp(self.shared.options.patience, LONGEST_PATIENCE);
    }

    /// Notes a failed read and waits, jittered so that hosts don't all come
    /// back to a log that has just recovered in the same moment.
    fn fail(&mut self, error: &str) {
        // One line an outage: the metric counts the rest.
        if self.failures == 0 {
            log::warn!("E0301 log-unreadable error=\"{error}\"");
        }
        self.failures += 1;
        self.patience = (self.patience * 2).min(LONGEST_PATIENCE);
        metrics::counter!("cardamomvale_log_read_failures_total").increment(1);
        let trouble = format!("the log can't be followed: {error}");
        self.shared
            .progress
            .send_modify(|p| p.trouble = Some(trouble));
        let jitter = rand::rng().random_range(0.5..1.0);
        let resume = lock(&self.shared.resume);
        let mut resume = self
            .shared
            .resumed
            .wait_timeout_while(resume, self.pause.mul_f64(jitter), |r| !*r)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        *resume = false;
        drop(resume);
        self.pause = (self.pause * 2).min(self.shared.options.longest_pause);
    }
}

fn note_snapshot(
    timer: &mut Option<SnapshotTimer>,
    offset: u64,
    decoded: &Result<Record, Unreadable>,
) {
    if let (Some(timer), Ok(Record::Snapshot(_))) = (timer, decoded) {
        timer.saw(offset, clock::now());
    }
}

/// Says why the configuration is missing or old, for readiness and status.
fn trouble(fold: &Fold, page: &Page) -> Option<String> {
    match fold.blind() {
        _ if fold.is_behind() => Some(format!(
            "the log's records before {} are gone and no snapshot has come yet",
            page.first
        )),
        Some(offset) => Some(format!(
            "the record at offset {offset} is of a newer version: update this host"
        )),
        None if fold.config().chosen.is_none() => Some("no preset has been chosen yet".to_owned()),
        None => None,
    }
}

fn report(offset: u64, step: &Step) {
    match step {
        Step::Decided(id, Answer::Accepted { revision }) => {
            log::info!("E0302 command-accepted id={id} offset={offset} revision={revision}");
        }
        Step::Decided(id, Answer::Refused { refusal }) => {
            log::info!("E0303 command-refused id={id} offset={offset} reason=\"{refusal}\"");
        }
        Step::Skipped(unreadable) => {
            log::error!("E0304 record-skipped offset={offset} reason=\"{unreadable}\"");
            metrics::counter!("cardamomvale_config_records_skipped_total").increment(1);
        }
        Step::Took(mark) => {
            log::info!(
                "E0308 snapshot-taken next={} revision={}",
                mark.next,
                mark.revision
            );
        }
        Step::Repeated(..) | Step::Passed => {}
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
