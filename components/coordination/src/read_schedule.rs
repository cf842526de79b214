//! Decides which hosts read a topic of the store, so that few hosts of a data centre do.
//!
//! Each read of the store is charged. Traffic within a data centre is free, and traffic
//! to another one costs little by comparison. A host that reads therefore sends the
//! records to its neighbours and to a few hosts of other data centres, which forward
//! them, and a host that receives them doesn't read. There is no election: the last
//! reader reads again soonest, and a host that receives nothing for a while reads by
//! itself after a randomised delay. A reader that crashes, is paused or is rejected by
//! the store is thus replaced before any bound is missed, without an agreement that it
//! has failed.

use std::net::SocketAddr;
use std::time::Duration;

use derives::tag;
use state::Moment;

use crate::missing_records::MissingRecords;

/// How long a read waits at the store for a record (long poll).
///
/// The store answers as soon as a record is written, but for a rare read that isn't woken
/// by the write. Every record must still be known to all hosts within two seconds.
pub const READ_WAIT: Duration = Duration::from_millis(1_200);

/// How long the reader pauses after a read that returned records.
///
/// Records come in bursts when endpoints are replaced or a site starts; without the pause
/// each record would cost a read of its own.
const BATCH_PAUSE: Duration = Duration::from_millis(400);

/// How long a host waits after the last update before it reads by itself.
///
/// Longer than a read waits, by as much as a slow store takes to answer, so that a slow
/// answer doesn't make all hosts read.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_450);

/// The largest random delay added before a host's own read.
///
/// The first host that reads sends the records to the others before their delay ends: an
/// answer takes 4 ms, and ten hosts over 250 ms are 25 ms apart.
const READ_JITTER: Duration = Duration::from_millis(250);

/// How long a host that missed records waits for a neighbour to send them again.
///
/// Allows for one datagram in each direction over busy links of 10 Mbit/s.
const RESEND_WAIT: Duration = Duration::from_millis(100);

/// The same for records that a host of another data centre has to send.
///
/// Longer, as the first of them come in fragments. The store may refuse this host, and
/// then its data centre would get the records seconds later.
const CENTRE_RESEND_WAIT: Duration = Duration::from_millis(250);

/// How long records behind a host's offset may be known to it after it took in a whole topic.
///
/// The pages take a few hundred milliseconds, and the reader reads every half second.
const INEXACT_TIME: Duration = Duration::from_secs(2);

/// How long a host waits for the remaining fragments of a message.
///
/// In this time it requests lost fragments three times.
const FRAGMENT_WAIT: Duration = Duration::from_millis(300);

/// How long after a host first heard of records that it lacks it reads them by itself.
///
/// A message takes 0.6 s to arrive in fragments. Nothing that arrives extends this time: a
/// neighbour that sends a single fragment or an old update now and then must not keep this
/// host from reading the store.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1_200);

/// How long a host that lacks records waits before it requests them once more.
const REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// How much later two hosts may believe that the store was read at the same moment.
///
/// Messages don't say how long they were on their way. Without this, hosts that repeat to each
/// other what one of them read would count it as read later and later.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// The total time for which reads of neighbours with an unknown outcome defer a host's own.
///
/// As long as a read may wait for an answer: then the neighbour reports its failure.
const NEIGHBOUR_READ_LIMIT: Duration = Duration::from_millis(1_000);

/// How long the reader pauses after a failed read.
///
/// The reader retries for all of its neighbours, so that only one host calls the store
/// during an outage.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long one host may retry for its neighbours before another one takes over.
///
/// The host may be cut off from a store that is back. Two turns fit into the time within which
/// every record must be known.
const RETRY_TURN: Duration = Duration::from_millis(800);

/// The largest random delay before a host takes over the retries.
const TURN_JITTER: Duration = Duration::from_millis(300);

/// How long a host that has retried in vain leaves the next turn to others first.
const TURN_REST: Duration = Duration::from_millis(2_500);

/// How long a host waits before its first read when a whole site starts.
///
/// Callers arrive seconds later. In this time hosts discover each other, so that the
/// first reader can forward what it read.
const SITE_START_DELAY: Duration = Duration::from_millis(1_000);

