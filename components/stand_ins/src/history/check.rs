//! Checks a history against the guarantees of the brief.

use std::collections::BTreeMap;
use std::fmt;

use derives::{key, value};

use super::{Event, Record};

mod answers;
mod config;
mod servers;

/// A guarantee. The first nine are the brief's, in its order.
#[key]
pub enum Check {
    /// Probes of backend servers stay within their budget.
    ProbeBudget,
    /// A cold backend server gets no more calls than it can run.
    Cold,
    /// A data centre that has left gets no new work.
    CentreOut,
    /// A caller gets the complete answer to its own request, and no other answer.
    OwnAnswer,
    /// A call refused as "not run" did not run.
    NotRun,
    /// Non-idempotent work runs at most once.
    AtMostOnce,
    /// A backend server that is leaving gets no new work.
    ServerLeaving,
    /// A graceful shutdown breaks no request.
    Shutdown,
    /// An accepted configuration comes into force on every entry host and never reverts.
    Configuration,
    /// No backend server gets more calls at once than it has slots.
    Slots,
}

impl Check {
    /// All checks.
    pub const ALL: [Check; 10] = [
        Check::ProbeBudget,
        Check::Cold,
        Check::CentreOut,
        Check::OwnAnswer,
        Check::NotRun,
        Check::AtMostOnce,
        Check::ServerLeaving,
        Check::Shutdown,
        Check::Configuration,
        Check::Slots,
    ];
}

/// A violation of a guarantee.
#[value]
pub struct Violation {
    /// The guarantee.
    pub check: Check,
    /// The time, in microseconds since 1970.
    pub at: u64,
    /// What was observed.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}: {}", self.check, self.at, self.seen)
    }
}

/// The limits that the guarantees leave open. Times are in microseconds.
#[value]
pub struct Limits {
    /// Fraction of a backend server's slot time that load reports may take, in thousandths.
    pub probe_permille: u64,
    /// Additional slot time that load reports may take, for the first ones after a start.
    pub probe_burst: u64,
    /// Time after a server turns cold, unannounced, in which it may still be overloaded.
    pub cold_grace: u64,
    /// Time in which new work may still arrive at what is leaving, from the start of its leaving.
    pub leave_grace: u64,
    /// Time after a change is accepted by which it must be in force on every entry host.
    pub apply_grace: u64,
    /// Time after a call's deadline by which its caller must have got an answer or an error.
    pub answer_grace: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            probe_permille: 5,
            probe_burst: 60_000,
            cold_grace: 2_000_000,
            leave_grace: 3_000_000,
            apply_grace: 5_000_000,
            answer_grace: 1_000_000,
        }
    }
}

/// Returns every violation in `records`, which must be sorted by time.
pub fn check(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(servers::probe_budget(records, limits));
    violations.extend(servers::overload(records, limits));
    violations.extend(servers::leaving(records, limits));
    violations.extend(answers::own_answer(records, limits));
    violations.extend(answers::not_run(records));
    violations.extend(answers::at_most_once(records));
    violations.extend(answers::shutdown(records));
    violations.extend(config::configuration(records, limits));
    violations.sort_by_key(|v| (v.check, v.at));
    violations
}

/// Returns the number of violations that each check found, including zeros.
pub fn tally(violations: &[Violation]) -> BTreeMap<Check, usize> {
    let count = |check| violations.iter().filter(|v| v.check == check).count();
    Check::ALL.map(|check| (check, count(check))).into()
}

/// Counts of the callers' events.
#[value]
#[derive(Default)]
pub struct Tally {
    /// Calls sent.
    pub calls: u64,
    /// Calls with a complete answer of a backend server.
    pub complete: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls answered with an unknown outcome.
    pub unknown: u64,
    /// Calls whose connection broke.
    pub broken: u64,
    /// Calls not sent because no connection could be opened.
    pub unreachable: u64,
}

impl Tally {
    /// Counts the calls in `records`.
    pub fn of(records: &[Record]) -> Tally {
        use super::Outcome;
        let mut tally = Tally::default();
        for record in records {
            let counter = match &record.event {
                Event::Sent { .. } => &mut tally.calls,
                Event::Answered { outcome, .. } => match outcome {
                    Outcome::Complete => &mut tally.complete,
                    Outcome::NotRun => &mut tally.refused,
                    Outcome::Unknown => &mut tally.unknown,
                    Outcome::Broken => &mut tally.broken,
                    Outcome::Unreachable => &mut tally.unreachable,
                },
                _ => continue,
            };
            *counter += 1;
        }
        tally
    }
}
