//! Messages between neighbours that are too large for a datagram.
//!
//! A change of thousands of routes fits into none. Were each host left to read
//! it from the store, all would at the same moment, and the store's bandwidth
//! would hold the last ones up beyond the time promised to operators. So the
//! message is cut into fragments, and each neighbour gets some of them, which it
//! passes on to all others: every host sends and receives about the message's
//! size once, however many hosts there are. A fragment that got lost is asked
//! for.
//!
//! At times several hosts read the same at the same moment, mostly when the one
//! that used to is turned away by the store. A message is therefore named by what
//! it holds, not by who sends it, and its fragments go the same way whoever does:
//! what comes twice is passed on once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derives::{key, tag, value};
use state::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// The smallest fragment cut.
///
/// Below this a datagram's own cost outweighs what it carries.
const SMALLEST: usize = 1_024;

/// The largest fragment cut, and taken.
const LARGEST: usize = 8 * 1_024;

/// The most fragments of one message that are taken: two megabytes of small ones.
const COUNT_LIMIT: u32 = 2_048;

/// How long a message is kept after the last of its fragments came.
///
/// Others that lost some of it ask for them meanwhile.
pub const KEEP_TIME: Duration = Duration::from_secs(5);

/// Messages kept at once; the one heard of longest ago goes first.
const KEPT_LIMIT: usize = 8;

/// How often a host asks for what it lacks before it leaves it to the store.
const ASKS: u32 = 6;

/// Which host to ask for a fragment becomes the one that passes it on to all.
///
/// Fragments get lost one by one, and a host or two ask. Where a third one does,
/// the neighbour that was to pass it on is gone, and all lack it.
const SPREAD_ASK: u32 = 3;

/// How long after that it is sent to nobody else, as it is on its way to all.
const SPREAD_PAUSE: Duration = Duration::from_millis(200);

/// Names a message that is sent in fragments, whoever sends it.
#[key]
pub struct MessageKey {
    /// The digest of its bytes.
    pub digest: u64,
    /// How many fragments it is cut into.
    pub count: u32,
}

/// A piece of a message.
#[value]
pub struct Fragment {
    /// The message.
    pub message: MessageKey,
    /// A host that holds the whole of it and sends it.
    pub origin: SocketAddr,
    /// Which piece this is, from 0.
    pub number: u32,
    /// Whether the receiver is to pass it on to all its neighbours.
    pub relay: bool,
    /// The piece.
    pub bytes: Bytes,
}

/// What a fragment that came was good for.
#[value]
pub enum Inserted {
    /// It was known, or makes no sense.
    Ignored,
    /// It was new.
    New,
    /// It was the last one that the message lacked.
    Complete(Bytes),
}

/// Whom to ask for fragments.
#[tag]
pub enum RequestTarget {
    /// A host that holds the whole message.
    Origin(SocketAddr),
    /// Any neighbour.
    Any,
}

/// A request for the fragments that a message lacks.
#[value]
pub struct FragmentRequest {
    /// The message.
    pub message: MessageKey,
    /// The numbers of the fragments.
    pub numbers: Vec<u32>,
}

/// Cuts a message of `origin` into fragments for this many hosts.
///
/// About one for each, so that all share the work of passing them on; in sizes
/// of which there are few, so that hosts which know one neighbour more or less
/// cut alike.
pub fn split(origin: SocketAddr, message: &Bytes, hosts: usize) -> Vec<Fragment> {
    let share = message.len().div_ceil(hosts.max(1));
    let size = size_class(share).clamp(SMALLEST, LARGEST);
    let key = MessageKey {
        digest: xxh3_64(message),
        count: u32::try_from(message.len().div_ceil(size)).unwrap_or(u32::MAX),
    };
    let starts = (0..message.len()).step_by(size);
    (0..)
        .zip(starts)
        .map(|(number, start)| Fragment {
            message: key,
            origin,
            number,
            relay: false,
            bytes: message.slice(start..message.len().min(start + size)),
        })
        .collect()
}

