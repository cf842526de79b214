//! Who reads a topic of the store, so that a data centre's hosts don't all do.
//!
//! Each read is paid for, bytes within a data centre are not, and those to another
//! one hardly count beside it. So whoever reads tells its neighbours and a few hosts
//! elsewhere, which tell theirs, and whoever was told doesn't read. There is no
//! election: the last reader reads again soonest, and where nothing is heard
//! for a while every host reads by itself, at a moment of its own. A reader
//! that dies, is paused, or is turned away by the store is thus replaced before
//! any bound is missed, without anyone having to agree that it is gone.

use std::time::Duration;

use derives::tag;
use state::Moment;

/// How long a read waits at the store for a record.
///
/// A record is answered as soon as it is written, but for a rare read that
/// isn't woken by it. What is written must be known everywhere within two
/// seconds all the same.
pub const READ_WAIT: Duration = Duration::from_millis(1_200);

/// How long the reader pauses after a read that brought records.
///
/// Records come in bunches when endpoints are replaced or a site starts; each
/// would be a read of its own.
const BUNCH_PAUSE: Duration = Duration::from_millis(400);

/// How long a host that was told waits before it reads by itself.
///
/// Longer than a read waits, by as much as a slow store takes to answer, so
/// that this doesn't make everybody read.
const PATIENCE: Duration = Duration::from_millis(1_450);

/// By how much hosts differ in their patience.
///
/// The first to lose it tells the others before they do: an answer takes 4 ms,
/// and ten hosts over 250 ms are 25 ms apart.
const SPREAD: Duration = Duration::from_millis(250);

/// How long a host that missed records waits for a neighbour to send them again.
///
/// A datagram there and one back, over links of 10 Mbit/s that are busy.
const RESEND: Duration = Duration::from_millis(100);

/// How long a host waits for the rest of what comes in fragments.
///
/// In this time it asks for what got lost three times.
const REST: Duration = Duration::from_millis(300);

/// How long it puts its own reading off for that altogether.
///
/// What comes in fragments takes 0.6 s. Were there no limit, a neighbour that
/// sends one fragment now and then would keep this host from the store.
const REST_LIMIT: Duration = Duration::from_millis(1_000);

/// How long the reader pauses after a failed read.
///
/// It is the one to notice that the store is back, for all of its neighbours.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long a host waits for its neighbours where a whole site starts.
///
/// Callers come seconds later. In this time hosts get to know each other, and
/// whoever reads first hands on what it read.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);

/// By how much hosts differ in that.
///
/// To hand all on from host to host takes a few hundred milliseconds over a
/// link of 10 Mbit/s; most get it before their own time to read.
const FIRST_SPREAD: Duration = Duration::from_millis(2_000);

/// How long a host leaves the store to a neighbour that has begun to read.
///
/// An answer takes 4 ms.
const READ_HOLD: Duration = Duration::from_millis(60);

/// The longest time for which it does so after many have read in vain.
const READ_HOLD_LIMIT: Duration = Duration::from_millis(1_000);

/// Reads in vain after which the next ones wait twice as long.
const READS_DOUBLING: u32 = 4;

/// For how long each neighbour holds up the first read of a host that starts again.
///
/// The first to read hands on what it read. That takes a few hundred milliseconds
/// in a data centre of a hundred hosts, and a few where there are four.
const START_STEP: Duration = Duration::from_millis(8);

/// How long a host that knows nothing leaves the store to a neighbour that reads all.
///
/// What it reads comes in fragments after that, and puts this host's reading off again.
const START_HOLD: Duration = Duration::from_millis(200);

/// How long it does so altogether.
const START_HOLD_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a host that starts again waits at most to be told of its neighbours.
const START_INTRODUCED: Duration = Duration::from_millis(100);

/// How long a host that starts again waits to be greeted.
pub const GREETING_WAIT: Duration = Duration::from_millis(25);

/// How long a data centre's hosts may have heard nothing before one that hears from
/// elsewhere tells them.
///
/// Two hosts hear the same from elsewhere, one a little after the other.
const RETELL_AFTER: Duration = Duration::from_millis(300);

/// How far one host is with one topic.
#[derive(Clone, Debug)]
pub struct ReadSchedule {
    next: Option<u64>,
    reader: bool,
    asking: bool,
    missing: bool,
    /// Whether this host is to read for its data centre what was read elsewhere.
    lags: bool,
    failures: u32,
    due: Moment,
    /// Since when something has been coming in fragments.
    coming: Option<Moment>,
    /// When this host last read or was told.
    heard: Moment,
    /// Reads that neighbours have begun since.
    reads_heard: u32,
}

/// What a neighbour's word is good for.
#[tag]
pub enum UpdateOutcome {
    /// Its records are to be taken in, but for the first `skip`.
    Apply {
        /// Records known already.
        skip: u64,
        /// Whether this host had failed to read before.
        recovered: bool,
    },
    /// It says nothing new.
    Known,
    /// Records before it are missing: this host reads by itself.
    Gap,
}

