//! Quarantines requests that crash the endpoints that run them (queries of death).
//!
//! Such a request arrives again and again, each time at another host, and crashes every
//! endpoint that begins to run it. Each host sees only one or two of the crashes. If
//! hosts did not exchange reports, the request would be sent on until no endpoint of its
//! service is left.

use std::collections::BTreeMap;
use std::time::Duration;

use derives::tag;

use super::fingerprint::{Fingerprint, Fingerprints};
use crate::Moment;

/// The number of crashes that quarantine a request; a run counts only if it began after
/// the crash before it.
const CRASH_THRESHOLD: u32 = 3;

/// The length of the first quarantine, after which one trial is allowed.
const FIRST_TTL: Duration = Duration::from_secs(10);

/// The factor by which the quarantine grows with each trial that crashes an endpoint.
const TTL_FACTOR: u32 = 4;

/// How often the quarantine grows by that factor at most.
const MAX_TTL_STEPS: u32 = 4;

/// How long a trial keeps further ones from starting.
const TRIAL_TTL: Duration = Duration::from_secs(10);

/// The maximum delay of a report from one host to another.
///
/// A run that began within this time after a crash on another host may have begun before
/// that crash.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of suspects kept.
const MAX_SUSPECTS: usize = 4_096;

/// How long a suspect is kept after its last crash, and after its quarantine.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// How long a host keeps gossiping that a request was cleared.
const CLEARED_TTL: Duration = Duration::from_secs(10);

/// The maximum number of updates in one message; each takes about 30 bytes.
const MAX_UPDATES: usize = 32;

/// A request's run during which the endpoint crashed.
#[tag]
pub struct Crash {
    /// The request that was running.
    pub request: Fingerprints,
    /// When the request was sent to the endpoint.
    pub sent: Moment,
    /// When the endpoint crashed.
    pub at: Moment,
}

/// The host that observed a crash.
#[tag]
pub enum Reporter {
    /// This host.
    ThisHost,
    /// Another host, whose report arrived with a delay.
    OtherHost,
}

/// The state of a suspect request as one host sends it to others.
#[tag]
pub struct QuarantineUpdate {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// Crashes since the request was last answered; zero if it was cleared.
    pub crashes: u32,
    /// The remaining time of the quarantine.
    pub remaining: Duration,
    /// The time since its last crash, trial or answer.
    pub age: Duration,
}

/// The decision whether a request may be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Pass,
    /// The request may be sent as the one trial after its quarantine; the updates are to
    /// be sent to other hosts.
    Trial(Vec<QuarantineUpdate>),
    /// The request may not be sent for this long.
    Reject(Duration),
}

/// What one host knows about a suspect request.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    /// When the request last crashed an endpoint, was sent as a trial or was answered.
    changed: Moment,
    /// The end of the quarantine, if any.
    until: Option<Moment>,
    /// The only caller whose requests crashed endpoints; set only for suspects that are
    /// counted for all callers together.
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

    /// Returns the length of the quarantine after this number of crashes.
    fn ttl(&self) -> Duration {
        let steps = self
            .crashes
            .saturating_sub(CRASH_THRESHOLD)
            .min(MAX_TTL_STEPS);
        FIRST_TTL * TTL_FACTOR.pow(steps)
    }

    fn is_remembered(&self, now: Moment) -> bool {
        let last = self.until.map_or(self.changed, |u| u.max(self.changed));
        now.since(last) < SUSPECT_TTL
    }

    fn is_sent(&self, now: Moment) -> bool {
        let cleared = self.crashes == 0 && now.since(self.changed) < CLEARED_TTL;
        self.until.is_some() || cleared
    }

    fn update(&self, request: Fingerprint, now: Moment) -> QuarantineUpdate {
        QuarantineUpdate {
            request,
            crashes: self.crashes,
            remaining: self.until.map_or(Duration::ZERO, |u| now.until(u)),
            age: now.since(self.changed),
        }
    }
}

