//! Why a call gets no answer from a backend server, and the answer that it gets instead.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use thiserror::Error;

use super::answer::AnswerBody;
use super::body::BodyError;
use super::outcome::{OUTCOME_HEADER, Outcome};
use crate::dispatch::Refusal;

/// The `Retry-After` of a 503 answer whose fault has no time of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a call was not answered by a backend server.
///
/// The `Display` text is the one line that the answer's body consists of: what is
/// wrong, and what the caller can change.
#[derive(Debug, Error)]
pub enum Fault {
    /// The bytes received are no HTTP/1.1 request.
    #[error("this is not a valid HTTP/1.1 request: {0}")]
    NotHttp(String),
    /// The head of the request exceeds the limit in bytes, or has too many fields.
    #[error("the head of the request is too large")]
    HeadTooLarge,
    /// The head of the request was not received in time.
    #[error("the head of the request did not arrive in time")]
    HeadTooSlow,
    /// The request target is not of the form `/SERVICE/PATH`.
    #[error("the path must be /SERVICE/PATH")]
    BadTarget,
    /// The method can't be forwarded.
    #[error("the method {0} is not served")]
    BadMethod(String),
    /// The preset in force has no service of this name.
    #[error("no service is named {0:?}")]
    UnknownService(String),
    /// No preset is in force yet, so that no service is known.
    #[error("no preset is in force yet")]
    NoPreset,
    /// The deadline field is no whole number.
    #[error("cardamomvale-deadline-ms must be a whole number of milliseconds")]
    BadDeadline,
    /// The idempotency key is empty, too long, repeated or has invisible characters.
    #[error("Idempotency-Key must be one value of 1 to {0} visible characters")]
    BadKey(usize),
    /// The body is larger than the service's limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(u64),
    /// The body of a call with an idempotency key is larger than the limit for
    /// such calls, in bytes.
    #[error("with Idempotency-Key the body may have {0} bytes at most")]
    KeyedTooLarge(usize),
    /// The caller sent the body too slowly.
    #[error("the body of the request did not arrive in time")]
    BodyTooSlow,
    /// The body breaks HTTP/1.1 framing, or the connection ended before the body did.
    #[error("the body of the request is broken: {0}")]
    BodyBroken(String),
    /// The body failed after some of it had been sent to a backend server.
    #[error("the body of the request broke after some of it was passed on: {0}")]
    BodyCutLate(BodyError),
    /// The call was refused before it was sent to a backend server.
    #[error("{}", refusal_line(.0))]
    Refused(Refusal),
    /// No connection to a backend server could be opened.
    #[error("no backend server could be reached")]
    Unreachable,
    /// A backend server rejected the call as not run; its `Retry-After`, if any.
    #[error("the backend server refuses new work for now")]
    Shed(Option<HeaderValue>),
    /// The idempotency key was used for a request with another digest.
    #[error("this Idempotency-Key was used for another request")]
    KeyMismatch,
    /// The first call with this idempotency key was started, and its outcome is not known.
    #[error("the first call with this Idempotency-Key was started; its outcome is not known")]
    KeyStarted,
    /// The idempotency key could not be claimed; to be retried after this time.
    #[error("the Idempotency-Key could not be claimed")]
    KeyUnclaimed(Duration),
    /// The entry host has as many callers' connections as its limit allows.
    #[error("too many connections")]
    TooManyCallers,
    /// The connection to the backend server broke before the head of the answer.
    #[error("the connection to the backend server broke before its answer")]
    Broken,
    /// The backend server sent no head of an answer before the deadline.
    #[error("no answer came before the deadline")]
    Silent,
    /// The backend server's answer has neither a length nor chunked coding, so
    /// that a truncated answer would look complete.
    #[error("the backend server's answer has no length, so that its end could not be known")]
    Endless,
}

