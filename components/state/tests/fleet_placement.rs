//! Placement under the loads that it is designed for.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::outcome::Outcome;
use state::fleet::placement::{Context, Refusal, Request};
use state::fleet::rate_limit::Source;
use state::fleet::retry_after;
use state::fleet::rollout::VersionRule;
use state::fleet::token_buckets::{HostPhase, Quota};
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Step};
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, RegionKey, ServiceKey};

const SERVICE_TIME: Duration = Duration::from_millis(200);
const START: Moment = Moment::from_millis(10_000);

struct Fleet {
    registry: Registry,
    leaving_centres: BTreeSet<DataCentreKey>,
    connected: BTreeSet<EndpointKey>,
    topology: Topology,
    regions: BTreeSet<RegionKey>,
    random: StdRng,
    share: f64,
    may_probe: bool,
}

fn endpoint(name: &str, centre: &str) -> Endpoint {
    Endpoint {
        instance: name.to_owned(),
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

fn key(name: &str) -> EndpointKey {
    endpoint(name, "near").key()
}

fn sample(slowness: u32, running: u32, waiting: u32, at: Moment) -> LoadSample {
    LoadSample {
        at,
        running,
        waiting,
        slots: 6,
        slowness,
        healthy: true,
        reported: true,
    }
}

fn request(objective: u64) -> Request {
    Request {
        service: ServiceKey::named("svc"),
        centre: DataCentreKey::named("near"),
        objective: START + Duration::from_millis(objective),
        deadline: START + Duration::from_millis(2_000),
        service_time: SERVICE_TIME,
        priority: 0,
        account: None,
        route: 0,
        draw: 1.0,
    }
}

/// Returns a request that arrives at `now`, with an objective of 600 ms.
fn request_at(now: Moment) -> Request {
    Request {
        objective: now + Duration::from_millis(600),
        deadline: now + Duration::from_millis(2_000),
        ..request(0)
    }
}

impl Fleet {
    fn of(endpoints: &[(&str, &str)]) -> Fleet {
        Fleet::on(HostPhase::default(), endpoints)
    }

    /// Returns the fleet as known to this host.
    fn on(phase: HostPhase, endpoints: &[(&str, &str)]) -> Fleet {
        let mut registry = Registry::new(phase);
        for (name, centre) in endpoints {
            registry.apply(name, Some(Entry::Endpoint(endpoint(name, centre))), START);
        }
        Fleet {
            registry,
            leaving_centres: BTreeSet::new(),
            connected: BTreeSet::new(),
            topology: Topology::default(),
            regions: BTreeSet::new(),
            random: StdRng::seed_from_u64(7),
            share: 0.1,
            may_probe: true,
        }
    }

    /// Runs one placement to its end; `answer` returns an endpoint's load sample when it
    /// is probed.
    fn place(
        &mut self,
        request: &Request,
        now: &mut Moment,
        answer: impl Fn(EndpointKey, Moment) -> LoadSample,
    ) -> Result<EndpointKey, Refusal> {
        let mut placement = Placement::default();
        loop {
            let mut context = Context {
                registry: &mut self.registry,
                is_connected: &|key| self.connected.contains(&key),
                is_first: true,
                may_probe: self.may_probe,
                leaving_centres: &self.leaving_centres,
                topology: &self.topology,
                regions: &self.regions,
                versions: &VersionRule::All,
                cold: Quota::cold(6.0, self.share),
            };
            let random = &mut self.random;
            let mut draw = || random.random::<f64>();
            match placement.next(&mut context, request, *now, &mut draw) {
                Step::Probe(key) => {
                    *now = *now + Duration::from_millis(1);
                    let sample = answer(key, *now);
                    self.registry
                        .get_mut(key)
                        .expect("the endpoint is known")
                        .set_sample(sample);
                }
                Step::Place(key) => return Ok(key),
                Step::Wait(time) => *now = *now + time,
                Step::Refuse(refusal) => return Err(refusal),
            }
        }
    }
}

/// A third of the machines is disturbed at any moment. A request placed on one of them
/// takes four times as long and is answered too late.
#[test]
fn disturbed_machines() {
    let names = ["a", "b", "c", "d", "e"];
    let mut fleet = Fleet::of(&names.map(|n| (n, "near")));
    let mut probes = 0;
    for round in 0..300 {
        let mut now = START + Duration::from_millis(round * 300);
        let mut noise = StdRng::seed_from_u64(round);
        let bad: BTreeSet<EndpointKey> = names
            .iter()
            .map(|n| key(n))
            .filter(|_| noise.random_bool(0.33))
            .collect();
        if bad.len() == names.len() {
            continue;
        }
        let wanted = request_at(now);
        let began = now;
        let slowness = |k: EndpointKey| if bad.contains(&k) { 400 } else { 100 };
        let chosen = fleet.place(&wanted, &mut now, |k, at| sample(slowness(k), 0, 0, at));
        probes += now.since(began).as_millis();
        assert!(!bad.contains(&chosen.expect("one endpoint is fast")));
    }
    assert!(probes < 2 * 300, "{probes} probes for 300 requests");
}

/// The probe budget is used up in a burst. Requests must still be placed, on the endpoint
/// that is expected to be fastest; rejecting them would fail every caller for lack of a
/// probe.
#[test]
fn placed_without_probe() {
    let mut fleet = Fleet::of(&[]);
    let entries = [("a", "near"), ("b", "near"), ("c", "far")];
    let entries = entries.map(|(n, c)| (n.to_owned(), Entry::Endpoint(endpoint(n, c))));
    fleet.registry.replace(entries.into(), START);
    fleet.may_probe = false;
    fleet.connected = BTreeSet::from([key("b")]);
    let mut now = START;
    let mut used = BTreeSet::new();
    for _ in 0..20 {
        let chosen = fleet.place(&request(600), &mut now, |_, _| {
            panic!("the endpoint is probed")
        });
        used.insert(chosen.expect("an endpoint is chosen"));
    }
    assert_eq!(used, BTreeSet::from([key("b")]));
    assert_eq!(now, START);
}

/// The probe budgets of all hosts are used up under more load than the endpoints can take. If
/// each host placed its requests without probes, endpoints would be filled far beyond their
/// slots; requests must wait for the budget as long as they can still be in time.
#[test]
fn loaded_without_probe() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "near")]);
    let full = |_, at| sample(100, 6, 0, at);
    let mut now = START;
    assert_eq!(
        fleet.place(&request(100), &mut now, full),
        Err(Refusal::Full)
    );
    fleet.may_probe = false;
    let seen = now;
    let unprobed = |_, _| panic!("the endpoint is probed");
    let patient = Request {
        objective: now + Duration::from_millis(800),
        ..request_at(now)
    };
    let chosen = fleet.place(&patient, &mut now, unprobed);
    assert!(chosen.is_ok(), "{chosen:?}");
    assert!(now.since(seen) >= Duration::from_millis(200));
    // Nothing is known of the load any more.
    let later = now;
    assert!(fleet.place(&request_at(now), &mut now, unprobed).is_ok());
    assert_eq!(now, later);
}

