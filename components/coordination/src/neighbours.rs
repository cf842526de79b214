//! Which hosts of its data centre a host knows, and how it gets to know the rest.
//!
//! Hosts greet each other; there is no list of them anywhere. A host that knows
//! only a few of its neighbours hears only part of what is read from the store
//! and reads it by itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derives::{tag, value};
use state::Moment;

use crate::relay::Forwarded;

/// How long a neighbour that says nothing is still told.
const HOST_TTL: Duration = Duration::from_secs(20);

/// Greetings with which a host that has just started asks whom others know.
///
/// Where a whole site starts, the first answers name only the few that had
/// started by then.
const STARTUP_QUERIES: u32 = 5;

/// With how many later greetings it asks once.
///
/// A list of 300 hosts is 5 KB; asked for every ten seconds it takes half a
/// kilobyte a second.
const QUERY_INTERVAL: u32 = 10;

/// Hosts of each other data centre that are told what this one reads.
///
/// Were it only one, the loss of one datagram would leave its data centre behind.
pub const REMOTE_TARGETS: usize = 2;

/// Hosts of each other data centre that are named to one that asks.
const SAMPLE_SIZE: usize = 3;

/// A host of another data centre.
#[value]
pub struct Contact {
    /// Its data centre.
    pub centre: String,
    /// Where it hears.
    pub address: SocketAddr,
}

/// When a host of another data centre was heard or heard of.
#[derive(Clone, Copy, Debug)]
struct LastSeen {
    at: Moment,
    /// Whether it said so itself.
    direct: bool,
}

/// What a greeting told.
#[tag]
pub enum GreetingEffect {
    /// A neighbour is known now.
    New,
    /// Nothing new.
    Known,
    /// The greeting comes from another data centre.
    Remote,
    /// It does, and its sender was not known.
    NewRemote,
}

/// Returns a few of the hosts of each data centre, others by another `draw`.
///
/// `draw` is evenly drawn from all of `u64`.
pub fn sample_by_centre(contacts: Vec<Contact>, draw: u64) -> Vec<Contact> {
    let mut centres: BTreeMap<String, Vec<Contact>> = BTreeMap::new();
    for contact in contacts {
        let hosts = centres.entry(contact.centre.clone()).or_default();
        hosts.push(contact);
    }
    let mut some = Vec::new();
    for mut hosts in centres.into_values() {
        let count = u64::try_from(hosts.len()).unwrap_or(u64::MAX);
        let first = usize::try_from(draw % count).unwrap_or_default();
        hosts.rotate_left(first);
        hosts.truncate(SAMPLE_SIZE);
        some.append(&mut hosts);
    }
    some
}

/// The hosts of the same data centre, and when each was heard or heard of.
#[derive(Clone, Debug)]
pub struct Neighbours {
    me: SocketAddr,
    centre: String,
    heard: BTreeMap<SocketAddr, Moment>,
    remotes: BTreeMap<String, BTreeMap<SocketAddr, LastSeen>>,
    greetings: u32,
    /// How far the operators' news were passed on.
    pub operators: Forwarded,
    /// How far the endpoints' news were passed on.
    pub endpoints: Forwarded,
}

impl Neighbours {
    /// Returns what the host `me` of `centre` knows at its start: nobody.
    pub fn new(me: SocketAddr, centre: &str) -> Neighbours {
        Neighbours {
            me,
            centre: centre.to_owned(),
            heard: BTreeMap::new(),
            remotes: BTreeMap::new(),
            greetings: 0,
            operators: Forwarded::default(),
            endpoints: Forwarded::default(),
        }
    }

    /// Takes in a greeting of a host of `centre`.
    ///
    /// Hosts of other data centres are remembered for those that ask for their
    /// own: a site names three hosts to begin with, and there are more data
    /// centres than that.
    pub fn greeting_received(
        &mut self,
        from: SocketAddr,
        centre: &str,
        now: Moment,
    ) -> GreetingEffect {
        if centre != self.centre {
            let remotes = self.remotes.entry(centre.to_owned()).or_default();
            let heard = LastSeen {
                at: now,
                direct: true,
            };
            let new = remotes.insert(from, heard).is_none();
            return if new {
                GreetingEffect::NewRemote
            } else {
                GreetingEffect::Remote
            };
        }
        match self.heard.insert(from, now) {
            None => GreetingEffect::New,
            Some(_) => GreetingEffect::Known,
        }
    }

