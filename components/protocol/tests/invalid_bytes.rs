//! Decoding of truncated, damaged and other-version peer messages and claim records.

use std::time::Duration;

use bytes::Bytes;
use coordination::claims::{
    Answer as ClaimAnswer, Batch, CachedAnswer, ClaimId, ClaimKey, ClaimMessage, Ending, Entry,
    KeyRequest, Outcome,
};
use coordination::members::{Gossip, GossipEvent, Heartbeat, HeartbeatAck, MemberMessage};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::claim::{decode_batch, encode_batch};
use protocol::peer::{Hello, PeerMessage, ProtocolError};
use state::HostKey;

fn hello() -> PeerMessage {
    PeerMessage::Hello(Hello {
        name: "entry-1".into(),
        incarnation: 7,
        to: "entry-2".into(),
        revision: 3,
        offset: 12,
    })
}

fn cached() -> CachedAnswer {
    CachedAnswer {
        status: 201,
        fields: vec![("etag".into(), Bytes::from_static(b"7"))],
        body: Bytes::from_static(b"taken"),
    }
}

fn claims() -> Vec<ClaimMessage> {
    let (id, key) = (ClaimId(u128::MAX), ClaimKey(1 << 64));
    let ttl = Duration::from_secs(7_200);
    let request = KeyRequest {
        id,
        key,
        digest: 3,
        ttl,
    };
    vec![
        ClaimMessage::Request(request, Duration::from_millis(9)),
        ClaimMessage::RequestAck(id),
        ClaimMessage::Answer(id, ClaimAnswer::Known(cached())),
        ClaimMessage::Answer(id, ClaimAnswer::NotRun(Duration::from_secs(1))),
        ClaimMessage::End(id, key, Ending::Answered(cached())),
        ClaimMessage::End(id, key, Ending::GivenUp),
        ClaimMessage::EndAck(id),
    ]
}

fn batch() -> Batch {
    let (id, key) = (ClaimId(u128::MAX), ClaimKey(1 << 64));
    Batch {
        entries: vec![
            Entry::Claim {
                id,
                key,
                digest: 9,
                ttl_ms: 8,
            },
            Entry::Ended {
                id,
                key,
                outcome: Outcome::NotRun,
            },
            Entry::Carried {
                id,
                key,
                digest: 9,
                ttl_ms: 8,
                age: 7,
            },
            Entry::Expired { id, key },
        ],
    }
}

fn messages() -> Vec<PeerMessage> {
    let claims = claims().into_iter().map(PeerMessage::Claim);
    members().into_iter().chain(claims).collect()
}

fn members() -> Vec<PeerMessage> {
    vec![
        hello(),
        PeerMessage::Member(MemberMessage::Heartbeat(Heartbeat {
            incarnation: u64::MAX,
            sequence: 1,
            epoch: 2,
            offset: 3,
            wants_ack: true,
        })),
        PeerMessage::Member(MemberMessage::HeartbeatAck(HeartbeatAck {
            sequence: 1,
            offset: 3,
            suspected: Some(0),
        })),
        PeerMessage::Member(MemberMessage::Gossip(Gossip {
            host: HostKey(4),
            incarnation: 5,
            event: GossipEvent::Suspected { epoch: 0, round: 1 },
        })),
    ]
}

#[test]
fn round_trip() {
    for message in messages() {
        assert_eq!(PeerMessage::decode(message.encode()), Ok(message));
    }
}

// During an upgrade, a host of the previous release is still running. If its
// messages were misread, they could free a slot that is in use, so they are
// refused by their version, and the error says that a host has to be replaced.
#[test]
fn other_version() {
    let mut bytes = hello().encode().to_vec();
    bytes[1] = 9;
    assert_eq!(
        PeerMessage::decode(bytes.into()),
        Err(ProtocolError::Version(9))
    );
}

// A newer release that sends a new kind of message appears as a message without a body.
#[test]
fn unknown_kind() {
    let bytes = Bytes::from_static(&[8, 1]);
    assert_eq!(
        PeerMessage::decode(bytes),
        Err(ProtocolError::Missing("body"))
    );
}

#[test]
fn claim_record() {
    assert_eq!(decode_batch(&encode_batch(&batch())), Ok(batch()));
}

// A claim record of a newer release must not be skipped like a damaged one: it may
// say who holds a key.
#[test]
fn newer_record() {
    let mut bytes = encode_batch(&batch()).to_vec();
    bytes[1] = 9;
    assert_eq!(decode_batch(&bytes.into()), Err(ProtocolError::Version(9)));
}

#[test]
fn long_name() {
    let message = PeerMessage::Hello(Hello {
        name: "x".repeat(256),
        incarnation: 0,
        to: String::new(),
        revision: 0,
        offset: 0,
    });
    assert_eq!(
        PeerMessage::decode(message.encode()),
        Err(ProtocolError::TooLong("name"))
    );
}

// Links break in the middle of a message, and other programs connect to the peer
// port. No input may cause a panic.
proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(26), ..ProptestConfig::default() })]

    #[test]
    fn cut_message(which in 0_usize..11, at in 0.0_f64..1.0) {
        let bytes = messages()[which].encode();
        let cut = (bytes.len() as f64 * at) as usize;
        let read = PeerMessage::decode(bytes.slice(..cut));
        prop_assert!(read.as_ref() != Ok(&messages()[which]));
    }

    #[test]
    fn damaged_record(bit in 0_usize..4_000) {
        let mut bytes = encode_batch(&batch()).to_vec();
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(decode_batch(&bytes.into()) != Ok(batch()));
    }

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let bytes = Bytes::from(bytes);
        let _ = PeerMessage::decode(bytes.clone());
        let _ = decode_batch(&bytes);
    }

    #[test]
    fn flipped_bit(which in 0_usize..11, bit in 0_usize..2_000) {
        let mut bytes = messages()[which].encode().to_vec();
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let _ = PeerMessage::decode(bytes.into());
    }
}
