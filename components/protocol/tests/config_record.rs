//! Encoding and decoding of records of the `config` topic.

use bytes::Bytes;
use coordination::config::{Change, Command, CommandId, Fold, Record, Unreadable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::config_record::{decode_record, encode_begin, encode_command, encode_snapshot};
use rstest::rstest;
use state::HostKey;

const PRESET: &str = include_str!("../../../examples/hr-central.toml");

fn command(change: Change) -> Command {
    Command {
        id: CommandId::new(12, u64::MAX - 3),
        decided_on: 7,
        change,
    }
}

fn put() -> Command {
    command(Change::PutPreset {
        text: PRESET.to_owned(),
    })
}

#[rstest]
#[case(Change::PutPreset { text: PRESET.to_owned() })]
#[case(Change::ChoosePreset { name: "peak".to_owned() })]
#[case(Change::LeaveCentre { name: "a".to_owned() })]
#[case(Change::ReturnCentre { name: "a".to_owned() })]
#[case(Change::LeaveHost { name: "127.2.1.1".to_owned() })]
#[case(Change::ReturnHost { name: "127.2.1.1".to_owned() })]
#[case(Change::Join { name: "a-1".to_owned(), incarnation: u64::MAX, peer: "[::1]:9".parse().unwrap(), data_centre: "a".to_owned() })]
#[case(Change::Drain { host: HostKey(7), incarnation: u64::MAX })]
#[case(Change::Remove { host: HostKey(u64::MAX), incarnation: 1 })]
fn round_trip(#[case] change: Change) {
    let command = command(change);
    let read = decode_record(&encode_command(&command));
    assert_eq!(read, Ok(Record::Command(command)));
}

#[test]
fn snapshot_round_trip() {
    let mut fold = Fold::default();
    for (offset, change) in (0..).zip([
        put().change,
        Change::ChoosePreset {
            name: "ordinary".to_owned(),
        },
        Change::Join {
            name: "a-1".to_owned(),
            incarnation: 1,
            peer: "127.0.0.1:9".parse().unwrap(),
            data_centre: "a".to_owned(),
        },
        Change::LeaveCentre {
            name: "b".to_owned(),
        },
        Change::LeaveCentre {
            name: "sour".to_owned(),
        },
    ]) {
        let command = Command {
            id: CommandId::new(offset, offset),
            decided_on: offset,
            change,
        };
        fold.apply(offset, Ok(Record::Command(command)));
    }
    let snapshot = fold.snapshot().unwrap();
    assert_eq!((snapshot.config.revision, snapshot.recent.len()), (4, 5));
    let read = decode_record(&encode_snapshot(&snapshot));
    assert_eq!(read, Ok(Record::Snapshot(Box::new(snapshot))));
}

#[test]
fn begin_round_trip() {
    let read = decode_record(&encode_begin(PRESET));
    assert_eq!(read, Ok(Record::Begin(PRESET.to_owned())));
}

// A record of a newer release is reported as such and skipped.
#[test]
fn newer_version() {
    let mut record = encode_command(&put()).to_vec();
    assert_eq!(record[..2], [8, 1], "the record starts with the version");
    record[1] = 9;
    assert_eq!(decode_record(&record.into()), Err(Unreadable::Newer(9)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// The checksum detects every changed byte.
    #[test]
    fn damaged_byte(at in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let mut record = encode_command(&put()).to_vec();
        let at = at.index(record.len());
        record[at] ^= flip;
        prop_assert!(decode_record(&record.into()).is_err());
    }

    #[test]
    fn cut_record(length in any::<prop::sample::Index>()) {
        let record = encode_command(&put());
        let cut = record.slice(..length.index(record.len()));
        prop_assert!(decode_record(&cut).is_err());
    }

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_record(&Bytes::from(bytes)).is_err());
    }
}