    /// Takes in that another host names `address`; true where it is to be greeted.
    pub fn add(&mut self, address: SocketAddr, now: Moment) -> bool {
        let new = address != self.me && !self.heard.contains_key(&address);
        if new {
            self.heard.insert(address, now);
        }
        new
    }

    /// Returns whom to ask with the next greeting whom it knows, nobody mostly.
    ///
    /// `draw` is evenly drawn from all of `u64`.
    pub fn next_query(&mut self, draw: u64) -> Option<SocketAddr> {
        self.greetings += 1;
        let due =
            self.greetings <= STARTUP_QUERIES || self.greetings.is_multiple_of(QUERY_INTERVAL);
        self.any(draw).filter(|_| due)
    }

    /// Returns one of the neighbours, by `draw`, evenly drawn from all of `u64`.
    pub fn any(&self, draw: u64) -> Option<SocketAddr> {
        let count = u64::try_from(self.heard.len()).ok().filter(|n| *n > 0)?;
        let at = usize::try_from(draw % count).ok()?;
        self.heard.keys().nth(at).copied()
    }

    /// Returns whether no neighbour is known.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Returns all neighbours, and forgets those that have long been silent.
    pub fn current(&mut self, now: Moment) -> Vec<SocketAddr> {
        let heard = &mut self.heard;
        heard.retain(|_, at| now.since(*at) < HOST_TTL);
        self.operators.retain(|a| heard.contains_key(&a));
        self.endpoints.retain(|a| heard.contains_key(&a));
        self.heard.keys().copied().collect()
    }

    /// Returns the hosts of `centre` that this host has heard of, for one of them that asks.
    pub fn hosts_of(&mut self, centre: &str, now: Moment) -> Vec<SocketAddr> {
        if centre == self.centre {
            return self.current(now);
        }
        let Some(remotes) = self.remotes.get_mut(centre) else {
            return Vec::new();
        };
        remotes.retain(|_, heard| now.since(heard.at) < HOST_TTL);
        remotes.keys().copied().collect()
    }

    /// Takes in that another host names one of another data centre.
    pub fn add_remote(&mut self, contact: Contact, now: Moment) {
        if contact.centre != self.centre {
            let remotes = self.remotes.entry(contact.centre).or_default();
            remotes.entry(contact.address).or_insert(LastSeen {
                at: now,
                direct: false,
            });
        }
    }

    /// Returns a few hosts of each other data centre, to be named to one that asks.
    ///
    /// Only those that were heard themselves: one that is gone would else be named
    /// for ever.
    pub fn remote_sample(&mut self, now: Moment) -> Vec<Contact> {
        self.expire_remotes(now);
        let mut named = Vec::new();
        for (centre, remotes) in &self.remotes {
            let heard = remotes.iter().filter(|(_, h)| h.direct).take(SAMPLE_SIZE);
            named.extend(heard.map(|(address, _)| Contact {
                centre: centre.clone(),
                address: *address,
            }));
        }
        named
    }

    /// Returns whom to tell in each other data centre what this one reads.
    pub fn remote_targets(&mut self, now: Moment) -> Vec<Vec<SocketAddr>> {
        self.expire_remotes(now);
        let centres = self.remotes.values();
        centres
            .map(|hosts| {
                let mut hosts: Vec<(&SocketAddr, &LastSeen)> = hosts.iter().collect();
                hosts.sort_by_key(|(address, heard)| (!heard.direct, **address));
                hosts
                    .iter()
                    .take(REMOTE_TARGETS)
                    .map(|(a, _)| **a)
                    .collect()
            })
            .collect()
    }

    /// Returns any host of another data centre; `draw` is evenly drawn from all of `u64`.
    pub fn any_remote(&self, draw: u64) -> Option<SocketAddr> {
        let all: Vec<SocketAddr> = self
            .remotes
            .values()
            .flat_map(|s| s.keys().copied())
            .collect();
        let count = u64::try_from(all.len()).ok().filter(|n| *n > 0)?;
        usize::try_from(draw % count)
            .ok()
            .and_then(|at| all.get(at).copied())
    }

    /// Returns how many neighbours are known.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    fn expire_remotes(&mut self, now: Moment) {
        for remotes in self.remotes.values_mut() {
            remotes.retain(|_, heard| now.since(heard.at) < HOST_TTL);
        }
        self.remotes.retain(|_, remotes| !remotes.is_empty());
    }
}
