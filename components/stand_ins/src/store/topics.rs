//! The topics in memory, and how the stand-in misbehaves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derives::{tag, value};
use platform::store::{ReadAnswer, Record, decode_record, encode_record};
use platform::store_server::{Call, Join, PartitionOwner};
use serde::{Deserialize, Serialize};
use transport::peers::host_list::HostEntry;

use super::groups::Groups;

/// How the stand-in behaves. All of it can be changed while it runs.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Records that a topic keeps, none for all.
    pub keep_records: Option<usize>,
    /// Milliseconds that a record is kept, none for ever.
    pub keep_ms: Option<u64>,
    /// Calls a second that write and are taken, over all topics.
    pub appends_second: u32,
    /// Calls a second that read and are taken, over all topics.
    pub reads_second: u32,
    /// Whether and how the log is down.
    pub outage: Option<Outage>,
    /// Milliseconds by which each answer is late.
    pub slow_ms: u64,
    /// How the answers to the next appends get lost after the effect.
    pub loss: Option<Loss>,
    /// How many answers get lost so.
    pub losses: u32,
    /// Whether the log goes down together with the answer that is lost.
    pub down_after_loss: bool,
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
        }
    }
}

/// How the log is down.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It answers that it is down.
    Refusing,
    /// It answers nothing until the outage ends, and then that it was down.
    Silent,
}

/// How an answer gets lost after the effect.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// Something in between answers 504.
    Gateway,
    /// No answer comes within any time-out.
    Silence,
}

/// What the stand-in has done so far.
#[tag]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Calls that came, of all kinds.
    pub calls: u64,
    /// Records appended.
    pub appends: u64,
    /// Appends refused, for an outage or the budget.
    pub refused: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of records handed out.
    pub bytes_read: u64,
    /// Pages of newest records handed out.
    pub listings: u64,
}

/// Records that one page of the newest ones holds.
const NEWEST_PAGE: usize = 500;

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<Kept>,
    /// The newest record of each key, kept for good, with its offset.
    newest: BTreeMap<String, (Bytes, u64)>,
    journal: Vec<Bytes>,
}

struct Kept {
    at: Instant,
    data: Bytes,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, data: Bytes) {
        self.records.push_back(Kept {
            at: Instant::now(),
            data,
        });
    }

    /// Notes what stands under the key of a record of a topic with keys.
    fn note_newest(&mut self, data: &Bytes) {
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
        let most = behaviour.keep_records.unwrap_or(usize::MAX);
        let age = behaviour.keep_ms.map(Duration::from_millis);
        let too_old = |kept: &Kept| age.is_some_and(|a| kept.at.elapsed() > a);
        while self.records.len() > most || self.records.front().is_some_and(too_old) {
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

    /// Returns records of at most `bytes`, but always one where there is one.
    fn read(&self, from: u64, bytes: usize) -> ReadAnswer {
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut taken = 0;
        let mut records = Vec::new();
        for kept in self.records.iter().skip(skip) {
            taken += kept.data.len();
            if taken > bytes && !records.is_empty() {
                break;
            }
            records.push(kept.data.clone());
        }
        ReadAnswer {
            records,
            from,
            first: self.first,
            end: self.end(),
        }
    }
}

/// Why the stand-in refuses.
pub(super) enum Refused {
    /// It is down.
    Down,
    /// Too many calls came this second.
    Budget,
    /// The topic ends elsewhere than the append asks for.
    Moved(u64),
    /// The records asked for are gone; the first that is not.
    Gone(u64),
}

/// An append that was carried out.
pub(super) struct Appended {
    /// The offset of the first record.
    pub offset: u64,
    /// The offset that the next append gets.
    pub end: u64,
    /// How its answer gets lost, if it does.
    pub loss: Option<Loss>,
}

/// One page of the newest records of a topic.
pub(super) struct NewestPage {
    /// The records with their offsets.
    pub records: Vec<(Record, u64)>,
    /// Whether more keys follow.
    pub more: bool,
    /// The offset that the next append gets.
    pub end: u64,
}

/// Calls that a second allows.
#[derive(Default)]
struct Tokens {
    left: f64,
    refilled: Option<Instant>,
}

impl Tokens {
    /// Takes one, where one is left.
    fn spend(&mut self, rate: u32) -> bool {
        let rate = f64::from(rate);
        let now = Instant::now();
        // A full second's worth at first.
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
    writes: Tokens,
    reads: Tokens,
    stopped: bool,
    keeps_journal: bool,
}

/// The topics with their lock; waiting readers are woken by each append.
#[derive(Default)]
pub(super) struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Store {
    pub(super) fn new(behaviour: Behaviour) -> Store {
        let store = Store::default();
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

    /// Waits while the log is silent, then says whether it is up.
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

    /// Lets a call in, or says why not.
    pub(super) fn enter(&self, call: &Call) -> Result<(), Refused> {
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
            Call::Append { .. } | Call::Trim { .. } => inner.writes.spend(appends_second),
            Call::Read { .. } | Call::Newest { .. } | Call::Owners { .. } => {
                inner.reads.spend(reads_second)
            }
            // It counts as a tenth of a call, too little to matter here.
            Call::Join(_) => true,
        };
        if allowed {
            return Ok(());
        }
        inner.counts.refused += 1;
        Err(Refused::Budget)
    }

    /// Appends records; `at` says where the topic has to end, if anywhere.
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
            return Err(Refused::Moved(offset));
        }
        for data in records {
            if keeps_journal {
                topic.journal.push(data.clone());
            }
            if has_keys(name) {
                topic.note_newest(&data);
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

    /// Writes under a key, or drops it, without a call.
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
        topic.note_newest(&data);
        topic.push(data);
        self.changed.notify_all();
    }

    /// Drops all records of a topic but for the newest of each key.
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

    /// Reads records, waiting up to `wait` for the first.
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
            return Err(Refused::Gone(topic.first));
        }
        let read = topic.read(from, bytes);
        inner.counts.reads += 1;
        let read_bytes: u64 = read.records.iter().map(|r| r.len() as u64).sum();
        inner.counts.bytes_read += read_bytes;
        Ok(read)
    }

    /// Returns the newest records, after a key where one is given.
    pub(super) fn newest(&self, name: &str, after: Option<&str>) -> NewestPage {
        let mut inner = self.lock();
        inner.counts.reads += 1;
        inner.counts.listings += 1;
        let topic = inner.topics.entry(name.to_owned()).or_default();
        let later = |key: &str| after.is_none_or(|after| key > after);
        let mut rest = topic.newest.iter().filter(|(key, _)| later(key));
        let records = rest
            .by_ref()
            .take(NEWEST_PAGE)
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

/// Returns whether a topic's records have keys.
fn has_keys(topic: &str) -> bool {
    topic.starts_with(platform::store::KEYED_PREFIX)
}