/// Returns the next size of which there are few: a power of two, or three quarters of one.
fn size_class(size: usize) -> usize {
    let power = size.next_power_of_two();
    let smaller = power / 4 * 3;
    if size <= smaller { smaller } else { power }
}

/// Returns what `me` sends to whom, so that all `neighbours` get these fragments.
///
/// Each goes to the host that passes it on to the others. That is the same one
/// for whichever host sends the message, but for what it would have to pass on
/// itself: the others share that.
pub fn assign_relays(
    me: SocketAddr,
    fragments: &[Fragment],
    neighbours: &[SocketAddr],
) -> Vec<(SocketAddr, Fragment)> {
    let mut hosts = neighbours.to_vec();
    hosts.push(me);
    hosts.sort();
    // The last hosts have one fragment less than the first. Which of them takes its
    // place depends on where it stands, so that not all who send the same choose one.
    let more = fragments.len() % hosts.len();
    let less = hosts.len() - more;
    let place = hosts.partition_point(|h| *h < me) * less / hosts.len();
    let mut instead = neighbours.iter().cycle().skip(more + place);
    let mut sent = Vec::new();
    for (host, fragment) in hosts.iter().cycle().zip(fragments) {
        let to = match *host == me {
            true => instead.next(),
            false => Some(host),
        };
        let relay = Fragment {
            relay: true,
            ..fragment.clone()
        };
        sent.extend(to.map(|to| (*to, relay)));
    }
    sent
}

/// Returns to whom `me` passes on a fragment that `origin` sent first, in this order.
///
/// Backwards from itself: the origin tells the hosts forwards, one after the
/// other. Were fragments passed on forwards too, those of all hosts would meet at
/// the same host at the same moment and be lost on its link.
pub fn relay_order(
    me: SocketAddr,
    origin: SocketAddr,
    neighbours: Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    let mut hosts = neighbours;
    hosts.retain(|h| *h != origin && *h != me);
    hosts.sort();
    let after = hosts.partition_point(|h| *h < me);
    hosts.rotate_left(after);
    hosts.reverse();
    hosts
}

/// One fragment's place in a message.
#[derive(Clone, Debug, Default)]
struct Place {
    bytes: Option<Bytes>,
    /// Hosts that have asked for it since it was last spread.
    askers: u32,
    relayed_at: Option<Moment>,
}

/// A message of which some or all fragments are here.
#[derive(Clone, Debug)]
struct Message {
    places: Vec<Place>,
    /// The host heard of last that holds the whole of it.
    origin: SocketAddr,
    lacking: usize,
    heard: Moment,
    /// When it was last heard of, or asked for.
    stirred: Moment,
    asks: u32,
}

impl Message {
    fn new(fragment: &Fragment, now: Moment) -> Message {
        let places = vec![Place::default(); fragment.message.count as usize];
        Message {
            origin: fragment.origin,
            lacking: places.len(),
            places,
            heard: now,
            stirred: now,
            asks: 0,
        }
    }

    /// Puts a fragment into its place, and returns whether that was empty.
    fn put(&mut self, fragment: &Fragment, now: Moment) -> bool {
        let Some(place) = self.places.get_mut(fragment.number as usize) else {
            return false;
        };
        if place.bytes.is_some() {
            return false;
        }
        place.bytes = Some(fragment.bytes.clone());
        self.lacking -= 1;
        self.heard = now;
        self.stirred = now;
        self.asks = 0;
        true
    }

    fn whole(&self) -> Bytes {
        let mut whole = BytesMut::new();
        for bytes in self.places.iter().filter_map(|p| p.bytes.as_ref()) {
            whole.extend_from_slice(bytes);
        }
        whole.freeze()
    }

    fn given_up(&self) -> bool {
        self.asks >= ASKS
    }

    /// Returns a fragment for a host that asks for it.
    fn resend(&mut self, number: u32, now: Moment) -> Option<(Bytes, bool)> {
        let place = self.places.get_mut(number as usize)?;
        let bytes = place.bytes.clone()?;
        if place
            .relayed_at
            .is_some_and(|at| now.since(at) < SPREAD_PAUSE)
        {
            return None;
        }
        place.askers += 1;
        let relay = place.askers >= SPREAD_ASK;
        if relay {
            place.askers = 0;
            place.relayed_at = Some(now);
        }
        Some((bytes, relay))
    }
}

