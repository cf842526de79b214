//! The topics of the stand-in, in memory, and the faults that it injects.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derives::{tag, value};
use platform::store::{ReadAnswer, Record, decode_record, encode_record};
use platform::store_server::{Call, Join, PartitionOwner};
use serde::{Deserialize, Serialize};
use transport::peers::host_list::HostEntry;

use super::groups::Groups;

/// The behaviour of the stand-in, which can be changed while it runs.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Behaviour {
    /// The most records that a topic keeps; unlimited if absent.
    pub keep_records: Option<usize>,
    /// Milliseconds that a record is kept; unlimited if absent.
    pub keep_ms: Option<u64>,
    /// Writing calls accepted per second, over all topics.
    pub appends_second: u32,
    /// Reading calls accepted per second, over all topics.
    pub reads_second: u32,
    /// Whether and how the store is down.
    pub outage: Option<Outage>,
    /// Milliseconds by which each answer is delayed.
    pub slow_ms: u64,
    /// How answers to appends get lost, after the append has taken effect.
    pub loss: Option<Loss>,
    /// How many of the next answers to appends get lost.
    pub losses: u32,
    /// Whether the store goes down when an answer gets lost.
    pub down_after_loss: bool,
    /// Topics whose next read gets no answer.
    pub lost_reads: BTreeSet<String>,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            keep_records: None,
            keep_ms: None,
            appends_second: 500,
            reads_second: 2_000,
            outage: None,
            slow_ms: 0,
            loss: None,
            losses: 0,
            down_after_loss: false,
            lost_reads: BTreeSet::new(),
        }
    }
}

/// The kind of an outage.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The store answers that it is down.
    Refusing,
    /// The store sends no answer until the outage ends, and then answers that it was down.
    Silent,
}

/// How an answer gets lost after the call has taken effect.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// A gateway in between answers 504.
    Gateway,
    /// No answer is sent.
    Silence,
}

/// Counters of the stand-in.
#[tag]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Calls received, of all kinds.
    pub calls: u64,
    /// Append calls carried out, of one or more records.
    pub appends: u64,
    /// Calls refused because of an outage or the budget.
    pub refused: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of records returned by reads.
    pub bytes_read: u64,
    /// Pages of newest records returned.
    pub listings: u64,
}

/// The most records in one page of newest records.
const NEWEST_PAGE_SIZE: usize = 500;

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<StoredRecord>,
    /// The newest value of each key with its offset, kept regardless of retention.
    newest: BTreeMap<String, (Bytes, u64)>,
    journal: Vec<Bytes>,
}

