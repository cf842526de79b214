//! Who is alive, as one host sees it.

use std::collections::BTreeMap;

use derives::value;
use state::HostKey;

/// The members as this host sees them, itself among them.
#[value]
#[derive(Default)]
pub struct LiveView {
    /// The revision of the configuration the view is of.
    pub revision: u64,
    /// The members by key.
    pub peers: BTreeMap<HostKey, PeerState>,
}

/// What this host knows of one member.
#[value]
pub struct PeerState {
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whether its watchers agree that it fell silent.
    pub suspected: bool,
    /// The offset of its configuration, as it last said itself.
    pub applied: u64,
}

impl LiveView {
    /// Returns whether the member is there and nobody agreed that it fell silent.
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
