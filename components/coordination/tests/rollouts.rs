//! Roll-outs at sites of 3 to 472 hosts, in virtual time.

mod rollout_site;

use std::time::Duration;

use rollout_site::{Fault, Plan, StoreMode, World, version};
use state::fleet::rollout::Verdict;

const SIZES: [usize; 3] = [3, 106, 472];

/// The time within which a bad version must get nothing more after its 50th bad answer.
const ROLLBACK_MILLIS: u64 = 1_500;

fn played(plan: Plan) -> World {
    let mut world = World::new(plan);
    world.order();
    world.finish();
    world
}

/// Checks what must hold of a bad version: it gets little, goes back, and gets no more.
fn assert_rolled_back(world: &World) {
    let (seen, plan) = (&world.seen, &world.plan);
    assert!(
        seen.exposed <= world.allowed(),
        "{} of {} requests, {} allowed: {plan:?}",
        seen.exposed,
        seen.requests,
        world.allowed()
    );
    assert_eq!(
        world.verdict().map(|(v, _)| v),
        Some(Verdict::RolledBack),
        "{plan:?} {seen:?}"
    );
    if let Some(fiftieth) = seen.fiftieth_bad {
        assert!(
            seen.last_new <= fiftieth + ROLLBACK_MILLIS,
            "the last request came {} ms after the 50th bad answer: {plan:?}",
            seen.last_new - fiftieth
        );
    }
}

/// A version fails a part of its requests from the start. It must go back after a few of
/// them, whatever the number of hosts: at 472 hosts each sees one canary request in seconds.
#[test]
fn bad_version() {
    for hosts in SIZES {
        for (seed, share) in [(1, 0.25), (2, 0.4), (3, 0.6)] {
            assert_rolled_back(&played(Plan::new(seed, hosts, Fault::Bad(share))));
        }
    }
}

/// A version turns bad seconds after its start, when it has answered a hundred requests well.
#[test]
fn late_fault() {
    for hosts in SIZES {
        for (seed, after) in [(1, 3_000), (2, 6_000), (3, 9_000)] {
            assert_rolled_back(&played(Plan::new(seed, hosts, Fault::Late(0.41, after))));
        }
    }
}

/// Only one route of four shows the fault, so that a twelfth of all answers is bad.
#[test]
fn one_route() {
    for hosts in SIZES {
        assert_rolled_back(&played(Plan::new(1, hosts, Fault::OneRoute(0.5))));
    }
}

/// A good version must be in use before the deadline, and no request may be at the old one
/// when it is stopped.
#[test]
fn good_version() {
    for hosts in SIZES {
        for seed in 1..4 {
            let world = played(Plan::new(seed, hosts, Fault::None));
            let (verdict, at) = world.verdict().expect("a verdict");
            assert_eq!(verdict, Verdict::Completed, "{:?}", world.plan);
            assert!(at <= world.deadline(), "{:?}", world.plan);
            assert_eq!(world.seen.cut, 0, "{:?}", world.plan);
        }
    }
}

/// Bursts of faults that hit both versions, as of the network, are no reason to go back.
#[test]
fn noise_on_both() {
    for seed in 1..9 {
        let mut plan = Plan::new(seed, 106, Fault::None);
        plan.noise = 0.06;
        let world = played(plan);
        assert_eq!(
            world.verdict().map(|(v, _)| v),
            Some(Verdict::Completed),
            "{:?}",
            world.seen
        );
    }
}

/// The sum over hosts must keep the bound although callers come to a third of them, and
/// although most hosts start anew in the middle.
#[test]
fn skew_and_restarts() {
    for hosts in SIZES {
        let mut plan = Plan::new(5, hosts, Fault::Late(0.4, 7_000));
        plan.skew = 1.0;
        let mut world = World::new(plan);
        world.order();
        world.run(2_000);
        for index in 0..hosts {
            if index % 5 < 3 {
                world.kill(index);
            }
        }
        world.run(1_000);
        for index in 0..hosts {
            if index % 5 < 3 {
                world.start(index);
            }
        }
        world.finish();
        assert_rolled_back(&world);
    }
}

