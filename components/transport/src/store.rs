//! The one client of the platform's store.

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

use crate::upstream::connection::WireError;
use crate::upstream::{ConnectError, Connection, RequestBody};

/// How long the store may keep silent where it waits for nothing.
///
/// An answer takes 4 ms usually and 60 times as long when the store is slow. A
/// connection that fell silent is given up after this.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);

/// How long the body of an answer may take at most, though bytes keep coming.
///
/// A megabyte takes a link of 10 Mbit/s a second, and four where others use it too.
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// The largest answer taken; a page has at most one megabyte.
const SIZE_LIMIT: usize = 8 * 1024 * 1024;

/// Why a call of the store brought nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No connection could be had.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection broke.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The answer broke off.
    #[error("the store's answer broke off: {0}")]
    Cut(hyper::Error),
    /// No whole answer came in time.
    #[error("the store gave {received} bytes and no whole answer in {} ms", waited.as_millis())]
    Silent {
        /// How long the answer was waited for.
        waited: Duration,
        /// Bytes of its body that came meanwhile.
        received: usize,
    },
    /// The answer is larger than any may be.
    #[error("the store's answer is larger than {SIZE_LIMIT} bytes")]
    TooLarge,
    /// The records asked for are no longer there; the oldest one that is, where told.
    #[error("the store has forgotten the records asked for, and goes on at {0:?}")]
    Forgotten(Option<u64>),
    /// The store refused.
    #[error("the store answered with status {}", .0.as_u16())]
    Refused(StatusCode),
    /// The answer can't be understood.
    #[error(transparent)]
    Format(#[from] StoreFormatError),
}

impl StoreError {
    /// Returns whether the call surely was not carried out, and never will be.
    ///
    /// Only the store's own words count: 504 and the like may come from
    /// something in between, after the effect.
    pub fn is_not_applied(&self) -> bool {
        match self {
            StoreError::Connect(_) | StoreError::Wire(WireError::Unsent) => true,
            StoreError::Refused(status) => {
                status.is_client_error()
                    || matches!(
                        *status,
                        StatusCode::SERVICE_UNAVAILABLE | StatusCode::INSUFFICIENT_STORAGE
                    )
            }
            StoreError::Forgotten(_) => true,
            StoreError::Wire(WireError::Sent(_))
            | StoreError::Cut(_)
            | StoreError::Silent { .. }
            | StoreError::TooLarge
            | StoreError::Format(_) => false,
        }
    }
}

/// A client that keeps one connection.
///
/// Each of the host's loops has its own: a read that waits must not hold up
/// another, and a connection that fell silent must not take all of them along.
pub struct StoreClient {
    address: SocketAddr,
    answer_limit: Duration,
    connection: Option<Connection>,
}

impl StoreClient {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr) -> StoreClient {
        StoreClient {
            address,
            answer_limit: ANSWER_LIMIT,
            connection: None,
        }
    }

    /// Sets how long the store may keep silent where it waits for nothing.
    pub fn set_timeout(&mut self, limit: Duration) {
        self.answer_limit = limit;
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Says why the call brought nothing; [`StoreError::is_not_applied`] tells
    /// whether the record may stand there all the same.
    pub async fn append(&mut self, topic: &str, record: &Bytes) -> Result<u64, StoreError> {
        let path = platform::store::append_path(topic);
        let body = platform::store::frame([record]);
        let answer = self
            .call(Method::POST, &path, body, self.answer_limit)
            .await?;
        Ok(platform::store::parse_append(&answer)?)
    }

    /// Returns a page of the newest records of a topic.
    ///
    /// # Errors
    ///
    /// Says why the call brought nothing.
    pub async fn newest(
        &mut self,
        topic: &str,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        let path = platform::store::newest_path(topic, after);
        let body = self
            .call(Method::GET, &path, Bytes::new(), self.answer_limit)
            .await?;
        Ok(platform::store::parse_newest(&body)?)
    }

    /// Reads a topic from an offset, and waits up to `wait` for a record.
    ///
    /// `kilobytes` bounds the answer, none for as much as the store gives at once.
    ///
    /// # Errors
    ///
    /// Says why the call brought nothing.
    pub async fn read(
        &mut self,
        topic: &str,
        from: u64,
        wait: Duration,
        kilobytes: Option<u32>,
    ) -> Result<ReadAnswer, StoreError> {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let path = platform::store::read_path(topic, from, millis, kilobytes);
        let limit = wait + self.answer_limit;
        let body = self.call(Method::GET, &path, Bytes::new(), limit).await?;
        Ok(platform::store::parse_read(body, from)?)
    }

    /// Joins a group, or stays in it.
    ///
    /// # Errors
    ///
    /// Says why the call brought nothing; it may have been carried out.
    pub async fn join(&mut self, body: Vec<u8>) -> Result<GroupMembership, StoreError> {
        let path = platform::store::JOIN_PATH;
        let answer = self
            .call(Method::POST, path, Bytes::from(body), self.answer_limit)
            .await?;
        Ok(platform::store::parse_join(&answer)?)
    }

    /// Returns the members of a group that hold a partition.
    ///
    /// # Errors
    ///
    /// Says why the call brought nothing.
    pub async fn owners(&mut self, group: &str) -> Result<BTreeSet<String>, StoreError> {
        let path = platform::store::owners_path(group);
        let body = self
            .call(Method::GET, &path, Bytes::new(), self.answer_limit)
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
        let begun = timeout(limit, self.begin(method, path, body));
        let (mut connection, answer) = begun.await.map_err(|_| StoreError::Silent {
            waited: limit,
            received: 0,
        })??;
        let status = answer.status();
        let body = self.rest(&mut connection, answer.into_body()).await?;
        self.connection = Some(connection);
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => {
                // Forgotten all the same where the rest of the answer makes no sense.
                let first = platform::store::parse_trimmed(&body)
                    .inspect_err(|e| log::warn!("E0319 log-answer-unclear error={e:?}"));
                Err(StoreError::Forgotten(first.ok()))
            }
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Sends a request, and waits for the head of its answer.
    async fn begin(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Connection, Response<Incoming>), StoreError> {
        let kept = self
            .connection
            .take()
            .and_then(|mut c| c.usable().then_some(c));
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(EndpointKey(0), self.address).await?,
        };
        let request = self.request(method, path, body);
        let answer = connection.send(request).await?;
        Ok((connection, answer))
    }

    /// Reads an answer's body for as long as bytes keep coming.
    ///
    /// Were the whole answer timed, hosts that share what the store gives would
    /// all give up together a read that is nearly done, and begin anew together.
    async fn rest(
        &self,
        connection: &mut Connection,
        mut incoming: Incoming,
    ) -> Result<Bytes, StoreError> {
        let mut read = BytesMut::new();
        let last = Instant::now() + BODY_LIMIT;
        loop {
            let waited = self.answer_limit.min(last.duration_since(Instant::now()));
            let piece = match timeout(waited, connection.next_piece(&mut incoming)).await {
                Ok(Some(piece)) => piece.map_err(StoreError::Cut)?,
                Ok(None) => return Ok(read.freeze()),
                Err(_) => {
                    return Err(StoreError::Silent {
                        waited,
                        received: read.len(),
                    });
                }
            };
            read.extend_from_slice(&piece);
            if read.len() > SIZE_LIMIT {
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
