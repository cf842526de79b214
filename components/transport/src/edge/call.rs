//! Handles one call, from the head of its request to the head of its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use state::retry::{Attempt, Failure};
use state::{EndpointKey, Moment, ServiceKey};

use super::Edge;
use super::answer::{AnswerBody, AnswerContext, RelayedBody};
use super::body::{BodyPrefix, CallerBody, MAX_KEYED_BODY, MAX_REPLAY_BODY, SharedBody};
use super::fault::Fault;
use super::keyed::{AnswerRecorder, Claim, Claimed};
use super::outcome::{OUTCOME_HEADER, Outcome};
use super::service::ServiceState;
use super::{headers, keyed, route};
use crate::claims::ClaimRequest;
use crate::clock;
use crate::dispatch::{Call, Ending, Grant, Refusal};
use crate::trace::{CallSpan, CallTrace};
use crate::upstream::{Connection, Exchange, RequestBody, SendError};

/// The header field by which a backend server states that it did not run a call.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("cardamomvale-not-run");

/// The largest body of a backend server's rejection, in bytes, that is read so
/// that the connection can be reused.
const MAX_REJECTION_BODY: usize = 16 * 1024;

/// A call whose head has been parsed and checked, ready to be sent to an endpoint.
struct PlannedCall {
    service: ServiceKey,
    state: Arc<ServiceState>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    caller: SocketAddr,
    deadline: Moment,
    key: Option<String>,
    trace: CallTrace,
    /// How long the call's idempotency key is remembered.
    key_ttl: Duration,
}

/// Why one attempt to send a call failed.
struct FailedAttempt {
    fault: Fault,
    endpoint: Option<EndpointKey>,
    failure: Failure,
}

