//! Tells the hosts of the same data centre what was read, and hears it from them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coordination::neighbours::{self, Contact, GreetingEffect};
use coordination::relay;
use protocol::neighbour::{DATAGRAM_LIMIT, Hello, NeighbourMessage, RecordUpdate, Topic};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::Gateway;
use crate::clock;

/// How often a host says that it is here.
///
/// A host that starts while the store is away, and is the seed of its data
/// centre itself, learns only by this that it has neighbours to ask.
const HELLO_EVERY: Duration = Duration::from_secs(1);

/// Record bytes up to which a reader tells all its neighbours by itself.
///
/// A datagram of a kilobyte to forty neighbours takes a narrow link 30 ms.
const SMALL: usize = 1_024;

/// How often a host that knows nobody greets the seeds.
const SEED_GREETINGS: u32 = 8;

/// How long it waits for their answer: hosts start within 300 ms of each other.
const SEED_PAUSE: Duration = Duration::from_millis(100);

/// How long after the first a second host of another data centre is told.
///
/// It tells its neighbours only what it hasn't heard from the first by then.
const SECOND_AFTER: Duration = Duration::from_millis(50);

/// With how many greetings a host greets one of another data centre.
const ABROAD_EVERY: u32 = 2;

/// How long to wait when no datagram can be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

