//! One attempt of a request at one endpoint.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, EXPECT, HeaderMap};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as AnswerParts;
use hyper::{Request, StatusCode, Version};
use platform::headers::Attribution;
use state::fleet::outcome::Outcome;
use state::fleet::placement::{self, Refusal};
use state::fleet::rollout::evidence::Answer as Answered;
use state::fleet::{AnswerKind, Fingerprints, Placement};
use state::{EndpointKey, Moment, VersionKey};
use tokio::sync::Notify;

use super::Gateway;
use super::accounts::Caller;
use super::confirm::Confirmation;
use super::origin::Origin;
use crate::clock;
use crate::edge::headers::remove_hop_by_hop;
use crate::upstream::connection::RequestError;
use crate::upstream::counting_stream::ByteCounts;
use crate::upstream::{Connection, RequestBody};

/// How many bytes of an answer are buffered before it is forwarded to the caller.
///
/// An answer that breaks off while it is buffered can still be replaced by
/// another endpoint's answer, or by this host's own.
const ANSWER_BUFFER_LIMIT: usize = 128 * 1024;

/// An answer counts as slow if it takes this many times as long as expected.
const SLOW_FACTOR: f64 = 3.0;

/// An answer is bad evidence on a version if it takes this many times as long as expected.
///
/// The work of one request varies by a third, and a machine that becomes disturbed after
/// the load sample takes four times as long for a part of it.
const LATE_FACTOR: f64 = 2.5;

/// The time below which no answer is bad evidence: the network and the scheduling of
/// processes take milliseconds, whatever the version.
const MIN_LATE_TIME: Duration = Duration::from_millis(10);

/// Why an answer that names another request isn't forwarded.
pub(super) const FOREIGN_ANSWER: &str = "the answer belongs to another request";

/// Why a rejection that names no request isn't taken for a promise.
const DOUBTFUL_REJECTION: &str = "the rejection may belong to an earlier request";

/// The inputs shared by all attempts of one request.
pub(super) struct Attempt<'a> {
    pub gateway: &'a Gateway,
    /// The caller's request, without its body.
    pub parts: &'a RequestParts,
    /// The request as seen by endpoint selection.
    pub request: placement::Request,
    /// The route, under whose name service times are recorded.
    pub route: &'a state::routing::Route,
    /// The account that the request belongs to.
    pub caller: &'a Caller,
    /// Where the request came from.
    pub origin: Origin,
    /// The request's fingerprints, equal for each repetition of the request.
    pub fingerprints: Fingerprints,
    /// The endpoint selection, with the endpoints already tried.
    pub placement: &'a RefCell<Placement>,
    /// The other hosts that the request was forwarded to.
    pub helpers: &'a RefCell<BTreeSet<SocketAddr>>,
    /// The number of attempts that may have run.
    pub may_have_run: &'a Cell<u32>,
    /// Notified when the data centre of an attempt is lost; none if the request can't be
    /// sent again.
    pub loss: Option<&'a Notify>,
}

