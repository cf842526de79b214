//! Placement by a host's subset of a service's endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::placement::{Context, Refusal, Request};
use state::fleet::rollout::VersionRule;
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Step, Subset};
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, RegionKey, ServiceKey, VersionKey};

const START: Moment = Moment::from_millis(100_000);
const NEAR: usize = 200;
const HOSTS: usize = 60;

fn endpoint(number: usize, centre: &str) -> Endpoint {
    Endpoint {
        instance: format!("{centre}-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named(centre),
        version: None,
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

struct Host {
    registry: Registry,
    versions: VersionRule,
    regions: BTreeSet<RegionKey>,
    random: StdRng,
    /// Where the host is among those of its data centre, and their number.
    position: usize,
    hosts: usize,
    connected: BTreeSet<EndpointKey>,
    probed: BTreeSet<EndpointKey>,
}

impl Host {
    /// Returns a host with a subset of 200 near endpoints, and 50 far ones; `change` alters
    /// their registrations.
    fn with(change: impl Fn(usize, &mut Endpoint)) -> Host {
        Host::among(7, HOSTS, NEAR, change)
    }

    /// Returns the host at `position` among `hosts`, with this number of near endpoints.
    fn among(
        position: usize,
        hosts: usize,
        near: usize,
        change: impl Fn(usize, &mut Endpoint),
    ) -> Host {
        let mut entries = BTreeMap::new();
        for (centre, count) in [("near", near), ("far", 50)] {
            for number in 0..count {
                let mut endpoint = endpoint(number, centre);
                change(number, &mut endpoint);
                entries.insert(endpoint.instance.clone(), Entry::Endpoint(endpoint));
            }
        }
        let mut registry = Registry::default();
        registry.replace(entries, START);
        let mut host = Host {
            registry,
            versions: VersionRule::All,
            regions: BTreeSet::new(),
            random: StdRng::seed_from_u64(3),
            position,
            hosts,
            connected: BTreeSet::new(),
            probed: BTreeSet::new(),
        };
        host.set_subset(6);
        host
    }

    fn set_subset(&mut self, wanted: usize) {
        let service = ServiceKey::named("svc");
        let near = self.registry.near(service, DataCentreKey::named("near"));
        let subset = Subset::new(near.unwrap(), self.position, self.hosts, wanted);
        self.registry.set_subset(service, subset);
    }

    fn members(&self) -> BTreeSet<EndpointKey> {
        let subset = self.registry.subset(ServiceKey::named("svc")).unwrap();
        subset.members().iter().copied().collect()
    }

    /// Runs one placement to its end; `sample` returns running requests and slowness.
    fn place(
        &mut self,
        at: Moment,
        sample: impl Fn(EndpointKey) -> (u32, u32),
    ) -> Result<EndpointKey, Refusal> {
        self.place_by(at, at + Duration::from_millis(600), sample)
    }

    /// Runs one placement of a request with this objective.
    fn place_by(
        &mut self,
        at: Moment,
        objective: Moment,
        sample: impl Fn(EndpointKey) -> (u32, u32),
    ) -> Result<EndpointKey, Refusal> {
        let mut placement = Placement::default();
        let mut now = at;
        let request = Request {
            service: ServiceKey::named("svc"),
            centre: DataCentreKey::named("near"),
            objective,
            deadline: at + Duration::from_millis(2_000),
            service_time: Duration::from_millis(200),
            priority: 0,
            account: None,
            route: 0,
            draw: self.random.random(),
        };
        loop {
            let connected = &self.connected;
            let mut context = Context {
                registry: &mut self.registry,
                is_connected: &|key| connected.contains(&key),
                is_first: true,
                may_probe: true,
                leaving_centres: &BTreeSet::new(),
                topology: &Topology::default(),
                regions: &self.regions,
                versions: &self.versions,
                cold: Quota::cold(6.0, 0.1),
            };
            let random = &mut self.random;
            let mut draw = || random.random::<f64>();
            match placement.next(&mut context, &request, now, &mut draw) {
                Step::Probe(key) => {
                    self.probed.insert(key);
                    now = now + Duration::from_millis(1);
                    let (running, slowness) = sample(key);
                    let sample = LoadSample {
                        at: now,
                        running,
                        waiting: 0,
                        slots: 4,
                        slowness,
                        healthy: true,
                        reported: true,
                    };
                    self.registry.get_mut(key).unwrap().set_sample(sample);
                }
                Step::Place(key) => return Ok(key),
                Step::Wait(time) => now = now + time,
                Step::Refuse(refusal) => return Err(refusal),
            }
        }
    }

    fn centre_of(&self, key: EndpointKey) -> DataCentreKey {
        self.registry.get(key).unwrap().endpoint.centre
    }
}

/// A host that uses endpoints outside its subset opens connections that it doesn't use
/// again.
#[test]
fn stays_with_members() {
    let mut host = Host::with(|_, _| {});
    let members = host.members();
    for round in 0..50 {
        let placed = host.place(START + Duration::from_secs(round), |_| (0, 100));
        assert!(members.contains(&placed.unwrap()));
    }
}

/// A host with more members than a request looks at must not run past the last one while other
/// members are good.
#[test]
fn many_members() {
    let mut host = Host::with(|_, _| {});
    host.set_subset(20);
    let members = host.members();
    assert!(members.len() > 16);
    for round in 0..200 {
        let placed = host.place(START + Duration::from_secs(round), |_| (0, 100));
        assert!(members.contains(&placed.unwrap()));
    }
}

/// Counting each step of a request would hide crowding among the probes of other requests.
#[test]
fn requests_counted() {
    let mut host = Host::with(|_, _| {});
    let members = host.members();
    let usage = |host: &mut Host| {
        let subset = host.registry.subset_mut(ServiceKey::named("svc"));
        let usage = subset.unwrap().take_usage();
        (usage.decisions, usage.crowded)
    };
    host.place(START, |_| (0, 100)).unwrap();
    assert_eq!(usage(&mut host), (1, 0));
    let full = |key: EndpointKey| (if members.contains(&key) { 4 } else { 0 }, 100);
    host.place(START + Duration::from_secs(1), full).unwrap();
    assert_eq!(usage(&mut host), (1, 1));
}

/// Members that leave must be replaced by other near endpoints, not by far ones.
#[test]
fn members_replaced() {
    let mut host = Host::with(|_, _| {});
    let members = host.members();
    for key in &members {
        host.registry.get_mut(*key).unwrap().leaving = true;
    }
    let mut used = BTreeSet::new();
    for round in 0..50 {
        let placed = host.place(START + Duration::from_secs(round), |_| (0, 100));
        used.insert(placed.unwrap());
    }
    assert!(used.is_disjoint(&members));
    assert!(
        used.iter()
            .all(|key| host.centre_of(*key) == DataCentreKey::named("near"))
    );
    assert!(used.len() <= members.len());
}

/// Full members must not keep requests waiting while other near endpoints are idle, and a
/// full data centre not while others have room.
#[test]
fn spills_when_full() {
    let mut host = Host::with(|_, _| {});
    let members = host.members();
    let near = DataCentreKey::named("near");
    let full = |key: EndpointKey| (if members.contains(&key) { 4 } else { 0 }, 100);
    for second in 0..20 {
        let at = START + Duration::from_secs(second);
        let placed = host.place(at, full).unwrap();
        assert!(!members.contains(&placed));
        assert_eq!(host.centre_of(placed), near);
    }
    let far = |host: &Host| -> BTreeSet<EndpointKey> {
        let all = host.registry.endpoints_of(ServiceKey::named("svc"));
        let far = all.filter(|(_, s)| s.endpoint.centre == DataCentreKey::named("far"));
        far.map(|(key, _)| key).collect()
    };
    let far = far(&host);
    let near_full = |key: EndpointKey| (if far.contains(&key) { 0 } else { 4 }, 100);
    let placed = host
        .place(START + Duration::from_secs(30), near_full)
        .unwrap();
    assert!(far.contains(&placed));
}

/// A request must not be refused while the one endpoint of the version that it may use is
/// outside of what the host looks at first.
#[test]
fn rare_version_found() {
    let version = VersionKey::named("v2");
    for lone in [0, 50, 120, 199] {
        let mut host = Host::with(|number, endpoint| {
            let is_lone = number == lone && endpoint.centre == DataCentreKey::named("near");
            endpoint.version = is_lone.then_some(version);
        });
        host.versions = VersionRule::Only(version);
        let placed = host.place(START, |_| (0, 100)).unwrap();
        assert_eq!(placed, endpoint(lone, "near").key());
    }
}

/// A refusal must be true: all endpoints are full, or there is none.
#[test]
fn refusals_are_true() {
    let mut host = Host::with(|_, _| {});
    assert_eq!(host.place(START, |_| (4, 100)), Err(Refusal::Full));
    let mut leaving = Host::with(|_, endpoint| endpoint.draining = true);
    assert_eq!(leaving.place(START, |_| (0, 100)), Err(Refusal::NoEndpoint));
}

/// New endpoints are in the subsets of a few hosts only, which may have no request for
/// seconds. Enough hosts must use them soon after they have joined.
#[test]
fn new_endpoint_used() {
    let mut host = Host::with(|_, _| {});
    let at = START + Duration::from_secs(20);
    let added = endpoint(1_000, "near");
    host.registry
        .apply("added", Some(Entry::Endpoint(added.clone())), at);
    host.set_subset(6);
    let mut used = BTreeSet::new();
    for round in 0..20 {
        used.insert(
            host.place(at + Duration::from_millis(round * 200), |_| (0, 100))
                .unwrap(),
        );
    }
    assert!(used.contains(&added.key()));
}

/// Hosts with connections and a request every few seconds must not probe all their connected
/// members before a new endpoint, which would get no request for as long.
#[test]
fn new_endpoint_soon() {
    let (count, rate) = (52, 0.27);
    let added = endpoint(1_000, "near");
    for seed in 0..5 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut hosts: Vec<Host> = (0..count)
            .map(|position| Host::among(position, count, 32, |_, _| {}))
            .collect();
        let joined = START + Duration::from_secs(20);
        for host in &mut hosts {
            host.connected = host.members();
            for key in host.members() {
                let at = joined.0 - random.random_range(2_000_000..8_000_000);
                let sample = LoadSample {
                    at: Moment(at),
                    running: 0,
                    waiting: 0,
                    slots: 4,
                    slowness: 100,
                    healthy: true,
                    reported: true,
                };
                host.registry.get_mut(key).unwrap().set_sample(sample);
            }
            let entry = Entry::Endpoint(added.clone());
            host.registry.apply("added", Some(entry), joined);
            host.set_subset(6);
            let subset = host.registry.subset_mut(ServiceKey::named("svc"));
            subset.unwrap().set_rate(rate);
        }
        let mut at = 0.0;
        let mut is_offered = false;
        while !is_offered {
            at += -(1.0 - random.random::<f64>()).ln() / (rate * count as f64);
            assert!(at < 4.0, "{seed}");
            let host = &mut hosts[random.random_range(0..count)];
            let now = joined + Duration::from_secs_f64(at);
            host.place(now, |_| (0, 100)).unwrap();
            is_offered = host.probed.contains(&added.key());
        }
    }
}

/// With the budget of scans used up, requests must not be refused for seconds on the same few
/// full endpoints while another one is idle.
#[test]
fn idle_found_unscanned() {
    let mut host = Host::with(|_, _| {});
    let service = ServiceKey::named("svc");
    let all: Vec<EndpointKey> = host.registry.endpoints_of(service).map(|e| e.0).collect();
    let sample = |running| LoadSample {
        at: START,
        running,
        waiting: 0,
        slots: 4,
        slowness: 100,
        healthy: true,
        reported: true,
    };
    for key in all {
        host.registry.get_mut(key).unwrap().set_sample(sample(4));
    }
    for _ in 0..1_000 {
        let refused = host.place_by(START, START, |_| (4, 100));
        assert_eq!(refused, Err(Refusal::Full));
    }
    let idle = host.registry.subset(service).unwrap().ring()[100];
    host.registry.get_mut(idle).unwrap().set_sample(sample(0));
    let placed: Vec<_> = (0..20)
        .map(|_| host.place_by(START, START, |_| (4, 100)))
        .collect();
    assert!(placed.contains(&Ok(idle)));
}
