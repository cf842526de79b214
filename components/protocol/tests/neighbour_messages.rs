//! Encoding and decoding of messages between neighbours.

use std::time::Duration;

use bytes::Bytes;
use coordination::fragments::{Fragment, FragmentRequest, MessageKey};
use coordination::neighbours::Contact;
use proptest::prelude::*;
use protocol::crash_report::{CrashReport, CrashedRun};
use protocol::limit_report::LimitReport;
use protocol::neighbour::{
    Hello, NeighbourMessage, Position, ProbeLoan, RecordUpdate, Topic, TopicSnapshot,
};
use protocol::observation_report::ObservationReport;
use state::EndpointKey;
use state::fleet::quarantine::QuarantineUpdate;
use state::fleet::rate_limit::RateLimitUpdate;
use state::fleet::{Fingerprint, Fingerprints, Observation, ObservationKind};

fn update(records: Vec<Vec<u8>>) -> RecordUpdate {
    RecordUpdate {
        topic: Topic::Endpoints,
        reader: "10.1.2.4:7540".parse().expect("an address"),
        relay_root: "10.1.2.5:7540".parse().expect("an address"),
        cross_centre: true,
        from: 40,
        age: Some(Duration::ZERO),
        records: records.into_iter().map(Bytes::from).collect(),
    }
}

fn message() -> MessageKey {
    MessageKey {
        digest: u64::MAX,
        count: 9,
    }
}

fn limits() -> LimitReport {
    let updates = [Some(1.5), None].map(|rate| RateLimitUpdate {
        endpoint: EndpointKey(u64::MAX),
        rate,
    });
    LimitReport {
        cross_centre: true,
        updates: updates.to_vec(),
    }
}

fn crashes() -> CrashReport {
    CrashReport {
        cross_centre: true,
        runs: vec![CrashedRun {
            request: Fingerprints {
                content: Fingerprint(u64::MAX),
                request: Fingerprint(1),
            },
            ran: Duration::from_millis(60),
            age: Duration::from_millis(2),
        }],
        updates: vec![QuarantineUpdate {
            request: Fingerprint(7),
            crashes: 3,
            remaining: Duration::from_secs(10),
            age: Duration::ZERO,
        }],
    }
}

/// Observations of all kinds, of two endpoints each.
fn observations() -> ObservationReport {
    let kinds = [
        ObservationKind::Unconnected,
        ObservationKind::Broken,
        ObservationKind::Failing,
        ObservationKind::Slow,
        ObservationKind::Shedding,
        ObservationKind::Recovered,
    ];
    let observations = kinds.into_iter().flat_map(|kind| {
        [1, u64::MAX].map(|endpoint| Observation {
            endpoint: EndpointKey(endpoint),
            kind,
            age: Duration::from_millis(17),
        })
    });
    ObservationReport::Observations(observations.collect())
}

#[test]
fn round_trip() {
    let messages = [
        NeighbourMessage::CrashReport(crashes()),
        NeighbourMessage::LimitReport(limits()),
        NeighbourMessage::Observations(observations()),
        NeighbourMessage::Observations(ObservationReport::LivenessQuery),
        NeighbourMessage::Observations(ObservationReport::LivenessReply),
        NeighbourMessage::Hello(Hello {
            size: 197,
            centre: "trent".to_owned(),
            wants_hosts: true,
            neighbours: vec!["10.1.2.3:7540".parse().expect("an address")],
            contacts: vec![Contact {
                centre: "soar".to_owned(),
                address: "10.3.2.3:7540".parse().expect("an address"),
            }],
            positions: vec![Position {
                topic: Topic::Endpoints,
                next: 0,
                age: Duration::from_millis(1_250),
            }],
        }),
        NeighbourMessage::Update(update(vec![b"one".to_vec(), Vec::new()])),
        NeighbourMessage::ReadFailed(Topic::Operators),
        NeighbourMessage::SnapshotRequest(Topic::Endpoints),
        NeighbourMessage::RecordsRequest(Topic::Endpoints, 41),
        NeighbourMessage::Snapshot(TopicSnapshot {
            topic: Topic::Operators,
            next: 9,
            records: vec![Bytes::from_static(b"one")],
            shared: true,
            age: None,
        }),
        NeighbourMessage::ReadStarted(Topic::Endpoints),
        NeighbourMessage::Resync(Topic::Endpoints),
        NeighbourMessage::Borrow(8),
        NeighbourMessage::Lend(ProbeLoan {
            request_id: 8,
            probes: 77,
        }),
        NeighbourMessage::Fragment(
            Topic::Operators,
            Fragment {
                message: message(),
                origin: "10.1.2.3:7540".parse().expect("an address"),
                number: 4,
                relay: true,
                next: 41,
                age: Some(Duration::from_millis(300)),
                bytes: Bytes::from_static(b"one"),
            },
        ),
        NeighbourMessage::FragmentRequest(
            Topic::Endpoints,
            FragmentRequest {
                message: message(),
                numbers: vec![0, 7],
            },
        ),
    ];
    for message in messages {
        let read = NeighbourMessage::decode(&message.encode()).expect("the message is valid");
        assert_eq!(read, message);
    }
}