impl Gateway {
    /// Says to all neighbours that this host is here, for ever.
    ///
    /// The seeds come first: they know the others, and asking them costs
    /// nothing. They may have started a moment later than this host.
    pub(super) async fn greet(self: Rc<Self>) {
        // A socket that was just opened refuses to send until it is known to be writable.
        if let Err(error) = self.socket.writable().await {
            log::warn!("E0406 datagram-not-sent error={error:?}");
        }
        for _ in 0..SEED_GREETINGS {
            self.greet_seeds();
            sleep(SEED_PAUSE).await;
            let known = self.neighbours.borrow();
            if !known.is_empty() && known.any_remote(0).is_some() {
                break;
            }
        }
        let mut ticks = interval(HELLO_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for tick in 0u32.. {
            ticks.tick().await;
            self.tell_all(&self.hello(false));
            if tick.is_multiple_of(ABROAD_EVERY) {
                self.greet_abroad();
            }
            let draw = self.draw();
            let asked = self.neighbours.borrow_mut().next_query(draw);
            if let Some(neighbour) = asked {
                self.tell(neighbour, &self.hello(true));
            }
        }
    }

    /// Greets one host of another data centre, so that some there know this one.
    fn greet_abroad(&self) {
        let draw = self.draw();
        let stranger = self.neighbours.borrow().any_remote(draw);
        if let Some(stranger) = stranger {
            self.tell(stranger, &self.hello(false));
        }
    }

    /// Tells other data centres what this host has read.
    pub(super) fn tell_abroad(self: &Rc<Self>, news: &RecordUpdate) {
        let contacts = self.neighbours.borrow_mut().remote_targets(clock::now());
        let message = NeighbourMessage::Update(news.for_other_centres());
        let mut seconds = Vec::new();
        for hosts in contacts {
            let mut hosts = hosts.into_iter();
            if let Some(first) = hosts.next() {
                self.tell(first, &message);
            }
            seconds.extend(hosts);
        }
        if seconds.is_empty() {
            return;
        }
        let gateway = Rc::clone(self);
        spawn_local(async move {
            sleep(SECOND_AFTER).await;
            for second in seconds {
                gateway.tell(second, &message);
            }
        });
    }

    fn greet_seeds(&self) {
        let hello = self.hello(true);
        let seeds = self.settings.seeds.iter();
        for seed in seeds.filter(|s| **s != self.settings.peers) {
            self.tell(*seed, &hello);
        }
    }

    /// Greets the neighbours that the store names, and names them to each other.
    ///
    /// They are told of a few hosts of `others`, the other data centres, as well.
    pub(super) fn introduce(&self, hosts: Vec<SocketAddr>, others: Vec<Contact>) {
        let now = clock::now();
        let draw = self.draw();
        let mut known = self.neighbours.borrow_mut();
        for host in &hosts {
            known.add(*host, now);
        }
        for contact in &others {
            known.add_remote(contact.clone(), now);
        }
        drop(known);
        self.tell_all(&NeighbourMessage::Hello(Hello {
            centre: self.settings.data_centre.clone(),
            wants_hosts: false,
            neighbours: hosts,
            contacts: neighbours::sample_by_centre(others, draw),
        }));
    }

    /// Greets a neighbour that another neighbour names.
    fn meet(&self, address: SocketAddr) {
        let new = self.neighbours.borrow_mut().add(address, clock::now());
        if new {
            self.tell(address, &self.hello(false));
        }
    }

    /// Tells the neighbours what was read: all of them where it is little, else
    /// those that pass it on, in fragments where no datagram holds it.
    ///
    /// Where many read something large at the same moment, only one that `spreads` it
    /// tells them, and none that is hearing it: the links would be filled twice.
    pub(super) fn tell_news(self: &Rc<Self>, news: RecordUpdate, spreads: bool) {
        match news.size() {
            n if n <= SMALL => self.tell_all(&NeighbourMessage::Update(news)),
            n if n <= DATAGRAM_LIMIT => self.pass_on(&news),
            _ if spreads && !self.awaits(news.topic) => {
                self.spread(
                    news.topic,
                    &NeighbourMessage::Update(news.without_addresses()),
                );
            }
            _ => {}
        }
    }

    /// Passes on what a neighbour, or this host, has read.
    fn pass_on(&self, news: &RecordUpdate) {
        let known = self.neighbours.borrow_mut().current(clock::now());
        let message = NeighbourMessage::Update(news.clone());
        for hop in relay::next_hops(self.settings.peers, news.relay_root, &known) {
            self.tell(hop, &message);
        }
    }

    /// Hears what neighbours tell, for ever.
    pub(super) async fn hear(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT * 4];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("E0403 datagram-not-received error={error:?}");
                    sleep(RECEIVE_PAUSE).await;
                    continue;
                }
            };
            self.take_datagram(from, &buffer[..length]);
        }
    }

    fn take_datagram(self: &Rc<Self>, from: SocketAddr, datagram: &[u8]) {
        let message = match NeighbourMessage::decode(datagram) {
            Ok(message) => message,
            Err(error) => {
                log::warn!("E0405 datagram-refused from={from} error={error}");
                return;
            }
        };
        self.traffic.borrow_mut().received(&message, datagram.len());
        match message {
            NeighbourMessage::Update(news) if news.cross_centre => self.take_abroad(news, from),
            NeighbourMessage::Update(news) => {
                let new = self.take_news(&news, from);
                let further = self.passes_on(&news);
                if (new || further) && news.size() > SMALL {
                    self.pass_on(&news);
                }
            }
            NeighbourMessage::ReadStarted(topic) => {
                self.meet(from);
                self.take_reading(topic);
            }
            NeighbourMessage::ReadFailed(topic) => self.take_trouble(topic),
            NeighbourMessage::SnapshotRequest(topic) => {
                self.meet(from);
                self.hand_over(from, topic);
            }
            NeighbourMessage::Snapshot(held) => self.take_held(held),
            NeighbourMessage::RecordsRequest(topic, next) => self.send_again(from, topic, next),
            NeighbourMessage::Fragment(topic, fragment) => self.take_fragment(topic, &fragment),
            NeighbourMessage::FragmentRequest(topic, r) => self.take_lacking(from, topic, &r),
            NeighbourMessage::Hello(hello) => self.take_hello(from, hello),
            NeighbourMessage::CrashReport(crashes) => self.learn_crashes(crashes),
            NeighbourMessage::LimitReport(limits) => self.hear_limits(limits),
            NeighbourMessage::Borrow(number) => self.lend_questions(from, number),
            NeighbourMessage::Lend(loan) => {
                let mut asks = self.asks.borrow_mut();
                asks.receive_loan(loan.request_id, loan.probes);
            }
        }
    }

    /// Returns whether news are yet to be passed on, and notes that they are.
    fn passes_on(&self, news: &RecordUpdate) -> bool {
        let mut neighbours = self.neighbours.borrow_mut();
        let passed = match news.topic {
            Topic::Operators => &mut neighbours.operators,
            Topic::Endpoints => &mut neighbours.endpoints,
        };
        passed.mark(news.relay_root, news.next())
    }

    fn take_hello(&self, from: SocketAddr, hello: Hello) {
        let now = clock::now();
        let greeted = self
            .neighbours
            .borrow_mut()
            .greeting_received(from, &hello.centre, now);
        match greeted {
            _ if hello.wants_hosts => {
                self.tell(from, &self.list(&hello.centre));
                if let Some(crashes) = self.known_crashes() {
                    self.tell(from, &crashes);
                }
            }
            GreetingEffect::New | GreetingEffect::NewRemote => self.tell(from, &self.hello(false)),
            GreetingEffect::Known | GreetingEffect::Remote => {}
        }
        for contact in hello.contacts {
            self.neighbours.borrow_mut().add_remote(contact, now);
        }
        for other in hello.neighbours {
            self.meet(other);
        }
        if greeted == GreetingEffect::New {
            self.want_all();
        }
    }

    /// Returns the greeting; `wants_hosts` asks whom the other knows.
    fn hello(&self, wants_hosts: bool) -> NeighbourMessage {
        NeighbourMessage::Hello(Hello {
            centre: self.settings.data_centre.clone(),
            wants_hosts,
            neighbours: Vec::new(),
            contacts: Vec::new(),
        })
    }

    /// Returns the greeting that names all hosts of `centre`, for one of them that asked.
    ///
    /// Were they named in every greeting, the bytes would grow with the square
    /// of the hosts: 250 KB a second and host where a data centre has a hundred.
    fn list(&self, centre: &str) -> NeighbourMessage {
        let now = clock::now();
        let mut known = self.neighbours.borrow_mut();
        NeighbourMessage::Hello(Hello {
            centre: self.settings.data_centre.clone(),
            wants_hosts: false,
            neighbours: known.hosts_of(centre, now),
            contacts: known.remote_sample(now),
        })
    }

    /// Tells all neighbours.
    pub(super) fn tell_all(&self, message: &NeighbourMessage) {
        let addresses = self.neighbours.borrow_mut().current(clock::now());
        for address in addresses {
            self.tell(address, message);
        }
    }

    /// Tells all hosts: the neighbours, and some elsewhere that tell theirs.
    ///
    /// `message` makes the message, by whether it goes to another data centre.
    pub(super) fn tell_site(&self, message: impl Fn(bool) -> NeighbourMessage) {
        self.tell_all(&message(false));
        let abroad = message(true);
        let contacts = self.neighbours.borrow_mut().remote_targets(clock::now());
        for host in contacts.into_iter().flatten() {
            self.tell(host, &abroad);
        }
    }

    /// Tells one neighbour.
    pub(super) fn tell(&self, address: SocketAddr, message: &NeighbourMessage) {
        let datagram = message.encode();
        self.traffic.borrow_mut().sent(message, datagram.len());
        send(&self.socket, address, &datagram);
    }
}

/// Sends a datagram, or drops it where the link is full: telling never blocks.
fn send(socket: &UdpSocket, address: SocketAddr, datagram: &[u8]) {
    match socket.try_send_to(datagram, address) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => {
            log::debug!("E0406 datagram-not-sent address={address} error={error:?}");
        }
        Err(error) => log::warn!(
            "E0406 datagram-not-sent address={address} bytes={} error={error:?}",
            datagram.len()
        ),
    }
}
