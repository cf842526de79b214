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
use super::answer::{AnswerBody, Escort, Relay};
use super::body::{BodyPrefix, CallerBody, KEYED_LIMIT, MAX_REPLAY_BODY, SharedBody};
use super::fault::Fault;
use super::keyed::{Claim, Claimed, Keeper};
use super::outcome::{OUTCOME, Outcome};
use super::service::ServiceState;
use super::{headers, keyed, route};
use crate::claims::ClaimRequest;
use crate::clock;
use crate::dispatch::{Call, Ending, Grant, Refusal};
use crate::trace::{CallTrace, Hop};
use crate::upstream::{Connection, Exchange, RequestBody, SendError};

/// The header field by which a backend server states that it did not run a call.
const NOT_RUN: HeaderName = HeaderName::from_static("cardamomvale-not-run");

/// The largest body of a backend server's rejection, in bytes, that is read so
/// that the connection can be reused.
const SHED_LIMIT: usize = 16 * 1024;

/// A call whose head has been parsed and checked, ready to be sent to an endpoint.
struct Plan {
    service: ServiceKey,
    state: Arc<ServiceState>,
    method: Method,
    uri: Uri,
    fields: HeaderMap,
    caller: SocketAddr,
    deadline: Moment,
    key: Option<String>,
    trace: CallTrace,
    /// How long the call's idempotency key is remembered.
    keep: Duration,
}

/// Why one attempt to send a call failed.
struct Failed {
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
    let (plan, limit) = match plan(edge, parts, caller) {
        Ok(planned) => planned,
        Err(fault) => return refuse(fault),
    };
    let result = run(edge, &plan, incoming, limit).await;
    let outcome = match &result {
        Ok(_) => Outcome::Complete,
        Err(fault) => fault.outcome(),
    };
    plan.state.answered(outcome, started.elapsed());
    plan.trace.note("cardamomvale.outcome", outcome.name());
    let mut response = result.unwrap_or_else(refuse);
    let status = i64::from(response.status().as_u16());
    plan.trace.note("http.response.status_code", status);
    response.body_mut().keep_trace(plan.trace);
    response
}

/// Counts a fault by its reason and returns the answer that states the reason.
fn refuse(fault: Fault) -> Response<AnswerBody> {
    metrics::counter!("cardamomvale_faults_total", "reason" => fault.name()).increment(1);
    fault.into_response()
}

/// Parses the head of a request, and returns the call and the limit of its body in bytes.
fn plan(edge: &Edge, parts: Parts, caller: SocketAddr) -> Result<(Plan, u64), Fault> {
    let arrived = clock::now();
    let config = Arc::clone(&edge.config.borrow());
    let target = route::target(&parts, &config)?;
    let service = target.service;
    let allowed = route::time_allowed(&parts.headers, service)?;
    let key = route::key(&parts)?;
    let trace = edge.tracing.begin(&parts.headers);
    if trace.is_on() {
        trace.note("cardamomvale.service", service.name.clone());
        trace.note("http.request.method", parts.method.to_string());
    }
    let plan = Plan {
        service: service.key(),
        state: edge.services.of(service.key(), &service.name),
        uri: target.uri,
        caller,
        deadline: arrived + allowed,
        keep: Duration::from_secs(target.service.key_seconds),
        method: parts.method,
        fields: parts.headers,
        key,
        trace,
    };
    plan.state.earn_retry(service.retry_percent);
    Ok((plan, service.body_limit))
}

async fn run(
    edge: &Arc<Edge>,
    plan: &Plan,
    incoming: Incoming,
    limit: u64,
) -> Result<Response<AnswerBody>, Fault> {
    let body = CallerBody::new(incoming, limit)?;
    match &plan.key {
        Some(key) => keyed_call(edge, plan, body, key.clone()).await,
        None => {
            let body = gather(body, MAX_REPLAY_BODY, plan.deadline).await?;
            attempts(edge, plan, body, None).await
        }
    }
}

