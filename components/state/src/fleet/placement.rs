//! Decides what happens next to one request: probe an endpoint, wait, place it or reject
//! it.
//!
//! An endpoint is called good while a fresh load sample predicts a slowdown of at most
//! [`GOOD_SLOWDOWN`]. The design assumes that the speed of endpoints changes several
//! times a second: an endpoint that was good at its last load sample is slow now in a
//! quarter of the cases, and a request that is placed on a slow one takes four times as
//! long. Endpoints are therefore probed just before a request is placed, one after the
//! other, and the first good one is taken. On average this takes less than two probes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::{key, tag};

use super::endpoint::EndpointState;
use super::load_sample::GOOD_SLOWDOWN;
use super::registry::Registry;
use super::rollout::VersionRule;
use super::token_buckets::Quota;
use crate::topology::{Distance, Topology};
use crate::{AccountKey, DataCentreKey, EndpointKey, FlowKey, Moment, RegionKey, ServiceKey};

/// The maximum number of endpoints that one request probes in one round.
///
/// With a third of the endpoints disturbed, all six are slow once in 700 rounds.
const MAX_PROBES: usize = 6;

/// How long a request waits before it probes again when all probed endpoints were slow.
///
/// Disturbances change every 300 ms, and waiting costs nothing as long as the answer
/// still comes within the objective.
const REPROBE_DELAY: Duration = Duration::from_millis(40);

/// The factor on the expected service time within which work usually completes.
///
/// Service times vary by about a third around their mean.
const SERVICE_TIME_MARGIN: f64 = 1.5;

/// The fraction of the expected service time below which placing a request is pointless.
///
/// Hardly any request completes in half of its expected service time.
const MIN_TIME_FRACTION: f64 = 0.5;

/// The properties of a request that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The service that the request is for.
    pub service: ServiceKey,
    /// The data centre of this host.
    pub centre: DataCentreKey,
    /// The time until which an answer has its full value to the caller.
    pub objective: Moment,
    /// The time from which an answer has no value to the caller.
    pub deadline: Moment,
    /// The expected service time of the request on an undisturbed endpoint.
    pub service_time: Duration,
    /// The priority of the route or the account; 0 is the most urgent.
    pub priority: u32,
    /// The client account, if the request belongs to one.
    pub account: Option<AccountKey>,
    /// A hash of the route's name.
    pub route: u64,
    /// A random number from 0 to 1, the same for all attempts of the request.
    pub draw: f64,
}

impl Request {
    /// Returns the flow that shares capacity with others: the account, else the route.
    pub fn flow(&self) -> FlowKey {
        self.account.map_or(FlowKey(self.route), FlowKey::from)
    }

    /// Returns whether the request can still complete before its deadline.
    pub(super) fn has_time(&self, now: Moment) -> bool {
        now.until(self.deadline) >= self.service_time.mul_f64(MIN_TIME_FRACTION)
    }
}

/// The next step for a request.
#[tag]
pub enum Step {
    /// Probe this endpoint, then decide again.
    Probe(EndpointKey),
    /// Send the request to this endpoint.
    Place(EndpointKey),
    /// Wait this long, then decide again.
    Wait(Duration),
    /// Reject the request, which has not been run.
    Refuse(Refusal),
}

/// The reason for rejecting a request.
#[key]
pub enum Refusal {
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// All endpoints are full.
    Full,
    /// The request can't complete before its deadline.
    TooLate,
    /// All endpoints that could take the request advertise a rate limit, and this host's
    /// quota of it is used up.
    Limited,
    /// All endpoints that could take the request have asked this host for rest.
    Resting,
    /// None of the service's endpoints answers this host, and no other host can help.
    Unreachable,
}

/// The placement state of one request: which endpoints it has probed and tried.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    probed: BTreeSet<EndpointKey>,
    tried: BTreeSet<EndpointKey>,
    unreachable: BTreeSet<EndpointKey>,
    /// How often the request has waited.
    pub(super) rounds: u32,
    /// The last round that was counted as a decision of the host's subset.
    pub(super) counted_round: Option<u32>,
    /// The last round that was counted as crowded.
    pub(super) crowded_round: Option<u32>,
}