/// The largest random delay added to [`SITE_START_DELAY`].
///
/// Forwarding a snapshot of a topic from host to host takes a few hundred milliseconds
/// over a link of 10 Mbit/s; most hosts receive the snapshot before their own read is
/// due.
const SITE_START_JITTER: Duration = Duration::from_millis(2_000);

/// How long a host defers its own read after a neighbour has begun one.
///
/// An answer takes 4 ms.
const READ_DEFERRAL: Duration = Duration::from_millis(60);

/// The longest deferral after many neighbours have read without success.
const READ_DEFERRAL_LIMIT: Duration = Duration::from_millis(1_000);

/// Number of unsuccessful reads after which the deferral doubles.
const READS_PER_DOUBLING: u32 = 4;

/// Delay that each neighbour adds to the first read of a restarted host.
///
/// The first reader forwards what it read. That takes a few hundred milliseconds in a
/// data centre of a hundred hosts, and a few milliseconds where there are four.
const RESTART_STEP: Duration = Duration::from_millis(8);

/// How long a host without any records defers to a neighbour that reads the whole topic.
///
/// The neighbour's snapshot then arrives in fragments, and each fragment defers this
/// host's read again.
const FULL_READ_DEFERRAL: Duration = Duration::from_millis(200);

/// The total time for which a host without any records defers to its neighbours.
const FULL_READ_DEFERRAL_LIMIT: Duration = Duration::from_millis(1_500);

/// The largest random delay before a host reads a whole topic whose records were dropped.
///
/// Hosts whose reads became due at the same moment learn in this time which of them is first.
const RESYNC_JITTER: Duration = Duration::from_millis(40);

/// How often a host that reads a whole topic for the others repeats that it does.
pub const RESYNC_INTERVAL: Duration = Duration::from_millis(100);

/// How long a host leaves reading the whole topic to a neighbour that was last heard to do so.
const RESYNC_DEFERRAL: Duration = RESYNC_INTERVAL.saturating_mul(2);

/// The longest time for which a restarted host waits to learn of its neighbours.
const INTRODUCTION_WAIT: Duration = Duration::from_millis(100);

/// How long a restarted host waits for greetings.
pub const GREETING_WAIT: Duration = Duration::from_millis(25);

/// How long a data centre's hosts may have received no update before a host that receives
/// one from another data centre forwards it.
///
/// Two hosts receive the same update from another data centre, one slightly later than
/// the other; the second must not forward it again.
const STALE_AFTER: Duration = Duration::from_millis(300);

/// One host's read position in one topic, and when it reads next.
#[derive(Clone, Debug)]
pub struct ReadSchedule {
    next: Option<u64>,
    /// Whether the store no longer has the record at the offset.
    is_trimmed: bool,
    /// Until when this host leaves reading the whole topic to a neighbour.
    resync_until: Moment,
    /// When this host last took in the whole topic.
    replaced_at: Option<Moment>,
    reader: bool,
    reading: bool,
    has_gap: bool,
    /// Whether this host reads for its data centre what was read elsewhere.
    lagging: bool,
    failures: u32,
    /// When this host's last read that failed ended.
    failed_at: Moment,
    due: Moment,
    started: Moment,
    /// When the store was read, by any host, to what this host knows; unknown if that was
    /// before this host started.
    read_at: Option<Moment>,
    /// Records that this host has heard of and lacks.
    missing: MissingRecords,
    /// When this host last requested missing records.
    requested_at: Option<Moment>,
    /// The random number, from 0 to 1, by which this host's next read is deferred.
    draw: f64,
    /// Whether a neighbour's read has failed since the store was last read.
    trouble: bool,
    /// The neighbour that retries: whose read failed last, or began while this host's fail.
    failing: Option<SocketAddr>,
    /// When the present one of the neighbours that retry began to.
    failing_since: Moment,
    /// When this host began to retry as the reader.
    retrying_since: Option<Moment>,
    /// The neighbour from which it took the retries over.
    predecessor: Option<SocketAddr>,
    /// When this host last read the store or received an update.
    updated_at: Moment,
    /// Reads that neighbours have begun since this host last read or received an update.
    neighbour_reads: u32,
    /// Fragments received since this host last read or received an update.
    fragments: u32,
}