/// All endpoints of the data centre are briefly disturbed. Traffic between data centres
/// is expensive, so a request with time left must wait for one of them to recover.
#[test]
fn waits_in_centre() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "far")]);
    let mut now = START;
    let recovers = START + Duration::from_millis(100);
    let chosen = fleet.place(&request(800), &mut now, |k, at| {
        let bad = k == key("a") && at < recovers;
        sample(if bad { 400 } else { 100 }, 0, 0, at)
    });
    assert_eq!(chosen, Ok(key("a")));
}

/// One endpoint of the data centre is full in a burst, and the other one is disturbed. If
/// every request of the burst waits for the disturbed one, it becomes full too, and
/// callers get late answers while endpoints in the next data centre are idle.
#[test]
fn leaves_centre_at_once() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "near"), ("c", "far")]);
    let mut now = START;
    let chosen = fleet.place(&request(800), &mut now, |k, at| match k {
        _ if k == key("a") => sample(400, 0, 0, at),
        _ if k == key("b") => sample(100, 6, 0, at),
        _ => sample(100, 0, 0, at),
    });
    assert_eq!(chosen, Ok(key("c")));
    assert!(now.since(START) < Duration::from_millis(40));
}

/// All endpoints of the data centre stay disturbed: the request must leave the data
/// centre while it can still be in time.
#[test]
fn leaves_centre_in_time() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "far")]);
    let mut now = START;
    let chosen = fleet.place(&request(600), &mut now, |k, at| {
        sample(if k == key("a") { 400 } else { 100 }, 0, 0, at)
    });
    assert_eq!(chosen, Ok(key("b")));
    assert!(now.since(START) < Duration::from_millis(400));
}

