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
    pub rate: f64,
    /// Largest number of appends at once: the token bucket's capacity.
    pub burst: f64,
    /// Age after which a key's record is appended again, before the store may trim it.
    pub carry_after: Duration,
    /// How long ended calls wait for new claims to share an append with.
    pub linger: Duration,
    /// The pause after the store failed, during which keyed calls are refused at once.
    pub pause: Duration,
    /// How long a home that is not needed keeps the state read from its stream.
    pub idle: Duration,
}

impl Default for WorkerOptions {
    fn default() -> WorkerOptions {
        WorkerOptions {
            // 8 streams with 30 appends a second each leave enough of the several
            // hundred that the store takes to the `config` stream.
            rate: 30.0,
            burst: 10.0,
            carry_after: CARRY_AFTER,
            linger: Duration::from_millis(500),
            pause: Duration::from_millis(500),
            idle: Duration::from_secs(60),
        }
    }
}

/// An input to a worker.
pub enum Order {
    /// A host requests a key and waits for the answer until this moment.
    Ask(HostKey, KeyRequest, Moment),
    /// A call with a granted claim has ended.
    End(ClaimId, ClaimKey, Ending),
    /// An entry host is no longer alive.
    Lost(HostKey),
}

/// Takes the answers of a worker.
pub type Answers = Arc<dyn Fn(Reply) + Send + Sync>;

/// Runs the home of one stream on a thread of its own, since the store's client blocks.
pub struct Worker {
    orders: Mutex<Sender<Order>>,
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
    pub answers: Answers,
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
        let (orders, receiver) = channel();
        let name = format!("claims-{}", setup.stream);
        std::thread::Builder::new()
            .name(name)
            .spawn(move || Run::new(setup).run(&receiver))
            .expect("a thread can be started");
        Worker {
            orders: Mutex::new(orders),
        }
    }

    /// Sends an order to the thread without waiting.
    pub fn order(&self, order: Order) {
        let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = orders.send(order);
    }
}

/// Why the stream could not be read to its end.
#[value]
enum Trouble {
    /// The store can't be read now.
    Unread(String),
    /// The stream holds a record of a newer format version, which this release can't decode.
    Newer(u32),
}

struct Run {
    setup: WorkerSetup,
    stream: String,
    home: Home,
    budget: AppendBudget,
    used: Moment,
    written: Moment,
    read: Moment,
    /// Whether the last access to the store failed.
    failing: bool,
    /// Until when the store counts as unavailable.
    out_until: Option<Moment>,
}

impl Run {
    fn new(setup: WorkerSetup) -> Run {
        let now = clock::now();
        Run {
            stream: format!("claims-{}", setup.stream),
            home: Home::new(setup.options.carry_after),
            budget: AppendBudget::new(setup.options.rate, setup.options.burst, now),
            used: now,
            written: now,
            read: now,
            failing: false,
            out_until: None,
            setup,
        }
    }

    fn run(mut self, orders: &Receiver<Order>) {
        loop {
            match orders.recv_timeout(self.patience()) {
                Ok(order) => self.take(order),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // All orders that arrived during the last append share the next one.
            while let Ok(order) = orders.try_recv() {
                self.take(order);
            }
            self.answer();
            self.work();
            self.answer();
        }
    }

    /// Returns how long to wait for the next order.
    fn patience(&self) -> Duration {
        match self.out_until {
            Some(until) => clock::now().until(until).min(self.setup.options.linger),
            None if self.home.has_claims() => Duration::ZERO,
            None => self.setup.options.linger,
        }
    }

    fn take(&mut self, order: Order) {
        let now = clock::now();
        self.used = now;
        match order {
            // While the store is unavailable, a request is refused at once: waiting
            // would only delay the caller's "not run" answer.
            Order::Ask(from, ask, until) if self.is_out(now) => {
                self.home.request_offline(from, ask, until, now);
            }
            Order::Ask(from, ask, until) => self.home.request(from, ask, until, now),
            Order::End(id, key, ending) => self.home.end_call(id, key, ending, now),
            Order::Lost(host) => self.home.host_lost(host),
        }
    }

    fn work(&mut self) {
        let now = clock::now();
        self.home.expire(now);
        if self.is_out(now) {
            return;
        }
        self.out_until = None;
        let is_home = (self.setup.is_home)(self.setup.stream);
        if !is_home
            && now.since(self.used) >= self.setup.options.idle
            && !self.home.table().is_empty()
            && !self.home.has_work(false, now)
        {
            self.home = Home::new(self.setup.options.carry_after);
            return;
        }
        // Regular reads show the claims that other hosts appended as home of this stream.
        let stale = is_home && now.since(self.read) >= READ_EVERY;
        let unread = !self.home.is_ready() && (is_home || self.home.has_claims());
        if (stale || unread)
            && let Err(trouble) = self.catch_up()
        {
            self.give_up(&trouble);
            return;
        }
        let urgent = self.home.has_claims();
        let due = now.since(self.written) >= self.setup.options.linger;
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
        self.written = now;
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
            Ok(offset) => self.settle(Some(offset)),
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
                self.settle(None);
            }
        }
    }

    fn settle(&mut self, offset: Option<u64>) {
        match self.catch_up() {
            Ok(()) => {
                let landed = offset.is_some_and(|o| o < self.home.table().next());
                self.home.complete_append(landed, clock::now());
            }
            Err(trouble) => self.give_up(&trouble),
        }
    }

    /// Reads the stream to its end and applies its records.
    fn catch_up(&mut self) -> Result<(), Trouble> {
        loop {
            let from = self.home.table().next();
            let read = self
                .setup
                .client
                .read(&self.stream, from, None, Duration::ZERO);
            let page = read.map_err(|e| Trouble::Unread(e.0))?;
            if page.end < from {
                return Err(Trouble::Unread(format!(
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
                let batch = self.read(offset, record)?;
                self.home.fold(offset, batch.as_ref(), now);
            }
            if self.home.table().next() >= page.end {
                self.home.caught_up();
                self.read = now;
                self.note_success();
                return Ok(());
            }
        }
    }

    fn read(&self, offset: u64, data: &Bytes) -> Result<Option<Batch>, Trouble> {
        match decode_batch(data) {
            Ok(batch) => Ok(Some(batch)),
            Err(ProtocolError::Version(version)) => Err(Trouble::Newer(version)),
            Err(error) => {
                log::error!(
                    "E0453 claims-record-skipped stream={} offset={offset} reason={error:?}",
                    self.stream
                );
                Ok(None)
            }
        }
    }

    fn give_up(&mut self, trouble: &Trouble) {
        let reason = match trouble {
            Trouble::Unread(reason) => reason.clone(),
            Trouble::Newer(version) => {
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
                "E0451 claims-log-out stream={} reason={reason:?}",
                self.stream
            );
        }
        self.home.fail_append(refused);
        self.out_until = Some(clock::now() + self.setup.options.pause);
    }

    fn note_success(&mut self) {
        if std::mem::replace(&mut self.failing, false) {
            log::info!("E0454 claims-log-back stream={}", self.stream);
        }
    }

    fn is_out(&self, now: Moment) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    fn count_keys(&self) {
        metrics::gauge!("cardamomvale_claims_keys", "stream" => self.stream.clone())
            .set(self.home.table().len() as f64);
    }

    fn answer(&mut self) {
        for reply in self.home.replies() {
            (self.setup.answers)(reply);
        }
    }
}

/// Interval at which an idle home reads its stream.
const READ_EVERY: Duration = Duration::from_secs(5);
