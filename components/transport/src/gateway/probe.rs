//! Probes the health and load of endpoints, and selects an endpoint for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts as AnswerParts;
use hyper::{HeaderMap, Request, StatusCode};
use protocol::neighbour::{NeighbourMessage, ProbeLoan};
use state::fleet::load_sample::LoadSample;
use state::fleet::outcome::Outcome;
use state::fleet::placement::{self, Context, Refusal, Step};
use state::fleet::rate_limit::Source;
use state::fleet::token_buckets::Quota;
use state::fleet::{AnswerKind, HostProbeBudget, Placement, Registry};
use state::{EndpointKey, Moment, RegionKey};
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Attempt;
use super::wait_queue::QueueEntry;
use crate::clock;
use crate::upstream::{Connection, RequestBody};

/// Time limit for a probe.
///
/// A probe takes 1 ms to 8 ms. A lost packet would be retransmitted only
/// after 200 ms, and another endpoint is probed long before.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Largest body of a probe's answer, in bytes; a larger one is no health report.
const MAX_PROBE_BYTES: usize = 16 * 1024;

/// How an endpoint failed to answer a probe.
#[derive(Clone, Copy)]
enum Unanswered {
    /// No connection could be opened.
    Unconnected,
    /// The connection ended, or the answer was no valid one.
    Closed,
    /// Nothing came in time.
    Silent,
}

impl Unanswered {
    /// Returns the name under which the failure is logged.
    fn name(self) -> &'static str {
        match self {
            Unanswered::Unconnected => "unconnected",
            Unanswered::Closed => "closed",
            Unanswered::Silent => "silent",
        }
    }
}

/// Connections that carried a probe and haven't been used for a request.
struct ProbedConnections<'a> {
    gateway: &'a Gateway,
    connections: BTreeMap<EndpointKey, (Connection, HeaderMap)>,
}

impl ProbedConnections<'_> {
    /// Returns the connections to the pool.
    fn return_to_pool(&mut self) {
        for (connection, headers) in std::mem::take(&mut self.connections).into_values() {
            self.gateway.keep_connection(connection, &headers);
        }
    }
}

impl Drop for ProbedConnections<'_> {
    fn drop(&mut self) {
        self.return_to_pool();
    }
}

impl Gateway {
    /// Selects an endpoint for a request, and returns a connection to it.
    ///
    /// The request uses the connection that carried the probe, because that
    /// connection is known to work, whereas an idle one may be closed.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected, or [`Refusal::Unreachable`] if another host
    /// should serve it.
    pub(super) async fn select_endpoint(
        &self,
        attempt: &Attempt<'_>,
    ) -> Result<(EndpointKey, Connection), Refusal> {
        let Attempt {
            placement, request, ..
        } = attempt;
        let regions = &attempt.route.regions;
        self.subsets
            .note_request(request.service, request.service_time, clock::now());
        let mut probed = ProbedConnections {
            gateway: self,
            connections: BTreeMap::new(),
        };
        let mut entry = self.join_queue(request);
        loop {
            if self.is_out_of_reach(attempt) {
                return Err(Refusal::Unreachable);
            }
            let is_first = entry.as_ref().is_none_or(QueueEntry::is_first);
            let yields_for = entry.as_ref().and_then(QueueEntry::yields_for);
            let step = yields_for.map_or_else(
                || self.step(&mut placement.borrow_mut(), request, regions, is_first),
                Step::Wait,
            );
            match step {
                Step::Probe(key) => match self.probe(key).await {
                    Some(answered) => {
                        probed.connections.insert(key, answered);
                    }
                    None => placement.borrow_mut().note_unanswered(key),
                },
                Step::Place(key) => {
                    let given = probed.connections.remove(&key).map(|(c, _)| c);
                    match self.connect(key, given).await {
                        Some(connection) => {
                            self.note_placed(request);
                            return Ok((key, connection));
                        }
                        None => placement.borrow_mut().note_unanswered(key),
                    }
                }
                Step::Wait(_) | Step::Refuse(_) if self.reaches_few(attempt) => {
                    return Err(Refusal::Unreachable);
                }
                Step::Wait(time) => {
                    probed.return_to_pool();
                    let entry = entry.get_or_insert_with(|| self.enqueue(request));
                    entry.wait(time).await;
                }
                Step::Refuse(refusal) => {
                    self.note_refused(request);
                    return Err(refusal);
                }
            }
        }
    }

