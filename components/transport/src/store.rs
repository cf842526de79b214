//! The HTTP client for the platform's store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use platform::store::{GroupMembership, NewestPage, ReadAnswer, StoreFormatError};
use state::EndpointKey;
use thiserror::Error;
use tokio::time::{Instant, timeout};

use crate::upstream::connection::RequestError;
use crate::upstream::{ConnectError, Connection, RequestBody};

/// Time limit for the head of an answer, and for each further chunk of its body.
///
/// A long poll adds its own waiting time. An answer usually takes 4 ms, and 60
/// times as long when the store is slow. A connection that stays silent for
/// longer is closed.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time limit for the whole body of an answer, even while bytes keep arriving.
///
/// One megabyte takes 1 s on a link of 10 Mbit/s, and 4 s when others share the link.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body of an answer, in bytes; a page has at most one megabyte.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The reason why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection broke.
    #[error(transparent)]
    Wire(#[from] RequestError),
    /// The connection broke before the answer was complete.
    #[error("the store's answer was cut off: {0}")]
    Cut(hyper::Error),
    /// No complete answer arrived in time.
    #[error("the store sent {received} bytes and no complete answer within {} ms", waited.as_millis())]
    Silent {
        /// The time limit that passed without a further byte.
        waited: Duration,
        /// Bytes of the body received before.
        received: usize,
    },
    /// The answer's body exceeds the size limit.
    #[error("the store's answer is larger than {MAX_ANSWER_BYTES} bytes")]
    TooLarge,
    /// The store has trimmed the requested records; holds its oldest offset, if reported.
    #[error("the store has trimmed the requested records; its oldest offset is {0:?}")]
    Forgotten(Option<u64>),
    /// The topic doesn't end at the offset that the append required; nothing was appended.
    #[error("the topic was appended to in the meantime")]
    Conflict,
    /// The store answered with a status other than 200 or 410.
    #[error("the store answered with status {}", .0.as_u16())]
    Refused(StatusCode),
    /// The answer can't be parsed.
    #[error(transparent)]
    Format(#[from] StoreFormatError),
}

impl StoreError {
    /// Returns whether the call certainly had no effect and never will.
    ///
    /// Only statuses that the store itself sends count: 504 and similar ones may
    /// come from a proxy in between, after the call took effect.
    pub fn is_not_applied(&self) -> bool {
        match self {
            StoreError::Connect(_) | StoreError::Wire(RequestError::Unsent) => true,
            StoreError::Refused(status) => {
                status.is_client_error()
                    || matches!(
                        *status,
                        StatusCode::SERVICE_UNAVAILABLE | StatusCode::INSUFFICIENT_STORAGE
                    )
            }
            StoreError::Forgotten(_) | StoreError::Conflict => true,
            StoreError::Wire(RequestError::Sent(_) | RequestError::Invalid(_))
            | StoreError::Cut(_)
            | StoreError::Silent { .. }
            | StoreError::TooLarge
            | StoreError::Format(_) => false,
        }
    }
}

/// A client of the store that keeps one connection open.
///
/// Each task has its own client, so that a waiting read doesn't delay another
/// task and a stalled connection affects only one.
pub struct StoreClient {
    address: SocketAddr,
    answer_timeout: Duration,
    connection: Option<Connection>,
}

impl StoreClient {
    /// Returns a client for the store at `address`; connects on the first call.
    pub fn new(address: SocketAddr) -> StoreClient {
        StoreClient {
            address,
            answer_timeout: ANSWER_TIMEOUT,
            connection: None,
        }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the time limit for the head of an answer and each chunk of its body.
    pub fn set_timeout(&mut self, limit: Duration) {
        self.answer_timeout = limit;
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns why the call failed; [`StoreError::is_not_applied`] tells whether the
    /// record may have been appended nevertheless.
    pub async fn append(&mut self, topic: &str, record: &Bytes) -> Result<u64, StoreError> {
        self.append_if(topic, None, record).await
    }

    /// Appends one record if the topic ends at offset `at`, and returns the record's offset.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the topic ends elsewhere. After an error for which
    /// [`StoreError::is_not_applied`] is false, the record may still be appended as long as
    /// the topic ends at `at`.
    pub async fn append_at(
        &mut self,
        topic: &str,
        at: u64,
        record: &Bytes,
    ) -> Result<u64, StoreError> {
        self.append_if(topic, Some(at), record).await
    }

    async fn append_if(
        &mut self,
        topic: &str,
        at: Option<u64>,
        record: &Bytes,
    ) -> Result<u64, StoreError> {
        let path = platform::store::append_path(topic, at);
        let body = platform::store::frame([record]);
        let answer = self
            .call(Method::POST, &path, body, self.answer_timeout)
            .await?;
        Ok(platform::store::parse_append(&answer)?)
    }

    /// Returns a page with the newest record of each key of a topic.
    ///
    /// `after` is the key with which the previous page ended, `None` for the first page.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    pub async fn newest(
        &mut self,
        topic: &str,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        let path = platform::store::newest_path(topic, after);
        let body = self
            .call(Method::GET, &path, Bytes::new(), self.answer_timeout)
            .await?;
        Ok(platform::store::parse_newest(&body)?)
    }

    /// Reads a topic from an offset, and waits up to `wait` for a record.
    ///
    /// `kilobytes` limits the size of the answer; with `None` the store's own
    /// limit applies.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    pub async fn read(
        &mut self,
        topic: &str,
        from: u64,
        wait: Duration,
        kilobytes: Option<u32>,
    ) -> Result<ReadAnswer, StoreError> {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let path = platform::store::read_path(topic, from, millis, kilobytes);
        let limit = wait + self.answer_timeout;
        let body = self.call(Method::GET, &path, Bytes::new(), limit).await?;
        Ok(platform::store::parse_read(body, from)?)
    }

    /// Joins a group, or renews the membership in it.
    ///
    /// # Errors
    ///
    /// Returns why the call failed; the join may have taken effect nevertheless.
    pub async fn join(&mut self, body: Vec<u8>) -> Result<GroupMembership, StoreError> {
        let path = platform::store::JOIN_PATH;
        let answer = self
            .call(Method::POST, path, Bytes::from(body), self.answer_timeout)
            .await?;
        Ok(platform::store::parse_join(&answer)?)
    }

    /// Returns the members of a group that hold at least one partition.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    pub async fn owners(&mut self, group: &str) -> Result<BTreeSet<String>, StoreError> {
        let path = platform::store::owners_path(group);
        let body = self
            .call(Method::GET, &path, Bytes::new(), self.answer_timeout)
            .await?;
        Ok(platform::store::parse_owners(&body)?)
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, StoreError> {
        let begun = timeout(limit, self.send_request(method, path, body));
        let (mut connection, answer) = begun.await.map_err(|_| StoreError::Silent {
            waited: limit,
            received: 0,
        })??;
        let status = answer.status();
        let body = self.read_body(&mut connection, answer.into_body()).await?;
        self.connection = Some(connection);
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => {
                // Status 410 alone means that the records are trimmed; the body is optional.
                let first = platform::store::parse_trimmed(&body)
                    .inspect_err(|e| log::warn!("E0319 log-answer-unclear error={e:?}"));
                Err(StoreError::Forgotten(first.ok()))
            }
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Sends a request and waits for the head of the answer.
    async fn send_request(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Connection, Response<Incoming>), StoreError> {
        let kept = self
            .connection
            .take()
            .and_then(|mut c| c.is_usable().then_some(c));
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(EndpointKey(0), self.address).await?,
        };
        let request = self.request(method, path, body);
        let answer = connection.send(request).await?;
        Ok((connection, answer))
    }

    /// Reads the body of an answer for as long as bytes keep arriving.
    ///
    /// A single time limit for the whole answer would make hosts that share
    /// the store's bandwidth all abort a nearly complete read at the same time
    /// and then restart together.
    async fn read_body(
        &self,
        connection: &mut Connection,
        mut incoming: Incoming,
    ) -> Result<Bytes, StoreError> {
        let mut read = BytesMut::new();
        let last = Instant::now() + BODY_TIMEOUT;
        loop {
            let waited = self.answer_timeout.min(last.duration_since(Instant::now()));
            let chunk = match timeout(waited, connection.next_chunk(&mut incoming)).await {
                Ok(Some(chunk)) => chunk.map_err(StoreError::Cut)?,
                Ok(None) => return Ok(read.freeze()),
                Err(_) => {
                    return Err(StoreError::Silent {
                        waited,
                        received: read.len(),
                    });
                }
            };
            read.extend_from_slice(&chunk);
            if read.len() > MAX_ANSWER_BYTES {
                return Err(StoreError::TooLarge);
            }
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::Buffered(body));
        *request.method_mut() = method;
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let fields = request.headers_mut();
        if let Ok(host) = HeaderValue::try_from(self.address.to_string()) {
            fields.insert(HOST, host);
        }
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request
    }
}
