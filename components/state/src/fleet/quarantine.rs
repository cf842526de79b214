//! Requests that crash the endpoints that run them (queries of death).
//!
//! Made for one request that comes again and again, to another host each time, and ends
//! every endpoint that begins to run it. Each host sees a crash or two, and without a
//! common memory the request goes round until no endpoint of its service is left.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::tag;

use super::fingerprint::{Fingerprint, Fingerprints};
use crate::Moment;

/// Crashes, each of a run that began after the one before, that quarantine a request.
const CRASHES: u32 = 3;

/// How long the first quarantine lasts before the request may be tried again.
const TTL: Duration = Duration::from_secs(10);

/// How many times as long it lasts after each trial that crashed an endpoint.
const TTL_FACTOR: u32 = 4;

/// How many times the TTL grows.
const TTL_STEPS: u32 = 4;

/// How long no other trial begins after one.
const TRIAL: Duration = Duration::from_secs(10);

/// The longest that a report takes from one host to another.
///
/// Runs that began within it of a crash elsewhere may have begun before that crash.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Requests kept under suspicion.
const SUSPECTS: usize = 4_096;

/// How long a suspect is remembered after its last crash, and after its quarantine.
const MEMORY: Duration = Duration::from_secs(600);

/// How long other hosts are reminded that a request was cleared.
const CLEARED: Duration = Duration::from_secs(10);

/// Findings told to another host at once; each takes about 30 bytes.
const TOLD: usize = 32;

/// A run that ended with its endpoint.
#[tag]
pub struct Crash {
    /// The request that ran.
    pub request: Fingerprints,
    /// When it was sent to the endpoint.
    pub sent: Moment,
    /// When the endpoint ended.
    pub at: Moment,
}

/// Who saw a crash.
#[tag]
pub enum Reporter {
    /// This host.
    ThisHost,
    /// Another host, whose report took a moment.
    OtherHost,
}

/// What one host tells others of a request.
#[tag]
pub struct QuarantineUpdate {
    /// The request.
    pub request: Fingerprint,
    /// Crashes since it was last answered; none where it was cleared.
    pub crashes: u32,
    /// How much longer it is quarantined.
    pub remaining: Duration,
    /// How long ago its last crash, trial or answer was.
    pub age: Duration,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may.
    Pass,
    /// It may, as the one trial after its quarantine; others are to be told.
    Trial(Vec<QuarantineUpdate>),
    /// It may not for as long.
    Reject(Duration),
}

/// What is known of one request.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    /// When it last crashed an endpoint, was tried or was answered.
    changed: Moment,
    /// The end of its quarantine.
    until: Option<Moment>,
    /// The only caller whose requests crashed endpoints, where callers are told apart.
    caller: Option<Fingerprint>,
}

impl Suspect {
    fn new(caller: Option<Fingerprint>, now: Moment) -> Suspect {
        Suspect {
            crashes: 0,
            changed: now,
            until: None,
            caller,
        }
    }

    /// Returns how long it is quarantined after so many crashes.
    fn ttl(&self) -> Duration {
        let steps = self.crashes.saturating_sub(CRASHES).min(TTL_STEPS);
        TTL * TTL_FACTOR.pow(steps)
    }

    fn is_remembered(&self, now: Moment) -> bool {
        let last = self.until.map_or(self.changed, |u| u.max(self.changed));
        now.since(last) < MEMORY
    }

    fn is_told(&self, now: Moment) -> bool {
        let cleared = self.crashes == 0 && now.since(self.changed) < CLEARED;
        self.until.is_some() || cleared
    }

    fn finding(&self, request: Fingerprint, now: Moment) -> QuarantineUpdate {
        QuarantineUpdate {
            request,
            crashes: self.crashes,
            remaining: self.until.map_or(Duration::ZERO, |u| now.until(u)),
            age: now.since(self.changed),
        }
    }
}

