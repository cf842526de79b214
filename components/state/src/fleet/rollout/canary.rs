//! Places the requests of a canary.
//!
//! The canary is a small fraction of the requests, and there are as many endpoints of the
//! new version as of the old one. Spread over all of them, no endpoint would ever have two
//! requests at once, and a version that fails under load would not show it. So the canary
//! fills the slots of a few endpoints, the same ones on all hosts, and moves on to others
//! after half a second.

use std::time::Duration;

use crate::fleet::placement::{Context, Placement, Request, Step};
use crate::keys::rendezvous;
use crate::topology::Distance;
use crate::{EndpointKey, Moment, VersionKey};

/// How many endpoints a request may look at before it goes to the old version.
const MAX_CANDIDATES: usize = 3;

/// How long the canary stays with the same endpoints.
const ROTATION_TIME: Duration = Duration::from_millis(500);

/// The new version as one request meets it.
#[derive(Clone, Copy, Debug)]
pub struct CanaryTarget {
    /// The new version.
    pub version: VersionKey,
    /// The time until the roll-out's deadline, about the same on all hosts.
    pub left: Duration,
}

impl CanaryTarget {
    /// Returns the place of an endpoint in the order in which the canary fills them.
    fn rank(&self, key: EndpointKey) -> u64 {
        let round = self.left.as_millis() / ROTATION_TIME.as_millis();
        rendezvous(key.0, round as u64)
    }
}

impl Placement {
    /// Decides the next step of a request of the canary.
    ///
    /// Returns `None` if no endpoint of the new version can take the request now. It then
    /// goes to the old version, as do its retries and hedges: they count as requests that a
    /// bad version gets.
    pub fn next_canary(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        target: &CanaryTarget,
        now: Moment,
    ) -> Option<Step> {
        if !self.is_untried() || !context.may_probe || !request.has_time(now) {
            return None;
        }
        let share = context.cold.share();
        let exhausted = context.registry.limits_mut().exhausted(share, now);
        let mut ranked: Vec<(Distance, u64, EndpointKey)> = context
            .registry
            .endpoints_of(request.service)
            .filter(|(key, state)| {
                state.endpoint.version == Some(target.version)
                    && !exhausted.contains_key(key)
                    && self.may_use(*key, state, context, now)
                    && !state.health.is_avoided(now)
            })
            .map(|(key, state)| {
                let centre = state.endpoint.centre;
                let distance = context.topology.distance(request.centre, centre);
                (distance, target.rank(key), key)
            })
            .collect();
        ranked.sort_unstable();
        let step = ranked
            .iter()
            .take(MAX_CANDIDATES)
            .find_map(|(_, _, key)| self.fill(context, *key, now));
        if let Some(Step::Place(key)) = step {
            context.registry.limits_mut().count(key, share, now);
        }
        step
    }

    /// Returns the step by which a request fills a free slot of this endpoint, or learns
    /// whether there is one.
    fn fill(&mut self, context: &mut Context<'_>, key: EndpointKey, now: Moment) -> Option<Step> {
        let quota = context.cold;
        let registry = &mut *context.registry;
        let state = registry.get(key)?;
        let cold = state.is_cold(now);
        let room = state.has_room(now);
        if cold && !registry.cold_buckets_mut().has(key, quota, now) {
            return None;
        }
        match room {
            None => self.note_probed(key).then_some(Step::Probe(key)),
            Some(false) => None,
            Some(true) if cold => {
                let token = registry.cold_buckets_mut().take(key, quota, now);
                token.then_some(Step::Place(key))
            }
            Some(true) => Some(Step::Place(key)),
        }
    }
}