/// What a host received since it last read the store or received an update.
#[tag]
pub struct Deferrals {
    /// The time since then.
    pub silence: Duration,
    /// Number of reads that neighbours have begun.
    pub neighbour_reads: u32,
    /// Number of fragments.
    pub fragments: u32,
}

/// What a host does with records that a neighbour has read.
#[tag]
pub enum UpdateOutcome {
    /// The records are to be applied, except for the first `skip`.
    Apply {
        /// Number of leading records that are already known.
        skip: u64,
        /// Whether this host's own reads had failed before.
        recovered: bool,
    },
    /// All the records are already known.
    Known,
    /// Records before these are missing: this host reads by itself.
    Gap,
}

impl ReadSchedule {
    /// Returns a schedule whose first read is due at once.
    pub fn new(now: Moment) -> ReadSchedule {
        ReadSchedule {
            next: None,
            is_trimmed: false,
            resync_until: now,
            replaced_at: None,
            reader: false,
            reading: false,
            has_gap: false,
            lagging: false,
            failures: 0,
            failed_at: now,
            due: now,
            started: now,
            read_at: None,
            missing: MissingRecords::default(),
            requested_at: None,
            draw: 0.0,
            trouble: false,
            failing: None,
            failing_since: now,
            retrying_since: None,
            predecessor: None,
            updated_at: now,
            neighbour_reads: 0,
            fragments: 0,
        }
    }

    /// Returns the schedule of a restarted host, which queries its neighbours first.
    pub fn restarted(now: Moment) -> ReadSchedule {
        ReadSchedule {
            due: now + GREETING_WAIT * 2,
            ..ReadSchedule::new(now)
        }
    }

    /// Delays the first read of a restarted host according to its number of neighbours.
    ///
    /// Intended for a power failure after which all hosts restart at once: without the
    /// delay all would read the whole topic from the store. The more neighbours there
    /// are, the longer each host defers to the others. A host that knows fewer than half
    /// of the expected ones also waits until it learns of them. `draw` is a random number
    /// from 0 to 1.
    pub fn neighbours_counted(&mut self, known: usize, expected: usize, draw: f64, now: Moment) {
        if self.next.is_some() || self.failures > 0 {
            return;
        }
        let introduction = match known < expected / 2 {
            true => (restart_jitter(expected) / 4).min(INTRODUCTION_WAIT),
            false => Duration::ZERO,
        };
        self.due = now + introduction + restart_jitter(known.max(expected)).mul_f64(draw);
    }

    /// Returns the schedule of a host that starts together with its whole site.
    ///
    /// If each host read at once, a start would cost as many reads as minutes of idle
    /// operation.
    pub fn at_site_start(draw: f64, now: Moment) -> ReadSchedule {
        ReadSchedule {
            due: now + SITE_START_DELAY + SITE_START_JITTER.mul_f64(draw),
            ..ReadSchedule::new(now)
        }
    }

    /// Returns the offset up to which this host knows the topic, `None` if it has no records.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the offset to read from, or `None` if the whole topic has to be read.
    pub fn read_from(&self) -> Option<u64> {
        self.next.filter(|_| !self.is_trimmed)
    }

    /// Returns when this host's own read is due.
    pub fn due(&self) -> Moment {
        self.latest_read().map_or(self.due, |at| self.due.min(at))
    }

    /// Returns when this host reads at the latest, whatever it receives until then.
    ///
    /// None while reads fail: then nothing is gained by reading sooner, and all hosts would.
    fn latest_read(&self) -> Option<Moment> {
        match self.missing.since() {
            _ if self.failures > 0 || self.next.is_none() => None,
            Some(since) => Some(since + CATCH_UP_WAIT + READ_JITTER.mul_f64(self.draw)),
            None if self.trouble => None,
            None => Some(self.counts_from() + takeover_delay(1.0) + NEIGHBOUR_READ_LIMIT),
        }
    }

    /// Returns when the store was read, by any host, to what this host knows; `None` if that
    /// was before this host started.
    pub fn read_at(&self) -> Option<Moment> {
        self.read_at
    }

    /// Returns how long ago that was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns from when this host counts the time until it reads by itself.
    fn counts_from(&self) -> Moment {
        self.read_at.unwrap_or(self.started)
    }

