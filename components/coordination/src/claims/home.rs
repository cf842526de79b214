//! The home of one `claims` stream, which batches many key requests into few appends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use derives::value;
use state::{HostKey, Moment};

use super::answer_cache::AnswerCache;
use super::record::{Batch, Entry, Outcome};
use super::table::ClaimTable;
use super::{Answer, ClaimId, ClaimKey, Ending, KeyRequest};

/// The maximum number of claims in one append, about 60 KB.
const BATCH_LIMIT: usize = 1_000;

/// The maximum number of key requests that wait for an append.
///
/// At 30 appends a second this many take a fifth of a second. A longer queue
/// would mean that the store cannot keep up, and waiting longer would not help.
const QUEUE_LIMIT: usize = 6_000;

/// The maximum number of endings that wait for an append. The oldest are dropped first.
const ENDINGS_LIMIT: usize = 20_000;

/// The maximum number of keys that are carried over in one append.
const CARRY_LIMIT: usize = 1_000;

/// The age at which a key's record is written again before it is trimmed.
///
/// The store must keep records for at least twice this time.
pub const CARRY_AFTER: Duration = Duration::from_secs(600);

/// The time after which a refused caller may retry.
const RETRY: Duration = Duration::from_secs(1);

/// A home's answer to a key request.
#[value]
pub struct Reply {
    /// The entry host that sent the request.
    pub to: HostKey,
    /// The requested claim.
    pub id: ClaimId,
    /// The answer.
    pub answer: Answer,
}

#[derive(Clone)]
struct PendingRequest {
    from: HostKey,
    request: KeyRequest,
    until: Moment,
}

/// Batches claims into appends and answers from the state folded from the stream.
///
/// Any host may run a home for any stream, and several hosts may do so at the
/// same time: the first claim of a key on the stream is the same for all of them.
pub struct Home {
    carry_after: Duration,
    table: ClaimTable,
    ready: bool,
    queue: VecDeque<PendingRequest>,
    inflight: Vec<PendingRequest>,
    waiting: BTreeMap<ClaimKey, Vec<PendingRequest>>,
    running: BTreeMap<ClaimId, HostKey>,
    freeing: BTreeSet<ClaimId>,
    attempted: BTreeSet<ClaimId>,
    endings: VecDeque<Entry>,
    sent_endings: Vec<Entry>,
    cache: AnswerCache,
    replies: Vec<Reply>,
}

impl Home {
    /// Returns a home that has not read any records yet.
    ///
    /// `carry_after` is the age at which records are written again: [`CARRY_AFTER`],
    /// except in tests.
    pub fn new(carry_after: Duration) -> Home {
        Home {
            carry_after,
            table: ClaimTable::default(),
            ready: false,
            queue: VecDeque::new(),
            inflight: Vec::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            freeing: BTreeSet::new(),
            attempted: BTreeSet::new(),
            endings: VecDeque::new(),
            sent_endings: Vec::new(),
            cache: AnswerCache::default(),
            replies: Vec::new(),
        }
    }