#[test]
fn invalid_datagrams() {
    assert!(NeighbourMessage::decode(&[]).is_err());
    assert!(NeighbourMessage::decode(&[9, 1, 2]).is_err());
    assert!(NeighbourMessage::decode(&[3, 8, 77]).is_err());
    let hello = NeighbourMessage::ReadFailed(Topic::Operators).encode();
    assert!(NeighbourMessage::decode(&[&hello[..], &[0xff]].concat()).is_err());
}

proptest! {
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // No input may cause a panic.
        let _ = NeighbourMessage::decode(&bytes);
    }
}

/// A limit that isn't a finite number of zero or more is dropped, since it would
/// break the rate limiter that uses it.
#[test]
fn invalid_limits() {
    let rates = [f64::NAN, f64::INFINITY, -1.0, 2.0];
    let updates = rates.map(|rate| RateLimitUpdate {
        endpoint: EndpointKey(1),
        rate: Some(rate),
    });
    let message = NeighbourMessage::LimitReport(LimitReport {
        cross_centre: false,
        updates: updates.to_vec(),
    });
    let Ok(NeighbourMessage::LimitReport(read)) = NeighbourMessage::decode(&message.encode())
    else {
        panic!("the message is not decoded as limits");
    };
    assert_eq!(read.updates, updates[3..]);
}

/// Reports are sent to all hosts, so each byte of a report is sent hundreds of times.
#[test]
fn small_reports() {
    let CrashReport { runs, updates, .. } = crashes();
    let size = |runs: &[CrashedRun], updates: &[QuarantineUpdate]| {
        let crashes = CrashReport {
            cross_centre: true,
            runs: runs.to_vec(),
            updates: updates.to_vec(),
        };
        NeighbourMessage::CrashReport(crashes).encode().len()
    };
    assert!(size(&runs, &[]) <= 40);
    assert!(size(&[], &updates) <= 40);
    assert!(size(&[], &updates.repeat(32)) <= 800);
    assert!(NeighbourMessage::LimitReport(limits()).encode().len() <= 48);
}

/// An update of a few changes among many renewals is as large as the changes, however many
/// endpoints renew their entries. Sent whole, the renewals would take most of a narrow link.
#[test]
fn renewals_are_small() {
    let size = |renewals: usize| {
        let changed = [vec![7; 150], vec![8; 150]].map(Bytes::from);
        let mut records = vec![Bytes::new(); renewals];
        records.insert(renewals / 3, changed[0].clone());
        records.push(changed[1].clone());
        let sent = RecordUpdate {
            records,
            ..update(Vec::new())
        };
        let message = NeighbourMessage::Update(sent);
        let encoded = message.encode();
        let decoded = NeighbourMessage::decode(&encoded).expect("the message is valid");
        assert_eq!(decoded, message);
        encoded.len()
    };
    let sizes = [60, 250, 1_000, 20_000].map(size);
    assert!(sizes.iter().all(|s| *s < sizes[0] + 8), "{sizes:?}");
}

proptest! {
    /// Any mix of records and renewals arrives as it was sent.
    #[test]
    fn any_renewals(changed in proptest::collection::vec(any::<Option<u8>>(), 0..50)) {
        let records = changed.iter().map(|c| c.map_or(Bytes::new(), |n| Bytes::from(vec![n; 3])));
        let message = NeighbourMessage::Update(RecordUpdate {
            records: records.collect(),
            ..update(Vec::new())
        });
        let decoded = NeighbourMessage::decode(&message.encode()).expect("the message is valid");
        prop_assert_eq!(decoded, message);
    }
}

/// Entries of endpoints take a third of their size or less: their names and services are the
/// same in each. Uncompressed, those of a large site that starts fill the links for seconds.
#[test]
fn entries_are_compressed() {
    let entry = |n: usize| {
        let text = format!(
            r#"i-{:010x}{{"service":"zigo69a","address":"10.4.{}.{}:8788","zone":"dove","version":"v1","slots":6,"state":"ready","warmupRemainingS":0,"sequence":4,"born":{}}}"#,
            n * 7_919_777,
            n / 250,
            n % 250,
            1_770_000_000_000_u64 + n as u64 * 37
        );
        text.into_bytes()
    };
    let records: Vec<Vec<u8>> = (0..1_000).map(entry).collect();
    let size: usize = records.iter().map(Vec::len).sum();
    let message = NeighbourMessage::Update(update(records));
    let encoded = message.encode();
    assert!(encoded.len() * 3 < size, "{} of {size}", encoded.len());
    assert_eq!(NeighbourMessage::decode(&encoded).expect("valid"), message);
}

/// A damaged or hostile datagram that announces a huge message must not take memory for it.
#[test]
fn invalid_compression() {
    let encoded = NeighbourMessage::Update(update(vec![vec![7; 5_000]])).encode();
    let mut huge = encoded.clone();
    huge[1..5].copy_from_slice(&u32::MAX.to_le_bytes());
    for bytes in [&huge[..], &encoded[..encoded.len() / 2], &encoded[..3]] {
        assert!(NeighbourMessage::decode(bytes).is_err());
    }
}

/// A message of the release before this one says nothing of its age, and is understood.
#[test]
fn without_age() {
    let sent = RecordUpdate {
        age: None,
        ..update(vec![b"one".to_vec()])
    };
    let message = NeighbourMessage::Update(sent);
    // An absent age takes no byte, so this is what that release sends.
    let decoded = NeighbourMessage::decode(&message.encode()).expect("the message is valid");
    assert_eq!(decoded, message);
}
