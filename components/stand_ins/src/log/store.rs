//! The streams in memory, and how the stand-in misbehaves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derives::{tag, value};
use protocol::record::{Page, PageRecord};
use serde::{Deserialize, Serialize};
use transport::log::HostEntry;

/// How the stand-in behaves. All of it can be changed while it runs.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Records that a stream keeps, none for all.
    pub keep_records: Option<usize>,
    /// Milliseconds that a record is kept, none for ever.
    pub keep_ms: Option<u64>,
    /// Appends a second that are taken, over all streams.
    pub appends_second: u32,
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
    /// Records appended.
    pub appends: u64,
    /// Appends refused, for an outage or the budget.
    pub refused: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of records handed out.
    pub bytes_read: u64,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Kept>,
    journal: Vec<Bytes>,
}

struct Kept {
    at: Instant,
    data: Bytes,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, behaviour: &Behaviour) {
        let most = behaviour.keep_records.unwrap_or(usize::MAX);
        let age = behaviour.keep_ms.map(Duration::from_millis);
        let too_old = |kept: &Kept| age.is_some_and(|a| kept.at.elapsed() > a);
        while self.records.len() > most || self.records.front().is_some_and(too_old) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: u64, max: usize) -> Page {
        let start = from.max(self.first);
        let skip = usize::try_from(start - self.first).unwrap_or(usize::MAX);
        let kept = self.records.iter().skip(skip).take(max);
        let records = kept.zip(start..).map(|(kept, offset)| PageRecord {
            offset,
            data: kept.data.clone(),
        });
        Page {
            first: self.first,
            next: self.next(),
            records: records.collect(),
        }
    }
}

/// Why the stand-in refuses.
pub(super) enum Refused {
    Down,
    Budget,
}

#[derive(Default)]
struct Inner {
    streams: BTreeMap<String, Stream>,
    behaviour: Behaviour,
    hosts: Vec<HostEntry>,
    counts: Counts,
    tokens: f64,
    refilled: Option<Instant>,
    stopped: bool,
    keeps_journal: bool,
}

/// The streams with their lock; waiting readers are woken by each append.
#[derive(Default)]
pub(super) struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Store {
    pub(super) fn new(behaviour: Behaviour) -> Store {
        let tokens = f64::from(behaviour.appends_second);
        let store = Store::default();
        {
            let mut inner = store.lock();
            inner.behaviour = behaviour;
            inner.tokens = tokens;
        }
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

    pub(super) fn keep_journal(&self) {
        self.lock().keeps_journal = true;
    }

    pub(super) fn journal(&self, name: &str) -> Vec<Bytes> {
        let inner = self.lock();
        inner
            .streams
            .get(name)
            .map_or_else(Vec::new, |s| s.journal.clone())
    }

    pub(super) fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }

    /// Waits while the log is silent, then says whether it is up.
    pub(super) fn enter(&self) -> Result<(), Refused> {
        let inner = self.lock();
        let was_silent = inner.behaviour.outage == Some(Outage::Silent);
        let silent = |i: &mut Inner| !i.stopped && i.behaviour.outage == Some(Outage::Silent);
        let mut inner = self
            .changed
            .wait_while(inner, silent)
            .unwrap_or_else(PoisonError::into_inner);
        match inner.behaviour.outage {
            None if !was_silent && !inner.stopped => Ok(()),
            _ => {
                inner.counts.refused += 1;
                Err(Refused::Down)
            }
        }
    }

    /// Appends a record; says its offset and how the answer gets lost, if it does.
    pub(super) fn append(&self, name: &str, data: Bytes) -> Result<(u64, Option<Loss>), Refused> {
        let mut inner = self.lock();
        if !inner.spend_token() {
            inner.counts.refused += 1;
            return Err(Refused::Budget);
        }
        inner.counts.appends += 1;
        let behaviour = inner.behaviour.clone();
        let keeps_journal = inner.keeps_journal;
        let stream = inner.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        if keeps_journal {
            stream.journal.push(data.clone());
        }
        stream.records.push_back(Kept {
            at: Instant::now(),
            data,
        });
        stream.trim(&behaviour);
        let loss = behaviour.loss.filter(|_| behaviour.losses > 0);
        if loss.is_some() {
            inner.behaviour.losses -= 1;
            if behaviour.down_after_loss {
                inner.behaviour.outage = Some(Outage::Refusing);
            }
        }
        self.changed.notify_all();
        Ok((offset, loss))
    }

    /// Reads a page, waiting up to `wait` for the first record.
    pub(super) fn read(
        &self,
        name: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<Page, Refused> {
        let nothing_new = |i: &mut Inner| {
            let next = i.streams.get(name).map_or(0, Stream::next);
            !i.stopped && i.behaviour.outage.is_none() && next <= from
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
        let stream = inner.streams.entry(name.to_owned()).or_default();
        stream.trim(&behaviour);
        let page = stream.page(from, max);
        inner.counts.reads += 1;
        inner.counts.bytes_read += page
            .records
            .iter()
            .map(|r| r.data.len() as u64)
            .sum::<u64>();
        Ok(page)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Takes one of the appends that a second allows.
    fn spend_token(&mut self) -> bool {
        let rate = f64::from(self.behaviour.appends_second);
        let now = Instant::now();
        let since = self.refilled.map_or(0.0, |r| (now - r).as_secs_f64());
        self.refilled = Some(now);
        self.tokens = (self.tokens + since * rate).min(rate);
        let spent = self.tokens >= 1.0;
        if spent {
            self.tokens -= 1.0;
        }
        spent
    }
}
