//! Rate limits that endpoints advertise, and what hosts send them.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::fleet::rate_limit::{RateLimit, RateLimits, Source};
use state::{EndpointKey, Moment};

const ENDPOINT: EndpointKey = EndpointKey(7);

/// How often each host has a request to place.
const STEP: Duration = Duration::from_millis(20);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn rate(limit: Option<RateLimit>) -> Option<f64> {
    limit.map(|l| l.rate)
}

#[test]
fn named_and_ended() {
    let named = RateLimit::after(None, Some(1.5), Source::Request);
    assert_eq!(rate(named), Some(1.5));
    let changed = RateLimit::after(named, Some(0.5), Source::Probe);
    assert_eq!(rate(changed), Some(0.5));
    assert_eq!(RateLimit::after(changed, None, Source::Request), None);
    assert_eq!(RateLimit::after(changed, None, Source::Probe), None);
}

/// An endpoint whose health answers leave its limit out must not be taken for one without.
#[test]
fn silent_probes() {
    let named = RateLimit::after(None, Some(1.5), Source::Request);
    let probed = RateLimit::after(named, None, Source::Probe);
    assert_eq!(rate(probed), Some(1.5));
}

/// Hosts whose requests may all go to one endpoint that advertises a limit.
struct Fleet {
    hosts: Vec<RateLimits>,
    random: SmallRng,
    now: Moment,
    sent: Vec<Moment>,
}

impl Fleet {
    fn new(hosts: usize, seed: u64) -> Fleet {
        Fleet {
            hosts: (0..hosts).map(|_| RateLimits::default()).collect(),
            random: SmallRng::seed_from_u64(seed),
            now: Moment::from_millis(1_000),
            sent: Vec::new(),
        }
    }

    /// Has the endpoint tell all hosts its limit.
    fn tell(&mut self, rate: f64) {
        for host in &mut self.hosts {
            host.learn(ENDPOINT, Some(rate), Source::Request);
        }
    }

    /// Passes time, in which each host has requests where `busy`.
    fn pass(&mut self, time: Duration, busy: bool) {
        let end = self.now + time;
        let share = 1.0 / self.hosts.len() as f64;
        while self.now < end {
            for host in &mut self.hosts {
                let random = &mut self.random;
                let spent = host.spent(share, self.now, &mut || random.random());
                if busy && !spent.contains_key(&ENDPOINT) {
                    host.count(ENDPOINT, share, self.now);
                    self.sent.push(self.now);
                }
            }
            self.now = self.now + STEP;
        }
    }

    /// Returns the most requests in one window.
    fn busiest(&self) -> usize {
        let windows = self.sent.iter().map(|first| {
            let inside = |at: &&Moment| **at >= *first && at.since(*first) < WINDOW;
            self.sent.iter().filter(inside).count()
        });
        windows.max().unwrap_or_default()
    }
}

/// What an endpoint may get in a window, by the bound that users set.
fn granted(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// An endpoint in need must not get each host's requests as if there were no others, nor
/// stand idle since each host's quota is less than a request in seconds.
#[rstest]
fn sum_of_quotas(#[values(3, 13, 472)] hosts: usize, #[values(0.4, 1.2, 6.0)] rate: f64) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(hosts, seed);
        fleet.tell(rate);
        fleet.pass(Duration::from_secs(60), true);
        let most = fleet.busiest();
        assert!(most <= granted(rate), "{most} with seed {seed}");
        let all = fleet.sent.len() as f64;
        assert!(all >= rate * 60.0 * 0.6, "{all} with seed {seed}");
    }
}

/// What hosts had no use for in a calm minute must not come at once with a burst.
#[rstest]
fn burst_after_calm(#[values(3, 13, 472)] hosts: usize) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(hosts, seed);
        fleet.tell(1.2);
        fleet.pass(Duration::from_secs(60), false);
        fleet.pass(Duration::from_secs(10), true);
        let most = fleet.busiest();
        assert!(most <= granted(1.2), "{most} with seed {seed}");
    }
}

/// An endpoint that names another limit each second must get no more than the highest allows.
#[test]
fn changing_limit() {
    let mut fleet = Fleet::new(13, 3);
    for second in 0..30 {
        fleet.tell(0.5 + f64::from(second % 4) * 0.5);
        fleet.pass(Duration::from_secs(1), true);
    }
    assert!(fleet.busiest() <= granted(2.0));
    assert!(fleet.sent.len() >= 15);
}

/// Only an endpoint's answers tell that its limit has ended, so it must get a few requests
/// whatever it names.
#[test]
fn limit_nought() {
    let mut fleet = Fleet::new(13, 3);
    fleet.tell(0.0);
    fleet.pass(Duration::from_secs(100), true);
    let sent = fleet.sent.len();
    assert!((3..=12).contains(&sent), "{sent} requests in 100 s");
}

#[test]
fn limit_beyond_measure() {
    let mut fleet = Fleet::new(3, 3);
    fleet.tell(1e300);
    fleet.pass(Duration::from_secs(1), true);
    assert_eq!(fleet.sent.len(), 150);
}