/// Claims the call's idempotency key, and sends the call if the claim was granted.
async fn keyed_call(
    edge: &Arc<Edge>,
    plan: &Plan,
    body: CallerBody,
    key: String,
) -> Result<Response<AnswerBody>, Fault> {
    let body = gather(body, KEYED_LIMIT, plan.deadline).await?;
    if body.rest.is_some() {
        return Err(Fault::KeyedTooLarge(KEYED_LIMIT));
    }
    let request = ClaimRequest {
        service: plan.service,
        key,
        digest: keyed::digest(plan.service, &plan.method, &plan.uri, &body.start),
        ttl: plan.keep,
        deadline: plan.deadline,
    };
    let hop = plan.trace.inner("claim");
    let claimed = keyed::claim(edge.claims.get(), request, plan.deadline).await;
    drop(hop);
    match claimed? {
        Claimed::Mine(claim) => attempts(edge, plan, body, Some(claim)).await,
        Claimed::Before(response) => Ok(*response),
    }
}

/// Reads the body before a slot is acquired, until its end or until more than
/// `most` bytes are held.
async fn gather(body: CallerBody, most: usize, deadline: Moment) -> Result<BodyPrefix, Fault> {
    if body.is_end() {
        return Ok(BodyPrefix {
            start: Bytes::new(),
            rest: None,
        });
    }
    let left = clock::now().until(deadline);
    match tokio::time::timeout(left, body.read_prefix(most)).await {
        Ok(gathered) => Ok(gathered?),
        Err(_) => Err(Fault::Refused(Refusal::Expired)),
    }
}

