//! Which links there are, which of two links a pair keeps, and when to dial again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use state::{HostKey, Moment};
use tokio_util::sync::CancellationToken;

use super::outbox::Outbox;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// How far apart two dials of a pair may end and still have been made at once.
const DOUBLE_DIAL: Duration = Duration::from_secs(1);

const LAST_BACKOFF: Duration = Duration::from_secs(2);

/// All peers this host has to do with.
pub struct Table {
    me: HostKey,
    peers: BTreeMap<HostKey, Peer>,
    serial: u64,
}

/// One peer.
pub struct Peer {
    /// What waits to be written to it.
    pub outbox: Arc<Outbox>,
    /// When a message last went either way.
    pub used: Moment,
    active: Option<Active>,
    wanted: bool,
    dialing: bool,
    failures: u32,
    retry_at: Moment,
}

/// The link in use between a pair.
struct Active {
    serial: u64,
    incarnation: u64,
    dialer: HostKey,
    opened: Moment,
    stop: CancellationToken,
}

/// A link that was taken into use.
pub struct Opened {
    /// Names the link until it ends.
    pub serial: u64,
    /// What to write on it.
    pub outbox: Arc<Outbox>,
    /// Ends the link when it is replaced or the peer is no longer wanted.
    pub stop: CancellationToken,
}

/// Where a message goes.
pub struct Route {
    /// The queue it joins.
    pub outbox: Arc<Outbox>,
    /// Whether nothing leads to the peer yet.
    pub dial: bool,
}

impl Table {
    /// Returns a table without links.
    pub fn new(me: HostKey) -> Table {
        Table {
            me,
            peers: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Returns the peer, known from now on.
    pub fn peer(&mut self, host: HostKey) -> &mut Peer {
        self.peers.entry(host).or_insert_with(Peer::new)
    }

    /// Returns whether there is a link to `host`.
    pub fn is_linked(&self, host: HostKey) -> bool {
        self.peers.get(&host).is_some_and(|p| p.active.is_some())
    }

    /// Returns how many links there are.
    pub fn link_count(&self) -> usize {
        self.peers.values().filter(|p| p.active.is_some()).count()
    }

    /// Takes a link into use, unless the pair keeps the one it has.
    ///
    /// Two hosts that dial each other at once end up with two links. Both keep
    /// the one that the host with the smaller key dialled, so they can't each
    /// keep the one the other drops. A second link by the same dialer is newer,
    /// and so is one that comes long after the first: its dialer hears nothing
    /// on the first, though this end may not have noticed.
    pub fn open(
        &mut self,
        host: HostKey,
        incarnation: u64,
        dialer: HostKey,
        now: Moment,
    ) -> Option<Opened> {
        self.serial += 1;
        let serial = self.serial;
        let peer = self.peer(host);
        peer.dialing = false;
        match &peer.active {
            Some(old)
                if old.incarnation == incarnation
                    && old.dialer < dialer
                    && now.since(old.opened) < DOUBLE_DIAL =>
            {
                return None;
            }
            Some(old) => old.stop.cancel(),
            None => {}
        }
        let stop = CancellationToken::new();
        peer.active = Some(Active {
            serial,
            incarnation,
            dialer,
            opened: now,
            stop: stop.clone(),
        });
        peer.failures = 0;
        peer.used = now;
        Some(Opened {
            serial,
            outbox: Arc::clone(&peer.outbox),
            stop,
        })
    }

    /// Forgets a link that has ended; false where another has taken its place.
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

    /// Gives up the link to `host`, if there is one. It delivers what is under way.
    pub fn close_link(&mut self, host: HostKey) {
        let active = self.peers.get_mut(&host).and_then(|p| p.active.take());
        if let Some(active) = active {
            active.stop.cancel();
        }
    }

    /// Returns whether to dial `host` now, and notes that the dial is under way.
    pub fn start_dial(&mut self, host: HostKey, now: Moment) -> bool {
        let me = self.me;
        let peer = self.peer(host);
        let due = host != me && peer.active.is_none() && !peer.dialing && peer.retry_at <= now;
        peer.dialing |= due;
        peer.wanted &= !due;
        due
    }

    /// Notes that a dial failed. `jitter` is drawn evenly from 0 to 1.
    ///
    /// Without jitter all peers of a host that comes back would dial it in the
    /// same millisecond, and again after each failure.
    pub fn fail_dial(&mut self, host: HostKey, now: Moment, jitter: f64) {
        let peer = self.peer(host);
        peer.dialing = false;
        let pause = FIRST_BACKOFF
            .saturating_mul(1 << peer.failures.min(8))
            .min(LAST_BACKOFF);
        peer.failures += 1;
        peer.retry_at = now + pause.mul_f64(0.5 + 0.5 * jitter);
        if peer.active.is_none() {
            peer.outbox.clear();
        }
    }

    /// Returns where to put a message to `host`, and whether a dial is needed first.
    ///
    /// None while the back-off after a failed dial lasts: what is sent then
    /// would be old before there is a link.
    pub fn route(&mut self, host: HostKey, now: Moment) -> Option<Route> {
        let me = self.me;
        let peer = self.peer(host);
        let underway = peer.active.is_some() || peer.dialing;
        if host == me || (!underway && now < peer.retry_at) {
            return None;
        }
        peer.used = now;
        peer.wanted |= !underway;
        Some(Route {
            outbox: Arc::clone(&peer.outbox),
            dial: !underway,
        })
    }

    /// Returns the peers that messages wait for without a link.
    pub fn wanted(&self) -> Vec<HostKey> {
        let peers = self.peers.iter().filter(|(_, p)| p.wanted);
        peers.map(|(host, _)| *host).collect()
    }

    /// Forgets the peers that `keep` denies, and ends their links.
    ///
    /// It is asked with the host and the incarnation at the link's other end.
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
        let idle = |p: &Peer| p.active.is_some() && p.used < limit;
        let peers = self.peers.iter().filter(|(_, p)| idle(p));
        peers.map(|(host, _)| *host).collect()
    }
}

impl Peer {
    fn new() -> Peer {
        Peer {
            outbox: Arc::default(),
            used: Moment(0),
            active: None,
            wanted: false,
            dialing: false,
            failures: 0,
            retry_at: Moment(0),
        }
    }
}
