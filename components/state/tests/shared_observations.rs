//! Observations about endpoints: what a host tells, and what it does with what others tell.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use state::fleet::hints::{HINT_TIME, HINTED_DIVISOR};
use state::fleet::observation_outbox::{
    BURST_BYTES, DATAGRAM_BYTES, ENDPOINT_BYTES, GROUP_BYTES, MAX_DELAY, MIN_HOSTS, is_sharing,
};
use state::fleet::outcome::Outcome;
use state::fleet::{
    Endpoint, Entry, Hints, Observation, ObservationKind, ObservationOutbox, Registry,
};
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);

/// The number of endpoints of the one service, all in one data centre.
const ENDPOINTS: usize = 20;

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        instance: format!("i-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named("near"),
        version: None,
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn registry() -> Registry {
    let mut registry = Registry::default();
    for number in 0..ENDPOINTS {
        let endpoint = endpoint(number);
        let name = endpoint.instance.clone();
        registry.apply(&name, Some(Entry::Endpoint(endpoint)), START);
    }
    registry
}

fn key(number: usize) -> EndpointKey {
    endpoint(number).key()
}

fn host(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_540))
}

fn observed(number: usize, kind: ObservationKind) -> Observation {
    Observation {
        endpoint: key(number),
        kind,
        age: Duration::from_millis(15),
    }
}