/// How a request may find an endpoint.
#[tag]
pub(super) enum ProbeMode {
    /// By probing endpoints.
    Probe,
    /// By taking an endpoint without a probe, since this host's probe budget is used up. Where
    /// endpoints were nearly full a moment ago, the request waits for the budget instead.
    Unprobed,
    /// By the load samples that other requests collect.
    KnownOnly,
}

impl ProbeMode {
    /// Returns how a request may find an endpoint.
    pub(super) fn of(context: &Context<'_>) -> ProbeMode {
        match (context.is_first, context.may_probe) {
            (false, _) => ProbeMode::KnownOnly,
            (true, true) => ProbeMode::Probe,
            (true, false) => ProbeMode::Unprobed,
        }
    }
}

/// Returns whether no cold endpoint can improve on a step chosen among these warm ones.
pub(super) fn is_final(
    step: &Step,
    chosen: &[&Candidate<'_>],
    mode: ProbeMode,
    now: Moment,
) -> bool {
    match *step {
        _ if mode != ProbeMode::Probe => true,
        Step::Probe(_) => true,
        Step::Place(key) => chosen.iter().any(|c| c.key == key && c.state.is_good(now)),
        Step::Wait(_) | Step::Refuse(_) => false,
    }
}

/// An endpoint that the request may be sent to.
pub(super) struct Candidate<'a> {
    pub key: EndpointKey,
    pub state: &'a EndpointState,
    pub distance: Distance,
    pub connected: bool,
    /// Whether the endpoint advertises a rate limit for which this host has a token now.
    pub limited: bool,
    /// How much the expected slowdown is lowered if the endpoint is preferred.
    pub preference: f64,
}

/// The state of one host that a placement decision is based on.
pub struct Context<'a> {
    /// All known endpoints.
    pub registry: &'a mut Registry,
    /// Data centres that operators have taken out; their endpoints get no requests.
    pub leaving_centres: &'a BTreeSet<DataCentreKey>,
    /// The region of each data centre.
    pub topology: &'a Topology,
    /// The regions that the request must stay in; empty if it may go anywhere.
    pub regions: &'a BTreeSet<RegionKey>,
    /// The versions of the service that the request may be sent to.
    pub versions: &'a VersionRule,
    /// This host's quota for cold endpoints of the service.
    pub cold: Quota,
    /// Returns whether this host has an idle connection to an endpoint.
    pub is_connected: &'a dyn Fn(EndpointKey) -> bool,
    /// Whether the request is first in its wait queue and may probe; other requests use
    /// the load samples already known.
    pub is_first: bool,
    /// Whether the probe budget allows a probe; without one the request goes to the
    /// endpoint that is expected to be fastest, or waits if endpoints were nearly full.
    pub may_probe: bool,
}

impl Placement {
    /// Notes that the request was sent to `key`, so that its next attempt goes elsewhere.
    pub fn note_tried(&mut self, key: EndpointKey) {
        self.tried.insert(key);
        self.probed.clear();
    }

    /// Notes that `key` did not answer a probe.
    pub fn note_unanswered(&mut self, key: EndpointKey) {
        self.unreachable.insert(key);
    }

    /// Returns the number of endpoints that did not answer this request's probes.
    pub fn unanswered(&self) -> usize {
        self.unreachable.len()
    }

    /// Decides the next step; `draw` returns random numbers from 0 to 1.
    ///
    /// Every request sent to an endpoint that advertises a rate limit counts against the
    /// limit: first attempts, retries and hedges.
    pub fn next(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        let share = context.cold.share();
        let step = match self.next_in_subset(context, request, now, draw) {
            Some(step) => step,
            None => {
                let exhausted = context.registry.limits_mut().exhausted(share, now);
                self.decide(context, &exhausted, request, now, draw)
            }
        };
        if let Step::Place(key) = step {
            context.registry.limits_mut().count(key, share, now);
        }
        step
    }

