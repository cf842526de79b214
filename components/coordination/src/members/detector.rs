//! The failure detector of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::value;
use state::{Config, HostKey, Moment};

use super::gossip::GossipState;
use super::message::{Gossip, GossipEvent, Heartbeat, LivenessQuery, MemberMessage};
use super::quorum::{OwnerStatus, WatchHistory, WatcherAck, current_at, is_fresh};
use super::removal::{Listed, RemovalPoll};
use super::view::{LiveView, PeerState};
use super::watch::{MemberId, WatchMap};
use super::watched::WatchedMember;

/// The time between two heartbeats from a host to each of its watchers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// One heartbeat in this many requests an acknowledgement.
const HEARTBEATS_PER_ACK: u64 = 3;

/// The gap between two ticks after which the silence of other members proves nothing.
///
/// A host that was itself paused finds all others silent when it resumes.
const PAUSE_LIMIT: Duration = Duration::from_millis(250);

/// How long a host may lag behind a peer's offset before it requests the peer's configuration.
///
/// Normally the log brings the same records within milliseconds.
const LAG_LIMIT: Duration = Duration::from_millis(500);

/// The number of heartbeats whose time of sending is kept, for their acknowledgements.
const SENT_LIMIT: usize = 64;

/// An action for the caller of the detector.
#[value]
pub enum Action {
    /// Sends a message.
    Send(HostKey, MemberMessage),
    /// Closes the link to a silent host and dials again.
    Redial(HostKey),
    /// Writes the removal of a lost member to the log.
    Remove(MemberId),
    /// Requests the configuration of this host, which is newer.
    AskConfig(HostKey),
    /// Reports that a member is suspected from now on.
    Suspected(HostKey),
    /// Reports that a suspected member is alive.
    Refuted(HostKey),
}

/// Watches other members, sends heartbeats to its own watchers, and reports who is alive.
pub struct Detector {
    pub(super) me: MemberId,
    pub(super) epoch: u64,
    sequence: u64,
    next_heartbeat: Moment,
    last_tick: Moment,
    pub(super) map: WatchMap,
    centres: BTreeMap<HostKey, String>,
    names: BTreeMap<HostKey, String>,
    revision: u64,
    pub(super) offset: u64,
    history: WatchHistory,
    pub(super) watched: BTreeMap<MemberId, WatchedMember>,
    pub(super) gossip_state: GossipState,
    suspected: BTreeSet<MemberId>,
    pub(super) sent: BTreeMap<u64, Moment>,
    pub(super) acks: BTreeMap<MemberId, WatcherAck>,
    log_read: Option<Moment>,
    pub(super) ahead: Option<(HostKey, Moment)>,
    unlisted: BTreeSet<HostKey>,
    pub(super) poll: Option<RemovalPoll>,
    actions: Vec<Action>,
}

impl Detector {
    /// Returns a detector that does not know any members yet.
    pub fn new(me: MemberId, now: Moment) -> Detector {
        Detector {
            me,
            epoch: 0,
            sequence: 0,
            next_heartbeat: now,
            last_tick: now,
            map: WatchMap::default(),
            centres: BTreeMap::new(),
            names: BTreeMap::new(),
            revision: 0,
            offset: 0,
            history: WatchHistory::default(),
            watched: BTreeMap::new(),
            gossip_state: GossipState::default(),
            suspected: BTreeSet::new(),
            sent: BTreeMap::new(),
            acks: BTreeMap::new(),
            log_read: None,
            ahead: None,
            unlisted: BTreeSet::new(),
            poll: None,
            actions: Vec::new(),
        }
    }

    /// Applies a configuration, unless it is older than the last.
    pub fn configure(&mut self, config: &Config, now: Moment) {
        if config.offset < self.offset {
            return;
        }
        self.offset = config.offset;
        self.ahead = None;
        self.gossip_state.note_applied(self.me, config.offset);
        if config.revision == self.revision {
            return;
        }
        self.revision = config.revision;
        let old = std::mem::replace(&mut self.map, WatchMap::from_config(config));
        self.history
            .configure(&self.map, config.revision, config.offset);
        let members = config.members.iter();
        self.centres = members
            .clone()
            .map(|(host, m)| (*host, m.data_centre.clone()))
            .collect();
        self.names = members.map(|(host, m)| (*host, m.name.clone())).collect();
        let mut watched = BTreeMap::new();
        for id in self.map.watched_by(self.me) {
            let kept = self.watched.remove(&id);
            watched.insert(id, kept.unwrap_or_else(|| WatchedMember::new(now)));
        }
        self.watched = watched;
        self.gossip_state.retain(&self.map);
        self.acks
            .retain(|id, _| self.map.member(id.host) == Some(*id));
        self.announce_removals(&old);
        self.refresh(now);
    }