fn after(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

struct Receiver {
    registry: Registry,
    hints: Hints,
}

impl Receiver {
    fn new() -> Receiver {
        Receiver {
            registry: registry(),
            hints: Hints::default(),
        }
    }

    fn hear(&mut self, from: u8, numbers: &[usize], kind: ObservationKind, now: Moment) {
        let told: Vec<Observation> = numbers.iter().map(|n| observed(*n, kind)).collect();
        self.hints
            .take_in(host(from), &told, &mut self.registry, now);
    }

    fn avoided(&self, now: Moment) -> Vec<usize> {
        let is_avoided = |n: &usize| {
            let state = self.registry.get(key(*n)).expect("the endpoint is known");
            state.health.is_avoided(now)
        };
        (0..ENDPOINTS).filter(is_avoided).collect()
    }
}

/// One refused connection at another host must spare this one a request of its own. Slow or
/// broken answers may be that host's own fault, and must be confirmed by a second host.
#[rstest]
#[case(ObservationKind::Unconnected, 1)]
#[case(ObservationKind::Failing, 1)]
#[case(ObservationKind::Broken, 2)]
#[case(ObservationKind::Slow, 2)]
#[case(ObservationKind::Shedding, 2)]
fn confirming_hosts(#[case] kind: ObservationKind, #[case] needed: u8) {
    let mut receiver = Receiver::new();
    for from in 1..=needed {
        assert!(receiver.avoided(START).is_empty());
        receiver.hear(from, &[3], kind, START);
        // The same host again is no second one.
        receiver.hear(1, &[3], kind, START);
    }
    assert_eq!(receiver.avoided(START), [3]);
}

/// A wrong report must not keep an endpoint idle for longer than a failure seen here.
#[test]
fn short_avoidance() {
    let mut receiver = Receiver::new();
    receiver.hear(1, &[3], ObservationKind::Unconnected, START);
    assert_eq!(receiver.avoided(START), [3]);
    assert!(receiver.avoided(START + HINT_TIME).is_empty());
    assert!(HINT_TIME < Duration::from_secs(1));
}

/// An endpoint that answers this host must not be avoided for what others reported before.
#[rstest]
fn own_answer(#[values(true, false)] probe: bool, #[values(true, false)] before: bool) {
    let mut receiver = Receiver::new();
    if !before {
        receiver.hear(1, &[3], ObservationKind::Unconnected, START);
        assert_eq!(receiver.avoided(START), [3]);
    }
    match probe {
        true => receiver.registry.note_answer(key(3), after(1)),
        false => {
            let outcome = Outcome::Answered;
            receiver.registry.note_outcome(key(3), outcome, after(1));
        }
    }
    if before {
        // Observed 15 ms before, sent at 5 ms.
        receiver.hear(1, &[3], ObservationKind::Unconnected, after(5));
    }
    assert!(receiver.avoided(after(5)).is_empty());
}

/// Reports of many hosts must not take a service's endpoints out of use.
#[test]
fn few_hinted() {
    let mut receiver = Receiver::new();
    for number in 0..ENDPOINTS {
        // Each host reports one endpoint, and so isn't cut off.
        let from = u8::try_from(number).expect("few endpoints") + 1;
        receiver.hear(from, &[number], ObservationKind::Unconnected, START);
    }
    assert_eq!(receiver.avoided(START).len(), ENDPOINTS / HINTED_DIVISOR);
}

/// Where this host already avoids nearly half of the endpoints, hints must leave the rest.
#[test]
fn enough_remain() {
    let mut receiver = Receiver::new();
    for number in 0..ENDPOINTS / 2 {
        let outcome = Outcome::Broken;
        receiver.registry.note_outcome(key(number), outcome, START);
    }
    receiver.hear(1, &[15], ObservationKind::Unconnected, START);
    assert_eq!(receiver.avoided(START).len(), ENDPOINTS / 2);
}

/// A host that lost its links reports all endpoints, at once or one after the other. That must
/// change nothing, also for the endpoints that it reported first.
#[rstest]
fn cut_off_reporter(#[values(true, false)] at_once: bool) {
    let mut receiver = Receiver::new();
    let all: Vec<usize> = (0..ENDPOINTS).collect();
    match at_once {
        true => receiver.hear(1, &all, ObservationKind::Unconnected, START),
        false => {
            for number in &all {
                receiver.hear(1, &[*number], ObservationKind::Unconnected, START);
            }
        }
    }
    assert!(receiver.avoided(START).is_empty());
    receiver.hear(2, &[3], ObservationKind::Unconnected, START);
    assert_eq!(receiver.avoided(START), [3], "another host still counts");
}

/// An endpoint that answers another host again must not stay avoided through hints.
#[test]
fn recovery_told() {
    let mut receiver = Receiver::new();
    receiver.hear(1, &[3, 4], ObservationKind::Unconnected, START);
    receiver.hear(2, &[3], ObservationKind::Recovered, after(100));
    assert_eq!(receiver.avoided(after(100)), [4]);
}

/// Observations that were delayed, and those of endpoints unknown here, must change nothing.
#[test]
fn stale_reports() {
    let mut receiver = Receiver::new();
    let stale = Observation {
        age: Duration::from_secs(1),
        ..observed(3, ObservationKind::Unconnected)
    };
    let unknown = observed(ENDPOINTS, ObservationKind::Unconnected);
    let effect = receiver
        .hints
        .take_in(host(1), &[stale, unknown], &mut receiver.registry, START);
    assert_eq!(effect, state::fleet::hints::HintEffect::default());
    assert!(receiver.avoided(START).is_empty());
}

/// A hint must not hide that an endpoint fails here: it is avoided for longer then, and told.
#[test]
fn own_failure() {
    let mut receiver = Receiver::new();
    receiver.hear(1, &[3], ObservationKind::Unconnected, START);
    let newly = receiver
        .registry
        .note_outcome(key(3), Outcome::Broken, after(10));
    assert!(newly);
    assert_eq!(receiver.avoided(START + HINT_TIME), [3]);
}

/// What is seen within milliseconds must go out in one datagram, within the longest delay.
#[test]
fn gathered_observations() {
    let mut outbox = ObservationOutbox::default();
    let kind = ObservationKind::Unconnected;
    let due = outbox.note_failure(key(0), kind, 30, 0.9, START);
    let due = due.expect("nobody has told it");
    outbox.note_failure(key(1), kind, 30, 0.9, after(2));
    assert!(due <= START + MAX_DELAY && due > START);
    assert!(outbox.take_due(29, START).is_empty());
    assert_eq!(outbox.take_due(29, due).len(), 2);
    assert_eq!(outbox.due(), None);
}

/// A failure that enough other hosts have told must not be told again, and one that too few
/// have told must be.
#[rstest]
#[case(ObservationKind::Unconnected, 1, 0)]
#[case(ObservationKind::Slow, 1, 1)]
#[case(ObservationKind::Slow, 2, 0)]
fn told_by_others(#[case] kind: ObservationKind, #[case] hosts: u8, #[case] told: usize) {
    let mut outbox = ObservationOutbox::default();
    outbox.note_failure(key(0), kind, 30, 0.9, START);
    for from in 1..=hosts {
        outbox.note_told(host(from), &[observed(0, kind)], after(1));
    }
    let at = outbox.due().unwrap_or(START + MAX_DELAY);
    assert_eq!(outbox.take_due(29, at).len(), told);
}

/// Many failures at once must keep to the byte budget; the newest failures matter most.
#[test]
fn byte_budget() {
    const RECEIVERS: usize = 100;
    let mut outbox = ObservationOutbox::default();
    outbox.note_failure(key(19), ObservationKind::Unconnected, 100, 0.9, START);
    let at = START + MAX_DELAY;
    assert_eq!(outbox.take_due(RECEIVERS, at).len(), 1);
    outbox.note_answer(key(19), 100, 0.9, after(1_000));
    for number in 0..18 {
        let now = after(1_000) + Duration::from_micros(number);
        let number = usize::try_from(number).expect("few endpoints");
        outbox.note_failure(key(number), ObservationKind::Unconnected, 100, 0.9, now);
    }
    let told = outbox.take_due(RECEIVERS, after(1_000) + MAX_DELAY);
    let kept: Vec<EndpointKey> = told.iter().map(|o| o.endpoint).collect();
    let newest: Vec<EndpointKey> = (0..18).rev().take(kept.len()).map(key).collect();
    assert!(!kept.is_empty() && kept.len() < 19, "{}", kept.len());
    assert_eq!(kept, newest);
    assert_eq!(outbox.take_dropped(), 19 - kept.len() as u64);
    let spent = (DATAGRAM_BYTES + GROUP_BYTES + ENDPOINT_BYTES * kept.len()) * RECEIVERS;
    assert!(spent <= BURST_BYTES as usize);
}

/// Hosts that find out by themselves must not spend anything on telling each other.
#[test]
fn small_sites() {
    assert!(!is_sharing(MIN_HOSTS - 1, 0.1, 100));
    assert!(!is_sharing(30, 150.0, 100));
    assert!(is_sharing(30, 10.0, 100));
}
