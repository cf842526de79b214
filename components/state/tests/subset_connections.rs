//! New connections and slowdown of many hosts with few requests each, with and without
//! subsets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::fleet::placement::{Context, Request};
use state::fleet::rollout::VersionRule;
use state::fleet::subset_size::{Demand, Limits, SubsetSize};
use state::fleet::token_buckets::Quota;
use state::fleet::{Endpoint, Entry, LoadSample, Placement, Registry, Step, Subset};
use state::keys::rendezvous;
use state::topology::Topology;
use state::{DataCentreKey, EndpointKey, Moment, ServiceKey};

const IDLE: Duration = Duration::from_millis(8_500);
const DISTURBANCE_MS: u64 = 300;
const WARMUP: u64 = 30;

/// One data centre of a site: hosts, endpoints and requests of one service.
struct Site {
    hosts: usize,
    endpoints: usize,
    slots: u32,
    /// Requests per second of each host.
    rate: f64,
    service_time: Duration,
}

/// What a simulation measured.
#[derive(Debug, Default)]
struct Measured {
    requests: f64,
    connections: f64,
    probes: f64,
    slowdown: f64,
    rejected: f64,
    refreshes: f64,
}

#[derive(Default)]
struct Host {
    registry: Registry,
    /// For each connection, from when it is idle and until when it stays open.
    pool: BTreeMap<EndpointKey, Vec<(Moment, Moment)>>,
}

impl Host {
    /// Takes an idle connection; returns false if there is none.
    fn take(&mut self, key: EndpointKey, now: Moment) -> bool {
        let pool = self.pool.entry(key).or_default();
        pool.retain(|(_, until)| now < *until);
        let idle = pool.iter().rposition(|(from, _)| *from <= now);
        idle.map(|at| pool.remove(at)).is_some()
    }

    /// Extends the connections to the `count` endpoints that were used last, as the gateway
    /// does by probing them; returns the number of probes.
    fn refresh(&mut self, now: Moment, count: usize) -> f64 {
        let mut latest: Vec<(Moment, EndpointKey)> = Vec::new();
        for (key, pool) in &self.pool {
            latest.extend(
                pool.iter()
                    .map(|(_, until)| *until)
                    .max()
                    .map(|u| (u, *key)),
            );
        }
        latest.sort_unstable();
        let mut probes = 0.0;
        for (_, key) in latest.iter().rev().take(count) {
            let kept = self.pool.get_mut(key).unwrap().last_mut().unwrap();
            while kept.1 <= now {
                kept.1 = kept.1 + IDLE - Duration::from_secs(1);
                probes += 1.0;
            }
        }
        probes
    }

    fn put(&mut self, key: EndpointKey, from: Moment) {
        let pool = self.pool.entry(key).or_default();
        pool.push((from, from + IDLE));
    }
}

