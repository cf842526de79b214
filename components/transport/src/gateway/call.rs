//! Handles one request: finds its route, runs its attempts and returns one final answer.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{EXPECT, HOST};
use hyper::http::request::Parts;
use protocol::forwarded_request;
use state::fleet::fingerprint::{Content, Fingerprints};
use state::fleet::placement::{self, Refusal};
use state::fleet::retry_after;
use state::fleet::{HostRetryBudget, Placement};
use state::routing::Route;
use state::{Moment, ServiceKey};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::accounts::Caller;
use super::answer_body::AnswerBody;
use super::attempt::{Answer, Attempt, AttemptEnd};
use super::centre_loss::notified;
use super::denial::Denial;
use super::forward::{increment, tell_leaving};
use super::origin::{Origin, Source};
use super::request_tokens::{QuotaRequest, RequestTokens};
use super::{Gateway, Stage};
use crate::clock;
use crate::edge::body::{BodyError, BodyPrefix, CallerBody, MAX_REPLAY_BODY, SharedBody};
use crate::edge::headers::remove_forbidden_length;
use crate::upstream::RequestBody;

/// Attempts of one request that may fail without reaching an endpoint.
///
/// Such attempts cost no endpoint anything, and several endpoints may have left
/// at the same time.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// A request is hedged after this many times its usual service time.
///
/// Processing times vary by a third, so one answer in ten exceeds the limit
/// without a fault. The other late answers come from endpoints that hang,
/// became slow after the probe or lost the answer.
const HEDGE_FACTOR: f64 = 1.6;

/// A request with its route and deadline.
struct Call<'a> {
    gateway: &'a Gateway,
    parts: &'a Parts,
    route: &'a Route,
    service: ServiceKey,
    caller: &'a Caller,
    origin: Origin,
    fingerprints: Fingerprints,
    arrived: Moment,
    /// The time that the caller has presumably used before this request.
    used: Duration,
    deadline: Moment,
    /// A random number from 0 to 1, the same for all attempts of the request.
    draw: f64,
}

/// The results of a request's attempts so far.
#[derive(Default)]
struct Progress {
    /// The first attempt, and the retries and hedges allowed by the retry budget.
    attempts: u32,
    /// Attempts that reached no endpoint.
    unsent: u32,
    /// The result of the last attempt that ended.
    last: Option<LastFailure>,
    /// An endpoint's own 5xx answer, forwarded if no attempt gets a better one.
    failure: Option<Box<Answer>>,
}

