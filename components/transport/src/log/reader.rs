//! The thread that reads the `config` stream for a follower.

use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use coordination::config::{Answer, Applied, Fold, LogView, Record, SnapshotTimer, Unreadable};
use platform::store::ReadAnswer;
use protocol::config_record::{decode_record, encode_snapshot};
use rand::Rng;
use state::Moment;

use super::CONFIG_STREAM;
use super::client::ReadError;
use super::follower::{Shared, lock};
use crate::clock;

/// Time-out of a read. A store that takes longer can't be followed.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of reads in flight at once.
///
/// While no answer arrives, another read is sent each time the hedge delay has
/// passed. This is enough for all that are sent within [`READ_TIMEOUT`].
const MAX_READS_IN_FLIGHT: usize = 10;

/// An input to the reader's thread.
pub(super) enum Event {
    /// A read has ended.
    Read(ReadResult),
    /// The store may be available again, so the next read is due at once.
    Resume,
    /// The follower was dropped.
    Stop,
}

/// A read that has ended, and its result.
pub(super) struct ReadResult {
    from: u64,
    sent: Moment,
    page: Result<ReadAnswer, ReadError>,
}

/// Reads page after page, and sends a second read if the first one is late.
///
/// A connection that no longer delivers, or a store that answers seconds late,
/// would keep a host on an old configuration. With one read at a time, the host
/// would have to choose between giving up on a slow store and waiting long on a
/// dead connection. So a late read stays in flight, and another one is sent in
/// parallel on a new connection.
pub(super) struct Reader {
    shared: Arc<Shared>,
    events: Sender<Event>,
    timer: Option<SnapshotTimer>,
    retry_delay: Duration,
    failures: u32,
    in_flight: usize,
    next_read: Moment,
    last_success: Option<Moment>,
}

impl Reader {
    /// Starts the thread, which ends on [`Event::Stop`], and returns the sender of its events.
    pub(super) fn start(shared: Arc<Shared>) -> Sender<Event> {
        let (sender, events) = mpsc::channel();
        let now = clock::now();
        let reader = Reader {
            timer: shared.options.snapshots.map(|s| SnapshotTimer::new(s, now)),
            retry_delay: shared.options.retry_delay,
            shared,
            events: sender.clone(),
            failures: 0,
            in_flight: 0,
            next_read: now,
            last_success: None,
        };
        std::thread::Builder::new()
            .name("config-follower".to_owned())
            .spawn(move || reader.run(&events))
            .expect("a thread can be started");
        sender
    }