/// The suspect requests known to one host.
///
/// A request is tracked under two fingerprints: one for this caller's request and one for
/// the same request from any caller. The second is quarantined only once requests of
/// several callers have crashed endpoints, so that no caller is rejected because of
/// another caller's requests.
///
/// Requests that merely run on the same endpoint at the time of a crash become suspects
/// too. An answer tells them apart: it clears the request on all hosts. Runs that end at
/// the same moment count as one crash, since many endpoints may go down together for
/// reasons of their own.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Notes a crash, and returns the updates to send to other hosts.
    pub fn note_crash(&mut self, crash: &Crash, reporter: Reporter) -> Vec<QuarantineUpdate> {
        let Fingerprints { content, request } = crash.request;
        let fingerprints = [(request, None), (content, Some(request))];
        fingerprints
            .into_iter()
            .filter_map(|(fingerprint, caller)| self.count(fingerprint, caller, crash, reporter))
            .collect()
    }

    /// Counts a crash under one of the request's fingerprints.
    fn count(
        &mut self,
        fingerprint: Fingerprint,
        caller: Option<Fingerprint>,
        crash: &Crash,
        reporter: Reporter,
    ) -> Option<QuarantineUpdate> {
        let delay = match reporter {
            Reporter::ThisHost => Duration::ZERO,
            Reporter::OtherHost => REPORT_DELAY,
        };
        self.make_room(fingerprint);
        let suspect = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(caller, crash.at));
        if suspect.crashes > 0 && crash.sent < suspect.changed + delay {
            return None;
        }
        suspect.crashes = suspect.crashes.saturating_add(1);
        suspect.changed = crash.at;
        suspect.caller = suspect.caller.filter(|known| Some(*known) == caller);
        if suspect.crashes < CRASH_THRESHOLD || suspect.caller.is_some() {
            return None;
        }
        suspect.until = Some(crash.at + suspect.ttl());
        Some(suspect.update(fingerprint, crash.at))
    }

    /// Returns the remaining time of a request's quarantine, or `None` if it may be sent.
    pub fn remaining(&self, request: Fingerprints, now: Moment) -> Option<Duration> {
        let fingerprints = [request.request, request.content];
        let ends = fingerprints
            .iter()
            .filter_map(|f| self.suspects.get(f)?.until);
        ends.filter(|end| now < *end)
            .map(|end| now.until(end))
            .max()
    }

    /// Decides whether a request may be sent to an endpoint.
    ///
    /// The first request after a quarantine is a trial. It renews the quarantine before
    /// it is sent, so that only its answer ends the quarantine, and not the lack of one.
    pub fn admit(&mut self, request: Fingerprints, now: Moment) -> Decision {
        if let Some(remaining) = self.remaining(request, now) {
            return Decision::Reject(remaining);
        }
        let mut updates = Vec::new();
        for fingerprint in [request.request, request.content] {
            let quarantined = self
                .suspects
                .get_mut(&fingerprint)
                .filter(|s| s.until.is_some());
            if let Some(suspect) = quarantined {
                suspect.until = Some(now + TRIAL_TTL);
                suspect.changed = now;
                updates.push(suspect.update(fingerprint, now));
            }
        }
        match updates.is_empty() {
            true => Decision::Pass,
            false => Decision::Trial(updates),
        }
    }

    /// Notes that an endpoint answered a request, and returns the updates to send to
    /// other hosts.
    pub fn note_answer(&mut self, request: Fingerprints, now: Moment) -> Vec<QuarantineUpdate> {
        let mut updates = Vec::new();
        for fingerprint in [request.request, request.content] {
            let suspected = self
                .suspects
                .get_mut(&fingerprint)
                .filter(|s| s.crashes > 0);
            if let Some(suspect) = suspected {
                suspect.crashes = 0;
                suspect.until = None;
                suspect.changed = now;
                updates.push(suspect.update(fingerprint, now));
            }
        }
        updates
    }

    /// Applies another host's update; returns whether this changes whether the request
    /// may be sent.
    ///
    /// An update that arrives late must not undo a more recent answer.
    pub fn apply(&mut self, update: &QuarantineUpdate, now: Moment) -> bool {
        let at = now - update.age;
        let known = self.suspects.get(&update.request).copied();
        let accepted = match known {
            None => update.crashes > 0,
            Some(known) if update.crashes == 0 => {
                known.crashes > 0 && known.changed <= at + REPORT_DELAY
            }
            Some(known) if known.crashes > 0 && update.crashes > known.crashes => true,
            Some(known) => known.changed + REPORT_DELAY < at,
        };
        if !accepted {
            return false;
        }
        self.make_room(update.request);
        let learned = Suspect {
            crashes: update.crashes,
            changed: at,
            until: (update.crashes > 0).then(|| now + update.remaining),
            caller: None,
        };
        self.suspects.insert(update.request, learned);
        known.is_some_and(|k| k.until.is_some()) != learned.until.is_some()
    }

    /// Returns the updates to send to another host: current quarantines and recently
    /// cleared requests.
    pub fn updates(&self, now: Moment) -> Vec<QuarantineUpdate> {
        let sent = self.suspects.iter().filter(|(_, s)| s.is_sent(now));
        let mut updates: Vec<QuarantineUpdate> = sent
            .map(|(fingerprint, s)| s.update(*fingerprint, now))
            .collect();
        updates.sort_by_key(|f| f.age);
        updates.truncate(MAX_UPDATES);
        updates
    }

    /// Drops suspects that have caused no crash for a long time.
    pub fn forget(&mut self, now: Moment) {
        self.suspects.retain(|_, s| s.is_remembered(now));
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops the least suspicious request if there is no room for one more.
    ///
    /// During an outage thousands of different requests may fail. Those that failed once
    /// are dropped first, so that a request that keeps failing is kept.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let rank = |s: &Suspect| (s.until.is_some(), s.crashes, s.changed);
        let least = self.suspects.iter().min_by_key(|(_, s)| rank(s));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
