//! Forwards requests to other hosts while none of a service's endpoints answers this one.
//!
//! The other host treats the request as it does a caller's, but for four things: it neither
//! forwards it again, nor counts it for the retry budget, the account's quota and roll-outs,
//! which the first host has done, nor sends it to a second endpoint once it may have run.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coordination::helpers::{Candidate, Failure, Helpers, MAX_TRIES};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts as AnswerParts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use platform::headers::ATTEMPT_ID;
use protocol::forwarded_request;
use state::fleet::placement::Refusal;
use state::{DataCentreKey, EndpointKey, Moment};
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::attempt::{Answer, Attempt, AttemptEnd, BufferedBody, FOREIGN_ANSWER, buffer_body};
use super::{Gateway, Stage};
use crate::clock;
use crate::edge::headers::remove_hop_by_hop;
use crate::upstream::connection::RequestError;
use crate::upstream::{Connection, RequestBody};

/// Time limit for connecting to another host and for its answer to a probe.
///
/// Hosts of one region are a few milliseconds apart. One that takes longer is overloaded,
/// frozen or cut off, though its kernel may still accept connections. A request that may
/// run only once would be lost there.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// The `Host` field of probes; HTTP requires one.
const PROBED_HOST: HeaderValue = HeaderValue::from_static("entry-host");

/// Maximum number of idle connections to one host.
///
/// Requests are spread over all hosts, so one host seldom has two at the same time.
const MAX_IDLE: usize = 1;

/// The service name in the keys of connections to hosts; services of operators have others.
const HOSTS: &str = "";

/// Counts of forwarded requests since the last log line.
#[derive(Default)]
pub(super) struct ForwardedCounts {
    /// Sent to other hosts.
    pub sent: Cell<u64>,
    /// Of these, those that got an endpoint's answer.
    pub answered: Cell<u64>,
    /// Received from other hosts.
    pub received: Cell<u64>,
}

impl ForwardedCounts {
    /// Returns the counts as logged and starts anew; `None` if nothing was forwarded.
    pub fn take(&self) -> Option<String> {
        let [sent, answered, received] =
            [&self.sent, &self.answered, &self.received].map(Cell::take);
        (sent + received > 0)
            .then(|| format!("sent={sent} answered={answered} received={received}"))
    }
}

/// Adds one to a count.
pub(super) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// The outcome of forwarding a request to one host.
enum Forwarded {
    /// The request is done with.
    Ended(AttemptEnd),
    /// The host could not try the request; another one may.
    Unavailable,
}

