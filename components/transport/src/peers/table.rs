//! The table of links: which exist, which of two links a pair keeps, and when to dial again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use state::{HostKey, Moment};
use tokio_util::sync::CancellationToken;

use super::outbox::Outbox;

const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// How far apart two links of a pair may open and still count as dialled at the same time.
const DOUBLE_DIAL_WINDOW: Duration = Duration::from_secs(1);

const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The peers that this host has a link to or messages for.
pub struct LinkTable {
    own_key: HostKey,
    peers: BTreeMap<HostKey, Peer>,
    serial: u64,
}

/// The state of one peer.
pub struct Peer {
    /// The messages queued for the peer.
    pub outbox: Arc<Outbox>,
    /// When the link was opened or a message was last queued for the peer.
    pub last_used: Moment,
    active: Option<ActiveLink>,
    dial_wanted: bool,
    dialing: bool,
    failures: u32,
    retry_at: Moment,
}

/// The link in use between this host and a peer.
struct ActiveLink {
    serial: u64,
    incarnation: u64,
    dialer: HostKey,
    opened: Moment,
    stop: CancellationToken,
}

/// A link that was added to the table.
pub struct OpenLink {
    /// Identifies the link until it is closed.
    pub serial: u64,
    /// The messages to write on the link.
    pub outbox: Arc<Outbox>,
    /// Cancelled when the link is replaced or the peer is no longer wanted.
    pub stop: CancellationToken,
}

/// The queue for a message, and whether a link has to be dialled.
pub struct Route {
    /// The queue that takes the message.
    pub outbox: Arc<Outbox>,
    /// Whether there is neither a link to the peer nor a dial under way.
    pub dial: bool,
}

impl LinkTable {
    /// Returns a table without links.
    pub fn new(own_key: HostKey) -> LinkTable {
        LinkTable {
            own_key,
            peers: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Returns the state of `host`, and adds it if it is missing.
    pub fn peer(&mut self, host: HostKey) -> &mut Peer {
        self.peers.entry(host).or_insert_with(Peer::new)
    }

    /// Returns whether there is a link to `host`.
    pub fn is_linked(&self, host: HostKey) -> bool {
        self.peers.get(&host).is_some_and(|p| p.active.is_some())
    }

    /// Returns the number of links.
    pub fn link_count(&self) -> usize {
        self.peers.values().filter(|p| p.active.is_some()).count()
    }

    /// Adds a link to `host`, unless the existing one is kept in its place.
    ///
    /// Two hosts that dial each other at the same time open two links. Both
    /// keep the link that the host with the smaller key dialled; otherwise each
    /// could keep the link that the other one drops. A second link by the same
    /// dialer replaces the first, and so does one that opens long after it: its
    /// dialer receives nothing on the first link, though this end may not have
    /// noticed that yet.
    pub fn open(
        &mut self,
        host: HostKey,
        incarnation: u64,
        dialer: HostKey,
        now: Moment,
    ) -> Option<OpenLink> {
        self.serial += 1;
        let serial = self.serial;
        let peer = self.peer(host);
        peer.dialing = false;
        match &peer.active {
            Some(old)
                if old.incarnation == incarnation
                    && old.dialer < dialer
                    && now.since(old.opened) < DOUBLE_DIAL_WINDOW =>
            {
                return None;
            }
            Some(old) => old.stop.cancel(),
            None => {}
        }
        let stop = CancellationToken::new();
        peer.active = Some(ActiveLink {
            serial,
            incarnation,
            dialer,
            opened: now,
            stop: stop.clone(),
        });
        peer.failures = 0;
        peer.last_used = now;
        Some(OpenLink {
            serial,
            outbox: Arc::clone(&peer.outbox),
            stop,
        })
    }

    /// Removes a closed link. Returns false if another link has replaced it.
    pub fn close(&mut self, host: HostKey, serial: u64) -> bool {
        let Some(peer) = self.peers.get_mut(&host) else {
            return false;
        };
        if peer.active.as_ref().is_none_or(|a| a.serial != serial) {
            return false;
        }
        peer.active = None;
        peer.outbox.clear();
        true
    }

    /// Closes the link to `host`, if there is one, after delivery of the messages already sent.
    pub fn close_link(&mut self, host: HostKey) {
        let active = self.peers.get_mut(&host).and_then(|p| p.active.take());
        if let Some(active) = active {
            active.stop.cancel();
        }
    }

    /// Returns whether to dial `host` now, and if so records that a dial is under way.
    pub fn start_dial(&mut self, host: HostKey, now: Moment) -> bool {
        let own_key = self.own_key;
        let peer = self.peer(host);
        let due = host != own_key && peer.active.is_none() && !peer.dialing && peer.retry_at <= now;
        peer.dialing |= due;
        peer.dial_wanted &= !due;
        due
    }

    /// Records a failed dial and sets the back-off. `jitter` is a random number from 0 to 1.
    ///
    /// Without jitter, all peers of a host that restarts would dial it in the
    /// same millisecond, and again after each failure.
    pub fn fail_dial(&mut self, host: HostKey, now: Moment, jitter: f64) {
        let peer = self.peer(host);
        peer.dialing = false;
        let pause = MIN_BACKOFF
            .saturating_mul(1 << peer.failures.min(8))
            .min(MAX_BACKOFF);
        peer.failures += 1;
        peer.retry_at = now + pause.mul_f64(0.5 + 0.5 * jitter);
        if peer.active.is_none() {
            peer.outbox.clear();
        }
    }

    /// Returns the queue for a message to `host`, and whether a dial is needed first.
    ///
    /// Returns none during the back-off after a failed dial: a message queued
    /// then would be out of date before there is a link.
    pub fn route(&mut self, host: HostKey, now: Moment) -> Option<Route> {
        let own_key = self.own_key;
        let peer = self.peer(host);
        let underway = peer.active.is_some() || peer.dialing;
        if host == own_key || (!underway && now < peer.retry_at) {
            return None;
        }
        peer.last_used = now;
        peer.dial_wanted |= !underway;
        Some(Route {
            outbox: Arc::clone(&peer.outbox),
            dial: !underway,
        })
    }

    /// Returns the peers that have queued messages but no link.
    pub fn dial_wanted(&self) -> Vec<HostKey> {
        let peers = self.peers.iter().filter(|(_, p)| p.dial_wanted);
        peers.map(|(host, _)| *host).collect()
    }

    /// Removes the peers for which `keep` returns false, and closes their links.
    ///
    /// The arguments of `keep` are the host and the incarnation at the other end
    /// of its link, or none if there is no link.
    pub fn retain(&mut self, keep: impl Fn(HostKey, Option<u64>) -> bool) {
        self.peers.retain(|host, peer| {
            let active = peer.active.as_ref();
            let stays = keep(*host, active.map(|a| a.incarnation));
            if let (false, Some(active)) = (stays, active) {
                active.stop.cancel();
            }
            stays
        });
    }

    /// Returns the linked peers that were last used before `limit`.
    pub fn idle(&self, limit: Moment) -> Vec<HostKey> {
        let idle = |p: &Peer| p.active.is_some() && p.last_used < limit;
        let peers = self.peers.iter().filter(|(_, p)| idle(p));
        peers.map(|(host, _)| *host).collect()
    }
}

impl Peer {
    fn new() -> Peer {
        Peer {
            outbox: Arc::default(),
            last_used: Moment(0),
            active: None,
            dial_wanted: false,
            dialing: false,
            failures: 0,
            retry_at: Moment(0),
        }
    }
}
