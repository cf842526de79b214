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
        QuotaMessage::Grant(grant(Duration::from_millis(500))),
        QuotaMessage::Grant(with_room),
    ];
    for message in messages {
        let sent = NeighbourMessage::Quota(message.clone());
        assert_eq!(decoded(message), Some(sent));
    }
}

/// Guards against hosts that obey a home which claims to have nothing for a long time.
#[test]
fn long_silence() {
    let message = QuotaMessage::Grant(grant(Duration::from_millis(501)));
    assert_eq!(decoded(message), None);
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