    fn run(mut self, events: &Receiver<Event>) {
        loop {
            let now = clock::now();
            if now >= self.next_read && self.in_flight < MAX_READS_IN_FLIGHT {
                self.send_read(now);
            }
            let wait = match self.in_flight {
                MAX_READS_IN_FLIGHT.. => READ_TIMEOUT,
                _ => now.until(self.next_read),
            };
            match events.recv_timeout(wait) {
                Ok(Event::Read(read)) => self.handle_read(read),
                Ok(Event::Resume) => self.next_read = clock::now(),
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn send_read(&mut self, now: Moment) {
        if self.in_flight > 0 {
            self.set_stale_reason("the log is late with its answer");
        }
        self.in_flight += 1;
        let options = &self.shared.options;
        self.next_read = now + options.wait + options.hedge_delay;
        let from = lock(&self.shared.fold).read_offset();
        let (wait, max_kilobytes) = (options.wait, options.max_kilobytes);
        let client = self.shared.client.with_timeout(READ_TIMEOUT);
        let events = self.events.clone();
        std::thread::Builder::new()
            .name("config-read".to_owned())
            .spawn(move || {
                let page = client.read(CONFIG_STREAM, from, max_kilobytes, wait);
                let sent = now;
                // Sending fails if the follower was dropped meanwhile.
                let _ = events.send(Event::Read(ReadResult { from, sent, page }));
            })
            .expect("a thread can be started");
    }

    fn handle_read(&mut self, read: ReadResult) {
        self.in_flight -= 1;
        let from = read.from;
        match read.page {
            Ok(page) if page.end < from => self.read_failed(
                &format!(
                    "the log ends at offset {}, but this host has already read up to {from}",
                    page.end
                ),
                read.sent,
            ),
            Ok(page) => {
                self.read_succeeded(read.sent);
                self.fold(&page, read.sent);
            }
            Err(error) => self.read_failed(&error.to_string(), read.sent),
        }
    }

    fn fold(&mut self, page: &ReadAnswer, sent: Moment) {
        let mut fold = lock(&self.shared.fold);
        fold.log_trimmed(page.first);
        for (offset, record) in (page.from..).zip(&page.records) {
            let decoded = decode_record(record);
            note_snapshot(&mut self.timer, offset, &decoded);
            let step = fold.apply(offset, decoded);
            log_step(offset, &step);
            if let Applied::Decided(_, Answer::Accepted { .. }) = step {
                self.shared.announce(&fold);
            }
        }
        let position = fold.position();
        let at_end = !fold.is_behind() && position.next >= page.end;
        let stale_reason = stale_reason(&fold, page);
        self.shared.publish(&fold);
        drop(fold);
        self.shared.progress.send_modify(|p| {
            p.position = position;
            p.stale_reason = stale_reason;
            if at_end {
                p.end_seen = p.end_seen.max(Some(sent));
            }
        });
        metrics::gauge!("cardamomvale_config_revision").set(position.revision as f64);
        if at_end {
            self.append_snapshot(page);
        }
    }

    /// Appends a snapshot if one is due, on a thread of its own, so that a
    /// store that does not answer can't hold up reading.
    fn append_snapshot(&mut self, page: &ReadAnswer) {
        let Some(timer) = &mut self.timer else {
            return;
        };
        let now = clock::now();
        let view = LogView {
            first: page.first,
            next: page.end,
        };
        let mut draw = rand::rng();
        if !timer.is_due(view, now, draw.random()) {
            return;
        }
        timer.append_tried(now, draw.random());
        let Some(snapshot) = lock(&self.shared.fold).snapshot() else {
            return;
        };
        let client = self.shared.client.clone();
        std::thread::Builder::new()
            .name("config-snapshot".to_owned())
            .spawn(move || {
                let record = encode_snapshot(&snapshot);
                let bytes = record.len();
                match client.append(CONFIG_STREAM, &record) {
                    Ok(offset) => {
                        log::info!("E0306 snapshot-appended offset={offset} bytes={bytes}");
                    }
                    Err(error) => log::warn!("E0307 snapshot-not-appended error=\"{error}\""),
                }
            })
            .expect("a thread can be started");
    }

    /// Records a successful read and sets when the next one is due.
    ///
    /// While other reads are in flight, the next read waits until they have
    /// ended or [`FollowerOptions::hedge_delay`](super::FollowerOptions::hedge_delay)
    /// has passed. Otherwise the parallel reads that a slow store has
    /// accumulated would never get fewer.
    fn read_succeeded(&mut self, sent: Moment) {
        if self.failures > 0 {
            let failures = self.failures;
            log::info!("E0310 log-readable-again failures={failures}");
        }
        self.failures = 0;
        self.retry_delay = self.shared.options.retry_delay;
        self.last_success = self.last_success.max(Some(sent));
        if self.in_flight == 0 {
            self.next_read = clock::now();
        }
    }

    /// Records a failed read and delays the next one. The delay has jitter, so
    /// that the hosts don't all read at once from a store that has just recovered.
    fn read_failed(&mut self, error: &str, sent: Moment) {
        metrics::counter!("cardamomvale_log_read_failures_total").increment(1);
        if self.last_success > Some(sent) {
            // A later read succeeded, so only the connection of this one failed.
            return;
        }
        // Logs one line an outage; the metric counts every failure.
        if self.failures == 0 {
            log::warn!("E0301 log-unreadable error=\"{error}\"");
        }
        self.failures += 1;
        self.set_stale_reason(error);
        let jitter = rand::rng().random_range(0.5..1.0);
        self.next_read = clock::now() + self.retry_delay.mul_f64(jitter);
        self.retry_delay = (self.retry_delay * 2).min(self.shared.options.max_retry_delay);
    }

    fn set_stale_reason(&self, error: &str) {
        let stale_reason = format!("the log can't be followed: {error}");
        self.shared
            .progress
            .send_modify(|p| p.stale_reason = Some(stale_reason));
    }
}

fn note_snapshot(
    timer: &mut Option<SnapshotTimer>,
    offset: u64,
    decoded: &Result<Record, Unreadable>,
) {
    if let (Some(timer), Ok(Record::Snapshot(_))) = (timer, decoded) {
        timer.snapshot_seen(offset, clock::now());
    }
}

/// Returns why the configuration is missing or old, for readiness and status.
fn stale_reason(fold: &Fold, page: &ReadAnswer) -> Option<String> {
    match fold.skipped_newer() {
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

fn log_step(offset: u64, step: &Applied) {
    match step {
        Applied::Decided(id, Answer::Accepted { revision }) => {
            log::info!("E0302 command-accepted id={id} offset={offset} revision={revision}");
        }
        Applied::Decided(id, Answer::Refused { refusal }) => {
            log::info!("E0303 command-refused id={id} offset={offset} reason=\"{refusal}\"");
        }
        Applied::Skipped(unreadable) => {
            log::error!("E0304 record-skipped offset={offset} reason=\"{unreadable}\"");
            metrics::counter!("cardamomvale_config_records_skipped_total").increment(1);
        }
        Applied::Replaced(position) => {
            log::info!(
                "E0308 snapshot-taken next={} revision={}",
                position.next,
                position.revision
            );
        }
        Applied::Repeated(..) | Applied::Ignored => {}
    }
}
