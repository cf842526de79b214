//! Placement while endpoints want nothing from a host: they asked for rest, or they leave.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use state::fleet::placement::{Context, Refusal, Request};
use state::fleet::rollout::VersionRule;
use state::fleet::rollout::canary::CanaryTarget;
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Step};
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey, VersionKey};

const START: Moment = Moment::from_millis(10_000);

const REST: Duration = Duration::from_secs(3);

const ENDPOINTS: usize = 6;

/// How a request finds its endpoint.
#[derive(Clone, Copy)]
enum Way {
    /// It probes endpoints.
    Probing,
    /// It waits in line and uses the load samples of other requests.
    Waiting,
    /// The host's probe budget is used up.
    Unprobed,
    /// It takes part in the canary of a roll-out.
    Canary,
}

struct Site {
    registry: Registry,
    keys: Vec<EndpointKey>,
}

impl Site {
    /// Returns a site with fresh load samples of all endpoints, all warm or all cold.
    fn new(cold: Duration) -> Site {
        let mut registry = Registry::default();
        let mut keys = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = Endpoint {
                instance: format!("i-{number}"),
                started_ms: 1,
                service: ServiceKey::named("svc"),
                address: SocketAddr::from(([127, 0, 0, 1], 80)),
                centre: DataCentreKey::named("here"),
                version: Some(VersionKey::named("v2")),
                slots: 6,
                draining: false,
                cold,
            };
            keys.push(endpoint.key());
            let name = endpoint.instance.clone();
            registry.apply(&name, Some(Entry::Endpoint(endpoint)), START);
        }
        Site { registry, keys }
    }

    fn sample(&mut self, now: Moment) {
        for key in &self.keys {
            let state = self.registry.get_mut(*key).expect("a known endpoint");
            state.set_sample(LoadSample {
                at: now,
                running: 0,
                waiting: 0,
                slots: 6,
                slowness: 100,
                healthy: true,
                reported: true,
            });
        }
    }

    fn rest(&mut self, keys: impl IntoIterator<Item = usize>) {
        for at in keys {
            let state = self.registry.get_mut(self.keys[at]);
            state.expect("a known endpoint").note_rest(REST, START);
        }
    }

    fn next(&mut self, way: Way, objective: Duration, now: Moment) -> Step {
        let centre = DataCentreKey::named("here");
        let request = Request {
            service: ServiceKey::named("svc"),
            centre,
            objective: now + objective,
            deadline: now + objective * 4,
            service_time: Duration::from_millis(100),
            priority: 0,
            account: None,
            route: 0,
            draw: 0.0,
        };
        let mut context = Context {
            registry: &mut self.registry,
            is_connected: &|_| false,
            is_first: !matches!(way, Way::Waiting),
            may_probe: !matches!(way, Way::Unprobed),
            leaving_centres: &BTreeSet::new(),
            topology: &Topology::default(),
            regions: &BTreeSet::new(),
            versions: &VersionRule::All,
            cold: Quota::cold(6.0, 1.0),
        };
        let mut placement = Placement::default();
        let mut draw = || 0.5;
        if let Way::Canary = way {
            let target = CanaryTarget {
                version: VersionKey::named("v2"),
                left: Duration::from_secs(60),
            };
            let step = placement.next_canary(&mut context, &request, &target, now);
            return step.unwrap_or(Step::Refuse(Refusal::NoEndpoint));
        }
        placement.next(&mut context, &request, now, &mut draw)
    }
}

/// An endpoint that asked for rest, or that leaves, must get nothing, however a request finds its
/// endpoint.
#[rstest]
#[case(Way::Probing)]
#[case(Way::Waiting)]
#[case(Way::Unprobed)]
#[case(Way::Canary)]
fn others_used(
    #[case] way: Way,
    #[values(Duration::ZERO, Duration::from_secs(20))] cold: Duration,
    #[values(true, false)] has_samples: bool,
) {
    for used in 0..ENDPOINTS {
        let mut site = Site::new(cold);
        if has_samples {
            site.sample(START);
        }
        let leaving = (used + 1) % ENDPOINTS;
        site.rest((0..ENDPOINTS).filter(|at| *at != used && *at != leaving));
        let state = site.registry.get_mut(site.keys[leaving]);
        state.expect("a known endpoint").leaving = true;
        match site.next(way, Duration::from_secs(1), START) {
            Step::Probe(key) | Step::Place(key) => assert_eq!(key, site.keys[used]),
            Step::Wait(_) | Step::Refuse(_) => {}
        }
    }
}

/// All endpoints ask for rest. A request that can't be served after it must be rejected at once.
#[test]
fn rejected_at_once() {
    let mut site = Site::new(Duration::ZERO);
    site.sample(START);
    site.rest(0..ENDPOINTS);
    let step = site.next(Way::Probing, Duration::from_secs(1), START);
    assert_eq!(step, Step::Refuse(Refusal::Resting));
}

/// All endpoints ask for rest, and a request has the time to wait for its end.
#[test]
fn waits_for_end() {
    let mut site = Site::new(Duration::ZERO);
    site.rest(0..ENDPOINTS);
    let later = START + Duration::from_millis(2_500);
    let step = site.next(Way::Probing, Duration::from_secs(1), later);
    assert_eq!(step, Step::Wait(Duration::from_millis(500)));
    let end = START + REST;
    let step = site.next(Way::Probing, Duration::from_secs(1), end);
    assert!(matches!(step, Step::Probe(_)), "{step:?}");
}

/// Of two requests under way one is turned away with a shorter rest. The longer one must hold.
#[test]
fn longest_holds() {
    let mut site = Site::new(Duration::ZERO);
    site.rest([0]);
    let state = site
        .registry
        .get_mut(site.keys[0])
        .expect("a known endpoint");
    state.note_rest(Duration::from_millis(100), START);
    assert!(state.is_resting(START + Duration::from_secs(2)));
    assert!(!state.is_resting(START + REST));
}

/// A renewal of the endpoint's record must not end its rest, nor bring back one that leaves.
#[test]
fn renewal_keeps() {
    let mut site = Site::new(Duration::ZERO);
    site.rest([0]);
    let key = site.keys[0];
    let state = site.registry.get_mut(key).expect("a known endpoint");
    state.leaving = true;
    let entry = Entry::Endpoint(state.endpoint.clone());
    site.registry.apply("i-0", Some(entry), START);
    let state = site.registry.get(key).expect("a known endpoint");
    assert!(state.is_resting(START) && state.is_leaving());
}