/// The requests that crashed endpoints, as one host knows them.
///
/// A request is named twice: as one caller's, and whoever sends it. The second name is
/// quarantined only once the requests of several callers crashed endpoints, so that no
/// caller is rejected for what only another's requests do.
///
/// Requests that merely ran beside such a one end with the same endpoints. What tells
/// them apart is an answer, which clears a request at all hosts. Copies that ended at
/// the same moment count once, since many endpoints may end for reasons of their own.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Takes in a crash, and returns what other hosts are to be told.
    pub fn note_crash(&mut self, crash: &Crash, witness: Reporter) -> Vec<QuarantineUpdate> {
        let Fingerprints { content, request } = crash.request;
        let names = [(request, None), (content, Some(request))];
        names
            .into_iter()
            .filter_map(|(name, caller)| self.count(name, caller, crash, witness))
            .collect()
    }

    /// Counts a crash under one of its request's names.
    fn count(
        &mut self,
        name: Fingerprint,
        caller: Option<Fingerprint>,
        crash: &Crash,
        witness: Reporter,
    ) -> Option<QuarantineUpdate> {
        let delay = match witness {
            Reporter::ThisHost => Duration::ZERO,
            Reporter::OtherHost => REPORT_DELAY,
        };
        self.make_room(name);
        let suspect = self
            .suspects
            .entry(name)
            .or_insert_with(|| Suspect::new(caller, crash.at));
        if suspect.crashes > 0 && crash.sent < suspect.changed + delay {
            return None;
        }
        suspect.crashes = suspect.crashes.saturating_add(1);
        suspect.changed = crash.at;
        suspect.caller = suspect.caller.filter(|known| Some(*known) == caller);
        if suspect.crashes < CRASHES || suspect.caller.is_some() {
            return None;
        }
        suspect.until = Some(crash.at + suspect.ttl());
        Some(suspect.finding(name, crash.at))
    }

    /// Returns how much longer a request is quarantined, nothing where it may be sent.
    pub fn remaining(&self, request: Fingerprints, now: Moment) -> Option<Duration> {
        let names = [request.request, request.content];
        let ends = names.iter().filter_map(|n| self.suspects.get(n)?.until);
        ends.filter(|end| now < *end)
            .map(|end| now.until(end))
            .max()
    }

    /// Decides whether a request may be sent to an endpoint.
    ///
    /// The first after a quarantine is a trial. It renews the quarantine before it is
    /// sent, so that only its answer, and not the lack of one, ends it.
    pub fn admit(&mut self, request: Fingerprints, now: Moment) -> Decision {
        if let Some(left) = self.remaining(request, now) {
            return Decision::Reject(left);
        }
        let mut told = Vec::new();
        for name in [request.request, request.content] {
            let quarantined = self.suspects.get_mut(&name).filter(|s| s.until.is_some());
            if let Some(suspect) = quarantined {
                suspect.until = Some(now + TRIAL);
                suspect.changed = now;
                told.push(suspect.finding(name, now));
            }
        }
        match told.is_empty() {
            true => Decision::Pass,
            false => Decision::Trial(told),
        }
    }

    /// Takes in that an endpoint answered a request, and returns what others are to be told.
    pub fn note_answer(&mut self, request: Fingerprints, now: Moment) -> Vec<QuarantineUpdate> {
        let mut told = Vec::new();
        for name in [request.request, request.content] {
            let suspected = self.suspects.get_mut(&name).filter(|s| s.crashes > 0);
            if let Some(suspect) = suspected {
                suspect.crashes = 0;
                suspect.until = None;
                suspect.changed = now;
                told.push(suspect.finding(name, now));
            }
        }
        told
    }

    /// Takes in what another host found; true where that changes whether a request is sent.
    ///
    /// A report that was delayed must not undo a later answer.
    pub fn apply(&mut self, finding: &QuarantineUpdate, now: Moment) -> bool {
        let at = now - finding.age;
        let known = self.suspects.get(&finding.request).copied();
        let accepted = match known {
            None => finding.crashes > 0,
            Some(known) if finding.crashes == 0 => {
                known.crashes > 0 && known.changed <= at + REPORT_DELAY
            }
            Some(known) if known.crashes > 0 && finding.crashes > known.crashes => true,
            Some(known) => known.changed + REPORT_DELAY < at,
        };
        if !accepted {
            return false;
        }
        self.make_room(finding.request);
        let learned = Suspect {
            crashes: finding.crashes,
            changed: at,
            until: (finding.crashes > 0).then(|| now + finding.remaining),
            caller: None,
        };
        self.suspects.insert(finding.request, learned);
        known.is_some_and(|k| k.until.is_some()) != learned.until.is_some()
    }

    /// Returns what another host is to know: quarantines, and those that ended lately.
    pub fn updates(&self, now: Moment) -> Vec<QuarantineUpdate> {
        let told = self.suspects.iter().filter(|(_, s)| s.is_told(now));
        let mut found: Vec<QuarantineUpdate> =
            told.map(|(name, s)| s.finding(*name, now)).collect();
        found.sort_by_key(|f| f.age);
        found.truncate(TOLD);
        found
    }

    /// Forgets requests that crashed nothing for long.
    pub fn forget(&mut self, now: Moment) {
        self.suspects.retain(|_, s| s.is_remembered(now));
    }

    /// Returns how many requests are under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets the least suspicious request where there is no room for one more.
    ///
    /// Made for an outage in which thousands of different requests fail: those that
    /// failed once make room, and the one that comes again stays.
    fn make_room(&mut self, name: Fingerprint) {
        if self.suspects.len() < SUSPECTS || self.suspects.contains_key(&name) {
            return;
        }
        let rank = |s: &Suspect| (s.until.is_some(), s.crashes, s.changed);
        let least = self.suspects.iter().min_by_key(|(_, s)| rank(s));
        if let Some(name) = least.map(|(name, _)| *name) {
            self.suspects.remove(&name);
        }
    }
}
