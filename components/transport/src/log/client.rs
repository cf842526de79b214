//! A blocking client of the store, for commands, followers and claims.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use bytes::Bytes;
use derives::value;
use futures_util::future::{Either, select};
use platform::store::ReadAnswer;
use tokio::runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::store::{StoreClient, StoreError};

/// Default time-out for the answer to an append, or to a read in addition to its own wait.
///
/// The time-out is long, since an operator's command should wait for a slow store
/// rather than end with an unknown outcome.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an append returned no offset.
#[value]
#[derive(thiserror::Error)]
pub enum AppendError {
    /// The record was certainly not appended.
    #[error("the log did not take the record: {0}")]
    Refused(String),
    /// The record may have been appended, or may still be.
    #[error("the log did not say whether it took the record: {0}")]
    Unanswered(String),
}

/// Why a read failed.
#[value]
#[derive(thiserror::Error)]
#[error("the log can't be read: {0}")]
pub struct ReadError(pub String);

/// A request to the client's thread, with the channel for its answer.
enum Call {
    Append {
        topic: String,
        record: Bytes,
        timeout: Duration,
        answer: SyncSender<Result<u64, StoreError>>,
    },
    Read {
        topic: String,
        from: u64,
        max_kilobytes: Option<u32>,
        wait: Duration,
        timeout: Duration,
        hedge: Option<Duration>,
        answer: SyncSender<Result<ReadAnswer, StoreError>>,
    },
}

/// A blocking client of the store. Clones share its connections.
///
/// A thread of its own runs the asynchronous [`StoreClient`], so that callers
/// need no runtime. The thread ends with the last clone.
#[derive(Clone, Debug)]
pub struct BlockingStoreClient {
    calls: UnboundedSender<Call>,
    timeout: Duration,
    hedge: Option<Duration>,
}

impl BlockingStoreClient {
    /// Returns a client of the store at `address`, with `timeout` as the time-out for answers.
    ///
    /// # Panics
    ///
    /// Panics if the system can't start a thread.
    pub fn new(address: SocketAddr, timeout: Duration) -> BlockingStoreClient {
        let (sender, calls) = unbounded_channel();
        std::thread::Builder::new()
            .name("log-client".to_owned())
            .spawn(move || run(address, calls))
            .expect("a thread can be started");
        BlockingStoreClient {
            calls: sender,
            timeout,
            hedge: None,
        }
    }

    /// Returns a clone of this client with another time-out for answers.
    pub fn with_timeout(&self, timeout: Duration) -> BlockingStoreClient {
        let mut client = self.clone();
        client.timeout = timeout;
        client
    }

    /// Returns a clone of this client that repeats a read on a new connection if no answer has
    /// arrived `delay` after the read's own wait.
    ///
    /// A connection may go silent for good while new ones work. Reads change nothing, so the
    /// repeat is safe; appends are never repeated.
    pub fn with_hedge(&self, delay: Duration) -> BlockingStoreClient {
        let mut client = self.clone();
        client.hedge = Some(delay);
        client
    }

    /// Appends one record and returns its offset. Blocks.
    ///
    /// # Errors
    ///
    /// Returns whether the record was certainly not appended or may have been.
    pub fn append(&self, topic: &str, record: &Bytes) -> Result<u64, AppendError> {
        metrics::counter!("cardamomvale_log_appends_total", "stream" => topic.to_owned())
            .increment(1);
        let (answer, answered) = sync_channel(1);
        let call = Call::Append {
            topic: topic.to_owned(),
            record: record.clone(),
            timeout: self.timeout,
            answer,
        };
        self.calls
            .send(call)
            .map_err(|_| AppendError::Refused(CLIENT_STOPPED.to_owned()))?;
        match answered.recv() {
            Ok(Ok(offset)) => Ok(offset),
            Ok(Err(error)) if error.is_not_applied() => {
                Err(AppendError::Refused(error.to_string()))
            }
            Ok(Err(error)) => Err(AppendError::Unanswered(error.to_string())),
            Err(_) => Err(AppendError::Unanswered(CLIENT_STOPPED.to_owned())),
        }
    }