    /// Returns whether a request has to be served by another host, or rejected at once.
    ///
    /// Without another host this one goes on trying, until it is sure that none of the
    /// endpoints answers.
    fn is_out_of_reach(&self, attempt: &Attempt<'_>) -> bool {
        let service = attempt.request.service;
        let unanswered = attempt.placement.borrow().unanswered();
        self.needs_helper(service, unanswered)
            && (attempt.origin.is_forwarded
                || self.has_helper(attempt)
                || self.is_surely_isolated(service))
    }

    /// Returns whether another host, which reaches more of the service's endpoints, should
    /// serve a request rather than let it wait here.
    fn reaches_few(&self, attempt: &Attempt<'_>) -> bool {
        let registry = self.registry.borrow();
        let few = registry.reaches_few(attempt.request.service, clock::now());
        drop(registry);
        few && !attempt.origin.is_forwarded && self.has_helper(attempt)
    }

    /// Runs `act` on the probe budget, with what this host has earned until now.
    fn with_probe_budget<R>(&self, act: impl FnOnce(&mut HostProbeBudget, Moment) -> R) -> R {
        let rate = self.live.borrow().bounds.ask_rate;
        let endpoints = self.registry.borrow().len();
        let now = clock::now();
        let mut budget = self.probe_budget.borrow_mut();
        budget.refill(rate, endpoints, self.probe_share(), now);
        act(&mut budget, now)
    }

    /// Returns whether the probe rate limit allows one more probe.
    pub(super) fn may_probe(&self) -> bool {
        let (available, loan_request) =
            self.with_probe_budget(|budget, now| (budget.is_available(), budget.borrow(now)));
        if let Some(request_id) = loan_request {
            self.borrow_probes(request_id);
        }
        available
    }

    /// Asks a random neighbour for unused probe budget; `request_id` identifies the request.
    fn borrow_probes(&self, request_id: u32) {
        let draw = self.random_u64();
        let neighbour = self.neighbours.borrow().any(draw);
        if let Some(neighbour) = neighbour {
            self.send(neighbour, &NeighbourMessage::Borrow(request_id));
        }
    }

    /// Transfers unused probe budget to the neighbour `to`, in reply to its request `request_id`.
    pub(super) fn lend_probes(&self, to: SocketAddr, request_id: u32) {
        let probes = self.with_probe_budget(|budget, _| budget.lend());
        if probes > 0 {
            log::debug!("E0140 probes-lent to={to} questions={probes}");
            self.send(
                to,
                &NeighbourMessage::Lend(ProbeLoan { request_id, probes }),
            );
        }
    }

    fn step(
        &self,
        placement: &mut Placement,
        request: &placement::Request,
        regions: &BTreeSet<RegionKey>,
        is_first: bool,
    ) -> Step {
        let may_probe = self.may_probe();
        let versions = self.version_rule(request);
        let canary = self.canary_target(request);
        let config = self.config.borrow();
        let plan = config
            .catalogue
            .as_ref()
            .and_then(|c| c.services.get(&request.service));
        let mut registry = self.registry.borrow_mut();
        let now = clock::now();
        registry.expire_lapsed(now);
        let pool = self.pool.borrow();
        let mut context = Context {
            registry: &mut registry,
            is_connected: &|key| pool.holds(key, now),
            is_first,
            may_probe,
            leaving_centres: &config.leaving_centres,
            topology: &self.settings.topology,
            regions,
            versions: &versions,
            cold: Quota::cold(plan.map_or(0.0, |p| p.cold_rate), self.share.get()),
        };
        let mut draw = || self.random_fraction();
        let canary_step =
            canary.and_then(|target| placement.next_canary(&mut context, request, &target, now));
        canary_step.unwrap_or_else(|| placement.next(&mut context, request, now, &mut draw))
    }

    /// Returns a connection to an endpoint: the given one, an idle one or a new one.
    ///
    /// Returns `None` if the endpoint is unknown or connecting fails.
    async fn connect(&self, key: EndpointKey, given: Option<Connection>) -> Option<Connection> {
        let idle = || self.pool.borrow_mut().take(key, clock::now());
        if let Some(connection) = given.or_else(idle) {
            return Some(connection);
        }
        if self.are_links_failing(key) {
            return self.probe_anew(key).await.map(|(connection, _)| connection);
        }
        self.open(key).await
    }