/// All hosts are lost after the verdict, and the order stands. They must learn the verdict
/// from the store and send the bad version nothing.
#[test]
fn verdict_outlives_hosts() {
    for hosts in SIZES {
        let mut world = World::new(Plan::new(4, hosts, Fault::Bad(0.5)));
        world.order();
        world.run(5_000);
        assert_eq!(world.verdict().map(|(v, _)| v), Some(Verdict::RolledBack));
        let last = world.seen.last_new;
        restart_all(&mut world);
        world.run(5_000);
        assert_eq!(world.seen.last_new, last, "{hosts} hosts");
        assert_eq!(world.seen.verdicts.len(), 1, "{hosts} hosts");
    }
}

/// All hosts are lost in the middle of a roll-out, with and without the order's record. They
/// must go on from the state in the store, and a good version must still be completed.
#[test]
fn all_hosts_lost() {
    for (hosts, order_stays) in [(3, true), (106, true), (106, false)] {
        let mut world = World::new(Plan::new(6, hosts, Fault::None));
        world.order();
        world.run(3_000);
        if !order_stays {
            world.drop_order();
        }
        restart_all(&mut world);
        world.finish();
        world.run(8_000);
        let verdict = world.verdict().map(|(v, _)| v);
        assert_eq!(verdict, Some(Verdict::Completed), "{hosts} {order_stays}");
    }
}

/// Operators stop a roll-out by ordering the version in use. The new one must get nothing
/// more, all requests must be served by the old one, and it must stay so when all hosts start
/// anew at that moment.
#[test]
fn stopped_by_order() {
    for is_lost in [false, true] {
        let mut world = World::new(Plan::new(2, 106, Fault::None));
        world.order();
        world.run(3_000);
        assert!(world.seen.exposed > 0);
        world.order_other("v1");
        if is_lost {
            restart_all(&mut world);
        }
        let before = world.seen.last_new;
        world.run(5_000);
        assert_eq!(world.seen.last_new, before, "lost: {is_lost}");
        assert_eq!(world.seen.refused, 0, "lost: {is_lost}");
        let verdicts: Vec<_> = world
            .seen
            .verdicts
            .iter()
            .map(|(v, d, _)| (*v, *d))
            .collect();
        assert_eq!(
            verdicts,
            [(version("v1"), Verdict::Completed)],
            "lost: {is_lost}"
        );
    }
}

/// All hosts are lost in the middle of a bad roll-out, the order's record is gone, and the
/// store doesn't answer. No host may take the new version for one that is in use.
#[test]
fn nothing_known() {
    let mut world = World::new(Plan::new(6, 106, Fault::Late(0.5, 4_000)));
    world.order();
    world.run(2_000);
    world.drop_order();
    world.store = StoreMode::Silent;
    let before = world.seen.exposed;
    restart_all(&mut world);
    world.run(8_000);
    assert_eq!(world.seen.exposed, before);
    world.store = StoreMode::Up;
    world.finish();
    assert_rolled_back(&world);
}

fn restart_all(world: &mut World) {
    for index in 0..world.plan.hosts {
        world.kill(index);
    }
    world.run(1_000);
    for index in 0..world.plan.hosts {
        world.start(index);
    }
}

/// The store is silent from the moment after the order. The canary must run, and a bad
/// version must get nothing more before the store has heard of it.
#[test]
fn silent_store() {
    for hosts in SIZES {
        let mut world = World::new(Plan::new(7, hosts, Fault::Bad(0.4)));
        world.store = StoreMode::Silent;
        world.order();
        world.run(7_000);
        let fiftieth = world.seen.fiftieth_bad.unwrap_or(world.now);
        assert!(world.seen.exposed > 0, "{hosts} hosts");
        assert!(world.seen.last_new <= fiftieth + ROLLBACK_MILLIS);
        assert!(world.seen.last_new + 2_000 < world.now, "{:?}", world.seen);
        world.store = StoreMode::Up;
        world.finish();
        assert_rolled_back(&world);
    }
}

