//! Messages about shares of a service's capacity.

use coordination::shares::{LimitRow, MAX_ROWS, ShareKey, ShareLimits, UsageReport, UsageRow};
use protocol::neighbour::{DATAGRAM_LIMIT, NeighbourMessage};
use protocol::share_message::ShareMessage;
use state::{FlowKey, ServiceKey};

fn key(flow: u64) -> ShareKey {
    ShareKey {
        priority: 2,
        flow: FlowKey(flow),
    }
}

fn report(rows: usize, wanted: f64) -> NeighbourMessage {
    let row = |flow| UsageRow {
        key: key(flow),
        wanted,
        placed: 0.5,
    };
    NeighbourMessage::Shares(ShareMessage::Report(UsageReport {
        service: ServiceKey(7),
        waiting: 3,
        rows: (0..rows as u64).map(row).collect(),
    }))
}

/// A field that is lost on the way would give accounts wrong shares.
#[test]
fn both_kinds() {
    let limits = NeighbourMessage::Shares(ShareMessage::Limits(ShareLimits {
        service: ServiceKey(7),
        waiting: 9,
        rows: vec![LimitRow {
            key: key(1),
            share: 2.5,
            wanted: 8.0,
        }],
    }));
    for message in [report(2, 1.25), limits] {
        let decoded = NeighbourMessage::decode(&message.encode()).expect("valid");
        assert_eq!(decoded, message);
    }
}

/// A full message must fit into one datagram.
#[test]
fn full_message() {
    let message = report(MAX_ROWS, 1.25);
    assert!(message.encode().len() <= DATAGRAM_LIMIT);
    assert!(NeighbourMessage::decode(&message.encode()).is_ok());
}

/// One invalid row drops the message: a part of it would be a wrong division.
#[test]
fn invalid_values() {
    for wanted in [-1.0, f64::NAN, f64::INFINITY, 1e30] {
        let datagram = report(2, wanted).encode();
        assert!(NeighbourMessage::decode(&datagram).is_err(), "{wanted}");
    }
    let long = report(MAX_ROWS + 1, 1.0).encode();
    assert!(NeighbourMessage::decode(&long).is_err());
}

/// A truncated datagram must be an error and no panic.
#[test]
fn truncated() {
    let datagram = report(3, 1.0).encode();
    for length in 0..datagram.len() {
        // A cut between two fields may leave a valid, shorter message.
        let _decoded = NeighbourMessage::decode(&datagram[..length]);
    }
}
