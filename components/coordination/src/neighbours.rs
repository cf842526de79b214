//! Tracks the hosts of the same data centre (neighbours) and how a host discovers them.
//!
//! Hosts greet each other; there is no list of them anywhere. A host that knows only a
//! few of its neighbours receives only some of the updates read from the store, and has
//! to read the others by itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derives::{tag, value};
use state::Moment;

use crate::relay::Forwarded;

/// How long a host is kept after it was last seen.
const HOST_TTL: Duration = Duration::from_secs(20);

/// How long the size of another data centre counts after it was last heard of.
const SIZE_TTL: Duration = Duration::from_secs(30);

/// How long a host counts as running after it was last seen. Hosts greet each other every
/// second.
const LIVE_TIME: Duration = Duration::from_millis(2_500);

/// Number of greetings with which a host that has just started queries a neighbour for
/// its known hosts.
///
/// When a whole site starts, the first answers contain only the few hosts that had
/// started by then.
const STARTUP_QUERIES: u32 = 5;

/// After the first greetings, one in this many contains a query.
///
/// A list of 300 hosts takes 5 KB; a query every ten seconds takes half a kilobyte a
/// second.
const GREETINGS_PER_QUERY: u32 = 10;

/// Number of hosts in each other data centre to which a host sends what it read.
///
/// With only one, the loss of a single datagram would leave its data centre behind.
pub const REMOTE_TARGETS: usize = 2;

/// Number of hosts of each other data centre in an answer to a query.
const SAMPLE_SIZE: usize = 3;

/// A host and its data centre.
#[value]
pub struct Contact {
    /// The host's data centre.
    pub centre: String,
    /// The address on which the host receives messages of other hosts.
    pub address: SocketAddr,
}

/// When a host of another data centre was last seen.
#[derive(Clone, Copy, Debug)]
struct LastSeen {
    at: Moment,
    /// Whether the host sent a greeting itself, rather than being named by another one.
    direct: bool,
}

/// The number of hosts of another data centre, as one of them estimates it.
#[derive(Clone, Copy, Debug)]
struct CentreSize {
    hosts: usize,
    at: Moment,
}

/// What a greeting changed.
#[tag]
pub enum GreetingEffect {
    /// A neighbour that was not known before.
    New,
    /// A neighbour that was known already.
    Known,
    /// A known host of another data centre.
    Remote,
    /// A host of another data centre that was not known before.
    NewRemote,
}

/// Returns a few hosts of each data centre; `draw` selects which ones.
///
/// `draw` is a random number, uniform over `u64`.
pub fn sample_by_centre(contacts: Vec<Contact>, draw: u64) -> Vec<Contact> {
    let mut centres: BTreeMap<String, Vec<Contact>> = BTreeMap::new();
    for contact in contacts {
        let hosts = centres.entry(contact.centre.clone()).or_default();
        hosts.push(contact);
    }
    let mut sample = Vec::new();
    for mut hosts in centres.into_values() {
        let count = u64::try_from(hosts.len()).unwrap_or(u64::MAX);
        let first = usize::try_from(draw % count).unwrap_or_default();
        hosts.rotate_left(first);
        hosts.truncate(SAMPLE_SIZE);
        sample.append(&mut hosts);
    }
    sample
}

/// The known hosts of the same data centre and of others, with when each was last seen.
#[derive(Clone, Debug)]
pub struct Neighbours {
    me: SocketAddr,
    centre: String,
    last_seen: BTreeMap<SocketAddr, Moment>,
    remotes: BTreeMap<String, BTreeMap<SocketAddr, LastSeen>>,
    remote_sizes: BTreeMap<String, CentreSize>,
    greetings: u32,
    /// Which updates of the operators' topic were already forwarded.
    pub operators: Forwarded,
    /// Which updates of the endpoints' topic were already forwarded.
    pub endpoints: Forwarded,
}