/// Every endpoint is full up to its queue. Some never answer what they can't queue, so
/// the request must be rejected while it is certain that it was not run.
#[test]
fn all_full() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "near")]);
    let mut now = START;
    let chosen = fleet.place(&request(600), &mut now, |_, at| sample(100, 6, 6, at));
    assert!(matches!(chosen, Err(Refusal::Full | Refusal::TooLate)));
    assert!(now < START + Duration::from_millis(2_000));
}

/// The load exceeds the capacity of all endpoints. A request that can no longer be in
/// time would take a slot from one that can, so it must be rejected unless an endpoint is
/// idle.
#[test]
fn late_request() {
    for (running, placed) in [(1, false), (0, true)] {
        let mut fleet = Fleet::of(&[("a", "near")]);
        let mut now = START + Duration::from_millis(500);
        let chosen = fleet.place(&request(600), &mut now, |_, at| sample(400, running, 0, at));
        assert_eq!(chosen.is_ok(), placed);
    }
}

/// Hundreds of callers are rejected in the same burst. If all get the same delay, they
/// retry at once; if the delay is too long, no retry can be in time.
#[test]
fn spread_retries() {
    let mut random = StdRng::seed_from_u64(5);
    let mut times: Vec<Duration> = (0..200)
        .map(|_| retry_after::retry_after(&request(600), random.random(), START))
        .collect();
    times.sort();
    assert!(times[199] - times[0] > Duration::from_millis(150));
    assert!(times[199] <= Duration::from_millis(400));
    let late = START + Duration::from_millis(600);
    assert!(retry_after::retry_after(&request(600), 0.5, late) > Duration::from_millis(200));
}

/// Endpoints reject half of their requests at random, full or not. Waiting for free slots
/// would make a retry no more likely to succeed, only too late.
#[test]
fn retry_at_once() {
    let mut random = StdRng::seed_from_u64(5);
    let mut times: Vec<Duration> = (0..200)
        .map(|_| retry_after::short_delay(random.random()))
        .collect();
    times.sort();
    assert!(times[199] <= Duration::from_millis(20));
    assert!(times[199] - times[0] > Duration::from_millis(10));
}

/// An endpoint passes its health check but fails every request.
#[test]
fn false_health_check() {
    for seed in 0..20 {
        let mut fleet = Fleet::of(&[("a", "near"), ("b", "near")]);
        fleet.random = StdRng::seed_from_u64(seed);
        let lying = fleet
            .registry
            .get_mut(key("a"))
            .expect("the endpoint is known");
        for _ in 0..2 {
            lying.health.note(Outcome::Failed, 0.0, START);
        }
        let mut now = START + Duration::from_millis(500);
        let chosen = fleet.place(&request(3_000), &mut now, |_, at| sample(100, 0, 0, at));
        assert_eq!(chosen, Ok(key("b")));
    }
}