    fn decide(
        &mut self,
        context: &mut Context<'_>,
        exhausted: &BTreeMap<EndpointKey, Moment>,
        request: &Request,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        if !request.has_time(now) {
            return Step::Refuse(Refusal::TooLate);
        }
        let registry = &*context.registry;
        let allowed = || {
            let all = registry.endpoints_of(request.service);
            all.filter(|(key, s)| {
                context.versions.allows(&s.endpoint) && self.may_use_later(*key, s, context)
            })
        };
        let usable: Vec<Candidate<'_>> = allowed()
            .filter(|(key, s)| !exhausted.contains_key(key) && !s.is_resting(now))
            .map(|(key, state)| Candidate {
                key,
                state,
                distance: context
                    .topology
                    .distance(request.centre, state.endpoint.centre),
                connected: (context.is_connected)(key),
                limited: registry.limits().contains(key),
                preference: PREFERENCE,
            })
            .collect();
        if usable.is_empty() {
            let free = allowed().map(|(key, s)| {
                let rest = s.rest_until.map(|until| (until, Refusal::Resting));
                let token = exhausted.get(&key).map(|at| (*at, Refusal::Limited));
                rest.max(token)
            });
            return match free.flatten().min() {
                Some((at, refusal)) => wait_until_free(at, refusal, request, now),
                None => Step::Refuse(Refusal::NoEndpoint),
            };
        }
        let warm: Vec<&Candidate<'_>> = usable.iter().filter(|c| !c.state.is_cold(now)).collect();
        if warm.is_empty() {
            let keys = usable.iter().map(|c| c.key).collect();
            return self.place_cold(context, keys, request, now);
        }
        let healthy: Vec<&Candidate<'_>> = warm
            .iter()
            .copied()
            .filter(|c| !c.state.health.is_avoided(now))
            .filter(|c| !registry.is_unreachable(c.state.endpoint.centre, now))
            .collect();
        let chosen = if healthy.is_empty() { warm } else { healthy };
        let mode = ProbeMode::of(context);
        let step = self.choose(&chosen, request, mode, now, draw);
        if is_final(&step, &chosen, mode, now) {
            return step;
        }
        let cold: Vec<EndpointKey> = usable
            .iter()
            .filter(|c| c.state.is_cold(now) && !c.state.health.is_avoided(now))
            .map(|c| c.key)
            .collect();
        self.try_cold(context, &cold, now).unwrap_or(step)
    }

    /// Sends the request to a cold endpoint, within this host's quota.
    ///
    /// Applies when no warm endpoint is good. After a data centre has returned, its cold
    /// endpoints are the only spare capacity and take a third of a service's requests. A
    /// request takes twice as long there, which is still in time.
    pub(super) fn try_cold(
        &mut self,
        context: &mut Context<'_>,
        keys: &[EndpointKey],
        now: Moment,
    ) -> Option<Step> {
        let quota = context.cold;
        let registry = &mut *context.registry;
        for key in keys {
            if !registry.cold_buckets_mut().has(*key, quota, now) {
                continue;
            }
            let slowdown = registry.get(*key).and_then(|s| s.slowdown(now));
            match slowdown {
                Some(slowdown)
                    if slowdown <= GOOD_SLOWDOWN
                        && registry.cold_buckets_mut().take(*key, quota, now) =>
                {
                    return Some(Step::Place(*key));
                }
                None if self.probed.insert(*key) => return Some(Step::Probe(*key)),
                _ => {}
            }
        }
        None
    }

    /// Returns whether the request has not been sent anywhere yet.
    pub(super) fn is_untried(&self) -> bool {
        self.tried.is_empty()
    }

    /// Returns whether the request has probed an endpoint in this round.
    pub(super) fn has_probed(&self, key: EndpointKey) -> bool {
        self.probed.contains(&key)
    }

    /// Returns the endpoints that the request has probed in this round.
    pub(super) fn probed_keys(&self) -> Vec<EndpointKey> {
        self.probed.iter().copied().collect()
    }

    /// Notes that `key` is about to be probed; returns whether it wasn't before.
    pub(super) fn note_probed(&mut self, key: EndpointKey) -> bool {
        self.probed.insert(key)
    }

    /// Returns whether the request may be sent to an endpoint now, whatever its version.
    pub(super) fn may_use(
        &self,
        key: EndpointKey,
        state: &EndpointState,
        context: &Context<'_>,
        now: Moment,
    ) -> bool {
        self.may_use_later(key, state, context) && !state.is_resting(now)
    }

    /// Returns whether the request may be sent to an endpoint now or after its rest, whatever
    /// its version.
    pub(super) fn may_use_later(
        &self,
        key: EndpointKey,
        state: &EndpointState,
        context: &Context<'_>,
    ) -> bool {
        let centre = state.endpoint.centre;
        !state.is_leaving()
            && !context.leaving_centres.contains(&centre)
            && context.topology.is_allowed(context.regions, centre)
            && !self.tried.contains(&key)
            && !self.unreachable.contains(&key)
    }