impl Neighbours {
    /// Returns the state of the host `me` of `centre` at its start, with no known hosts.
    pub fn new(me: SocketAddr, centre: &str) -> Neighbours {
        Neighbours {
            me,
            centre: centre.to_owned(),
            last_seen: BTreeMap::new(),
            remotes: BTreeMap::new(),
            remote_sizes: BTreeMap::new(),
            greetings: 0,
            operators: Forwarded::default(),
            endpoints: Forwarded::default(),
        }
    }

    /// Records a greeting of a host of `centre`.
    ///
    /// Hosts of other data centres are kept for queries from their own: a site's settings
    /// name three hosts to begin with, and there are more data centres than that.
    pub fn greeting_received(
        &mut self,
        from: SocketAddr,
        centre: &str,
        now: Moment,
    ) -> GreetingEffect {
        if centre != self.centre {
            let remotes = self.remotes.entry(centre.to_owned()).or_default();
            let last_seen = LastSeen {
                at: now,
                direct: true,
            };
            let new = remotes.insert(from, last_seen).is_none();
            return if new {
                GreetingEffect::NewRemote
            } else {
                GreetingEffect::Remote
            };
        }
        match self.last_seen.insert(from, now) {
            None => GreetingEffect::New,
            Some(_) => GreetingEffect::Known,
        }
    }

    /// Records a host that another one named; returns whether it is new and has to be
    /// greeted.
    pub fn add(&mut self, address: SocketAddr, now: Moment) -> bool {
        let new = address != self.me && !self.last_seen.contains_key(&address);
        if new {
            self.last_seen.insert(address, now);
        }
        new
    }

    /// Returns which neighbour to query for its known hosts with the next greeting;
    /// mostly none.
    ///
    /// `draw` is a random number, uniform over `u64`.
    pub fn next_query(&mut self, draw: u64) -> Option<SocketAddr> {
        self.greetings += 1;
        let due =
            self.greetings <= STARTUP_QUERIES || self.greetings.is_multiple_of(GREETINGS_PER_QUERY);
        self.any(draw).filter(|_| due)
    }

    /// Returns one of the neighbours; `draw` is a random number, uniform over `u64`.
    pub fn any(&self, draw: u64) -> Option<SocketAddr> {
        let count = u64::try_from(self.last_seen.len())
            .ok()
            .filter(|n| *n > 0)?;
        let at = usize::try_from(draw % count).ok()?;
        self.last_seen.keys().nth(at).copied()
    }

    /// Returns whether a host is a known neighbour.
    pub fn is_neighbour(&self, address: SocketAddr) -> bool {
        self.last_seen.contains_key(&address)
    }

    /// Returns whether no neighbour is known.
    pub fn is_empty(&self) -> bool {
        self.last_seen.is_empty()
    }

    /// Returns all neighbours, after removing those that haven't been seen for long.
    pub fn current(&mut self, now: Moment) -> Vec<SocketAddr> {
        let last_seen = &mut self.last_seen;
        last_seen.retain(|_, at| now.since(*at) < HOST_TTL);
        self.operators.retain(|a| last_seen.contains_key(&a));
        self.endpoints.retain(|a| last_seen.contains_key(&a));
        self.last_seen.keys().copied().collect()
    }

    /// Returns the neighbours that have just been heard of, in the order of their addresses.
    pub fn heard_lately(&self, now: Moment) -> Vec<SocketAddr> {
        let lately = self.last_seen.iter();
        let lately = lately.filter(|(_, at)| now.since(**at) < LIVE_TIME);
        lately.map(|(address, _)| *address).collect()
    }

    /// Returns the known hosts of other data centres.
    pub fn remote_hosts(&mut self, now: Moment) -> Vec<Contact> {
        self.expire_remotes(now);
        let centres = self.remotes.iter();
        let hosts = centres.flat_map(|(centre, hosts)| {
            hosts.keys().map(|address| Contact {
                centre: centre.clone(),
                address: *address,
            })
        });
        hosts.collect()
    }

