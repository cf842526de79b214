//! Peer messages that are cut, damaged, or of another version.

use bytes::Bytes;
use coordination::members::{Answer, Beat, MemberMessage, News, Rumour};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
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

fn messages() -> Vec<PeerMessage> {
    vec![
        hello(),
        PeerMessage::Member(MemberMessage::Beat(Beat {
            incarnation: u64::MAX,
            sequence: 1,
            epoch: 2,
            offset: 3,
            asks: true,
        })),
        PeerMessage::Member(MemberMessage::Answer(Answer {
            sequence: 1,
            offset: 3,
            suspected: Some(0),
        })),
        PeerMessage::Member(MemberMessage::Rumour(Rumour {
            host: HostKey(4),
            incarnation: 5,
            news: News::Suspected { epoch: 0, round: 1 },
        })),
    ]
}

#[test]
fn round_trip() {
    for message in messages() {
        assert_eq!(PeerMessage::decode(message.encode()), Ok(message));
    }
}

// A host of the last release is still running while the others are replaced.
// Half understood, its messages could free a slot that is in use; it is told
// apart by the version, and operators read which host to replace.
#[test]
fn other_version() {
    let mut bytes = hello().encode().to_vec();
    bytes[1] = 9;
    assert_eq!(
        PeerMessage::decode(bytes.into()),
        Err(ProtocolError::Version(9))
    );
}

// A message without its body, as a newer release with a new kind would send it.
#[test]
fn unknown_kind() {
    let bytes = Bytes::from_static(&[8, 1]);
    assert_eq!(
        PeerMessage::decode(bytes),
        Err(ProtocolError::Missing("body"))
    );
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

// A link is cut in the middle of a message, or something that is no entry host
// writes to the peer port. Nothing may panic, whatever the bytes are.
proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(26), ..ProptestConfig::default() })]

    #[test]
    fn cut_message(which in 0_usize..4, at in 0.0_f64..1.0) {
        let bytes = messages()[which].encode();
        let cut = (bytes.len() as f64 * at) as usize;
        let read = PeerMessage::decode(bytes.slice(..cut));
        prop_assert!(read.as_ref() != Ok(&messages()[which]));
    }

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = PeerMessage::decode(bytes.into());
    }

    #[test]
    fn flipped_bit(which in 0_usize..4, bit in 0_usize..2_000) {
        let mut bytes = messages()[which].encode().to_vec();
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let _ = PeerMessage::decode(bytes.into());
    }
}