/// Answers one call; every failure becomes an answer too.
pub async fn answer(
    edge: &Arc<Edge>,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> Response<AnswerBody> {
    let started = Instant::now();
    let (parts, incoming) = request.into_parts();
    let (plan, limit) = match plan_call(edge, parts, caller) {
        Ok(planned) => planned,
        Err(fault) => return fault_response(fault),
    };
    let result = run(edge, &plan, incoming, limit).await;
    let outcome = match &result {
        Ok(_) => Outcome::Complete,
        Err(fault) => fault.outcome(),
    };
    plan.state.count_call(outcome, started.elapsed());
    plan.trace
        .set_attribute("cardamomvale.outcome", outcome.name());
    let mut response = result.unwrap_or_else(fault_response);
    let status = i64::from(response.status().as_u16());
    plan.trace
        .set_attribute("http.response.status_code", status);
    response.body_mut().set_trace(plan.trace);
    response
}

/// Counts a fault by its reason and returns the answer that states the reason.
fn fault_response(fault: Fault) -> Response<AnswerBody> {
    metrics::counter!("cardamomvale_faults_total", "reason" => fault.name()).increment(1);
    fault.into_response()
}

/// Parses the head of a request, and returns the call and the limit of its body in bytes.
fn plan_call(edge: &Edge, parts: Parts, caller: SocketAddr) -> Result<(PlannedCall, u64), Fault> {
    let arrived = clock::now();
    let config = Arc::clone(&edge.config.borrow());
    let target = route::target(&parts, &config)?;
    let service = target.service;
    let allowed = route::time_allowed(&parts.headers, service)?;
    let key = route::key(&parts)?;
    let trace = edge.tracing.start_call(&parts.headers);
    if trace.is_sampled() {
        trace.set_attribute("cardamomvale.service", service.name.clone());
        trace.set_attribute("http.request.method", parts.method.to_string());
    }
    let plan = PlannedCall {
        service: service.key(),
        state: edge.services.get(service.key(), &service.name),
        uri: target.uri,
        caller,
        deadline: arrived + allowed,
        key_ttl: Duration::from_secs(target.service.key_seconds),
        method: parts.method,
        headers: parts.headers,
        key,
        trace,
    };
    plan.state.earn_retry(service.retry_percent);
    Ok((plan, service.body_limit))
}

async fn run(
    edge: &Arc<Edge>,
    plan: &PlannedCall,
    incoming: Incoming,
    limit: u64,
) -> Result<Response<AnswerBody>, Fault> {
    let body = CallerBody::new(incoming, limit)?;
    match &plan.key {
        Some(key) => keyed_call(edge, plan, body, key.clone()).await,
        None => {
            let body = read_body(body, MAX_REPLAY_BODY, plan.deadline).await?;
            send_with_retries(edge, plan, body, None).await
        }
    }
}

/// Claims the call's idempotency key, and sends the call if the claim was granted.
async fn keyed_call(
    edge: &Arc<Edge>,
    plan: &PlannedCall,
    body: CallerBody,
    key: String,
) -> Result<Response<AnswerBody>, Fault> {
    let body = read_body(body, MAX_KEYED_BODY, plan.deadline).await?;
    if body.rest.is_some() {
        return Err(Fault::KeyedTooLarge(MAX_KEYED_BODY));
    }
    let request = ClaimRequest {
        service: plan.service,
        key,
        digest: keyed::digest(plan.service, &plan.method, &plan.uri, &body.start),
        ttl: plan.key_ttl,
        deadline: plan.deadline,
    };
    let span = plan.trace.internal_span("claim");
    let claimed = keyed::claim(edge.claims.get(), request, plan.deadline).await;
    drop(span);
    match claimed? {
        Claimed::Granted(claim) => send_with_retries(edge, plan, body, Some(claim)).await,
        Claimed::Answered(response) => Ok(*response),
    }
}

/// Reads the body before a slot is acquired, until its end or until more than
/// `max_bytes` are held.
async fn read_body(
    body: CallerBody,
    max_bytes: usize,
    deadline: Moment,
) -> Result<BodyPrefix, Fault> {
    if body.is_end() {
        return Ok(BodyPrefix {
            start: Bytes::new(),
            rest: None,
        });
    }
    let left = clock::now().until(deadline);
    match tokio::time::timeout(left, body.read_prefix(max_bytes)).await {
        Ok(prefix) => Ok(prefix?),
        Err(_) => Err(Fault::Refused(Refusal::Expired)),
    }
}

/// Sends the call until an endpoint answers, or until no retry is allowed.
async fn send_with_retries(
    edge: &Arc<Edge>,
    plan: &PlannedCall,
    body: BodyPrefix,
    mut claim: Option<Claim>,
) -> Result<Response<AnswerBody>, Fault> {
    let mut bodies = AttemptBodies::new(body);
    let mut call = Call {
        service: plan.service,
        deadline: plan.deadline,
        tried: Vec::new(),
    };
    let mut earlier = None;
    loop {
        let failed = match send_once(edge, plan, &call, bodies.next(), &mut claim).await {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        let retry = Attempt {
            failure: failed.failure,
            idempotent: plan.method.is_idempotent(),
            replayable: bodies.replayable,
            expired: clock::now() >= plan.deadline,
        };
        let endpoint = failed.endpoint;
        let fault = reported_fault(earlier.take(), failed);
        match endpoint {
            Some(endpoint) if plan.state.allow_retry(retry) => call.tried.push(endpoint),
            _ => {
                if let Some(claim) = claim {
                    claim.end_unanswered(fault.outcome());
                }
                return Err(fault);
            }
        }
        earlier = Some(fault);
    }
}

/// Returns the fault that the caller gets after one more failed attempt.
///
/// If an earlier attempt may have run, a later one that did not run must not
/// turn the answer into "not run". If the retry got no slot, the earlier
/// attempt's fault says more about the cause.
fn reported_fault(earlier: Option<Fault>, failed: FailedAttempt) -> Fault {
    match earlier {
        Some(earlier) if earlier.outcome() == Outcome::Unknown => earlier,
        Some(earlier) if failed.endpoint.is_none() => earlier,
        _ => failed.fault,
    }
}

/// Sends the call once, to one endpoint, and checks the head of the answer.
async fn send_once(
    edge: &Arc<Edge>,
    plan: &PlannedCall,
    call: &Call,
    body: RequestBody,
    claim: &mut Option<Claim>,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let (grant, connection) = acquire_slot(edge, plan, call).await?;
    if let Some(claim) = claim {
        claim.mark_sent();
    }
    let endpoint = grant.endpoint;
    let (request, span) = plan.request(grant.address, body);
    let pool = Arc::clone(&edge.pool);
    let mut exchange = Exchange::new(pool, connection, grant, plan.deadline);
    match exchange.send(request).await {
        Ok(response) => handle_head(exchange, response, plan, claim, span).await,
        Err(e) => Err(FailedAttempt::from_send_error(e, endpoint)),
    }
}

/// The least time that must be left for a call to be sent.
///
/// Backend servers get the time left in whole milliseconds. One that gets 0 rejects the call as
/// not run, as an overloaded one does, and would get fewer calls for no reason.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// Acquires a slot and a connection, both valid at the moment of sending.
async fn acquire_slot(
    edge: &Arc<Edge>,
    plan: &PlannedCall,
    call: &Call,
) -> Result<(Grant, Connection), FailedAttempt> {
    loop {
        let span = plan.trace.internal_span("queue");
        let granted = edge.dispatcher.acquire(call).await;
        drop(span);
        let grant =
            granted.map_err(|refusal| FailedAttempt::without_slot(Fault::Refused(refusal)))?;
        let endpoint = grant.endpoint;
        let Ok(connection) = edge.pool.take(endpoint, grant.address).await else {
            grant.finish(Ending::Unreachable);
            return Err(FailedAttempt {
                fault: Fault::Unreachable,
                endpoint: Some(endpoint),
                failure: Failure::NotRun,
            });
        };
        if clock::now().until(call.deadline) < MIN_TIME_LEFT {
            edge.pool.put(connection);
            return Err(FailedAttempt::without_slot(Fault::Refused(
                Refusal::Expired,
            )));
        }
        if grant.may_send() {
            return Ok((grant, connection));
        }
        edge.pool.put(connection);
    }
}

/// Decides by the head of an endpoint's answer whether it is relayed to the caller.
async fn handle_head(
    exchange: Exchange,
    response: Response<Incoming>,
    plan: &PlannedCall,
    claim: &mut Option<Claim>,
    span: CallSpan,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let (mut parts, mut incoming) = response.into_parts();
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && parts.headers.contains_key(NOT_RUN_HEADER)
    {
        let endpoint = exchange.endpoint();
        exchange
            .drain_rejection(&mut incoming, MAX_REJECTION_BODY)
            .await;
        return Err(FailedAttempt {
            fault: Fault::Shed(parts.headers.remove(RETRY_AFTER)),
            endpoint,
            failure: Failure::NotRun,
        });
    }
    if !is_end_detectable(&parts.headers, &incoming) {
        return Err(FailedAttempt {
            fault: Fault::Endless,
            endpoint: None,
            failure: Failure::MayHaveRun,
        });
    }
    headers::prepare_answer(parts.status, &mut parts.headers);
    parts
        .headers
        .insert(OUTCOME_HEADER, Outcome::Complete.value());
    let recorder = claim.take().map(|claim| AnswerRecorder::new(claim, &parts));
    let context = AnswerContext {
        recorder,
        span,
        service: Arc::clone(&plan.state),
    };
    let body = RelayedBody::new(exchange, incoming, plan.deadline, context);
    Ok(Response::from_parts(parts, AnswerBody::relayed(body)))
}

/// Returns whether a truncated answer can be detected: the body has a known
/// length or chunked coding.
///
/// An answer that is delimited by the end of its connection looks complete
/// wherever it is truncated.
fn is_end_detectable(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING)
}

/// Creates the request body of each attempt to send a call.
struct AttemptBodies {
    start: Bytes,
    rest: Option<CallerBody>,
    replayable: bool,
}

impl AttemptBodies {
    fn new(body: BodyPrefix) -> AttemptBodies {
        AttemptBodies {
            start: body.start,
            replayable: body.rest.is_none(),
            rest: body.rest,
        }
    }

    fn next(&mut self) -> RequestBody {
        match self.rest.take() {
            Some(rest) => RequestBody::Streamed(self.start.clone(), SharedBody::new(rest)),
            None => RequestBody::Buffered(self.start.clone()),
        }
    }
}

impl PlannedCall {
    fn request(&self, server: SocketAddr, body: RequestBody) -> (Request<RequestBody>, CallSpan) {
        let is_empty = body.is_end_stream();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        // Some servers reject a POST without a Content-Length field.
        if is_empty && [Method::POST, Method::PUT, Method::PATCH].contains(&self.method) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(0));
        }
        headers::prepare_request(&mut headers, self.caller, server);
        headers::set_deadline(&mut headers, clock::now().until(self.deadline));
        let span = self.trace.client_span("backend", &mut headers);
        if self.trace.is_sampled() {
            span.set_attribute("server.address", server.to_string());
        }
        *request.headers_mut() = headers;
        (request, span)
    }
}

impl FailedAttempt {
    fn without_slot(fault: Fault) -> FailedAttempt {
        FailedAttempt {
            fault,
            endpoint: None,
            failure: Failure::NotRun,
        }
    }

    fn from_send_error(error: SendError, endpoint: EndpointKey) -> FailedAttempt {
        let (fault, failure) = match error {
            SendError::Unsent => (Fault::Unreachable, Failure::NotRun),
            SendError::Expired => (Fault::Silent, Failure::MayHaveRun),
            SendError::Broken(_) | SendError::Invalid(_) => (Fault::Broken, Failure::MayHaveRun),
            SendError::Body(e) => (Fault::BodyCutLate(e), Failure::MayHaveRun),
        };
        FailedAttempt {
            fault,
            endpoint: Some(endpoint),
            failure,
        }
    }
}
