//! One member as one of its watchers sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use state::Moment;

use super::watch::MemberId;

/// The silence after which a new link is dialled, because the old one may drop all messages.
pub const REDIAL_AFTER: Duration = Duration::from_millis(500);

/// The silence after which a watcher queries the other watchers.
///
/// A host that is paused for 200 ms is silent for at most 400 ms, including the
/// interval between two heartbeats. The rest is for delays of the network. Watchers
/// then agree on a suspicion within 1 s.
pub const QUERY_AFTER: Duration = Duration::from_millis(700);

/// How long a watcher waits for a reply of another watcher that receives heartbeats.
///
/// If the path between two data centres drops messages, two watchers in one data
/// centre lose a member at the same time. A third watcher that still receives its
/// heartbeats must have the time to object.
pub const OBJECTION_WINDOW: Duration = Duration::from_millis(100);

/// The time between two queries to the other watchers.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// The longest silence at which a queried watcher replies that the member is alive.
pub const MAX_ALIVE_SILENCE: Duration = Duration::from_millis(450);

/// The agreed silence after which a watcher removes the member.
pub const REMOVE_AFTER: Duration = Duration::from_secs(3);

/// How much longer each next watcher waits for the one before it to remove the member.
const REMOVER_STAGGER: Duration = Duration::from_secs(1);

/// How long another watcher's query counts as agreement unless it is repeated.
const QUERY_TTL: Duration = Duration::from_millis(600);

/// A watched member.
pub struct WatchedMember {
    /// The latest known epoch of the member.
    pub epoch: u64,
    last_contact: Moment,
    concurring: BTreeMap<MemberId, Moment>,
    redialled: bool,
    last_query: Option<Moment>,
}

impl WatchedMember {
    /// Returns the state of a member whose last contact is assumed to be now.
    pub fn new(now: Moment) -> WatchedMember {
        WatchedMember {
            epoch: 0,
            last_contact: now,
            concurring: BTreeMap::new(),
            redialled: false,
            last_query: None,
        }
    }

    /// Records a message of the member at `at`, which may be in the past.
    pub fn record_contact(&mut self, at: Moment) {
        if at <= self.last_contact {
            return;
        }
        self.last_contact = at;
        self.concurring.clear();
        self.redialled = false;
        self.last_query = None;
    }

    /// Returns the time since the last contact.
    pub fn silence(&self, now: Moment) -> Duration {
        now.since(self.last_contact)
    }

    /// Records that another watcher finds the member silent too.
    pub fn note_concurring(&mut self, watcher: MemberId, now: Moment) {
        self.concurring.insert(watcher, now);
    }

    /// Returns whether it is time for a new link, at most once in each silence.
    pub fn should_redial(&mut self, now: Moment) -> bool {
        let due = !self.redialled && self.silence(now) >= REDIAL_AFTER;
        self.redialled |= due;
        due
    }

    /// Returns whether it is time to query the other watchers.
    pub fn should_query(&mut self, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < QUERY_INTERVAL;
        let due = self.silence(now) >= QUERY_AFTER && !self.last_query.is_some_and(is_recent);
        if due {
            self.last_query = Some(now);
        }
        due
    }

    /// Returns whether the watchers agree that the member fell silent.
    ///
    /// A single watcher may have lost its own link. A second one must find the member
    /// silent too, if there is another watcher that is not suspected itself.
    pub fn is_agreed(&self, now: Moment, other_watchers: usize) -> bool {
        self.silence(now) >= QUERY_AFTER + OBJECTION_WINDOW
            && self.concurring_watchers(now).count() >= other_watchers.min(1)
    }

    /// Returns whether to remove the member: all `other_watchers` agree on its long silence.
    ///
    /// `rank` is the number of watchers before this one. They go first, so that a
    /// lost member costs one append and not five.
    pub fn is_removable(&self, now: Moment, other_watchers: &[MemberId], rank: u32) -> bool {
        self.silence(now) >= REMOVE_AFTER + REMOVER_STAGGER * rank
            && other_watchers
                .iter()
                .all(|f| self.concurring_watchers(now).any(|watcher| watcher == *f))
    }

    fn concurring_watchers(&self, now: Moment) -> impl Iterator<Item = MemberId> {
        self.concurring
            .iter()
            .filter(move |(_, at)| now.since(**at) < QUERY_TTL)
            .map(|(watcher, _)| *watcher)
    }
}