/// All endpoints of a service have failed. If all of them are avoided, a bad service
/// becomes an unavailable one.
#[test]
fn all_avoided() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "near")]);
    for name in ["a", "b"] {
        let state = fleet
            .registry
            .get_mut(key(name))
            .expect("the endpoint is known");
        state.health.note(Outcome::Silent, 0.0, START);
    }
    let mut now = START;
    let chosen = fleet.place(&request(600), &mut now, |_, at| sample(100, 0, 0, at));
    assert!(chosen.is_ok());
}

/// All endpoints of a service shed half of their requests, whatever their health checks
/// say. If most of them are avoided for it, the rest get all requests and become full
/// while equally good endpoints are idle.
#[test]
fn all_shed() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut fleet = Fleet::of(&names.map(|n| (n, "near")));
    let mut random = StdRng::seed_from_u64(11);
    let mut avoided = 0;
    for round in 0..2_000 {
        let now = START + Duration::from_millis(round * 10);
        let name = names[random.random_range(0..names.len())];
        let outcome = match random.random_bool(0.55) {
            true => Outcome::Shed,
            false => Outcome::Answered,
        };
        fleet.registry.note_outcome(key(name), outcome, now);
        let state = names.map(|n| fleet.registry.get(key(n)).expect("the endpoint is known"));
        avoided += state.iter().filter(|s| s.health.is_avoided(now)).count();
    }
    let mean = avoided as f64 / 2_000.0;
    assert!(mean < 2.0, "{mean} of 8 endpoints are avoided");
}

/// A single endpoint of eight that sheds every request must be avoided.
#[test]
fn one_sheds() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut fleet = Fleet::of(&names.map(|n| (n, "near")));
    let mut avoided = false;
    for round in 0..40 {
        let now = START + Duration::from_millis(round * 10);
        let name = names[round as usize % names.len()];
        let outcome = match name {
            "a" => Outcome::Shed,
            _ => Outcome::Answered,
        };
        avoided |= fleet.registry.note_outcome(key(name), outcome, now);
    }
    assert!(avoided);
}

/// Draining endpoints, and those of a data centre that operators have taken out, must get
/// no requests even if there are no others.
#[test]
fn leaving_endpoints() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "far")]);
    let mut leaving = endpoint("a", "near");
    leaving.draining = true;
    fleet
        .registry
        .apply("a", Some(Entry::Endpoint(leaving)), START);
    fleet.leaving_centres.insert(DataCentreKey::named("far"));
    let mut now = START;
    let chosen = fleet.place(&request(600), &mut now, |_, at| sample(100, 0, 0, at));
    assert_eq!(chosen, Err(Refusal::NoEndpoint));
}

/// The only warm endpoint is full and a cold one is idle. The cold one must get its share
/// of the requests and no more, or callers are rejected while there is room.
#[test]
fn cold_room() {
    let mut fleet = Fleet::of(&[("warm", "near"), ("cold", "near")]);
    let mut placed = 0;
    for n in 0..30 {
        let mut now = START + Duration::from_millis(n * 100);
        let state = fleet
            .registry
            .get_mut(key("cold"))
            .expect("the endpoint is known");
        state.note_cold(Duration::from_secs(5), now);
        let wanted = request_at(now);
        let chosen = fleet.place(&wanted, &mut now, |k, at| {
            sample(100, if k == key("warm") { 6 } else { 0 }, 0, at)
        });
        placed += i32::from(chosen == Ok(key("cold")));
    }
    // Six requests a second for ten hosts: one request every 1.7 seconds for this host.
    assert!(
        (1..=3).contains(&placed),
        "{placed} requests in three seconds"
    );
}

