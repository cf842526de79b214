//! The members that are alive, as seen by one host.

use std::collections::BTreeMap;

use derives::value;
use state::HostKey;

/// The members as this host sees them, including itself.
#[value]
#[derive(Default)]
pub struct LiveView {
    /// The revision of the configuration that lists the members.
    pub revision: u64,
    /// The members by key.
    pub peers: BTreeMap<HostKey, PeerState>,
}

/// What this host knows about one member.
#[value]
pub struct PeerState {
    /// The data centre of the member.
    pub data_centre: String,
    /// Whether the member's watchers agree that it fell silent.
    pub suspected: bool,
    /// The offset up to which the member has applied the configuration, as far as this host knows.
    pub applied: u64,
}

impl LiveView {
    /// Returns whether the host is a member and not suspected.
    pub fn is_alive(&self, host: HostKey) -> bool {
        self.peers.get(&host).is_some_and(|p| !p.suspected)
    }

    /// Returns the members that are not suspected.
    pub fn alive(&self) -> impl Iterator<Item = HostKey> {
        self.peers
            .iter()
            .filter(|(_, peer)| !peer.suspected)
            .map(|(host, _)| *host)
    }
}
