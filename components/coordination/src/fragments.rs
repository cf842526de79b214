//! Splits messages between neighbours that are too large for a datagram, and reassembles
//! them.
//!
//! A change of thousands of routes fits into no datagram. If each host read the change
//! from the store, all would do so at once, and the store's bandwidth would delay the
//! last ones beyond the time promised to operators. The sender therefore splits the
//! message into fragments and sends each neighbour some of them, which that neighbour
//! relays to all others: every host sends and receives about the message's size once,
//! however many hosts there are. Hosts request lost fragments again.
//!
//! At times several hosts read the same records at once, mostly when the store rejects
//! the host that was the reader. A message is therefore identified by a digest of its
//! content, not by its sender, and its fragments take the same paths whichever host sends
//! them: a fragment that arrives twice is relayed once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derives::{key, tag, value};
use state::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// The smallest size of a fragment that this host sends.
///
/// Below this the overhead of a datagram outweighs its payload.
const MIN_FRAGMENT_BYTES: usize = 1_024;

/// The largest size of a fragment, sent or accepted.
const MAX_FRAGMENT_BYTES: usize = 8 * 1_024;

/// The most fragments accepted for one message: two megabytes of small ones.
const MAX_FRAGMENTS: u32 = 2_048;

/// How long a message is kept after its last fragment arrived.
///
/// Hosts that lost fragments request them in this time.
pub const MESSAGE_TTL: Duration = Duration::from_secs(5);

/// Messages kept at once; the one whose last fragment is oldest is dropped first.
const MAX_MESSAGES: usize = 8;

/// Number of requests for the fragments of a message before the host gives up and reads
/// the store.
const MAX_REQUESTS: u32 = 6;

/// Number of requests for one fragment after which the fragment is relayed to all hosts
/// again.
///
/// Fragments get lost one by one, and one or two hosts request them. A third request
/// means that the neighbour which should have relayed the fragment has failed and all
/// hosts lack the fragment.
const RELAY_AFTER_REQUESTS: u32 = 3;

/// How long a fragment isn't sent in answer to requests after it was relayed again, since
/// a copy is on its way to all hosts.
const RELAY_PAUSE: Duration = Duration::from_millis(200);

/// Identifies a message that is sent in fragments, independently of its sender.
#[key]
pub struct MessageKey {
    /// The digest of the message's bytes.
    pub digest: u64,
    /// Number of fragments of the message.
    pub count: u32,
}

/// One fragment of a message.
#[value]
pub struct Fragment {
    /// The message that the fragment belongs to.
    pub message: MessageKey,
    /// A host that has the whole message and sends it.
    pub origin: SocketAddr,
    /// Index of the fragment, from 0.
    pub number: u32,
    /// Whether the receiver relays the fragment to all its neighbours.
    pub relay: bool,
    /// The offset up to which the message's receiver knows the topic afterwards.
    pub next: u64,
    /// How long ago the store was read to the message, if known.
    pub age: Option<Duration>,
    /// The fragment's part of the message.
    pub bytes: Bytes,
}

/// What became of a received fragment.
#[value]
pub enum Inserted {
    /// The fragment was known already, or is invalid.
    Ignored,
    /// The fragment was new, and others are missing still.
    New,
    /// The fragment was the last one missing; holds the whole message.
    Complete(Bytes),
}

/// Which host to request fragments from.
#[tag]
pub enum RequestTarget {
    /// A host that has the whole message.
    Origin(SocketAddr),
    /// Any neighbour.
    Any,
}

/// A request for the missing fragments of a message.
#[value]
pub struct FragmentRequest {
    /// The message that the fragments belong to.
    pub message: MessageKey,
    /// Indexes of the missing fragments.
    pub numbers: Vec<u32>,
}

/// Splits a message of `origin` into fragments for this many hosts; it leads to the offset
/// `next`.
///
/// Makes about one fragment per host, so that all share the relaying. Only few fragment
/// sizes are possible, so that hosts whose counts of neighbours differ slightly split a
/// message in the same way.
pub fn split(origin: SocketAddr, next: u64, message: &Bytes, hosts: usize) -> Vec<Fragment> {
    let share = message.len().div_ceil(hosts.max(1));
    let size = size_class(share).clamp(MIN_FRAGMENT_BYTES, MAX_FRAGMENT_BYTES);
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
            next,
            age: None,
            bytes: message.slice(start..message.len().min(start + size)),
        })
        .collect()
}

/// Rounds a size up to a power of two or three quarters of one.
fn size_class(size: usize) -> usize {
    let power = size.next_power_of_two();
    let smaller = power / 4 * 3;
    if size <= smaller { smaller } else { power }
}

