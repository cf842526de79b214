//! What the failure detector makes of messages.

use std::time::Duration;

use state::{HostKey, Moment};

use super::detector::{Detector, millis};
use super::message::{Answer, Beat, Doubt, Heard, MemberMessage, News, Rumour};
use super::quorum::Evidence;
use super::subject::HEARS;
use super::watch::MemberId;

impl Detector {
    /// Takes one message in.
    pub fn receive(&mut self, from: HostKey, message: &MemberMessage, now: Moment) {
        let Some(id) = self.map.member(from) else {
            return;
        };
        match message {
            MemberMessage::Beat(beat) => self.beat(id, beat, now),
            MemberMessage::Answer(answer) => self.answer(id, answer, now),
            MemberMessage::Doubt(doubt) => self.doubt(id, doubt, now),
            MemberMessage::Heard(heard) => self.heard(heard, now),
            MemberMessage::Rumour(rumour) => self.rumour(id, rumour, now),
        }
        self.refresh(now);
    }

    /// Notes a peer that is ahead of this host.
    pub(super) fn compare(&mut self, from: HostKey, offset: u64, now: Moment) {
        if offset > self.offset && self.ahead.is_none() {
            self.ahead = Some((from, now));
        }
    }

    fn beat(&mut self, from: MemberId, beat: &Beat, now: Moment) {
        if beat.incarnation != from.incarnation {
            return;
        }
        self.rumours.show(from, beat.offset);
        self.compare(from.host, beat.offset, now);
        let suspected = self.rumours.suspected(from, now);
        let suspected = suspected.filter(|epoch| *epoch >= beat.epoch);
        if let Some(subject) = self.subjects.get_mut(&from) {
            subject.epoch = subject.epoch.max(beat.epoch);
            subject.hear(now);
        }
        if !beat.asks && suspected.is_none() {
            return;
        }
        let answer = Answer {
            sequence: beat.sequence,
            offset: self.offset,
            suspected,
        };
        self.send(from.host, MemberMessage::Answer(answer));
    }

    fn answer(&mut self, from: MemberId, answer: &Answer, now: Moment) {
        self.rumours.show(from, answer.offset);
        self.compare(from.host, answer.offset, now);
        if let Some(asked) = self.asked.get(&answer.sequence) {
            let evidence = Evidence {
                offset: answer.offset,
                asked: *asked,
            };
            self.answers.insert(from, evidence);
        }
        if let Some(poll) = &mut self.poll {
            poll.answer(from, answer.sequence);
        }
        if let Some(epoch) = answer.suspected {
            self.refute(epoch);
        }
    }

    /// Answers a fellow watcher's doubt: an indirect ask whether the member is heard here.
    fn doubt(&mut self, from: MemberId, doubt: &Doubt, now: Moment) {
        let id = MemberId {
            host: doubt.host,
            incarnation: doubt.incarnation,
        };
        let Some(subject) = self.subjects.get_mut(&id) else {
            return;
        };
        let silence = subject.silence(now);
        if silence >= HEARS {
            subject.doubt(from, now);
            return;
        }
        let heard = Heard {
            host: id.host,
            incarnation: id.incarnation,
            ago_ms: millis(silence),
        };
        self.send(from.host, MemberMessage::Heard(heard));
    }

    fn heard(&mut self, heard: &Heard, now: Moment) {
        let id = MemberId {
            host: heard.host,
            incarnation: heard.incarnation,
        };
        if let Some(subject) = self.subjects.get_mut(&id) {
            subject.hear(now - Duration::from_millis(heard.ago_ms));
        }
    }

    fn rumour(&mut self, from: MemberId, rumour: &Rumour, now: Moment) {
        let id = MemberId {
            host: rumour.host,
            incarnation: rumour.incarnation,
        };
        if let (true, News::Suspected { epoch, .. }) = (id == self.me, rumour.news) {
            self.refute(epoch);
            return;
        }
        let known = self.map.member(id.host) == Some(id);
        if !known && !matches!(rumour.news, News::Shown { .. }) {
            return;
        }
        if !self.rumours.take(rumour, now) {
            return;
        }
        if let (Some(subject), News::Alive { epoch }) = (self.subjects.get_mut(&id), rumour.news) {
            subject.epoch = epoch;
            subject.hear(now);
        }
        self.pass_on(rumour, Some(from.host));
    }

    /// Says that this host lives, in a newer epoch than the one it was suspected in.
    fn refute(&mut self, epoch: u64) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch + 1;
        let rumour = Rumour {
            host: self.me.host,
            incarnation: self.me.incarnation,
            news: News::Alive { epoch: self.epoch },
        };
        self.pass_on(&rumour, None);
    }
}
