//! Messages about slots, there and back, and bytes that are none.

use std::time::Duration;

use bytes::Bytes;
use coordination::slots::message::{
    Demand, Estate, EstateLease, Handed, LeaseKey, Reason, Returned, Seen, SlotBody, SlotKey,
    SlotMessage, Stamp,
};
use coordination::slots::terms::TERM;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use protocol::PeerMessage;
use rstest::rstest;
use state::{EndpointKey, HostKey, ServiceKey};

const STAMP: Stamp = Stamp {
    life: u64::MAX,
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

fn seen() -> Vec<Seen> {
    vec![Seen {
        endpoint: EndpointKey(0xfeed),
        over: 1,
        total: 9,
    }]
}

#[rstest]
#[case(SlotBody::Renew { leases: vec![lease(0), lease(1)], seen: seen() })]
#[case(SlotBody::Renewed { echo: STAMP, ended: vec![lease(2)], pending: vec![lease(3)] })]
#[case(SlotBody::Recall(vec![lease(4)]))]
#[case(SlotBody::Return {
    leases: vec![Returned { lease: lease(5), reason: Reason::Shed }],
    seen: seen(),
})]
#[case(SlotBody::Hand {
    echo: STAMP,
    leases: vec![Handed { lease: lease(5), left: TERM, once: true }],
})]
#[case(SlotBody::Demand(Demand {
    service: ServiceKey(3),
    waiting: 4,
    oldest: Duration::from_micros(5_001),
    spare: 1,
    held: 6,
    idle: 2,
    got: 99,
}))]
#[case(SlotBody::Yield { service: ServiceKey(3), to: HostKey(4), echo: STAMP, count: 2, oldest: TERM })]
#[case(SlotBody::Pulse { service: ServiceKey(3), hungry: true })]
#[case(SlotBody::Handoff(vec![Estate {
    endpoint: EndpointKey(1),
    revision: 12,
    fence: Duration::from_millis(5),
    cap: 3,
    leases: vec![EstateLease { lease: lease(0), holder: HostKey(8), left: TERM }],
}]))]
fn there_and_back(#[case] body: SlotBody) {
    let message = PeerMessage::Slots(SlotMessage { stamp: STAMP, body });
    assert_eq!(PeerMessage::decode(message.encode()), Ok(message));
}

// A damaged or hostile message names a lease that lasts for hours. Taken at
// its word, its slot would be held by two hosts; it lasts one term at most.
#[test]
fn long_lease_cut() {
    let body = SlotBody::Hand {
        echo: STAMP,
        leases: vec![Handed {
            lease: lease(0),
            left: TERM * 1_000,
            once: false,
        }],
    };
    let message = PeerMessage::Slots(SlotMessage { stamp: STAMP, body });
    let PeerMessage::Slots(read) = PeerMessage::decode(message.encode()).unwrap() else {
        panic!("another kind");
    };
    let SlotBody::Hand { leases, .. } = read.body else {
        panic!("another kind");
    };
    assert_eq!(leases[0].left, TERM);
}

#[test]
fn damaged_bytes() {
    let body = SlotBody::Renew {
        leases: vec![lease(0), lease(1)],
        seen: seen(),
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