    /// Returns the state folded from the stream.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Returns whether the stream was read to its end since the start or the last restart.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns how many key requests wait for an append.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes the answers given since the last call.
    pub fn replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }

    /// Handles a key request. `until` is when its caller stops waiting.
    pub fn request(&mut self, from: HostKey, request: KeyRequest, until: Moment, now: Moment) {
        let pending = PendingRequest {
            from,
            request,
            until,
        };
        if self.ready && self.answer_from_table(&pending, now) {
            return;
        }
        let full = self.queue.len() >= QUEUE_LIMIT || self.table.is_full();
        if full {
            self.reply(&pending, Answer::NotRun(RETRY));
            return;
        }
        self.queue.push_back(pending);
    }

    /// Handles a key request while the store is unreachable.
    ///
    /// A known key is answered from the table: "not run" would be taken to mean that
    /// the first call with the key did not run either. Nothing new can be claimed.
    pub fn request_offline(
        &mut self,
        from: HostKey,
        request: KeyRequest,
        until: Moment,
        now: Moment,
    ) {
        let pending = PendingRequest {
            from,
            request,
            until,
        };
        if !(self.ready && self.answer_from_table(&pending, now)) {
            self.reply(&pending, Answer::NotRun(RETRY));
        }
    }

    /// Records how a call ended.
    pub fn end_call(&mut self, id: ClaimId, key: ClaimKey, ending: Ending, now: Moment) {
        self.running.remove(&id);
        match ending {
            Ending::Answered(answer) => {
                self.cache.insert(key, id, &answer, now);
                self.queue_ending(id, key, Outcome::Done);
                self.answer_waiting(key, now);
            }
            Ending::AnsweredLarge => {
                self.queue_ending(id, key, Outcome::Done);
                self.answer_started(key);
            }
            Ending::Unknown => {
                self.queue_ending(id, key, Outcome::Unknown);
                self.answer_started(key);
            }
            Ending::NotRun => self.free(id, key),
            Ending::GivenUp => {
                self.queue.retain(|a| a.request.id != id);
                // A claim that was never appended needs no release: during an outage
                // that would be one record for each refused call.
                if self.may_hold(id, key) {
                    self.free(id, key);
                }
            }
        }
    }

    /// Frees the key, and lets waiting requests claim it in the same record.
    fn free(&mut self, id: ClaimId, key: ClaimKey) {
        self.freeing.insert(id);
        self.queue_ending(id, key, Outcome::NotRun);
        let waiting = self.waiting.remove(&key).unwrap_or_default();
        self.queue.extend(waiting);
    }

    /// Records the loss of the entry host `host` and of the calls that it ran.
    ///
    /// Repeats of their keys would otherwise wait for an ending that no host sends.
    pub fn host_lost(&mut self, host: HostKey) {
        let waits = |id: &ClaimId| self.running.get(id) == Some(&host);
        let keys: Vec<ClaimKey> = self
            .waiting
            .keys()
            .filter(|key| self.table.holder(**key).is_some_and(|h| waits(&h.id)))
            .copied()
            .collect();
        self.running.retain(|_, runner| *runner != host);
        for key in keys {
            self.answer_started(key);
        }
    }

    /// Answers the requests whose callers stop waiting, and drops expired cached answers.
    pub fn expire(&mut self, now: Moment) {
        self.cache.expire(now);
        let over = |a: &PendingRequest| a.until <= now;
        let late: Vec<PendingRequest> = self.queue.iter().filter(|a| over(a)).cloned().collect();
        self.queue.retain(|a| !over(a));
        for pending in late {
            self.reply(&pending, Answer::NotRun(RETRY));
        }
        let mut timed_out = Vec::new();
        for waiting in self.waiting.values_mut() {
            timed_out.extend(waiting.iter().filter(|a| over(a)).cloned());
            waiting.retain(|a| !over(a));
        }
        self.waiting.retain(|_, waiting| !waiting.is_empty());
        for pending in timed_out {
            self.reply(&pending, Answer::Started);
        }
    }

    /// Returns whether claims wait for an append.
    pub fn has_claims(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns whether anything waits for an append. Endings and old keys are not urgent.
    ///
    /// `carry` is whether this host carries old keys over.
    pub fn has_work(&self, carry: bool, now: Moment) -> bool {
        let due = || carry && self.ready && self.table.has_due(self.carry_after, now);
        self.has_claims() || !self.endings.is_empty() || due()
    }

    /// Returns the next record to append, or `None` if there is nothing to write.
    ///
    /// `carry` is whether this host carries old keys over.
    pub fn next_batch(&mut self, carry: bool, now: Moment) -> Option<Batch> {
        let mut entries: Vec<Entry> = Vec::new();
        // Endings come first, so that a key freed here can be claimed in the same record.
        let endings = self.endings.len().min(BATCH_LIMIT);
        self.sent_endings = self.endings.drain(..endings).collect();
        entries.extend(self.sent_endings.iter().cloned());
        let requests = self.queue.len().min(BATCH_LIMIT);
        self.inflight = self.queue.drain(..requests).collect();
        for pending in &self.inflight {
            let request = &pending.request;
            let over = self.table.holder(request.key).filter(|h| h.is_over(now));
            entries.extend(over.map(|h| expired(h.id, request.key)));
            entries.push(claim(request));
            self.attempted.insert(request.id);
        }
        if carry && self.ready {
            entries.extend(self.table.carry(self.carry_after, CARRY_LIMIT, now));
        }
        (!entries.is_empty()).then_some(Batch { entries })
    }

    /// Folds one record of the stream; `batch` is `None` if the record cannot be decoded.
    pub fn fold(&mut self, offset: u64, batch: Option<&Batch>, now: Moment) {
        let Some(batch) = batch else {
            self.table.skip(offset);
            return;
        };
        self.table.fold(offset, batch, now);
        for entry in &batch.entries {
            match entry {
                Entry::Ended { id, .. } => {
                    self.freeing.remove(id);
                    self.attempted.remove(id);
                }
                Entry::Claim { id, .. } => {
                    self.attempted.remove(id);
                }
                Entry::Carried { .. } | Entry::Expired { .. } => {}
            }
        }
    }

    /// Starts over at offset `first`, because earlier records were trimmed before they were read.
    pub fn restart(&mut self, first: u64) {
        self.table.restart(first);
        self.ready = false;
    }

    /// Records that the stream was read to its end.
    pub fn caught_up(&mut self) {
        self.ready = true;
    }

    /// Completes the append in flight, after the stream was read up to its record.
    ///
    /// If the append was not answered, the stream was read to its end instead, and
    /// `landed` is false. A claim that is not on the stream may still land later. It
    /// is appended again under the same id, and two identical claims count as one.
    pub fn complete_append(&mut self, landed: bool, now: Moment) {
        for pending in std::mem::take(&mut self.inflight) {
            if self.answer_from_table(&pending, now) {
                continue;
            }
            match landed {
                // The key was freed by an ending in the same read; no caller waits.
                true => self.reply(&pending, Answer::NotRun(RETRY)),
                false => self.queue.push_back(pending),
            }
        }
        if !landed {
            self.requeue_endings();
        }
        self.sent_endings.clear();
        self.table.end_carry();
    }

    /// Refuses the requests in flight and all waiting ones while the store is unreachable.
    ///
    /// An entry host that receives "not run" gives its claim up, so a claim that
    /// lands later does not run anywhere. `refused` is whether the store certainly did
    /// not accept the record.
    pub fn fail_append(&mut self, refused: bool) {
        let inflight = std::mem::take(&mut self.inflight);
        if refused {
            for pending in &inflight {
                self.attempted.remove(&pending.request.id);
            }
        }
        let queued = std::mem::take(&mut self.queue);
        for pending in inflight.into_iter().chain(queued) {
            self.reply(&pending, Answer::NotRun(RETRY));
        }
        self.requeue_endings();
        self.table.end_carry();
    }

    /// Answers a request from the table. Returns false if the key has to be claimed by an append.
    fn answer_from_table(&mut self, pending: &PendingRequest, now: Moment) -> bool {
        let request = &pending.request;
        let Some(holder) = self.table.holder(request.key).copied() else {
            return false;
        };
        let cached = self.cache.get(request.key, holder.id).cloned();
        match cached {
            _ if self.freeing.contains(&holder.id) => return false,
            _ if holder.id != request.id && holder.is_over(now) => return false,
            _ if holder.id == request.id => {
                self.running.insert(request.id, pending.from);
                self.reply(pending, Answer::Granted);
            }
            _ if holder.digest != request.digest => self.reply(pending, Answer::Mismatch),
            Some(answer) => self.reply(pending, Answer::Known(answer)),
            None if self.running.contains_key(&holder.id) => {
                let waiting = self.waiting.entry(request.key).or_default();
                waiting.push(pending.clone());
                self.reply(pending, Answer::InProgress);
            }
            None => self.reply(pending, Answer::Started),
        }
        true
    }

    fn answer_waiting(&mut self, key: ClaimKey, now: Moment) {
        for pending in self.waiting.remove(&key).unwrap_or_default() {
            if !self.answer_from_table(&pending, now) {
                self.reply(&pending, Answer::Started);
            }
        }
    }

    fn answer_started(&mut self, key: ClaimKey) {
        for pending in self.waiting.remove(&key).unwrap_or_default() {
            self.reply(&pending, Answer::Started);
        }
    }

    fn queue_ending(&mut self, id: ClaimId, key: ClaimKey, outcome: Outcome) {
        if self.endings.len() >= ENDINGS_LIMIT {
            let dropped = self.endings.pop_front();
            if let Some(Entry::Ended { id, .. }) = dropped {
                self.freeing.remove(&id);
            }
        }
        self.endings.push_back(Entry::Ended { id, key, outcome });
    }

    fn requeue_endings(&mut self) {
        for entry in std::mem::take(&mut self.sent_endings).into_iter().rev() {
            self.endings.push_front(entry);
        }
    }

    fn reply(&mut self, pending: &PendingRequest, answer: Answer) {
        self.replies.push(Reply {
            to: pending.from,
            id: pending.request.id,
            answer,
        });
    }

    /// Returns whether a record of this home may hold the claim on the stream, now or later.
    fn may_hold(&self, id: ClaimId, key: ClaimKey) -> bool {
        let holds = self.table.holder(key).is_some_and(|h| h.id == id);
        holds || self.attempted.contains(&id)
    }
}

fn expired(id: ClaimId, key: ClaimKey) -> Entry {
    Entry::Expired { id, key }
}

fn claim(request: &KeyRequest) -> Entry {
    Entry::Claim {
        id: request.id,
        key: request.key,
        digest: request.digest,
        ttl_ms: u64::try_from(request.ttl.as_millis()).unwrap_or(u64::MAX),
    }
}
