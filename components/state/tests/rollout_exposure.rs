//! How many requests a new version gets from all hosts together.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::fleet::rollout::evidence::CELLS;
use state::fleet::rollout::exposure::{ExposureBound, RAMP_TIME, ramp_fraction, route_factor};

const BOUND: ExposureBound = ExposureBound {
    fraction: 0.1,
    slack: 50.0,
};
const DURATION: Duration = Duration::from_secs(12);

/// Returns the requests of all hosts and those of the canary; `spread` is the share of the
/// requests that each host gets.
fn canary(seed: u64, rate: f64, spread: &[f64]) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut all, mut new) = (0, 0);
    for part in spread {
        let host_rate = rate * part;
        let share = 1.0 / spread.len() as f64;
        let fraction = BOUND.canary_fraction(host_rate, share, DURATION);
        let expected = host_rate * DURATION.as_secs_f64();
        let requests = expected as usize + usize::from(random.random_bool(expected.fract()));
        all += requests;
        new += (0..requests)
            .filter(|_| random.random::<f64>() < fraction)
            .count();
    }
    (all, new)
}

/// Callers are spread over hosts evenly, or nearly all come to one of them; rates go from 15
/// to 20,000 requests a second. The sum must stay under the bound without any coordination,
/// and the canary must not be so small that it shows nothing.
#[test]
fn sum_over_hosts() {
    for hosts in [3, 13, 106, 472] {
        for rate in [15.0, 370.0, 20_000.0] {
            let even = vec![1.0 / hosts as f64; hosts];
            let mut skewed = vec![0.1 / hosts as f64; hosts];
            skewed[0] += 0.9;
            for (seed, spread) in [(1, &even), (2, &skewed), (3, &skewed)] {
                let (all, new) = canary(seed, rate, spread);
                let allowed = all as f64 * BOUND.fraction + BOUND.slack;
                assert!(
                    (new as f64) < allowed * 0.75,
                    "{hosts} {rate}: {new} of {all}"
                );
                assert!(new as f64 > allowed * 0.1, "{hosts} {rate}: {new} of {all}");
            }
        }
    }
}

#[test]
fn fraction_stays_small() {
    let alone = BOUND.canary_fraction(0.0, 1.0, DURATION);
    assert!(alone <= 0.25);
    assert!(BOUND.canary_fraction(0.01, 1.0, DURATION) <= 0.25);
    let none = ExposureBound {
        fraction: 0.0,
        slack: 0.0,
    };
    assert_eq!(none.canary_fraction(100.0, 1.0, DURATION), 0.0);
}

/// A fault on a route with one request in twenty must not wait for as many canary requests as
/// one on all routes; the sum over all routes must stay the same.
#[test]
fn rare_routes() {
    let mut requests = [0; CELLS];
    requests[..3].copy_from_slice(&[900, 50, 50]);
    let factors: Vec<f64> = (0..3).map(|cell| route_factor(&requests, cell)).collect();
    assert!(factors[1] > 3.0 && factors[0] > 0.6, "{factors:?}");
    let mean = factors[0] * 0.9 + factors[1] * 0.05 + factors[2] * 0.05;
    assert!((mean - 1.0).abs() < 1e-9, "{mean}");
    let mut alone = [0; CELLS];
    alone[4] = 7;
    alone[5] = 0;
    assert_eq!(route_factor(&alone, 4), 1.0);
    assert_eq!(route_factor(&alone, 5), 1.0);
    assert_eq!(route_factor(&[0; CELLS], 0), 1.0);
}

/// The ramp must leave time to see a fault under load before the new version has everything.
#[test]
fn ramp_steps() {
    let fractions: Vec<f64> = (0..=5u32)
        .map(|n| ramp_fraction(RAMP_TIME - RAMP_TIME / 5 * n))
        .collect();
    assert!(fractions.is_sorted());
    assert!(fractions[0] <= 0.25);
    assert_eq!(fractions[5], 1.0);
}