/// A whole data centre returns cold, and all hosts have requests for it at once. A cold
/// endpoint fails if it gets more than its rate.
#[test]
fn cold_endpoints() {
    let hosts = 20;
    let mut fleets: Vec<Fleet> = (0..hosts)
        .map(|n| {
            let phase = HostPhase {
                host: n,
                uptime: Duration::ZERO,
            };
            let mut fleet = Fleet::on(phase, &[("a", "near")]);
            fleet.random = StdRng::seed_from_u64(n);
            fleet.share = 1.0 / hosts as f64;
            fleet
        })
        .collect();
    let mut sent = Vec::new();
    for step in 0..400 {
        let now = START + Duration::from_millis(step * 10);
        for fleet in &mut fleets {
            let state = fleet
                .registry
                .get_mut(key("a"))
                .expect("the endpoint is known");
            state.note_cold(Duration::from_secs(3), now);
            let mut placement = Placement::default();
            let mut context = Context {
                registry: &mut fleet.registry,
                is_connected: &|_| false,
                is_first: true,
                may_probe: true,
                leaving_centres: &fleet.leaving_centres,
                topology: &fleet.topology,
                regions: &fleet.regions,
                versions: &VersionRule::All,
                cold: Quota::cold(6.0, fleet.share),
            };
            let wanted = Request {
                objective: now + Duration::from_millis(600),
                deadline: now + Duration::from_millis(2_000),
                ..request(0)
            };
            let random = &mut fleet.random;
            let mut draw = || random.random::<f64>();
            if let Step::Place(_) = placement.next(&mut context, &wanted, now, &mut draw) {
                sent.push(now);
            }
        }
    }
    assert!(sent.len() >= 12, "only {} in four seconds", sent.len());
    let worst = sent.iter().map(|at| {
        let until = *at + Duration::from_secs(1);
        sent.iter().filter(|s| **s >= *at && **s < until).count()
    });
    assert!(worst.max() <= Some(14));
}

/// A route's requests must stay in one region, and all endpoints there are gone. Sent
/// elsewhere, the files in the requests would leave the country.
#[test]
fn stays_in_region() {
    let mut fleet = Fleet::of(&[
        ("a", "near"),
        ("b", "beside"),
        ("c", "abroad"),
        ("d", "new"),
    ]);
    fleet.topology = Topology::new([("near", "home"), ("beside", "home"), ("abroad", "away")]);
    fleet.regions = BTreeSet::from([RegionKey::named("home")]);
    let fast = |_, now| sample(100, 0, 0, now);
    let mut now = START;
    assert_eq!(fleet.place(&request(600), &mut now, fast), Ok(key("a")));
    fleet.leaving_centres.insert(DataCentreKey::named("near"));
    assert_eq!(fleet.place(&request(600), &mut now, fast), Ok(key("b")));
    fleet.leaving_centres.insert(DataCentreKey::named("beside"));
    let refused = fleet.place(&request(600), &mut now, fast);
    assert_eq!(refused, Err(Refusal::NoEndpoint));
    fleet.regions = BTreeSet::from([RegionKey::named("away")]);
    assert_eq!(fleet.place(&request(600), &mut now, fast), Ok(key("c")));
}

/// The data centre's own endpoints are full. Requests must go to another data centre of
/// the same region: in another region each request would take 24 ms longer, and its bytes
/// would cost ten times as much.
#[test]
fn nearest_region() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "beside"), ("c", "abroad")]);
    fleet.topology = Topology::new([("near", "home"), ("beside", "home"), ("abroad", "away")]);
    let near_full = |k: EndpointKey, now| match k == key("a") {
        true => sample(100, 6, 4, now),
        false => sample(100, 0, 0, now),
    };
    for n in 0..20 {
        let mut now = START + Duration::from_secs(n);
        let wanted = request_at(now);
        assert_eq!(fleet.place(&wanted, &mut now, near_full), Ok(key("b")));
    }
}