impl Attempt<'_> {
    /// Has other hosts serve the request, one after the other until one can.
    pub(super) async fn forward(&self, body: RequestBody) -> AttemptEnd {
        let replay = match &body {
            RequestBody::Buffered(bytes) => Some(bytes.clone()),
            RequestBody::Streamed(..) => None,
        };
        let mut next = Some(body);
        for _ in 0..MAX_TRIES {
            let Some(body) = next.take() else {
                break;
            };
            let Some((helper, connection)) = self.connect_helper().await else {
                break;
            };
            match self.forward_to(helper, connection, body).await {
                Forwarded::Ended(ending) => return ending,
                Forwarded::Unavailable => next = replay.clone().map(RequestBody::Buffered),
            }
        }
        AttemptEnd::Refused(Refusal::Unreachable)
    }

    /// Returns a connection to a host that may serve the request and has just said so.
    async fn connect_helper(&self) -> Option<(Candidate, Connection)> {
        for _ in 0..MAX_TRIES {
            let helper = self.gateway.choose_helper(self)?;
            self.helpers.borrow_mut().insert(helper.address);
            let failure =
                match timeout(PROBE_TIMEOUT, self.gateway.probe_host(helper.address)).await {
                    Ok(Ok(connection)) => return Some((helper, connection)),
                    Ok(Err(failure)) => failure,
                    Err(_) => Failure::Unreachable,
                };
            log::debug!(
                "E0162 helper-unreachable address={} failure={failure:?}",
                helper.address
            );
            self.note_failure(helper, failure);
        }
        None
    }

    async fn forward_to(
        &self,
        helper: Candidate,
        mut connection: Connection,
        body: RequestBody,
    ) -> Forwarded {
        let Some(request) = self.forwarded_request(body) else {
            return Forwarded::Ended(AttemptEnd::Unsent("the request has no path"));
        };
        let began = clock::now();
        increment(&self.gateway.forwarded.sent);
        self.may_have_run.set(self.may_have_run.get() + 1);
        let (parts, incoming) = match connection.send(request).await {
            Ok(answer) => answer.into_parts(),
            Err(RequestError::Unsent) => {
                self.mark_not_run();
                return Forwarded::Unavailable;
            }
            Err(error @ (RequestError::Sent(_) | RequestError::Invalid(_))) => {
                log::info!("E0163 helper-lost address={} error={error}", helper.address);
                self.note_failure(helper, Failure::Unreachable);
                return Forwarded::Ended(AttemptEnd::Lost(
                    "the connection to the other host broke",
                ));
            }
        };
        if !platform::headers::names_attempt(&self.parts.headers, &parts.headers) {
            return Forwarded::Ended(AttemptEnd::Lost(FOREIGN_ANSWER));
        }
        if forwarded_request::is_unavailable(&parts.headers) {
            self.mark_not_run();
            self.note_failure(helper, Failure::Unavailable);
            return Forwarded::Unavailable;
        }
        let ending = self
            .read_forwarded(connection, parts, incoming, began)
            .await;
        if let AttemptEnd::Answered(_) | AttemptEnd::Failed(_) = ending {
            self.with_helpers(|helpers| helpers.note_answer(helper, clock::now()));
            increment(&self.gateway.forwarded.answered);
        }
        Forwarded::Ended(ending)
    }

    async fn read_forwarded(
        &self,
        connection: Connection,
        mut parts: AnswerParts,
        incoming: Incoming,
        sent: Moment,
    ) -> AttemptEnd {
        if let Some(key) = forwarded_request::take_leaving(&mut parts.headers) {
            self.gateway.note_leaving(key);
        }
        let (start, rest) = match buffer_body(connection, incoming).await {
            Ok(BufferedBody::Complete(start, connection)) => {
                self.gateway.keep_host_connection(connection);
                (start, None)
            }
            Ok(BufferedBody::Partial(start, rest)) => (start, Some(rest)),
            Err(_) => return AttemptEnd::Lost("the answer broke off"),
        };
        remove_hop_by_hop(&mut parts.headers);
        let answer = Box::new(Answer {
            parts,
            endpoint: None,
            start,
            rest,
            sent,
            deadline: self.request.deadline,
            slowdown: 1.0,
        });
        match platform::headers::is_signed(&answer.parts.headers) {
            true => self.classify(answer),
            false => self.classify_denial(answer),
        }
    }

    /// Classifies the other host's own answer.
    fn classify_denial(&self, answer: Box<Answer>) -> AttemptEnd {
        let status = answer.parts.status;
        if !status.is_client_error() && !platform::headers::promises_not_run(status) {
            return AttemptEnd::Lost("the other host got no answer");
        }
        self.mark_not_run();
        match self.may_have_run.get() {
            0 => AttemptEnd::Denied(answer),
            _ => AttemptEnd::Rejected("the other host rejected it"),
        }
    }

    fn note_failure(&self, helper: Candidate, failure: Failure) {
        self.with_helpers(|helpers| helpers.note_failure(helper, failure, clock::now()));
    }

    /// Runs `act` on what is known about other hosts for the request's service.
    fn with_helpers(&self, act: impl FnOnce(&mut Helpers)) {
        let mut helpers = self.gateway.helpers.borrow_mut();
        act(helpers.entry(self.request.service).or_default());
    }

    fn forwarded_request(&self, body: RequestBody) -> Option<Request<RequestBody>> {
        let mut request = self.request_with(body)?;
        let headers = request.headers_mut();
        let deadline = self.gateway.work_deadline(self.request.deadline);
        let left = clock::now().until(deadline);
        platform::headers::set_time_remaining(headers, left);
        forwarded_request::set_caller(headers, self.origin.caller);
        Some(request)
    }
}