    /// Returns whether an endpoint of the same service has lately failed to answer this host.
    ///
    /// Something between them may accept new connections and reset them once a request has
    /// been sent. A probe finds that out; the request might not be sent again.
    fn are_links_failing(&self, key: EndpointKey) -> bool {
        let registry = self.registry.borrow();
        let service = registry.get(key).map(|s| s.endpoint.service);
        let isolation = service.and_then(|s| registry.isolation(s));
        isolation.is_some_and(|i| i.has_silent(clock::now()))
    }

    /// Opens a connection to an endpoint; returns `None` if it is unknown or that fails.
    async fn open(&self, key: EndpointKey) -> Option<Connection> {
        let address = self.registry.borrow().get(key)?.endpoint.address;
        match Connection::open_from(self.settings.source, key, address).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                log::debug!("E0120 endpoint-unreachable address={address} error={error:?}");
                self.record_unanswered(key, Unanswered::Unconnected);
                None
            }
        }
    }

    /// Probes an endpoint; returns the connection and the answer's headers, or
    /// `None` if there is no valid answer.
    pub(super) async fn probe(&self, key: EndpointKey) -> Option<(Connection, HeaderMap)> {
        let kept = self.pool.borrow_mut().take(key, clock::now());
        if kept.is_some() {
            if let Ok(Some(answered)) = timeout(PROBE_TIMEOUT, self.probe_on(key, kept)).await {
                return Some(answered);
            }
            // The other end may have dropped the idle connection; then it has most
            // likely dropped the endpoint's other idle connections too.
            self.pool.borrow_mut().drop_all(key);
        }
        self.probe_anew(key).await
    }

    /// Probes an endpoint on a new connection; returns the connection and the answer's
    /// headers, or `None` if there is no valid answer.
    pub(super) async fn probe_anew(&self, key: EndpointKey) -> Option<(Connection, HeaderMap)> {
        let how = match timeout(PROBE_TIMEOUT, self.probe_on(key, None)).await {
            Ok(Some(answered)) => return Some(answered),
            Ok(None) => Unanswered::Closed,
            Err(_) => Unanswered::Silent,
        };
        self.record_unanswered(key, how);
        None
    }

    async fn probe_on(
        &self,
        key: EndpointKey,
        kept: Option<Connection>,
    ) -> Option<(Connection, HeaderMap)> {
        self.spend_probe();
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.open(key).await?,
        };
        let (parts, incoming) = self.send_probe(&mut connection).await?;
        self.read_probe(&mut connection, &parts, incoming).await?;
        Some((connection, parts.headers))
    }

    /// Takes one probe from this host's budget.
    pub(super) fn spend_probe(&self) {
        self.probe_budget.borrow_mut().spend();
    }

    /// Sends a probe on a connection; returns the head of the next answer, and its body.
    pub(super) async fn send_probe(
        &self,
        connection: &mut Connection,
    ) -> Option<(AnswerParts, Incoming)> {
        let request = self.probe_request(connection.endpoint)?;
        let answer = connection.send(request).await.ok()?;
        Some(answer.into_parts())
    }

    /// Reads the answer to a probe and records what it says; returns `None` if it is none.
    ///
    /// A late copy of an answer to a request must not pass for one: the true answer would be
    /// taken for that to the next request on the connection.
    pub(super) async fn read_probe(
        &self,
        connection: &mut Connection,
        parts: &AnswerParts,
        mut incoming: Incoming,
    ) -> Option<AnswerKind> {
        let key = connection.endpoint;
        let Some(kind) = platform::headers::health_answer(parts.status, &parts.headers) else {
            let status = parts.status.as_u16();
            log::debug!(
                "E0166 probe-answer-foreign endpoint={:016x} status={status}",
                key.0
            );
            return None;
        };
        let mut size = 0;
        while let Some(chunk) = connection.next_chunk(&mut incoming).await {
            size += chunk.ok()?.len();
            if size > MAX_PROBE_BYTES {
                return None;
            }
        }
        connection.history.note(kind);
        let healthy = parts.status == StatusCode::OK;
        if !self.record_probe(key, healthy, &parts.headers) {
            return None;
        }
        self.note_signals(key, parts.status, &parts.headers);
        Some(kind)
    }

    fn probe_request(&self, key: EndpointKey) -> Option<Request<RequestBody>> {
        let registry = self.registry.borrow();
        let endpoint = &registry.get(key)?.endpoint;
        let config = self.config.borrow();
        let services = &config.catalogue.as_ref()?.services;
        let path = &services.get(&endpoint.service)?.health;
        let mut request = Request::new(RequestBody::Buffered(bytes::Bytes::new()));
        *request.uri_mut() = path.parse().ok()?;
        let host = HeaderValue::try_from(endpoint.address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        Some(request)
    }

    /// Records a probe's answer; returns false if another endpoint has taken
    /// over the address.
    fn record_probe(&self, key: EndpointKey, healthy: bool, headers: &HeaderMap) -> bool {
        let now = clock::now();
        let mut registry = self.registry.borrow_mut();
        let Some(state) = registry.get_mut(key) else {
            return false;
        };
        let other = platform::headers::instance_id(headers)
            .is_some_and(|name| name != state.endpoint.instance);
        if other {
            log::debug!(
                "E0121 address-taken-over instance={}",
                state.endpoint.instance
            );
            return false;
        }
        state.note_cold(platform::headers::warmup_remaining(headers), now);
        let reported = platform::headers::load_report(headers, healthy, now);
        state
            .set_sample(reported.unwrap_or_else(|| {
                assumed_load(state.running, state.endpoint.slots, healthy, now)
            }));
        let service = state.endpoint.service;
        let was_isolated = registry.is_isolated(service);
        registry.note_answer(key, now);
        drop(registry);
        self.isolation_noted(service, was_isolated, "probe");
        self.observe_probe(key);
        self.record_limit(key, headers, Source::Probe);
        true
    }

    /// Records the load that an endpoint reports with an answer.
    ///
    /// Wakes the first waiting request if the endpoint has room: the host whose
    /// request has just ended there learns of the room before any other host can
    /// probe.
    pub(super) fn record_load(&self, key: EndpointKey, headers: &HeaderMap) {
        self.record_limit(key, headers, Source::Request);
        let now = clock::now();
        let mut room = None;
        with_state(&mut self.registry.borrow_mut(), key, |state| {
            let healthy = state.sample.is_none_or(|l| l.healthy);
            if let Some(sample) = platform::headers::load_report(headers, healthy, now) {
                state.set_sample(sample);
                room = state.is_good(now).then_some(state.endpoint.service);
            }
        });
        if let Some(service) = room {
            self.wake_first(service);
        }
    }

    /// Records the outcome of a request at an endpoint.
    pub(super) fn record_outcome(&self, key: EndpointKey, outcome: Outcome) {
        self.record(key, outcome, "request");
    }

    /// Records that an endpoint didn't answer a probe.
    fn record_unanswered(&self, key: EndpointKey, how: Unanswered) {
        self.record(key, Outcome::Broken, how.name());
    }

    /// Records an outcome; `seen` names in the log how it was seen.
    fn record(&self, key: EndpointKey, outcome: Outcome, seen: &str) {
        let now = clock::now();
        let mut registry = self.registry.borrow_mut();
        let service = registry.get(key).map(|s| s.endpoint.service);
        let was_isolated = service.is_some_and(|s| registry.is_isolated(s));
        let is_avoided = registry.note_outcome(key, outcome, now);
        if is_avoided {
            let endpoint = registry.get(key).map(|s| &s.endpoint);
            let instance = endpoint.map(|e| e.instance.as_str());
            log::info!(
                "E0122 endpoint-avoided instance={} address={:?} outcome={outcome:?} seen={seen}",
                instance.unwrap_or_default(),
                endpoint.map(|e| e.address)
            );
        }
        drop(registry);
        let connected = seen != Unanswered::Unconnected.name();
        self.observe_outcome(key, outcome, is_avoided, connected);
        let Some(service) = service else {
            return;
        };
        self.isolation_noted(service, was_isolated, seen);
        if outcome == Outcome::Broken {
            self.check_after_failure(service);
        }
    }
}

fn with_state(
    registry: &mut Registry,
    key: EndpointKey,
    act: impl FnOnce(&mut state::fleet::EndpointState),
) {
    // The endpoint may have been removed in the meantime.
    if let Some(state) = registry.get_mut(key) {
        act(state);
    }
}

/// Returns the assumed load of an endpoint that doesn't report its load.
fn assumed_load(running: u32, slots: u32, healthy: bool, at: Moment) -> LoadSample {
    LoadSample {
        at,
        running,
        waiting: 0,
        slots,
        slowness: 100,
        healthy,
        reported: false,
    }
}
