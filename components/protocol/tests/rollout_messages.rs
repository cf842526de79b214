//! Messages on roll-outs, encoded and decoded.

use std::time::Duration;

use coordination::rollouts::message::{CentreSummary, HostReport, RolloutState};
use proptest::prelude::*;
use protocol::neighbour::{DatagramError, NeighbourMessage};
use protocol::rollout_message::RolloutMessage;
use state::fleet::rollout::evidence::{Answer, Evidence, Side};
use state::fleet::rollout::{Order, Phase, Verdict};
use state::{ServiceKey, VersionKey};

fn evidence() -> Evidence {
    let mut evidence = Evidence::default();
    for route in 0..20 {
        evidence.note(Side::New, route, Answer::Bad);
        evidence.note(Side::Old, route, Answer::Good);
    }
    evidence
}

fn state(phase: Phase) -> RolloutMessage {
    RolloutMessage::State(RolloutState {
        order: Order {
            service: ServiceKey::named("ledger"),
            service_name: "ledger".to_owned(),
            version: VersionKey::named("v2"),
            version_name: "v2".to_owned(),
            duration: Duration::from_millis(12_500),
        },
        phase,
        left: Duration::from_millis(3_210),
        ramp_left: Duration::from_millis(120),
    })
}

fn decoded(message: &RolloutMessage, remote: bool) -> NeighbourMessage {
    let datagram = NeighbourMessage::Rollout(message.clone(), remote).encode();
    NeighbourMessage::decode(&datagram).expect("a valid datagram")
}

#[test]
fn round_trip() {
    let phases = [
        Phase::Canary,
        Phase::Ramp,
        Phase::Halted,
        Phase::Decided(Verdict::RolledBack),
        Phase::Decided(Verdict::Completed),
    ];
    let report = RolloutMessage::Report(HostReport {
        service: ServiceKey(1),
        version: VersionKey(2),
        incarnation: 3,
        stopped: true,
        evidence: evidence(),
    });
    let summary = RolloutMessage::Summary(CentreSummary {
        service: ServiceKey(1),
        version: VersionKey(2),
        centre: "trent".to_owned(),
        pending: 7,
        evidence: evidence(),
    });
    let messages = phases.into_iter().map(state).chain([report, summary]);
    for message in messages {
        for remote in [false, true] {
            let expected = NeighbourMessage::Rollout(message.clone(), remote);
            assert_eq!(decoded(&message, remote), expected);
        }
    }
}

/// Counters are sent by every host several times a second while a roll-out lasts.
#[test]
fn small_reports() {
    let report = RolloutMessage::Report(HostReport {
        service: ServiceKey(1),
        version: VersionKey(2),
        incarnation: 3,
        stopped: false,
        evidence: evidence(),
    });
    assert!(NeighbourMessage::Rollout(report, false).encode().len() <= 120);
}

/// A newer release may send a phase that this one doesn't know. The message must be refused,
/// not taken for another phase.
#[test]
fn unknown_phase() {
    let datagram = NeighbourMessage::Rollout(state(Phase::Canary), false).encode();
    // The phase is the only byte 1 that follows the tag of field 4.
    let at = datagram
        .windows(2)
        .position(|w| w == [0x20, 1])
        .expect("the phase");
    let mut newer = datagram;
    newer[at + 1] = 99;
    let refused = NeighbourMessage::decode(&newer);
    assert!(
        matches!(refused, Err(DatagramError::UnknownRollout)),
        "{refused:?}"
    );
}

proptest! {
    /// Bytes that were damaged on the way never panic, and never bring more bad answers than
    /// answers.
    #[test]
    fn damaged_bytes(flips in prop::collection::vec((0usize..200, any::<u8>()), 1..6)) {
        let summary = RolloutMessage::Summary(CentreSummary {
            service: ServiceKey(1),
            version: VersionKey(2),
            centre: "trent".to_owned(),
            pending: 7,
            evidence: evidence(),
        });
        let mut datagram = NeighbourMessage::Rollout(summary, true).encode();
        for (at, byte) in flips {
            let at = at % datagram.len();
            datagram[at] = byte;
        }
        if let Ok(NeighbourMessage::Rollout(RolloutMessage::Summary(s), _)) =
            NeighbourMessage::decode(&datagram)
        {
            let tallies = s.evidence.new.iter().chain(&s.evidence.old);
            for tally in tallies {
                prop_assert!(tally.bad <= tally.answers);
            }
        }
    }
}