struct StoredRecord {
    at: Instant,
    data: Bytes,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, data: Bytes) {
        self.records.push_back(StoredRecord {
            at: Instant::now(),
            data,
        });
    }

    /// Updates the newest value of a key from a record of a keyed topic.
    fn update_newest(&mut self, data: &Bytes) {
        let offset = self.end();
        match decode_record(data.clone()) {
            Some(Record {
                key,
                value: Some(value),
            }) => {
                self.newest.insert(key, (value, offset));
            }
            Some(Record { key, value: None }) => {
                self.newest.remove(&key);
            }
            None => {}
        }
    }

    fn expire(&mut self, behaviour: &Behaviour) {
        let max_records = behaviour.keep_records.unwrap_or(usize::MAX);
        let max_age = behaviour.keep_ms.map(Duration::from_millis);
        let too_old = |stored: &StoredRecord| max_age.is_some_and(|a| stored.at.elapsed() > a);
        while self.records.len() > max_records || self.records.front().is_some_and(too_old) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Drops the records before `offset`.
    fn trim(&mut self, offset: u64) {
        while self.first < offset && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Returns records of at most `bytes` in total, but at least one if there is one.
    fn read(&self, from: u64, bytes: usize) -> ReadAnswer {
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut taken = 0;
        let mut records = Vec::new();
        for stored in self.records.iter().skip(skip) {
            taken += stored.data.len();
            if taken > bytes && !records.is_empty() {
                break;
            }
            records.push(stored.data.clone());
        }
        ReadAnswer {
            records,
            from,
            first: self.first,
            end: self.end(),
        }
    }
}

/// The reason why the stand-in refuses a call.
pub(super) enum Refused {
    /// The store is down.
    Down,
    /// The calls exceed the budget per second.
    Budget,
    /// The topic doesn't end at the offset that the append requires; the actual end.
    WrongOffset(u64),
    /// The requested records were trimmed; the first offset that is left.
    Trimmed(u64),
}

/// The result of an append.
pub(super) struct Appended {
    /// The offset of the first record.
    pub offset: u64,
    /// The offset of the next append.
    pub end: u64,
    /// How the answer gets lost, if it does.
    pub loss: Option<Loss>,
}

/// One page of the newest records of a topic.
pub(super) struct NewestPage {
    /// The newest records with their offsets.
    pub records: Vec<(Record, u64)>,
    /// Whether more keys follow.
    pub more: bool,
    /// The offset of the next append.
    pub end: u64,
}

/// Token bucket that holds one second's worth of calls.
#[derive(Default)]
struct TokenBucket {
    left: f64,
    refilled: Option<Instant>,
}

impl TokenBucket {
    /// Takes a token if one is left; `rate` is in calls per second.
    fn take(&mut self, rate: u32) -> bool {
        let rate = f64::from(rate);
        let now = Instant::now();
        // The bucket is full at first.
        let since = self.refilled.map_or(1.0, |r| (now - r).as_secs_f64());
        self.refilled = Some(now);
        self.left = (self.left + since * rate).min(rate);
        let spent = self.left >= 1.0;
        if spent {
            self.left -= 1.0;
        }
        spent
    }
}

#[derive(Default)]
struct Inner {
    topics: BTreeMap<String, Topic>,
    groups: Groups,
    behaviour: Behaviour,
    hosts: Vec<HostEntry>,
    counts: Counts,
    writes: TokenBucket,
    reads: TokenBucket,
    stopped: bool,
    keeps_journal: bool,
}

/// All state of the stand-in behind a lock; each append wakes the waiting readers.
#[derive(Default)]
pub(super) struct StoreState {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl StoreState {
    pub(super) fn new(behaviour: Behaviour) -> StoreState {
        let store = StoreState::default();
        store.lock().behaviour = behaviour;
        store
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.lock().behaviour.clone()
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.lock().behaviour);
        self.changed.notify_all();
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    pub(super) fn hosts(&self) -> Vec<HostEntry> {
        self.lock().hosts.clone()
    }

    pub(super) fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.lock().hosts = hosts;
    }

    pub(super) fn record_journal(&self) {
        self.lock().keeps_journal = true;
    }

    pub(super) fn journal(&self, name: &str) -> Vec<Bytes> {
        let inner = self.lock();
        inner
            .topics
            .get(name)
            .map_or_else(Vec::new, |t| t.journal.clone())
    }

    pub(super) fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }

    /// Waits for a silent outage to end, then returns whether the store is up.
    ///
    /// After a wait it returns false, because calls that arrive during an outage are refused.
    pub(super) fn is_up(&self) -> bool {
        let inner = self.lock();
        let was_silent = inner.behaviour.outage == Some(Outage::Silent);
        let silent = |i: &mut Inner| !i.stopped && i.behaviour.outage == Some(Outage::Silent);
        let mut inner = self
            .changed
            .wait_while(inner, silent)
            .unwrap_or_else(PoisonError::into_inner);
        let up = inner.behaviour.outage.is_none() && !was_silent && !inner.stopped;
        if !up {
            inner.counts.refused += 1;
        }
        up
    }

    /// Admits a call, or returns why it is refused.
    pub(super) fn admit(&self, call: &Call) -> Result<(), Refused> {
        self.lock().counts.calls += 1;
        if !self.is_up() {
            return Err(Refused::Down);
        }
        let mut inner = self.lock();
        let Behaviour {
            appends_second,
            reads_second,
            ..
        } = inner.behaviour;
        let allowed = match call {
            Call::Append { .. } | Call::Trim { .. } => inner.writes.take(appends_second),
            Call::Read { .. } | Call::Newest { .. } | Call::Owners { .. } => {
                inner.reads.take(reads_second)
            }
            // The platform counts a join as a tenth of a call, which is negligible here.
            Call::Join(_) => true,
        };
        if allowed {
            return Ok(());
        }
        inner.counts.refused += 1;
        Err(Refused::Budget)
    }

    /// Appends records; `at` is the offset at which the topic must end, if any.
    pub(super) fn append(
        &self,
        name: &str,
        records: Vec<Bytes>,
        at: Option<u64>,
    ) -> Result<Appended, Refused> {
        let mut inner = self.lock();
        let behaviour = inner.behaviour.clone();
        let keeps_journal = inner.keeps_journal;
        let topic = inner.topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        if at.is_some_and(|at| at != offset) {
            return Err(Refused::WrongOffset(offset));
        }
        for data in records {
            if keeps_journal {
                topic.journal.push(data.clone());
            }
            if has_keys(name) {
                topic.update_newest(&data);
            }
            topic.push(data);
        }
        let end = topic.end();
        topic.expire(&behaviour);
        inner.counts.appends += 1;
        let loss = behaviour.loss.filter(|_| behaviour.losses > 0);
        if loss.is_some() {
            inner.behaviour.losses -= 1;
            if behaviour.down_after_loss {
                inner.behaviour.outage = Some(Outage::Refusing);
            }
        }
        self.changed.notify_all();
        Ok(Appended { offset, end, loss })
    }

    /// Writes a value under a key, or removes the key, without a call.
    pub(super) fn put(&self, name: &str, key: &str, value: Option<Bytes>) {
        let record = Record {
            key: key.to_owned(),
            value,
        };
        let Some(data) = encode_record(&record) else {
            log::error!("E0903 key-too-long key={key:?}");
            return;
        };
        let mut inner = self.lock();
        let topic = inner.topics.entry(name.to_owned()).or_default();
        topic.update_newest(&data);
        topic.push(data);
        self.changed.notify_all();
    }

    /// Compacts a topic: drops all its records; the newest of each key stays available.
    pub(super) fn compact(&self, name: &str) {
        self.trim(name, u64::MAX);
    }

    pub(super) fn trim(&self, name: &str, before: u64) {
        let mut inner = self.lock();
        inner
            .topics
            .entry(name.to_owned())
            .or_default()
            .trim(before);
    }

    /// Returns whether the answer to this read of a topic is to be lost.
    pub(super) fn loses_read(&self, name: &str) -> bool {
        self.lock().behaviour.lost_reads.remove(name)
    }

    /// Reads records from offset `from`, waiting up to `wait` for the first.
    pub(super) fn read(
        &self,
        name: &str,
        from: u64,
        bytes: usize,
        wait: Duration,
    ) -> Result<ReadAnswer, Refused> {
        let nothing_new = |i: &mut Inner| {
            let end = i.topics.get(name).map_or(0, Topic::end);
            !i.stopped && i.behaviour.outage.is_none() && end <= from
        };
        let mut inner = self
            .changed
            .wait_timeout_while(self.lock(), wait, nothing_new)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        if inner.behaviour.outage.is_some() || inner.stopped {
            return Err(Refused::Down);
        }
        let behaviour = inner.behaviour.clone();
        let topic = inner.topics.entry(name.to_owned()).or_default();
        topic.expire(&behaviour);
        if from < topic.first {
            return Err(Refused::Trimmed(topic.first));
        }
        let read = topic.read(from, bytes);
        inner.counts.reads += 1;
        let read_bytes: u64 = read.records.iter().map(|r| r.len() as u64).sum();
        inner.counts.bytes_read += read_bytes;
        Ok(read)
    }

    /// Returns a page of newest records, in the order of keys, after the key `after` if given.
    pub(super) fn newest(&self, name: &str, after: Option<&str>) -> NewestPage {
        let mut inner = self.lock();
        inner.counts.reads += 1;
        inner.counts.listings += 1;
        let topic = inner.topics.entry(name.to_owned()).or_default();
        let later = |key: &str| after.is_none_or(|after| key > after);
        let mut rest = topic.newest.iter().filter(|(key, _)| later(key));
        let records = rest
            .by_ref()
            .take(NEWEST_PAGE_SIZE)
            .map(|(key, (value, offset))| {
                let record = Record {
                    key: key.clone(),
                    value: Some(value.clone()),
                };
                (record, *offset)
            })
            .collect();
        NewestPage {
            records,
            more: rest.next().is_some(),
            end: topic.end(),
        }
    }

    pub(super) fn join(&self, join: Join) -> (u64, Vec<PartitionOwner>) {
        self.lock().groups.join(join)
    }

    pub(super) fn owners(&self, group: &str) -> Vec<PartitionOwner> {
        self.lock().groups.owners(group)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a topic is keyed.
fn has_keys(topic: &str) -> bool {
    topic.starts_with(platform::store::KEYED_PREFIX)
}
