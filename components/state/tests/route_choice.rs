//! Routes: the longest prefix, the split between services, and increasing versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::ServiceKey;
use state::routing::{CallerLimits, Catalogue, OperatorConfig, Route, RouteTable, WeightedService};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 0,
        attempts: 2,
        weighted_services: vec![weighted("svc", 1)],
        public: false,
        regions: BTreeSet::new(),
    }
}

fn weighted(service: &str, weight: u64) -> WeightedService {
    WeightedService {
        service: ServiceKey::named(service),
        weight,
    }
}

fn catalogue(version: u64) -> Catalogue {
    Catalogue {
        version,
        routes: RouteTable::new(vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ]),
        services: BTreeMap::new(),
        accounts: None,
        limits: CallerLimits {
            head_size: 16_384,
            body_size: 1_000,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
    }
}

#[rstest]
#[case("a.example", "/x/y/z/1", Some("long"))]
#[case("A.Example:8080", "/x/1", Some("short"))]
#[case("b.example", "/x/y/1", None)]
#[case("a.example", "/x", None)]
#[case("c.example", "/x/1", None)]
fn longest_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let catalogue = catalogue(1);
    let found = catalogue.route(host, path).map(|r| r.name.as_str());
    assert_eq!(found, expected);
}

/// The lookup doesn't compare a request with each of thousands of routes. Its result must
/// be the same as if it did.
#[test]
fn found_as_among_all() {
    let mut random = StdRng::seed_from_u64(22);
    let mut piece = |count: u32| match random.random_range(0..count) {
        n if n < 3 => ["a", "b", "ab"][n as usize].to_owned(),
        n => n.to_string(),
    };
    let mut routes = Vec::new();
    for n in 0..400 {
        let depth = n % 4;
        let path: String = (0..depth).map(|_| format!("{}/", piece(5))).collect();
        let host = format!("{}.example", piece(4));
        routes.push(route(&n.to_string(), &host, &format!("/{path}")));
    }
    let mut whole = catalogue(1);
    whole.routes = RouteTable::new(routes.clone());
    for _ in 0..2_000 {
        let host = format!("{}.example", piece(5));
        let path = format!("/{}/{}/{}", piece(5), piece(5), piece(5));
        let among_all = routes
            .iter()
            .filter(|r| r.host == host && path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len());
        assert_eq!(whole.route(&host, &path), among_all, "{host}{path}");
    }
}

#[test]
fn weighted_services() {
    let mut route = route("split", "a.example", "/");
    route.weighted_services = vec![
        weighted("new", 100),
        weighted("old", 900),
        weighted("none", 0),
    ];
    let mut random = StdRng::seed_from_u64(3);
    let mut shares = BTreeMap::new();
    for _ in 0..10_000 {
        let service = route
            .pick_service(random.random())
            .expect("the route has services");
        *shares.entry(service).or_insert(0) += 1;
    }
    assert!((900..1_100).contains(&shares[&ServiceKey::named("new")]));
    assert!(!shares.contains_key(&ServiceKey::named("none")));
}

/// The store returns an older configuration, as it does after losing records or applying
/// a delayed write. The host must not go back to routes that operators have removed.
#[test]
fn never_back() {
    let mut orders = OperatorConfig::default();
    assert!(orders.adopt(catalogue(7)));
    assert!(!orders.adopt(catalogue(5)));
    assert!(!orders.adopt(catalogue(7)));
    assert!(orders.adopt(catalogue(12)));
}
