//! A host that none of a service's endpoints answers.

use std::net::SocketAddr;
use std::time::Duration;

use state::fleet::isolation::Isolation;
use state::fleet::outcome::Outcome;
use state::fleet::{Endpoint, Entry, Registry};
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);

const ENDPOINTS: usize = 11;

fn fail(isolation: &mut Isolation, keys: impl IntoIterator<Item = u64>, endpoints: usize) {
    for key in keys {
        isolation.note(EndpointKey(key), Outcome::Broken, endpoints, START);
    }
}

/// A cut between a host and all endpoints must not look like single failures for long.
#[test]
fn three_fail() {
    let mut isolation = Isolation::default();
    fail(&mut isolation, [1, 2], ENDPOINTS);
    assert!(!isolation.is_isolated());
    fail(&mut isolation, [3], ENDPOINTS);
    assert!(isolation.is_isolated());
    let later = START + Duration::from_secs(2);
    assert_eq!(isolation.lasted(later), Some(Duration::from_secs(2)));
}

/// An endpoint that crashed and is tried again and again must not isolate the host.
#[test]
fn same_endpoint() {
    let mut isolation = Isolation::default();
    fail(&mut isolation, [1, 1, 1, 1], ENDPOINTS);
    assert!(!isolation.is_isolated());
}

/// Endpoints that fail now and then, while others answer, must not isolate the host.
#[test]
fn answers_between() {
    let mut isolation = Isolation::default();
    for key in 0..20 {
        fail(&mut isolation, [key, key + 1], ENDPOINTS);
        isolation.note(EndpointKey(50), Outcome::Answered, ENDPOINTS, START);
    }
    assert!(!isolation.is_isolated());
}

/// A service with fewer endpoints than usually have to fail can be unreachable too.
#[test]
fn few_endpoints() {
    let mut isolation = Isolation::default();
    fail(&mut isolation, [1], 2);
    assert!(!isolation.is_isolated());
    fail(&mut isolation, [2], 2);
    assert!(isolation.is_isolated());
}

/// Any answer shows that the link works, a rejection as well as a failure.
#[test]
fn answer_ends() {
    for outcome in [Outcome::Answered, Outcome::Shed, Outcome::Failed] {
        let mut isolation = Isolation::default();
        fail(&mut isolation, [1, 2, 3], ENDPOINTS);
        isolation.note(EndpointKey(4), outcome, ENDPOINTS, START);
        assert!(!isolation.is_isolated());
    }
}

/// A few endpoints still answer over open connections, and all others refuse new ones. The host
/// must know that others have more to choose from.
#[test]
fn half_silent() {
    let mut isolation = Isolation::default();
    for key in 0..6 {
        isolation.note(EndpointKey(50), Outcome::Answered, ENDPOINTS, START);
        assert!(!isolation.reaches_few(|| ENDPOINTS, START));
        fail(&mut isolation, [key], ENDPOINTS);
    }
    assert!(!isolation.is_isolated());
    assert!(isolation.reaches_few(|| ENDPOINTS, START));
    isolation.note(EndpointKey(1), Outcome::Answered, ENDPOINTS, START);
    assert!(!isolation.reaches_few(|| ENDPOINTS, START));
}

/// Endpoints that failed long ago must not count as out of reach.
#[test]
fn silence_expires() {
    let mut isolation = Isolation::default();
    fail(&mut isolation, 0..8, ENDPOINTS);
    assert!(isolation.reaches_few(|| ENDPOINTS, START + Duration::from_secs(4)));
    assert!(!isolation.reaches_few(|| ENDPOINTS, START + Duration::from_secs(6)));
}

fn registry() -> (Registry, Vec<EndpointKey>) {
    let mut registry = Registry::default();
    let mut keys = Vec::new();
    for number in 0..ENDPOINTS {
        let endpoint = Endpoint {
            instance: format!("i-{number}"),
            started_ms: 1,
            service: ServiceKey::named("svc"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            centre: DataCentreKey::named("here"),
            version: None,
            slots: 6,
            draining: false,
            cold: Duration::ZERO,
        };
        keys.push(endpoint.key());
        let name = endpoint.instance.clone();
        registry.apply(&name, Some(Entry::Endpoint(endpoint)), START);
    }
    (registry, keys)
}

/// When a cut ends, the few endpoints that happened not to be tried during it must not get all
/// requests, with the others avoided for seconds.
#[test]
fn failures_forgiven() {
    let (mut registry, keys) = registry();
    for key in &keys[..8] {
        registry.note_outcome(*key, Outcome::Broken, START);
    }
    assert!(registry.is_isolated(ServiceKey::named("svc")));
    // They fail once more during the cut, at its end.
    let end = START + Duration::from_secs(2);
    for key in &keys[..8] {
        registry.note_outcome(*key, Outcome::Broken, end);
    }
    registry.note_answer(keys[9], end);
    assert!(registry.isolated_services().is_empty());
    for key in &keys {
        let state = registry.get(*key).expect("the endpoint is known");
        assert!(!state.health.is_avoided(end));
    }
}

/// The link to one data centre is cut, and its endpoints fail in a row until one elsewhere
/// answers. They must go on being avoided, or each request tries them again.
#[test]
fn short_kept() {
    let (mut registry, keys) = registry();
    for key in &keys[..8] {
        registry.note_outcome(*key, Outcome::Broken, START);
    }
    let soon = START + Duration::from_millis(100);
    registry.note_answer(keys[9], soon);
    assert!(registry.isolated_services().is_empty());
    let state = registry.get(keys[0]).expect("the endpoint is known");
    assert!(state.health.is_avoided(soon));
}

/// Endpoints that fail while others answer must go on being avoided.
#[test]
fn crashed_avoided() {
    let (mut registry, keys) = registry();
    registry.note_outcome(keys[0], Outcome::Broken, START);
    registry.note_answer(keys[1], START);
    let state = registry.get(keys[0]).expect("the endpoint is known");
    assert!(state.health.is_avoided(START));
}
