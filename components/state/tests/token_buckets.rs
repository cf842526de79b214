//! How many requests a cold endpoint gets from all hosts together.

use std::time::Duration;

use state::fleet::TokenBuckets;
use state::fleet::token_buckets::{HostPhase, Quota};
use state::{EndpointKey, Moment};

const ENDPOINT: EndpointKey = EndpointKey(7);
const RATE: f64 = 3.0;
const STEP: Duration = Duration::from_millis(10);

/// Returns the buckets of hosts that have just started.
fn started(hosts: usize, seed: u64) -> Vec<TokenBuckets> {
    let names = (0..hosts as u64).map(|n| seed * 1_000 + n);
    let phases = names.map(|host| HostPhase {
        host,
        uptime: Duration::ZERO,
    });
    phases.map(TokenBuckets::new).collect()
}

/// Returns how many requests a cold endpoint gets in each of thirty seconds, if all of
/// `hosts` hosts have requests for it from `from` on.
fn sent(hosts: usize, from: Duration, seed: u64) -> Vec<usize> {
    let mut buckets = started(hosts, seed);
    let quota = Quota::cold(RATE, 1.0 / hosts as f64);
    let start = Moment::from_millis(1_000);
    let mut seconds = vec![0; 30];
    for step in 0..3_000 {
        let passed = STEP * step;
        let now = start + passed;
        for bucket in &mut buckets {
            let sent = match passed < from {
                true => {
                    bucket.has(ENDPOINT, quota, now);
                    false
                }
                false => bucket.take(ENDPOINT, quota, now),
            };
            seconds[passed.as_secs() as usize] += usize::from(sent);
        }
    }
    seconds
}

/// With hundreds of hosts the interval between two tokens is longer than any cold phase.
/// If it is cut to half a minute, the endpoint gets several times its rate.
#[test]
fn hundreds_of_hosts() {
    for hosts in [13, 100, 472, 1_000] {
        let all = sent(hosts, Duration::ZERO, 5);
        let granted = RATE * all.len() as f64;
        let total = all.iter().sum::<usize>() as f64;
        assert!(total <= granted * 1.3, "{hosts} hosts sent {total}");
        assert!(total >= granted * 0.6, "{hosts} hosts sent {total}");
    }
}

/// Hosts that had no requests for a cold endpoint get a flood of them. If all hosts use
/// saved tokens within one second, the endpoint fails.
#[test]
fn flood_after_calm() {
    for (hosts, slack) in [(13, 5), (103, 8), (472, 10)] {
        let bound = (RATE * 1.5) as usize + slack;
        for seed in 0..50 {
            let all = sent(hosts, Duration::from_secs(10), seed);
            let most = all.into_iter().max().unwrap_or_default();
            assert!(
                most <= bound,
                "{hosts} hosts sent {most} in a second, seed {seed}"
            );
        }
    }
}

/// All hosts are killed again and again while a cold endpoint is asked for at each. What they sent
/// is forgotten, and must not be sent once more within the same second.
#[test]
fn killed_repeatedly() {
    for (hosts, slack) in [(13, 5), (103, 8), (472, 10)] {
        let bound = (RATE * 1.5) as usize + slack;
        for seed in 0..50 {
            let quota = Quota::cold(RATE, 1.0 / f64::from(hosts));
            let mut buckets = started(hosts as usize, seed);
            let mut sent = Vec::new();
            for step in 0..2_000 {
                let now = Moment::from_millis(1_000) + STEP * step;
                if step % 70 == 0 {
                    buckets = started(hosts as usize, seed);
                }
                for bucket in &mut buckets {
                    if bucket.take(ENDPOINT, quota, now) {
                        sent.push(now);
                    }
                }
            }
            let second = Duration::from_secs(1);
            let within = |first: &Moment| {
                let inside = |at: &&Moment| **at >= *first && at.since(*first) < second;
                sent.iter().filter(inside).count()
            };
            let most = sent.iter().map(within).max().unwrap_or_default();
            assert!(most <= bound, "{hosts} hosts sent {most}, seed {seed}");
        }
    }
}

/// A host that sees an endpoint before it knows its own share must not leave it out for a
/// day.
#[test]
fn share_known_late() {
    let mut buckets = TokenBuckets::default();
    let start = Moment::from_millis(1_000);
    assert!(!buckets.take(ENDPOINT, Quota::cold(RATE, 0.0), start));
    let quota = Quota::cold(RATE, 0.1);
    let steps = (0..1_000).map(|step| start + STEP * step);
    let sent = steps.filter(|now| buckets.take(ENDPOINT, quota, *now));
    assert!(sent.count() >= 2);
}
