//! Places a request on the host's subset of a service's endpoints.
//!
//! The choice looks at a bounded number of endpoints: members of the subset, a few that have
//! just joined, then the next ones on the ring, then a few of each other data centre. Only
//! before a request is refused, or takes an endpoint that isn't good, all endpoints are
//! looked at as without a subset.

use crate::keys::rendezvous;
use crate::topology::Distance;
use crate::{EndpointKey, Moment};

use super::endpoint::{EndpointState, NEW_PERIOD};
use super::placement::{Candidate, Context, Placement, ProbeMode, Request, Step};
use super::placement::{is_final, is_loaded};

/// The largest number of members that one request looks at.
///
/// A host with more members looks at another part of them for each request.
const MAX_MEMBERS: usize = 16;

/// The number of near endpoints beyond the members that a request looks at.
const SPILL: usize = 8;

/// The number of endpoints of each other data centre that a request looks at in its first
/// round; each further round doubles it.
///
/// After the host's own data centre has left, requests find all their endpoints there.
const FAR: usize = 6;

/// How often the number of endpoints of another data centre doubles.
const MAX_FAR_DOUBLINGS: u32 = 3;

/// The number of endpoints on the ring that a request looks at before it is refused.
///
/// Bounds the cost of a refusal; another part is looked at by each request and round.
const SEARCHED: usize = 64;

/// The number of endpoints that have just joined that a request looks at.
const NEW: usize = 2;

/// The largest number of endpoints on the ring that are skipped, because they can't be used.
const MAX_SKIPPED: usize = 96;

/// How much the expected slowdown of a preferred endpoint is lowered in the order of probes.
///
/// A new connection takes a slot of the endpoint for about a millisecond, and costs its host
/// more than a probe on an open one. The preference is larger than the random part of the
/// order and the busy slots of an endpoint together, so that an open connection is used first
/// unless an outdated load sample shows a slow endpoint.
const SUBSET_PREFERENCE: f64 = 2.0;

/// How much the expected slowdown is lowered further for each second since the last load
/// sample.
///
/// Of the endpoints with an open connection the one that has been idle for longest is probed
/// first, because its connection would be closed next.
const IDLE_WEIGHT: f64 = 0.5;

/// The longest time since the last load sample that counts, in seconds.
const MAX_IDLE_TIME: f64 = 10.0;

/// How much the expected slowdown of an endpoint is lowered that has just joined.
///
/// More than that of any endpoint with a connection: otherwise hosts with few requests would
/// probe all members before it.
const NEW_PREFERENCE: f64 = SUBSET_PREFERENCE + MAX_IDLE_TIME * IDLE_WEIGHT + 1.0;

/// Endpoints that a request may be sent to.
#[derive(Default)]
struct Found {
    warm: Vec<EndpointKey>,
    cold: Vec<EndpointKey>,
}

/// Which of the endpoints on a ring are looked at next: all members, from one of them on, then
/// the others in the order of the ring.
struct Walk {
    /// The member that is looked at first.
    start: usize,
    members: usize,
    ring_length: usize,
    /// The number of endpoints that have been looked at.
    done: usize,
}

impl Walk {
    /// Returns the place on the ring of the next endpoint, `None` after the last one.
    fn next(&mut self) -> Option<usize> {
        let at = match self.done {
            done if done >= self.ring_length => return None,
            done if done < self.members => (self.start + done) % self.members,
            done => done,
        };
        self.done += 1;
        Some(at)
    }
}