    /// Returns whether this host reads for its neighbours.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Returns how long this host's next read may wait at the store for a record.
    ///
    /// The pause before a read counts towards the wait: other hosts begin to read if they
    /// receive nothing for longer than a read waits.
    pub fn read_wait(&self, now: Moment) -> Duration {
        match self.reader {
            true => READ_WAIT.saturating_sub(now.since(self.updated_at)),
            false => Duration::ZERO,
        }
    }

    /// Returns how many reads have failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a successful read of the whole topic up to `next`, and returns whether
    /// failures came before it.
    ///
    /// Hosts read the whole topic when they start, often all at once. No host becomes the
    /// reader by this; the first one whose next read is due does. The read began at
    /// `read_at`; `draw` is a random number from 0 to 1.
    pub fn full_read_finished(
        &mut self,
        next: u64,
        read_at: Moment,
        draw: f64,
        now: Moment,
    ) -> bool {
        self.note_update(now);
        self.next = Some(next);
        self.replaced_at = Some(now);
        self.reader = false;
        self.reading = false;
        self.has_gap = false;
        self.missing.clear();
        self.note_read_at(read_at);
        self.defer_takeover(draw, now);
        std::mem::take(&mut self.failures) > 0
    }

    /// Records that a neighbour sent a snapshot of the topic, up to `next`.
    ///
    /// The store was read to it at `read_at`, or at an unknown moment. A host whose own
    /// reads failed keeps its retry schedule, and reads on from `next`; any other waits for
    /// updates, as if it had read the topic itself at that moment. `draw` is a random
    /// number from 0 to 1.
    pub fn snapshot_received(
        &mut self,
        next: u64,
        read_at: Option<Moment>,
        draw: f64,
        now: Moment,
    ) {
        self.note_update(now);
        self.next = Some(next);
        self.replaced_at = Some(now);
        self.is_trimmed = false;
        self.reach(next);
        self.read_at = read_at;
        if self.failures == 0 {
            self.defer_takeover(draw, now);
        }
    }

    /// Records that this host begins to read.
    pub fn begin_read(&mut self) {
        self.reading = true;
    }

    /// Records a successful read of this host up to `next`, and returns whether failures
    /// came before it.
    ///
    /// The host goes on as reader for its neighbours, unless it has yielded to another
    /// reader during the read. A host that knows no neighbours (`alone`) waits as long
    /// between reads as a host without updates does: when a whole site starts, no host
    /// knows another, and all would read all the time. The answer held all records written
    /// before `read_at`; `draw` is a random number from 0 to 1.
    pub fn read_finished(
        &mut self,
        next: u64,
        read_at: Moment,
        alone: bool,
        draw: f64,
        now: Moment,
    ) -> bool {
        self.note_update(now);
        let has_records = self.next != Some(next);
        let known = self.next.unwrap_or(0);
        // A neighbour may have sent newer records during the read.
        if next > known || next == known && Some(read_at) > self.read_at {
            self.note_read_at(read_at);
        }
        self.next = Some(next.max(known));
        // The store has no records beyond those, whatever others say.
        self.missing.clear();
        let recovered = std::mem::take(&mut self.failures) > 0;
        // Another host may have become the reader during the read.
        if std::mem::take(&mut self.reading) {
            // A host that only read records lost on the way doesn't become the reader.
            self.reader = !std::mem::take(&mut self.has_gap);
        }
        match has_records {
            _ if alone || !self.reader => self.defer_takeover(draw, now),
            true => self.due = now + BATCH_PAUSE,
            false => self.due = now,
        }
        recovered
    }

    /// Records that a read failed; `draw` is a random number from 0 to 1.
    ///
    /// Only the reader retries soon. Other hosts go on waiting for updates, so that an
    /// outage doesn't cause reads by every host. A host that reads after one neighbour alone
    /// has failed for a while becomes the reader in its place.
    pub fn read_failed(&mut self, draw: f64, now: Moment) {
        self.failures += 1;
        self.failed_at = now;
        self.reading = false;
        let takes_over = self.failing.is_some() && now.since(self.failing_since) >= RETRY_TURN;
        self.reader |= takes_over;
        if self.reader && (self.failures == 1 || takes_over) {
            self.retrying_since = Some(now);
            self.predecessor = self.failing.take();
        }
        self.due = match self.reader {
            true => now + RETRY_PAUSE,
            false => now + takeover_delay(draw),
        };
    }

