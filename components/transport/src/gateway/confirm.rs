//! Finds out whether a rejection that names no request belongs to the one it came for.
//!
//! On a connection that has carried health checks or rejections before, it may be the answer
//! to one of those, displaced by a second copy of an earlier answer. Then the request runs, and
//! sending it again would run it twice. A further health check on the same connection tells:
//! endpoints answer in order, so its answer comes next only if the request has had its own.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::http::response::Parts as AnswerParts;
use platform::headers::Attribution;
use state::EndpointKey;
use state::fleet::AnswerKind;
use tokio::time::{sleep, timeout};

use super::attempt::Attempt;
use super::request_log;
use crate::upstream::{Connection, RequestBody};

/// Time limit for finding out what a rejection belongs to.
///
/// The request is sent to no other endpoint meanwhile.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(120);

/// The pauses before health checks; a full endpoint rejects them too, which proves nothing.
const CONFIRM_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(10),
    Duration::from_millis(30),
];

/// What a rejection without an identifier belongs to.
pub(super) enum Confirmation {
    /// The request: it didn't run. The connection, if it is returned, may be used again.
    Rejected(Option<Connection>),
    /// An earlier exchange: this is the request's own answer. The connection must not be used
    /// again, since the answer to the health check is still to come.
    Displaced(Connection, Box<AnswerParts>, Incoming),
    /// It can't be told, and the request may run.
    Unknown,
}

impl Attempt<'_> {
    /// Returns whether an anonymous rejection can only belong to the request it came for.
    pub(super) fn proves_rejection(&self, connection: &Connection, answer: &AnswerParts) -> bool {
        connection.history.proves_rejection()
            || platform::headers::ends_connection(&answer.headers)
            || self.is_misdirected(connection.endpoint, answer)
    }

    /// Returns whether the answer names another instance than the one the request is for, which
    /// is the only one that runs it.
    fn is_misdirected(&self, key: EndpointKey, answer: &AnswerParts) -> bool {
        let registry = self.gateway.registry.borrow();
        let expected = registry.get(key).map(|s| s.endpoint.instance.as_str());
        let named = platform::headers::instance_id(&answer.headers);
        named.is_some() && named != expected
    }

    /// Finds out what an anonymous rejection belongs to, after its body was read completely.
    pub(super) async fn confirm_rejection(&self, connection: Connection) -> Confirmation {
        let found = timeout(CONFIRM_TIMEOUT, self.check_order(connection)).await;
        let found = found.unwrap_or(Confirmation::Unknown);
        let name = match found {
            Confirmation::Rejected(_) => "rejected",
            Confirmation::Displaced(..) => "displaced",
            Confirmation::Unknown => "unknown",
        };
        let id = request_log::id(&self.parts.headers);
        log::debug!("E0167 rejection-checked id={id} found={name}");
        found
    }

    async fn check_order(&self, mut connection: Connection) -> Confirmation {
        for (earlier, pause) in CONFIRM_PAUSES.into_iter().enumerate() {
            sleep(pause).await;
            // A request whose body is still being sent keeps the connection busy.
            if !connection.is_usable() {
                return Confirmation::Unknown;
            }
            self.gateway.spend_probe();
            let Some((parts, incoming)) = self.gateway.send_probe(&mut connection).await else {
                return Confirmation::Unknown;
            };
            let request = &self.parts.headers;
            if platform::headers::attribution(request, parts.status, &parts.headers)
                == Attribution::Own
            {
                return Confirmation::Displaced(connection, Box::new(parts), incoming);
            }
            let read = self.gateway.read_probe(&mut connection, &parts, incoming);
            match read.await {
                Some(AnswerKind::Health) => {
                    // Behind another rejection, an answer may still be to come.
                    return Confirmation::Rejected((earlier == 0).then_some(connection));
                }
                Some(AnswerKind::Anonymous) => {}
                Some(AnswerKind::Identified) | None => return Confirmation::Unknown,
            }
        }
        Confirmation::Unknown
    }

    /// Returns a connection on which an early rejection of a request with this body proves that
    /// it didn't run: the given one or a new one. Returns `None` if the endpoint doesn't answer.
    ///
    /// No health check can follow on a connection while a long body is being sent.
    pub(super) async fn connection_for(
        &self,
        body: &RequestBody,
        connection: Connection,
    ) -> Option<Connection> {
        match body {
            RequestBody::Streamed(..) if !connection.history.proves_rejection() => {
                let key = connection.endpoint;
                self.gateway.keep_connection(connection, &HeaderMap::new());
                let (fresh, _) = self.gateway.probe_anew(key).await?;
                Some(fresh)
            }
            RequestBody::Streamed(..) | RequestBody::Buffered(_) => Some(connection),
        }
    }
}
