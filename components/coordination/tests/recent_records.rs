//! Tests which records a neighbour receives that has missed some.

use bytes::Bytes;
use coordination::recent_records::RecentRecords;

fn record(n: u8) -> Bytes {
    Bytes::from(vec![n; 100])
}

/// A host misses a datagram and requests exactly the missing records, in order.
#[test]
fn from_anywhere() {
    let mut recent = RecentRecords::default();
    (0..5).for_each(|n| recent.push(40 + u64::from(n), record(n), 0));
    assert_eq!(recent.records_from(43), Some(vec![record(3), record(4)]));
    assert_eq!(recent.records_from(40).map(|r| r.len()), Some(5));
    assert_eq!(recent.records_from(39), None);
    assert_eq!(recent.records_from(45), None);
}

/// The store lost its history, and this host started over at a later offset: its old
/// records are no prefix of the new ones, and must not be sent to a neighbour as if they
/// were.
#[test]
fn gap_not_bridged() {
    let mut recent = RecentRecords::default();
    recent.push(7, record(1), 0);
    recent.push(20, record(2), 0);
    assert_eq!(recent.records_from(7), None);
    assert_eq!(recent.records_from(8), None);
    assert_eq!(recent.records_from(20), Some(vec![record(2)]));
}

#[test]
fn bounded() {
    let mut recent = RecentRecords::default();
    (0..2_000).for_each(|n| recent.push(n, record(0), 0));
    assert_eq!(recent.records_from(0), None);
    let kept = recent.records_from(1_999 - 600).expect("the last are kept");
    assert_eq!(kept.len(), 601);
    recent.push(2_000, Bytes::from(vec![0; 1 << 20]), 0);
    assert_eq!(recent.records_from(2_000), None);
}

/// A host that missed the last seconds of a start of thousands of endpoints gets what it
/// missed. If it got the whole topic instead, the neighbour's link would be full for seconds.
#[test]
fn large_topics() {
    for endpoints in [1_000, 10_000, 20_000] {
        let mut recent = RecentRecords::default();
        (0..endpoints).for_each(|n| recent.push(n, record(0), 100 * endpoints as usize));
        let missed = endpoints / 3;
        let records = recent.records_from(endpoints - missed);
        assert_eq!(records.map(|r| r.len() as u64), Some(missed));
    }
}
