//! An entry host that shuts down gives its slots to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coordination::slots::{Arrival, Effect, Ending, Identity, SlotManager};
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

fn host(name: &str, incarnation: u64) -> SlotManager {
    let identity = Identity {
        host: HostKey::named(name),
        incarnation,
        centre: DataCentreKey::named("trent"),
    };
    SlotManager::new(identity, Moment(0))
}

/// The last host of a site is stopped while it is the holder, owner and broker of
/// every slot. It once leased each slot that it gave up to itself again, without
/// end, and the shutdown never finished.
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
    let started = slots
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
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
    let status = slots
        .status(ServiceKey::named("hallboard"))
        .expect("the service is known");
    assert_eq!(status.idle, 0);
}

/// An operator restarts one of two entry hosts. Before hosts were marked as draining,
/// the free slots of its endpoints stayed unused until the next owner's fence was over,
/// and callers of the other host were refused for seconds.
#[test]
fn roles_handed_over() {
    let names = ["north", "south"];
    let keys = names.map(HostKey::named);
    let mut hosts = [host("north", 1), host("south", 2)];
    let alive = BTreeSet::from(keys);
    let mut now = Moment::from_millis(1);
    let mut config = config(&["north"]);
    for slots in &mut hosts {
        slots.configure(&self::config(&[]), &BTreeSet::new(), now);
        slots.configure(&config, &alive, now);
    }
    run(&mut hosts, keys, &mut now, 20);
    config = self::config(&names);
    for slots in &mut hosts {
        slots.configure(&config, &alive, now);
    }
    run(&mut hosts, keys, &mut now, 200);
    assert!(
        hosts.iter().all(|slots| slots.owned().len() == 1),
        "each owns one endpoint"
    );

    config.draining.insert(keys[0]);
    for slots in &mut hosts {
        slots.configure(&config, &alive, now);
    }
    run(&mut hosts, keys, &mut now, 100);
    assert!(hosts[0].owned().is_empty());
    assert_eq!(hosts[1].owned().len(), 2);
    assert!(
        hosts[1]
            .owned()
            .values()
            .all(|owned| owned.lease_table.is_open(now))
    );
}

/// Runs both hosts for `millis` milliseconds; a message takes one.
fn run(hosts: &mut [SlotManager; 2], keys: [HostKey; 2], now: &mut Moment, millis: u64) {
    let mut in_transit = Vec::new();
    for _ in 0..millis {
        *now = *now + Duration::from_millis(1);
        for (from, to, message) in std::mem::take(&mut in_transit) {
            if let Some(index) = keys.iter().position(|key| *key == to) {
                hosts[index].receive(from, message, *now);
            }
        }
        for (slots, key) in hosts.iter_mut().zip(keys) {
            slots.confirm(*now);
            slots.tick(*now);
            for effect in slots.take_effects() {
                if let Effect::Send(to, message) = effect {
                    in_transit.push((key, to, message));
                }
            }
        }
    }
}
