//! Tests that messages in fragments reach all hosts of a data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coordination::fragment_queue::FragmentQueue;
use coordination::fragments::{
    Fragment, FragmentRequest, Inserted, MessageKey, Reassembly, RequestTarget, assign_relays,
    relay_order, split,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::Moment;

/// A change of 4,150 routes.
const MESSAGE_BYTES: usize = 288_000;

/// How long no fragment has to arrive before missing ones are requested.
const REQUEST_DELAY: Duration = Duration::from_millis(100);

/// The time left for the fragments, of the two seconds after which a change must be in
/// force: the reader pauses for 400 ms and reads for 240, and hosts take 170 to decode
/// the change.
const TIME_LIMIT: Duration = Duration::from_millis(1_190);

/// A datagram between hosts.
#[derive(Clone)]
enum Datagram {
    Fragment(Fragment),
    FragmentRequest(FragmentRequest),
}

struct Host {
    fragments: Reassembly,
    queue: FragmentQueue<()>,
    paused_until: Moment,
    complete_at: Option<Moment>,
    alive: bool,
    sent: usize,
    received: usize,
}

/// The hosts of one data centre, and a network that loses datagrams.
struct Centre {
    hosts: Vec<Host>,
    addresses: Vec<SocketAddr>,
    message: Bytes,
    random: StdRng,
    loss: f64,
}

impl Centre {
    fn new(count: usize, seed: u64, loss: f64) -> Centre {
        let mut random = StdRng::seed_from_u64(seed);
        let address =
            |n: usize| SocketAddr::from(([10, 1, (n / 200) as u8, (n % 200) as u8], 7540));
        let host = |_| Host {
            fragments: Reassembly::default(),
            queue: FragmentQueue::default(),
            paused_until: Moment(0),
            complete_at: None,
            alive: true,
            sent: 0,
            received: 0,
        };
        let bytes: Vec<u8> = (0..MESSAGE_BYTES).map(|_| random.random()).collect();
        Centre {
            hosts: (0..count).map(host).collect(),
            addresses: (0..count).map(address).collect(),
            message: Bytes::from(bytes),
            random,
            loss,
        }
    }

    fn others(&self, me: usize) -> Vec<SocketAddr> {
        let all = self.addresses.iter().copied();
        all.filter(|a| *a != self.addresses[me]).collect()
    }

    /// Makes one host send the message to all others, and returns the message's key.
    fn send_message(&mut self, origin: usize, now: Moment) -> MessageKey {
        let others = self.others(origin);
        let me = self.addresses[origin];
        let fragments = split(me, 1, &self.message, self.hosts.len());
        let host = &mut self.hosts[origin];
        host.fragments.insert_own(&fragments, None, now);
        host.complete_at = Some(now);
        for (to, fragment) in assign_relays(me, &fragments, &others) {
            assert!(host.queue.push(to, (), fragment));
        }
        fragments[0].message
    }

    /// Simulates one millisecond.
    fn step(&mut self, key: MessageKey, now: Moment) {
        let mut in_flight: Vec<(usize, usize, Datagram)> = Vec::new();
        for me in 0..self.hosts.len() {
            let draw = self.random.random_range(0..self.hosts.len());
            let host = &mut self.hosts[me];
            while host.alive && host.paused_until <= now {
                let Some((to, (), fragment)) = host.queue.pop() else {
                    break;
                };
                host.sent += fragment.bytes.len();
                in_flight.push((
                    me,
                    self.addresses.binary_search(&to).expect("a host"),
                    Datagram::Fragment(fragment),
                ));
                if let Some(pause) = host.queue.pause() {
                    host.paused_until = now + pause;
                }
            }
            if host.alive
                && let Some((target, request)) =
                    host.fragments.next_request(key, REQUEST_DELAY, now)
            {
                let to = match target {
                    RequestTarget::Origin(origin) => {
                        self.addresses.binary_search(&origin).expect("a host")
                    }
                    RequestTarget::Any => draw,
                };
                in_flight.push((me, to, Datagram::FragmentRequest(request)));
            }
        }
        for (from, to, sent) in in_flight {
            if self.hosts[to].alive && !self.random.random_bool(self.loss) {
                self.receive(from, to, &sent, now);
            }
        }
    }

    fn receive(&mut self, from: usize, me: usize, sent: &Datagram, now: Moment) {
        match sent {
            Datagram::Fragment(fragment) => self.take(me, fragment, now),
            Datagram::FragmentRequest(_) if self.hosts[me].queue.is_busy() => {}
            Datagram::FragmentRequest(request) => {
                let to = self.addresses[from];
                let host = &mut self.hosts[me];
                for fragment in host.fragments.resend(request, now) {
                    host.queue.push(to, (), fragment);
                }
            }
        }
    }

    fn take(&mut self, me: usize, fragment: &Fragment, now: Moment) {
        let others = self.others(me);
        let address = self.addresses[me];
        let host = &mut self.hosts[me];
        host.received += fragment.bytes.len();
        match host.fragments.insert(fragment, now) {
            Inserted::Ignored => return,
            Inserted::New => {}
            Inserted::Complete(message) => {
                assert_eq!(message, self.message);
                host.complete_at = Some(now);
            }
        }
        if fragment.relay {
            for to in relay_order(address, fragment.origin, others) {
                let mut copy = fragment.clone();
                copy.relay = false;
                host.queue.push(to, (), copy);
            }
        }
    }

    /// Simulates until all running hosts have the message; returns how long that took.
    fn run(&mut self, origins: &[usize], limit: Duration) -> Duration {
        let start = Moment::from_millis(1_000);
        let keys: BTreeSet<MessageKey> = origins
            .iter()
            .map(|o| self.send_message(*o, start))
            .collect();
        assert_eq!(keys.len(), 1, "the same message has several keys");
        let key = *keys.first().expect("at least one origin");
        let mut now = start;
        while self
            .hosts
            .iter()
            .any(|h| h.alive && h.complete_at.is_none())
        {
            now = now + Duration::from_millis(1);
            let late = self
                .hosts
                .iter()
                .filter(|h| h.alive && h.complete_at.is_none());
            assert!(
                now.since(start) < limit,
                "{} hosts lack the message after {limit:?}",
                late.count()
            );
            self.step(key, now);
        }
        now.since(start)
    }
}

/// A change of 4,150 routes is read by one host, whose link is as narrow as those of most
/// others. If the host sent the whole change to each of them, the last would receive it
/// after ten seconds and more. Every host sends about the size of the change, however
/// many hosts there are.
#[test]
fn load_shared() {
    for count in [2, 5, 13, 44, 133, 300] {
        let mut centre = Centre::new(count, 7, 0.0);
        centre.run(&[count / 2], TIME_LIMIT);
        let worst = centre.hosts.iter().map(|h| h.sent).max();
        // Fragments can't be shared evenly when there are only a few more of them than
        // hosts.
        let limit = MESSAGE_BYTES + MESSAGE_BYTES / 2;
        assert!(worst <= Some(limit), "{count} hosts: {worst:?} of {limit}");
        let most = centre.hosts.iter().map(|h| h.received).max();
        assert!(
            most <= Some(MESSAGE_BYTES),
            "{count} hosts: {most:?} received"
        );
    }
}

/// The store rejects the reader, and five hosts read the change at the same moment. When
/// each sent it to all others, five times the bytes saturated the narrow links for three
/// seconds and delayed later changes as much. A fragment that arrives twice is relayed
/// once.
#[test]
fn many_readers() {
    let mut centre = Centre::new(44, 9, 0.0);
    centre.run(&[3, 11, 12, 30, 43], 2 * TIME_LIMIT);
    let most = centre.hosts.iter().map(|h| h.sent).max();
    // Each of the five sends the change once, and relays its share to all.
    assert!(most <= Some(5 * MESSAGE_BYTES / 2), "{most:?} bytes sent");
    let all: usize = centre.hosts.iter().map(|h| h.received).sum();
    assert!(
        all <= (44 + 5 + 10) * MESSAGE_BYTES,
        "{all} bytes received by all"
    );
}

/// Many hosts send to one host at the same moment: its link takes tens of milliseconds to
/// carry the datagrams, and the rest is lost. At most twice the link's capacity may
/// arrive within any 50 milliseconds.
#[test]
fn no_incast() {
    let mut centre = Centre::new(44, 3, 0.0);
    let start = Moment::from_millis(1_000);
    let key = centre.send_message(0, start);
    let mut arrived: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    for millis in 1_001..2_200 {
        let before: Vec<usize> = centre.hosts.iter().map(|h| h.received).collect();
        centre.step(key, Moment::from_millis(millis));
        for (me, host) in centre.hosts.iter().enumerate() {
            *arrived.entry((me, millis / 50)).or_default() += host.received - before[me];
        }
    }
    // The bytes that a link of 10 Mbit/s carries in 50 ms.
    let most = arrived.values().max();
    assert!(most <= Some(&(2 * 62_500)), "{most:?} bytes");
}

/// Links lose one datagram in thirty; a fragment lost on the way to its relay is missing
/// on all hosts.
#[test]
fn losses_recovered() {
    for seed in 0..20 {
        let mut centre = Centre::new(44, seed, 0.03);
        centre.run(&[0], 2 * TIME_LIMIT);
    }
}

/// A fifth of the hosts are frozen when the change is sent: the fragments they should
/// relay have to reach the others all the same.
#[test]
fn relays_frozen() {
    for seed in 0..20 {
        let mut centre = Centre::new(44, seed, 0.0);
        let mut frozen = BTreeSet::new();
        while frozen.len() < 9 {
            frozen.insert(centre.random.random_range(1..44));
        }
        for me in frozen {
            centre.hosts[me].alive = false;
        }
        centre.run(&[0], 3 * TIME_LIMIT);
    }
}

/// The host that read the change stops after sending half of it: no host takes an
/// incomplete message for the whole, and all stop sending requests and read the store.
#[test]
fn origin_lost() {
    let mut centre = Centre::new(44, 5, 0.0);
    let start = Moment::from_millis(1_000);
    let key = centre.send_message(0, start);
    for millis in 1_001..5_000 {
        centre.hosts[0].alive = millis < 1_100;
        centre.step(key, Moment::from_millis(millis));
    }
    let rest = &centre.hosts[1..];
    assert!(rest.iter().all(|h| h.complete_at.is_none()));
    assert!(rest.iter().all(|h| !h.fragments.is_incomplete(key)));
}

/// A damaged fragment, or one with impossible numbers, neither completes a message nor
/// allocates memory.
#[test]
fn bad_fragments() {
    let origin = SocketAddr::from(([10, 1, 0, 1], 7540));
    let now = Moment::from_millis(1);
    let good = split(origin, 1, &Bytes::from(vec![7; 40_000]), 3);
    let mut fragments = Reassembly::default();
    let mut claims = good[0].clone();
    claims.message.count = u32::MAX;
    assert_eq!(fragments.insert(&claims, now), Inserted::Ignored);
    let mut beyond = good[0].clone();
    beyond.number = beyond.message.count;
    assert_eq!(fragments.insert(&beyond, now), Inserted::Ignored);
    for (n, fragment) in good.iter().enumerate() {
        let mut damaged = fragment.clone();
        damaged.bytes = Bytes::from(vec![8; fragment.bytes.len()]);
        let expected = match n + 1 == good.len() {
            true => Inserted::Ignored,
            false => Inserted::New,
        };
        assert_eq!(fragments.insert(&damaged, now), expected);
    }
    for fragment in &good[1..] {
        assert_eq!(fragments.insert(fragment, now), Inserted::New);
    }
    let whole = Inserted::Complete(Bytes::from(vec![7; 40_000]));
    assert_eq!(fragments.insert(&good[0], now), whole);
    assert_eq!(fragments.insert(&good[0], now), Inserted::Ignored);
}
