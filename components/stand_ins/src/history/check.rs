//! Checks a history against what the brief says must always hold.

use std::collections::BTreeMap;
use std::fmt;

use derives::{key, value};

use super::{Event, Record};

mod answers;
mod config;
mod servers;

/// One promise of the brief. The first nine are its lines, in its order.
#[key]
pub enum Check {
    /// Measuring backend servers stays within its budget.
    ProbeBudget,
    /// A cold backend server gets no more work than it can bear.
    Cold,
    /// A data centre that was taken out gets no new work.
    CentreOut,
    /// A caller gets the whole answer to its own request and no other.
    OwnAnswer,
    /// What is refused as "not run" did not run.
    NotRun,
    /// Non-idempotent work runs at most once.
    AtMostOnce,
    /// A backend server that is leaving gets no new work.
    ServerLeaving,
    /// A graceful shutdown cuts off no request.
    Shutdown,
    /// An accepted configuration is in force everywhere and never reverts.
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

/// A promise that was broken.
#[value]
pub struct Violation {
    /// The promise.
    pub check: Check,
    /// When, in microseconds since 1970.
    pub at: u64,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}: {}", self.check, self.at, self.seen)
    }
}

/// The figures that the promises leave open. Times are in microseconds.
#[value]
pub struct Limits {
    /// Parts in a thousand of a backend server's slot time that load reports may take.
    pub probe_permille: u64,
    /// Slot time that load reports may take besides, for the first ones after a start.
    pub probe_burst: u64,
    /// From a server's turning cold without a word until nobody may overload it.
    pub cold_notice: u64,
    /// From the acceptance of a leaving until nobody may send new work there.
    pub leave_notice: u64,
    /// From a change's acceptance until it must be in force everywhere.
    pub in_force: u64,
    /// From a call's deadline until its caller must have been told something.
    pub answer_slack: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            probe_permille: 5,
            probe_burst: 60_000,
            cold_notice: 2_000_000,
            leave_notice: 3_000_000,
            in_force: 5_000_000,
            answer_slack: 1_000_000,
        }
    }
}

/// Returns every broken promise in `records`, which are sorted by time.
pub fn check(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut faults = Vec::new();
    faults.extend(servers::probe_budget(records, limits));
    faults.extend(servers::overload(records, limits));
    faults.extend(servers::leaving(records, limits));
    faults.extend(answers::own_answer(records, limits));
    faults.extend(answers::not_run(records));
    faults.extend(answers::at_most_once(records));
    faults.extend(answers::shutdown(records));
    faults.extend(config::configuration(records, limits));
    faults.sort_by_key(|f| (f.check, f.at));
    faults
}

/// Returns how many faults each check found, also those that found none.
pub fn tally(faults: &[Violation]) -> BTreeMap<Check, usize> {
    let count = |check| faults.iter().filter(|f| f.check == check).count();
    Check::ALL.map(|check| (check, count(check))).into()
}

/// What the callers' events come to.
#[value]
#[derive(Default)]
pub struct Tally {
    /// Calls sent.
    pub calls: u64,
    /// Answered whole by a backend server.
    pub complete: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Answered as unknown.
    pub unknown: u64,
    /// Broken off.
    pub broken: u64,
    /// Not sent, since no connection could be opened.
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
