//! Concurrent runs of the configuration with fixed seeds, and the checks of their history.

use std::sync::Arc;

use bytes::Bytes;
use coordination::config::{Change, Command, CommandId};
use protocol::config_record::encode_command;
use rstest::rstest;
use stand_ins::config_run::{
    History, IssuedCommand, Observation, RunOptions, Violation, check, run,
};
use state::Config;
use transport::log::{CommandRequest, Outcome};

// Operators race through hosts whose links fail, while the store is down, slow, trims old records
// and loses answers, and hosts restart. No host shows an older configuration after a newer one,
// and every answer agrees with the log.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(9)]
#[case(31)]
fn racing_operators(#[case] seed: u64) {
    let options = RunOptions {
        seed,
        hosts: 4,
        operators: 3,
        commands: 25,
        faults: 25,
    };
    let history = run(options).unwrap();
    assert_eq!(check(&history), []);
    assert_eq!(history.issued.len(), 75);
    assert!(
        history.final_revisions[0] > 5,
        "{:?}",
        history.final_revisions
    );
}

fn record(offset: u64, decided_on: u64, change: Change) -> Bytes {
    encode_command(&Command {
        id: CommandId::new(offset, 9),
        decided_on,
        change,
    })
}

fn choose(name: &str) -> Change {
    Change::ChoosePreset {
        name: name.to_owned(),
    }
}

/// A history without violations: two presets are put and then chosen one after the other.
fn valid_history() -> History {
    let put = |text: &str| Change::PutPreset {
        text: text.to_owned(),
    };
    let records = vec![
        record(0, 0, put(include_str!("../../../examples/midlands.toml"))),
        record(
            1,
            1,
            put(include_str!("../../../examples/midlands-peak.toml")),
        ),
        record(2, 2, choose("ordinary")),
        record(3, 3, choose("peak")),
    ];
    let issued = IssuedCommand {
        request: CommandRequest {
            id: Some(CommandId::new(3, 9)),
            decided_on: Some(3),
            change: choose("peak"),
        },
        outcomes: vec![Outcome::Accepted { revision: 4 }],
    };
    History {
        records,
        issued: vec![issued],
        final_revisions: vec![4],
        ..History::default()
    }
}

fn shown(revision: u64) -> Observation {
    Observation {
        host: 0,
        restarts: 0,
        config: Arc::new(Config {
            revision,
            ..Config::default()
        }),
    }
}

fn with_outcome(outcome: Outcome) -> History {
    let mut history = valid_history();
    history.issued[0].outcomes = vec![outcome];
    history
}

#[test]
fn no_violations() {
    assert_eq!(check(&valid_history()), []);
}

#[test]
fn planted_revert() {
    let mut history = valid_history();
    history.observations = vec![shown(4), shown(3)];
    let revert = Violation::Reverted {
        host: 0,
        from: 4,
        to: 3,
    };
    assert!(check(&history).contains(&revert));
}

#[test]
fn planted_difference() {
    let mut history = valid_history();
    history.observations = vec![shown(3)];
    let violations = Violation::Differs {
        host: 0,
        revision: 3,
    };
    assert_eq!(check(&history), [violations]);
}

#[rstest]
#[case(Outcome::Accepted { revision: 3 })]
#[case(Outcome::Refused { reason: "someone was first".to_owned() })]
#[case(Outcome::Unreachable { reason: "down".to_owned() })]
fn planted_wrong_answer(#[case] outcome: Outcome) {
    let violations = check(&with_outcome(outcome));
    assert!(
        matches!(violations[..], [Violation::Untrue { .. }]),
        "{violations:?}"
    );
}

#[test]
fn planted_unknown() {
    let id = CommandId::new(3, 9);
    let violations = check(&with_outcome(Outcome::Unknown { id }));
    assert_eq!(violations, [Violation::Unsettled { id }]);
}

#[test]
fn planted_lag() {
    let mut history = valid_history();
    history.final_revisions = vec![4, 3];
    let violations = Violation::Behind {
        host: 1,
        revision: 3,
    };
    assert_eq!(check(&history), [violations]);
}
