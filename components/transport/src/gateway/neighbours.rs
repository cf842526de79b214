//! Handles datagrams of other hosts: greetings, and records read from the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coordination::neighbours::{self, Contact, GreetingEffect};
use coordination::relay;
use protocol::neighbour::{DATAGRAM_LIMIT, Hello, NeighbourMessage, RecordUpdate, Topic};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::Gateway;
use crate::clock;

/// The interval between greetings to all neighbours.
///
/// A host that starts while the store is unavailable, and is itself the seed of
/// its data centre, learns of its neighbours only by their greetings.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Largest size of records, in bytes, that a reader sends to all neighbours directly.
///
/// A datagram of one kilobyte to forty neighbours takes 30 ms on a link of low
/// bandwidth.
const DIRECT_SEND_LIMIT: usize = 1_024;

/// How many times a host that knows no other host greets the seeds.
const SEED_HELLO_COUNT: u32 = 8;

/// The pause between greetings to the seeds; hosts start within 300 ms of each other.
const SEED_HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// The delay before records are sent to a second host of another data centre.
///
/// The second host forwards only records that it hasn't received from the first
/// by then.
const SECOND_CONTACT_DELAY: Duration = Duration::from_millis(50);

/// The delay for records that the first host has to request.
const LARGE_UPDATE_DELAY: Duration = Duration::from_millis(300);

/// A host of another data centre is greeted once per this many rounds of greetings.
const REMOTE_HELLO_TICKS: u32 = 2;