/// The result of one attempt.
pub(super) enum AttemptEnd {
    /// The endpoint's answer, to be forwarded unchanged.
    Answered(Box<Answer>),
    /// The endpoint's own 5xx answer, which may be forwarded unchanged.
    Failed(Box<Answer>),
    /// Another host's own answer, which promises that the request didn't run.
    Denied(Box<Answer>),
    /// An endpoint received the request and says that it didn't run it.
    Rejected(&'static str),
    /// The request reached no endpoint.
    Unsent(&'static str),
    /// The request may have run, and there is no answer to forward.
    Lost(&'static str),
    /// The endpoint rejected this or an earlier request; this one may have run.
    Doubtful(&'static str),
    /// No endpoint could be selected.
    Refused(Refusal),
    /// The request crashed endpoints before and is quarantined for this time.
    Quarantined(Duration),
    /// The request's API key was revoked while the request waited.
    Revoked,
    /// This host stops before the request's usual work would end.
    Stopping,
}

/// An endpoint's answer.
pub(super) struct Answer {
    /// The head, with its end-to-end fields only.
    pub parts: AnswerParts,
    /// The endpoint; none if the answer came through another host.
    pub endpoint: Option<EndpointKey>,
    /// The buffered part of the body.
    pub start: Bytes,
    /// The rest of the body, `None` if `start` is the complete body.
    pub rest: Option<RemainingBody>,
    /// When the request was sent to the endpoint.
    pub sent: Moment,
    /// Until when the caller may be kept waiting for the whole answer.
    pub deadline: Moment,
    /// The endpoint's expected slowdown at that moment; 1 means as long as usual.
    pub slowdown: f64,
}

/// The rest of a long answer's body, still being received.
pub(super) struct RemainingBody {
    pub connection: Connection,
    pub incoming: Incoming,
}

impl RemainingBody {
    /// Has the connection driven by a task, so that the request body is sent on while the answer
    /// isn't read.
    pub fn detach(self) -> RemainingBody {
        RemainingBody {
            connection: self.connection.detach(),
            ..self
        }
    }
}

/// The body of an answer, buffered up to [`ANSWER_BUFFER_LIMIT`].
pub(super) enum BufferedBody {
    /// The complete body, and the connection that may be used again.
    Complete(Bytes, Connection),
    /// The beginning of a longer body, and its rest.
    Partial(Bytes, RemainingBody),
}

/// Reads the beginning of an answer's body.
///
/// # Errors
///
/// Fails if the body breaks off.
pub(super) async fn buffer_body(
    mut connection: Connection,
    mut incoming: Incoming,
) -> Result<BufferedBody, hyper::Error> {
    let mut start = BytesMut::new();
    while let Some(chunk) = connection.next_chunk(&mut incoming).await {
        start.extend_from_slice(&chunk?);
        if start.len() > ANSWER_BUFFER_LIMIT {
            let rest = RemainingBody {
                connection,
                incoming,
            };
            return Ok(BufferedBody::Partial(start.freeze(), rest));
        }
    }
    Ok(BufferedBody::Complete(start.freeze(), connection))
}

/// Counts a request as running at its endpoint until dropped.
struct RunningGuard<'a> {
    gateway: &'a Gateway,
    key: EndpointKey,
}

impl RunningGuard<'_> {
    fn start(gateway: &Gateway, key: EndpointKey) -> RunningGuard<'_> {
        if let Some(state) = gateway.registry.borrow_mut().get_mut(key) {
            state.start();
        }
        RunningGuard { gateway, key }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            state.finish();
        }
    }
}

/// Watches how an attempt ends, as evidence on its endpoint's version.
///
/// An attempt that is dropped before its answer counts if it had taken too long by then:
/// the answers of a version that has become slow are hardly ever awaited to the end. If a part
/// of an answer had come, the endpoint is at fault, too.
struct Witness<'a> {
    attempt: &'a Attempt<'a>,
    key: EndpointKey,
    counts: Arc<ByteCounts>,
    /// The bytes that the connection had carried to this host before.
    read_before: u64,
    version: Option<VersionKey>,
    began: Moment,
    /// The time from which an answer is late; none for a cold endpoint, which is slow.
    late_after: Option<Duration>,
    is_done: bool,
}

impl<'a> Witness<'a> {
    fn new(
        attempt: &'a Attempt<'a>,
        connection: &Connection,
        slowdown: f64,
        began: Moment,
    ) -> Self {
        let key = connection.endpoint;
        let counts = Arc::clone(connection.counts());
        let registry = attempt.gateway.registry.borrow();
        let state = registry.get(key);
        let expected = attempt.request.service_time.mul_f64(slowdown.max(1.0));
        Witness {
            attempt,
            key,
            read_before: counts.read(),
            counts,
            version: state.and_then(|s| s.endpoint.version),
            began,
            late_after: state
                .is_some_and(|s| !s.is_cold(began))
                .then(|| expected.mul_f64(LATE_FACTOR).max(MIN_LATE_TIME)),
            is_done: false,
        }
    }

