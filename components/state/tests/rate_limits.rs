//! Rate limits advertised by endpoints, and what hosts send under them.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::fleet::rate_limit::{RateLimit, RateLimitUpdate, RateLimits, Source};
use state::fleet::token_buckets::HostPhase;
use state::{EndpointKey, Moment};

const ENDPOINT: EndpointKey = EndpointKey(7);

/// The interval between a host's requests.
const STEP: Duration = Duration::from_millis(20);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn rate(limit: Option<RateLimit>) -> Option<f64> {
    limit.map(|l| l.rate)
}

#[test]
fn advertised_and_ended() {
    let advertised = RateLimit::after(None, Some(1.5), Source::Request);
    assert_eq!(rate(advertised), Some(1.5));
    let changed = RateLimit::after(advertised, Some(0.5), Source::Probe);
    assert_eq!(rate(changed), Some(0.5));
    assert_eq!(RateLimit::after(changed, None, Source::Request), None);
    assert_eq!(RateLimit::after(changed, None, Source::Probe), None);
}

/// An endpoint that leaves its limit out of its answers to probes must still count as
/// limited.
#[test]
fn silent_probes() {
    let advertised = RateLimit::after(None, Some(1.5), Source::Request);
    let probed = RateLimit::after(advertised, None, Source::Probe);
    assert_eq!(rate(probed), Some(1.5));
}

/// Hosts that all have requests for one endpoint with a rate limit.
struct Fleet {
    hosts: Vec<RateLimits>,
    random: SmallRng,
    now: Moment,
    sent: Vec<Moment>,
    /// When the first host sent its requests.
    first: Vec<Moment>,
}

/// Returns hosts that have just started, on machines with this uptime.
fn started(hosts: usize, seed: u64, uptime: Duration) -> Vec<RateLimits> {
    let names = (0..hosts as u64).map(|n| seed * 1_000 + n);
    let phases = names.map(|host| HostPhase { host, uptime });
    phases.map(RateLimits::new).collect()
}

impl Fleet {
    fn new(hosts: usize, seed: u64) -> Fleet {
        Fleet {
            hosts: started(hosts, seed, Duration::ZERO),
            random: SmallRng::seed_from_u64(seed),
            now: Moment::from_millis(1_000),
            sent: Vec::new(),
            first: Vec::new(),
        }
    }

    /// Applies an answer with this limit at all hosts.
    fn advertise(&mut self, rate: f64) {
        for host in &mut self.hosts {
            host.observe(ENDPOINT, Some(rate), Source::Request);
        }
    }

    /// Advances the time by `time`; if `busy`, each host always has a request to send.
    fn pass(&mut self, time: Duration, busy: bool) {
        let end = self.now + time;
        let share = 1.0 / self.hosts.len() as f64;
        while self.now < end {
            for host in &mut self.hosts {
                let exhausted = host.exhausted(share, self.now);
                if busy && !exhausted.contains_key(&ENDPOINT) {
                    host.count(ENDPOINT, share, self.now);
                    self.sent.push(self.now);
                }
            }
            self.now = self.now + STEP;
        }
    }

    /// Advances the time by `time` with a request at a random host each millisecond. The
    /// host sends one in a hundred to the endpoint, or, once it knows a limit, each one
    /// for which it has a token. The endpoint's answer carries what `rate` returns for
    /// the host.
    fn requests(&mut self, time: Duration, rate: impl Fn(usize) -> Option<f64>) {
        let end = self.now + time;
        let share = 1.0 / self.hosts.len() as f64;
        while self.now < end {
            let at = self.random.random_range(0..self.hosts.len());
            let host = &mut self.hosts[at];
            let random = &mut self.random;
            let chosen = host.contains(ENDPOINT) || random.random_ratio(1, 100);
            let exhausted = host.exhausted(share, self.now);
            if chosen && !exhausted.contains_key(&ENDPOINT) {
                host.count(ENDPOINT, share, self.now);
                self.sent.push(self.now);
                if at == 0 {
                    self.first.push(self.now);
                }
                let update = host.observe(ENDPOINT, rate(at), Source::Request);
                self.send_others(at, update);
            }
            self.now = self.now + Duration::from_millis(1);
        }
    }

    fn send_others(&mut self, from: usize, update: Option<RateLimitUpdate>) {
        let others = self.hosts.iter_mut().enumerate();
        for (_, host) in others.filter(|(at, _)| *at != from) {
            if let Some(update) = &update {
                host.apply(update);
            }
        }
    }

    /// Returns the largest number of requests in any window.
    fn busiest(&self) -> usize {
        busiest(&self.sent)
    }
}

fn busiest(sent: &[Moment]) -> usize {
    let windows = sent.iter().map(|first| {
        let inside = |at: &&Moment| **at >= *first && at.since(*first) < WINDOW;
        sent.iter().filter(inside).count()
    });
    windows.max().unwrap_or_default()
}

