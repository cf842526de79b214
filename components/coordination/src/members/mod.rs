//! Who is alive, who watches whom, and who removes the lost.

mod detector;
pub mod joining;
pub mod message;
pub mod quorum;
mod receive;
mod removal;
mod rumour;
mod subject;
mod view;
pub mod watch;

pub use detector::{Action, Detector};
pub use message::{Answer, Beat, Doubt, Heard, MemberMessage, News, Rumour};
pub use quorum::{Evidence, History, Settled, Takeover, current_at, may_act};
pub use removal::gone;
pub use view::{LiveView, PeerState};
pub use watch::{MemberId, WatchMap};
