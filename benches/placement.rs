//! Measures one placement decision, by the number of endpoints of the service.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::fleet::placement::{Context, Request};
use state::fleet::rollout::VersionRule;
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Subset};
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const DECISIONS: u32 = 200;
const CENTRES: usize = 5;
/// The hosts of the data centre.
const HOSTS: usize = 200;
const NOW: Moment = Moment::from_millis(100_000);

fn endpoint(number: usize) -> Endpoint {
    let [_, a, b, c] = u32::try_from(number).unwrap_or_default().to_be_bytes();
    Endpoint {
        instance: format!("i-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([10, a, b, c], 80)),
        centre: DataCentreKey::named(&format!("centre-{}", number % CENTRES)),
        version: None,
        slots: 6,
        draining: false,
        cold: Duration::ZERO,
    }
}

/// Which decision is measured.
#[derive(Clone, Copy, PartialEq)]
enum Case {
    /// All endpoints are looked at, as by hosts with many requests.
    Wide,
    /// The host uses a subset, and knows no load sample.
    Subset,
    /// The host knows fresh load samples, and a member is good.
    Sampled,
    /// All members are nearly full, as is all that the host knows of the others.
    Overload,
}

fn main() {
    println!("endpoints  microseconds a decision: wide  subset  sampled  overload");
    for count in [60, 630, 4_617, 20_000] {
        let cases = [Case::Wide, Case::Subset, Case::Sampled, Case::Overload];
        let [wide, subset, sampled, overload] = cases.map(|case| measure(count, case));
        println!("{count:9}  {wide:10.1} {subset:10.1} {sampled:10.1} {overload:10.1}");
    }
}

fn set_samples(registry: &mut Registry, case: Case) {
    let keys: Vec<EndpointKey> = registry
        .endpoints_of(ServiceKey::named("svc"))
        .map(|(key, _)| key)
        .collect();
    for (number, key) in keys.into_iter().enumerate() {
        let running = match case {
            Case::Overload => 6,
            Case::Sampled => u32::try_from(number % 7).unwrap_or_default(),
            Case::Wide | Case::Subset => return,
        };
        let sample = LoadSample {
            at: NOW,
            running,
            waiting: 0,
            slots: 6,
            slowness: 100,
            healthy: true,
            reported: true,
        };
        registry
            .get_mut(key)
            .into_iter()
            .for_each(|s| s.set_sample(sample));
    }
}

/// Returns the microseconds that one decision takes.
fn measure(count: usize, case: Case) -> f64 {
    let (service, centre) = (ServiceKey::named("svc"), DataCentreKey::named("centre-0"));
    let mut registry = Registry::default();
    for number in 0..count {
        let entry = Entry::Endpoint(endpoint(number));
        registry.apply(&format!("i-{number}"), Some(entry), Moment(0));
    }
    let near = registry.near(service, centre).cloned().unwrap_or_default();
    if case != Case::Wide {
        registry.set_subset(service, Subset::new(&near, HOSTS / 3, HOSTS, 6));
    }
    set_samples(&mut registry, case);
    let mut random = SmallRng::seed_from_u64(7);
    let leaving = BTreeSet::new();
    let regions = BTreeSet::new();
    let topology = Topology::default();
    let versions = VersionRule::All;
    let began = Instant::now();
    for _ in 0..DECISIONS {
        let request = Request {
            service,
            centre,
            objective: NOW + Duration::from_secs(1),
            deadline: NOW + Duration::from_secs(2),
            service_time: Duration::from_millis(100),
            priority: 1,
            account: None,
            route: 7,
            draw: random.random(),
        };
        let mut context = Context {
            registry: &mut registry,
            leaving_centres: &leaving,
            topology: &topology,
            regions: &regions,
            versions: &versions,
            cold: Quota::cold(3.6, 0.001),
            is_connected: &|_| false,
            is_first: true,
            may_probe: true,
        };
        let mut draw = || random.random();
        black_box(Placement::default().next(&mut context, &request, NOW, &mut draw));
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}