/// Sends the call until an endpoint answers, or until no retry is allowed.
async fn attempts(
    edge: &Arc<Edge>,
    plan: &Plan,
    body: BodyPrefix,
    mut claim: Option<Claim>,
) -> Result<Response<AnswerBody>, Fault> {
    let mut bodies = Bodies::new(body);
    let mut call = Call {
        service: plan.service,
        deadline: plan.deadline,
        tried: Vec::new(),
    };
    let mut earlier = None;
    loop {
        let failed = match attempt(edge, plan, &call, bodies.next(), &mut claim).await {
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
        let fault = worse(earlier.take(), failed);
        match endpoint {
            Some(endpoint) if plan.state.allow_retry(retry) => call.tried.push(endpoint),
            _ => {
                if let Some(claim) = claim {
                    claim.failed(fault.outcome());
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
fn worse(earlier: Option<Fault>, failed: Failed) -> Fault {
    match earlier {
        Some(earlier) if earlier.outcome() == Outcome::Unknown => earlier,
        Some(earlier) if failed.endpoint.is_none() => earlier,
        _ => failed.fault,
    }
}

/// Sends the call once, to one endpoint, and checks the head of the answer.
async fn attempt(
    edge: &Arc<Edge>,
    plan: &Plan,
    call: &Call,
    body: RequestBody,
    claim: &mut Option<Claim>,
) -> Result<Response<AnswerBody>, Failed> {
    let (grant, connection) = place(edge, plan, call).await?;
    if let Some(claim) = claim {
        claim.sending();
    }
    let endpoint = grant.endpoint;
    let (request, hop) = plan.request(grant.address, body);
    let pool = Arc::clone(&edge.pool);
    let mut exchange = Exchange::new(pool, connection, grant, plan.deadline);
    match exchange.send(request).await {
        Ok(response) => judge(exchange, response, plan, claim, hop).await,
        Err(e) => Err(Failed::sending(e, endpoint)),
    }
}

/// Acquires a slot and a connection, both valid at the moment of sending.
async fn place(edge: &Arc<Edge>, plan: &Plan, call: &Call) -> Result<(Grant, Connection), Failed> {
    loop {
        let hop = plan.trace.inner("queue");
        let granted = edge.dispatcher.acquire(call).await;
        drop(hop);
        let grant = granted.map_err(|refusal| Failed::unplaced(Fault::Refused(refusal)))?;
        let endpoint = grant.endpoint;
        let Ok(connection) = edge.pool.take(endpoint, grant.address).await else {
            grant.finish(Ending::Unreachable);
            return Err(Failed {
                fault: Fault::Unreachable,
                endpoint: Some(endpoint),
                failure: Failure::NotRun,
            });
        };
        if clock::now() >= call.deadline {
            edge.pool.put(connection);
            return Err(Failed::unplaced(Fault::Refused(Refusal::Expired)));
        }
        if grant.may_send() {
            return Ok((grant, connection));
        }
        edge.pool.put(connection);
    }
}

/// Decides by the head of an endpoint's answer whether it is relayed to the caller.
async fn judge(
    exchange: Exchange,
    response: Response<Incoming>,
    plan: &Plan,
    claim: &mut Option<Claim>,
    hop: Hop,
) -> Result<Response<AnswerBody>, Failed> {
    let (mut parts, mut incoming) = response.into_parts();
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && parts.headers.contains_key(NOT_RUN) {
        let endpoint = exchange.endpoint();
        exchange.drain_rejection(&mut incoming, SHED_LIMIT).await;
        return Err(Failed {
            fault: Fault::Shed(parts.headers.remove(RETRY_AFTER)),
            endpoint,
            failure: Failure::NotRun,
        });
    }
    if !is_bounded(&parts.headers, &incoming) || parts.status.is_informational() {
        return Err(Failed {
            fault: Fault::Endless,
            endpoint: None,
            failure: Failure::MayHaveRun,
        });
    }
    headers::give_back(&mut parts.headers);
    parts.headers.insert(OUTCOME, Outcome::Complete.value());
    let keeper = claim.take().map(|claim| Keeper::new(claim, &parts));
    let escort = Escort {
        keeper,
        hop,
        service: Arc::clone(&plan.state),
    };
    let relay = Relay::new(exchange, incoming, plan.deadline, escort);
    Ok(Response::from_parts(parts, AnswerBody::relay(relay)))
}

/// Returns whether a truncated answer can be detected: the body has a known
/// length or chunked coding.
///
/// An answer that is delimited by the end of its connection looks complete
/// wherever it is truncated.
fn is_bounded(fields: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || fields.contains_key(TRANSFER_ENCODING)
}

/// Creates the request body of each attempt to send a call.
struct Bodies {
    start: Bytes,
    rest: Option<CallerBody>,
    replayable: bool,
}

impl Bodies {
    fn new(body: BodyPrefix) -> Bodies {
        Bodies {
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

impl Plan {
    fn request(&self, server: SocketAddr, body: RequestBody) -> (Request<RequestBody>, Hop) {
        let is_empty = body.is_end_stream();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut fields = self.fields.clone();
        // Some servers reject a POST without a Content-Length field.
        if is_empty && [Method::POST, Method::PUT, Method::PATCH].contains(&self.method) {
            fields.insert(CONTENT_LENGTH, HeaderValue::from(0));
        }
        headers::forward(&mut fields, self.caller, server);
        headers::set_deadline(&mut fields, clock::now().until(self.deadline));
        let hop = self.trace.onward("backend", &mut fields);
        if self.trace.is_on() {
            hop.note("server.address", server.to_string());
        }
        *request.headers_mut() = fields;
        (request, hop)
    }
}

impl Failed {
    fn unplaced(fault: Fault) -> Failed {
        Failed {
            fault,
            endpoint: None,
            failure: Failure::NotRun,
        }
    }

    fn sending(error: SendError, endpoint: EndpointKey) -> Failed {
        let (fault, failure) = match error {
            SendError::Unsent => (Fault::Unreachable, Failure::NotRun),
            SendError::Expired => (Fault::Silent, Failure::MayHaveRun),
            SendError::Broken(_) => (Fault::Broken, Failure::MayHaveRun),
            SendError::Body(e) => (Fault::BodyCutLate(e), Failure::MayHaveRun),
        };
        Failed {
            fault,
            endpoint: Some(endpoint),
            failure,
        }
    }
}
