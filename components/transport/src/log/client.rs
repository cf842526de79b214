//! The store's client for threads that may block: commands, followers, claims.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use bytes::Bytes;
use derives::value;
use platform::store::ReadAnswer;
use tokio::runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};

use crate::store::{StoreClient, StoreError};

/// How long an append's answer, or a read's beyond its own wait, may take by default.
///
/// An operator's command rather waits for a slow store than ends as "unknown".
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an append got no offset.
#[value]
#[derive(thiserror::Error)]
pub enum AppendError {
    /// The record surely does not stand on the log.
    #[error("the log did not take the record: {0}")]
    Refused(String),
    /// The record may stand on the log, or may yet come to stand there.
    #[error("the log did not say whether it took the record: {0}")]
    Unanswered(String),
}

/// Why a read got no records.
#[value]
#[derive(thiserror::Error)]
#[error("the log can't be read: {0}")]
pub struct ReadError(pub String);

/// One call, and where its answer goes.
enum Call {
    Append {
        topic: String,
        record: Bytes,
        limit: Duration,
        answer: SyncSender<Result<u64, StoreError>>,
    },
    Read {
        topic: String,
        from: u64,
        max_kilobytes: Option<u32>,
        wait: Duration,
        limit: Duration,
        answer: SyncSender<Result<ReadAnswer, StoreError>>,
    },
}

/// A client of the log for threads that may block. Clones share its connections.
///
/// A thread of its own runs [`StoreClient`], the one client of the store, so that it
/// needs no runtime where it is used. The thread ends with the last clone.
#[derive(Clone, Debug)]
pub struct BlockingStoreClient {
    calls: UnboundedSender<Call>,
    limit: Duration,
}

impl BlockingStoreClient {
    /// Returns a client of the log at `address`; `limit` bounds how long an answer takes.
    ///
    /// # Panics
    ///
    /// Panics where the system gives no thread.
    pub fn new(address: SocketAddr, limit: Duration) -> BlockingStoreClient {
        let (sender, calls) = unbounded_channel();
        std::thread::Builder::new()
            .name("log-client".to_owned())
            .spawn(move || run(address, calls))
            .expect("a thread can be started");
        BlockingStoreClient {
            calls: sender,
            limit,
        }
    }

    /// Returns the same client with another time-out for answers.
    pub fn waiting(&self, limit: Duration) -> BlockingStoreClient {
        let mut client = self.clone();
        client.limit = limit;
        client
    }

    /// Appends one record and returns its offset. Blocks.
    ///
    /// # Errors
    ///
    /// Keeps what surely did not land apart from what may have.
    pub fn append(&self, topic: &str, record: &Bytes) -> Result<u64, AppendError> {
        metrics::counter!("cardamomvale_log_appends_total", "stream" => topic.to_owned())
            .increment(1);
        let (answer, answered) = sync_channel(1);
        let call = Call::Append {
            topic: topic.to_owned(),
            record: record.clone(),
            limit: self.limit,
            answer,
        };
        self.calls
            .send(call)
            .map_err(|_| AppendError::Refused(GONE.to_owned()))?;
        match answered.recv() {
            Ok(Ok(offset)) => Ok(offset),
            Ok(Err(error)) if error.is_not_applied() => {
                Err(AppendError::Refused(error.to_string()))
            }
            Ok(Err(error)) => Err(AppendError::Unanswered(error.to_string())),
            Err(_) => Err(AppendError::Unanswered(GONE.to_owned())),
        }
    }

    /// Reads records from offset `from`, or from the oldest where that one is gone.
    ///
    /// Waits up to `wait` for the first where there is none yet; `max_kilobytes`
    /// bounds the answer. Blocks.
    ///
    /// # Errors
    ///
    /// Says why there are no records; reading again does no harm.
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
            limit: self.limit,
            answer,
        };
        self.calls
            .send(call)
            .map_err(|_| ReadError(GONE.to_owned()))?;
        match answered.recv() {
            Ok(result) => result.map_err(|e| ReadError(e.to_string())),
            Err(_) => Err(ReadError(GONE.to_owned())),
        }
    }
}

/// What is said where the client's thread has ended.
const GONE: &str = "the log's client has stopped";

/// Connections of one client that lie idle.
type Idle = Rc<RefCell<Vec<StoreClient>>>;

fn run(address: SocketAddr, calls: UnboundedReceiver<Call>) {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report(&error),
    };
    LocalSet::new().block_on(&runtime, take_calls(address, calls));
}

fn report(error: &io::Error) {
    log::error!("E0318 log-client-failed error={error:?}");
}

async fn take_calls(address: SocketAddr, mut calls: UnboundedReceiver<Call>) {
    let idle = Idle::default();
    while let Some(call) = calls.recv().await {
        let kept = idle.borrow_mut().pop();
        let store = kept.unwrap_or_else(|| StoreClient::new(address));
        spawn_local(carry_out(call, store, Rc::clone(&idle)));
    }
}

async fn carry_out(call: Call, mut store: StoreClient, idle: Idle) {
    let silent = match call {
        Call::Append {
            topic,
            record,
            limit,
            answer,
        } => {
            store.set_timeout(limit);
            let result = store.append(&topic, &record).await;
            let silent = is_silent(&result);
            // The caller waits for this answer, so it is there.
            let _ = answer.send(result);
            silent
        }
        Call::Read {
            topic,
            from,
            max_kilobytes,
            wait,
            limit,
            answer,
        } => {
            store.set_timeout(limit);
            let mut result = store.read(&topic, from, wait, max_kilobytes).await;
            if let Err(StoreError::Forgotten(Some(first))) = result {
                result = store.read(&topic, first, wait, max_kilobytes).await;
            }
            let silent = is_silent(&result);
            let _ = answer.send(result);
            silent
        }
    };
    // What took one connection away without a word may have taken them all.
    if silent {
        idle.borrow_mut().clear();
    }
    idle.borrow_mut().push(store);
}

fn is_silent<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::Silent { .. }))
}
