//! Membership of entry hosts: who is alive, who watches whom, and who removes lost members.

mod detector;
mod gossip;
pub mod membership;
pub mod message;
pub mod quorum;
mod receive;
mod removal;
mod view;
pub mod watch;
mod watched;

pub use detector::{Action, Detector};
pub use message::{
    Gossip, GossipEvent, Heartbeat, HeartbeatAck, LivenessQuery, LivenessReply, MemberMessage,
};
pub use quorum::{OwnerStatus, Takeover, WatchHistory, WatcherAck, current_at, may_act};
pub use removal::unlisted_members;
pub use view::{LiveView, PeerState};
pub use watch::{MemberId, WatchMap};