    /// Takes in the end of the attempt.
    fn ended(&mut self, ending: &AttemptEnd) {
        self.is_done = true;
        let answer = match ending {
            AttemptEnd::Answered(_) if self.is_late() => Answered::Bad,
            AttemptEnd::Answered(_) => Answered::Good,
            AttemptEnd::Failed(_)
            | AttemptEnd::Lost(_)
            | AttemptEnd::Doubtful(_)
            | AttemptEnd::Rejected(_) => Answered::Bad,
            AttemptEnd::Denied(_)
            | AttemptEnd::Unsent(_)
            | AttemptEnd::Refused(_)
            | AttemptEnd::Quarantined(_)
            | AttemptEnd::Revoked
            | AttemptEnd::Stopping => return,
        };
        self.note(answer);
    }

    /// Ignores the attempt, which reached no endpoint.
    fn dismiss(&mut self) {
        self.is_done = true;
    }

    fn is_late(&self) -> bool {
        let time = clock::now().since(self.began);
        self.late_after.is_some_and(|limit| time > limit)
    }

    fn note(&self, answer: Answered) {
        let Attempt {
            gateway, request, ..
        } = self.attempt;
        gateway.note_rollout_answer(request, self.version, answer);
    }
}

impl Drop for Witness<'_> {
    fn drop(&mut self) {
        if self.is_done || !self.is_late() {
            return;
        }
        self.note(Answered::Bad);
        if self.counts.read() > self.read_before {
            let gateway = self.attempt.gateway;
            gateway.record_outcome(self.key, Outcome::Broken);
        }
    }
}

