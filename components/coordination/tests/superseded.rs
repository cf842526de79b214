//! Tests which records of a batch are left out.

use bytes::Bytes;
use coordination::superseded::blank_superseded;

/// Returns the first letter of a record that holds a state; `!` stands for an invalid one.
fn state(record: &Bytes) -> Option<u8> {
    record.first().copied().filter(|c| b"s!".contains(c))
}

fn blanked(records: &[&'static str]) -> Vec<Bytes> {
    let mut records: Vec<Bytes> = records.iter().map(|r| Bytes::from(*r)).collect();
    blank_superseded(&mut records, state, |c| *c == b's');
    records
}

/// Dozens of configurations come between two reads: hosts must not decode each of them.
#[test]
fn only_last_state() {
    assert_eq!(
        blanked(&["s1", "s2", "a", "s3", "b"]),
        ["", "", "a", "s3", "b"]
    );
}

/// The newest configuration can't be decoded: the one before it must stay in force.
#[test]
fn invalid_replaces_none() {
    assert_eq!(blanked(&["s1", "s2", "!"]), ["", "s2", "!"]);
    assert_eq!(blanked(&["s1", "!", "s2"]), ["", "", "s2"]);
}