fn endpoint(number: usize, slots: u32) -> Endpoint {
    Endpoint {
        instance: format!("i-{number}"),
        started_ms: 1,
        service: ServiceKey::named("svc"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        centre: DataCentreKey::named("near"),
        version: None,
        slots,
        draining: false,
        cold: Duration::ZERO,
    }
}

/// The endpoints of the simulation: when the requests there end, and who is disturbed.
struct Servers {
    slots: u32,
    seed: u64,
    ends: BTreeMap<EndpointKey, Vec<Moment>>,
}

impl Servers {
    fn slowness(&self, key: EndpointKey, now: Moment) -> u32 {
        let period = now.0 / 1_000 / DISTURBANCE_MS;
        let draw = rendezvous(self.seed ^ period, key.0) % 100;
        if draw < 30 { 400 } else { 100 }
    }

    fn sample(&mut self, key: EndpointKey, now: Moment) -> LoadSample {
        let ends = self.ends.entry(key).or_default();
        ends.retain(|end| now < *end);
        LoadSample {
            at: now,
            running: u32::try_from(ends.len()).unwrap(),
            waiting: 0,
            slots: self.slots,
            slowness: self.slowness(key, now),
            healthy: true,
            reported: true,
        }
    }
}

fn run(site: &Site, subsets: bool, refreshed: usize, seed: u64) -> Measured {
    let mut random = StdRng::seed_from_u64(seed);
    let entries: BTreeMap<String, Entry> = (0..site.endpoints)
        .map(|number| {
            let entry = Entry::Endpoint(endpoint(number, site.slots));
            (format!("i-{number}"), entry)
        })
        .collect();
    let limits = Limits {
        idle_lifetime: IDLE,
        slots: site.slots,
        near: site.endpoints,
    };
    let mut size = SubsetSize::new(Moment(0));
    let demand = Demand {
        requests: site.rate.ceil() as u32,
        busy: site.service_time.mul_f64(site.rate),
        ..Demand::default()
    };
    for second in 1..40 {
        size.update(demand, limits, Moment::from_millis(second * 1_000));
    }
    let mut hosts: Vec<Host> = Vec::new();
    for position in 0..site.hosts {
        let mut host = Host::default();
        host.registry.replace(entries.clone(), Moment(0));
        let near = host
            .registry
            .near(ServiceKey::named("svc"), DataCentreKey::named("near"));
        let subset = Subset::new(near.unwrap(), position, site.hosts, size.size());
        host.registry
            .set_subset(ServiceKey::named("svc"), subset.filter(|_| subsets));
        hosts.push(host);
    }
    let mut servers = Servers {
        slots: site.slots,
        seed,
        ends: BTreeMap::new(),
    };
    let mut measured = Measured::default();
    let mut ended: BTreeSet<(Moment, usize, EndpointKey, u64)> = BTreeSet::new();
    let mut at = 0.0;
    let mut number = 0;
    while at < 240.0 {
        at += -(1.0 - random.random::<f64>()).ln() / (site.rate * site.hosts as f64);
        let mut now = Moment::from_millis((at * 1e3) as u64);
        while ended.first().is_some_and(|first| first.0 <= now) {
            let (_, host, key, _) = ended.pop_first().unwrap();
            hosts[host].registry.get_mut(key).unwrap().finish();
        }
        let index = random.random_range(0..hosts.len());
        let host = &mut hosts[index];
        let counts = if at > WARMUP as f64 { 1.0 } else { 0.0 };
        number += 1;
        measured.refreshes += host.refresh(now, refreshed) * counts;
        measured.requests += counts;
        let request = Request {
            service: ServiceKey::named("svc"),
            centre: DataCentreKey::named("near"),
            objective: now + site.service_time * 3,
            deadline: now + site.service_time * 12,
            service_time: site.service_time,
            priority: 0,
            account: None,
            route: 0,
            draw: random.random(),
        };
        let mut placement = Placement::default();
        let mut probed = BTreeSet::new();
        let placed = loop {
            let pool = &host.pool;
            let mut context = Context {
                registry: &mut host.registry,
                is_connected: &|key| {
                    let kept = pool.get(&key);
                    kept.is_some_and(|k| k.iter().any(|(from, to)| *from <= now && now < *to))
                },
                is_first: true,
                may_probe: true,
                leaving_centres: &BTreeSet::new(),
                topology: &Topology::default(),
                regions: &BTreeSet::new(),
                versions: &VersionRule::All,
                cold: Quota::cold(6.0, 0.01),
            };
            let mut draw = || random.random::<f64>();
            match placement.next(&mut context, &request, now, &mut draw) {
                Step::Probe(key) => {
                    measured.probes += counts;
                    if !host.take(key, now) {
                        measured.connections += counts;
                    }
                    now = now + Duration::from_millis(1);
                    let sample = servers.sample(key, now);
                    host.registry.get_mut(key).unwrap().set_sample(sample);
                    probed.insert(key);
                }
                Step::Place(key) => break Some(key),
                Step::Wait(time) => {
                    for key in std::mem::take(&mut probed) {
                        host.put(key, now);
                    }
                    now = now + time;
                }
                Step::Refuse(_) => break None,
            }
        };
        if let Some(key) = placed {
            let sample = servers.sample(key, now);
            let slowdown = sample.slowdown(0);
            let end = now + site.service_time.mul_f64(slowdown);
            servers.ends.entry(key).or_default().push(end);
            measured.slowdown += slowdown * counts;
            if !probed.remove(&key) && !host.take(key, now) {
                measured.connections += counts;
            }
            host.put(key, end);
            host.registry.get_mut(key).unwrap().start();
            ended.insert((end, index, key, number));
        } else {
            measured.rejected += counts;
        }
        for key in probed {
            host.put(key, now);
        }
    }
    let requests = measured.requests;
    Measured {
        requests,
        connections: measured.connections / requests,
        probes: measured.probes / requests,
        slowdown: measured.slowdown / (requests - measured.rejected),
        rejected: measured.rejected / requests,
        refreshes: measured.refreshes / requests,
    }
}

fn compare(site: &Site, most: f64) {
    for seed in [1, 2, 3] {
        let wide = run(site, false, 0, seed);
        let narrow = run(site, true, 3, seed);
        assert!(narrow.connections <= most, "{narrow:?}");
        assert!(
            narrow.slowdown <= wide.slowdown * 1.02,
            "{narrow:?} {wide:?}"
        );
        assert!(
            narrow.rejected <= wide.rejected + 0.002,
            "{narrow:?} {wide:?}"
        );
    }
}

/// A host with a request in 1.5 s and 26 near endpoints must not open a connection for
/// nearly every request.
#[test]
fn rare_requests() {
    let site = Site {
        hosts: 52,
        endpoints: 26,
        slots: 2,
        rate: 0.64,
        service_time: Duration::from_millis(206),
    };
    compare(&site, 0.3);
}

/// A host with a request in four seconds uses even six members too seldom to keep their
/// connections open; it must use the ones that are open.
#[test]
fn rarest_requests() {
    let site = Site {
        hosts: 52,
        endpoints: 32,
        slots: 2,
        rate: 0.27,
        service_time: Duration::from_millis(578),
    };
    compare(&site, 0.3);
}

/// A host with two requests a second must not spread them over so many endpoints that
/// connections close in between.
#[test]
fn moderate_requests() {
    let site = Site {
        hosts: 32,
        endpoints: 22,
        slots: 4,
        rate: 2.0,
        service_time: Duration::from_millis(100),
    };
    compare(&site, 0.3);
}
