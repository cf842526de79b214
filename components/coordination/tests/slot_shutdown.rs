//! An entry host that shuts down leaves its slots to the others.

use std::collections::{BTreeMap, BTreeSet};

use coordination::slots::{Arrival, Effect, Ending, Identity, Slots};
use state::config::Member;
use state::preset::{DataCentre, Endpoint, Preset, Service};
use state::queue::CallKey;
use state::{Config, DataCentreKey, HostKey, Moment, ServiceKey};

fn config(hosts: &[&str]) -> Config {
    let text = [([10, 0, 0, 1], 80), ([10, 0, 0, 2], 80)];
    let endpoints = text.map(|address| Endpoint {
        address: address.into(),
        data_centre: "trent".to_owned(),
    });
    let service = Service {
        name: "hallboard".to_owned(),
        endpoints: endpoints.to_vec(),
        slots: 6,
        cold_slots: 1,
        connections: 200,
        deadline_ms: 10_000,
        queue: 50,
        body_limit: 1_000,
        retry_percent: 10,
        probe_cost_ms: 6,
        key_seconds: 60,
    };
    let centre = DataCentre {
        name: "trent".to_owned(),
        region: "midlands".to_owned(),
    };
    let preset = Preset {
        name: "ordinary".to_owned(),
        data_centres: vec![centre],
        services: vec![service],
    };
    let members = hosts.iter().enumerate().map(|(index, name)| {
        let member = Member {
            name: (*name).to_owned(),
            incarnation: index as u64 + 1,
            peer: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            data_centre: "trent".to_owned(),
            joined: index as u64 + 1,
        };
        (HostKey::named(name), member)
    });
    Config {
        revision: hosts.len() as u64,
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        chosen: Some("ordinary".to_owned()),
        members: members.collect(),
        ..Config::default()
    }
}

fn host(name: &str, life: u64) -> Slots {
    let identity = Identity {
        host: HostKey::named(name),
        life,
        centre: DataCentreKey::named("trent"),
    };
    Slots::new(identity, Moment(0))
}

/// The last host of a site is told to stop. It is the holder, the owner and
/// the broker of every slot, and once it leased each slot it gave up straight
/// back to itself, without end: the operator's shutdown never finished.
#[test]
fn lone_host() {
    let now = Moment::from_millis(1);
    let mut slots = host("north", 1);
    slots.configure(&config(&[]), &BTreeSet::new(), now);
    slots.configure(
        &config(&["north"]),
        &BTreeSet::from([HostKey::named("north")]),
        now,
    );
    slots.confirm(now);
    slots.tick(Moment::from_millis(10));
    let arrival = Arrival {
        call: CallKey(1),
        service: ServiceKey::named("hallboard"),
        deadline: Moment::from_millis(1_000),
        tried: Vec::new(),
    };
    slots.arrive(&arrival, Moment::from_millis(11));
    let started = slots.drain().into_iter().find_map(|effect| match effect {
        Effect::Start { lease, .. } => Some(lease),
        _ => None,
    });
    let lease = started.expect("an idle slot serves the call");

    slots.stop(Moment::from_millis(12));
    assert!(
        slots.may_send(lease, Moment::from_millis(12)),
        "the call in flight is not cut off"
    );
    slots.finish(lease, Ending::Answered, Moment::from_millis(20));
    let standing = slots
        .standing(ServiceKey::named("hallboard"))
        .expect("the service is known");
    assert_eq!(standing.idle, 0);
}
