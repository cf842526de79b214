//! Who is alive, who watches whom, and who removes the lost.

pub mod message;
mod view;

pub use message::{Answer, Beat, Doubt, Heard, MemberMessage, News, Rumour};
pub use view::{LiveView, PeerState};
