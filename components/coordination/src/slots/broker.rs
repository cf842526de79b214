//! Finds idle slots for waiting calls, for one service in one region.
//!
//! A broker only decides who gets a slot next. The slots it has to give are
//! leases its own host holds, and what it asks of others they may decline: a
//! broker that is doubled, wrong or gone costs time and never safety.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derives::value;
use state::{HostKey, Moment};

use super::message::{Demand, Stamp};

/// What a broker knows of the hosts that want or hold slots of its service.
#[value]
pub struct Broker {
    clients: BTreeMap<HostKey, Client>,
    hungry: bool,
    unmet: Moment,
    reviewed: Moment,
}

/// One host, by its last report.
#[value]
pub struct Client {
    stamp: Stamp,
    waiting: u32,
    unmet: u32,
    since: Moment,
    spare: u32,
    held: u32,
    idle: u32,
    got: u32,
    coming: VecDeque<Moment>,
    asked: VecDeque<Moment>,
    leaving: VecDeque<Moment>,
    heard: Moment,
    spoken: Moment,
}

/// A slot to be moved from one holder to another.
#[value]
pub struct Move {
    /// Who gives it.
    pub from: HostKey,
    /// Who gets it.
    pub to: HostKey,
    /// The stamp of the host that gets it.
    pub echo: Stamp,
    /// How long the call waits that it is for.
    pub oldest: Duration,
}

/// A slot on its way is forgotten after this: the giver may have had none free.
const ON_WAY: Duration = Duration::from_millis(20);
/// A slot asked for is forgotten after this: the giver may have had none free.
const ASKED: Duration = Duration::from_millis(10);
/// A host unheard of for this long wants and holds nothing.
const SILENT: Duration = Duration::from_millis(3_000);
/// The least time between two rounds of moves.
const ROUND: Duration = Duration::from_millis(2);
/// A difference of waits worth a move, which costs the slot half a round trip.
const MARGIN: Duration = Duration::from_millis(4);
/// Calls must have found slots for this long before hosts may keep spares again.
const CALM: Duration = Duration::from_millis(10);
/// A client spoken to longer ago than this is sent a pulse, for its stamp.
const SPOKEN: Duration = Duration::from_millis(500);

impl Broker {
    /// Returns a broker that has heard nothing.
    pub fn new(now: Moment) -> Broker {
        Broker {
            clients: BTreeMap::new(),
            hungry: false,
            unmet: now,
            reviewed: now,
        }
    }

    /// Takes in a report; returns whether the host should be sent a pulse.
    pub fn note(&mut self, from: HostKey, stamp: Stamp, demand: &Demand, now: Moment) -> bool {
        let known = self.clients.contains_key(&from);
        let client = self.clients.entry(from).or_insert_with(|| Client::new(now));
        if client.stamp.life != stamp.life {
            *client = Client::new(now);
            client.got = demand.got;
        }
        let arrived = demand.got.wrapping_sub(client.got) as usize;
        let arrived = arrived.min(client.coming.len());
        client.coming.drain(..arrived);
        let gone = client.held.saturating_sub(demand.held) as usize;
        client.leaving.drain(..gone.min(client.leaving.len()));
        client.got = demand.got;
        client.stamp = stamp;
        client.settle(now);
        let served = client.unmet.saturating_sub(demand.waiting) as usize;
        client.asked.drain(..served.min(client.asked.len()));
        client.waiting = demand.waiting;
        client.unmet = demand.waiting.saturating_sub(client.coming.len() as u32);
        client.since = now - demand.oldest;
        client.spare = demand.spare;
        client.held = demand.held;
        client.idle = demand.idle;
        client.heard = now;
        let due = now.since(client.spoken) >= SPOKEN;
        if due {
            client.spoken = now;
        }
        due || (self.hungry && !known)
    }

    /// Forgets hosts that are gone.
    pub fn retain(&mut self, alive: impl Fn(HostKey) -> bool) {
        self.clients.retain(|host, _| alive(*host));
    }

    /// Returns the host, but for `except`, whose calls have waited longest without a
    /// slot on the way, and how long they have.
    pub fn neediest(&self, except: Option<HostKey>, now: Moment) -> Option<(HostKey, Duration)> {
        self.clients
            .iter()
            .filter(|(host, c)| Some(**host) != except && c.unmet(now) > 0)
            .map(|(host, c)| (*host, c.age(now)))
            .max_by_key(|(host, age)| (*age, *host))
    }

    /// Returns the host whose calls have waited longest with no slot asked for, and how long.
    fn unasked(&self, now: Moment) -> Option<(HostKey, Duration)> {
        self.clients
            .iter()
            .filter(|(_, c)| c.unmet(now) > c.asked.len() as u32)
            .map(|(host, c)| (*host, c.age(now)))
            .max_by_key(|(host, age)| (*age, *host))
    }

