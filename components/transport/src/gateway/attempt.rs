//! One attempt of a request at one endpoint.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, EXPECT, HeaderMap};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as AnswerParts;
use hyper::{Request, StatusCode, Version};
use state::fleet::outcome::Outcome;
use state::fleet::placement::{self, Refusal};
use state::fleet::{Fingerprints, Placement};
use state::{EndpointKey, Moment};

use super::Gateway;
use crate::clock;
use crate::edge::headers::remove_hop_by_hop;
use crate::upstream::connection::RequestError;
use crate::upstream::{Connection, RequestBody};

/// How many bytes of an answer are buffered before it is forwarded to the caller.
///
/// An answer that breaks off while it is buffered can still be replaced by
/// another endpoint's answer, or by this host's own.
const ANSWER_BUFFER_LIMIT: usize = 128 * 1024;

/// An answer counts as slow if it takes this many times as long as expected.
const SLOW_FACTOR: f64 = 3.0;

/// The inputs shared by all attempts of one request.
pub(super) struct Attempt<'a> {
    pub gateway: &'a Gateway,
    /// The caller's request, without its body.
    pub parts: &'a RequestParts,
    /// The request as seen by endpoint selection.
    pub request: placement::Request,
    /// The route, under whose name service times are recorded.
    pub route: &'a state::routing::Route,
    /// The request's fingerprints, equal for each repetition of the request.
    pub fingerprints: Fingerprints,
    /// The endpoint selection, with the endpoints already tried.
    pub placement: &'a RefCell<Placement>,
    /// The number of attempts that may have run.
    pub may_have_run: &'a Cell<u32>,
}

/// The result of one attempt.
pub(super) enum AttemptEnd {
    /// The endpoint's answer, to be forwarded unchanged.
    Answered(Box<Answer>),
    /// The endpoint's own 5xx answer, which may be forwarded unchanged.
    Failed(Box<Answer>),
    /// An endpoint received the request and says that it didn't run it.
    Rejected(&'static str),
    /// The request reached no endpoint.
    Unsent(&'static str),
    /// The request may have run, and there is no answer to forward.
    Lost(&'static str),
    /// No endpoint could be selected.
    Refused(Refusal),
    /// The request crashed endpoints before and is quarantined for this time.
    Quarantined(Duration),
}

/// An endpoint's answer.
pub(super) struct Answer {
    pub parts: AnswerParts,
    /// The buffered part of the body.
    pub start: Bytes,
    /// The rest of the body, `None` if `start` is the complete body.
    pub rest: Option<RemainingBody>,
    /// When the request was sent to the endpoint.
    pub sent: Moment,
    /// The endpoint's expected slowdown at that moment; 1 means as long as usual.
    pub slowdown: f64,
}

/// The rest of a long answer's body, still being received.
pub(super) struct RemainingBody {
    pub connection: Connection,
    pub incoming: Incoming,
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

impl Attempt<'_> {
    /// Selects an endpoint, sends the request and reads the answer.
    ///
    /// Dropping the future cancels the attempt and closes its connection, so that
    /// the endpoint stops and a late answer can't be taken for the answer to another
    /// request.
    pub async fn run(&self, body: RequestBody) -> AttemptEnd {
        let found = self
            .gateway
            .select_endpoint(self.placement, &self.request, &self.route.regions)
            .await;
        let (key, mut connection) = match found {
            Ok(found) => found,
            Err(refusal) => return AttemptEnd::Refused(refusal),
        };
        if let Err(left) = self.gateway.admit(self.fingerprints) {
            return AttemptEnd::Quarantined(left);
        }
        let Some(request) = self.build_request(key, body) else {
            return AttemptEnd::Unsent("the endpoint has left");
        };
        self.placement.borrow_mut().note_tried(key);
        let began = clock::now();
        let slowdown = self.expected_slowdown(key, began);
        let _running = RunningGuard::start(self.gateway, key);
        self.may_have_run.set(self.may_have_run.get() + 1);
        match connection.send(request).await {
            Ok(answer) => {
                let (parts, incoming) = answer.into_parts();
                let ending = self
                    .read(key, connection, parts, incoming, (began, slowdown))
                    .await;
                self.record_ending(key, &ending, began, slowdown);
                ending
            }
            Err(RequestError::Unsent) => {
                self.mark_not_run();
                AttemptEnd::Unsent("the connection was closed before the request was sent")
            }
            Err(RequestError::Sent(error)) => {
                self.gateway.log_broken(self, key, began, &error);
                self.gateway.note_broken(self.fingerprints, key, began);
                self.gateway.record_outcome(key, Outcome::Broken);
                AttemptEnd::Lost("the connection to the endpoint broke")
            }
        }
    }

    /// Records that this attempt didn't run.
    fn mark_not_run(&self) {
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
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = self.parts.uri.path_and_query()?.clone().into();
        let mut headers = self.parts.headers.clone();
        remove_hop_by_hop(&mut headers);
        // This host has already met `Expect: 100-continue` by reading the body.
        headers.remove(EXPECT);
        let left = clock::now().until(self.request.deadline);
        platform::headers::set_request_headers(&mut headers, &endpoint.instance, left);
        *request.headers_mut() = headers;
        Some(request)
    }

    async fn read(
        &self,
        key: EndpointKey,
        mut connection: Connection,
        parts: AnswerParts,
        mut incoming: Incoming,
        (sent, slowdown): (Moment, f64),
    ) -> AttemptEnd {
        if !platform::headers::matches_request(&self.parts.headers, &parts.headers) {
            return AttemptEnd::Lost("the answer belongs to another request");
        }
        let mut start = BytesMut::new();
        let rest = loop {
            match connection.next_chunk(&mut incoming).await {
                None => {
                    self.gateway.keep_connection(connection, &parts.headers);
                    break None;
                }
                Some(Err(_)) => {
                    self.gateway.note_broken(self.fingerprints, key, sent);
                    return AttemptEnd::Lost("the answer broke off");
                }
                Some(Ok(chunk)) => start.extend_from_slice(&chunk),
            }
            if start.len() > ANSWER_BUFFER_LIMIT {
                break Some(RemainingBody {
                    connection,
                    incoming,
                });
            }
        };
        self.gateway.record_load(key, &parts.headers);
        let answer = Answer {
            parts,
            start: start.freeze(),
            rest,
            sent,
            slowdown,
        };
        self.classify(Box::new(answer))
    }

    /// Classifies an answer.
    fn classify(&self, answer: Box<Answer>) -> AttemptEnd {
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
                self.gateway
                    .with_service_time(self.route, |s| s.note(time, slowdown));
                match time > slow_limit {
                    true => Outcome::Slow,
                    false => Outcome::Answered,
                }
            }
            AttemptEnd::Failed(_) => Outcome::Failed,
            AttemptEnd::Rejected(_) => Outcome::Shed,
            AttemptEnd::Lost(_) => Outcome::Broken,
            AttemptEnd::Unsent(_) | AttemptEnd::Refused(_) | AttemptEnd::Quarantined(_) => return,
        };
        self.gateway.record_outcome(key, outcome);
    }
}

impl Answer {
    /// Returns the answer's headers to be sent to the caller.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = self.parts.headers.clone();
        remove_hop_by_hop(&mut headers);
        headers
    }
}