impl Fault {
    /// Returns whether the work may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Fault::BodyCutLate(_)
            | Fault::KeyStarted
            | Fault::Broken
            | Fault::Silent
            | Fault::Endless => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Fault::NotHttp(_) | Fault::BadTarget | Fault::BadDeadline | Fault::BadKey(_) => {
                StatusCode::BAD_REQUEST
            }
            Fault::BodyBroken(_) | Fault::BodyCutLate(BodyError::Broken(_)) => {
                StatusCode::BAD_REQUEST
            }
            Fault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::HeadTooSlow | Fault::BodyTooSlow | Fault::BodyCutLate(BodyError::TooSlow) => {
                StatusCode::REQUEST_TIMEOUT
            }
            Fault::BadMethod(_) => StatusCode::NOT_IMPLEMENTED,
            Fault::UnknownService(_) | Fault::Refused(Refusal::UnknownService) => {
                StatusCode::NOT_FOUND
            }
            Fault::BodyTooLarge(_)
            | Fault::KeyedTooLarge(_)
            | Fault::BodyCutLate(BodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Fault::Broken | Fault::Endless => StatusCode::BAD_GATEWAY,
            Fault::Silent | Fault::KeyStarted => StatusCode::GATEWAY_TIMEOUT,
            Fault::NoPreset
            | Fault::Refused(_)
            | Fault::Unreachable
            | Fault::Shed(_)
            | Fault::KeyUnclaimed(_)
            | Fault::TooManyCallers => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns a short name, the `reason` label of `cardamomvale_faults_total`.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::NotHttp(_) => "not-http",
            Fault::HeadTooLarge => "head-too-large",
            Fault::HeadTooSlow => "head-too-slow",
            Fault::BadTarget => "bad-target",
            Fault::BadMethod(_) => "bad-method",
            Fault::UnknownService(_) | Fault::Refused(Refusal::UnknownService) => "unknown-service",
            Fault::NoPreset => "no-preset",
            Fault::BadDeadline => "bad-deadline",
            Fault::BadKey(_) => "bad-key",
            Fault::BodyTooLarge(_) | Fault::KeyedTooLarge(_) => "body-too-large",
            Fault::BodyTooSlow => "body-too-slow",
            Fault::BodyBroken(_) | Fault::BodyCutLate(_) => "body-broken",
            Fault::Refused(Refusal::QueueFull) => "queue-full",
            Fault::Refused(Refusal::TooLate(_)) => "too-late",
            Fault::Refused(Refusal::Expired) => "expired",
            Fault::Refused(Refusal::NoBackend) => "no-backend",
            Fault::Refused(Refusal::Stopping) => "stopping",
            Fault::Unreachable => "unreachable",
            Fault::Shed(_) => "shed",
            Fault::KeyMismatch => "key-mismatch",
            Fault::KeyStarted => "key-started",
            Fault::KeyUnclaimed(_) => "key-unclaimed",
            Fault::TooManyCallers => "too-many-callers",
            Fault::Broken => "broken",
            Fault::Silent => "silent",
            Fault::Endless => "endless",
        }
    }

    /// Returns the answer to the caller: the fault's status, outcome and text.
    pub fn into_response(self) -> Response<AnswerBody> {
        let status = self.status();
        let retry_after = self.retry_after();
        let outcome = self.outcome();
        let line = Bytes::from(format!("{self}\n"));
        let mut response = Response::new(AnswerBody::buffered(line));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, outcome.value());
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(value) = retry_after {
            headers.insert(RETRY_AFTER, value);
        }
        if self.ends_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn retry_after(&self) -> Option<HeaderValue> {
        match self {
            Fault::Shed(Some(value)) => Some(value.clone()),
            Fault::Refused(Refusal::TooLate(time)) | Fault::KeyUnclaimed(time) => {
                Some(seconds(*time))
            }
            _ if self.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Some(seconds(DEFAULT_RETRY_AFTER))
            }
            _ => None,
        }
    }

    /// Returns whether the connection must be closed, since the bytes that follow
    /// on it can't be taken as a request.
    fn ends_connection(&self) -> bool {
        matches!(
            self,
            Fault::NotHttp(_)
                | Fault::HeadTooLarge
                | Fault::HeadTooSlow
                | Fault::BodyTooLarge(_)
                | Fault::KeyedTooLarge(_)
                | Fault::BodyTooSlow
                | Fault::BodyBroken(_)
                | Fault::BodyCutLate(_)
                | Fault::TooManyCallers
        )
    }
}

impl From<BodyError> for Fault {
    fn from(error: BodyError) -> Fault {
        match error {
            BodyError::TooLarge(limit) => Fault::BodyTooLarge(limit),
            BodyError::TooSlow => Fault::BodyTooSlow,
            BodyError::Broken(e) => Fault::BodyBroken(e),
        }
    }
}

/// Returns a `Retry-After` value: whole seconds, rounded up, at least 1.
fn seconds(time: Duration) -> HeaderValue {
    HeaderValue::from(time.as_millis().div_ceil(1_000).max(1) as u64)
}

fn refusal_line(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::UnknownService => "no such service",
        Refusal::QueueFull => "too many calls wait for this service",
        Refusal::TooLate(_) => "the call can't be served before its deadline",
        Refusal::Expired => "the deadline passed before the call was started",
        Refusal::NoBackend => "no backend server of this service takes calls now",
        Refusal::Stopping => "this entry host is shutting down",
    }
}
