//! Encoding and decoding of slot messages, and decoding of damaged ones.

use std::time::Duration;

use bytes::Bytes;
use coordination::slots::message::{
    CallStats, Demand, EndpointHandoff, HandoffLease, LeaseKey, Reason, ReturnedLease, SlotBody,
    SlotKey, SlotMessage, Stamp, TransferredLease,
};
use coordination::slots::timing::LEASE_TERM;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use protocol::PeerMessage;
use rstest::rstest;
use state::{EndpointKey, HostKey, ServiceKey};

const STAMP: Stamp = Stamp {
    incarnation: u64::MAX,
    clock: 12_345_678,
};

fn lease(number: u32) -> LeaseKey {
    LeaseKey {
        slot: SlotKey {
            endpoint: EndpointKey(0xfeed),
            number,
        },
        serial: 42,
        hop: 7,
    }
}

fn stats() -> Vec<CallStats> {
    vec![CallStats {
        endpoint: EndpointKey(0xfeed),
        slow: 1,
        total: 9,
    }]
}

#[rstest]
#[case(SlotBody::Renew { leases: vec![lease(0), lease(1)], stats: stats() })]
#[case(SlotBody::Renewed { echo: STAMP, ended: vec![lease(2)], pending: vec![lease(3)] })]
#[case(SlotBody::Recall(vec![lease(4)]))]
#[case(SlotBody::Return {
    leases: vec![ReturnedLease { lease: lease(5), reason: Reason::Shed }],
    stats: stats(),
})]
#[case(SlotBody::Transfer {
    echo: STAMP,
    leases: vec![TransferredLease { lease: lease(5), left: LEASE_TERM, single_use: true }],
})]
#[case(SlotBody::Demand(Demand {
    service: ServiceKey(3),
    waiting: 4,
    oldest: Duration::from_micros(5_001),
    spare: 1,
    held: 6,
    idle: 2,
    received: 99,
}))]
#[case(SlotBody::TransferRequest { service: ServiceKey(3), to: HostKey(4), echo: STAMP, count: 2, oldest: LEASE_TERM })]
#[case(SlotBody::Shortage { service: ServiceKey(3), active: true })]
#[case(SlotBody::Handoff(vec![EndpointHandoff {
    endpoint: EndpointKey(1),
    revision: 12,
    fence: Duration::from_millis(5),
    cap: 3,
    leases: vec![HandoffLease { lease: lease(0), holder: HostKey(8), left: LEASE_TERM }],
}]))]
fn round_trip(#[case] body: SlotBody) {
    let message = PeerMessage::Slots(SlotMessage { stamp: STAMP, body });
    assert_eq!(PeerMessage::decode(message.encode()), Ok(message));
}

// A damaged or malicious message has a lease of several hours. If it were accepted
// as it is, two hosts could hold the slot, so the duration is limited to one term.
#[test]
fn long_lease_limited() {
    let body = SlotBody::Transfer {
        echo: STAMP,
        leases: vec![TransferredLease {
            lease: lease(0),
            left: LEASE_TERM * 1_000,
            single_use: false,
        }],
    };
    let message = PeerMessage::Slots(SlotMessage { stamp: STAMP, body });
    let PeerMessage::Slots(read) = PeerMessage::decode(message.encode()).unwrap() else {
        panic!("unexpected kind of message");
    };
    let SlotBody::Transfer { leases, .. } = read.body else {
        panic!("unexpected kind of message");
    };
    assert_eq!(leases[0].left, LEASE_TERM);
}

#[test]
fn damaged_bytes() {
    let body = SlotBody::Renew {
        leases: vec![lease(0), lease(1)],
        stats: stats(),
    };
    let whole = PeerMessage::Slots(SlotMessage { stamp: STAMP, body }).encode();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(2_000), rng);
    let damage = (0..whole.len(), any::<u8>(), 0..whole.len());
    let outcome = runner.run(&damage, |(at, byte, end)| {
        let mut bytes = whole.to_vec();
        bytes[at] = byte;
        bytes.truncate(end);
        let read = PeerMessage::decode(Bytes::from(bytes));
        prop_assert!(end > 2 || read.is_err());
        Ok(())
    });
    outcome.unwrap();
}
