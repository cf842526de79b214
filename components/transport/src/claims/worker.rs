//! The worker: a thread that runs the home of one stream and appends to the store.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coordination::claims::{
    AppendBudget, Batch, CARRY_AFTER, ClaimId, ClaimKey, Ending, Home, KeyRequest, Reply,
};
use derives::value;
use protocol::ProtocolError;
use protocol::claim::{decode_batch, encode_batch};
use state::{HostKey, Moment};

use crate::clock;
use crate::log::{AppendError, BlockingStoreClient};

/// Options of a home. The defaults are for production; tests use shorter times.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Appends a second that the home of one stream may make, as the rate of a token bucket.
    pub append_rate: f64,
    /// Largest number of appends at once: the token bucket's capacity.
    pub append_burst: f64,
    /// Age after which a key's record is appended again, before the store may trim it.
    pub carry_after: Duration,
    /// How long ended calls wait for new claims to share an append with.
    pub linger: Duration,
    /// The pause after the store failed, during which keyed calls are refused at once.
    pub failure_pause: Duration,
    /// How long a home that is not needed keeps the state read from its stream.
    pub idle_timeout: Duration,
}

impl Default for WorkerOptions {
    fn default() -> WorkerOptions {
        WorkerOptions {
            // 8 streams with 30 appends a second each leave enough of the several
            // hundred that the store takes to the `config` stream.
            append_rate: 30.0,
            append_burst: 10.0,
            carry_after: CARRY_AFTER,
            linger: Duration::from_millis(500),
            failure_pause: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// An input to a worker.
pub enum Event {
    /// A host requests a key and waits for the answer until this moment.
    Request(HostKey, KeyRequest, Moment),
    /// A call with a granted claim has ended.
    CallEnded(ClaimId, ClaimKey, Ending),
    /// An entry host is no longer alive.
    HostLost(HostKey),
}

/// Takes the answers of a worker.
pub type ReplySender = Arc<dyn Fn(Reply) + Send + Sync>;

/// Runs the home of one stream on a thread of its own, since the store's client blocks.
pub struct Worker {
    events: Mutex<Sender<Event>>,
}

/// The dependencies and options of a worker.
#[derive(Clone)]
pub struct WorkerSetup {
    /// The client of the store.
    pub client: BlockingStoreClient,
    /// The number of the stream.
    pub stream: u64,
    /// The options of the home.
    pub options: WorkerOptions,
    /// Takes the home's answers.
    pub send_reply: ReplySender,
    /// Returns whether this host is the home of a stream in its own view of the
    /// members. Only then does the worker append old keys again.
    pub is_home: Arc<dyn Fn(u64) -> bool + Send + Sync>,
}

impl Worker {
    /// Starts the thread, which ends when the worker is dropped.
    ///
    /// # Panics
    ///
    /// Panics if the system can't start a thread.
    pub fn start(setup: WorkerSetup) -> Worker {
        let (events, receiver) = channel();
        let name = format!("claims-{}", setup.stream);
        std::thread::Builder::new()
            .name(name)
            .spawn(move || HomeLoop::new(setup).run(&receiver))
            .expect("a thread can be started");
        Worker {
            events: Mutex::new(events),
        }
    }

    /// Sends an event to the thread without waiting.
    pub fn send(&self, event: Event) {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = events.send(event);
    }
}

/// Why the stream could not be read to its end.
#[value]
enum CatchUpError {
    /// The store can't be read now.
    Unreadable(String),
    /// The stream holds a record of a newer format version, which this release can't decode.
    NewerVersion(u32),
}

struct HomeLoop {
    setup: WorkerSetup,
    stream: String,
    home: Home,
    budget: AppendBudget,
    last_event: Moment,
    last_append: Moment,
    last_read: Moment,
    /// Whether the last access to the store failed.
    failing: bool,
    /// Until when the store counts as unavailable.
    unavailable_until: Option<Moment>,
}

impl HomeLoop {
    fn new(mut setup: WorkerSetup) -> HomeLoop {
        let now = clock::now();
        setup.client = setup.client.with_hedge(READ_HEDGE_DELAY);
        HomeLoop {
            stream: format!("claims-{}", setup.stream),
            home: Home::new(setup.options.carry_after),
            budget: AppendBudget::new(setup.options.append_rate, setup.options.append_burst, now),
            last_event: now,
            last_append: now,
            last_read: now,
            failing: false,
            unavailable_until: None,
            setup,
        }
    }

    fn run(mut self, events: &Receiver<Event>) {
        loop {
            match events.recv_timeout(self.receive_timeout()) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // All requests that arrived during the last append share the next one.
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            self.send_replies();
            self.advance();
            self.send_replies();
        }
    }

    /// Returns how long to wait for the next event.
    fn receive_timeout(&self) -> Duration {
        match self.unavailable_until {
            Some(until) => clock::now().until(until).min(self.setup.options.linger),
            None if self.home.has_claims() => Duration::ZERO,
            None => self.setup.options.linger,
        }
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        self.last_event = now;
        match event {
            // While the store is unavailable, a request is refused at once: waiting
            // would only delay the caller's "not run" answer.
            Event::Request(from, request, until) if self.is_unavailable(now) => {
                self.home.request_offline(from, request, until, now);
            }
            Event::Request(from, request, until) => self.home.request(from, request, until, now),
            Event::CallEnded(id, key, ending) => self.home.end_call(id, key, ending, now),
            Event::HostLost(host) => self.home.host_lost(host),
        }
    }

    fn advance(&mut self) {
        let now = clock::now();
        self.home.expire(now);
        if self.is_unavailable(now) {
            return;
        }
        self.unavailable_until = None;
        let is_home = (self.setup.is_home)(self.setup.stream);
        if !is_home
            && now.since(self.last_event) >= self.setup.options.idle_timeout
            && !self.home.table().is_empty()
            && !self.home.has_work(false, now)
        {
            self.home = Home::new(self.setup.options.carry_after);
            return;
        }
        // Regular reads show the claims that other hosts appended as home of this stream.
        let stale = is_home && now.since(self.last_read) >= READ_INTERVAL;
        let unread = !self.home.is_ready() && (is_home || self.home.has_claims());
        if (stale || unread)
            && let Err(error) = self.catch_up()
        {
            self.fail_read(&error);
            return;
        }
        let urgent = self.home.has_claims();
        let due = now.since(self.last_append) >= self.setup.options.linger;
        if urgent || due && self.home.has_work(is_home, now) {
            self.append(is_home);
            self.count_keys();
        }
    }

    fn append(&mut self, is_home: bool) {
        let now = clock::now();
        if let Err(wait) = self.budget.take(now) {
            metrics::counter!("cardamomvale_claims_budget_waits_total").increment(1);
            std::thread::sleep(wait);
            return;
        }
        let Some(batch) = self.home.next_batch(is_home, now) else {
            return;
        };
        self.last_append = now;
        metrics::counter!("cardamomvale_claims_appends_total", "stream" => self.stream.clone())
            .increment(1);
        metrics::histogram!("cardamomvale_claims_batch_entries").record(batch.entries.len() as f64);
        let record: Bytes = encode_batch(&batch);
        match self.setup.client.append(&self.stream, &record) {
            // No other host has appended meanwhile, so the record need not be read back.
            Ok(offset) if offset == self.home.table().next() => {
                let now = clock::now();
                self.home.fold(offset, Some(&batch), now);
                self.home.complete_append(true, now);
                self.note_success();
            }
            Ok(offset) => self.resolve_append(Some(offset)),
            Err(AppendError::Refused(reason)) => {
                self.fail(&reason, true);
            }
            // The record may have been appended or may still be; reading the
            // stream shows whether it has been.
            Err(AppendError::Unanswered(reason)) => {
                log::warn!(
                    "E0452 claims-append-unanswered stream={} reason={reason:?}",
                    self.stream
                );
                self.resolve_append(None);
            }
        }
    }

    fn resolve_append(&mut self, offset: Option<u64>) {
        match self.catch_up() {
            Ok(()) => {
                let is_appended = offset.is_some_and(|o| o < self.home.table().next());
                self.home.complete_append(is_appended, clock::now());
            }
            Err(error) => self.fail_read(&error),
        }
    }

    /// Reads the stream to its end and applies its records.
    fn catch_up(&mut self) -> Result<(), CatchUpError> {
        loop {
            let from = self.home.table().next();
            let read = self
                .setup
                .client
                .read(&self.stream, from, None, Duration::ZERO);
            let page = read.map_err(|e| CatchUpError::Unreadable(e.0))?;
            if page.end < from {
                return Err(CatchUpError::Unreadable(format!(
                    "the stream ends at offset {}, but this host has already read up to {from}",
                    page.end
                )));
            }
            if page.first > from {
                // The store has trimmed records that this host has not read. The
                // keys in them that are still needed were appended again since.
                self.home.restart(page.first);
            }
            let now = clock::now();
            for (offset, record) in (page.from..).zip(&page.records) {
                let batch = self.decode(offset, record)?;
                self.home.fold(offset, batch.as_ref(), now);
            }
            if self.home.table().next() >= page.end {
                self.home.caught_up();
                self.last_read = now;
                self.note_success();
                return Ok(());
            }
        }
    }

    fn decode(&self, offset: u64, data: &Bytes) -> Result<Option<Batch>, CatchUpError> {
        match decode_batch(data) {
            Ok(batch) => Ok(Some(batch)),
            Err(ProtocolError::Version(version)) => Err(CatchUpError::NewerVersion(version)),
            Err(error) => {
                log::error!(
                    "E0453 claims-record-skipped stream={} offset={offset} reason={error:?}",
                    self.stream
                );
                Ok(None)
            }
        }
    }

    fn fail_read(&mut self, error: &CatchUpError) {
        let reason = match error {
            CatchUpError::Unreadable(reason) => reason.clone(),
            CatchUpError::NewerVersion(version) => {
                format!("a record is of version {version}: update this host")
            }
        };
        self.fail(&reason, false);
    }

    fn fail(&mut self, reason: &str, refused: bool) {
        metrics::counter!("cardamomvale_claims_log_failures_total", "stream" => self.stream.clone())
            .increment(1);
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!(
                "E0451 claims-log-unavailable stream={} reason={reason:?}",
                self.stream
            );
        }
        self.home.fail_append(refused);
        self.unavailable_until = Some(clock::now() + self.setup.options.failure_pause);
    }

    fn note_success(&mut self) {
        if std::mem::replace(&mut self.failing, false) {
            log::info!("E0454 claims-log-available stream={}", self.stream);
        }
    }

    fn is_unavailable(&self, now: Moment) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }

    fn count_keys(&self) {
        metrics::gauge!("cardamomvale_claims_keys", "stream" => self.stream.clone())
            .set(self.home.table().len() as f64);
    }

    fn send_replies(&mut self) {
        for reply in self.home.replies() {
            (self.setup.send_reply)(reply);
        }
    }
}

/// Interval at which an idle home reads its stream.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time without an answer after which a read is repeated on another connection.
///
/// While a read is unanswered, keyed calls of the stream can't be granted. A slow store takes
/// about this long, so a longer silence is more likely that of one connection.
const READ_HEDGE_DELAY: Duration = Duration::from_millis(250);
