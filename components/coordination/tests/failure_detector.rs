//! Which members detectors consider alive, suspected or lost, with messages delivered at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use coordination::members::{Action, Detector, MemberId, WatchMap};
use rstest::rstest;
use state::config::Member;
use state::{Config, HostKey, Moment};

const STEP: Duration = Duration::from_millis(10);
const TICK: u64 = 5;

/// Detectors whose messages arrive within a step, except on links that are cut.
struct Net {
    now: Moment,
    steps: u64,
    config: Config,
    hosts: BTreeMap<HostKey, Detector>,
    stopped: BTreeSet<HostKey>,
    cut: BTreeSet<(HostKey, HostKey)>,
    suspected: Vec<(HostKey, HostKey, Moment)>,
    removals: Vec<(HostKey, MemberId, Moment)>,
}

impl Net {
    fn new(count: usize) -> Net {
        let config = config(count);
        let now = Moment::from_millis(1_000);
        let hosts = config.members.keys().map(|host| {
            let id = MemberId {
                host: *host,
                incarnation: 1,
            };
            let mut detector = Detector::new(id, now);
            detector.configure(&config, now);
            (*host, detector)
        });
        let hosts = hosts.collect();
        Net {
            now,
            steps: 0,
            config,
            hosts,
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            suspected: Vec::new(),
            removals: Vec::new(),
        }
    }

    fn keys(&self) -> Vec<HostKey> {
        self.hosts.keys().copied().collect()
    }

    fn centre(&self, host: HostKey) -> &str {
        &self.config.members[&host].data_centre
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.steps += 1;
            let mut in_transit = VecDeque::new();
            for (index, host) in self.keys().into_iter().enumerate() {
                let due = (self.steps + index as u64).is_multiple_of(TICK);
                if due && !self.stopped.contains(&host) {
                    self.hosts.get_mut(&host).unwrap().tick(self.now);
                }
                self.collect(host, &mut in_transit);
            }
            while let Some((from, to, message)) = in_transit.pop_front() {
                if self.stopped.contains(&to) || self.cut.contains(&(from, to)) {
                    continue;
                }
                if let Some(detector) = self.hosts.get_mut(&to) {
                    detector.receive(from, &message, self.now);
                }
                self.collect(to, &mut in_transit);
            }
            self.read_log();
        }
    }

    /// Folds the removals written in this step at each running host.
    fn read_log(&mut self) {
        let written: Vec<MemberId> = self.removals.iter().map(|r| r.1).collect();
        for id in written {
            if self.config.members.remove(&id.host).is_none() {
                continue;
            }
            self.config.revision += 1;
            self.config.offset += 1;
            for (host, detector) in &mut self.hosts {
                if !self.stopped.contains(host) {
                    detector.configure(&self.config, self.now);
                }
            }
        }
    }

    fn collect(
        &mut self,
        host: HostKey,
        in_transit: &mut VecDeque<(HostKey, HostKey, coordination::members::MemberMessage)>,
    ) {
        let Some(detector) = self.hosts.get_mut(&host) else {
            return;
        };
        for action in detector.actions() {
            match action {
                Action::Send(to, message) => in_transit.push_back((host, to, message)),
                Action::Suspected(whom) => self.suspected.push((host, whom, self.now)),
                Action::Remove(id) => self.removals.push((host, id, self.now)),
                Action::Redial(_) | Action::AskConfig(_) | Action::Refuted(_) => {}
            }
        }
    }

    fn suspecting(&self, whom: HostKey) -> usize {
        let alive = |host: &&HostKey| !self.stopped.contains(host) && **host != whom;
        let hosts = self.hosts.keys().filter(alive);
        hosts
            .filter(|host| !self.hosts[host].view().is_alive(whom))
            .count()
    }
}

fn config(count: usize) -> Config {
    let centres = ["trent", "severn", "soar"];
    let mut config = Config {
        revision: 1,
        offset: 1,
        ..Config::default()
    };
    for index in 0..count {
        let name = format!("entry-{index}");
        let member = Member {
            name: name.clone(),
            incarnation: 1,
            peer: "127.0.0.1:1".parse().unwrap(),
            data_centre: centres[index % 3].into(),
            joined: 1,
        };
        config.members.insert(HostKey::named(&name), member);
    }
    config
}

#[rstest]
#[case::four(4)]
#[case::seventeen(17)]
#[case::thirty_four(34)]
fn no_faults(#[case] count: usize) {
    let mut net = Net::new(count);
    net.run(Duration::from_secs(10));
    assert_eq!(net.suspected, []);
    assert_eq!(net.removals, []);
}

// A host's process dies without notice. Calls of hosts that still request slots
// from it would wait, so all hosts must suspect it within a second.
#[rstest]
#[case::two(2)]
#[case::four(4)]
#[case::seventeen(17)]
#[case::sixty_eight(68)]
fn dead_host(#[case] count: usize) {
    let mut net = Net::new(count);
    net.run(Duration::from_millis(2_030));
    let dead = net.keys()[1];
    net.stopped.insert(dead);
    net.run(Duration::from_secs(1));
    assert_eq!(net.suspecting(dead), count - 1);
    assert_eq!(net.suspected.len(), count - 1, "another host was suspected");
}

