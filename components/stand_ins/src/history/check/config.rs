//! Checks of the configuration in force on entry hosts.

use std::collections::BTreeMap;

use super::{Check, Limits, Violation};
use crate::history::{Event, Record};

/// Checks that a change comes into force on every entry host in time, that a revision is the
/// same on all of them, and that revisions never revert.
pub(super) fn configuration(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut up: BTreeMap<&String, u64> = BTreeMap::new();
    let mut shown: BTreeMap<&String, u64> = BTreeMap::new();
    let mut presets = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        let (host, revision, preset) = match &record.event {
            Event::Ordered { revision, .. } => {
                accepted.push((record.at, *revision));
                continue;
            }
            Event::Up { host } => {
                up.insert(host, record.at);
                continue;
            }
            Event::Seen {
                host,
                revision,
                preset,
            } => (host, *revision, preset),
            _ => continue,
        };
        let mut report = |seen| {
            violations.push(Violation {
                check: Check::Configuration,
                at: record.at,
                seen,
            });
        };
        let before = shown.insert(host, revision).unwrap_or(0);
        if revision < before {
            report(format!("{host} went from revision {before} to {revision}"));
        }
        if presets.entry(revision).or_insert(preset) != &preset {
            report(format!(
                "{host} has preset {preset:?} in force at revision {revision}, which had another preset before"
            ));
        }
        let since = up.get(host).copied().unwrap_or(0);
        let due = |at: u64| at.max(since) + limits.apply_grace < record.at;
        let missing = accepted.iter().find(|(at, r)| *r > revision && due(*at));
        if let Some((_, missing)) = missing {
            report(format!(
                "{host} is at revision {revision}, but {missing} was accepted"
            ));
        }
    }
    violations
}
