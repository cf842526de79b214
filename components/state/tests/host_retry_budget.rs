//! The budget of retries within a window, over all hosts together.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::fleet::HostRetryBudget;
use state::fleet::retry_budget::{HostPart, RetryBounds};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 56.0,
};

/// The window in which operators count retries.
const WINDOW: Duration = Duration::from_secs(10);

/// Returns the part of one of `hosts` equal hosts.
fn equal_part(hosts: usize) -> HostPart {
    HostPart {
        share: 1.0 / hosts as f64,
        hosts,
    }
}

/// A failing service's requests would all be retried, at hosts that are unevenly loaded,
/// are killed and restart, and don't communicate. Without a bound on the total, the
/// retries keep the service down.
#[test]
fn sum_of_hosts() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = 13;
        let mut budgets: Vec<HostRetryBudget> =
            (0..hosts).map(|_| HostRetryBudget::new(BOUNDS)).collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for step in 0..40_000u64 {
            if step == 20_000 {
                budgets = vec![HostRetryBudget::restarted(BOUNDS); hosts];
            }
            if !random.random_bool(0.1) {
                continue;
            }
            let host = random
                .random_range(0..hosts)
                .min(random.random_range(0..hosts));
            budgets[host].count(equal_part(hosts));
            requests.push(step);
            if budgets[host].take(equal_part(hosts)) {
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

/// A host that starts doesn't know what it sent before it was killed.
#[test]
fn idle_host() {
    let mut budget = HostRetryBudget::restarted(BOUNDS);
    assert!(!budget.take(equal_part(10)));
    for _ in 0..5 {
        budget.count(equal_part(10));
    }
    assert!(!budget.take(equal_part(10)), "less than a whole retry");
    budget.count(equal_part(10));
    assert!(budget.take(equal_part(10)));
}

/// When a whole site starts, its hosts have their parts of the slack before any request.
#[test]
fn site_start() {
    let mut retries = 0;
    for _ in 0..13 {
        let mut budget = HostRetryBudget::new(BOUNDS);
        while budget.take(equal_part(13)) {
            retries += 1;
        }
    }
    assert_eq!(retries, 52);
}

/// A host that never learned its share still retries at the rate of its requests.
#[test]
fn unknown_share() {
    let unknown = HostPart {
        share: 0.0,
        hosts: 1,
    };
    let mut budget = HostRetryBudget::restarted(BOUNDS);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.count(unknown);
        retries += usize::from(budget.take(unknown));
    }
    assert!((150..=200).contains(&retries), "{retries} retries");
}

/// A share that shrinks takes what was saved with it.
#[test]
fn smaller_share() {
    let mut budget = HostRetryBudget::new(BOUNDS);
    let part = HostPart {
        share: 0.0,
        hosts: 13,
    };
    assert!(budget.take(part));
    assert!(!budget.take(part));
}

/// The hosts of a site, their shares and loads, in virtual time.
struct Site {
    random: StdRng,
    bounds: RetryBounds,
    budgets: Vec<HostRetryBudget>,
    /// The time, in milliseconds, from which each host receives requests.
    up_from: Vec<u64>,
    parts: Vec<HostPart>,
    /// The hosts that callers use, some more than once.
    callers: Vec<usize>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Site {
    fn new(hosts: usize, slack: f64, seed: u64) -> Site {
        let bounds = RetryBounds { slack, ..BOUNDS };
        Site {
            random: StdRng::seed_from_u64(seed),
            bounds,
            budgets: vec![HostRetryBudget::new(bounds); hosts],
            up_from: vec![0; hosts],
            parts: vec![equal_part(hosts); hosts],
            callers: (0..hosts).collect(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Sends a request to the host of a random caller; a failed one is retried if allowed.
    fn request(&mut self, now: u64, failing: f64) {
        self.requests.push(now);
        let caller = self.random.random_range(0..self.callers.len());
        let host = self.callers[caller];
        if self.up_from[host] > now {
            return;
        }
        self.budgets[host].count(self.parts[host]);
        if self.random.random_bool(failing) && self.budgets[host].take(self.parts[host]) {
            self.retries.push(now);
        }
    }

    /// Returns a random part of the hosts.
    fn choose(&mut self, fraction: f64) -> Vec<usize> {
        let mut hosts: Vec<usize> = (0..self.budgets.len()).collect();
        hosts.shuffle(&mut self.random);
        hosts.truncate((hosts.len() as f64 * fraction).ceil() as usize);
        hosts
    }

    /// Kills a part of the hosts; they are back after `down` milliseconds.
    fn kill(&mut self, fraction: f64, down: u64, now: u64) {
        for host in self.choose(fraction) {
            self.budgets[host] = HostRetryBudget::restarted(self.bounds);
            self.up_from[host] = now + down;
        }
    }

    /// Moves all callers to a part of the hosts.
    fn move_callers(&mut self, fraction: f64) {
        self.callers = self.choose(fraction);
    }

    /// Assigns the shares to a part of the hosts, as when the others' sessions have ended.
    fn move_shares(&mut self, fraction: f64) {
        let members = self.choose(fraction);
        for part in &mut self.parts {
            part.share = 0.0;
        }
        for host in &members {
            self.parts[*host].share = 1.0 / members.len() as f64;
        }
    }

    /// Sends a request each millisecond; none fails for 20 seconds, and all do for 25.
    ///
    /// Calls `event` with each time before its request.
    fn fail_after_calm(&mut self, mut event: impl FnMut(&mut Site, u64)) {
        for now in 0..45_000 {
            event(self, now);
            let failing = if now < 20_000 { 0.0 } else { 1.0 };
            self.request(now, failing);
        }
    }

    /// Fails if any window has more retries than are granted.
    fn check(&self, what: &str) {
        let window = WINDOW.as_millis() as u64;
        let since = |times: &[u64], after: u64| times.partition_point(|t| *t <= after);
        let within =
            |times: &[u64], end: u64| since(times, end) - since(times, end.saturating_sub(window));
        for (number, end) in self.retries.iter().copied().enumerate() {
            let retries = number + 1 - since(&self.retries, end.saturating_sub(window));
            let requests = [0, window / 2, window]
                .map(|earlier| within(&self.requests, end.saturating_sub(earlier)));
            let most = requests.into_iter().max().unwrap_or_default() as f64;
            let allowed = most * self.bounds.ratio + self.bounds.slack;
            assert!(
                retries as f64 <= allowed,
                "{what}: {retries} retries in the window to {end} ms, {allowed:.0} allowed"
            );
        }
    }
}

/// After a calm time all requests fail, then hosts are killed and start anew. What the killed
/// ones have sent is forgotten; the requests after it must not earn it once more.
#[rstest]
fn killed_after_calm(
    #[values(13, 97, 984)] hosts: usize,
    #[values(0.3, 0.55, 1.0)] killed: f64,
    #[values(500, 2_500, 6_000)] after: u64,
) {
    let mut site = Site::new(hosts, hosts as f64 + 44.0, 1);
    site.fail_after_calm(|site, now| {
        if now == 20_000 + after {
            site.kill(killed, 500, now);
        }
    });
    site.check("killed");
}

/// After a calm time all requests fail, and all callers move from one half of the hosts to the
/// other. What the first half has sent must not be earned by the second one.
#[rstest]
fn moved_after_calm(#[values(18, 97, 984)] hosts: usize) {
    let mut site = Site::new(hosts, hosts as f64 + 44.0, 2);
    let (first, second): (Vec<usize>, Vec<usize>) = (0..hosts).partition(|n| n * 2 < hosts);
    site.callers = first;
    site.fail_after_calm(|site, now| {
        if now == 22_500 {
            site.callers.clone_from(&second);
        }
    });
    site.check("moved");
}

/// Hosts that get others' shares of the slack must not spend them while what the others have
/// spent is still in the window.
#[rstest]
fn shares_moved(#[values(13, 97, 984)] hosts: usize) {
    let mut site = Site::new(hosts, hosts as f64 + 200.0, 3);
    site.fail_after_calm(|site, now| {
        if now >= 20_000 && now % 1_500 == 0 {
            site.move_shares(0.2);
        }
    });
    site.check("shares moved");
}

/// Kills, starts, moves of callers and of shares, calm and failing times and bursts in any
/// sequence: no window has more retries than are granted.
#[rstest]
fn any_sequence(#[values(13, 97, 472, 984)] hosts: usize) {
    for seed in 0..30 {
        let mut site = Site::new(hosts, hosts as f64 + 44.0, seed);
        let mut failing = 0.0;
        let mut load = 1;
        for now in 0..60_000 {
            if now % 250 == 0 && site.random.random_bool(0.3) {
                let fraction = site.random.random_range(0.05..1.0);
                match site.random.random_range(0..6) {
                    0 => {
                        let down = site.random.random_range(0..3_000);
                        site.kill(fraction, down, now);
                    }
                    1 => site.move_callers(fraction),
                    2 => site.move_shares(fraction),
                    3 => load = site.random.random_range(0..4),
                    4 => failing = 0.0,
                    _ => failing = fraction,
                }
            }
            for _ in 0..load {
                site.request(now, failing);
            }
        }
        site.check(&format!("seed {seed}"));
    }
}
