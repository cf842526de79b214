//! Decides where one request goes: ask, wait, place or refuse.
//!
//! Made for endpoints whose speed changes several times a second. One that was
//! good when last heard of is bad now in a quarter of the cases, and a request
//! that meets a bad one takes four times as long. So endpoints are asked just
//! before one is taken, one after the other, and the first good one is taken:
//! on average less than two questions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::tag;

use super::endpoint::EndpointState;
use super::load_sample::GOOD;
use super::registry::Registry;
use super::token_buckets::Quota;
use crate::topology::{Distance, Topology};
use crate::{DataCentreKey, EndpointKey, Moment, RegionKey, ServiceKey};

/// Endpoints asked in one round.
///
/// With a third of them disturbed, six are all bad once in 700 rounds.
const ASKS: usize = 6;

/// How long a request waits before it asks again where all it asked were bad.
///
/// Disturbances change every 300 ms; waiting costs nothing as long as the
/// answer still comes within the objective.
const PAUSE: Duration = Duration::from_millis(40);

/// How much longer than usual work may take and still be in time.
///
/// Work spreads by about a third around its mean.
const SPREAD: f64 = 1.5;

/// The share of the usual time below which starting a request is a waste.
///
/// Hardly any request is done in half of the usual time.
const LEAST: f64 = 0.5;

/// What placing needs to know of a request.
#[tag]
pub struct Request {
    /// The service it goes to.
    pub service: ServiceKey,
    /// The data centre of this host.
    pub home: DataCentreKey,
    /// When its answer ceases to be worth most.
    pub objective: Moment,
    /// When its answer is worth nothing.
    pub deadline: Moment,
    /// How long its work takes on an undisturbed endpoint.
    pub service_time: Duration,
    /// The rank of its route, 0 before all others.
    pub priority: u32,
}

/// What is to be done next with a request.
#[tag]
pub enum Step {
    /// Ask this endpoint how it does, then come back.
    Probe(EndpointKey),
    /// Send the request to this endpoint.
    Place(EndpointKey),
    /// Wait this long, then come back.
    Wait(Duration),
    /// Reject the request: it was not run.
    Refuse(Refusal),
}

/// Why a request is rejected.
#[tag]
pub enum Refusal {
    /// No endpoint of its service can be used.
    NoEndpoint,
    /// All endpoints are full.
    Full,
    /// It could not be done before its deadline.
    TooLate,
    /// All endpoints that could take it advertise a rate limit, which is used up.
    Limited,
}

/// The placing of one request.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    asked: BTreeSet<EndpointKey>,
    tried: BTreeSet<EndpointKey>,
    dead: BTreeSet<EndpointKey>,
}

/// What a request may do to find an endpoint.
#[tag]
enum Turn {
    /// Ask endpoints how they do.
    Asks,
    /// Take one unasked: this host may ask no more for now.
    Guesses,
    /// Go by what others learn.
    Others,
}

/// An endpoint in question.
struct Candidate<'a> {
    key: EndpointKey,
    state: &'a EndpointState,
    distance: Distance,
    kept: bool,
    /// Whether it advertises a rate limit, for which this host has a token now.
    limited: bool,
}

/// What one host knows at the moment of placing.
pub struct Context<'a> {
    /// All endpoints.
    pub registry: &'a mut Registry,
    /// Data centres whose endpoints get no request.
    pub leaving_centres: &'a BTreeSet<DataCentreKey>,
    /// Where data centres lie.
    pub topology: &'a Topology,
    /// The regions that the request must not leave, none where it may go anywhere.
    pub regions: &'a BTreeSet<RegionKey>,
    /// This host's quota at cold endpoints of the service.
    pub cold: Quota,
    /// Whether a connection to an endpoint lies idle.
    pub is_connected: &'a dyn Fn(EndpointKey) -> bool,
    /// Whether it is this request's turn to ask; else it goes by what is known.
    pub is_first: bool,
    /// Whether this host may ask at all; else it takes what it expects to be good.
    pub may_probe: bool,
}