    /// Returns the names of the other data centres that hosts are known of.
    pub fn remote_centres(&mut self, now: Moment) -> Vec<String> {
        self.expire_remotes(now);
        self.remotes.keys().cloned().collect()
    }

    /// Returns the known hosts of `centre`, for a query from a host of that data centre.
    pub fn hosts_of(&mut self, centre: &str, now: Moment) -> Vec<SocketAddr> {
        if centre == self.centre {
            return self.current(now);
        }
        let Some(remotes) = self.remotes.get_mut(centre) else {
            return Vec::new();
        };
        remotes.retain(|_, last_seen| now.since(last_seen.at) < HOST_TTL);
        remotes.keys().copied().collect()
    }

    /// Records a host of another data centre that a third host named.
    pub fn add_remote(&mut self, contact: Contact, now: Moment) {
        if contact.centre != self.centre {
            let remotes = self.remotes.entry(contact.centre).or_default();
            remotes.entry(contact.address).or_insert(LastSeen {
                at: now,
                direct: false,
            });
        }
    }

    /// Returns a few hosts of each other data centre, for an answer to a query.
    ///
    /// Contains only hosts that sent a greeting themselves: otherwise hosts would go on
    /// naming a failed host to each other forever.
    pub fn remote_sample(&mut self, now: Moment) -> Vec<Contact> {
        self.expire_remotes(now);
        let mut sample = Vec::new();
        for (centre, remotes) in &self.remotes {
            let direct = remotes.iter().filter(|(_, h)| h.direct).take(SAMPLE_SIZE);
            sample.extend(direct.map(|(address, _)| Contact {
                centre: centre.clone(),
                address: *address,
            }));
        }
        sample
    }

    /// Returns for each other data centre the hosts to which this one sends what it read.
    pub fn remote_targets(&mut self, now: Moment) -> Vec<Vec<SocketAddr>> {
        self.expire_remotes(now);
        let centres = self.remotes.values();
        centres
            .map(|hosts| {
                let mut hosts: Vec<(&SocketAddr, &LastSeen)> = hosts.iter().collect();
                hosts.sort_by_key(|(address, last_seen)| (!last_seen.direct, **address));
                hosts
                    .iter()
                    .take(REMOTE_TARGETS)
                    .map(|(a, _)| **a)
                    .collect()
            })
            .collect()
    }

    /// Returns any host of another data centre; `draw` is a random number, uniform over
    /// `u64`.
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

    /// Records how many hosts a host of another data centre knows there, itself included.
    pub fn size_received(&mut self, centre: &str, hosts: usize, now: Moment) {
        if centre != self.centre && hosts > 0 {
            let size = CentreSize { hosts, at: now };
            self.remote_sizes.insert(centre.to_owned(), size);
        }
    }

    /// Returns the number of hosts of this data centre, this one included.
    pub fn centre_size(&self) -> usize {
        self.last_seen.len() + 1
    }

    /// Estimates the number of hosts of all `centres` data centres.
    ///
    /// One that wasn't heard of lately counts as if it were as large as this one. Hosts that
    /// have gone count until they are forgotten, so the estimate errs on the high side while
    /// hosts leave, and on the low side for seconds while many start.
    pub fn site_size(&self, centres: usize, now: Moment) -> usize {
        let sizes = self.remote_sizes.values();
        let heard: Vec<usize> = sizes
            .filter(|size| now.since(size.at) < SIZE_TTL)
            .map(|size| size.hosts)
            .collect();
        let unheard = (centres - 1).saturating_sub(heard.len());
        let own = self.centre_size();
        own * (unheard + 1) + heard.iter().sum::<usize>()
    }

    /// Returns the number of known neighbours.
    pub fn len(&self) -> usize {
        self.last_seen.len()
    }

    fn expire_remotes(&mut self, now: Moment) {
        for remotes in self.remotes.values_mut() {
            remotes.retain(|_, last_seen| now.since(last_seen.at) < HOST_TTL);
        }
        self.remotes.retain(|_, remotes| !remotes.is_empty());
    }
}
