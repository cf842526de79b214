//! Placement when the link to a data centre is cut.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::outcome::Outcome;
use state::fleet::placement::{Context, Request};
use state::fleet::rollout::VersionRule;
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Step};
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);

/// The timeout for an endpoint that can't be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

const CENTRES: [&str; 2] = ["near", "far"];

/// The number of endpoints in each data centre.
const ENDPOINTS_PER_CENTRE: usize = 40;

struct Site {
    registry: Registry,
    random: StdRng,
    now: Moment,
    cut: bool,
}

fn endpoint(centre: &str, number: usize) -> Endpoint {
    Endpoint {
        instance: format!("{centre}-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named(centre),
        version: None,
        slots: 6,
        draining: false,
        cold: Duration::ZERO,
    }
}

impl Site {
    fn new() -> Site {
        let mut registry = Registry::default();
        for centre in CENTRES {
            for number in 0..ENDPOINTS_PER_CENTRE {
                let endpoint = endpoint(centre, number);
                let name = endpoint.instance.clone();
                registry.apply(&name, Some(Entry::Endpoint(endpoint)), START);
            }
        }
        Site {
            registry,
            random: StdRng::seed_from_u64(3),
            now: START,
            cut: true,
        }
    }

    fn is_near(&self, key: EndpointKey) -> bool {
        let state = self.registry.get(key).expect("the endpoint is known");
        state.endpoint.centre == DataCentreKey::named("near")
    }

    /// Places one request; returns its endpoint, or `None` if it is rejected, and the
    /// time taken.
    fn place(&mut self) -> (Option<EndpointKey>, Duration) {
        let began = self.now;
        let request = Request {
            service: ServiceKey::named("svc"),
            centre: DataCentreKey::named("near"),
            objective: began + Duration::from_millis(1_200),
            deadline: began + Duration::from_millis(2_000),
            service_time: Duration::from_millis(450),
            priority: 0,
            account: None,
            route: 0,
            draw: 1.0,
        };
        let mut placement = Placement::default();
        loop {
            match self.step(&mut placement, &request) {
                Step::Probe(key) if self.cut && self.is_near(key) => {
                    self.now = self.now + PROBE_TIMEOUT;
                    self.registry.note_outcome(key, Outcome::Broken, self.now);
                    placement.note_unanswered(key);
                }
                Step::Probe(key) => self.answer(key),
                Step::Place(key) => return (Some(key), self.now.since(began)),
                Step::Wait(time) => self.now = self.now + time,
                Step::Refuse(_) => return (None, self.now.since(began)),
            }
        }
    }

    fn step(&mut self, placement: &mut Placement, request: &Request) -> Step {
        let mut context = Context {
            registry: &mut self.registry,
            is_connected: &|_| false,
            is_first: true,
            may_probe: true,
            leaving_centres: &BTreeSet::new(),
            topology: &Topology::default(),
            regions: &BTreeSet::new(),
            versions: &VersionRule::All,
            cold: Quota::cold(3.0, 0.1),
        };
        let random = &mut self.random;
        let mut draw = || random.random::<f64>();
        placement.next(&mut context, request, self.now, &mut draw)
    }

    fn answer(&mut self, key: EndpointKey) {
        self.now = self.now + Duration::from_millis(3);
        let state = self.registry.get_mut(key).expect("the endpoint is known");
        state.set_sample(LoadSample {
            at: self.now,
            running: 0,
            waiting: 0,
            slots: 6,
            slowness: 100,
            healthy: true,
            reported: true,
        });
        self.registry.note_answer(key, self.now);
    }
}

/// The link between a host and the endpoints of its data centre is cut. If each of the
/// forty endpoints costs a timeout, requests run out of time although others could serve
/// them.
#[test]
fn centre_unreachable() {
    let mut site = Site::new();
    let mut late = 0;
    for _ in 0..40 {
        let (placed, took) = site.place();
        assert!(placed.is_some_and(|key| !site.is_near(key)));
        late += u32::from(took > Duration::from_millis(300));
        site.now = site.now + Duration::from_millis(250);
    }
    assert!(
        late <= 4,
        "{late} of 40 requests found no endpoint for 300 ms"
    );
}

/// The link is restored: a host must use its own data centre again, since traffic to
/// others is expensive.
#[test]
fn centre_reachable_again() {
    let mut site = Site::new();
    for _ in 0..10 {
        site.place();
    }
    site.cut = false;
    let back = site.now;
    loop {
        let (placed, _) = site.place();
        if placed.is_some_and(|key| site.is_near(key)) {
            break;
        }
        site.now = site.now + Duration::from_millis(250);
        assert!(
            site.now.since(back) < Duration::from_secs(6),
            "requests still leave the data centre"
        );
    }
}
