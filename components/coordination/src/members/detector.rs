//! The failure detector of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derives::value;
use state::{Config, HostKey, Moment};

use super::message::{Beat, Doubt, MemberMessage, News, Rumour};
use super::quorum::{Evidence, History, Settled, current_at, is_fresh};
use super::removal::{Listed, Poll};
use super::rumour::Rumours;
use super::subject::Subject;
use super::view::{LiveView, PeerState};
use super::watch::{MemberId, WatchMap};

/// How often a host beats to each of its watchers.
pub const BEAT_EVERY: Duration = Duration::from_millis(200);

/// Each so manieth beat asks for an answer.
const ASK_EVERY: u64 = 3;

/// A gap between two ticks after which the silence of others proves nothing.
///
/// A host that was itself paused finds everybody silent when it resumes.
const OWN_PAUSE: Duration = Duration::from_millis(250);

/// How long a host may lag behind a peer's offset before it asks for its configuration.
///
/// In ordinary times the log brings the same within milliseconds.
const BEHIND: Duration = Duration::from_millis(500);

/// Beats whose moment of sending is kept for their answers.
const ASKED_LIMIT: usize = 64;

/// What the detector wants done.
#[value]
pub enum Action {
    /// Send a message.
    Send(HostKey, MemberMessage),
    /// Give up the link to a silent host and dial anew.
    Redial(HostKey),
    /// Write the removal of a lost member to the log.
    Remove(MemberId),
    /// Ask this host for its configuration, which is newer.
    AskConfig(HostKey),
    /// A member is suspected from now on.
    Suspected(HostKey),
    /// A suspected member lives.
    Refuted(HostKey),
}

/// Watches others, is watched, and tells who is alive.
pub struct Detector {
    pub(super) me: MemberId,
    pub(super) epoch: u64,
    sequence: u64,
    next_beat: Moment,
    last_tick: Moment,
    pub(super) map: WatchMap,
    centres: BTreeMap<HostKey, String>,
    names: BTreeMap<HostKey, String>,
    revision: u64,
    pub(super) offset: u64,
    history: History,
    pub(super) subjects: BTreeMap<MemberId, Subject>,
    pub(super) rumours: Rumours,
    suspected: BTreeSet<MemberId>,
    pub(super) asked: BTreeMap<u64, Moment>,
    pub(super) answers: BTreeMap<MemberId, Evidence>,
    log_read: Option<Moment>,
    pub(super) ahead: Option<(HostKey, Moment)>,
    gone: BTreeSet<HostKey>,
    pub(super) poll: Option<Poll>,
    out: Vec<Action>,
}

