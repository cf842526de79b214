//! Encoding and decoding of messages about quotas, also of earlier releases.

use std::time::Duration;

use coordination::quota::contention::{Refused, Urgency};
use coordination::quota::home::Grant;
use protocol::neighbour::NeighbourMessage;
use protocol::quota_message::{QuotaClaim, QuotaGrant, QuotaMessage};
use state::AccountKey;

fn claim() -> QuotaClaim {
    QuotaClaim {
        id: 9,
        account: AccountKey(7),
        wanted: 3,
        urgency: Urgency::Late,
        refused: Refused {
            in_time: 12,
            late: 100_000,
        },
    }
}

fn grant(none_for: Duration) -> QuotaGrant {
    QuotaGrant {
        id: 9,
        grant: Grant {
            tokens: 0,
            retry_after: Duration::from_millis(340),
            room_after: Duration::from_millis(340),
            none_for,
        },
    }
}

fn decoded(message: QuotaMessage) -> Option<NeighbourMessage> {
    let bytes = NeighbourMessage::Quota(message).encode();
    NeighbourMessage::decode(&bytes).ok()
}

/// Guards against fields that are lost between hosts of one release.
#[test]
fn round_trip() {
    let mut with_room = grant(Duration::ZERO);
    with_room.grant.room_after = Duration::from_secs(5);
    let messages = [
        QuotaMessage::Claim(claim()),
        QuotaMessage::Grant(grant(Duration::from_millis(200))),
        QuotaMessage::Grant(with_room),
    ];
    for message in messages {
        let sent = NeighbourMessage::Quota(message.clone());
        assert_eq!(decoded(message), Some(sent));
    }
}

/// Decodes a message with some bytes of its encoding replaced by as many others.
fn altered(message: QuotaMessage, from: &[u8], to: &[u8]) -> Option<QuotaMessage> {
    let mut bytes = NeighbourMessage::Quota(message).encode();
    let at = bytes.windows(from.len()).position(|w| w == from)?;
    bytes[at..at + to.len()].copy_from_slice(to);
    match NeighbourMessage::decode(&bytes).ok()? {
        NeighbourMessage::Quota(message) => Some(message),
        _ => None,
    }
}

/// Guards against hosts that obey a home which claims to have nothing for a long time, and
/// against granted tokens that are lost with such an answer.
#[test]
fn long_times() {
    let mut sent = grant(Duration::from_millis(501));
    sent.grant.tokens = 3;
    sent.grant.retry_after = Duration::from_secs(3_600);
    sent.grant.room_after = Duration::from_secs(7_200);
    let Some(NeighbourMessage::Quota(QuotaMessage::Grant(seen))) =
        decoded(QuotaMessage::Grant(sent))
    else {
        panic!("a grant");
    };
    let expected = Grant {
        tokens: 3,
        retry_after: Duration::from_secs(5),
        room_after: Duration::from_secs(5),
        none_for: Duration::from_millis(200),
    };
    assert_eq!(seen.grant, expected);
}

/// Guards against a received count beyond the limit that is taken in, or that drops the claim.
#[test]
fn received_count() {
    // Field 6 with 100,000, and with 2,000,000.
    let limit = [0x30, 0xa0, 0x8d, 0x06];
    let beyond = [0x30, 0x80, 0x89, 0x7a];
    let sent = QuotaMessage::Claim(claim());
    assert_eq!(altered(sent.clone(), &limit, &beyond), Some(sent));
}

/// Guards against messages of later releases that are dropped for their unknown fields.
#[test]
fn unknown_fields() {
    let mut expected = claim();
    expected.refused.late = 0;
    // The last field's number becomes 15, which is unknown.
    let seen = altered(
        QuotaMessage::Claim(claim()),
        &[0x30, 0xa0, 0x8d, 0x06],
        &[0x78, 0xa0, 0x8d, 0x06],
    );
    assert_eq!(seen, Some(QuotaMessage::Claim(expected)));
    let mut sent = grant(Duration::ZERO);
    sent.grant.room_after = Duration::from_secs(5);
    let seen = altered(
        QuotaMessage::Grant(sent),
        &[0x28, 0x88, 0x27],
        &[0x78, 0x88, 0x27],
    );
    let plain = QuotaMessage::Grant(grant(Duration::ZERO));
    assert_eq!(seen, Some(plain));
}

/// Guards against claims of an implausible demand: sent ones are capped.
#[test]
fn many_refused() {
    let mut claim = claim();
    claim.refused.late = u32::MAX;
    let Some(NeighbourMessage::Quota(QuotaMessage::Claim(seen))) =
        decoded(QuotaMessage::Claim(claim))
    else {
        panic!("a claim");
    };
    assert_eq!(seen.refused.late, 100_000);
}

/// Guards against older hosts that send or get other bytes: without the optional fields the
/// message has the earlier form, and it counts as in time.
#[test]
fn earlier_form() {
    let claim = QuotaClaim {
        urgency: Urgency::InTime,
        refused: Refused::default(),
        ..claim()
    };
    let plain = NeighbourMessage::Quota(QuotaMessage::Claim(claim));
    let bytes = plain.encode();
    let earlier = [0x0a, 13, 0x08, 9, 0x11, 7, 0, 0, 0, 0, 0, 0, 0, 0x18, 3];
    assert!(
        bytes.windows(earlier.len()).any(|w| w == earlier),
        "{bytes:?}"
    );
    assert_eq!(NeighbourMessage::decode(&bytes).ok(), Some(plain));
    let plain = NeighbourMessage::Quota(QuotaMessage::Grant(grant(Duration::ZERO)));
    let bytes = plain.encode();
    let earlier = [0x12, 5, 0x08, 9, 0x18, 0xd4, 0x02];
    assert!(
        bytes.windows(earlier.len()).any(|w| w == earlier),
        "{bytes:?}"
    );
    assert_eq!(NeighbourMessage::decode(&bytes).ok(), Some(plain));
}