/// How long to wait when no datagram can be received.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Gateway {
    /// Sends periodic greetings to the neighbours; never returns.
    ///
    /// Greets the seeds first: they know the other hosts, and unlike a call to
    /// the store a datagram is free. The greeting is repeated, since the seeds may
    /// start shortly after this host.
    pub(super) async fn send_greetings(self: Rc<Self>) {
        // A new socket rejects sends until the runtime has seen it become writable.
        if let Err(error) = self.socket.writable().await {
            log::warn!("E0406 datagram-not-sent error={error:?}");
        }
        for _ in 0..SEED_HELLO_COUNT {
            self.greet_seeds();
            sleep(SEED_HELLO_INTERVAL).await;
            let known = self.neighbours.borrow();
            if !known.is_empty() && known.any_remote(0).is_some() {
                break;
            }
        }
        let mut ticks = interval(HELLO_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for tick in 0u32.. {
            ticks.tick().await;
            self.update_share();
            self.greet_neighbours();
            if tick.is_multiple_of(REMOTE_HELLO_TICKS) {
                self.greet_remote_host();
            }
            let draw = self.random_u64();
            let target = self.neighbours.borrow_mut().next_query(draw);
            if let Some(neighbour) = target {
                self.send(neighbour, &self.hello(true));
            }
        }
    }

    /// Greets a random host of another data centre, so that some hosts there know this one.
    fn greet_remote_host(&self) {
        let draw = self.random_u64();
        let remote = self.neighbours.borrow().any_remote(draw);
        if let Some(remote) = remote {
            self.send(remote, &self.hello(false));
        }
    }

    /// Sends records that this host has read to other data centres.
    pub(super) fn send_cross_centre(self: &Rc<Self>, update: &RecordUpdate) {
        let contacts = self.neighbours.borrow_mut().remote_targets(clock::now());
        let sent = update.for_other_centres();
        let delay = match sent.records.len() == update.records.len() {
            true => SECOND_CONTACT_DELAY,
            false => LARGE_UPDATE_DELAY,
        };
        let message = NeighbourMessage::Update(sent);
        let mut second_hosts = Vec::new();
        for hosts in contacts {
            let mut hosts = hosts.into_iter();
            if let Some(first) = hosts.next() {
                self.send(first, &message);
            }
            second_hosts.extend(hosts);
        }
        if second_hosts.is_empty() {
            return;
        }
        let gateway = Rc::clone(self);
        spawn_local(async move {
            sleep(delay).await;
            for second in second_hosts {
                gateway.send(second, &message);
            }
        });
    }

    fn greet_seeds(&self) {
        let hello = self.hello(true);
        let seeds = self.settings.seeds.iter();
        for seed in seeds.filter(|s| **s != self.settings.peers) {
            self.send(*seed, &hello);
        }
    }

    /// Greets the neighbours found in the store's group, and names them to each other.
    ///
    /// The greeting also names a few of `others`, the hosts of other data centres.
    pub(super) fn greet_members(&self, hosts: Vec<SocketAddr>, others: Vec<Contact>) {
        let now = clock::now();
        let draw = self.random_u64();
        let mut known = self.neighbours.borrow_mut();
        for host in &hosts {
            known.add(*host, now);
        }
        for contact in &others {
            known.add_remote(contact.clone(), now);
        }
        drop(known);
        self.broadcast(&NeighbourMessage::Hello(Hello {
            centre: self.settings.data_centre.clone(),
            size: self.centre_size(),
            wants_hosts: false,
            neighbours: hosts,
            contacts: neighbours::sample_by_centre(others, draw),
            positions: Vec::new(),
        }));
    }

    /// Adds a neighbour, and greets it if it wasn't known.
    fn add_neighbour(&self, address: SocketAddr) {
        let new = self.neighbours.borrow_mut().add(address, clock::now());
        if new {
            self.send(address, &self.hello(false));
        }
    }

    /// Sends records to the neighbours: small ones directly, larger ones along the
    /// forwarding tree, and in fragments if they are too large for it.
    ///
    /// When many hosts read a large update at the same time, only a host with
    /// `may_distribute` set sends the update, and only if the host isn't receiving it:
    /// otherwise the links would carry the update twice.
    pub(super) fn send_update(self: &Rc<Self>, update: RecordUpdate, may_distribute: bool) {
        let is_frequent = update.topic == Topic::Endpoints;
        if update.size() <= DIRECT_SEND_LIMIT {
            self.broadcast(&NeighbourMessage::Update(update));
        } else if relay::takes(
            NeighbourMessage::Update(update.clone()).encode().len(),
            is_frequent,
        ) {
            self.forward(&update);
        } else if may_distribute && !self.is_receiving(update.topic, update.next()) {
            let (topic, next) = (update.topic, update.next());
            self.distribute(topic, next, &NeighbourMessage::Update(update.content()));
        } else {
            log::info!(
                "E0426 update-not-distributed topic={:?} next={} receiving={}",
                update.topic,
                update.next(),
                self.is_receiving(update.topic, update.next())
            );
            self.announce_positions();
        }
    }

    /// Forwards records to this host's children in the forwarding tree.
    fn forward(&self, update: &RecordUpdate) {
        let known = self.neighbours.borrow_mut().current(clock::now());
        let message = NeighbourMessage::Update(update.clone());
        let hops = relay::next_hops(self.settings.peers, update.relay_root, &known);
        self.send_to_all(&hops, &message);
    }

    /// Receives and handles datagrams; never returns.
    pub(super) async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT * 4];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("E0403 datagram-not-received error={error:?}");
                    sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            self.handle_datagram(from, &buffer[..length]);
        }
    }

    fn handle_datagram(self: &Rc<Self>, from: SocketAddr, datagram: &[u8]) {
        let message = match NeighbourMessage::decode(datagram) {
            Ok(message) => message,
            Err(error) => {
                log::warn!("E0405 datagram-refused from={from} error={error}");
                return;
            }
        };
        self.traffic.borrow_mut().received(&message, datagram.len());
        self.rollouts.borrow_mut().note_contact(clock::now());
        self.note_host_contact(from);
        match message {
            NeighbourMessage::Update(u) if u.cross_centre => self.handle_cross_centre(u, from),
            NeighbourMessage::Update(update) => {
                let new = self.handle_update(&update, from);
                let further = self.mark_forwarded(&update);
                if (new || further) && update.size() > DIRECT_SEND_LIMIT {
                    self.forward(&update);
                }
            }
            NeighbourMessage::ReadStarted(topic) => {
                self.add_neighbour(from);
                self.handle_read_start(from, topic);
            }
            NeighbourMessage::ReadFailed(topic) => self.handle_read_failure(from, topic),
            NeighbourMessage::Resync(topic) => self.handle_resync(topic),
            NeighbourMessage::SnapshotRequest(topic) => {
                self.add_neighbour(from);
                self.send_snapshot(from, topic);
            }
            NeighbourMessage::Snapshot(snapshot) => self.handle_snapshot(snapshot),
            NeighbourMessage::RecordsRequest(topic, next) => self.resend_records(from, topic, next),
            NeighbourMessage::Fragment(topic, fragment) => self.handle_fragment(topic, &fragment),
            NeighbourMessage::FragmentRequest(topic, r) => self.resend_fragments(from, topic, &r),
            NeighbourMessage::Hello(hello) => self.handle_hello(from, hello),
            NeighbourMessage::CrashReport(crashes) => self.handle_crash_report(crashes),
            NeighbourMessage::LimitReport(limits) => self.handle_limit_report(limits),
            NeighbourMessage::Rollout(message, cross_centre) => {
                self.handle_rollout(from, message, cross_centre);
            }
            NeighbourMessage::Quota(message) => self.handle_quota(from, message),
            NeighbourMessage::Observations(report) => self.handle_observations(from, &report),
            NeighbourMessage::Shares(message) => self.handle_shares(from, message),
            NeighbourMessage::Borrow(number) => self.lend_probes(from, number),
            NeighbourMessage::Lend(loan) => {
                let mut budget = self.probe_budget.borrow_mut();
                budget.receive_loan(loan.request_id, loan.probes);
            }
        }
    }

    /// Returns whether an update hasn't been forwarded yet, and marks it as forwarded.
    fn mark_forwarded(&self, update: &RecordUpdate) -> bool {
        let mut neighbours = self.neighbours.borrow_mut();
        let forwarded = match update.topic {
            Topic::Operators => &mut neighbours.operators,
            Topic::Endpoints => &mut neighbours.endpoints,
        };
        forwarded.mark(update.relay_root, update.next())
    }

    fn handle_hello(&self, from: SocketAddr, hello: Hello) {
        let now = clock::now();
        let mut known = self.neighbours.borrow_mut();
        let effect = known.greeting_received(from, &hello.centre, now);
        let size = usize::try_from(hello.size).unwrap_or_default();
        known.size_received(&hello.centre, size, now);
        drop(known);
        match effect {
            _ if hello.wants_hosts => {
                self.send(from, &self.host_list(&hello.centre));
                if let Some(crashes) = self.quarantine_message() {
                    self.send(from, &crashes);
                }
                self.send_rollout_states(from);
            }
            GreetingEffect::New | GreetingEffect::NewRemote => self.send(from, &self.hello(false)),
            GreetingEffect::Known | GreetingEffect::Remote => {}
        }
        if matches!(effect, GreetingEffect::New | GreetingEffect::Known) {
            for position in hello.positions {
                self.handle_position(from, position);
            }
        }
        for contact in hello.contacts {
            self.neighbours.borrow_mut().add_remote(contact, now);
        }
        for other in hello.neighbours {
            self.add_neighbour(other);
        }
        if effect == GreetingEffect::New {
            self.request_unread_topics();
        }
    }

    fn centre_size(&self) -> u32 {
        let size = self.neighbours.borrow().centre_size();
        u32::try_from(size).unwrap_or(u32::MAX)
    }

    /// Returns a greeting; `wants_hosts` asks the receiver for the hosts that it knows.
    pub(super) fn hello(&self, wants_hosts: bool) -> NeighbourMessage {
        NeighbourMessage::Hello(self.greeting(wants_hosts))
    }

    pub(super) fn greeting(&self, wants_hosts: bool) -> Hello {
        Hello {
            centre: self.settings.data_centre.clone(),
            size: self.centre_size(),
            wants_hosts,
            neighbours: Vec::new(),
            contacts: Vec::new(),
            positions: Vec::new(),
        }
    }

    /// Returns a greeting that names all hosts of `centre`, for a host there that asked.
    ///
    /// With all hosts in every greeting, traffic would grow with the square of the
    /// number of hosts: 250 KB/s per host in a data centre of a hundred hosts.
    fn host_list(&self, centre: &str) -> NeighbourMessage {
        let now = clock::now();
        let size = self.centre_size();
        let mut known = self.neighbours.borrow_mut();
        NeighbourMessage::Hello(Hello {
            centre: self.settings.data_centre.clone(),
            size,
            wants_hosts: false,
            neighbours: known.hosts_of(centre, now),
            contacts: known.remote_sample(now),
            positions: Vec::new(),
        })
    }
}