/// Returns which fragments `me` sends to which host, so that all `neighbours` get them.
///
/// Each fragment goes to the host that relays it to the others. That host is the same
/// whichever host sends the message, except for the fragments that `me` would relay
/// itself: these are shared among the others.
pub fn assign_relays(
    me: SocketAddr,
    fragments: &[Fragment],
    neighbours: &[SocketAddr],
) -> Vec<(SocketAddr, Fragment)> {
    let mut hosts = neighbours.to_vec();
    hosts.push(me);
    hosts.sort();
    // The last hosts relay one fragment less than the first ones. Which of them relays a
    // fragment in place of the sender depends on the sender's rank, so that hosts sending
    // the same message don't all choose the same one.
    let more = fragments.len() % hosts.len();
    let less = hosts.len() - more;
    let rank = hosts.partition_point(|h| *h < me) * less / hosts.len();
    let mut substitutes = neighbours.iter().cycle().skip(more + rank);
    let mut sent = Vec::new();
    for (host, fragment) in hosts.iter().cycle().zip(fragments) {
        let to = match *host == me {
            true => substitutes.next(),
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

/// Returns the hosts to which `me` relays a fragment that `origin` sent first, in this
/// order.
///
/// The order runs backwards from `me`, since the origin sends to the hosts in ascending
/// order. If fragments were relayed in ascending order too, those of all hosts would
/// reach the same host at the same moment and be lost on its link.
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

/// One fragment of a message, received or missing.
#[derive(Clone, Debug, Default)]
struct Piece {
    bytes: Option<Bytes>,
    /// Number of requests for the fragment since it was last relayed.
    requests: u32,
    relayed_at: Option<Moment>,
}

/// A message of which some or all fragments have arrived.
#[derive(Clone, Debug)]
struct PartialMessage {
    pieces: Vec<Piece>,
    /// The last known host that has the whole message.
    origin: SocketAddr,
    missing: usize,
    next: u64,
    /// When the store was read to the message; unknown if any fragment doesn't tell.
    read_at: Option<Moment>,
    last_fragment: Moment,
    /// When a fragment last arrived or was requested.
    last_activity: Moment,
    requests: u32,
}

impl PartialMessage {
    fn new(fragment: &Fragment, now: Moment) -> PartialMessage {
        let pieces = vec![Piece::default(); fragment.message.count as usize];
        PartialMessage {
            origin: fragment.origin,
            missing: pieces.len(),
            pieces,
            next: fragment.next,
            read_at: read_at(fragment, now),
            last_fragment: now,
            last_activity: now,
            requests: 0,
        }
    }

    /// Stores a fragment, and returns whether it was missing.
    fn put(&mut self, fragment: &Fragment, now: Moment) -> bool {
        let Some(piece) = self.pieces.get_mut(fragment.number as usize) else {
            return false;
        };
        if piece.bytes.is_some() {
            return false;
        }
        piece.bytes = Some(fragment.bytes.clone());
        // Each fragment was on its way for some time, which its age leaves out.
        self.read_at = self
            .read_at
            .zip(read_at(fragment, now))
            .map(|(a, b)| a.min(b));
        self.missing -= 1;
        self.last_fragment = now;
        self.last_activity = now;
        self.requests = 0;
        true
    }

    fn assemble(&self) -> Bytes {
        let mut whole = BytesMut::new();
        for bytes in self.pieces.iter().filter_map(|p| p.bytes.as_ref()) {
            whole.extend_from_slice(bytes);
        }
        whole.freeze()
    }

    fn is_abandoned(&self) -> bool {
        self.requests >= MAX_REQUESTS
    }

    /// Returns a fragment's bytes for a host that requests them, and whether that host
    /// relays them.
    fn resend(&mut self, number: u32, now: Moment) -> Option<(Bytes, bool)> {
        let piece = self.pieces.get_mut(number as usize)?;
        let bytes = piece.bytes.clone()?;
        if piece
            .relayed_at
            .is_some_and(|at| now.since(at) < RELAY_PAUSE)
        {
            return None;
        }
        piece.requests += 1;
        let relay = piece.requests >= RELAY_AFTER_REQUESTS;
        if relay {
            piece.requests = 0;
            piece.relayed_at = Some(now);
        }
        Some((bytes, relay))
    }
}

/// Returns when the store was read to the message that a fragment belongs to, if it tells.
fn read_at(fragment: &Fragment, now: Moment) -> Option<Moment> {
    fragment.age.and_then(|age| now.checked_sub(age))
}

/// Reassembles received messages, and keeps fragments for neighbours that request them.
#[derive(Clone, Debug, Default)]
pub struct Reassembly {
    messages: BTreeMap<MessageKey, PartialMessage>,
}

impl Reassembly {
    /// Stores a message that this host sends, for neighbours that lose fragments of it.
    ///
    /// The store was read to it this long ago, or at an unknown moment.
    pub fn insert_own(&mut self, fragments: &[Fragment], age: Option<Duration>, now: Moment) {
        for fragment in fragments {
            let fragment = fragment.clone();
            self.store(&Fragment { age, ..fragment }, now);
        }
    }

    /// Returns how long ago the store was read to a message, if known.
    pub fn age(&self, key: MessageKey, now: Moment) -> Option<Duration> {
        let message = self.messages.get(&key)?;
        message.read_at.map(|at| now.since(at))
    }

    /// Stores a received fragment.
    pub fn insert(&mut self, fragment: &Fragment, now: Moment) -> Inserted {
        let count = fragment.message.count;
        let is_valid = fragment.number < count && count <= MAX_FRAGMENTS;
        if !is_valid || fragment.bytes.len() > MAX_FRAGMENT_BYTES || !self.store(fragment, now) {
            return Inserted::Ignored;
        }
        match self.messages.get(&fragment.message) {
            Some(message) if message.missing == 0 => self.check(fragment.message),
            _ => Inserted::New,
        }
    }

    /// Returns the assembled message, and discards it if its bytes don't match its
    /// digest.
    fn check(&mut self, key: MessageKey) -> Inserted {
        let whole = self.messages.get(&key).map(PartialMessage::assemble);
        match whole {
            Some(whole) if xxh3_64(&whole) == key.digest => Inserted::Complete(whole),
            _ => {
                self.messages.remove(&key);
                Inserted::Ignored
            }
        }
    }

    fn store(&mut self, fragment: &Fragment, now: Moment) -> bool {
        let message = self
            .messages
            .entry(fragment.message)
            .or_insert_with(|| PartialMessage::new(fragment, now));
        message.origin = fragment.origin;
        let new = message.put(fragment, now);
        self.expire(now);
        new
    }

    /// Drops messages of which no fragment has arrived for a while.
    pub fn expire(&mut self, now: Moment) {
        self.messages
            .retain(|_, m| now.since(m.last_fragment) < MESSAGE_TTL);
        while self.messages.len() > MAX_MESSAGES {
            let oldest = self.messages.iter().min_by_key(|(_, m)| m.last_fragment);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.messages.remove(&key);
        }
    }

    /// Returns whether fragments of the message are missing and still requested.
    pub fn is_incomplete(&self, key: MessageKey) -> bool {
        let message = self.messages.get(&key);
        message.is_some_and(|m| m.missing > 0 && !m.is_abandoned())
    }

    /// Returns the next request for missing fragments and which host to send it to, if no
    /// fragment arrived or was requested for `silence`.
    ///
    /// The origin has all fragments, unless it has failed; so requests alternate between
    /// the origin and any neighbour.
    pub fn next_request(
        &mut self,
        key: MessageKey,
        silence: Duration,
        now: Moment,
    ) -> Option<(RequestTarget, FragmentRequest)> {
        let message = self.messages.get_mut(&key)?;
        if message.missing == 0
            || message.is_abandoned()
            || now.since(message.last_activity) < silence
        {
            return None;
        }
        message.requests += 1;
        message.last_activity = now;
        let target = match message.requests % 2 {
            1 => RequestTarget::Origin(message.origin),
            _ => RequestTarget::Any,
        };
        let pieces = (0..).zip(&message.pieces);
        let request = FragmentRequest {
            message: key,
            numbers: pieces
                .filter(|(_, p)| p.bytes.is_none())
                .map(|(n, _)| n)
                .collect(),
        };
        Some((target, request))
    }

    /// Returns those of the requested fragments that this host has.
    pub fn resend(&mut self, request: &FragmentRequest, now: Moment) -> Vec<Fragment> {
        let Some(message) = self.messages.get_mut(&request.message) else {
            return Vec::new();
        };
        let mut fragments = Vec::new();
        for number in &request.numbers {
            let Some((bytes, relay)) = message.resend(*number, now) else {
                continue;
            };
            fragments.push(Fragment {
                message: request.message,
                origin: message.origin,
                number: *number,
                relay,
                next: message.next,
                age: None,
                bytes,
            });
        }
        fragments
    }
}