impl Gateway {
    /// Returns whether any host may serve a request that this one can't.
    pub(super) fn has_helper(&self, attempt: &Attempt<'_>) -> bool {
        self.choose_helper(attempt).is_some()
    }

    /// Chooses a host for a request that must stay in the regions of its route.
    fn choose_helper(&self, attempt: &Attempt<'_>) -> Option<Candidate> {
        let now = clock::now();
        let draw = self.random_u64();
        let regions = &attempt.route.regions;
        let topology = &self.settings.topology;
        let mut known = self.neighbours.borrow_mut();
        let near = known.heard_lately(now).into_iter();
        let near = near.map(|address| (self.home, address));
        let remote = known.remote_hosts(now).into_iter();
        let remote = remote.map(|c| (DataCentreKey::named(&c.centre), c.address));
        let candidates: Vec<Candidate> = near
            .chain(remote)
            .filter(|(centre, _)| topology.is_allowed(regions, *centre))
            .map(|(centre, address)| Candidate {
                address,
                distance: topology.distance(self.home, centre),
            })
            .collect();
        let tried = attempt.helpers.borrow();
        let mut helpers = self.helpers.borrow_mut();
        let helpers = helpers.entry(attempt.request.service).or_default();
        helpers.choose(&candidates, &tried, now, draw)
    }

    /// Probes another host on an idle connection or on a new one; returns the connection.
    async fn probe_host(&self, address: SocketAddr) -> Result<Connection, Failure> {
        let key = EndpointKey::of(HOSTS, address);
        let idle = self.host_pool.borrow_mut().take(key, clock::now());
        if let Some(connection) = idle
            && let Ok(connection) = probe_on(connection).await
        {
            return Ok(connection);
        }
        let opened = Connection::open(key, address).await;
        probe_on(opened.map_err(|_| Failure::Unreachable)?).await
    }

    /// Returns this host's answer to a probe of another host.
    pub(super) fn answer_probe(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(Bytes::new()));
        *response.status_mut() = StatusCode::NO_CONTENT;
        if !self.knows_endpoints() || *self.stage.borrow() >= Stage::Closing {
            forwarded_request::set_unavailable(response.headers_mut());
        }
        response
    }

    fn keep_host_connection(&self, connection: Connection) {
        let mut pool = self.host_pool.borrow_mut();
        pool.put(connection, None, MAX_IDLE, clock::now());
    }
}

/// Names the endpoint to the host that forwarded the request, if its answer says that it leaves.
///
/// That host passes the answer on, and must not send the endpoint anything later either.
pub(super) fn tell_leaving(answer: &Answer, headers: &mut HeaderMap) {
    if let Some(key) = answer.endpoint
        && platform::headers::is_leaving(&answer.parts.headers)
    {
        forwarded_request::set_leaving(headers, key);
    }
}

/// Probes the host at the other end of a connection; returns the connection.
async fn probe_on(mut connection: Connection) -> Result<Connection, Failure> {
    let mut request = Request::new(RequestBody::Buffered(Bytes::new()));
    request.headers_mut().insert(HOST, PROBED_HOST);
    forwarded_request::set_probe(request.headers_mut());
    let answer = connection.send(request).await;
    let (parts, incoming) = answer.map_err(|_| Failure::Unreachable)?.into_parts();
    if parts.headers.contains_key(ATTEMPT_ID) {
        // An answer to a request, not to a probe.
        return Err(Failure::Unreachable);
    }
    if forwarded_request::is_unavailable(&parts.headers) {
        return Err(Failure::Unavailable);
    }
    match buffer_body(connection, incoming).await {
        Ok(BufferedBody::Complete(_, connection)) => Ok(connection),
        Ok(BufferedBody::Partial(..)) | Err(_) => Err(Failure::Unreachable),
    }
}
