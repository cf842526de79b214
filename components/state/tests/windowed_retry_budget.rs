//! The budget of retries within a window, over all hosts together.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::Moment;
use state::fleet::WindowedRetryBudget;
use state::fleet::retry_budget::RetryBounds;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// A failing service's requests would all be retried, at hosts that are unevenly loaded,
/// are killed and restart, and don't communicate. Without a bound on the total, the
/// retries keep the service down.
#[test]
fn sum_of_hosts() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = 13;
        let mut budgets: Vec<WindowedRetryBudget> = (0..hosts)
            .map(|_| WindowedRetryBudget::new(BOUNDS, Moment(0)))
            .collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for step in 0..40_000u64 {
            let now = Moment::from_millis(step);
            if step == 20_000 {
                budgets = vec![WindowedRetryBudget::new(BOUNDS, now); hosts];
            }
            if !random.random_bool(0.1) {
                continue;
            }
            let host = random
                .random_range(0..hosts)
                .min(random.random_range(0..hosts));
            budgets[host].count(now);
            requests.push(step);
            if budgets[host].take(1.0 / hosts as f64, now) {
                retries.push(step);
            }
        }
        for from in (0..30_000).step_by(100) {
            let within = |times: &[u64]| {
                times
                    .iter()
                    .filter(|t| (from..from + 10_000).contains(*t))
                    .count()
            };
            let allowed = within(&requests) as f64 * BOUNDS.ratio + BOUNDS.slack;
            assert!(
                within(&retries) as f64 <= allowed,
                "seed {seed} from {from}"
            );
        }
        assert!(
            retries.len() * 7 > requests.len(),
            "seed {seed}: hardly any retries"
        );
    }
}

/// A host without requests has nothing to retry but its share of the slack.
#[test]
fn idle_host() {
    let mut budget = WindowedRetryBudget::new(BOUNDS, Moment(0));
    assert!(!budget.take(0.1, Moment::from_millis(1)));
    assert!(budget.take(0.1, Moment::from_millis(10_001)));
}
