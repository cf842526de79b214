//! The loss of a whole data centre: endpoints that fail, and hosts that are silent.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use state::fleet::centre_loss::{CentreLosses, Evidence, SILENCE, SUSPICION_TIME, Verdict};
use state::fleet::outcome::Outcome;
use state::fleet::{Endpoint, Entry, Hints, Observation, ObservationKind, Registry};
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);

const ENDPOINTS: usize = 20;

fn there() -> DataCentreKey {
    DataCentreKey::named("there")
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        instance: format!("i-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: there(),
        version: None,
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn key(number: usize) -> EndpointKey {
    endpoint(number).key()
}

struct Host {
    registry: Registry,
    hints: Hints,
    losses: CentreLosses,
}

impl Host {
    fn new() -> Host {
        let mut registry = Registry::default();
        for number in 0..ENDPOINTS {
            let endpoint = endpoint(number);
            let name = endpoint.instance.clone();
            registry.apply(&name, Some(Entry::Endpoint(endpoint)), START);
        }
        Host {
            registry,
            hints: Hints::default(),
            losses: CentreLosses::default(),
        }
    }

    /// Notes that this many endpoints fail here, and that as many hosts report others.
    fn fail(&mut self, own: usize, reported: usize) {
        for number in 0..own {
            self.registry
                .note_outcome(key(number), Outcome::Broken, START);
        }
        for number in 0..reported {
            let told = Observation {
                endpoint: key(ENDPOINTS - 1 - number),
                kind: ObservationKind::Broken,
                age: Duration::ZERO,
            };
            let last = u8::try_from(number).expect("few hosts");
            let from = SocketAddr::from(([10, 0, 0, last], 7_540));
            self.hints.take_in(from, &[told], &mut self.registry, START);
        }
    }

    fn suspect(&mut self, now: Moment) -> bool {
        let evidence = Evidence::gather(there(), &self.registry, &self.hints);
        self.losses.suspect(there(), evidence, now)
    }

    fn judge(&mut self, now: Moment) -> Verdict {
        let evidence = Evidence::gather(there(), &self.registry, &self.hints);
        self.losses.judge(there(), evidence, now)
    }
}

/// Failures here and at other hosts together must show the loss sooner than those here alone. One
/// or two failed endpoints, and reports without any failure here, must not.
#[rstest]
#[case::shared(1, 3, true, Verdict::Lost)]
#[case::own(4, 0, true, Verdict::Lost)]
#[case::reports_only(0, 6, true, Verdict::Open)]
#[case::one_reporter(2, 1, true, Verdict::Open)]
#[case::two_down(1, 1, false, Verdict::Unfounded)]
fn combined_failures(
    #[case] own: usize,
    #[case] reported: usize,
    #[case] suspected: bool,
    #[case] verdict: Verdict,
) {
    let mut host = Host::new();
    host.fail(own, reported);
    assert_eq!(host.suspect(START), suspected);
    assert_eq!(host.judge(START + SILENCE), verdict);
}

/// A bad release takes all endpoints down while the hosts beside them respond. That is no loss of
/// the data centre.
#[test]
fn hosts_respond() {
    let mut host = Host::new();
    host.fail(4, 4);
    assert!(host.suspect(START));
    host.losses.note_contact(there());
    assert_eq!(host.judge(START + SILENCE), Verdict::Unfounded);
    assert!(!host.losses.is_lost(there(), START + SILENCE));
}

/// A brief pause must not count as a loss: an endpoint answers again before the silence is long
/// enough.
#[test]
fn brief_pause() {
    let mut host = Host::new();
    host.fail(4, 4);
    assert!(host.suspect(START));
    let resumed = START + SILENCE / 2;
    assert_eq!(host.judge(resumed), Verdict::Open);
    host.registry.note_answer(key(0), resumed);
    assert_eq!(host.judge(START + SILENCE), Verdict::Open);
    assert_eq!(host.judge(START + SUSPICION_TIME), Verdict::Unfounded);
}

/// While a data centre fails, its hosts must not be queried at each further failure.
#[test]
fn queried_once() {
    let mut host = Host::new();
    host.fail(4, 4);
    assert!(host.suspect(START));
    assert!(!host.suspect(START + SILENCE));
    assert!(host.suspect(START + SUSPICION_TIME));
}

/// A lost data centre must be avoided at once, again after its first failed trial, and not any
/// more once an endpoint answers.
#[test]
fn avoided_together() {
    let mut host = Host::new();
    host.fail(1, 3);
    assert!(!host.registry.is_unreachable(there(), START));
    host.registry.note_centre_loss(there(), START);
    assert!(host.registry.is_unreachable(there(), START));
    let trial = START + Duration::from_millis(1_000);
    assert!(!host.registry.is_unreachable(there(), trial));
    host.registry.note_outcome(key(7), Outcome::Broken, trial);
    assert!(host.registry.is_unreachable(there(), trial));
    host.registry.note_answer(key(8), trial);
    assert!(!host.registry.is_unreachable(there(), trial));
}
