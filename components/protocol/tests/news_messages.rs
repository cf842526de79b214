//! What neighbours tell each other, and what is refused.

use std::time::Duration;

use bytes::Bytes;
use coordination::fragments::{Fragment, FragmentRequest, MessageKey};
use coordination::neighbours::Contact;
use proptest::prelude::*;
use protocol::crashes::{Crashes, Ended};
use protocol::limits::Limits;
use protocol::news::{Held, Hello, Loan, Neighbourly, News, Topic};
use state::EndpointKey;
use state::fleet::quarantine::Finding;
use state::fleet::rate_limit::Advice;
use state::fleet::{Fingerprint, Fingerprints};

fn news(records: Vec<Vec<u8>>) -> News {
    News {
        topic: Topic::Endpoints,
        reader: "10.1.2.4:7540".parse().expect("an address"),
        teller: "10.1.2.5:7540".parse().expect("an address"),
        abroad: true,
        from: 40,
        records: records.into_iter().map(Bytes::from).collect(),
    }
}

fn message() -> MessageKey {
    MessageKey {
        digest: u64::MAX,
        count: 9,
    }
}

fn limits() -> Limits {
    let advice = [Some(1.5), None].map(|rate| Advice {
        endpoint: EndpointKey(u64::MAX),
        rate,
    });
    Limits {
        abroad: true,
        advice: advice.to_vec(),
    }
}

fn crashes() -> Crashes {
    Crashes {
        abroad: true,
        ended: vec![Ended {
            request: Fingerprints {
                content: Fingerprint(u64::MAX),
                request: Fingerprint(1),
            },
            ran: Duration::from_millis(60),
            age: Duration::from_millis(2),
        }],
        findings: vec![Finding {
            request: Fingerprint(7),
            crashes: 3,
            left: Duration::from_secs(10),
            age: Duration::ZERO,
        }],
    }
}

#[test]
fn there_and_back() {
    let messages = [
        Neighbourly::Crashes(crashes()),
        Neighbourly::Limits(limits()),
        Neighbourly::Hello(Hello {
            centre: "trent".to_owned(),
            seeks: true,
            neighbours: vec!["10.1.2.3:7540".parse().expect("an address")],
            contacts: vec![Contact {
                centre: "soar".to_owned(),
                address: "10.3.2.3:7540".parse().expect("an address"),
            }],
        }),
        Neighbourly::News(news(vec![b"one".to_vec(), Vec::new()])),
        Neighbourly::Trouble(Topic::Operators),
        Neighbourly::Wanted(Topic::Endpoints),
        Neighbourly::Missing(Topic::Endpoints, 41),
        Neighbourly::Held(Held {
            topic: Topic::Operators,
            next: 9,
            records: vec![Bytes::from_static(b"one")],
            shared: true,
        }),
        Neighbourly::Reading(Topic::Endpoints),
        Neighbourly::Borrow(8),
        Neighbourly::Lend(Loan {
            number: 8,
            questions: 77,
        }),
        Neighbourly::Fragment(
            Topic::Operators,
            Fragment {
                message: message(),
                origin: "10.1.2.3:7540".parse().expect("an address"),
                number: 4,
                relay: true,
                bytes: Bytes::from_static(b"one"),
            },
        ),
        Neighbourly::FragmentRequest(
            Topic::Endpoints,
            FragmentRequest {
                message: message(),
                numbers: vec![0, 7],
            },
        ),
    ];
    for message in messages {
        let read = Neighbourly::decode(&message.encode()).expect("it is whole");
        assert_eq!(read, message);
    }
}

#[test]
fn bad_datagrams() {
    assert!(Neighbourly::decode(&[]).is_err());
    assert!(Neighbourly::decode(&[9, 1, 2]).is_err());
    assert!(Neighbourly::decode(&[3, 8, 77]).is_err());
    let hello = Neighbourly::Trouble(Topic::Operators).encode();
    assert!(Neighbourly::decode(&[&hello[..], &[0xff]].concat()).is_err());
}

proptest! {
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Whatever comes, it is read or refused.
        let _ = Neighbourly::decode(&bytes);
    }
}

/// A limit that is no number of requests must not reach what counts by it.
#[test]
fn senseless_limits() {
    let rates = [f64::NAN, f64::INFINITY, -1.0, 2.0];
    let advice = rates.map(|rate| Advice {
        endpoint: EndpointKey(1),
        rate: Some(rate),
    });
    let message = Neighbourly::Limits(Limits {
        abroad: false,
        advice: advice.to_vec(),
    });
    let Ok(Neighbourly::Limits(read)) = Neighbourly::decode(&message.encode()) else {
        panic!("it is read");
    };
    assert_eq!(read.advice, advice[3..]);
}

/// Reports go to all hosts, so that their size counts hundreds of times.
#[test]
fn small_reports() {
    let Crashes {
        ended, findings, ..
    } = crashes();
    let size = |ended: &[Ended], findings: &[Finding]| {
        let crashes = Crashes {
            abroad: true,
            ended: ended.to_vec(),
            findings: findings.to_vec(),
        };
        Neighbourly::Crashes(crashes).encode().len()
    };
    assert!(size(&ended, &[]) <= 40);
    assert!(size(&[], &findings) <= 40);
    assert!(size(&[], &findings.repeat(32)) <= 800);
    assert!(Neighbourly::Limits(limits()).encode().len() <= 48);
}