// The watchers write a removal once, not five times: the store takes several
// hundred appends a second, and the loss of a rack is many removals at once.
#[test]
fn one_removal() {
    let mut net = Net::new(17);
    net.run(Duration::from_secs(2));
    let dead = net.keys()[3];
    net.stopped.insert(dead);
    net.run(Duration::from_millis(3_600));
    let removed: Vec<MemberId> = net.removals.iter().map(|r| r.1).collect();
    assert_eq!(
        removed,
        [MemberId {
            host: dead,
            incarnation: 1
        }]
    );
}

// Another process on the machine takes the processor for 200 ms. If the host were
// suspected, its slots would lose their traffic without a reason.
#[test]
fn short_pause() {
    let mut net = Net::new(17);
    for host in net.keys() {
        net.run(Duration::from_millis(330));
        net.stopped.insert(host);
        net.run(Duration::from_millis(200));
        net.stopped.remove(&host);
    }
    net.run(Duration::from_secs(2));
    assert_eq!(net.suspected, []);
}

// A host is paused for two seconds and resumes. It is suspected meanwhile, must
// not suspect the others itself, and must be considered alive again at once.
#[test]
fn long_pause() {
    let mut net = Net::new(17);
    net.run(Duration::from_secs(2));
    let host = net.keys()[5];
    net.stopped.insert(host);
    net.run(Duration::from_secs(2));
    assert_eq!(net.suspecting(host), 16);
    net.stopped.remove(&host);
    net.run(Duration::from_millis(500));
    assert_eq!(net.suspecting(host), 0);
    assert!(net.suspected.iter().all(|(_, whom, _)| *whom == host));
    assert_eq!(net.removals, []);
}

// The path between two data centres drops messages in one direction. Hosts of
// both still reach the third data centre. No host may be suspected or removed, or
// one broken switch would take out a third of the hosts.
#[test]
fn one_way_loss() {
    let mut net = Net::new(17);
    net.run(Duration::from_secs(2));
    let keys = net.keys();
    for from in &keys {
        for to in &keys {
            if net.centre(*from) == "trent" && net.centre(*to) == "severn" {
                net.cut.insert((*from, *to));
            }
        }
    }
    net.run(Duration::from_secs(10));
    assert_eq!(net.suspected, []);
    assert_eq!(net.removals, []);
}

// Six of seventeen hosts lose the connection to the rest, while all can reach the
// log. If silence were enough, each side would remove the other and no host would
// own a slot. Only the side that gets answers from a majority may remove hosts.
#[test]
fn split() {
    let mut net = Net::new(17);
    net.run(Duration::from_secs(2));
    let keys = net.keys();
    let few: BTreeSet<HostKey> = keys.iter().copied().take(6).collect();
    for a in &keys {
        for b in &keys {
            if few.contains(a) != few.contains(b) {
                net.cut.insert((*a, *b));
            }
        }
    }
    net.run(Duration::from_secs(15));
    assert!(!net.removals.is_empty());
    let wrong: Vec<_> = net.removals.iter().filter(|r| few.contains(&r.0)).collect();
    assert!(wrong.is_empty(), "the minority removes: {wrong:?}");
    assert!(net.removals.iter().all(|r| few.contains(&r.1.host)));
}

// More than half of the hosts are lost at once, so no side has a majority. The
// platform's list names the remaining hosts and confirms the loss. An empty list
// proves nothing and must not remove any host.
#[rstest]
#[case::confirmed(true)]
#[case::empty_list(false)]
fn host_list(#[case] confirmed: bool) {
    let mut net = Net::new(6);
    net.run(Duration::from_secs(2));
    let lost: BTreeSet<HostKey> = net.keys().into_iter().skip(2).collect();
    net.stopped.extend(lost.iter().copied());
    for host in net.keys().into_iter().take(2) {
        let gone = if confirmed {
            lost.clone()
        } else {
            BTreeSet::new()
        };
        net.hosts.get_mut(&host).unwrap().set_unlisted(gone);
    }
    net.run(Duration::from_secs(12));
    let removed: BTreeSet<HostKey> = net.removals.iter().map(|r| r.1.host).collect();
    assert_eq!(removed, if confirmed { lost } else { BTreeSet::new() });
}

// The platform's list lags: it lacks a new host, or reports a host as leaving that
// stays. A host that sends heartbeats is never removed.
#[test]
fn stale_list() {
    let mut net = Net::new(6);
    let all: BTreeSet<HostKey> = net.keys().into_iter().collect();
    for host in net.keys() {
        net.hosts.get_mut(&host).unwrap().set_unlisted(all.clone());
    }
    net.run(Duration::from_secs(8));
    assert_eq!(net.removals, []);
}

// With 300 members, a host must not send heartbeats to all the others.
#[test]
fn watch_spread() {
    let config = config(300);
    let map = WatchMap::from_config(&config);
    let mut load: BTreeMap<MemberId, usize> = BTreeMap::new();
    for member in map.members() {
        let watchers = map.watchers(member);
        assert_eq!(watchers.len(), 5);
        let mut centres: BTreeMap<&str, usize> = BTreeMap::new();
        for watcher in watchers {
            assert_ne!(*watcher, member);
            let centre = config.members[&watcher.host].data_centre.as_str();
            *centres.entry(centre).or_default() += 1;
            *load.entry(*watcher).or_default() += 1;
        }
        assert!(centres.values().all(|count| *count <= 2), "{centres:?}");
    }
    let most = load.values().max().unwrap();
    assert!(*most <= 20, "one host watches {most}");
}