    /// Returns a host, but for `except`, that wants a spare slot for its next calls.
    pub fn wishing(&self, except: HostKey, now: Moment) -> Option<HostKey> {
        self.clients
            .iter()
            .filter(|(host, c)| **host != except && c.wish(now) > 0)
            .max_by_key(|(host, c)| (c.wish(now), **host))
            .map(|(host, _)| *host)
    }

    /// Returns the last stamp of a host.
    pub fn stamp(&self, host: HostKey) -> Option<Stamp> {
        self.clients.get(&host).map(|c| c.stamp)
    }

    /// Notes that a slot is on its way to a host.
    pub fn note_sent(&mut self, to: HostKey, now: Moment) {
        if let Some(client) = self.clients.get_mut(&to) {
            client.coming.push_back(now);
            match client.unmet {
                0 => client.spare = client.spare.saturating_sub(1),
                _ => client.unmet -= 1,
            }
            client.spoken = now;
        }
    }

    /// Decides which slots move between other hosts; `own` is this host's oldest wait.
    ///
    /// Made for more waiting calls than idle slots. Without it the calls of a
    /// host that has few slots wait long while younger ones elsewhere are
    /// started; each move costs a slot half a round trip, so only differences
    /// above [`MARGIN`] are worth one, and a round moves one slot a giver.
    pub fn moves(&mut self, now: Moment) -> Vec<Move> {
        if now.since(self.reviewed) < ROUND {
            return Vec::new();
        }
        self.reviewed = now;
        for client in self.clients.values_mut() {
            client.settle(now);
        }
        let mut moves = Vec::new();
        let mut givers = self.givers(now);
        while let Some((to, wait)) = self.unasked(now) {
            let Some(index) = givers
                .iter()
                .position(|(from, age)| *from != to && *age + MARGIN < wait)
            else {
                break;
            };
            let (from, _) = givers.swap_remove(index);
            let echo = self.stamp(to).unwrap_or_default();
            if let Some(client) = self.clients.get_mut(&to) {
                client.asked.push_back(now + ASKED);
            }
            if let Some(giver) = self.clients.get_mut(&from) {
                giver.leaving.push_back(now);
                giver.spoken = now;
            }
            moves.push(Move {
                from,
                to,
                echo,
                oldest: wait,
            });
        }
        moves
    }

    /// Returns the new state where hosts have to be told that it changed.
    pub fn pulse(&mut self, now: Moment) -> Option<bool> {
        let unmet = self.neediest(None, now).is_some();
        if unmet {
            self.unmet = now;
        }
        let hungry = unmet || (self.hungry && now.since(self.unmet) < CALM);
        let changed = hungry != self.hungry;
        self.hungry = hungry;
        changed.then_some(hungry)
    }

    /// Returns whether calls wait that no idle slot can serve.
    pub fn is_hungry(&self) -> bool {
        self.hungry
    }

    /// Returns the hosts that hold slots.
    pub fn holders(&self) -> Vec<HostKey> {
        let holding = self.clients.iter().filter(|(_, c)| c.held > 0);
        holding.map(|(host, _)| *host).collect()
    }

    fn givers(&self, now: Moment) -> Vec<(HostKey, Duration)> {
        let mut givers: Vec<(HostKey, Duration)> = self
            .clients
            .iter()
            .filter(|(_, c)| c.held as usize > c.leaving.len())
            .map(|(host, c)| (*host, c.age(now)))
            .collect();
        givers.sort_by_key(|(host, age)| (*age, *host));
        givers
    }
}

impl Client {
    fn new(now: Moment) -> Client {
        Client {
            stamp: Stamp::default(),
            waiting: 0,
            unmet: 0,
            since: now,
            spare: 0,
            held: 0,
            idle: 0,
            got: 0,
            coming: VecDeque::new(),
            asked: VecDeque::new(),
            leaving: VecDeque::new(),
            heard: now,
            spoken: Moment(0),
        }
    }

    fn unmet(&self, now: Moment) -> u32 {
        if now.since(self.heard) > SILENT {
            return 0;
        }
        self.unmet
    }

    fn wish(&self, now: Moment) -> u32 {
        if now.since(self.heard) > SILENT {
            return 0;
        }
        self.unmet + self.spare
    }

    /// Returns the wait of its oldest call that has no slot on the way, as a guess.
    fn age(&self, now: Moment) -> Duration {
        match (self.waiting, self.unmet(now)) {
            (0, _) | (_, 0) => Duration::ZERO,
            (waiting, unmet) => now.since(self.since) * unmet / waiting.max(unmet),
        }
    }

    fn settle(&mut self, now: Moment) {
        self.coming.retain(|at| now.since(*at) < ON_WAY);
        self.asked.retain(|until| *until > now);
        self.leaving.retain(|at| now.since(*at) < ON_WAY);
    }
}
