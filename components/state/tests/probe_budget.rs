//! The cost of probes for backend servers.

use std::time::Duration;

use state::Moment;
use state::probe::{PROBE_SHARE_PERMILLE, ProbeBudget};

const COST: Duration = Duration::from_millis(6);
const SLOTS: u32 = 6;

/// On a busy machine with late heartbeats a backend server changes its owner every 250
/// ms, and each new owner wants to probe it at once. The probes must stay within the
/// budget, or the server's callers wait while it answers load reports.
#[test]
fn owners_change() {
    let start = Moment::from_millis(1_000);
    let mut probes = 0;
    let mut budget = ProbeBudget::new(SLOTS, COST, start);
    for millis in 0..10_000 {
        let now = start + Duration::from_millis(millis);
        if millis % 250 == 0 {
            budget = ProbeBudget::new(SLOTS, COST, now);
        }
        probes += u32::from(budget.take(true, now));
    }
    let slot_time = Duration::from_secs(10) * SLOTS;
    assert!(probes > 0);
    assert!(
        COST * probes <= slot_time * PROBE_SHARE_PERMILLE / 1_000,
        "{probes} probes"
    );
}