impl Placement {
    /// Notes that the request was sent to `key`, so that it goes elsewhere next time.
    pub fn note_tried(&mut self, key: EndpointKey) {
        self.tried.insert(key);
        self.asked.clear();
    }

    /// Notes that `key` gave no answer when asked.
    pub fn note_unanswered(&mut self, key: EndpointKey) {
        self.dead.insert(key);
    }

    /// Decides the next step; `draw` gives numbers from 0 to 1.
    ///
    /// Whatever is sent to an endpoint that advertises a rate limit counts there: first
    /// tries, repeats and second copies.
    pub fn next(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        let share = context.cold.share();
        let exhausted = context.registry.limits_mut().exhausted(share, now, draw);
        let step = self.decide(context, &exhausted, request, now, draw);
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
        let left = now.until(request.deadline);
        if left < request.service_time.mul_f64(LEAST) {
            return Step::Refuse(Refusal::TooLate);
        }
        let registry = &*context.registry;
        let allowed = || {
            let all = registry.of(request.service);
            all.filter(|(key, s)| self.may_use(*key, s, context))
        };
        let usable: Vec<Candidate<'_>> = allowed()
            .filter(|(key, _)| !exhausted.contains_key(key))
            .map(|(key, state)| Candidate {
                key,
                state,
                distance: context
                    .topology
                    .distance(request.home, state.endpoint.centre),
                kept: (context.is_connected)(key),
                limited: registry.limits().contains(key),
            })
            .collect();
        if usable.is_empty() {
            let tokens = allowed().filter_map(|(key, _)| exhausted.get(&key));
            return match tokens.min() {
                Some(token) => wait_for_token(*token, request, now),
                None => Step::Refuse(Refusal::NoEndpoint),
            };
        }
        let warm: Vec<&Candidate<'_>> = usable.iter().filter(|c| !c.state.is_cold(now)).collect();
        if warm.is_empty() {
            let keys = usable.iter().map(|c| c.key).collect();
            return self.place_cold(context, keys, request, now, draw);
        }
        let sound: Vec<&Candidate<'_>> = warm
            .iter()
            .copied()
            .filter(|c| !c.state.health.is_avoided(now))
            .filter(|c| !registry.is_unreachable(c.state.endpoint.centre, now))
            .collect();
        let chosen = if sound.is_empty() { warm } else { sound };
        let turn = match (context.is_first, context.may_probe) {
            (false, _) => Turn::Others,
            (true, true) => Turn::Asks,
            (true, false) => Turn::Guesses,
        };
        let step = self.choose(&chosen, request, turn, now, draw);
        let settled = match step {
            _ if turn != Turn::Asks => true,
            Step::Probe(_) => true,
            Step::Place(key) => chosen.iter().any(|c| c.key == key && c.state.is_good(now)),
            Step::Wait(_) | Step::Refuse(_) => false,
        };
        if settled {
            return step;
        }
        let cold: Vec<EndpointKey> = usable
            .iter()
            .filter(|c| c.state.is_cold(now) && !c.state.health.is_avoided(now))
            .map(|c| c.key)
            .collect();
        self.try_cold(context, &cold, now, draw).unwrap_or(step)
    }