    /// Reads records from offset `from`, or from the oldest one if that offset is trimmed.
    ///
    /// If there is no record yet, waits up to `wait` for the first one;
    /// `max_kilobytes` limits the size of the answer. Blocks.
    ///
    /// # Errors
    ///
    /// Returns why the read failed; a read may always be repeated.
    pub fn read(
        &self,
        topic: &str,
        from: u64,
        max_kilobytes: Option<u32>,
        wait: Duration,
    ) -> Result<ReadAnswer, ReadError> {
        let (answer, answered) = sync_channel(1);
        let call = Call::Read {
            topic: topic.to_owned(),
            from,
            max_kilobytes,
            wait,
            timeout: self.timeout,
            hedge: self.hedge,
            answer,
        };
        self.calls
            .send(call)
            .map_err(|_| ReadError(CLIENT_STOPPED.to_owned()))?;
        match answered.recv() {
            Ok(result) => result.map_err(|e| ReadError(e.to_string())),
            Err(_) => Err(ReadError(CLIENT_STOPPED.to_owned())),
        }
    }
}

/// The error text after the client's thread has ended.
const CLIENT_STOPPED: &str = "the log's client has stopped";

/// The idle connections of one client.
type Idle = Rc<RefCell<Vec<StoreClient>>>;

fn run(address: SocketAddr, calls: UnboundedReceiver<Call>) {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return log_failure(&error),
    };
    LocalSet::new().block_on(&runtime, serve_calls(address, calls));
}

fn log_failure(error: &io::Error) {
    log::error!("E0318 log-client-failed error={error:?}");
}

async fn serve_calls(address: SocketAddr, mut calls: UnboundedReceiver<Call>) {
    let idle = Idle::default();
    while let Some(call) = calls.recv().await {
        let idle_store = idle.borrow_mut().pop();
        let store = idle_store.unwrap_or_else(|| StoreClient::new(address));
        spawn_local(run_call(call, store, Rc::clone(&idle)));
    }
}

async fn run_call(call: Call, mut store: StoreClient, idle: Idle) {
    let silent = match call {
        Call::Append {
            topic,
            record,
            timeout,
            answer,
        } => {
            store.set_timeout(timeout);
            let result = store.append(&topic, &record).await;
            let silent = is_silent(&result);
            // The caller blocks on this answer, so the receiver still exists.
            let _ = answer.send(result);
            silent
        }
        Call::Read {
            topic,
            from,
            max_kilobytes,
            wait,
            timeout,
            hedge,
            answer,
        } => {
            store.set_timeout(timeout);
            let read = Read {
                topic,
                from,
                max_kilobytes,
                wait,
            };
            let (result, silent) = match hedge {
                None => read.run(&mut store).await,
                Some(delay) => read.run_hedged(&mut store, delay, timeout).await,
            };
            let _ = answer.send(result);
            silent
        }
    };
    // Whatever made one connection go silent may have broken the idle ones as well.
    if silent {
        idle.borrow_mut().clear();
    }
    idle.borrow_mut().push(store);
}

/// A read of one topic.
struct Read {
    topic: String,
    from: u64,
    max_kilobytes: Option<u32>,
    wait: Duration,
}

impl Read {
    /// Reads; also returns whether the connection was silent.
    async fn run(&self, store: &mut StoreClient) -> (Result<ReadAnswer, StoreError>, bool) {
        let kilobytes = self.max_kilobytes;
        let mut result = store
            .read(&self.topic, self.from, self.wait, kilobytes)
            .await;
        if let Err(StoreError::Forgotten(Some(first))) = result {
            result = store.read(&self.topic, first, self.wait, kilobytes).await;
        }
        let silent = is_silent(&result);
        (result, silent)
    }

    /// Reads on `store`, and after `delay` without an answer also on a new connection. The first
    /// answer counts, and the new connection is kept only if it was the one that answered.
    async fn run_hedged(
        &self,
        store: &mut StoreClient,
        delay: Duration,
        timeout: Duration,
    ) -> (Result<ReadAnswer, StoreError>, bool) {
        let mut other = StoreClient::new(store.address());
        other.set_timeout(timeout);
        let hedge = async {
            sleep(self.wait + delay).await;
            log::debug!("E0320 log-read-hedged topic={}", self.topic);
            self.run(&mut other).await
        };
        let answered = {
            let first = pin!(self.run(store));
            let second = pin!(hedge);
            match select(first, second).await {
                Either::Left((answer, _)) => return answer,
                Either::Right(((Err(_), _), first)) => return first.await,
                Either::Right(((Ok(page), _), _)) => page,
            }
        };
        *store = other;
        (Ok(answered), true)
    }
}

fn is_silent<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::Silent { .. }))
}
