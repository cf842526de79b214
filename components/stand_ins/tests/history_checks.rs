//! Each check of a history finds its violation, and none in a history without violations.

use std::net::SocketAddr;

use rstest::rstest;
use stand_ins::history::check::{Check, Limits, check, tally};
use stand_ins::history::{Event, Order, Outcome, Record, read_lines, write_lines};

const SECOND: u64 = 1_000_000;

fn endpoint() -> SocketAddr {
    "127.0.0.1:7001".parse().unwrap()
}

fn at(second: u64, event: Event) -> Record {
    Record {
        at: second * SECOND,
        event,
    }
}

fn sent(call: u64, key: Option<&str>) -> Event {
    Event::Sent {
        call,
        host: "entry-1".to_owned(),
        idempotent: false,
        key: key.map(str::to_owned),
        deadline_ms: 5_000,
    }
}

fn received(call: u64, key: Option<&str>) -> Event {
    load(call, key, 1, 6, false)
}

fn load(call: u64, key: Option<&str>, running: u32, bears: u32, cold: bool) -> Event {
    Event::Received {
        endpoint: endpoint(),
        call,
        key: key.map(str::to_owned),
        running,
        bears,
        cold,
        started: running <= bears,
    }
}

fn answered(call: u64, outcome: Outcome) -> Event {
    Event::Answered {
        call,
        outcome,
        own: true,
    }
}

fn ordered(order: Order, name: &str, revision: u64) -> Event {
    Event::Ordered {
        order,
        name: name.to_owned(),
        revision,
    }
}

fn asked(order: Order, name: &str) -> Event {
    Event::Asked {
        order,
        name: name.to_owned(),
    }
}

fn seen(host: &str, revision: u64, preset: &str) -> Event {
    Event::Seen {
        host: host.to_owned(),
        revision,
        preset: Some(preset.to_owned()),
    }
}

fn probed() -> Event {
    Event::Probed {
        endpoint: endpoint(),
        cost_us: 6_000,
    }
}

/// A history of one minute that exercises every guarantee without a violation.
fn valid_history() -> Vec<Record> {
    let host = || "entry-1".to_owned();
    let endpoint = endpoint();
    vec![
        at(
            0,
            Event::Endpoint {
                endpoint,
                data_centre: "trent".to_owned(),
                slots: 6,
            },
        ),
        at(0, Event::Up { host: host() }),
        at(1, probed()),
        at(1, ordered(Order::Choose, "ordinary", 1)),
        at(2, seen("entry-1", 1, "ordinary")),
        at(2, sent(1, Some("deposit-1"))),
        at(2, received(1, Some("deposit-1"))),
        at(3, answered(1, Outcome::Complete)),
        at(4, sent(2, Some("deposit-2"))),
        at(4, Event::TurnedCold { endpoint }),
        at(5, load(3, None, 2, 1, true)),
        at(5, answered(2, Outcome::NotRun)),
        at(9, load(4, None, 1, 1, true)),
        at(10, ordered(Order::CentreLeaves, "trent", 2)),
        at(11, received(5, None)),
        at(12, seen("entry-1", 2, "ordinary")),
        at(18, asked(Order::CentreReturns, "trent")),
        at(19, received(10, None)),
        at(20, ordered(Order::CentreReturns, "trent", 3)),
        at(21, received(6, None)),
        at(21, seen("entry-1", 3, "ordinary")),
        at(
            30,
            Event::Draining {
                endpoint,
                draining: true,
            },
        ),
        at(31, received(7, None)),
        at(
            40,
            Event::Draining {
                endpoint,
                draining: false,
            },
        ),
        at(41, received(8, None)),
        at(50, sent(9, None)),
        at(50, Event::Stopping { host: host() }),
        at(51, received(9, None)),
        at(52, answered(9, Outcome::Complete)),
        at(53, Event::Gone { host: host() }),
        at(54, Event::Up { host: host() }),
        at(54, sent(10, None)),
        at(55, answered(10, Outcome::Broken)),
    ]
}

#[rstest]
#[case::many_probes(Check::ProbeBudget, (0..40).map(|_| at(5, probed())).collect())]
#[case::cold_overload(Check::Cold, vec![at(9, load(20, None, 2, 1, true))])]
#[case::centre_used(Check::CentreOut, vec![at(15, received(20, None))])]
#[case::foreign_answer(Check::OwnAnswer, vec![
    at(5, sent(20, None)),
    at(6, Event::Answered { call: 20, outcome: Outcome::Complete, own: false }),
])]
#[case::no_answer(Check::OwnAnswer, vec![at(5, sent(20, None))])]
#[case::late_answer(Check::OwnAnswer, vec![
    at(5, sent(20, None)),
    at(15, answered(20, Outcome::NotRun)),
])]
#[case::run_refused(Check::NotRun, vec![
    at(5, sent(20, None)),
    at(6, answered(20, Outcome::NotRun)),
    at(7, received(20, None)),
])]
#[case::run_key_refused(Check::NotRun, vec![
    at(5, sent(20, Some("deposit-1"))),
    at(6, answered(20, Outcome::NotRun)),
])]
#[case::call_twice(Check::AtMostOnce, vec![
    at(5, sent(20, None)),
    at(6, received(20, None)),
    at(6, received(20, None)),
    at(7, answered(20, Outcome::Complete)),
])]
#[case::key_twice(Check::AtMostOnce, vec![
    at(5, sent(20, Some("deposit-1"))),
    at(6, received(20, Some("deposit-1"))),
    at(7, answered(20, Outcome::Complete)),
])]
#[case::drained_used(Check::ServerLeaving, vec![at(35, received(20, None))])]
#[case::left_host_used(Check::ServerLeaving, vec![
    at(42, ordered(Order::HostLeaves, "127.0.0.1", 4)),
    at(46, received(20, None)),
])]
#[case::cut_off(Check::Shutdown, vec![
    at(49, sent(20, None)),
    at(51, answered(20, Outcome::Broken)),
])]
#[case::reverted(Check::Configuration, vec![at(22, seen("entry-1", 2, "ordinary"))])]
#[case::not_in_force(Check::Configuration, vec![at(17, seen("entry-2", 1, "ordinary"))])]
#[case::two_presets(Check::Configuration, vec![at(22, seen("entry-2", 3, "peak"))])]
#[case::above_slots(Check::Slots, vec![at(9, load(20, None, 7, 6, false))])]
fn planted_violation(#[case] expected: Check, #[case] planted: Vec<Record>) {
    let mut records = valid_history();
    records.extend(planted);
    records.sort_by_key(|r| r.at);
    let violations = check(&records, &Limits::default());
    assert!(!violations.is_empty());
    assert!(
        violations.iter().all(|v| v.check == expected),
        "{violations:?}"
    );
}

#[test]
fn no_violations() {
    let violations = check(&valid_history(), &Limits::default());
    assert_eq!(violations, []);
    assert!(tally(&violations).into_values().all(|count| count == 0));
}

#[test]
fn survives_file() {
    let mut file = Vec::new();
    write_lines(&valid_history(), &mut file).unwrap();
    assert_eq!(read_lines(file.as_slice()).unwrap(), valid_history());
}
