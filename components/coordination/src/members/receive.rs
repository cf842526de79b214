//! Handles the messages of the failure detector.

use std::time::Duration;

use state::{HostKey, Moment};

use super::detector::{Detector, millis};
use super::message::{
    Gossip, GossipEvent, Heartbeat, HeartbeatAck, LivenessQuery, LivenessReply, MemberMessage,
};
use super::quorum::WatcherAck;
use super::watch::MemberId;
use super::watched::MAX_ALIVE_SILENCE;

impl Detector {
    /// Handles one message.
    pub fn receive(&mut self, from: HostKey, message: &MemberMessage, now: Moment) {
        let Some(id) = self.map.member(from) else {
            return;
        };
        match message {
            MemberMessage::Heartbeat(heartbeat) => self.heartbeat(id, heartbeat, now),
            MemberMessage::HeartbeatAck(ack) => self.ack(id, ack, now),
            MemberMessage::LivenessQuery(query) => self.liveness_query(id, query, now),
            MemberMessage::LivenessReply(reply) => self.liveness_reply(reply, now),
            MemberMessage::Gossip(gossip) => self.gossip(id, gossip, now),
        }
        self.refresh(now);
    }

    /// Records a peer whose offset is ahead of this host's.
    pub(super) fn note_peer_offset(&mut self, from: HostKey, offset: u64, now: Moment) {
        if offset > self.offset && self.ahead.is_none() {
            self.ahead = Some((from, now));
        }
    }

    fn heartbeat(&mut self, from: MemberId, heartbeat: &Heartbeat, now: Moment) {
        if heartbeat.incarnation != from.incarnation {
            return;
        }
        self.gossip_state.note_applied(from, heartbeat.offset);
        self.note_peer_offset(from.host, heartbeat.offset, now);
        let suspected = self.gossip_state.suspected(from, now);
        let suspected = suspected.filter(|epoch| *epoch >= heartbeat.epoch);
        if let Some(member) = self.watched.get_mut(&from) {
            member.epoch = member.epoch.max(heartbeat.epoch);
            member.record_contact(now);
        }
        if !heartbeat.wants_ack && suspected.is_none() {
            return;
        }
        let ack = HeartbeatAck {
            sequence: heartbeat.sequence,
            offset: self.offset,
            suspected,
        };
        self.send(from.host, MemberMessage::HeartbeatAck(ack));
    }

    fn ack(&mut self, from: MemberId, ack: &HeartbeatAck, now: Moment) {
        self.gossip_state.note_applied(from, ack.offset);
        self.note_peer_offset(from.host, ack.offset, now);
        if let Some(sent) = self.sent.get(&ack.sequence) {
            let watcher_ack = WatcherAck {
                offset: ack.offset,
                sent: *sent,
            };
            self.acks.insert(from, watcher_ack);
        }
        if let Some(poll) = &mut self.poll {
            poll.note_answer(from, ack.sequence);
        }
        if let Some(epoch) = ack.suspected {
            self.refute(epoch);
        }
    }

    /// Answers another watcher's liveness query, or records that this watcher agrees with it.
    fn liveness_query(&mut self, from: MemberId, query: &LivenessQuery, now: Moment) {
        let id = MemberId {
            host: query.host,
            incarnation: query.incarnation,
        };
        let Some(member) = self.watched.get_mut(&id) else {
            return;
        };
        let silence = member.silence(now);
        if silence >= MAX_ALIVE_SILENCE {
            member.note_concurring(from, now);
            return;
        }
        let reply = LivenessReply {
            host: id.host,
            incarnation: id.incarnation,
            ago_ms: millis(silence),
        };
        self.send(from.host, MemberMessage::LivenessReply(reply));
    }

    fn liveness_reply(&mut self, reply: &LivenessReply, now: Moment) {
        let id = MemberId {
            host: reply.host,
            incarnation: reply.incarnation,
        };
        if let Some(member) = self.watched.get_mut(&id) {
            member.record_contact(now - Duration::from_millis(reply.ago_ms));
        }
    }

    fn gossip(&mut self, from: MemberId, gossip: &Gossip, now: Moment) {
        let id = MemberId {
            host: gossip.host,
            incarnation: gossip.incarnation,
        };
        if let (true, GossipEvent::Suspected { epoch, .. }) = (id == self.me, gossip.event) {
            self.refute(epoch);
            return;
        }
        let known = self.map.member(id.host) == Some(id);
        if !known && !matches!(gossip.event, GossipEvent::Applied { .. }) {
            return;
        }
        if !self.gossip_state.accept(gossip, now) {
            return;
        }
        if let (Some(member), GossipEvent::Alive { epoch }) =
            (self.watched.get_mut(&id), gossip.event)
        {
            member.epoch = epoch;
            member.record_contact(now);
        }
        self.forward_gossip(gossip, Some(from.host));
    }

    /// Announces that this host is alive, in a newer epoch than the suspected one.
    fn refute(&mut self, epoch: u64) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch + 1;
        let gossip = Gossip {
            host: self.me.host,
            incarnation: self.me.incarnation,
            event: GossipEvent::Alive { epoch: self.epoch },
        };
        self.forward_gossip(&gossip, None);
    }
}