/// Returns how many requests an endpoint may get in a window, by the operators' bound.
fn granted(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// A limited endpoint must not get each host's requests as if there were no other hosts,
/// nor be idle because each host's quota is less than a request in seconds.
#[rstest]
fn sum_of_quotas(#[values(3, 13, 472)] hosts: usize, #[values(0.4, 1.2, 6.0)] rate: f64) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(hosts, seed);
        fleet.advertise(rate);
        fleet.pass(Duration::from_secs(60), true);
        let most = fleet.busiest();
        assert!(most <= granted(rate), "{most} with seed {seed}");
        let all = fleet.sent.len() as f64;
        assert!(all >= rate * 60.0 * 0.6, "{all} with seed {seed}");
    }
}

/// Hosts that are killed again and again forget what they sent. The ones that start must not send
/// an endpoint its limit once more.
#[rstest]
fn killed_repeatedly(
    #[values(3, 13, 472)] hosts: usize,
    #[values(0.4, 1.2, 6.0)] rate: f64,
    #[values(700, 1_500, 4_000)] lifetime: u64,
) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(hosts, seed);
        fleet.advertise(rate);
        fleet.pass(Duration::from_secs(10), true);
        for _ in 0..10 {
            fleet.hosts = started(hosts, seed, Duration::ZERO);
            fleet.advertise(rate);
            fleet.pass(Duration::from_millis(lifetime), true);
        }
        let most = fleet.busiest();
        assert!(most <= granted(rate), "{most} with seed {seed}");
    }
}

/// Quotas unused in a quiet minute must not all be used at once in a burst.
#[rstest]
fn burst_after_calm(#[values(3, 13, 472)] hosts: usize) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(hosts, seed);
        fleet.advertise(1.2);
        fleet.pass(Duration::from_secs(60), false);
        fleet.pass(Duration::from_secs(10), true);
        let most = fleet.busiest();
        assert!(most <= granted(1.2), "{most} with seed {seed}");
    }
}

/// An endpoint whose limit changes each second must not get more than the highest limit
/// allows.
#[test]
fn changing_limit() {
    let mut fleet = Fleet::new(13, 3);
    for second in 0..30 {
        fleet.advertise(0.5 + f64::from(second % 4) * 0.5);
        fleet.pass(Duration::from_secs(1), true);
    }
    assert!(fleet.busiest() <= granted(2.0));
    assert!(fleet.sent.len() >= 15);
}

/// An endpoint must get a few requests even with a limit of zero, since only its answers
/// show that the limit has ended.
#[test]
fn limit_zero() {
    let mut fleet = Fleet::new(13, 3);
    fleet.advertise(0.0);
    fleet.pass(Duration::from_secs(100), true);
    let sent = fleet.sent.len();
    assert!((3..=12).contains(&sent), "{sent} requests in 100 s");
}

#[test]
fn huge_limit() {
    let mut fleet = Fleet::new(3, 3);
    fleet.advertise(1e300);
    fleet.pass(Duration::from_secs(1), true);
    assert_eq!(fleet.sent.len(), 150);
}

fn learned(limits: &mut RateLimits, rate: Option<f64>) -> Option<Option<f64>> {
    let update = limits.observe(ENDPOINT, rate, Source::Request);
    update.map(|a| a.rate)
}

/// Hosts that rarely send requests to an endpoint must receive its limit and the end of
/// it, but not every repetition.
#[test]
fn sent_once() {
    let mut limits = RateLimits::default();
    assert_eq!(learned(&mut limits, None), None);
    assert_eq!(learned(&mut limits, Some(2.0)), Some(Some(2.0)));
    assert_eq!(learned(&mut limits, Some(2.2)), None);
    assert_eq!(learned(&mut limits, Some(3.0)), Some(Some(3.0)));
    assert_eq!(learned(&mut limits, None), Some(None));
    assert!(!limits.contains(ENDPOINT));
}

/// An endpoint advertises its limit to one host only. Updates from other hosts that saw
/// no limit must not make that host exceed it.
#[test]
fn advertised_to_one() {
    for hosts in [3, 13] {
        let mut fleet = Fleet::new(hosts, 3);
        fleet.requests(Duration::from_secs(60), |host| (host == 0).then_some(1.2));
        let most = busiest(&fleet.first);
        assert!(
            most <= granted(1.2),
            "{most} from the first host of {hosts}"
        );
    }
}

#[test]
fn ended_elsewhere() {
    let mut limits = RateLimits::default();
    learned(&mut limits, Some(1.5));
    limits.apply(&RateLimitUpdate {
        endpoint: ENDPOINT,
        rate: None,
    });
    assert!(!limits.contains(ENDPOINT));
}

/// Each of hundreds of hosts sends an endpoint one request in minutes. The endpoint must
/// not get all of them because no host knows its limit, nor be idle for minutes after the
/// limit has ended.
#[test]
fn rare_requests() {
    let mut fleet = Fleet::new(472, 3);
    fleet.requests(Duration::from_secs(60), |_| Some(1.2));
    let most = fleet.busiest();
    assert!(most <= granted(1.2), "{most} requests in {WINDOW:?}");
    let all = fleet.sent.len();
    assert!(all >= 40, "{all} requests in a minute");
    fleet.requests(Duration::from_secs(10), |_| None);
    assert!(fleet.hosts.iter().all(|host| !host.contains(ENDPOINT)));
}
