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
use state::fleet::{Endpoint, Entry, Placement, Registry};
use state::topology::Topology;
use state::{DataCentreKey, Moment, ServiceKey};

const DECISIONS: u32 = 200;
const CENTRES: usize = 5;
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

fn main() {
    println!("endpoints  microseconds a decision");
    for count in [60, 630, 4_617, 20_000] {
        let mut registry = Registry::default();
        for number in 0..count {
            let entry = Entry::Endpoint(endpoint(number));
            registry.apply(&format!("i-{number}"), Some(entry), Moment(0));
        }
        let request = Request {
            service: ServiceKey::named("svc"),
            centre: DataCentreKey::named("centre-0"),
            objective: NOW + Duration::from_secs(1),
            deadline: NOW + Duration::from_secs(2),
            service_time: Duration::from_millis(100),
            priority: 1,
            account: None,
            route: 7,
            draw: 0.5,
        };
        let mut random = SmallRng::seed_from_u64(7);
        let leaving = BTreeSet::new();
        let regions = BTreeSet::new();
        let topology = Topology::default();
        let versions = VersionRule::All;
        let began = Instant::now();
        for _ in 0..DECISIONS {
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
        let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS);
        println!("{count:9}  {micros:10.1}");
    }
}
