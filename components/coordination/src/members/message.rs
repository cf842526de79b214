//! Messages of the failure detector between members.

use derives::{tag, value};
use state::HostKey;

/// A message of the failure detector.
#[value]
pub enum MemberMessage {
    /// Member to watcher: a heartbeat.
    Heartbeat(Heartbeat),
    /// Watcher to member: acknowledges a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Watcher to the other watchers: asks whether they receive heartbeats of a silent member.
    LivenessQuery(LivenessQuery),
    /// Watcher to watcher: heartbeats of the queried member have arrived recently.
    LivenessReply(LivenessReply),
    /// An event for all hosts, forwarded by each host to which it is new.
    Gossip(Gossip),
}

/// A member's heartbeat.
#[value]
pub struct Heartbeat {
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The number of the heartbeat, which its acknowledgement repeats.
    pub sequence: u64,
    /// How often the sender has refuted a suspicion.
    pub epoch: u64,
    /// The offset up to which the sender has applied the configuration.
    pub offset: u64,
    /// Whether the sender requests an acknowledgement.
    pub wants_ack: bool,
}

/// A watcher's acknowledgement of a heartbeat.
#[value]
pub struct HeartbeatAck {
    /// The sequence number of the heartbeat.
    pub sequence: u64,
    /// The offset up to which the watcher has applied the configuration.
    pub offset: u64,
    /// The epoch in which the watcher considers the sender of the heartbeat lost, if it does.
    pub suspected: Option<u64>,
}

/// A watcher's query about a silent member.
#[value]
pub struct LivenessQuery {
    /// The silent member.
    pub host: HostKey,
    /// The incarnation of the silent member.
    pub incarnation: u64,
    /// The latest epoch of the silent member that the watcher knows.
    pub epoch: u64,
    /// How long the watcher has received nothing from the member, in milliseconds.
    pub silent_ms: u64,
}

/// A watcher's reply that a queried member is alive.
#[value]
pub struct LivenessReply {
    /// The queried member.
    pub host: HostKey,
    /// The incarnation that is alive.
    pub incarnation: u64,
    /// How long ago the watcher last received something from the member, in milliseconds.
    pub ago_ms: u64,
}

/// An event about one member.
#[value]
pub struct Gossip {
    /// The member that the event is about.
    pub host: HostKey,
    /// The incarnation that the event is about.
    pub incarnation: u64,
    /// The event.
    pub event: GossipEvent,
}

/// The kinds of events about a member.
#[tag]
pub enum GossipEvent {
    /// The member's watchers agree that it fell silent in this epoch.
    Suspected {
        /// The epoch of the silent member.
        epoch: u64,
        /// Grows each time the watchers repeat the suspicion.
        round: u64,
    },
    /// The member itself refutes a suspicion and enters a newer epoch.
    Alive {
        /// The member's new epoch.
        epoch: u64,
    },
    /// The member has applied the configuration up to this offset.
    Applied {
        /// The offset after the last record applied.
        offset: u64,
    },
}
