//! Checks of the answers that callers got.

use std::collections::{BTreeMap, BTreeSet};

use super::{Check, Limits, Violation};
use crate::history::{Event, Outcome, Record};

/// Checks that every call is answered in time, and that a complete answer belongs to its call.
///
/// A late answer is allowed if the call's entry host was gone in the meantime: killed, or
/// paused by the test.
pub(super) fn own_answer(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut open = BTreeMap::new();
    let mut gone: BTreeMap<&String, (u64, u64)> = BTreeMap::new();
    let report = |at, seen| Violation {
        check: Check::OwnAnswer,
        at,
        seen,
    };
    for record in records {
        match &record.event {
            Event::Sent {
                call,
                host,
                deadline_ms,
                ..
            } => {
                let end = record.at + deadline_ms * 1_000 + limits.answer_grace;
                open.insert(*call, (record.at, end, host));
            }
            Event::Gone { host } => {
                gone.insert(host, (record.at, u64::MAX));
            }
            Event::Up { host } => {
                if let Some(times) = gone.get_mut(host) {
                    times.1 = record.at;
                }
            }
            Event::Answered { call, outcome, own } => {
                match open.remove(call) {
                    None => {
                        violations.push(report(record.at, format!("call {call} answered twice")));
                    }
                    Some((sent, end, host))
                        if record.at > end && !was_gone(&gone, host, sent, record.at) =>
                    {
                        violations
                            .push(report(record.at, format!("call {call} answered too late")));
                    }
                    Some(_) => {}
                }
                if *outcome == Outcome::Complete && !own {
                    let seen =
                        format!("call {call} got an incomplete answer or that of another call");
                    violations.push(report(record.at, seen));
                }
            }
            _ => {}
        }
    }
    let unanswered = open.keys().map(|call| format!("call {call} not answered"));
    let last = records.last().map_or(0, |r| r.at);
    violations.extend(unanswered.map(|seen| report(last, seen)));
    violations
}

/// Returns whether `host` was gone at some time from `sent` to `answered`.
fn was_gone(gone: &BTreeMap<&String, (u64, u64)>, host: &String, sent: u64, answered: u64) -> bool {
    gone.get(host)
        .is_some_and(|(from, to)| *from < answered && *to > sent)
}

/// Checks that a call refused as not run never started, and that no call with the same key had
/// started before the refusal.
pub(super) fn not_run(records: &[Record]) -> Vec<Violation> {
    let keys: BTreeMap<u64, &String> = records.iter().filter_map(key_of).collect();
    let mut started_calls = BTreeSet::new();
    let mut started_keys = BTreeSet::new();
    let mut refused = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::Received {
                call,
                key,
                started: true,
                ..
            } => {
                started_calls.insert(*call);
                started_keys.extend(key.as_ref());
            }
            Event::Answered {
                call,
                outcome: Outcome::NotRun,
                ..
            } => {
                refused.insert(*call, record.at);
                let key = keys.get(call).filter(|key| started_keys.contains(*key));
                if let Some(key) = key {
                    violations.push(Violation {
                        check: Check::NotRun,
                        at: record.at,
                        seen: format!(
                            "call {call} was refused as not run, but its key {key} had run"
                        ),
                    });
                }
            }
            _ => {}
        }
    }
    let wrong = refused
        .into_iter()
        .filter(|(c, _)| started_calls.contains(c));
    violations.extend(wrong.map(|(call, at)| Violation {
        check: Check::NotRun,
        at,
        seen: format!("call {call} was refused as not run, but it was started"),
    }));
    violations
}

/// Checks that each non-idempotent call starts at most once, and that of all calls with one key
/// at most one starts.
pub(super) fn at_most_once(records: &[Record]) -> Vec<Violation> {
    let mut non_idempotent = BTreeSet::new();
    let mut started_calls = BTreeSet::new();
    let mut started_keys = BTreeSet::new();
    let mut violations = Vec::new();
    for record in records {
        let twice = match &record.event {
            Event::Sent {
                call,
                idempotent: false,
                ..
            } => {
                non_idempotent.insert(*call);
                None
            }
            Event::Received {
                call,
                key,
                started: true,
                ..
            } => {
                let first = started_calls.insert(*call) || !non_idempotent.contains(call);
                let first_key = key.as_ref().is_none_or(|key| started_keys.insert(key));
                match (first, first_key) {
                    (false, _) => Some(format!("call {call} started twice")),
                    (_, false) => Some(format!("call {call}: key {key:?} started twice")),
                    _ => None,
                }
            }
            _ => None,
        };
        violations.extend(twice.map(|seen| Violation {
            check: Check::AtMostOnce,
            at: record.at,
            seen,
        }));
    }
    violations
}

/// Checks that no call breaks at an entry host between its graceful shutdown and its next start.
pub(super) fn shutdown(records: &[Record]) -> Vec<Violation> {
    let mut sent_to = BTreeMap::new();
    let mut stopping = BTreeSet::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::Sent { call, host, .. } => {
                sent_to.insert(*call, host);
            }
            Event::Stopping { host } => {
                stopping.insert(host);
            }
            Event::Up { host } => {
                stopping.remove(host);
            }
            Event::Answered {
                call,
                outcome: Outcome::Broken,
                ..
            } => {
                let host = sent_to.get(call).filter(|host| stopping.contains(*host));
                violations.extend(host.map(|host| Violation {
                    check: Check::Shutdown,
                    at: record.at,
                    seen: format!("call {call} was cut off by {host}, which was shutting down"),
                }));
            }
            _ => {}
        }
    }
    violations
}

fn key_of(record: &Record) -> Option<(u64, &String)> {
    match &record.event {
        Event::Sent {
            call,
            key: Some(key),
            ..
        } => Some((*call, key)),
        _ => None,
    }
}