    /// Chooses among warm endpoints: first those of the same data centre, then waiting,
    /// then other data centres.
    ///
    /// Traffic between data centres is expensive, so a request waits for a disturbed
    /// local endpoint to recover as long as its answer can still be in time. A full
    /// endpoint doesn't recover as fast. If even one of the local endpoints is nearly
    /// full, the other waiting requests need the disturbed one too, so the request leaves
    /// the data centre at once, to another region last.
    pub(super) fn choose(
        &mut self,
        candidates: &[&Candidate<'_>],
        request: &Request,
        mode: ProbeMode,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        let near = at_distance(candidates, Distance::SameCentre);
        if let Some(step) = self.good_or_probe(&near, mode, now, draw) {
            return step;
        }
        let slack = now.until(request.objective);
        let spare = slack.saturating_sub(request.service_time.mul_f64(SERVICE_TIME_MARGIN));
        let may_wait = spare > REPROBE_DELAY;
        let disturbed = near.iter().any(|c| is_disturbed(c.state, now));
        let loaded = near.iter().any(|c| is_loaded(c.state, now));
        if mode == ProbeMode::Probe && may_wait && disturbed && !loaded {
            return self.wait(REPROBE_DELAY);
        }
        for distance in [Distance::SameRegion, Distance::OtherRegion] {
            let far = at_distance(candidates, distance);
            if let Some(step) = self.good_or_probe(&far, mode, now, draw) {
                return step;
            }
        }
        if may_wait {
            return self.wait(match mode {
                ProbeMode::Probe | ProbeMode::Unprobed => REPROBE_DELAY,
                ProbeMode::KnownOnly => spare - REPROBE_DELAY,
            });
        }
        match best_idle(candidates, now) {
            Some(key) => Step::Place(key),
            None => Step::Refuse(Refusal::Full),
        }
    }

    fn wait(&mut self, time: Duration) -> Step {
        self.probed.clear();
        self.rounds += 1;
        Step::Wait(time)
    }

    /// Returns a good endpoint to place the request on, or the next endpoint to probe.
    pub(super) fn good_or_probe(
        &mut self,
        candidates: &[&Candidate<'_>],
        mode: ProbeMode,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Step> {
        if let Some(key) = least_loaded_good(candidates, now) {
            return Some(Step::Place(key));
        }
        if mode == ProbeMode::KnownOnly {
            return None;
        }
        let probed_here = candidates.iter().filter(|c| self.probed.contains(&c.key));
        if probed_here.count() >= MAX_PROBES {
            return None;
        }
        // Placed without a probe, the requests of all hosts would fill endpoints beyond their
        // slots.
        if mode == ProbeMode::Unprobed && candidates.iter().any(|c| was_loaded(c.state, now)) {
            return None;
        }
        let key = candidates
            .iter()
            .filter(|c| !self.probed.contains(&c.key) && c.state.slowdown(now).is_none())
            .map(|c| (expected_slowdown(c, now) + draw() * RANDOM_WEIGHT, c.key))
            .min_by(|a, b| a.0.total_cmp(&b.0))?
            .1;
        self.probed.insert(key);
        Some(match mode {
            ProbeMode::Unprobed => Step::Place(key),
            ProbeMode::Probe | ProbeMode::KnownOnly => Step::Probe(key),
        })
    }

    /// Places a request when all endpoints are cold, within this host's quota.
    fn place_cold(
        &mut self,
        context: &mut Context<'_>,
        keys: Vec<EndpointKey>,
        request: &Request,
        now: Moment,
    ) -> Step {
        for key in keys {
            let buckets = context.registry.cold_buckets_mut();
            if buckets.take(key, context.cold, now) {
                return Step::Place(key);
            }
        }
        match now.until(request.deadline)
            > request.service_time.mul_f64(SERVICE_TIME_MARGIN) + REPROBE_DELAY
        {
            true => Step::Wait(REPROBE_DELAY),
            false => Step::Refuse(Refusal::Full),
        }
    }
}

/// Waits until an endpoint may be used: until its rest ends, or until this host's next token
/// for one that advertises a rate limit.
///
/// Applies when all endpoints of a service want no more requests from this host than they
/// have got. A request that would be served too late then is rejected at once.
fn wait_until_free(at: Moment, refusal: Refusal, request: &Request, now: Moment) -> Step {
    let done = at + request.service_time.mul_f64(SERVICE_TIME_MARGIN);
    match done <= request.objective {
        true => Step::Wait(now.until(at)),
        false => Step::Refuse(refusal),
    }
}

/// The weight of the random part in the order in which endpoints are probed.
///
/// Without it all hosts would probe the same endpoint at the same moment.
const RANDOM_WEIGHT: f64 = 0.5;

/// How long an outdated load sample still influences the order of probes.
const OLD_SAMPLE_TTL: Duration = Duration::from_millis(300);

/// Returns the candidates at this distance.
fn at_distance<'a>(candidates: &[&'a Candidate<'a>], distance: Distance) -> Vec<&'a Candidate<'a>> {
    let all = candidates.iter().copied();
    all.filter(|c| c.distance == distance).collect()
}

/// How much the expected slowdown of a preferred endpoint is lowered in the order of
/// probes.
///
/// An endpoint with an idle connection is preferred, so that a host keeps to the few
/// endpoints it is connected to as long as they are good. A new connection costs an
/// endpoint a millisecond of a slot, and in a site of many hosts each host has few
/// requests, so most of its other connections would have been closed as idle. The
/// preference is no larger than the random part.
///
/// New endpoints are preferred too, otherwise no host would ever use the added capacity.
/// So are endpoints that advertise a rate limit, because only their answers show that the
/// limit has ended.
const PREFERENCE: f64 = 0.5;

/// Returns the expected slowdown of an endpoint without a fresh load sample.
fn expected_slowdown(candidate: &Candidate<'_>, now: Moment) -> f64 {
    let state = candidate.state;
    let preferred = candidate.connected || candidate.limited || state.is_new(now);
    let preference = if preferred { candidate.preference } else { 0.0 };
    let busy = f64::from(state.running) / f64::from(state.endpoint.slots.max(1));
    let outdated = match state.sample {
        Some(sample) if now.since(sample.at) < OLD_SAMPLE_TTL => {
            let age = now.since(sample.at).as_secs_f64() / OLD_SAMPLE_TTL.as_secs_f64();
            (sample.slowdown(state.sent) - 1.5) * (1.0 - age)
        }
        _ => 0.0,
    };
    1.5 + busy + outdated - preference
}

/// Returns whether a fresh load sample shows an endpoint that is not nearly full, and so
/// slow only through a disturbance.
fn is_disturbed(state: &EndpointState, now: Moment) -> bool {
    state
        .sample
        .is_some_and(|l| l.is_fresh(now) && !l.is_loaded(state.sent))
}

/// Returns whether a fresh load sample shows an endpoint that is nearly full.
pub(super) fn is_loaded(state: &EndpointState, now: Moment) -> bool {
    state
        .sample
        .is_some_and(|l| l.is_fresh(now) && l.is_loaded(state.sent))
}

/// Returns whether a recent load sample shows an endpoint that was nearly full.
fn was_loaded(state: &EndpointState, now: Moment) -> bool {
    state
        .sample
        .is_some_and(|l| now.since(l.at) < OLD_SAMPLE_TTL && l.is_loaded(state.sent))
}

/// Returns the least loaded of the good endpoints.
fn least_loaded_good(candidates: &[&Candidate<'_>], now: Moment) -> Option<EndpointKey> {
    candidates
        .iter()
        .filter(|c| c.state.is_good(now))
        .map(|c| (c.state.sample.map_or(0.0, |l| l.load(c.state.sent)), c.key))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}

/// Returns the idle endpoint with the smallest slowdown, for a request that will be late.
///
/// A late answer is worth a tenth of one in time. When the load exceeds the capacity of
/// all endpoints, late requests would take slots from requests that can still be in time,
/// and soon all requests would be late. Giving late requests half of the slots cost a
/// tenth of the answers in time in the worst seconds.
fn best_idle(candidates: &[&Candidate<'_>], now: Moment) -> Option<EndpointKey> {
    candidates
        .iter()
        .filter(|c| c.state.sample.is_some_and(|l| l.is_idle(c.state.sent)))
        .filter_map(|c| Some((c.state.slowdown(now)?, c.key)))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}