/// A host that is cut off doesn't hear that the version is bad, so it must not go on sending
/// to it.
#[test]
fn host_cut_off() {
    let mut world = World::new(Plan::new(8, 106, Fault::Late(0.5, 4_000)));
    world.order();
    world.run(1_500);
    for index in 0..20 {
        world.cut(index, 9_000);
    }
    world.finish();
    assert_rolled_back(&world);
    assert_eq!(world.seen.cut_off, 0);
}

/// A data centre reaches no other one while the version turns bad, only the store. Its hosts
/// must not promote what the others have found bad.
#[test]
fn centre_cut_off() {
    for seed in 0..4 {
        let mut world = World::new(Plan::new(seed, 106, Fault::Late(0.3, 8_000)));
        world.order();
        world.run(2_000);
        world.split = Some(1);
        world.finish();
        assert_rolled_back(&world);
    }
}

/// Datagrams, hosts, the store and its answers are lost in series and together, drawn from a
/// seed. Whatever happens, there is one verdict, a bad version stays within the bound, and a
/// host that doesn't know the phase sends the new version nothing.
#[test]
fn seeded_faults() {
    // The last two once completed a bad version of which hardly any answer was left.
    for seed in (0..40).chain([460, 1_602]) {
        let world = faulty_run(seed, [3, 12, 40][seed as usize % 3]);
        let verdicts: Vec<Verdict> = world.seen.verdicts.iter().map(|(_, v, _)| *v).collect();
        assert!(verdicts.len() <= 1, "seed {seed}: {verdicts:?}");
        if world.plan.fault != Fault::None {
            assert!(
                world.seen.exposed <= world.allowed(),
                "seed {seed}: {:?}, {} allowed",
                world.seen,
                world.allowed()
            );
            assert!(!verdicts.contains(&Verdict::Completed), "seed {seed}");
        }
    }
}

fn faulty_run(seed: u64, hosts: usize) -> World {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    let mut random = SmallRng::seed_from_u64(seed);
    let faults = [
        Fault::None,
        Fault::Bad(0.3),
        Fault::Late(0.5, 4_000),
        Fault::OneRoute(0.6),
    ];
    let mut plan = Plan::new(seed, hosts, faults[random.random_range(0..faults.len())]);
    plan.loss = random.random_range(0.0..0.1);
    plan.duration = Duration::from_millis(random.random_range(8_000..16_000));
    let mut world = World::new(plan);
    world.order();
    for _ in 0..12 {
        match random.random_range(0..8) {
            0 => {
                let index = random.random_range(0..hosts);
                world.cut(index, random.random_range(500..6_000));
            }
            1 => {
                let index = random.random_range(0..hosts);
                world.kill(index);
                world.run(random.random_range(100..1_000));
                world.start(index);
            }
            2 => world.store = StoreMode::Silent,
            3 => world.store = StoreMode::Lossy,
            4 => world.store = StoreMode::Late,
            5 if random.random_bool(0.3) => restart_all(&mut world),
            6 => world.drop_order(),
            _ => world.store = StoreMode::Up,
        }
        world.run(random.random_range(100..1_500));
    }
    world.store = StoreMode::Up;
    world.run(12_000);
    world
}

/// What a host sends on a roll-out must not grow with the number of hosts, but for the few
/// announcements to its data centre.
#[test]
fn bounded_messages() {
    let busiest = |hosts| played(Plan::new(9, hosts, Fault::Bad(0.4))).busiest();
    let (few, many) = (busiest(106), busiest(472));
    assert!(many < few * 5, "{few} {many}");
}