impl Placement {
    /// Decides the next step of a request by the host's subset of endpoints.
    ///
    /// Returns `None` if all endpoints have to be looked at.
    pub(super) fn next_in_subset(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Step> {
        let subset = context.registry.subset(request.service)?;
        let (members, ring_length) = (subset.size(), subset.ring().len());
        if !request.has_time(now) {
            return None;
        }
        let mode = ProbeMode::of(context);
        let mut walk = Walk {
            start: self.window(request, members),
            members,
            ring_length,
            done: 0,
        };
        let mut found = Found::default();
        self.find_new(context, request, now, &mut found);
        let looked_at = members.min(MAX_MEMBERS);
        self.walk(context, request, &mut walk, looked_at, now, &mut found);
        if let Some(step) = self.probe_part(context, request, &found.warm, mode, now, draw) {
            self.note_decision(context, request, false);
            return Some(step);
        }
        let registry = &*context.registry;
        let is_crowded = |key| registry.get(key).is_some_and(|s| is_loaded(s, now));
        let crowded = found.warm.iter().any(|key| is_crowded(*key));
        self.note_decision(context, request, crowded);
        let members = found.warm.len();
        self.walk(context, request, &mut walk, SPILL, now, &mut found);
        let spill = &found.warm[members..];
        if let Some(step) = self.probe_part(context, request, spill, mode, now, draw) {
            return Some(step);
        }
        self.find_far(context, request, now, &mut found);
        // Those that were found by a scan are outside of what a request looks at first.
        for key in self.probed_keys() {
            self.add(context, key, now, &mut found);
        }
        if found.warm.is_empty() {
            return None;
        }
        let step = self.choose_found(context, request, &found, mode, now, draw);
        let must_scan = match step {
            Step::Refuse(_) => true,
            Step::Place(key) => !is_good(context, key, now) && mode != ProbeMode::Unprobed,
            Step::Probe(_) | Step::Wait(_) => false,
        };
        if must_scan && let Some(step) = self.search(context, request, &mut found, mode, now, draw)
        {
            return Some(step);
        }
        let scans = must_scan && context.registry.may_scan(request.service, now);
        (!scans).then_some(step)
    }

    /// Returns a good endpoint in a part of the ring, or the next one there to probe.
    ///
    /// The part differs by request and round.
    fn search(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        found: &mut Found,
        mode: ProbeMode,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Step> {
        let length = context.registry.subset(request.service)?.ring().len();
        let hash = rendezvous(request.draw.to_bits(), u64::from(self.rounds));
        let mut walk = Walk {
            start: usize::try_from(hash % length as u64).unwrap_or_default(),
            members: length,
            ring_length: length.min(SEARCHED),
            done: 0,
        };
        let known = found.warm.len();
        self.walk(context, request, &mut walk, SEARCHED, now, found);
        self.probe_part(context, request, &found.warm[known..], mode, now, draw)
    }

    /// Returns a good endpoint among these, or the next one of them to probe.
    ///
    /// The limit of probes in a round applies to each part alone: members that were probed
    /// must not keep a request from probing the endpoints that replace them.
    fn probe_part(
        &mut self,
        context: &Context<'_>,
        request: &Request,
        keys: &[EndpointKey],
        mode: ProbeMode,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Step> {
        let part = candidates(keys, context, request, now);
        let part: Vec<&Candidate<'_>> = part.iter().collect();
        self.good_or_probe(&part, mode, now, draw)
    }

    /// Returns where on the ring a request begins: at the first member, or with many members
    /// at another one for each request and round.
    fn window(&self, request: &Request, members: usize) -> usize {
        if members <= MAX_MEMBERS {
            return 0;
        }
        let hash = rendezvous(request.draw.to_bits(), u64::from(self.rounds));
        usize::try_from(hash % members as u64).unwrap_or_default()
    }

    /// Adds the next `count` endpoints of the ring that can be used.
    fn walk(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        walk: &mut Walk,
        count: usize,
        now: Moment,
        found: &mut Found,
    ) {
        let enough = found.warm.len() + count;
        let mut skipped = 0;
        while found.warm.len() < enough && skipped < MAX_SKIPPED {
            let subset = context.registry.subset(request.service);
            let next = walk.next().and_then(|at| subset?.ring().get(at).copied());
            let Some(key) = next else {
                return;
            };
            let before = found.warm.len();
            self.add(context, key, now, found);
            skipped += usize::from(found.warm.len() == before);
        }
    }

    /// Adds near endpoints that have just joined and haven't been probed by this host.
    ///
    /// They may be in the subsets of only a few hosts, and those may have no request for
    /// some time.
    fn find_new(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        now: Moment,
        found: &mut Found,
    ) {
        let registry = &*context.registry;
        let new_period = u64::try_from(NEW_PERIOD.as_micros()).unwrap_or(u64::MAX);
        let since = Moment(now.0.saturating_sub(new_period));
        let recent = registry.index().recent(request.service, since);
        let subset = registry.subset(request.service);
        let is_new = |key: &EndpointKey| {
            // One that this request has just probed is no longer new, but may be taken.
            (self.has_probed(*key) || registry.get(*key).is_some_and(|s| s.is_new(now)))
                && subset.is_some_and(|s| s.reaches_new(*key))
        };
        let new: Vec<EndpointKey> = recent.filter(is_new).take(NEW).collect();
        for key in new {
            self.add(context, key, now, found);
        }
    }

    /// Adds a few endpoints of each other data centre.
    fn find_far(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        now: Moment,
        found: &mut Found,
    ) {
        let Some(subset) = context.registry.subset(request.service) else {
            return;
        };
        let count = FAR << self.rounds.min(MAX_FAR_DOUBLINGS);
        let centres = context.registry.index().centres(request.service);
        let others = centres.filter(|(centre, _)| {
            *centre != request.centre
                && !context.leaving_centres.contains(centre)
                && context.topology.is_allowed(context.regions, *centre)
        });
        let windows = others.map(|(_, keys)| subset.far_window(keys, count));
        let keys: Vec<EndpointKey> = windows.flatten().collect();
        for key in keys {
            self.add(context, key, now, found);
        }
    }

    /// Adds an endpoint if the request may be sent there now.
    fn add(&self, context: &mut Context<'_>, key: EndpointKey, now: Moment, found: &mut Found) {
        let registry = &*context.registry;
        let Some(state) = registry.get(key) else {
            return;
        };
        let is_usable = context.versions.allows(&state.endpoint)
            && self.may_use(key, state, context, now)
            && !state.health.is_avoided(now)
            && !registry.is_unreachable(state.endpoint.centre, now);
        let is_cold = state.is_cold(now);
        let share = context.cold.share();
        if !is_usable || found.warm.contains(&key) || found.cold.contains(&key) {
            return;
        }
        if !context.registry.limits_mut().has_token(key, share, now) {
            return;
        }
        match is_cold {
            true => found.cold.push(key),
            false => found.warm.push(key),
        }
    }

    /// Chooses among the endpoints found, cold ones if no warm one is good.
    fn choose_found(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        found: &Found,
        mode: ProbeMode,
        now: Moment,
        draw: &mut dyn FnMut() -> f64,
    ) -> Step {
        let warm = candidates(&found.warm, context, request, now);
        let warm: Vec<&Candidate<'_>> = warm.iter().collect();
        let step = self.choose(&warm, request, mode, now, draw);
        if is_final(&step, &warm, mode, now) {
            return step;
        }
        self.try_cold(context, &found.cold, now).unwrap_or(step)
    }

    /// Counts a decision once in each round of a request, and once that it was crowded.
    fn note_decision(&mut self, context: &mut Context<'_>, request: &Request, crowded: bool) {
        let round = Some(self.rounds);
        let Some(subset) = context.registry.subset_mut(request.service) else {
            return;
        };
        if self.counted_round != round {
            self.counted_round = round;
            subset.note_decision();
        }
        if crowded && self.crowded_round != round {
            self.crowded_round = round;
            subset.note_crowded();
        }
    }
}

fn is_good(context: &Context<'_>, key: EndpointKey, now: Moment) -> bool {
    context.registry.get(key).is_some_and(|s| s.is_good(now))
}

/// Returns how long ago this host received the last load sample, in seconds.
fn idle_time(state: &EndpointState, now: Moment) -> f64 {
    let since = state.sample.map(|sample| now.since(sample.at));
    since.map_or(0.0, |time| time.as_secs_f64().min(MAX_IDLE_TIME))
}

/// Returns what placement needs to know of these endpoints.
fn candidates<'a>(
    keys: &[EndpointKey],
    context: &'a Context<'_>,
    request: &Request,
    now: Moment,
) -> Vec<Candidate<'a>> {
    let registry = &*context.registry;
    let known = keys.iter().filter_map(|key| {
        let state = registry.get(*key)?;
        let centre = state.endpoint.centre;
        let distance = match centre == request.centre {
            true => Distance::SameCentre,
            false => context.topology.distance(request.centre, centre),
        };
        let connected = (context.is_connected)(*key);
        Some(Candidate {
            key: *key,
            state,
            distance,
            connected,
            limited: registry.limits().contains(*key),
            preference: match state.is_new(now) {
                true => NEW_PREFERENCE,
                false if connected => SUBSET_PREFERENCE + idle_time(state, now) * IDLE_WEIGHT,
                false => SUBSET_PREFERENCE,
            },
        })
    });
    known.collect()
}