    /// Records that the read of the neighbour `host` failed.
    ///
    /// `yields` says whether this host leaves the retries to it if both have just taken them
    /// over; `draw` is a random number from 0 to 1.
    ///
    /// A host whose own read has failed too leaves the retries to the neighbour, but only for
    /// a while: the neighbour may be cut off, and the store back. A host without a failure
    /// still reads when its own read is due, since the store sometimes rejects single hosts.
    pub fn neighbour_read_failed(
        &mut self,
        host: SocketAddr,
        yields: bool,
        draw: f64,
        now: Moment,
    ) {
        self.trouble = true;
        if self.failing.replace(host) != Some(host) {
            self.failing_since = now;
        }
        if self.failures == 0 {
            return;
        }
        let turn = self.retrying_since.map(|at| now.since(at));
        let is_turn = turn.is_some_and(|time| time < RETRY_TURN);
        self.reader &= is_turn && (!yields || self.predecessor == Some(host));
        if !self.reader {
            let since = self.failing_since.max(self.failed_at);
            let rest = match turn {
                Some(time) if time < TURN_REST => TURN_JITTER,
                _ => Duration::ZERO,
            };
            let latest = since + RETRY_TURN + rest + TURN_JITTER.mul_f64(draw);
            self.due = latest.min(now + takeover_delay(draw));
        }
    }

    /// Records that a fragment of a neighbour's message arrived, which leads to the offset
    /// `end`; `draw` is a random number from 0 to 1.
    ///
    /// Defers this host's read: if it read the store before the message is complete, so
    /// would all others.
    pub fn fragment_received(&mut self, end: u64, draw: f64, now: Moment) {
        self.fragments = self.fragments.saturating_add(1);
        if self.next.is_some_and(|known| end <= known) {
            return;
        }
        self.hear_of(end, draw, now);
        let since = self.missing.since().unwrap_or(now);
        if !self.reader {
            let deferred = now + FRAGMENT_WAIT + READ_JITTER.mul_f64(draw);
            self.due = self.due.max(deferred.min(since + CATCH_UP_WAIT));
        }
    }

    /// Records that a neighbour knows the topic up to the offset `end`, to which the store was
    /// read at `read_at`; returns whether this host lacks records. `draw` is a random number
    /// from 0 to 1.
    pub fn position_received(&mut self, end: u64, read_at: Moment, draw: f64, now: Moment) -> bool {
        let Some(known) = self.next else {
            return false;
        };
        if end > known {
            self.hear_of(end, draw, now);
            return true;
        }
        if end == known && self.is_later(read_at) {
            self.note_read_at(read_at);
            self.neighbour_reads = 0;
            if self.awaits_updates() {
                self.defer_takeover(draw, now);
            }
        }
        false
    }

