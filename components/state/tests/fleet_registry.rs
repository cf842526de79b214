//! The registry of endpoints, as records of the store come and go.

use std::net::SocketAddr;
use std::time::Duration;

use state::fleet::rate_limit::{RateLimitUpdate, Source};
use state::fleet::{Endpoint, Entry, Registry};
use state::{DataCentreKey, Moment, ServiceKey};

fn endpoint(name: &str, started_ms: u64) -> Endpoint {
    Endpoint {
        instance: name.to_owned(),
        started_ms,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named("here"),
        version: None,
        slots: 6,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn with(names: &[&str]) -> Registry {
    let mut registry = Registry::default();
    for name in names {
        registry.apply(name, Some(Entry::Endpoint(endpoint(name, 1))), Moment(0));
    }
    registry
}

/// All leases expire during a store outage, and when the store is back the entries are
/// missing until live endpoints register again. Without a grace period callers would be
/// rejected by a healthy service.
#[test]
fn lapsed_leases() {
    let mut registry = with(&["a", "b"]);
    let back = Moment::from_millis(30_000);
    registry.start_lapse_grace(back);
    registry.apply("a", None, back);
    registry.apply("b", None, back);
    assert_eq!(registry.len(), 2);
    let again = back + Duration::from_millis(1_500);
    registry.apply("a", Some(Entry::Endpoint(endpoint("a", 1))), again);
    registry.expire_lapsed(back + Duration::from_millis(1_999));
    assert_eq!(registry.len(), 2);
    registry.expire_lapsed(back + Duration::from_millis(2_000));
    assert_eq!(registry.len(), 1);
    assert!(registry.get(endpoint("a", 1).key()).is_some());
}

/// While the store is available, a removed entry means that the endpoint is gone.
#[test]
fn gone_at_once() {
    let mut registry = with(&["a"]);
    registry.apply("a", None, Moment::from_millis(1));
    assert!(registry.is_empty());
}

/// An endpoint restarts under its old name: what was known about its former instance
/// doesn't apply to the new one.
#[test]
fn restarted() {
    let mut registry = with(&["a"]);
    let old = endpoint("a", 1).key();
    registry
        .get_mut(old)
        .expect("the endpoint is known")
        .start();
    registry.apply("a", Some(Entry::Endpoint(endpoint("a", 2))), Moment(1));
    assert!(registry.get(old).is_none());
    let new = registry
        .get(endpoint("a", 2).key())
        .expect("the endpoint is known");
    assert_eq!(new.running, 0);
}

/// Something other than an endpoint was written under an endpoint's name.
#[test]
fn unusable_entry() {
    let mut registry = with(&["a", "b"]);
    registry.apply("a", Some(Entry::Unusable), Moment(1));
    assert_eq!(registry.len(), 1);
}

/// A data centre that was taken out returns, possibly cold: its endpoints must count as
/// cold until they report themselves warm.
#[test]
fn centre_returns() {
    let mut registry = with(&["a"]);
    let now = Moment::from_millis(5_000);
    registry.mark_cold(DataCentreKey::named("here"), now, |_| {
        Duration::from_secs(3)
    });
    let state = registry
        .get_mut(endpoint("a", 1).key())
        .expect("the endpoint is known");
    assert!(state.is_cold(now));
    state.note_cold(Duration::ZERO, now);
    assert!(!state.is_cold(now));
}

/// Rate limits of endpoints that are gone must not accumulate, whether they come from
/// late answers or from other hosts.
#[test]
fn limits_of_gone() {
    let mut registry = with(&["a"]);
    let key = endpoint("a", 1).key();
    let update = RateLimitUpdate {
        endpoint: key,
        rate: Some(1.5),
    };
    registry.apply_limit_update(&update);
    assert!(registry.limits().contains(key));
    registry.apply("a", None, Moment::from_millis(1));
    assert!(!registry.limits().contains(key));
    registry.apply_limit_update(&update);
    assert_eq!(
        registry.observe_limit(key, Some(1.5), Source::Request),
        None
    );
    assert!(!registry.limits().contains(key));
}

/// Only an entry that says nothing new is a renewal; hosts are not sent it again. An endpoint
/// that drains, starts anew or was removed before has to be sent to them.
#[test]
fn renewals() {
    let mut registry = Registry::default();
    let now = Moment::from_millis(1_000);
    let ready = endpoint("i-1", 1);
    let entry = |e: &Endpoint| Some(Entry::Endpoint(e.clone()));
    assert!(!registry.is_renewal("i-1", entry(&ready).as_ref(), now));
    registry.apply("i-1", entry(&ready), now);
    assert!(registry.is_renewal("i-1", entry(&ready).as_ref(), now));
    let draining = Endpoint {
        draining: true,
        ..ready.clone()
    };
    let restarted = Endpoint {
        started_ms: ready.started_ms + 1,
        ..ready.clone()
    };
    for changed in [&draining, &restarted] {
        assert!(!registry.is_renewal("i-1", entry(changed).as_ref(), now));
    }
    assert!(!registry.is_renewal("i-1", Some(&Entry::Unusable), now));
    assert!(!registry.is_renewal("i-1", None, now));
    registry.start_lapse_grace(now);
    registry.apply("i-1", None, now);
    assert!(!registry.is_renewal("i-1", entry(&ready).as_ref(), now));
}

/// While an endpoint warms up its renewals name ever less time. If they counted as changes,
/// all endpoints of a site that starts would be sent to all hosts twice.
#[test]
fn cold_renewals() {
    let mut registry = Registry::default();
    let now = Moment::from_millis(1_000);
    let cold = |millis| {
        let entry = Endpoint {
            cold: Duration::from_millis(millis),
            ..endpoint("i-1", 1)
        };
        Some(Entry::Endpoint(entry))
    };
    registry.apply("i-1", cold(3_000), now);
    let later = now + Duration::from_millis(1_500);
    for left in [0, 1_400, 1_600] {
        assert!(
            registry.is_renewal("i-1", cold(left).as_ref(), later),
            "{left}"
        );
    }
    // The endpoint has become cold again.
    assert!(!registry.is_renewal("i-1", cold(3_000).as_ref(), later));
}