impl Detector {
    /// Returns a detector that knows of no members yet.
    pub fn new(me: MemberId, now: Moment) -> Detector {
        Detector {
            me,
            epoch: 0,
            sequence: 0,
            next_beat: now,
            last_tick: now,
            map: WatchMap::default(),
            centres: BTreeMap::new(),
            names: BTreeMap::new(),
            revision: 0,
            offset: 0,
            history: History::default(),
            subjects: BTreeMap::new(),
            rumours: Rumours::default(),
            suspected: BTreeSet::new(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
            log_read: None,
            ahead: None,
            gone: BTreeSet::new(),
            poll: None,
            out: Vec::new(),
        }
    }

    /// Takes over a configuration; an older one than the last changes nothing.
    pub fn configure(&mut self, config: &Config, now: Moment) {
        if config.offset < self.offset {
            return;
        }
        self.offset = config.offset;
        self.ahead = None;
        self.rumours.show(self.me, config.offset);
        if config.revision == self.revision {
            return;
        }
        self.revision = config.revision;
        let old = std::mem::replace(&mut self.map, WatchMap::of(config));
        self.history
            .configure(&self.map, config.revision, config.offset);
        let members = config.members.iter();
        self.centres = members
            .clone()
            .map(|(host, m)| (*host, m.data_centre.clone()))
            .collect();
        self.names = members.map(|(host, m)| (*host, m.name.clone())).collect();
        let mut subjects = BTreeMap::new();
        for id in self.map.subjects(self.me) {
            let kept = self.subjects.remove(&id);
            subjects.insert(id, kept.unwrap_or_else(|| Subject::new(now)));
        }
        self.subjects = subjects;
        self.rumours.retain(&self.map);
        self.answers
            .retain(|id, _| self.map.member(id.host) == Some(*id));
        self.show_removals(&old);
        self.refresh(now);
    }

    /// Tells all that this host has seen the end of members it watched.
    ///
    /// Their successors wait for it: see [`History::settled`].
    fn show_removals(&mut self, old: &WatchMap) {
        let watched: Vec<MemberId> = old
            .members()
            .filter(|id| self.map.member(id.host) != Some(*id))
            .filter(|id| old.watchers(*id).contains(&self.me))
            .collect();
        if watched.is_empty() {
            return;
        }
        self.spread(self.me, self.offset);
        for id in watched {
            let last = self.rumours.shown_by(id.host, id.incarnation);
            self.spread(id, last);
        }
    }

    fn spread(&mut self, id: MemberId, offset: u64) {
        let rumour = Rumour {
            host: id.host,
            incarnation: id.incarnation,
            news: News::Shown { offset },
        };
        self.pass_on(&rumour, None);
    }

    /// Notes that the log's end was read, with a request sent at `asked`.
    pub fn read_log(&mut self, asked: Moment) {
        self.log_read = self.log_read.max(Some(asked));
    }

    /// Takes over which members a usable list of the platform lacks or calls leaving.
    pub fn list(&mut self, gone: BTreeSet<HostKey>) {
        self.gone = gone;
    }

    /// Notes what a peer said when its link was made.
    pub fn met(&mut self, from: HostKey, incarnation: u64, offset: u64, now: Moment) {
        let id = MemberId {
            host: from,
            incarnation,
        };
        self.rumours.show(id, offset);
        if let Some(subject) = self.subjects.get_mut(&id) {
            subject.hear(now);
        }
        self.compare(from, offset, now);
    }

    /// Does what is due. To be called every 50 ms.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_tick) > OWN_PAUSE {
            self.forgive(now);
        }
        self.last_tick = now;
        if now >= self.next_beat {
            self.next_beat = (self.next_beat + BEAT_EVERY).max(now);
            self.send_beats(now);
        }
        let subjects: Vec<MemberId> = self.subjects.keys().copied().collect();
        for id in subjects {
            self.watch(id, now);
        }
        self.settle_poll(now);
        if let Some((host, since)) = self.ahead
            && now.since(since) >= BEHIND
        {
            self.ahead = None;
            self.out.push(Action::AskConfig(host));
        }
        self.rumours.expire(now);
        self.refresh(now);
    }

    /// Returns what is to be done, once.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Asks `host` how far it has folded the configuration.
    pub fn ask(&mut self, host: HostKey, now: Moment) {
        let beat = self.next(true, now);
        self.out.push(Action::Send(host, beat));
    }

    /// Returns whether this process is a member of the configuration taken over last.
    pub fn is_member(&self) -> bool {
        self.map.member(self.me.host) == Some(self.me)
    }

    /// Returns whether this host may act as an owner now.
    pub fn may_act(&self, now: Moment) -> bool {
        self.current_at().is_some_and(|at| is_fresh(now, at))
    }

    /// Returns when a member's configuration was last shown to be the current one.
    pub fn current_at(&self) -> Option<Moment> {
        let watchers = self.map.watchers(self.me);
        let shown = current_at(self.offset, self.log_read, watchers, &self.answers);
        shown.filter(|_| self.is_member())
    }

    /// Returns what is known of a previous owner after the change at `change`.
    pub fn settled(&self, owner: MemberId, change: u64) -> Settled {
        self.history.settled(owner, change, self.rumours.shown())
    }

    /// Returns who is alive.
    pub fn view(&self) -> LiveView {
        let peer = |id: MemberId| PeerState {
            data_centre: self.centres.get(&id.host).cloned().unwrap_or_default(),
            suspected: self.suspected.contains(&id),
            shown: self.rumours.shown_by(id.host, id.incarnation),
        };
        LiveView {
            revision: self.revision,
            peers: self.map.members().map(|id| (id.host, peer(id))).collect(),
        }
    }

    fn watch(&mut self, id: MemberId, now: Moment) {
        let fellows = self.fellows(id, now);
        let Some(subject) = self.subjects.get_mut(&id) else {
            return;
        };
        if subject.should_redial(now) {
            self.out.push(Action::Redial(id.host));
        }
        if subject.should_doubt(now) {
            let doubt = Doubt {
                host: id.host,
                incarnation: id.incarnation,
                epoch: subject.epoch,
                silent_ms: millis(subject.silence(now)),
            };
            for fellow in self.map.watchers(id).iter().filter(|w| **w != self.me) {
                let message = MemberMessage::Doubt(doubt.clone());
                self.out.push(Action::Send(fellow.host, message));
            }
        }
        if !subject.is_agreed(now, fellows.len()) {
            return;
        }
        let before = fellows.iter().filter(|f| **f < self.me).count();
        let lost = subject.is_lost(now, &fellows, u32::try_from(before).unwrap_or(0));
        let round = subject.silence(now).as_secs();
        let epoch = subject.epoch;
        if self.rumours.is_stale(id, now) {
            let rumour = Rumour {
                host: id.host,
                incarnation: id.incarnation,
                news: News::Suspected { epoch, round },
            };
            self.rumours.take(&rumour, now);
            self.pass_on(&rumour, None);
        }
        if lost && self.poll.is_none() {
            self.start_poll(id, now);
        }
    }

    /// Returns the other watchers of `id` that are not themselves suspected.
    fn fellows(&self, id: MemberId, now: Moment) -> Vec<MemberId> {
        let watchers = self.map.watchers(id).iter().copied();
        watchers
            .filter(|w| *w != self.me && self.rumours.suspected(*w, now).is_none())
            .collect()
    }

    fn start_poll(&mut self, target: MemberId, now: Moment) {
        let beat = self.next(true, now);
        self.poll = Some(Poll::new(target, self.sequence, now));
        let region: Vec<MemberId> = self.map.region(target.host).collect();
        for id in region {
            if id != self.me && id != target {
                self.out.push(Action::Send(id.host, beat.clone()));
            }
        }
    }

    fn settle_poll(&mut self, now: Moment) {
        let Some(poll) = &mut self.poll else {
            return;
        };
        let target = poll.target();
        let region = self.map.region(target.host).count();
        let listed = match self.gone.contains(&target.host) {
            true => Listed::Gone,
            false => Listed::Unclear,
        };
        let silent = self.subjects.get(&target);
        let silent = silent.is_some_and(|s| s.silence(now) >= super::subject::REMOVE_AFTER);
        if silent && poll.should_remove(region, listed, now) {
            self.out.push(Action::Remove(target));
        }
        if !silent || poll.is_over(now) {
            self.poll = None;
        }
    }

    fn send_beats(&mut self, now: Moment) {
        let asks = (self.sequence + 1).is_multiple_of(ASK_EVERY);
        let beat = self.next(asks, now);
        for watcher in self.map.watchers(self.me) {
            self.out.push(Action::Send(watcher.host, beat.clone()));
        }
    }

    fn next(&mut self, asks: bool, now: Moment) -> MemberMessage {
        self.sequence += 1;
        if asks {
            self.asked.insert(self.sequence, now);
            while self.asked.len() > ASKED_LIMIT {
                self.asked.pop_first();
            }
        }
        MemberMessage::Beat(Beat {
            incarnation: self.me.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            offset: self.offset,
            asks,
        })
    }

    /// Passes news on to the hosts this one watches and is watched by.
    ///
    /// Those pairs form a random graph of degree ten: news reach 300 hosts in
    /// three or four hops, at a cost a host that does not grow with them.
    pub(super) fn pass_on(&mut self, rumour: &Rumour, from: Option<HostKey>) {
        let watchers = self.map.watchers(self.me).iter().map(|w| w.host);
        let subjects = self.subjects.keys().map(|s| s.host);
        let mut neighbours: BTreeSet<HostKey> = watchers.chain(subjects).collect();
        if let Some(from) = from {
            neighbours.remove(&from);
        }
        for host in neighbours {
            self.send(host, MemberMessage::Rumour(rumour.clone()));
        }
    }

    pub(super) fn send(&mut self, to: HostKey, message: MemberMessage) {
        self.out.push(Action::Send(to, message));
    }

    fn forgive(&mut self, now: Moment) {
        for subject in self.subjects.values_mut() {
            subject.hear(now);
        }
    }

    /// Tells which members have become suspected, and which no longer are.
    pub(super) fn refresh(&mut self, now: Moment) {
        if self.rumours.is_quiet() && self.suspected.is_empty() {
            return;
        }
        let is_suspected = |id: &MemberId| self.rumours.suspected(*id, now).is_some();
        let suspected: BTreeSet<MemberId> = self.map.members().filter(is_suspected).collect();
        for id in suspected.difference(&self.suspected) {
            self.out.push(Action::Suspected(id.host));
        }
        for id in self.suspected.difference(&suspected) {
            if self.map.member(id.host) == Some(*id) {
                self.out.push(Action::Refuted(id.host));
            }
        }
        self.suspected = suspected;
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