/// The messages of which fragments have come, and those sent in fragments.
#[derive(Clone, Debug, Default)]
pub struct Reassembly {
    messages: BTreeMap<MessageKey, Message>,
}

impl Reassembly {
    /// Keeps a message of this host's, for neighbours that lose some of it.
    pub fn insert_own(&mut self, fragments: &[Fragment], now: Moment) {
        for fragment in fragments {
            self.place(fragment, now);
        }
    }

    /// Takes in a fragment.
    pub fn insert(&mut self, fragment: &Fragment, now: Moment) -> Inserted {
        let count = fragment.message.count;
        let known = fragment.number < count && count <= COUNT_LIMIT;
        if !known || fragment.bytes.len() > LARGEST || !self.place(fragment, now) {
            return Inserted::Ignored;
        }
        match self.messages.get(&fragment.message) {
            Some(message) if message.lacking == 0 => self.check(fragment.message),
            _ => Inserted::New,
        }
    }

    /// Returns the message, unless its fragments don't make what its digest names.
    fn check(&mut self, key: MessageKey) -> Inserted {
        let whole = self.messages.get(&key).map(Message::whole);
        match whole {
            Some(whole) if xxh3_64(&whole) == key.digest => Inserted::Complete(whole),
            _ => {
                self.messages.remove(&key);
                Inserted::Ignored
            }
        }
    }

    fn place(&mut self, fragment: &Fragment, now: Moment) -> bool {
        let message = self
            .messages
            .entry(fragment.message)
            .or_insert_with(|| Message::new(fragment, now));
        message.origin = fragment.origin;
        let new = message.put(fragment, now);
        self.expire(now);
        new
    }

    /// Forgets messages of which nothing has come for a while.
    pub fn expire(&mut self, now: Moment) {
        self.messages.retain(|_, m| now.since(m.heard) < KEEP_TIME);
        while self.messages.len() > KEPT_LIMIT {
            let oldest = self.messages.iter().min_by_key(|(_, m)| m.heard);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.messages.remove(&key);
        }
    }

    /// Returns whether fragments of this message are still awaited.
    pub fn is_incomplete(&self, key: MessageKey) -> bool {
        let message = self.messages.get(&key);
        message.is_some_and(|m| m.lacking > 0 && !m.given_up())
    }

    /// Returns what to ask for, and whom, where nothing came or was asked for in `silence`.
    ///
    /// The origin has them all for sure, unless it is gone; so any neighbour is
    /// asked in turn with it.
    pub fn next_request(
        &mut self,
        key: MessageKey,
        silence: Duration,
        now: Moment,
    ) -> Option<(RequestTarget, FragmentRequest)> {
        let message = self.messages.get_mut(&key)?;
        if message.lacking == 0 || message.given_up() || now.since(message.stirred) < silence {
            return None;
        }
        message.asks += 1;
        message.stirred = now;
        let source = match message.asks % 2 {
            1 => RequestTarget::Origin(message.origin),
            _ => RequestTarget::Any,
        };
        let places = (0..).zip(&message.places);
        let lacking = FragmentRequest {
            message: key,
            numbers: places
                .filter(|(_, p)| p.bytes.is_none())
                .map(|(n, _)| n)
                .collect(),
        };
        Some((source, lacking))
    }

    /// Returns the fragments that are here of those that a neighbour lacks.
    pub fn resend(&mut self, lacking: &FragmentRequest, now: Moment) -> Vec<Fragment> {
        let Some(message) = self.messages.get_mut(&lacking.message) else {
            return Vec::new();
        };
        let mut fragments = Vec::new();
        for number in &lacking.numbers {
            let Some((bytes, relay)) = message.resend(*number, now) else {
                continue;
            };
            fragments.push(Fragment {
                message: lacking.message,
                origin: message.origin,
                number: *number,
                relay,
                bytes,
            });
        }
        fragments
    }
}
