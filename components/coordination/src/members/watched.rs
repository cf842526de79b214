//! One member as one of its watchers sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use state::Moment;

use super::watch::MemberId;

/// Silence after which a new link is dialled: the old one may swallow all that is sent.
pub const REDIAL_AFTER: Duration = Duration::from_millis(500);

/// Silence after which a watcher doubts.
///
/// A host paused 200 ms is silent for 400 ms at most, a beat apart included;
/// the rest is room for the network. Agreed suspicion then comes within 1 s.
pub const QUERY_AFTER: Duration = Duration::from_millis(700);

/// How long a doubt waits for a fellow watcher to say that it hears the member.
///
/// Two watchers of one data centre lose a member together when the path
/// between two data centres drops; a third that hears it must get a word in.
pub const OBJECTION_WINDOW: Duration = Duration::from_millis(100);

/// How often a doubt is repeated to fellow watchers.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Silence that still counts as hearing, when a fellow watcher asks.
pub const HEARD_WITHIN: Duration = Duration::from_millis(450);

/// Agreed silence after which a watcher has the member removed.
pub const REMOVE_AFTER: Duration = Duration::from_secs(3);

/// How much longer each next watcher waits for the one before it to remove the member.
const REMOVER_STAGGER: Duration = Duration::from_secs(1);

/// How long a fellow's doubt counts without being repeated.
const QUERY_TTL: Duration = Duration::from_millis(600);

/// A watched member.
pub struct WatchedMember {
    /// The greatest epoch heard of.
    pub epoch: u64,
    last_contact: Moment,
    concurring: BTreeMap<MemberId, Moment>,
    redialled: bool,
    last_query: Option<Moment>,
}

impl WatchedMember {
    /// Returns a member that is taken to have been heard just now.
    pub fn new(now: Moment) -> WatchedMember {
        WatchedMember {
            epoch: 0,
            last_contact: now,
            concurring: BTreeMap::new(),
            redialled: false,
            last_query: None,
        }
    }

    /// Notes a sign of life at `at`, which may lie in the past.
    pub fn record_contact(&mut self, at: Moment) {
        if at <= self.last_contact {
            return;
        }
        self.last_contact = at;
        self.concurring.clear();
        self.redialled = false;
        self.last_query = None;
    }

    /// Returns for how long nothing was heard.
    pub fn silence(&self, now: Moment) -> Duration {
        now.since(self.last_contact)
    }

    /// Notes that a fellow watcher doubts too.
    pub fn note_concurring(&mut self, watcher: MemberId, now: Moment) {
        self.concurring.insert(watcher, now);
    }

    /// Returns whether it is time for a new link, once a silence.
    pub fn should_redial(&mut self, now: Moment) -> bool {
        let due = !self.redialled && self.silence(now) >= REDIAL_AFTER;
        self.redialled |= due;
        due
    }

    /// Returns whether it is time to tell the fellow watchers of a doubt.
    pub fn should_query(&mut self, now: Moment) -> bool {
        let told = |at: Moment| now.since(at) < QUERY_INTERVAL;
        let due = self.silence(now) >= QUERY_AFTER && !self.last_query.is_some_and(told);
        if due {
            self.last_query = Some(now);
        }
        due
    }

    /// Returns whether the watchers agree that the member fell silent.
    ///
    /// One watcher alone may have lost its own link: a second must doubt too,
    /// where there is a second that is itself not suspected.
    pub fn is_agreed(&self, now: Moment, other_watchers: usize) -> bool {
        self.silence(now) >= QUERY_AFTER + OBJECTION_WINDOW
            && self.concurring_watchers(now).count() >= other_watchers.min(1)
    }

    /// Returns whether the silence is long enough, and agreed by all of `other_watchers`, to remove it.
    ///
    /// `rank` is how many watchers come before this one: they go first, so
    /// that a lost member costs one append and not five.
    pub fn is_lost(&self, now: Moment, other_watchers: &[MemberId], rank: u32) -> bool {
        self.silence(now) >= REMOVE_AFTER + REMOVER_STAGGER * rank
            && other_watchers.iter().all(|f| {
                self.concurring_watchers(now)
                    .any(|concurring_watchers| concurring_watchers == *f)
            })
    }

    fn concurring_watchers(&self, now: Moment) -> impl Iterator<Item = MemberId> {
        self.concurring
            .iter()
            .filter(move |(_, at)| now.since(**at) < QUERY_TTL)
            .map(|(watcher, _)| *watcher)
    }
}
