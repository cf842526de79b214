//! Which endpoints of a new version get the canary's requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use state::fleet::placement::{Context, Request};
use state::fleet::registry::Entry;
use state::fleet::rollout::VersionRule;
use state::fleet::rollout::canary::CanaryTarget;
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, LoadSample, Placement, Registry, Step};
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey, VersionKey};

const NOW: Moment = Moment::from_millis(20_000);

fn endpoint(number: u16, version: &str, cold: Duration) -> Endpoint {
    Endpoint {
        instance: format!("{version}-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: ([10, 0, 0, 1], 80 + number).into(),
        centre: DataCentreKey::named("near"),
        version: Some(VersionKey::named(version)),
        slots: 2,
        draining: false,
        cold,
    }
}

/// Some endpoints of both versions, and requests of a canary.
struct Site {
    registry: Registry,
    left: Duration,
}

impl Site {
    fn new(cold: Duration) -> Site {
        let mut entries = BTreeMap::new();
        for number in 0..8 {
            for version in ["v1", "v2"] {
                let cold = if version == "v2" {
                    cold
                } else {
                    Duration::ZERO
                };
                let endpoint = endpoint(number, version, cold);
                entries.insert(endpoint.instance.clone(), Entry::Endpoint(endpoint));
            }
        }
        let mut registry = Registry::default();
        registry.replace(entries, NOW);
        Site {
            registry,
            left: Duration::from_millis(8_250),
        }
    }

    /// Returns the step of a request, `None` if it goes to the old version.
    fn step(&mut self, placement: &mut Placement, versions: &VersionRule) -> Option<Step> {
        let request = Request {
            service: ServiceKey::named("svc"),
            centre: DataCentreKey::named("near"),
            objective: NOW + Duration::from_millis(300),
            deadline: NOW + Duration::from_millis(1_000),
            service_time: Duration::from_millis(120),
            priority: 1,
            account: None,
            route: 0,
            draw: 0.0,
        };
        let target = CanaryTarget {
            version: VersionKey::named("v2"),
            left: self.left,
        };
        let mut context = Context {
            registry: &mut self.registry,
            leaving_centres: &BTreeSet::new(),
            topology: &Topology::default(),
            regions: &BTreeSet::new(),
            versions,
            cold: Quota::cold(5.0, 1.0),
            is_connected: &|_| false,
            is_first: true,
            may_probe: true,
        };
        placement.next_canary(&mut context, &request, &target, NOW)
    }

    /// Places one request, answering its probes truthfully; returns its endpoint.
    fn place(&mut self) -> Option<EndpointKey> {
        let mut placement = Placement::default();
        loop {
            match self.step(&mut placement, &VersionRule::All)? {
                Step::Probe(key) => self.answer_probe(key, 100),
                Step::Place(key) => {
                    self.registry.get_mut(key)?.start();
                    return Some(key);
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn answer_probe(&mut self, key: EndpointKey, slowness: u32) {
        let state = self.registry.get_mut(key).expect("a known endpoint");
        let running = state.running;
        state.set_sample(LoadSample {
            at: NOW,
            running,
            waiting: 0,
            slots: 2,
            slowness,
            healthy: true,
            reported: true,
        });
    }
}

/// A version may fail only with several requests at once. The canary must therefore fill the
/// slots of one endpoint before it takes the next, and never more than its slots.
#[test]
fn slots_filled() {
    let mut site = Site::new(Duration::ZERO);
    let placed: Vec<EndpointKey> = (0..6).filter_map(|_| site.place()).collect();
    assert_eq!(placed.len(), 6);
    for pair in placed.chunks(2) {
        assert_eq!(pair[0], pair[1]);
    }
    let used: BTreeSet<EndpointKey> = placed.into_iter().collect();
    assert_eq!(used.len(), 3);
    assert_eq!(site.place(), None, "three endpoints are full");
}

/// With the same few endpoints all the time the others would never be tried.
#[test]
fn endpoints_rotate() {
    let mut used = BTreeSet::new();
    for round in 0..16 {
        let mut site = Site::new(Duration::ZERO);
        site.left = Duration::from_millis(8_250 - round * 500);
        used.extend(site.place());
    }
    assert!(used.len() >= 5, "{}", used.len());
}

/// A disturbed machine would make a good version look slow.
#[test]
fn disturbed_avoided() {
    let mut site = Site::new(Duration::ZERO);
    let mut placement = Placement::default();
    let Some(Step::Probe(first)) = site.step(&mut placement, &VersionRule::All) else {
        panic!("the first endpoint is probed");
    };
    site.answer_probe(first, 400);
    let next = site.step(&mut placement, &VersionRule::All);
    assert!(
        matches!(next, Some(Step::Probe(key)) if key != first),
        "{next:?}"
    );
}

/// Cold endpoints of the new version take no more than any other cold endpoint.
#[test]
fn cold_rate_kept() {
    let mut site = Site::new(Duration::from_secs(3));
    let placed = (0..40).filter_map(|_| site.place()).count();
    assert!(placed <= 3, "{placed} requests at once to cold endpoints");
}

/// A retry would be one more request that a bad version gets.
#[test]
fn retries_elsewhere() {
    let mut site = Site::new(Duration::ZERO);
    let mut placement = Placement::default();
    placement.note_tried(endpoint(0, "v2", Duration::ZERO).key());
    assert_eq!(site.step(&mut placement, &VersionRule::All), None);
}

#[test]
fn rules_on_versions() {
    let new = endpoint(0, "v2", Duration::ZERO);
    let unknown = Endpoint {
        version: None,
        ..new.clone()
    };
    let v2 = VersionKey::named("v2");
    let except = VersionRule::Except(BTreeSet::from([v2]));
    assert!(VersionRule::All.allows(&new) && VersionRule::All.allows(&unknown));
    assert!(VersionRule::Only(v2).allows(&new) && !VersionRule::Only(v2).allows(&unknown));
    assert!(!except.allows(&new) && except.allows(&unknown));
}
