//! Which hosts of its data centre a host knows, and how it gets to know the rest.
//!
//! Hosts greet each other; there is no list of them anywhere. A host that knows
//! only a few of its neighbours hears only part of what is read from the store
//! and reads it by itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derives::tag;
use state::Moment;

use crate::relay::Passed;

/// How long a neighbour that says nothing is still told.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Greetings with which a host that has just started asks whom others know.
///
/// Where a whole site starts, the first answers name only the few that had
/// started by then.
const EAGER: u32 = 5;

/// With how many later greetings it asks once.
///
/// A list of 300 hosts is 5 KB; asked for every ten seconds it takes half a
/// kilobyte a second.
const ASK_EVERY: u32 = 10;

/// What a greeting told.
#[tag]
pub enum Greeted {
    /// A neighbour is known now.
    New,
    /// Nothing new.
    Known,
    /// The greeting comes from another data centre.
    Stranger,
}

/// The hosts of the same data centre, and when each was heard or heard of.
#[derive(Clone, Debug)]
pub struct Neighbours {
    me: SocketAddr,
    centre: String,
    heard: BTreeMap<SocketAddr, Moment>,
    strangers: BTreeMap<String, BTreeMap<SocketAddr, Moment>>,
    greetings: u32,
    /// How far the operators' news were passed on.
    pub operators: Passed,
    /// How far the endpoints' news were passed on.
    pub endpoints: Passed,
}

impl Neighbours {
    /// Returns what the host `me` of `centre` knows at its start: nobody.
    pub fn new(me: SocketAddr, centre: &str) -> Neighbours {
        Neighbours {
            me,
            centre: centre.to_owned(),
            heard: BTreeMap::new(),
            strangers: BTreeMap::new(),
            greetings: 0,
            operators: Passed::default(),
            endpoints: Passed::default(),
        }
    }

    /// Takes in a greeting of a host of `centre`.
    ///
    /// Hosts of other data centres are remembered for those that ask for their
    /// own: a site names three hosts to begin with, and there are more data
    /// centres than that.
    pub fn greeted(&mut self, from: SocketAddr, centre: &str, now: Moment) -> Greeted {
        if centre != self.centre {
            let strangers = self.strangers.entry(centre.to_owned()).or_default();
            strangers.insert(from, now);
            return Greeted::Stranger;
        }
        match self.heard.insert(from, now) {
            None => Greeted::New,
            Some(_) => Greeted::Known,
        }
    }

    /// Takes in that another host names `address`; true where it is to be greeted.
    pub fn meet(&mut self, address: SocketAddr, now: Moment) -> bool {
        let new = address != self.me && !self.heard.contains_key(&address);
        if new {
            self.heard.insert(address, now);
        }
        new
    }

    /// Returns whom to ask with the next greeting whom it knows, nobody mostly.
    ///
    /// `draw` is evenly drawn from all of `u64`.
    pub fn ask(&mut self, draw: u64) -> Option<SocketAddr> {
        self.greetings += 1;
        let due = self.greetings <= EAGER || self.greetings.is_multiple_of(ASK_EVERY);
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
        heard.retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.operators.retain(|a| heard.contains_key(&a));
        self.endpoints.retain(|a| heard.contains_key(&a));
        self.heard.keys().copied().collect()
    }

    /// Returns the hosts of `centre` that this host has heard of, for one of them that asks.
    pub fn of(&mut self, centre: &str, now: Moment) -> Vec<SocketAddr> {
        if centre == self.centre {
            return self.current(now);
        }
        let Some(strangers) = self.strangers.get_mut(centre) else {
            return Vec::new();
        };
        strangers.retain(|_, at| now.since(*at) < FORGET_AFTER);
        strangers.keys().copied().collect()
    }
}
