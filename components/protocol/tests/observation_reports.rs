//! Invalid and unknown forms of reports on endpoints, and their size.

use std::time::Duration;

use prost::Message;
use protocol::neighbour::NeighbourMessage;
use protocol::observation_report::ObservationReport;
use rstest::rstest;
use state::EndpointKey;
use state::fleet::observation_outbox::{DATAGRAM_BYTES, ENDPOINT_BYTES, GROUP_BYTES};
use state::fleet::{Observation, ObservationKind};

/// The version byte of a datagram that isn't compressed.
const PLAIN: u8 = 4;

/// The IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

#[derive(Clone, PartialEq, Message)]
struct WireMessage {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(message, optional, tag = "29")]
    observations: Option<WireReport>,
}

#[derive(Clone, PartialEq, Message)]
struct WireReport {
    #[prost(message, repeated, tag = "1")]
    groups: Vec<WireGroup>,
    #[prost(uint32, tag = "2")]
    liveness: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireGroup {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint32, tag = "2")]
    age_ms: u32,
    #[prost(fixed64, repeated, tag = "3")]
    endpoints: Vec<u64>,
}

fn group(kind: u32, age_ms: u32, endpoints: &[u64]) -> WireGroup {
    WireGroup {
        kind,
        age_ms,
        endpoints: endpoints.to_vec(),
    }
}

fn is_accepted(topic: u32, groups: Vec<WireGroup>, liveness: u32) -> bool {
    let message = WireMessage {
        topic,
        observations: Some(WireReport { groups, liveness }),
    };
    let datagram = [&[PLAIN][..], &message.encode_to_vec()].concat();
    NeighbourMessage::decode(&datagram).is_ok()
}

/// One invalid part of a report must make the whole report invalid, so that nothing of it is
/// applied.
#[rstest]
#[case::unknown_kind(group(7, 1, &[5]))]
#[case::no_kind(group(0, 1, &[5]))]
#[case::no_endpoint(group(1, 1, &[]))]
#[case::old(group(1, 60_001, &[5]))]
fn invalid_part(#[case] invalid: WireGroup) {
    let valid = group(1, 15, &[6, 7]);
    assert!(is_accepted(10, vec![valid.clone()], 0));
    assert!(!is_accepted(10, vec![valid, invalid], 0));
}

/// A message of a form that this release doesn't know must be refused.
#[rstest]
#[case::empty(10, vec![], 0)]
#[case::unknown_liveness(10, vec![], 3)]
#[case::both(10, vec![group(1, 15, &[6])], 1)]
#[case::unknown_message(11, vec![group(1, 15, &[6])], 0)]
fn unknown_form(#[case] topic: u32, #[case] groups: Vec<WireGroup>, #[case] liveness: u32) {
    assert!(!is_accepted(topic, groups, liveness));
}

/// A report must not be larger than what its sender charges to its byte budget.
#[test]
fn charged_size() {
    let kinds = [
        ObservationKind::Unconnected,
        ObservationKind::Broken,
        ObservationKind::Failing,
        ObservationKind::Slow,
        ObservationKind::Shedding,
        ObservationKind::Recovered,
    ];
    for kind_count in 1..=kinds.len() {
        for count in [kind_count, 30, 300] {
            let observations = (0..count).map(|n| Observation {
                endpoint: EndpointKey((n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                kind: kinds[n % kind_count],
                age: Duration::from_millis(500),
            });
            let report = ObservationReport::Observations(observations.collect());
            let size = NeighbourMessage::Observations(report).encode().len() + HEADER_BYTES;
            let charged = DATAGRAM_BYTES + kind_count * GROUP_BYTES + count * ENDPOINT_BYTES;
            assert!(size <= charged, "{size} of {charged} at {count}");
        }
    }
}
