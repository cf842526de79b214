//! Shares of a service's capacity, computed by one host from the reports of all.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::shares::home::ShareHome;
use coordination::shares::host::HostShares;
use coordination::shares::{self, MAX_ROWS, ShareKey, ShareLimits, max_min_level};
use state::{FlowKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);
const SERVICE: ServiceKey = ServiceKey(5);
const HEAVY: FlowKey = FlowKey(1);
const HOSTS: usize = 20;

fn key(flow: FlowKey) -> ShareKey {
    ShareKey { priority: 1, flow }
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 7_000))
}

/// Hosts of which all have requests of the heavy flow, and each one of a light flow.
struct Site {
    hosts: Vec<HostShares>,
    home: ShareHome,
    now: Moment,
}

impl Site {
    fn new() -> Site {
        Site {
            hosts: vec![HostShares::default(); HOSTS],
            home: ShareHome::default(),
            now: START,
        }
    }

    /// Runs for a time; of the heavy flow's requests each host places every fourth.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(25);
            let round = self.now.0 / 25_000;
            for (number, host) in self.hosts.iter_mut().enumerate() {
                host.note_waiting(SERVICE, self.now);
                host.count_wanted(SERVICE, key(HEAVY), self.now);
                if round.is_multiple_of(4) {
                    host.count_placed(SERVICE, key(HEAVY), self.now);
                }
                if number < 2 && round.is_multiple_of(5) {
                    let light = key(FlowKey(2 + number as u64));
                    host.count_wanted(SERVICE, light, self.now);
                    host.count_placed(SERVICE, light, self.now);
                }
            }
        }
    }

    fn exchange(&mut self) -> ShareLimits {
        let lifetime = shares::lifetime(HOSTS);
        let mut last = None;
        for number in 0..HOSTS {
            let report = self.hosts[number].report(SERVICE, 1, self.now);
            let limits = self
                .home
                .report_received(address(number), report, lifetime, self.now);
            last = Some(limits);
            self.now = self.now + Duration::from_millis(31);
        }
        let limits = last.expect("there are hosts");
        for host in &mut self.hosts {
            host.limits_received(&limits, lifetime, self.now);
        }
        limits
    }
}

/// Who asks for little gets it all, and the rest is divided equally; anything else lets one
/// account take from others.
#[test]
fn max_min() {
    assert!((max_min_level(10.0, [1.0, 2.0, 20.0, 30.0]) - 3.5).abs() < 1e-9);
    assert!((max_min_level(9.0, [5.0, 5.0, 5.0]) - 3.0).abs() < 1e-9);
    assert!(max_min_level(10.0, [1.0, 2.0]).is_infinite());
    assert!(max_min_level(0.0, []).is_infinite());
}

/// A heavy account at twenty hosts would get a turn at each of them, the light ones at one
/// host each. It must be held back, and the light ones not.
#[test]
fn heavy_held() {
    let mut site = Site::new();
    site.run(Duration::from_secs(3));
    let limits = site.exchange();
    let rows: Vec<_> = limits.rows.iter().map(|row| row.key.flow).collect();
    assert_eq!(rows, [HEAVY]);
    site.hosts[0].count_placed(SERVICE, key(HEAVY), site.now);
    let held = site.hosts[0].held_for(SERVICE, key(HEAVY), site.now);
    assert!(held.is_some());
    let light = site.hosts[0].held_for(SERVICE, key(FlowKey(2)), site.now);
    assert_eq!(light, None);
}

/// All hosts together must place as many requests of a held account as its share allows,
/// or capacity lies idle.
#[test]
fn whole_share() {
    let mut site = Site::new();
    site.run(Duration::from_secs(3));
    let row = site.exchange().rows[0];
    let mut placed = 0.0;
    let lifetime = shares::lifetime(HOSTS);
    let end = site.now + lifetime;
    while site.now < end {
        for host in &mut site.hosts {
            if host.held_for(SERVICE, key(HEAVY), site.now).is_none() {
                host.count_placed(SERVICE, key(HEAVY), site.now);
                placed += 1.0;
            }
        }
        site.now = site.now + Duration::from_millis(1);
    }
    let entitled = row.share * lifetime.as_secs_f64();
    // Each host's first credit is one that it may have saved up.
    assert!(placed >= entitled * 0.8, "{placed} of {entitled}");
    assert!(
        placed <= entitled + HOSTS as f64 * 2.0,
        "{placed} of {entitled}"
    );
}