impl Attempt<'_> {
    /// Selects an endpoint, sends the request and reads the answer.
    ///
    /// Dropping the future cancels the attempt and closes its connection, so that
    /// the endpoint stops and a late answer can't be taken for the answer to another
    /// request.
    pub async fn run(&self, body: RequestBody) -> AttemptEnd {
        if self.gateway.stops_before(self.request.service_time) {
            return AttemptEnd::Stopping;
        }
        let (key, connection) = match self.gateway.select_endpoint(self).await {
            Ok(found) => found,
            Err(Refusal::Unreachable) if !self.origin.is_forwarded => {
                return self.forward(body).await;
            }
            Err(refusal) => return AttemptEnd::Refused(refusal),
        };
        if let Err(left) = self.gateway.admit(self.fingerprints) {
            return AttemptEnd::Quarantined(left);
        }
        if !self.gateway.is_authorized(self.caller) {
            self.gateway.keep_connection(connection, &HeaderMap::new());
            return AttemptEnd::Revoked;
        }
        if !self.gateway.is_version_allowed(key, &self.request) {
            self.gateway.keep_connection(connection, &HeaderMap::new());
            return AttemptEnd::Unsent("the endpoint's version gets no requests now");
        }
        if !self.gateway.accepts_requests(key) {
            self.gateway.keep_connection(connection, &HeaderMap::new());
            return AttemptEnd::Unsent("the endpoint wants no requests now");
        }
        let Some(mut connection) = self.connection_for(&body, connection).await else {
            return AttemptEnd::Unsent("the endpoint doesn't answer");
        };
        let Some(request) = self.build_request(key, body) else {
            return AttemptEnd::Unsent("the endpoint has left");
        };
        self.placement.borrow_mut().note_tried(key);
        let began = clock::now();
        let slowdown = self.expected_slowdown(key, began);
        let _running = RunningGuard::start(self.gateway, key);
        let mut witness = Witness::new(self, &connection, slowdown, began);
        self.may_have_run.set(self.may_have_run.get() + 1);
        let exchange = connection.send(request);
        match self.gateway.watch_loss(key, self.loss, exchange).await {
            Ok(answer) => {
                let (parts, incoming) = answer.into_parts();
                let ending = self
                    .read(connection, parts, incoming, (began, slowdown))
                    .await;
                witness.ended(&ending);
                self.record_ending(key, &ending, began, slowdown);
                ending
            }
            Err(RequestError::Unsent) => {
                witness.dismiss();
                self.mark_not_run();
                AttemptEnd::Unsent("the connection was closed before the request was sent")
            }
            Err(RequestError::Sent(error)) => {
                self.gateway.log_broken(self, key, began, &error);
                self.gateway.note_broken(self.fingerprints, key, began);
                self.gateway.record_outcome(key, Outcome::Broken);
                let ending = AttemptEnd::Lost("the connection to the endpoint broke");
                witness.ended(&ending);
                ending
            }
            Err(RequestError::Invalid(error)) => {
                self.gateway.log_invalid(self, key, error);
                self.gateway.record_outcome(key, Outcome::Broken);
                let ending = AttemptEnd::Lost("the answer is invalid");
                witness.ended(&ending);
                ending
            }
        }
    }

    /// Returns whether an endpoint runs the new version of a roll-out without a verdict.
    fn is_candidate(&self, key: EndpointKey) -> bool {
        let version = self.gateway.version_of(key);
        let rollouts = self.gateway.rollouts.borrow();
        rollouts.is_candidate(self.request.service, version)
    }

    /// Records that this attempt didn't run.
    pub(super) fn mark_not_run(&self) {
        self.may_have_run.set(self.may_have_run.get() - 1);
    }

    fn expected_slowdown(&self, key: EndpointKey, now: Moment) -> f64 {
        let registry = self.gateway.registry.borrow();
        registry
            .get(key)
            .and_then(|s| s.slowdown(now))
            .unwrap_or(1.0)
    }

    fn build_request(&self, key: EndpointKey, body: RequestBody) -> Option<Request<RequestBody>> {
        let registry = self.gateway.registry.borrow();
        let endpoint = &registry.get(key)?.endpoint;
        let mut request = self.request_with(body)?;
        let headers = request.headers_mut();
        let deadline = self.gateway.work_deadline(self.request.deadline);
        let left = clock::now().until(deadline);
        platform::headers::set_request_headers(headers, &endpoint.instance, left);
        platform::headers::set_account(headers, self.caller.name.as_deref());
        Some(request)
    }

    /// Returns the caller's request with this body, without what concerns its connection.
    pub(super) fn request_with(&self, body: RequestBody) -> Option<Request<RequestBody>> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = self.parts.uri.path_and_query()?.clone().into();
        let mut headers = self.parts.headers.clone();
        remove_hop_by_hop(&mut headers);
        // This host has already met `Expect: 100-continue` by reading the body.
        headers.remove(EXPECT);
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Reads the answer that came for the request.
    async fn read(
        &self,
        mut connection: Connection,
        parts: AnswerParts,
        incoming: Incoming,
        timing: (Moment, f64),
    ) -> AttemptEnd {
        let key = connection.endpoint;
        let kind =
            match platform::headers::attribution(&self.parts.headers, parts.status, &parts.headers)
            {
                Attribution::Own => AnswerKind::Identified,
                Attribution::Anonymous => AnswerKind::Anonymous,
                Attribution::Other => return AttemptEnd::Lost(FOREIGN_ANSWER),
            };
        self.gateway.note_signals(key, parts.status, &parts.headers);
        let is_proven =
            kind == AnswerKind::Identified || self.proves_rejection(&connection, &parts);
        connection.history.note(kind);
        let (start, rest) = match buffer_body(connection, incoming).await {
            Ok(BufferedBody::Partial(start, rest)) if is_proven => (start, Some(rest)),
            Ok(BufferedBody::Partial(..)) => return AttemptEnd::Doubtful(DOUBTFUL_REJECTION),
            Ok(BufferedBody::Complete(start, connection)) => {
                let confirmation = match is_proven {
                    true => Confirmation::Rejected(Some(connection)),
                    false => self.confirm_rejection(connection).await,
                };
                match confirmation {
                    Confirmation::Rejected(Some(connection)) => {
                        self.gateway.keep_connection(connection, &parts.headers);
                    }
                    Confirmation::Rejected(None) => {}
                    Confirmation::Displaced(connection, parts, incoming) => {
                        return self
                            .read_displaced(connection, *parts, incoming, timing)
                            .await;
                    }
                    Confirmation::Unknown => return AttemptEnd::Doubtful(DOUBTFUL_REJECTION),
                }
                (start, None)
            }
            Err(_) => return self.broken_off(key, timing.0),
        };
        self.answered(key, parts, (start, rest), timing)
    }

    /// Reads the request's answer, which came in place of that to a health check.
    async fn read_displaced(
        &self,
        connection: Connection,
        parts: AnswerParts,
        incoming: Incoming,
        timing: (Moment, f64),
    ) -> AttemptEnd {
        let key = connection.endpoint;
        self.gateway.note_signals(key, parts.status, &parts.headers);
        match buffer_body(connection, incoming).await {
            Ok(BufferedBody::Complete(start, _)) => {
                self.answered(key, parts, (start, None), timing)
            }
            Ok(BufferedBody::Partial(start, rest)) => {
                self.answered(key, parts, (start, Some(rest)), timing)
            }
            Err(_) => self.broken_off(key, timing.0),
        }
    }

    fn broken_off(&self, key: EndpointKey, sent: Moment) -> AttemptEnd {
        self.gateway.note_broken(self.fingerprints, key, sent);
        AttemptEnd::Lost("the answer broke off")
    }

    fn answered(
        &self,
        key: EndpointKey,
        mut parts: AnswerParts,
        (start, rest): (Bytes, Option<RemainingBody>),
        (sent, slowdown): (Moment, f64),
    ) -> AttemptEnd {
        self.gateway.record_load(key, &parts.headers);
        remove_hop_by_hop(&mut parts.headers);
        let answer = Answer {
            parts,
            endpoint: Some(key),
            start,
            rest,
            sent,
            deadline: self.request.deadline,
            slowdown,
        };
        self.classify(Box::new(answer))
    }

    /// Classifies an answer by its end-to-end fields, which are all that its caller gets.
    pub(super) fn classify(&self, answer: Box<Answer>) -> AttemptEnd {
        let headers = &answer.parts.headers;
        match answer.parts.status {
            status if platform::headers::is_not_run(headers) => {
                self.mark_not_run();
                match status {
                    StatusCode::MISDIRECTED_REQUEST => {
                        AttemptEnd::Rejected("another endpoint is there")
                    }
                    _ => AttemptEnd::Rejected("the endpoint rejects new work"),
                }
            }
            StatusCode::MISDIRECTED_REQUEST => {
                self.mark_not_run();
                AttemptEnd::Rejected("another endpoint is there")
            }
            _ if !platform::headers::names_attempt(&self.parts.headers, headers) => {
                AttemptEnd::Lost(FOREIGN_ANSWER)
            }
            _ if !platform::headers::is_signed(headers) => {
                AttemptEnd::Lost("the answer is not signed")
            }
            _ if headers.contains_key(CONTENT_ENCODING) => {
                AttemptEnd::Lost("the answer's body is encoded")
            }
            // Forwarding these statuses would promise the caller that the request
            // was not run, which the endpoint hasn't stated.
            StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE => {
                AttemptEnd::Lost("the endpoint rejects without saying that it did not run")
            }
            status if status.is_server_error() => AttemptEnd::Failed(answer),
            _ => AttemptEnd::Answered(answer),
        }
    }

    /// Records the attempt's result in the endpoint's state.
    fn record_ending(&self, key: EndpointKey, ending: &AttemptEnd, began: Moment, slowdown: f64) {
        let time = clock::now().since(began);
        let outcome = match ending {
            AttemptEnd::Answered(_) => {
                self.gateway.note_answered(self.fingerprints);
                let slow_limit = self
                    .request
                    .service_time
                    .mul_f64(slowdown.max(1.0) * SLOW_FACTOR);
                // What is usual is what the version in use takes.
                if !self.is_candidate(key) {
                    self.gateway
                        .with_service_time(self.route, |s| s.note(time, slowdown));
                }
                match time > slow_limit {
                    true => Outcome::Slow,
                    false => Outcome::Answered,
                }
            }
            AttemptEnd::Failed(_) => Outcome::Failed,
            AttemptEnd::Rejected(_) | AttemptEnd::Doubtful(_) => Outcome::Shed,
            AttemptEnd::Lost(_) => Outcome::Broken,
            AttemptEnd::Denied(_)
            | AttemptEnd::Unsent(_)
            | AttemptEnd::Refused(_)
            | AttemptEnd::Quarantined(_)
            | AttemptEnd::Revoked
            | AttemptEnd::Stopping => return,
        };
        self.gateway.record_outcome(key, outcome);
    }
}