    /// Sends the request to a cold endpoint, within this host's share of its rate.
    ///
    /// Where no warm endpoint is good, cold ones are the only room left: after a
    /// data centre's return they bear a third of a service's requests. Their
    /// work takes twice as long, which is still in time.
    fn try_cold(
        &mut self,
        context: &mut Context<'_>,
        keys: &[EndpointKey],
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Step> {
        let quota = context.cold;
        let registry = &mut *context.registry;
        for key in keys {
            if !registry.cold_buckets_mut().has(*key, quota, draw(), now) {
                continue;
            }
            let pace = registry.get(*key).and_then(|s| s.slowdown(now));
            match pace {
                Some(pace)
                    if pace <= GOOD
                        && registry.cold_buckets_mut().take(*key, quota, draw(), now) =>
                {
                    return Some(Step::Place(*key));
                }
                None if self.asked.insert(*key) => return Some(Step::Probe(*key)),
                _ => {}
            }
        }
        None
    }

    fn may_use(&self, key: EndpointKey, state: &EndpointState, context: &Context<'_>) -> bool {
        let centre = state.endpoint.centre;
        !state.endpoint.draining
            && !context.leaving_centres.contains(&centre)
            && context.topology.is_allowed(context.regions, centre)
            && !self.tried.contains(&key)
            && !self.dead.contains(&key)
    }

    /// Chooses among warm endpoints: near ones first, then wait, then far ones.
    ///
    /// Bytes between data centres are dear, so a request rather waits for a
    /// disturbed near endpoint to recover, as long as its answer can still be in
    /// time. Full ones won't recover so soon, and where only one of the near ones
    /// is full, the others that wait want the disturbed one too: then it goes far
    /// at once, to the other regions last.
    fn choose(
        &mut self,
        candidates: &[&Candidate<'_>],
        request: &Request,
        turn: Turn,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        let near = at(candidates, Distance::SameCentre);
        if let Some(step) = self.good_or_ask(&near, turn, now, draw) {
            return step;
        }
        let slack = now.until(request.objective);
        let spare = slack.saturating_sub(request.service_time.mul_f64(SPREAD));
        let patient = spare > PAUSE;
        let disturbed = near.iter().any(|c| is_disturbed(c.state, now));
        let loaded = near.iter().any(|c| is_loaded(c.state, now));
        if turn == Turn::Asks && patient && disturbed && !loaded {
            return self.wait(PAUSE);
        }
        for distance in [Distance::SameRegion, Distance::OtherRegion] {
            let far = at(candidates, distance);
            if let Some(step) = self.good_or_ask(&far, turn, now, draw) {
                return step;
            }
        }
        if patient {
            return self.wait(match turn {
                Turn::Asks | Turn::Guesses => PAUSE,
                Turn::Others => spare - PAUSE,
            });
        }
        match best(candidates, now) {
            Some(key) => Step::Place(key),
            None => Step::Refuse(Refusal::Full),
        }
    }

    fn wait(&mut self, time: Duration) -> Step {
        self.asked.clear();
        Step::Wait(time)
    }

    /// Returns a good endpoint to take, or the next to ask.
    fn good_or_ask(
        &mut self,
        candidates: &[&Candidate<'_>],
        turn: Turn,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Step> {
        if let Some(key) = good(candidates, now) {
            return Some(Step::Place(key));
        }
        if turn == Turn::Others {
            return None;
        }
        let mine = candidates.iter().filter(|c| self.asked.contains(&c.key));
        if mine.count() >= ASKS {
            return None;
        }
        let key = candidates
            .iter()
            .filter(|c| !self.asked.contains(&c.key) && c.state.slowdown(now).is_none())
            .map(|c| (expectation(c, now) + draw() * TIE, c.key))
            .min_by(|a, b| a.0.total_cmp(&b.0))?
            .1;
        self.asked.insert(key);
        Some(match turn {
            Turn::Guesses => Step::Place(key),
            Turn::Asks | Turn::Others => Step::Probe(key),
        })
    }

    /// Places a request where all endpoints are cold: within this host's share.
    fn place_cold(
        &mut self,
        context: &mut Context<'_>,
        keys: Vec<EndpointKey>,
        request: &Request,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        for key in keys {
            let buckets = context.registry.cold_buckets_mut();
            if buckets.take(key, context.cold, draw(), now) {
                return Step::Place(key);
            }
        }
        match now.until(request.deadline) > request.service_time.mul_f64(SPREAD) + PAUSE {
            true => Step::Wait(PAUSE),
            false => Step::Refuse(Refusal::Full),
        }
    }
}

/// Waits for this host's next token for an endpoint that advertises a rate limit.
///
/// Made for a service most of whose endpoints advertise one, under more load than they
/// take: requests whose token would come too late are rejected at once.
fn wait_for_token(token: Moment, request: &Request, now: Moment) -> Step {
    let done = token + request.service_time.mul_f64(SPREAD);
    match done <= request.objective {
        true => Step::Wait(now.until(token)),
        false => Step::Refuse(Refusal::Limited),
    }
}

/// How much chance weighs against what is expected of endpoints.
///
/// Without it all hosts would ask the same endpoint at the same moment.
const TIE: f64 = 0.5;

/// How long what was seen last speaks for or against asking an endpoint first.
const MEMORY: Duration = Duration::from_millis(300);

/// Returns the candidates that far away.
fn at<'a>(candidates: &[&'a Candidate<'a>], distance: Distance) -> Vec<&'a Candidate<'a>> {
    let there = candidates.iter().copied();
    there.filter(|c| c.distance == distance).collect()
}

/// How much an idle connection to an endpoint speaks for asking it first.
///
/// As much as chance at most, so that a host keeps to the few endpoints that it
/// is connected to while they do well. A new connection costs an endpoint a
/// millisecond of a slot; a host of many has few requests, and would find most
/// of its connections closed for idleness. One that has just joined is asked as
/// soon: kept to the others, no host would ever find the room that was added. So is one
/// that advertises a rate limit: only its answers tell that the limit has ended.
const KEPT: f64 = 0.5;

/// Returns what pace to expect of an endpoint without a fresh look.
fn expectation(candidate: &Candidate<'_>, now: Moment) -> f64 {
    let state = candidate.state;
    let first = candidate.kept || candidate.limited || state.is_newcomer(now);
    let kept = if first { KEPT } else { 0.0 };
    let busy = f64::from(state.running) / f64::from(state.endpoint.slots.max(1));
    let old = match state.sample {
        Some(look) if now.since(look.at) < MEMORY => {
            let age = now.since(look.at).as_secs_f64() / MEMORY.as_secs_f64();
            (look.slowdown(state.sent) - 1.5) * (1.0 - age)
        }
        _ => 0.0,
    };
    1.5 + busy + old - kept
}

/// Returns whether an endpoint is disturbed rather than loaded.
fn is_disturbed(state: &EndpointState, now: Moment) -> bool {
    state
        .sample
        .is_some_and(|l| l.is_fresh(now) && !l.is_loaded(state.sent))
}

/// Returns whether an endpoint was seen nearly full.
fn is_loaded(state: &EndpointState, now: Moment) -> bool {
    state
        .sample
        .is_some_and(|l| l.is_fresh(now) && l.is_loaded(state.sent))
}

/// Returns the least loaded of the good endpoints.
fn good(candidates: &[&Candidate<'_>], now: Moment) -> Option<EndpointKey> {
    candidates
        .iter()
        .filter(|c| c.state.is_good(now))
        .map(|c| (c.state.sample.map_or(0.0, |l| l.load(c.state.sent)), c.key))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}

/// Returns the best endpoint for a request that will be late: one that runs nothing.
///
/// An answer that comes too late is worth a tenth of one in time. Under more
/// load than all endpoints bear, late requests would take the slots of those
/// that can still be in time, and soon all would be late. Letting them have half
/// of the slots cost a tenth of the answers in time in the worst seconds.
fn best(candidates: &[&Candidate<'_>], now: Moment) -> Option<EndpointKey> {
    candidates
        .iter()
        .filter(|c| c.state.sample.is_some_and(|l| l.is_idle(c.state.sent)))
        .filter_map(|c| Some((c.state.slowdown(now)?, c.key)))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}