/// When the computing host is lost, limits that no longer fit must not hold requests: after
/// their lifetime the turns at each host apply.
#[test]
fn limits_lapse() {
    let mut site = Site::new();
    site.run(Duration::from_secs(3));
    site.exchange();
    let host = &mut site.hosts[0];
    host.count_placed(SERVICE, key(HEAVY), site.now);
    assert!(host.is_contended(SERVICE, site.now));
    let later = site.now + shares::lifetime(HOSTS);
    assert_eq!(host.held_for(SERVICE, key(HEAVY), later), None);
    assert!(!host.is_contended(SERVICE, later));
}

/// Reports of a lost host must not count for longer than their lifetime, or its part of the
/// shares lies idle.
#[test]
fn outdated_reports() {
    let mut site = Site::new();
    site.run(Duration::from_secs(3));
    site.exchange();
    let later = site.now + shares::lifetime(HOSTS) * 2;
    let report = site.hosts[0].report(SERVICE, 1, later);
    let lifetime = shares::lifetime(HOSTS);
    let limits = site
        .home
        .report_received(address(0), report, lifetime, later);
    assert_eq!(limits.waiting, 1);
}

/// An urgent flow gets all that it asks for; the less urgent ones divide the rest, and keep
/// a small part so that they aren't starved.
#[test]
fn urgent_first() {
    let mut host = HostShares::default();
    let urgent = ShareKey {
        priority: 0,
        flow: FlowKey(9),
    };
    let mut now = START;
    for _ in 0..400 {
        now = now + Duration::from_millis(10);
        host.count_wanted(SERVICE, urgent, now);
        host.count_placed(SERVICE, urgent, now);
        host.count_wanted(SERVICE, key(HEAVY), now);
    }
    let report = host.report(SERVICE, 1, now);
    let mut home = ShareHome::default();
    let limits = home.report_received(address(0), report, Duration::from_secs(1), now);
    let keys: Vec<_> = limits.rows.iter().map(|row| row.key).collect();
    assert_eq!(keys, [key(HEAVY)]);
    assert!(limits.rows[0].share > 0.0);
}

/// Nothing is told while no requests wait: the exchange must cost nothing on calm days.
#[test]
fn calm_silent() {
    let mut host = HostShares::default();
    host.count_wanted(SERVICE, key(HEAVY), START);
    assert!(host.active(START).is_empty());
    host.note_waiting(SERVICE, START);
    assert_eq!(host.active(START), [SERVICE]);
    assert!(host.active(START + Duration::from_secs(2)).is_empty());
}

/// Messages must stay within a datagram however many accounts there are, and tell those
/// with the most use.
#[test]
fn bounded_rows() {
    let mut host = HostShares::default();
    for flow in 0..500 {
        host.count_wanted(SERVICE, key(FlowKey(flow)), START);
    }
    (0..9).for_each(|_| host.count_wanted(SERVICE, key(FlowKey(321)), START));
    let report = host.report(SERVICE, 3, START);
    assert_eq!(report.rows.len(), MAX_ROWS);
    assert_eq!(report.rows[0].key.flow, FlowKey(321));
}

/// Rows that say zero come from other hosts; they must not cause an invalid time.
#[test]
fn zero_rows() {
    let mut host = HostShares::default();
    let row = shares::LimitRow {
        key: key(HEAVY),
        share: 0.0,
        wanted: 0.0,
    };
    let limits = ShareLimits {
        service: SERVICE,
        waiting: 0,
        rows: vec![row],
    };
    host.limits_received(&limits, Duration::from_secs(1), START);
    assert_eq!(host.held_for(SERVICE, key(HEAVY), START), None);
    host.count_placed(SERVICE, key(HEAVY), START);
    let held = host.held_for(SERVICE, key(HEAVY), START);
    assert!(held.is_some_and(|time| time <= Duration::from_secs(1)));
}

/// The home's load must not grow with the number of hosts.
#[test]
fn bounded_load() {
    for hosts in [1, 4, 33, 328, 5_000] {
        let reports = hosts as f64 / shares::report_interval(hosts).as_secs_f64();
        assert!(reports <= 340.0, "{reports} reports per second");
    }
}

/// After an outage shares are zero; a flow that stayed held at all hosts would never be placed
/// again.
#[test]
fn placed_after_outage() {
    let mut host = HostShares::default();
    let row = shares::LimitRow {
        key: key(HEAVY),
        share: 0.0,
        wanted: 100.0,
    };
    let limits = ShareLimits {
        service: SERVICE,
        waiting: 9,
        rows: vec![row],
    };
    let mut placed = 0;
    for tick in 0..100 {
        let now = START + Duration::from_millis(100) * tick;
        host.limits_received(&limits, Duration::from_secs(1), now);
        if host.held_for(SERVICE, key(HEAVY), now).is_none() {
            host.count_placed(SERVICE, key(HEAVY), now);
            placed += 1;
        }
    }
    assert!((2..=5).contains(&placed), "{placed} placed in 10 s");
}