    /// Announces that this host has applied the removal of members that it watched.
    ///
    /// Their successors wait for it: see [`WatchHistory::owner_status`].
    fn announce_removals(&mut self, old: &WatchMap) {
        let watched: Vec<MemberId> = old
            .members()
            .filter(|id| self.map.member(id.host) != Some(*id))
            .filter(|id| old.watchers(*id).contains(&self.me))
            .collect();
        if watched.is_empty() {
            return;
        }
        self.announce_applied(self.me, self.offset);
        for id in watched {
            let last = self.gossip_state.applied_by(id.host, id.incarnation);
            self.announce_applied(id, last);
        }
    }

    fn announce_applied(&mut self, id: MemberId, offset: u64) {
        let gossip = Gossip {
            host: id.host,
            incarnation: id.incarnation,
            event: GossipEvent::Applied { offset },
        };
        self.forward_gossip(&gossip, None);
    }

    /// Records that the end of the log was read by a request sent at `sent`.
    pub fn note_log_end(&mut self, sent: Moment) {
        self.log_read = self.log_read.max(Some(sent));
    }

    /// Sets the members that a usable list of the platform lacks or reports as leaving.
    pub fn set_unlisted(&mut self, unlisted: BTreeSet<HostKey>) {
        self.unlisted = unlisted;
    }

    /// Records the incarnation and offset that a peer sent when its link was made.
    pub fn peer_connected(&mut self, from: HostKey, incarnation: u64, offset: u64, now: Moment) {
        let id = MemberId {
            host: from,
            incarnation,
        };
        self.gossip_state.note_applied(id, offset);
        if let Some(member) = self.watched.get_mut(&id) {
            member.record_contact(now);
        }
        self.note_peer_offset(from, offset, now);
    }

