//! What members tell each other about who is alive.

use derives::{tag, value};
use state::HostKey;

/// One message of the failure detector.
#[value]
pub enum MemberMessage {
    /// A member tells one of its watchers that it lives.
    Heartbeat(Heartbeat),
    /// The watcher's answer.
    HeartbeatAck(HeartbeatAck),
    /// A watcher asks its fellow watchers whether they hear a member that it does not.
    LivenessQuery(LivenessQuery),
    /// A fellow watcher still hears the doubted member.
    LivenessReply(LivenessReply),
    /// News for all, passed on by each host that finds it new.
    Gossip(Gossip),
}

/// A member's sign of life.
#[value]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Counts the sender's beats, so that an answer names one.
    pub sequence: u64,
    /// How often the sender has refuted a suspicion.
    pub epoch: u64,
    /// The log's offset up to which the sender has folded the configuration.
    pub offset: u64,
    /// Whether the sender asks for an answer.
    pub wants_ack: bool,
}

/// A watcher's answer to a beat.
#[value]
pub struct HeartbeatAck {
    /// The sequence of the beat answered.
    pub sequence: u64,
    /// The log's offset up to which the watcher has folded the configuration.
    pub offset: u64,
    /// The epoch in which the watcher holds the sender of the beat for lost.
    pub suspected: Option<u64>,
}

/// A watcher's doubt about a silent member.
#[value]
pub struct LivenessQuery {
    /// The silent member.
    pub host: HostKey,
    /// The incarnation that fell silent.
    pub incarnation: u64,
    /// The epoch last heard of.
    pub epoch: u64,
    /// How long the asking watcher has heard nothing, in milliseconds.
    pub silent_ms: u64,
}

/// A fellow watcher's word for a doubted member.
#[value]
pub struct LivenessReply {
    /// The doubted member.
    pub host: HostKey,
    /// The incarnation heard.
    pub incarnation: u64,
    /// How long ago it was heard, in milliseconds.
    pub ago_ms: u64,
}

/// News about one member.
#[value]
pub struct Gossip {
    /// The member it is about.
    pub host: HostKey,
    /// The incarnation it is about.
    pub incarnation: u64,
    /// What is told.
    pub event: GossipEvent,
}

/// What a rumour tells.
#[tag]
pub enum GossipEvent {
    /// Its watchers agree that it fell silent in this epoch.
    Suspected {
        /// The epoch of the silent member.
        epoch: u64,
        /// Grows each time the watchers tell it again.
        round: u64,
    },
    /// The member itself says that it lives, in this newer epoch.
    Alive {
        /// The member's new epoch.
        epoch: u64,
    },
    /// The member has folded the configuration up to this offset.
    Applied {
        /// The offset after the last record folded.
        offset: u64,
    },
}