/// Each host of a hundred has few requests and many endpoints. If it probes another
/// endpoint each time, it opens a connection for nearly every request, which takes slots
/// from callers. It must use the endpoints it is connected to as long as they are fast.
#[test]
fn kept_connections() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut fleet = Fleet::of(&[]);
    let entries = names.map(|n| (n.to_owned(), Entry::Endpoint(endpoint(n, "near"))));
    fleet.registry.replace(entries.into(), START);
    fleet.connected = BTreeSet::from([key("c"), key("f")]);
    let mut used = BTreeSet::new();
    for round in 0..60 {
        let mut now = START + Duration::from_secs(round);
        let wanted = request_at(now);
        let fast = |_, now| sample(100, 0, 0, now);
        used.insert(fleet.place(&wanted, &mut now, fast).unwrap());
    }
    assert_eq!(used, fleet.connected);
    let mut now = START + Duration::from_secs(90);
    let wanted = request_at(now);
    let connected = fleet.connected.clone();
    let slow = |k, now| sample(if connected.contains(&k) { 400 } else { 100 }, 0, 0, now);
    let used = fleet.place(&wanted, &mut now, slow).unwrap();
    assert!(!fleet.connected.contains(&used));
}

/// Operators add endpoints to a busy service. If hosts used only the endpoints they are
/// connected to, the new ones would stay empty while callers wait.
#[test]
fn new_endpoints_used() {
    let mut fleet = Fleet::of(&[]);
    let entry = |name: &str| Entry::Endpoint(endpoint(name, "near"));
    let entries = ["a", "b", "c", "d"].map(|n| (n.to_owned(), entry(n)));
    fleet.registry.replace(entries.into(), START);
    fleet.connected = BTreeSet::from([key("a")]);
    let mut used = BTreeSet::new();
    for round in 0..20 {
        let mut now = START + Duration::from_secs(round);
        if round == 10 {
            fleet.registry.apply("e", Some(entry("e")), now);
        }
        let wanted = request_at(now);
        let fast = |_, now| sample(100, 0, 0, now);
        used.insert(fleet.place(&wanted, &mut now, fast).unwrap());
    }
    assert_eq!(used, BTreeSet::from([key("a"), key("e")]));
}

/// Most endpoints advertise a rate limit, and this host's quota of it is used up. Its
/// requests must go to the other endpoints instead of waiting or being rejected.
#[test]
fn others_filled() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "near"), ("c", "far")]);
    fleet.share = 0.01;
    for name in ["a", "b"] {
        let limits = fleet.registry.limits_mut();
        limits.observe(key(name), Some(1.0), Source::Request);
    }
    for _ in 0..20 {
        let mut now = START;
        let chosen = fleet.place(&request(600), &mut now, |_, at| sample(100, 0, 0, at));
        assert_eq!(chosen, Ok(key("c")));
    }
}

/// All endpoints advertise a rate limit. A request whose token would come too late must
/// be rejected at once, so that its caller can retry in time.
#[test]
fn quota_used_up() {
    let mut fleet = Fleet::of(&[("a", "near"), ("b", "far")]);
    fleet.share = 0.01;
    for name in ["a", "b"] {
        let limits = fleet.registry.limits_mut();
        limits.observe(key(name), Some(1.0), Source::Request);
    }
    let mut now = START;
    let chosen = fleet.place(&request(600), &mut now, |_, at| sample(100, 0, 0, at));
    assert_eq!((chosen, now), (Err(Refusal::Limited), START));
}

/// The next token comes within the objective: the request must wait for it.
#[test]
fn next_token() {
    let mut fleet = Fleet::of(&[("a", "near")]);
    fleet.share = 1.0;
    let limits = fleet.registry.limits_mut();
    limits.observe(key("a"), Some(4.0), Source::Request);
    let mut now = START;
    for _ in 0..3 {
        let wanted = request_at(now);
        let chosen = fleet.place(&wanted, &mut now, |_, at| sample(100, 0, 0, at));
        assert_eq!(chosen, Ok(key("a")));
    }
    assert!(now.since(START) >= Duration::from_millis(500));
}