    /// Performs due work. The caller has to call it every 50 ms.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_tick) > PAUSE_LIMIT {
            self.reset_silence(now);
        }
        self.last_tick = now;
        if now >= self.next_heartbeat {
            self.next_heartbeat = (self.next_heartbeat + HEARTBEAT_INTERVAL).max(now);
            self.send_heartbeats(now);
        }
        let watched: Vec<MemberId> = self.watched.keys().copied().collect();
        for id in watched {
            self.watch(id, now);
        }
        self.update_poll(now);
        if let Some((host, since)) = self.ahead
            && now.since(since) >= LAG_LIMIT
        {
            self.ahead = None;
            self.actions.push(Action::AskConfig(host));
        }
        self.gossip_state.expire(now);
        self.refresh(now);
    }

    /// Takes the actions collected since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Asks `host` for the offset up to which it has applied the configuration.
    pub fn ask(&mut self, host: HostKey, now: Moment) {
        let heartbeat = self.new_heartbeat(true, now);
        self.actions.push(Action::Send(host, heartbeat));
    }

    /// Returns whether the current configuration contains this process as a member.
    pub fn is_member(&self) -> bool {
        self.map.member(self.me.host) == Some(self.me)
    }

    /// Returns whether this host may act as an owner now.
    pub fn may_act(&self, now: Moment) -> bool {
        self.current_at().is_some_and(|at| is_fresh(now, at))
    }

    /// Returns when this member's configuration was last proved to be the current one.
    pub fn current_at(&self) -> Option<Moment> {
        let watchers = self.map.watchers(self.me);
        let latest = current_at(self.offset, self.log_read, watchers, &self.acks);
        latest.filter(|_| self.is_member())
    }

    /// Returns whether a previous owner may still act after the change at offset `change`.
    pub fn owner_status(&self, owner: MemberId, change: u64) -> OwnerStatus {
        self.history
            .owner_status(owner, change, self.gossip_state.applied())
    }

    /// Returns which members are alive.
    pub fn view(&self) -> LiveView {
        let peer = |id: MemberId| PeerState {
            data_centre: self.centres.get(&id.host).cloned().unwrap_or_default(),
            suspected: self.suspected.contains(&id),
            applied: self.gossip_state.applied_by(id.host, id.incarnation),
        };
        LiveView {
            revision: self.revision,
            peers: self.map.members().map(|id| (id.host, peer(id))).collect(),
        }
    }

    fn watch(&mut self, id: MemberId, now: Moment) {
        let other_watchers = self.other_watchers(id, now);
        let Some(member) = self.watched.get_mut(&id) else {
            return;
        };
        if member.should_redial(now) {
            self.actions.push(Action::Redial(id.host));
        }
        if member.should_query(now) {
            let query = LivenessQuery {
                host: id.host,
                incarnation: id.incarnation,
                epoch: member.epoch,
                silent_ms: millis(member.silence(now)),
            };
            for watcher in self.map.watchers(id).iter().filter(|w| **w != self.me) {
                let message = MemberMessage::LivenessQuery(query.clone());
                self.actions.push(Action::Send(watcher.host, message));
            }
        }
        if !member.is_agreed(now, other_watchers.len()) {
            return;
        }
        let before = other_watchers.iter().filter(|w| **w < self.me).count();
        let lost = member.is_removable(now, &other_watchers, u32::try_from(before).unwrap_or(0));
        let round = member.silence(now).as_secs();
        let epoch = member.epoch;
        if self.gossip_state.is_repeat_due(id, now) {
            let gossip = Gossip {
                host: id.host,
                incarnation: id.incarnation,
                event: GossipEvent::Suspected { epoch, round },
            };
            self.gossip_state.accept(&gossip, now);
            self.forward_gossip(&gossip, None);
        }
        if lost && self.poll.is_none() {
            self.start_poll(id, now);
        }
    }

    /// Returns the other watchers of `id` that are not suspected themselves.
    fn other_watchers(&self, id: MemberId, now: Moment) -> Vec<MemberId> {
        let watchers = self.map.watchers(id).iter().copied();
        watchers
            .filter(|w| *w != self.me && self.gossip_state.suspected(*w, now).is_none())
            .collect()
    }

    fn start_poll(&mut self, target: MemberId, now: Moment) {
        let heartbeat = self.new_heartbeat(true, now);
        self.poll = Some(RemovalPoll::new(target, self.sequence, now));
        let region: Vec<MemberId> = self.map.region(target.host).collect();
        for id in region {
            if id != self.me && id != target {
                self.actions.push(Action::Send(id.host, heartbeat.clone()));
            }
        }
    }

    fn update_poll(&mut self, now: Moment) {
        let Some(poll) = &mut self.poll else {
            return;
        };
        let target = poll.target();
        let region = self.map.region(target.host).count();
        let listed = match self.unlisted.contains(&target.host) {
            true => Listed::Unlisted,
            false => Listed::Unclear,
        };
        let silent = self.watched.get(&target);
        let silent = silent.is_some_and(|s| s.silence(now) >= super::watched::REMOVE_AFTER);
        if silent && poll.should_remove(region, listed, now) {
            self.actions.push(Action::Remove(target));
        }
        if !silent || poll.is_over(now) {
            self.poll = None;
        }
    }

    fn send_heartbeats(&mut self, now: Moment) {
        let wants_ack = (self.sequence + 1).is_multiple_of(HEARTBEATS_PER_ACK);
        let heartbeat = self.new_heartbeat(wants_ack, now);
        for watcher in self.map.watchers(self.me) {
            self.actions
                .push(Action::Send(watcher.host, heartbeat.clone()));
        }
    }

    fn new_heartbeat(&mut self, wants_ack: bool, now: Moment) -> MemberMessage {
        self.sequence += 1;
        if wants_ack {
            self.sent.insert(self.sequence, now);
            while self.sent.len() > SENT_LIMIT {
                self.sent.pop_first();
            }
        }
        MemberMessage::Heartbeat(Heartbeat {
            incarnation: self.me.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            offset: self.offset,
            wants_ack,
        })
    }

    /// Forwards gossip to the hosts that this one watches and that watch it.
    ///
    /// These pairs form a random graph of degree ten: gossip reaches 300 hosts in
    /// three or four hops, at a cost per host that does not grow with their number.
    pub(super) fn forward_gossip(&mut self, gossip: &Gossip, from: Option<HostKey>) {
        let watchers = self.map.watchers(self.me).iter().map(|w| w.host);
        let watched = self.watched.keys().map(|s| s.host);
        let mut neighbours: BTreeSet<HostKey> = watchers.chain(watched).collect();
        if let Some(from) = from {
            neighbours.remove(&from);
        }
        for host in neighbours {
            self.send(host, MemberMessage::Gossip(gossip.clone()));
        }
    }

    pub(super) fn send(&mut self, to: HostKey, message: MemberMessage) {
        self.actions.push(Action::Send(to, message));
    }

    fn reset_silence(&mut self, now: Moment) {
        for member in self.watched.values_mut() {
            member.record_contact(now);
        }
    }

    /// Reports members that have become suspected, and those that no longer are.
    pub(super) fn refresh(&mut self, now: Moment) {
        if self.gossip_state.is_quiet() && self.suspected.is_empty() {
            return;
        }
        let is_suspected = |id: &MemberId| self.gossip_state.suspected(*id, now).is_some();
        let suspected: BTreeSet<MemberId> = self.map.members().filter(is_suspected).collect();
        for id in suspected.difference(&self.suspected) {
            self.actions.push(Action::Suspected(id.host));
        }
        for id in self.suspected.difference(&suspected) {
            if self.map.member(id.host) == Some(*id) {
                self.actions.push(Action::Refuted(id.host));
            }
        }
        self.suspected = suspected;
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