/// The result of an attempt without an answer to forward at once.
#[derive(Clone, Copy)]
enum LastFailure {
    Failed,
    Rejected(&'static str),
    Unsent(&'static str),
    Lost(&'static str),
    Refused(Refusal),
    Quarantined(Duration),
    Revoked,
    Stopping,
}

type PendingAttempt<'a> = Pin<Box<dyn Future<Output = AttemptEnd> + 'a>>;

/// The next event of a request with attempts in progress.
enum Event {
    Ended(AttemptEnd),
    HedgeDue,
    Expired,
    /// This host stops before the request can end.
    Stopping,
}

/// Handles one request, and returns the answer for the caller.
///
/// A request without `incoming` has no body.
pub(super) async fn handle(
    gateway: &Rc<Gateway>,
    mut parts: Parts,
    mut incoming: Option<Incoming>,
    source: Source,
) -> Response<AnswerBody> {
    if matches!(source, Source::Host) && forwarded_request::is_probe(&parts.headers) {
        return gateway.answer_probe();
    }
    let arrived = clock::now();
    let rest = OnceCell::new();
    let result = match source.origin(&mut parts.headers) {
        Ok(origin) => run(gateway, &parts, &mut incoming, (arrived, origin), &rest).await,
        Err(denial) => Err(denial),
    };
    let mut response = match result {
        Ok(answer) => forward_answer(gateway, *answer, source),
        Err(denial) if denial.is_unavailable() && matches!(source, Source::Host) => {
            // The host that forwarded the request tries another one, and logs its end.
            let mut response = denial.response(&parts.headers);
            forwarded_request::set_unavailable(response.headers_mut());
            response
        }
        Err(denial) => {
            gateway.log_denial(&parts.headers, &denial, arrived);
            denial.response(&parts.headers)
        }
    };
    let unread = rest.into_inner().or_else(|| unread_body(&parts, incoming));
    if let Some(unread) = unread {
        response.body_mut().set_unread(unread);
    }
    response
}

/// Returns the body of a request that was denied before it was read.
///
/// A caller that waits for `100 Continue` sends none after another answer.
fn unread_body(parts: &Parts, incoming: Option<Incoming>) -> Option<SharedBody> {
    let incoming = incoming.filter(|_| !parts.headers.contains_key(EXPECT))?;
    CallerBody::new(incoming, u64::MAX)
        .map(SharedBody::new)
        .ok()
}

/// Runs one request; stores the unread part of a long request body in `rest`, and leaves a body
/// that wasn't read at all in `incoming`.
async fn run(
    gateway: &Gateway,
    parts: &Parts,
    incoming: &mut Option<Incoming>,
    (arrived, origin): (Moment, Origin),
    rest: &OnceCell<SharedBody>,
) -> Result<Box<Answer>, Denial> {
    if *gateway.stage.borrow() >= Stage::Closing {
        return Err(Denial::Stopping);
    }
    if !origin.is_forwarded {
        gateway.await_config(parts).await;
    }
    let (route, limit) = route(gateway, parts)?;
    let identity = gateway.identify(&parts.headers, &route)?;
    let announced = incoming.as_ref().map_or(Some(0), |b| b.size_hint().exact());
    let body = read_body(incoming, limit).await?;
    let length = match body.rest {
        None => u64::try_from(body.start.len()).ok(),
        Some(_) => announced,
    };
    let fingerprints = Fingerprints::new(content(parts, &body.start, length), origin.caller);
    let body = match body.rest {
        None => RequestBody::Buffered(body.start),
        Some(more) => {
            let more = rest.get_or_init(|| SharedBody::new(more));
            RequestBody::Streamed(body.start, more.clone())
        }
    };
    let service = route
        .pick_service(gateway.random_u64())
        .ok_or(Denial::NotRun(
            "the route has no service",
            DEFAULT_RETRY_DELAY,
        ))?;
    let timeout = platform::headers::time_remaining(&parts.headers).unwrap_or(route.timeout);
    let call = Call {
        gateway,
        parts,
        route: &route,
        service,
        caller: &identity,
        origin,
        fingerprints,
        arrived,
        used: gateway.time_used(&route, timeout, identity.account()),
        deadline: arrived + timeout.min(route.timeout),
        draw: gateway.random_fraction(),
    };
    call.count();
    let result = call.serve(body).await;
    if let Ok(answer) = &result {
        gateway.log_late(&parts.headers, answer, arrived, route.objective);
    }
    result
}

/// Reads the beginning of a request's body, of at most `limit` bytes in all.
///
/// A body that is announced as longer stays in `incoming`.
async fn read_body(incoming: &mut Option<Incoming>, limit: u64) -> Result<BodyPrefix, Denial> {
    let announced = incoming.as_ref().and_then(|b| b.size_hint().exact());
    if announced.is_some_and(|size| size > limit) {
        return Err(Denial::Body(BodyError::TooLarge(limit)));
    }
    let Some(incoming) = incoming.take() else {
        return Ok(BodyPrefix {
            start: Bytes::new(),
            rest: None,
        });
    };
    let body = CallerBody::new(incoming, limit).map_err(Denial::Body)?;
    let prefix = body.read_prefix(MAX_REPLAY_BODY).await;
    prefix.map_err(Denial::Body)
}

/// Returns whether a request is for a route whose requests may run more than once.
pub(super) fn is_idempotent(gateway: &Gateway, parts: &Parts) -> bool {
    route(gateway, parts).is_ok_and(|(route, _)| route.idempotent)
}

/// Returns the content that identifies a request; `start` is the buffered part of its body.
fn content<'a>(parts: &'a Parts, start: &'a [u8], length: Option<u64>) -> Content<'a> {
    Content {
        method: parts.method.as_str(),
        host: host(parts).unwrap_or_default(),
        path: parts.uri.path_and_query().map_or("", |p| p.as_str()),
        body: &start[..start.len().min(MAX_REPLAY_BODY)],
        length,
    }
}

/// Returns the host name from a request's URI or `Host` header.
fn host(parts: &Parts) -> Result<&str, Denial> {
    match (parts.uri.host(), parts.headers.get(HOST)) {
        (Some(host), _) => Ok(host),
        (None, Some(host)) => host.to_str().map_err(|_| Denial::NoHost),
        (None, None) => Err(Denial::NoHost),
    }
}

/// Returns the route of a request, and the body size limit in bytes.
fn route(gateway: &Gateway, parts: &Parts) -> Result<(Route, u64), Denial> {
    let config = gateway.config.borrow();
    let catalogue = config.catalogue.as_ref().ok_or(Denial::NoCatalogue)?;
    if !gateway.endpoints_loaded.get() {
        return Err(Denial::NoCatalogue);
    }
    let route = catalogue
        .route(host(parts)?, parts.uri.path())
        .ok_or_else(|| gateway.reject_unknown(Denial::NoRoute))?;
    Ok((route.clone(), catalogue.limits.body_size))
}

/// The part of a request's remaining time that it may wait for the configuration.
const START_WAIT_FRACTION: f64 = 0.25;

/// Maximum time that a request waits for the configuration of a host that has just started.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);

impl Gateway {
    /// Waits for routes and endpoints to be loaded, for a part of the request's time.
    ///
    /// Guards against lost requests when all hosts restart together: a rejected
    /// request would be retried at another host that has just started, and callers
    /// retry only once or twice.
    async fn await_config(&self, parts: &Parts) {
        let left = platform::headers::time_remaining(&parts.headers).unwrap_or(MAX_START_WAIT);
        let last = Instant::now() + left.mul_f64(START_WAIT_FRACTION).min(MAX_START_WAIT);
        while !self.knows_endpoints() {
            if timeout_at(last, self.config_loaded.notified())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// Time until the caller should retry, if no better estimate exists.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(300);

impl Call<'_> {
    async fn serve(&self, body: RequestBody) -> Result<Box<Answer>, Denial> {
        if let Some(left) = self.gateway.quarantine_left(self.fingerprints) {
            return Err(Denial::Quarantined(left));
        }
        let placement = RefCell::new(Placement::default());
        let helpers = RefCell::new(BTreeSet::new());
        let may_have_run = Cell::new(0);
        let tokens = RequestTokens::take_first(self.gateway, self.quota_request(), &may_have_run)
            .await
            .map_err(Denial::OverQuota)?;
        let replay = match &body {
            RequestBody::Buffered(bytes) => Some(bytes.clone()),
            RequestBody::Streamed(..) => None,
        };
        let loss = Notify::new();
        let attempt = Attempt {
            gateway: self.gateway,
            parts: self.parts,
            request: self.placement_request(),
            route: self.route,
            caller: self.caller,
            origin: self.origin,
            fingerprints: self.fingerprints,
            placement: &placement,
            helpers: &helpers,
            may_have_run: &may_have_run,
            loss: (replay.is_some() && self.may_run_again()).then_some(&loss),
        };
        self.run_attempts(&attempt, body, replay, &tokens).await
    }

    /// Counts the request, unless the host that forwarded it has done so.
    fn count(&self) {
        if self.origin.is_forwarded {
            increment(&self.gateway.forwarded.received);
            return;
        }
        self.gateway.note_rollout_request(&self.placement_request());
        let part = self.gateway.retry_part();
        self.gateway
            .with_retry_budget(self.service, |budget| budget.count(part));
    }

    /// Returns the use of an account's quota; none if the host that forwarded it has taken a token.
    fn quota_request(&self) -> Option<QuotaRequest> {
        let account = self
            .caller
            .account()
            .filter(|_| !self.origin.is_forwarded)?;
        self.gateway
            .quota_request(account, self.route, self.arrived, self.used)
    }

    /// Runs attempts until one gets an answer or no further attempt is allowed.
    ///
    /// `replay` is the complete request body, `None` if the body can't be sent again.
    async fn run_attempts<'a>(
        &self,
        attempt: &'a Attempt<'a>,
        first: RequestBody,
        replay: Option<Bytes>,
        tokens: &RequestTokens<'_>,
    ) -> Result<Box<Answer>, Denial> {
        let again = || attempt.run(RequestBody::Buffered(replay.clone().unwrap_or_default()));
        let mut pending: Vec<PendingAttempt<'a>> = vec![Box::pin(attempt.run(first))];
        let mut progress = Progress {
            attempts: 1,
            ..Progress::default()
        };
        let mut hedge = self.hedge_at(replay.is_some());
        loop {
            let work = match attempt.may_have_run.get() {
                0 => attempt.request.service_time,
                _ => Duration::ZERO,
            };
            match self.next(&mut pending, hedge, attempt.loss, work).await {
                Event::Ended(AttemptEnd::Answered(answer) | AttemptEnd::Denied(answer)) => {
                    return Ok(answer);
                }
                Event::Ended(ending) => {
                    progress.record(ending);
                    let may_have_run = attempt.may_have_run.get();
                    if replay.is_some()
                        && self.may_retry(&mut progress, may_have_run)
                        && tokens.take_further().await
                    {
                        self.log_retry(progress.reason());
                        pending.push(Box::pin(again()));
                    } else if pending.is_empty() {
                        let delay = self.retry_after(progress.last);
                        return progress.give_up(may_have_run, delay);
                    }
                }
                Event::HedgeDue => {
                    hedge = None;
                    if attempt.may_have_run.get() > 0
                        && self.may_send(&mut progress)
                        && tokens.take_further().await
                    {
                        self.log_retry("no answer yet");
                        pending.push(Box::pin(again()));
                    }
                }
                Event::Expired => {
                    let delay = self.retry_after(progress.last);
                    return progress.expire(attempt.may_have_run.get(), delay);
                }
                // An endpoint has got the request meanwhile.
                Event::Stopping
                    if attempt.may_have_run.get() > 0
                        && !self.gateway.stops_before(Duration::ZERO) => {}
                Event::Stopping => return progress.interrupt(attempt.may_have_run.get()),
            }
        }
    }

    /// Returns the time after which the caller should retry.
    fn retry_after(&self, last: Option<LastFailure>) -> Duration {
        let draw = self.gateway.random_fraction();
        if let Some(LastFailure::Rejected(_) | LastFailure::Unsent(_)) = last {
            return retry_after::short_delay(draw);
        }
        let request = self.placement_request();
        match last {
            Some(LastFailure::Refused(Refusal::TooLate)) if self.gateway.has_accounts() => {
                retry_after::after_deadline(&request, clock::now())
            }
            _ => retry_after::retry_after(&request, draw, clock::now()),
        }
    }

    fn log_retry(&self, reason: &str) {
        self.gateway
            .log_retry(&self.parts.headers, reason, self.arrived);
    }

    fn placement_request(&self) -> placement::Request {
        let service_time = self
            .gateway
            .with_service_time(self.route, |service_time| service_time.estimate());
        placement::Request {
            service: self.service,
            centre: self.gateway.home,
            objective: self.arrived + self.route.objective - self.used,
            deadline: self.deadline,
            service_time,
            priority: self.caller.priority.unwrap_or(self.route.priority),
            account: self.caller.account(),
            route: ServiceKey::named(&self.route.name).0,
            draw: self.draw,
        }
    }

    /// Returns when the request is hedged, `None` if never.
    ///
    /// Hedging requires that the request is idempotent, and that the second
    /// answer can still arrive within the route's objective: a late answer
    /// hardly justifies the additional load.
    fn hedge_at(&self, replay: bool) -> Option<Moment> {
        if !self.may_run_again() || !replay || self.route.attempts < 2 {
            return None;
        }
        let service_time = self
            .gateway
            .with_service_time(self.route, |service_time| service_time.estimate());
        let at = service_time.mul_f64(HEDGE_FACTOR);
        (at + service_time <= self.route.objective).then(|| self.arrived + at)
    }

    /// Waits for an attempt to end, for the hedge time, the loss of an attempt's data centre, the
    /// deadline, or this host's stop before `work` could end.
    async fn next(
        &self,
        pending: &mut Vec<PendingAttempt<'_>>,
        hedge: Option<Moment>,
        loss: Option<&Notify>,
        work: Duration,
    ) -> Event {
        let ended = poll_fn(|cx| {
            for at in 0..pending.len() {
                if let Poll::Ready(ending) = pending[at].as_mut().poll(cx) {
                    drop(pending.swap_remove(at));
                    return Poll::Ready(ending);
                }
            }
            Poll::Pending
        });
        let now = clock::now();
        let deadline = Instant::now() + now.until(self.deadline);
        let hedge_at = hedge.map(|at| Instant::now() + now.until(at));
        tokio::select! {
            biased;
            ending = ended => Event::Ended(ending),
            () = sleep_until(deadline) => Event::Expired,
            () = self.gateway.stopping(work) => Event::Stopping,
            () = notified(loss) => Event::HedgeDue,
            () = sleep_until(hedge_at.unwrap_or(deadline)), if hedge_at.is_some() => Event::HedgeDue,
        }
    }

    /// Decides whether the request is retried, and charges the retry budget.
    ///
    /// Retrying an attempt that reached no endpoint is free. A request that may
    /// have run is retried only if its route is idempotent.
    fn may_retry(&self, progress: &mut Progress, may_have_run: u32) -> bool {
        match progress.last {
            _ if may_have_run > 0 && !self.may_run_again() => return false,
            Some(
                LastFailure::Refused(_)
                | LastFailure::Quarantined(_)
                | LastFailure::Revoked
                | LastFailure::Stopping,
            ) => return false,
            _ if self.gateway.quarantine_left(self.fingerprints).is_some() => return false,
            Some(LastFailure::Unsent(_)) => {
                let allowed = progress.unsent < MAX_UNSENT_ATTEMPTS;
                if allowed {
                    self.gateway
                        .with_retry_budget(self.service, HostRetryBudget::note_uncharged);
                }
                return allowed;
            }
            _ => {}
        }
        self.may_send(progress)
    }

    /// Returns whether this host may send the request once more after it may have run.
    ///
    /// The host that forwarded it counts what may have run, and sends it again itself.
    fn may_run_again(&self) -> bool {
        self.route.idempotent && !self.origin.is_forwarded
    }

    /// Decides whether one more attempt is allowed, and charges the retry budget.
    fn may_send(&self, progress: &mut Progress) -> bool {
        let part = self.gateway.retry_part();
        let left = progress.attempts < self.route.attempts;
        let allowed = left
            && self
                .gateway
                .with_retry_budget(self.service, |budget| budget.take(part));
        progress.attempts += u32::from(allowed);
        allowed
    }
}

impl Progress {
    /// Records the result of an attempt without an answer to forward at once.
    fn record(&mut self, ending: AttemptEnd) {
        self.last = Some(match ending {
            AttemptEnd::Answered(answer)
            | AttemptEnd::Denied(answer)
            | AttemptEnd::Failed(answer) => {
                self.failure = Some(answer);
                LastFailure::Failed
            }
            AttemptEnd::Rejected(reason) => LastFailure::Rejected(reason),
            AttemptEnd::Unsent(reason) => {
                self.unsent += 1;
                LastFailure::Unsent(reason)
            }
            AttemptEnd::Lost(reason) | AttemptEnd::Doubtful(reason) => LastFailure::Lost(reason),
            AttemptEnd::Refused(refusal) => LastFailure::Refused(refusal),
            AttemptEnd::Quarantined(left) => LastFailure::Quarantined(left),
            AttemptEnd::Revoked => LastFailure::Revoked,
            AttemptEnd::Stopping => LastFailure::Stopping,
        });
    }

    /// Returns the reason of the last attempt's failure, for the log.
    fn reason(&self) -> &'static str {
        match self.last {
            Some(
                LastFailure::Rejected(reason)
                | LastFailure::Unsent(reason)
                | LastFailure::Lost(reason),
            ) => reason,
            Some(LastFailure::Failed) => "the endpoint failed",
            Some(LastFailure::Quarantined(_)) => "it crashed endpoints before",
            Some(LastFailure::Revoked) => "its API key was revoked",
            Some(LastFailure::Stopping) => "this host is stopping",
            Some(LastFailure::Refused(_)) | None => "no endpoint was found",
        }
    }

    /// Returns the final answer of a request whose deadline has passed.
    fn expire(self, may_have_run: u32, delay: Duration) -> Result<Box<Answer>, Denial> {
        match self.failure {
            Some(answer) => Ok(answer),
            None if may_have_run > 0 => Err(Denial::Silent),
            None => Err(not_run(Refusal::TooLate, delay)),
        }
    }

    /// Returns the final answer of a request that can't end before this host stops.
    fn interrupt(self, may_have_run: u32) -> Result<Box<Answer>, Denial> {
        match self.failure {
            Some(answer) => Ok(answer),
            None if may_have_run > 0 => Err(Denial::Unknown("this host is stopping")),
            None => Err(Denial::Stopping),
        }
    }

    /// Returns the final answer of a request that is not retried.
    ///
    /// "Not run" is only reported if every endpoint that received the request said so.
    fn give_up(self, may_have_run: u32, delay: Duration) -> Result<Box<Answer>, Denial> {
        if let Some(answer) = self.failure {
            return Ok(answer);
        }
        Err(match self.last {
            Some(LastFailure::Lost(reason)) => Denial::Unknown(reason),
            _ if may_have_run > 0 => Denial::Unknown("an earlier attempt may have run"),
            Some(LastFailure::Quarantined(left)) => Denial::Quarantined(left),
            Some(LastFailure::Revoked) => Denial::UnknownKey,
            Some(LastFailure::Stopping) => Denial::Stopping,
            Some(LastFailure::Refused(refusal)) => not_run(refusal, delay),
            Some(LastFailure::Rejected(reason) | LastFailure::Unsent(reason)) => {
                Denial::NotRun(reason, delay)
            }
            Some(LastFailure::Failed) | None => Denial::Unknown("the endpoint failed"),
        })
    }
}

fn not_run(refusal: Refusal, delay: Duration) -> Denial {
    match refusal {
        Refusal::NoEndpoint => Denial::NotRun("no endpoint can be used", delay),
        Refusal::Full => Denial::NotRun("all endpoints are full", delay),
        Refusal::TooLate => Denial::NotRun("no endpoint was free in time", delay),
        Refusal::Limited => Denial::NotRun("the endpoints' rate limits are used up", delay),
        Refusal::Resting => Denial::NotRun("all endpoints have asked for rest", delay),
        Refusal::Unreachable => Denial::Unreachable(delay),
    }
}

fn forward_answer(gateway: &Rc<Gateway>, answer: Answer, source: Source) -> Response<AnswerBody> {
    let mut headers = answer.parts.headers.clone();
    remove_forbidden_length(answer.parts.status, &mut headers);
    // Only hosts set it; the endpoint's own would be taken for this host's.
    forwarded_request::clear(&mut headers);
    if let Source::Host = source {
        tell_leaving(&answer, &mut headers);
    }
    let status = answer.parts.status;
    let mut response = Response::new(AnswerBody::relay(gateway, answer));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
