//! Tests the fold of the `config` stream: races, repeats, gaps and generated histories.

use coordination::config::{
    Answer, Applied, Change, Command, CommandId, Fold, KEPT_COMMANDS, Position, Record, Refusal,
    Subject, Unreadable, is_newer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use state::HostKey;

const ORDINARY: &str = include_str!("../../../examples/midlands.toml");
const PEAK: &str = include_str!("../../../examples/midlands-peak.toml");
const MAINTENANCE: &str = include_str!("../../../examples/midlands-maintenance.toml");

fn put(text: &str) -> Change {
    Change::PutPreset {
        text: text.to_owned(),
    }
}

fn choose(name: &str) -> Change {
    Change::ChoosePreset {
        name: name.to_owned(),
    }
}

fn leave(name: &str) -> Change {
    Change::LeaveCentre {
        name: name.to_owned(),
    }
}

fn join(name: &str, incarnation: u64) -> Change {
    Change::Join {
        name: name.to_owned(),
        incarnation,
        peer: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "trent".to_owned(),
    }
}

fn remove(name: &str, incarnation: u64) -> Change {
    Change::Remove {
        host: HostKey::named(name),
        incarnation,
    }
}

/// Folds one more command, based on `revision`, of an author that has read the whole log.
fn submit(fold: &mut Fold, revision: u64, change: Change) -> Answer {
    let offset = fold.position().next;
    let command = Command {
        id: CommandId::new(offset, offset),
        decided_on: revision,
        change,
    };
    match fold.apply(offset, Ok(Record::Command(command))) {
        Applied::Decided(_, answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn started() -> Fold {
    let mut fold = Fold::default();
    for text in [ORDINARY, PEAK, MAINTENANCE] {
        submit(&mut fold, 0, put(text));
    }
    assert_eq!(
        submit(&mut fold, 3, choose("ordinary")),
        Answer::Accepted { revision: 4 }
    );
    fold
}

fn conflict(subject: Subject, revision: u64) -> Answer {
    let refusal = Refusal::Conflict { subject, revision };
    Answer::Refused { refusal }
}

// Two operators choose different presets on the same revision. The second one's answer
// names the first change, and the first one's preset stays in force.
#[test]
fn racing_choices() {
    let mut fold = started();
    assert_eq!(
        submit(&mut fold, 4, choose("peak")),
        Answer::Accepted { revision: 5 }
    );
    assert_eq!(
        submit(&mut fold, 4, choose("maintenance")),
        conflict(Subject::Choice, 5)
    );
    assert_eq!(fold.config().preset().unwrap().name, "peak");
    let text = "was changed first, at revision 5: look again";
    let Answer::Refused { refusal } = submit(&mut fold, 4, choose("maintenance")) else {
        panic!("accepted")
    };
    assert!(refusal.to_string().contains(text), "{refusal}");
}

// While an operator decides on a preset, hosts join and a data centre leaves. Neither
// conflicts with the choice, so the operator is not refused.
#[test]
fn unrelated_changes() {
    let mut fold = started();
    submit(&mut fold, 4, join("trent-1", 1));
    submit(&mut fold, 4, leave("soar"));
    assert_eq!(
        submit(&mut fold, 4, choose("peak")),
        Answer::Accepted { revision: 7 }
    );
    assert!(fold.config().leaving_centres.contains("soar"));
}

// One operator edits an idle preset while another puts it into force. Without a conflict
// the edit would affect callers at once, which neither operator decided.
#[test]
fn edit_conflicts_with_choice() {
    let edited = PEAK.replace("queue = 800", "queue = 801");
    let mut fold = started();
    submit(&mut fold, 4, choose("peak"));
    assert_eq!(
        submit(&mut fold, 4, put(&edited)),
        conflict(Subject::Choice, 5)
    );
    let mut fold = started();
    submit(&mut fold, 4, put(&edited));
    assert_eq!(
        submit(&mut fold, 4, choose("peak")),
        conflict(Subject::Preset("peak".to_owned()), 5)
    );
}

#[test]
fn repeated_choice() {
    let mut fold = started();
    submit(&mut fold, 4, choose("peak"));
    assert_eq!(
        submit(&mut fold, 4, choose("peak")),
        Answer::Accepted { revision: 5 }
    );
    assert_eq!(
        submit(&mut fold, 4, put(PEAK)),
        Answer::Accepted { revision: 2 }
    );
    assert_eq!(fold.position().revision, 5);
}

#[test]
fn unknown_names() {
    let mut fold = started();
    let unknown = |refusal| Answer::Refused { refusal };
    let host = Change::LeaveHost {
        name: "127.1.9.9".to_owned(),
    };
    let known = Change::LeaveHost {
        name: "127.1.1.1".to_owned(),
    };
    assert_eq!(
        submit(&mut fold, 4, choose("summer")),
        unknown(Refusal::UnknownPreset("summer".to_owned()))
    );
    assert_eq!(
        submit(&mut fold, 4, leave("sour")),
        unknown(Refusal::UnknownCentre("sour".to_owned()))
    );
    assert_eq!(
        submit(&mut fold, 4, host),
        unknown(Refusal::UnknownHost("127.1.9.9".to_owned()))
    );
    assert_eq!(
        submit(&mut fold, 4, known),
        Answer::Accepted { revision: 5 }
    );
    let endpoint = "127.1.1.1:7102".parse().unwrap();
    assert!(fold.config().is_leaving("trent", endpoint));
}

// The removal of a host's previous process arrives after the host has been restarted; or
// the join of a paused process arrives after its removal. The new process stays a member,
// and the removed one stays removed.
#[test]
fn late_membership() {
    let mut fold = started();
    submit(&mut fold, 4, join("trent-1", 1));
    submit(&mut fold, 5, join("trent-1", 2));
    assert_eq!(
        submit(&mut fold, 6, remove("trent-1", 1)),
        Answer::Refused {
            refusal: Refusal::UnknownMember
        }
    );
    assert_eq!(
        submit(&mut fold, 6, remove("trent-1", 2)),
        Answer::Accepted { revision: 7 }
    );
    let member = Subject::Member(HostKey::named("trent-1"));
    assert_eq!(
        submit(&mut fold, 5, join("trent-1", 2)),
        conflict(member, 7)
    );
    assert!(fold.config().members.is_empty());
}

// An operator doesn't receive an answer and repeats the command: at once, and again after
// a thousand other commands, when its id has been dropped. The command runs once and
// never reverts later decisions.
#[test]
fn repeats() {
    let mut fold = started();
    let command = Command {
        id: CommandId::new(4, 77),
        decided_on: 4,
        change: choose("peak"),
    };
    let answer = Answer::Accepted { revision: 5 };
    let repeat = |fold: &mut Fold| {
        let offset = fold.position().next;
        fold.apply(offset, Ok(Record::Command(command.clone())))
    };
    assert_eq!(
        repeat(&mut fold),
        Applied::Decided(command.id, answer.clone())
    );
    submit(&mut fold, 5, choose("ordinary"));
    assert_eq!(repeat(&mut fold), Applied::Repeated(command.id, answer));
    for n in 0..=KEPT_COMMANDS as u64 {
        let revision = fold.position().revision;
        submit(&mut fold, revision, join("trent-1", n));
    }
    let refusal = Refusal::TooOld;
    assert_eq!(
        repeat(&mut fold),
        Applied::Decided(command.id, Answer::Refused { refusal })
    );
    assert_eq!(fold.config().chosen.as_deref(), Some("ordinary"));
    let snapshot = fold.snapshot().unwrap();
    assert_eq!(snapshot.recent.len(), KEPT_COMMANDS);
    assert!(snapshot.touched.len() <= KEPT_COMMANDS);
}

// While a host is paused, the records it would fold next are trimmed from the log. The
// host keeps its state until a snapshot covers the trimmed records, reads on from there,
// and ends in the same state as the others.
#[test]
fn records_trimmed() {
    let mut fold = started();
    let mut paused = fold.clone();
    submit(&mut fold, 4, choose("peak"));
    let stale = fold.snapshot().unwrap();
    submit(&mut fold, 5, leave("soar"));
    let snapshot = fold.snapshot().unwrap();
    let missed = Command {
        id: CommandId::new(6, 1),
        decided_on: 6,
        change: choose("maintenance"),
    };
    paused.log_trimmed(6);
    assert!(paused.is_behind());
    let step = paused.apply(6, Ok(Record::Command(missed.clone())));
    assert_eq!((step, paused.position().revision), (Applied::Ignored, 4));
    let step = paused.apply(7, Ok(Record::Snapshot(Box::new(stale))));
    assert_eq!(
        step,
        Applied::Ignored,
        "the records after the snapshot were trimmed"
    );
    let step = paused.apply(8, Ok(Record::Snapshot(Box::new(snapshot.clone()))));
    assert_eq!(step, Applied::Replaced(snapshot.position()));
    assert_eq!((paused.read_offset(), paused.is_behind()), (6, false));
    let ahead = paused.apply(9, Ok(Record::Command(missed.clone())));
    assert_eq!((ahead, paused.is_behind()), (Applied::Ignored, false));
    for fold in [&mut paused, &mut fold] {
        fold.apply(6, Ok(Record::Command(missed.clone())));
    }
    assert_eq!(paused.config(), fold.config());
}

// A newer release writes a record that this one can't decode. The host goes on without
// the record, writes no snapshots, and recovers with the next snapshot that covers the
// record.
#[test]
fn newer_record() {
    let mut fold = started();
    let mut updated = fold.clone();
    submit(&mut updated, 4, choose("peak"));
    let step = fold.apply(4, Err(Unreadable::Newer(2)));
    assert_eq!(step, Applied::Skipped(Unreadable::Newer(2)));
    assert_eq!((fold.skipped_newer(), fold.snapshot()), (Some(4), None));
    submit(&mut fold, 4, leave("soar"));
    submit(&mut updated, 4, leave("soar"));
    let snapshot = updated.snapshot().unwrap();
    fold.apply(6, Ok(Record::Snapshot(Box::new(snapshot))));
    assert_eq!(fold.config(), updated.config());
    assert_eq!(fold.skipped_newer(), None);
}

// All entry hosts were down for longer than the log retains records, and an operator
// resets the configuration. A host that was merely paused reads the same record: it ends
// in the same state as new hosts, and no revision decreases.
#[test]
fn reset_after_outage() {
    let mut paused = started();
    let mut new = Fold::default();
    new.log_trimmed(60);
    assert_eq!(
        new.apply(60, Err(Unreadable::Damaged)),
        Applied::Skipped(Unreadable::Damaged)
    );
    let begin = || Ok(Record::Begin(PEAK.to_owned()));
    let mark = Position {
        next: 62,
        revision: 62,
    };
    assert_eq!(new.apply(61, begin()), Applied::Replaced(mark));
    for n in 4..61 {
        submit(&mut paused, 4, join("trent-1", n));
    }
    let late = Command {
        id: CommandId::new(60, 1),
        decided_on: 60,
        change: leave("soar"),
    };
    assert_eq!(paused.apply(61, begin()), Applied::Replaced(mark));
    for fold in [&mut paused, &mut new] {
        fold.apply(62, Ok(Record::Command(late.clone())));
        assert_eq!(
            fold.apply(63, Ok(Record::Begin("name = 3".to_owned()))),
            Applied::Ignored
        );
        submit(fold, 62, leave("trent"));
    }
    assert_eq!(paused.config(), new.config());
    assert_eq!(new.config().preset().unwrap().name, "peak");
    assert_eq!(
        new.config().leaving_centres.len(),
        1,
        "commands based on earlier revisions are too old"
    );
}

#[test]
fn older_snapshot() {
    let mut fold = started();
    let old = fold.snapshot().unwrap();
    submit(&mut fold, 4, choose("peak"));
    assert!(!is_newer(fold.position(), old.position()));
    assert!(!fold.take_snapshot(old.clone()));
    let mut other = Fold::default();
    assert!(other.take_snapshot(fold.snapshot().unwrap()));
    assert!(!other.take_snapshot(old));
    assert_eq!(other.config(), fold.config());
}

/// One record of a generated history.
#[derive(Clone, Debug)]
enum Event {
    Submit { change: Change, behind: u64 },
    Repeat { back: usize },
    Snapshot { back: usize },
    Damaged,
    Begin,
}

fn event() -> impl Strategy<Value = Event> {
    let text = prop::sample::select(vec![ORDINARY, PEAK, MAINTENANCE, "name = 3"]);
    let preset = prop::sample::select(vec!["ordinary", "peak", "maintenance", "summer"]);
    let centre = prop::sample::select(vec!["trent", "soar", "sour"]);
    let host = prop::sample::select(vec!["trent-1", "trent-2", "soar-1"]);
    let change = prop_oneof![
        text.prop_map(put),
        preset.prop_map(choose),
        centre.clone().prop_map(leave),
        centre.prop_map(|name| Change::ReturnCentre {
            name: name.to_owned()
        }),
        (host.clone(), 0..3_u64).prop_map(|(name, n)| join(name, n)),
        (host, 0..3_u64).prop_map(|(name, n)| remove(name, n)),
    ];
    prop_oneof![
        8 => (change, 0..3_u64).prop_map(|(change, behind)| Event::Submit { change, behind }),
        2 => (0..8_usize).prop_map(|back| Event::Repeat { back }),
        1 => (0..8_usize).prop_map(|back| Event::Snapshot { back }),
        1 => Just(Event::Damaged),
        1 => Just(Event::Begin),
    ]
}

/// Returns a history as the log would hold it, with the state before each record.
fn history(events: &[Event]) -> (Vec<Result<Record, Unreadable>>, Vec<Fold>) {
    let mut folds = vec![Fold::default()];
    let mut records: Vec<Result<Record, Unreadable>> = Vec::new();
    for (offset, event) in (0_u64..).zip(events) {
        let mut fold = folds.last().cloned().unwrap_or_default();
        let earlier = |back: usize| records.len().checked_sub(1 + back);
        let record = match event {
            Event::Submit { change, behind } => Ok(Record::Command(Command {
                id: CommandId::new(offset.saturating_sub(*behind), offset),
                decided_on: fold.position().revision.saturating_sub(*behind),
                change: change.clone(),
            })),
            Event::Repeat { back } => match earlier(*back) {
                Some(at) => records[at].clone(),
                None => Err(Unreadable::Damaged),
            },
            Event::Snapshot { back } => {
                let at = earlier(*back).unwrap_or(0);
                Ok(Record::Snapshot(Box::new(folds[at].snapshot().unwrap())))
            }
            Event::Damaged => Err(Unreadable::Damaged),
            Event::Begin => Ok(Record::Begin(PEAK.to_owned())),
        };
        fold.apply(offset, record.clone());
        records.push(record);
        folds.push(fold);
    }
    (records, folds)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// For all histories, the revision grows by at most one except at a reset, one preset
    /// stays in force, and an id has one answer; only a reset drops an answer, and then
    /// the repeated command is refused as too old.
    #[test]
    fn sound_steps(events in prop::collection::vec(event(), 1..60)) {
        let (records, folds) = history(&events);
        for (pair, record) in folds.windows(2).zip(&records) {
            let (before, after) = (pair[0].config(), pair[1].config());
            let grown = after.revision - before.revision;
            prop_assert!(grown <= 1 || matches!(record, Ok(Record::Begin(_))));
            prop_assert!(after.revision <= pair[1].position().next);
            prop_assert_eq!(grown == 0, before == after);
            prop_assert!(before.chosen.is_none() || after.preset().is_some());
        }
        let reset = records.iter().any(|r| matches!(r, Ok(Record::Begin(_))));
        let too_old = Answer::Refused { refusal: Refusal::TooOld };
        let end = folds.last().unwrap().snapshot().unwrap();
        for recent in &end.recent {
            for fold in &folds {
                let answer = fold.answer(recent.id);
                let dropped = reset && recent.answer == too_old;
                prop_assert!(answer.is_none() || answer == Some(&recent.answer) || dropped);
            }
        }
    }

    /// Whichever way a host gets its state (from the first record, from a peer's snapshot
    /// while reading, or after a gap), it ends in the same state as the others and never
    /// shows a lower revision on the way.
    #[test]
    fn all_paths_meet(
        events in prop::collection::vec(event(), 1..60),
        pause in 0..60_usize,
        gap in 0..60_usize,
        peer_snapshot in 0..60_usize,
    ) {
        let (mut records, folds) = history(&events);
        let end = folds.last().unwrap();
        let at = |n: usize| n.min(records.len());
        let (pause, peer_snapshot) = (at(pause), at(peer_snapshot));
        let first = at(pause + gap);
        records.push(Ok(Record::Snapshot(Box::new(end.snapshot().unwrap()))));
        let mut host = folds[pause].clone();
        host.log_trimmed(first as u64);
        let mut shown = host.position().revision;
        let mut reads = 0;
        while host.read_offset() < records.len() as u64 {
            let offset = host.read_offset();
            host.apply(offset, records[offset as usize].clone());
            if offset as usize == peer_snapshot {
                host.take_snapshot(folds[peer_snapshot].snapshot().unwrap());
            }
            prop_assert!(host.position().revision >= shown);
            shown = host.position().revision;
            reads += 1;
            prop_assert!(reads <= 3 * records.len(), "reading never ends");
        }
        prop_assert_eq!(host.config(), end.config());
        prop_assert!(!host.is_behind());
    }
}

/// A stopping entry host drains before it leaves. The mark has to be removed with the
/// member: otherwise the same host would own nothing after a restart.
#[test]
fn drain_ends() {
    let mut fold = started();
    let north = HostKey::named("north");
    let drain = |incarnation| Change::Drain {
        host: north,
        incarnation,
    };
    assert!(matches!(
        submit(&mut fold, 4, drain(1)),
        Answer::Refused { .. }
    ));
    submit(&mut fold, 4, join("north", 1));
    assert!(matches!(
        submit(&mut fold, 5, drain(2)),
        Answer::Refused { .. }
    ));
    assert_eq!(
        submit(&mut fold, 5, drain(1)),
        Answer::Accepted { revision: 6 }
    );
    assert!(fold.config().draining.contains(&north));
    assert_eq!(
        submit(&mut fold, 6, drain(1)),
        Answer::Accepted { revision: 6 }
    );
    submit(&mut fold, 6, remove("north", 1));
    assert!(fold.config().draining.is_empty());
    submit(&mut fold, 7, join("north", 3));
    submit(&mut fold, 8, drain(3));
    submit(&mut fold, 9, join("north", 4));
    assert!(fold.config().draining.is_empty());
}