impl ReadSchedule {
    /// Returns a feed that reads at once.
    pub fn new(now: Moment) -> ReadSchedule {
        ReadSchedule {
            next: None,
            reader: false,
            asking: false,
            missing: false,
            lags: false,
            failures: 0,
            due: now,
            coming: None,
            heard: now,
            reads_heard: 0,
        }
    }

    /// Returns a feed of a host that starts again, and asks its neighbours first.
    pub fn restarted(now: Moment) -> ReadSchedule {
        ReadSchedule {
            due: now + GREETING_WAIT * 2,
            ..ReadSchedule::new(now)
        }
    }

    /// Takes in how many neighbours a host that starts again has.
    ///
    /// Made for the moment at which all hosts lose power: the more there are, the
    /// longer each leaves the store to the others. A host that knows far fewer than it
    /// expects waits to be told of them. `draw` is from 0 to 1.
    pub fn neighbours_counted(&mut self, known: usize, expected: usize, draw: f64, now: Moment) {
        if self.next.is_some() || self.failures > 0 {
            return;
        }
        let introduced = match known < expected / 2 {
            true => (restart_jitter(expected) / 4).min(START_INTRODUCED),
            false => Duration::ZERO,
        };
        self.due = now + introduced + restart_jitter(known.max(expected)).mul_f64(draw);
    }

    /// Returns a feed of a host that starts together with its whole site.
    ///
    /// Were each to read at once, a start would cost as many calls as minutes of quiet.
    pub fn at_site_start(draw: f64, now: Moment) -> ReadSchedule {
        ReadSchedule {
            due: now + FIRST_PAUSE + FIRST_SPREAD.mul_f64(draw),
            ..ReadSchedule::new(now)
        }
    }

    /// Returns where to read on, nothing where all has to be read anew.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns when this host reads by itself.
    pub fn due(&self) -> Moment {
        self.due
    }

    /// Returns whether this host reads for its neighbours.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Returns how long this host's next read may wait at the store for a record.
    ///
    /// Others lose their patience where nothing is told for longer than that, so a
    /// pause before the read counts.
    pub fn read_wait(&self, now: Moment) -> Duration {
        match self.reader {
            true => READ_WAIT.saturating_sub(now.since(self.heard)),
            false => Duration::ZERO,
        }
    }

    /// Returns how many reads have failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes in that all was read anew, up to `next`; `draw` is from 0 to 1.
    ///
    /// Hosts read all when they start, and often start together: whoever reads
    /// on first does so for the others.
    pub fn full_read_finished(&mut self, next: u64, draw: f64, now: Moment) -> bool {
        self.hear(now);
        self.next = Some(next);
        self.reader = false;
        self.asking = false;
        self.missing = false;
        self.due = now + patience(draw);
        std::mem::take(&mut self.failures) > 0
    }

    /// Takes in that a neighbour handed over all it knows, up to `next`.
    ///
    /// One that could not read the store goes on trying as before, and reads on
    /// from there; any other waits to be told, as if it had read. `draw` is from
    /// 0 to 1.
    pub fn snapshot_received(&mut self, next: u64, draw: f64, now: Moment) {
        self.hear(now);
        self.missing = false;
        self.next = Some(next);
        if self.failures == 0 {
            self.due = now + patience(draw);
        }
    }

    /// Notes that this host begins to read.
    pub fn begin_read(&mut self) {
        self.asking = true;
    }

    /// Takes in a read of this host's, and returns whether failures came before it.
    ///
    /// The host reads on for its neighbours, unless it gave way to one meanwhile.
    /// One that knows none, as `alone` says, reads no more often than it would
    /// lose its patience: when a whole site starts, nobody knows anybody.
    pub fn read_finished(&mut self, next: u64, alone: bool, draw: f64, now: Moment) -> bool {
        self.hear(now);
        let brought = self.next != Some(next);
        self.next = Some(next.max(self.next.unwrap_or(0)));
        if self.asking {
            // One that only fetched what got lost on the way leaves it at that.
            self.reader = !std::mem::take(&mut self.missing);
            self.due = match brought {
                _ if alone || !self.reader => now + patience(draw),
                true => now + BUNCH_PAUSE,
                false => now,
            };
        }
        std::mem::take(&mut self.failures) > 0
    }

    /// Takes in that a read failed; `draw` is from 0 to 1.
    ///
    /// Those that were not the reader go on waiting to be told, so that an
    /// outage isn't answered by calls of every host.
    pub fn read_failed(&mut self, draw: f64, now: Moment) {
        self.failures += 1;
        self.due = match self.reader {
            true => now + RETRY_PAUSE,
            false => now + patience(draw),
        };
    }