    /// Returns whether to request the missing records now, and notes the request.
    ///
    /// They may be on their way when a host first hears of them.
    pub fn take_request(&mut self, now: Moment) -> bool {
        let since = self.missing.since();
        let is_due = since.is_some_and(|at| now.since(at) >= RESEND_WAIT)
            && self
                .requested_at
                .is_none_or(|at| now.since(at) >= REQUEST_PAUSE);
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// Notes records up to `end` that this host lacks.
    fn hear_of(&mut self, end: u64, draw: f64, now: Moment) {
        if self.missing.is_empty() {
            self.draw = draw;
        }
        self.missing.hear_of(end, now);
    }

    /// Notes that this host knows the topic up to `next`.
    fn reach(&mut self, next: u64) {
        self.missing.reach(next);
        self.has_gap &= !self.missing.is_empty();
    }

    /// Returns whether a read at `read_at` is another one than the last that this host knows.
    fn is_later(&self, read_at: Moment) -> bool {
        self.read_at.is_none_or(|at| read_at > at + TRANSIT_TIME)
    }

    /// Notes that the store was read at `read_at` to what this host knows.
    fn note_read_at(&mut self, read_at: Moment) {
        self.read_at = Some(read_at);
        self.trouble = false;
        self.failing = None;
    }

    /// Returns whether this host neither reads nor lacks records.
    fn awaits_updates(&self) -> bool {
        !self.reader && !self.reading && self.failures == 0 && self.missing.is_empty()
    }

    /// Makes this host's own read due when nothing new is heard for a while.
    fn defer_takeover(&mut self, draw: f64, now: Moment) {
        self.draw = draw;
        let due = self.counts_from() + takeover_delay(draw);
        self.due = match due > now {
            true => due,
            false => now + READ_JITTER.mul_f64(draw),
        };
    }

    /// Records that the neighbour `host` has begun its own read; `draw` is a random number from
    /// 0 to 1.
    ///
    /// Defers this host's read. Intended for a reader or a store that stops answering:
    /// the read of every host becomes due within a quarter of a second, and an
    /// unresponsive store gives the first reader nothing to send to the others. The more
    /// neighbours have read without success, the longer the deferral. A host whose own reads
    /// fail leaves the turn to a neighbour that has just begun to retry: a store that doesn't
    /// answer shows that only after a second. A host that lacks
    /// records doesn't defer, since a neighbour's read from a later offset doesn't return
    /// them.
    pub fn neighbour_read_started(&mut self, host: SocketAddr, draw: f64, now: Moment) {
        if self.next.is_none() {
            self.defer_full_read(draw, now);
            return;
        }
        if self.failures > 0 && !self.reader && self.failing != Some(host) {
            self.failing = Some(host);
            self.failing_since = now;
            self.due = self.due.max(now + RETRY_TURN + TURN_JITTER.mul_f64(draw));
        }
        let doubled =
            READ_DEFERRAL * 2u32.saturating_pow(self.neighbour_reads / READS_PER_DOUBLING);
        self.neighbour_reads = self.neighbour_reads.saturating_add(1);
        if !self.reader && !self.has_gap {
            let deferral = doubled.min(READ_DEFERRAL_LIMIT).mul_f64(1.0 + draw);
            self.due = self.due.max(now + deferral);
        }
    }

    /// Defers the first read of the whole topic in favour of a neighbour's.
    fn defer_full_read(&mut self, draw: f64, now: Moment) {
        let started = self.updated_at;
        if !self.reading && self.failures == 0 && now.since(started) < FULL_READ_DEFERRAL_LIMIT {
            self.due = self.due.max(now + FULL_READ_DEFERRAL.mul_f64(1.0 + draw));
        }
    }

    /// Returns what may have deferred this host's read.
    pub fn deferrals(&self, now: Moment) -> Deferrals {
        Deferrals {
            silence: now.since(self.updated_at),
            neighbour_reads: self.neighbour_reads,
            fragments: self.fragments,
        }
    }

    /// Returns whether this data centre has received no update for a while.
    pub fn is_stale(&self, now: Moment) -> bool {
        now.since(self.updated_at) > STALE_AFTER
    }

    /// Records that the store has records of which this data centre gets no copy.
    ///
    /// Large changes aren't sent between data centres unless a host there requests them. If
    /// none come, this host reads them soon and sends them to its neighbours. `end` is the
    /// offset up to which the store has records; `draw` is a random number from 0 to 1.
    pub fn mark_lagging(&mut self, end: u64, draw: f64, now: Moment) {
        self.hear_of(end, draw, now);
        self.due = self.due.min(now + CENTRE_RESEND_WAIT);
        self.has_gap = !self.reader;
        self.lagging = true;
    }

    /// Returns whether this host reads for its data centre what was read elsewhere, or what
    /// none of its neighbours has sent.
    pub fn is_lagging(&self, now: Moment) -> bool {
        let since = self.missing.since();
        self.lagging || since.is_some_and(|at| now.since(at) >= CATCH_UP_WAIT)
    }

    fn note_update(&mut self, now: Moment) {
        self.updated_at = now;
        self.lagging = false;
        self.neighbour_reads = 0;
        self.fragments = 0;
    }

    /// Records that the store no longer has the record at this host's offset; `draw` is a
    /// random number from 0 to 1.
    ///
    /// None of the neighbours can read on from there either. The first host reads the whole
    /// topic and sends the others what has changed.
    pub fn offset_trimmed(&mut self, draw: f64, now: Moment) {
        self.is_trimmed = true;
        self.reading = false;
        self.due = self.resync_until.max(now + RESYNC_JITTER.mul_f64(draw));
    }

    /// Records that a neighbour reads the whole topic, since the store dropped records that no
    /// host had read; `draw` is a random number from 0 to 1.
    ///
    /// The neighbour repeats this while it makes progress, so that one that is killed doesn't
    /// keep the others from reading.
    pub fn neighbour_resyncs(&mut self, draw: f64, now: Moment) {
        self.resync_until = now + RESYNC_DEFERRAL.mul_f64(1.0 + draw);
        if self.is_trimmed || !self.reader && !self.has_gap {
            self.due = self.due.max(self.resync_until);
        }
    }

    /// Returns the offset that was trimmed, once.
    pub fn take_trimmed(&mut self) -> Option<u64> {
        let is_trimmed = std::mem::take(&mut self.is_trimmed);
        self.next.filter(|_| is_trimmed)
    }

    /// Returns whether this host knows exactly the records before its offset.
    ///
    /// The pages of a whole topic are read one after the other, and the later ones hold
    /// records behind the offset to continue from. Other hosts lack those until they are read.
    pub fn is_exact(&self, now: Moment) -> bool {
        let replaced = self.replaced_at;
        replaced.is_none_or(|at| now.since(at) > INEXACT_TIME)
    }

    /// Records that a neighbour read the records from `from` to `next`, and returns what to
    /// do with them.
    ///
    /// The store was read to them at `read_at`, or at an unknown moment: an update that
    /// waited on its way, or comes from a host that is cut off, doesn't show that the store
    /// has nothing newer. `yields` says whether this host gives up being the reader if both
    /// read; `draw` is a random number from 0 to 1. An update that ends before this host's
    /// own offset is ignored: the neighbour may have been paused between reading and sending.
    pub fn update_received(
        &mut self,
        (from, next): (u64, u64),
        read_at: Option<Moment>,
        yields: bool,
        draw: f64,
        now: Moment,
    ) -> UpdateOutcome {
        let known = match self.next {
            Some(known) if from <= known => known,
            // The first read of the whole topic is due anyway; updates don't bring it
            // forward.
            None if self.failures == 0 => return UpdateOutcome::Gap,
            // Due soon, in case no neighbour sends the records again, with a random delay
            // so that hosts that missed the same records don't all read at once.
            _ => {
                self.hear_of(next, draw, now);
                self.due = self.due.min(now + RESEND_WAIT + READ_JITTER.mul_f64(draw));
                self.has_gap = !self.reader;
                return UpdateOutcome::Gap;
            }
        };
        if next < known {
            return UpdateOutcome::Known;
        }
        let is_recent = read_at.is_some_and(|at| now.since(at) < TAKEOVER_DELAY);
        let recovered = self.failures > 0 && read_at.is_some_and(|at| at > self.failed_at);
        if recovered {
            self.failures = 0;
        }
        if recovered || is_recent && (yields || !(self.reader || self.reading)) {
            self.reader = false;
            self.reading = false;
        }
        if is_recent {
            self.note_update(now);
        }
        match read_at {
            Some(at) if next > known || self.is_later(at) => self.note_read_at(at),
            _ => {}
        }
        self.next = Some(next);
        self.is_trimmed &= next == known;
        self.reach(next);
        if self.awaits_updates() {
            self.defer_takeover(draw, now);
        }
        match next > known || recovered {
            true => UpdateOutcome::Apply {
                skip: known - from,
                recovered,
            },
            false => UpdateOutcome::Known,
        }
    }
}

/// Returns the interval over which the hosts of a data centre spread an action that one
/// of them performs for all after a restart.
pub fn restart_jitter(neighbours: usize) -> Duration {
    let steps = u32::try_from(neighbours).unwrap_or(u32::MAX);
    RESTART_STEP.saturating_mul(steps).min(SITE_START_JITTER)
}

fn takeover_delay(draw: f64) -> Duration {
    TAKEOVER_DELAY + READ_JITTER.mul_f64(draw)
}