    /// Takes in that a neighbour's read failed; `draw` is from 0 to 1.
    ///
    /// A host that has met the same trouble leaves it to the neighbour to find
    /// out when the store is back. One that hasn't tries for itself in its turn,
    /// since the store turns single hosts away at times.
    pub fn neighbour_read_failed(&mut self, draw: f64, now: Moment) {
        if self.failures > 0 && !self.reader {
            self.due = now + patience(draw);
        }
    }

    /// Takes in that a fragment of what a neighbour tells has come; `draw` is from 0 to 1.
    ///
    /// Were this host to read the store meanwhile, so would all others.
    pub fn fragment_received(&mut self, draw: f64, now: Moment) {
        let since = *self.coming.get_or_insert(now);
        if !self.reader && now.since(since) < REST_LIMIT {
            self.due = self.due.max(now + REST + SPREAD.mul_f64(draw));
        }
    }

    /// Takes in that a neighbour has begun to read by itself; `draw` is from 0 to 1.
    ///
    /// Made for the moment at which the reader falls silent, or the store does: all
    /// hosts lose their patience within a quarter of a second, and a store that is
    /// silent tells the first of them nothing that it could tell the others. The
    /// more have read in vain, the longer the next ones wait. One that lacks records is
    /// served by nobody's reading on.
    pub fn neighbour_read_started(&mut self, draw: f64, now: Moment) {
        if self.next.is_none() {
            self.leave_start(draw, now);
            return;
        }
        let doubled = READ_HOLD * 2u32.saturating_pow(self.reads_heard / READS_DOUBLING);
        self.reads_heard = self.reads_heard.saturating_add(1);
        if !self.reader && !self.missing {
            let hold = doubled.min(READ_HOLD_LIMIT).mul_f64(1.0 + draw);
            self.due = self.due.max(now + hold);
        }
    }

    /// Leaves the first read to a neighbour, for a while.
    fn leave_start(&mut self, draw: f64, now: Moment) {
        let started = self.heard;
        if !self.asking && self.failures == 0 && now.since(started) < START_HOLD_LIMIT {
            self.due = self.due.max(now + START_HOLD.mul_f64(1.0 + draw));
        }
    }

    /// Returns whether this data centre has been told nothing for a while.
    pub fn is_stale(&self, now: Moment) -> bool {
        now.since(self.heard) > RETELL_AFTER
    }

    /// Takes in that records are to be had at the store that nobody tells here.
    ///
    /// Of what is read elsewhere, large changes aren't sent between data centres.
    /// This host reads them and tells its neighbours.
    pub fn mark_lagging(&mut self, now: Moment) {
        self.due = self.due.min(now);
        self.missing = !self.reader;
        self.lags = true;
    }

    /// Returns whether this host reads for its data centre what was read elsewhere.
    pub fn is_lagging(&self) -> bool {
        self.lags
    }

    fn hear(&mut self, now: Moment) {
        self.coming = None;
        self.heard = now;
        self.lags = false;
        self.reads_heard = 0;
    }

    /// Takes in that the store has forgotten what this host wanted to read.
    pub fn offset_trimmed(&mut self, now: Moment) {
        self.next = None;
        self.due = now;
    }

    /// Takes in that a neighbour read from `from` to `next`.
    ///
    /// `yields` says that this host gives way where both read; `draw` is from 0
    /// to 1. An older word than this host's own doesn't count as news: it may
    /// come from a neighbour that was paused between reading and telling.
    pub fn update_received(
        &mut self,
        from: u64,
        next: u64,
        yields: bool,
        draw: f64,
        now: Moment,
    ) -> UpdateOutcome {
        let known = match self.next {
            Some(known) if from <= known => known,
            // Its first reading is due anyway, and not hurried by every word.
            None if self.failures == 0 => return UpdateOutcome::Gap,
            // Soon, where no neighbour sends them again, but not at the same
            // moment as all who miss them too.
            _ => {
                self.due = self.due.min(now + RESEND + SPREAD.mul_f64(draw));
                self.missing = !self.reader;
                return UpdateOutcome::Gap;
            }
        };
        if next < known {
            return UpdateOutcome::Known;
        }
        let recovered = std::mem::take(&mut self.failures) > 0;
        if yields || recovered || !(self.reader || self.asking) {
            self.reader = false;
            self.asking = false;
            self.due = now + patience(draw);
        }
        self.hear(now);
        self.next = Some(next);
        self.missing = false;
        match next > known || recovered {
            true => UpdateOutcome::Apply {
                skip: known - from,
                recovered,
            },
            false => UpdateOutcome::Known,
        }
    }
}

/// Returns over how long the hosts of a data centre spread what one of them does for all
/// when they start again.
pub fn restart_jitter(neighbours: usize) -> Duration {
    let steps = u32::try_from(neighbours).unwrap_or(u32::MAX);
    START_STEP.saturating_mul(steps).min(FIRST_SPREAD)
}

fn patience(draw: f64) -> Duration {
    PATIENCE + SPREAD.mul_f64(draw)
}
