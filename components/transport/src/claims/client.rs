//! The claiming side: sends a claim to the home of its key and waits for the first answer.

use std::collections::{BTreeMap, BTreeSet};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use coordination::claims::{
    Answer, ClaimId, ClaimKey, ClaimMessage, KeyRequest, Reply, key_ttl, may_start,
};
use coordination::members::LiveView;
use protocol::PeerMessage;
use rand::Rng;
use sha2::{Digest, Sha256};
use state::{HostKey, Moment};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::local_homes::{LocalHomes, home_of};
use super::worker::{Event, WorkerOptions};
use super::{CACHED_ANSWER_LIMIT, ClaimEnding, ClaimRequest, ClaimTicket, Verdict};
use crate::clock;
use crate::edge::KeyClaims;
use crate::log::BlockingStoreClient;
use crate::peers::Links;

/// How long a home may take to acknowledge a request. After that, this host acts
/// as home itself, so that a lost link delays a caller by no more than this.
const ACK_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which the end of a call is sent again until the home acknowledges it.
const END_RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of times that the end of a call is sent.
const MAX_END_SENDS: usize = 10;

/// How long before the call's deadline the verdict is due, so that the answer
/// still reaches the caller before the caller times out.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// How long a repeated call waits for the first call's answer.
///
/// This is long enough to return the answer to a double click. If the first
/// call hangs, the repeated call gets the verdict that it was started right
/// after this wait, and not only near its deadline.
const REPEAT_WAIT: Duration = Duration::from_secs(1);

/// When a caller may retry that got no verdict in time.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The dependencies of [`Claims`].
pub struct ClaimsOptions {
    /// The client of the store.
    pub client: BlockingStoreClient,
    /// The links to the other hosts.
    pub links: Arc<Links>,
    /// The options of the homes on this host.
    pub worker: WorkerOptions,
}

/// Claims keys for the calls that this host receives, and runs the homes of some streams.
pub struct Claims {
    own_key: HostKey,
    links: Arc<Links>,
    local_homes: LocalHomes,
    pending: Mutex<BTreeMap<ClaimId, UnboundedSender<HomeMessage>>>,
    /// The claims whose end no home has acknowledged yet.
    unacked_ends: Mutex<BTreeSet<ClaimId>>,
    this: Weak<Claims>,
    runtime: tokio::runtime::Handle,
}

/// A message from a home about a request.
enum HomeMessage {
    /// The home has received the request.
    Acknowledged,
    /// The home's answer.
    Answer(Answer),
}

/// A claim under way, which is given up when dropped unless it has been granted.
struct Claim<'a> {
    claims: &'a Claims,
    key_request: KeyRequest,
    /// The homes that the request was sent to.
    homes: Vec<HostKey>,
    messages: UnboundedReceiver<HomeMessage>,
    /// Whether a home has answered that the first call with the key is running.
    in_progress: bool,
    /// Whether the claim needs no giving up: it was granted, or no home can grant it later.
    decided: bool,
}

impl Claims {
    /// Starts the claims of this host on the current runtime.
    pub fn start(options: ClaimsOptions) -> Arc<Claims> {
        let own_key = options.links.own_key();
        let view = options.links.view();
        let claims = Arc::new_cyclic(|this| Claims {
            own_key,
            links: options.links,
            local_homes: LocalHomes::new(options.client, options.worker),
            pending: Mutex::default(),
            unacked_ends: Mutex::default(),
            this: Weak::clone(this),
            runtime: tokio::runtime::Handle::current(),
        });
        tokio::spawn(follow_view(Arc::downgrade(&claims), view));
        claims
    }

    /// Claims a key for a call. Returns before the request's deadline.
    ///
    /// After [`Verdict::Granted`], the call is to be sent once, and its end reported
    /// with [`Claims::end`]. Dropping the future gives the claim up.
    pub async fn claim(&self, request: ClaimRequest) -> Verdict {
        let started = clock::now();
        let key_request = KeyRequest {
            id: ClaimId(rand::rng().random()),
            key: claim_key(&request),
            digest: truncate(&request.digest),
            ttl: key_ttl(request.ttl, started.until(request.deadline)),
        };
        let until = request.deadline - DEADLINE_MARGIN;
        let deadline = Instant::now() + started.until(until);
        let (sender, messages) = unbounded_channel();
        lock(&self.pending).insert(key_request.id, sender);
        let mut claim = Claim {
            claims: self,
            key_request,
            homes: Vec::new(),
            messages,
            in_progress: false,
            decided: false,
        };
        let home = self.home(claim.key_request.key);
        claim.request_from(home, until);
        let answer = claim.wait(deadline, until).await;
        claim.decide(answer, started, until)
    }

    /// Reports to the key's home how a call with a granted claim ended. Never blocks.
    pub fn end(&self, ticket: ClaimTicket, ending: ClaimEnding) {
        let ending = match ending {
            ClaimEnding::Answered(cached) if cached.size() > CACHED_ANSWER_LIMIT => {
                ClaimEnding::AnsweredLarge
            }
            ending => ending,
        };
        self.send_end(ticket.id, ticket.key, ending);
    }

    /// Handles a message from another host.
    pub fn receive(&self, from: HostKey, message: ClaimMessage) {
        match message {
            ClaimMessage::Request(key_request, wait) => {
                self.links.send(
                    from,
                    &PeerMessage::Claim(ClaimMessage::RequestAck(key_request.id)),
                );
                let until = clock::now() + wait;
                let key = key_request.key;
                self.local_homes
                    .send(&self.this, key, Event::Request(from, key_request, until));
            }
            ClaimMessage::RequestAck(id) => self.notify(id, HomeMessage::Acknowledged),
            ClaimMessage::Answer(id, answer) => self.notify(id, HomeMessage::Answer(answer)),
            ClaimMessage::End(id, key, ending) => {
                self.links
                    .send(from, &PeerMessage::Claim(ClaimMessage::EndAck(id)));
                self.local_homes
                    .send(&self.this, key, Event::CallEnded(id, key, ending));
            }
            ClaimMessage::EndAck(id) => {
                lock(&self.unacked_ends).remove(&id);
            }
        }
    }

    /// Stops the homes on this host.
    pub fn stop(&self) {
        self.local_homes.stop();
    }

    /// Sends a home's answer to the host that made the request.
    pub(super) fn deliver(&self, reply: Reply) {
        if reply.to == self.own_key {
            self.notify(reply.id, HomeMessage::Answer(reply.answer));
            return;
        }
        let message = ClaimMessage::Answer(reply.id, reply.answer);
        self.links.send(reply.to, &PeerMessage::Claim(message));
    }

    fn notify(&self, id: ClaimId, message: HomeMessage) {
        if let Some(claim) = lock(&self.pending).get(&id) {
            let _ = claim.send(message);
        }
    }

    fn home(&self, key: ClaimKey) -> HostKey {
        let view = self.links.view();
        let view = view.borrow();
        home_of(key.stream(), &view).unwrap_or(self.own_key)
    }

    fn send_end(&self, id: ClaimId, key: ClaimKey, ending: ClaimEnding) {
        let home = self.home(key);
        if home == self.own_key {
            self.local_homes
                .send(&self.this, key, Event::CallEnded(id, key, ending));
            return;
        }
        lock(&self.unacked_ends).insert(id);
        let this = Weak::clone(&self.this);
        self.runtime.spawn(async move {
            for _ in 0..MAX_END_SENDS {
                let Some(claims) = this.upgrade() else { return };
                if !lock(&claims.unacked_ends).contains(&id) {
                    return;
                }
                claims.send_end_once(id, key, &ending);
                drop(claims);
                tokio::time::sleep(END_RESEND_INTERVAL).await;
            }
            if let Some(claims) = this.upgrade()
                && lock(&claims.unacked_ends).remove(&id)
            {
                claims
                    .local_homes
                    .send(&claims.this, key, Event::CallEnded(id, key, ending));
            }
        });
    }

    fn send_end_once(&self, id: ClaimId, key: ClaimKey, ending: &ClaimEnding) {
        let home = self.home(key);
        if home == self.own_key {
            lock(&self.unacked_ends).remove(&id);
            self.local_homes
                .send(&self.this, key, Event::CallEnded(id, key, ending.clone()));
            return;
        }
        let message = ClaimMessage::End(id, key, ending.clone());
        self.links.send(home, &PeerMessage::Claim(message));
    }
}

impl KeyClaims for Claims {
    fn claim(&self, request: ClaimRequest) -> Pin<Box<dyn Future<Output = Verdict> + Send + '_>> {
        Box::pin(Claims::claim(self, request))
    }

    fn end(&self, ticket: ClaimTicket, ending: ClaimEnding) {
        Claims::end(self, ticket, ending);
    }
}

impl Claim<'_> {
    fn request_from(&mut self, home: HostKey, until: Moment) {
        if self.homes.contains(&home) {
            return;
        }
        self.homes.push(home);
        let claims = self.claims;
        if home == claims.own_key {
            let event = Event::Request(home, self.key_request.clone(), until);
            claims
                .local_homes
                .send(&claims.this, self.key_request.key, event);
            return;
        }
        let wait = clock::now().until(until);
        let message = ClaimMessage::Request(self.key_request.clone(), wait);
        if !claims.links.send(home, &PeerMessage::Claim(message)) {
            self.request_from(claims.own_key, until);
        }
    }

    /// Waits for the first answer that decides the claim.
    ///
    /// Sends the request to this host's own home if the home does not
    /// acknowledge it in time, and to the stream's new home if all homes
    /// that have the request are lost.
    async fn wait(&mut self, mut deadline: Instant, until: Moment) -> Option<Answer> {
        let mut view = self.claims.links.view();
        let mut ack_deadline = Some(Instant::now() + ACK_TIMEOUT);
        loop {
            let limit = ack_deadline.map_or(deadline, |q| q.min(deadline));
            tokio::select! {
                biased;
                message = timeout_at(limit, self.messages.recv()) => match message {
                    Ok(Some(HomeMessage::Acknowledged)) => ack_deadline = None,
                    Ok(Some(HomeMessage::Answer(Answer::InProgress))) => {
                        ack_deadline = None;
                        self.in_progress = true;
                        deadline = deadline.min(Instant::now() + REPEAT_WAIT);
                    }
                    Ok(Some(HomeMessage::Answer(answer))) => return Some(answer),
                    Ok(None) => return None,
                    Err(_) if limit == deadline => return None,
                    Err(_) => {
                        ack_deadline = None;
                        metrics::counter!("cardamomvale_claims_home_silent_total").increment(1);
                        self.request_from(self.claims.own_key, until);
                    }
                },
                changed = view.changed() => {
                    changed.ok()?;
                    let lost = |h: &HostKey| *h != self.claims.own_key && !view.borrow().is_alive(*h);
                    if self.homes.iter().all(lost) {
                        let home = self.claims.home(self.key_request.key);
                        self.request_from(home, until);
                    }
                }
            }
        }
    }

    fn decide(&mut self, answer: Option<Answer>, started: Moment, until: Moment) -> Verdict {
        let now = clock::now();
        let taken = now.since(started);
        metrics::histogram!("cardamomvale_claims_seconds").record(taken.as_secs_f64());
        let verdict = match answer {
            Some(Answer::Granted) if !may_start(now, until) => Verdict::NotRun(RETRY_DELAY),
            Some(Answer::Granted) => Verdict::Granted(ClaimTicket {
                id: self.key_request.id,
                key: self.key_request.key,
            }),
            Some(Answer::Known(cached)) => Verdict::Known(cached),
            Some(Answer::Started) => Verdict::Started,
            Some(Answer::Mismatch) => Verdict::Mismatch,
            Some(Answer::NotRun(retry)) => Verdict::NotRun(retry),
            // The first call with the key may have run meanwhile.
            Some(Answer::InProgress) | None if self.in_progress => Verdict::Started,
            Some(Answer::InProgress) | None => Verdict::NotRun(RETRY_DELAY),
        };
        self.decided = match verdict {
            Verdict::Granted(_) => true,
            // Only one home has the request, and it has decided that this claim
            // does not get the key.
            Verdict::Known(_) | Verdict::Started | Verdict::Mismatch => {
                self.homes.len() == 1 && !self.in_progress
            }
            Verdict::NotRun(_) => false,
        };
        metrics::counter!("cardamomvale_claims_verdicts_total", "verdict" => label(&verdict))
            .increment(1);
        verdict
    }
}

impl Drop for Claim<'_> {
    /// Gives the claim up, unless it was granted.
    ///
    /// A claim without a verdict may still be granted later: the caller closed
    /// its connection, or the store was slow. The homes are notified that the
    /// claim is given up; otherwise repeated calls with the key would wait for a
    /// call that is never sent.
    fn drop(&mut self) {
        let claims = self.claims;
        lock(&claims.pending).remove(&self.key_request.id);
        if self.decided {
            return;
        }
        let (id, key) = (self.key_request.id, self.key_request.key);
        claims.send_end(id, key, ClaimEnding::GivenUp);
        let mine = claims.home(key) != claims.own_key && self.homes.contains(&claims.own_key);
        if mine {
            let event = Event::CallEnded(id, key, ClaimEnding::GivenUp);
            claims.local_homes.send(&claims.this, key, event);
        }
    }
}

/// Notifies the homes on this host of changes in which members are alive.
async fn follow_view(claims: Weak<Claims>, mut view: watch::Receiver<Arc<LiveView>>) {
    let mut alive: BTreeSet<HostKey> = BTreeSet::new();
    loop {
        let now = Arc::clone(&view.borrow_and_update());
        let Some(claims) = claims.upgrade() else {
            return;
        };
        let current: BTreeSet<HostKey> = now.alive().collect();
        let lost: Vec<HostKey> = alive.difference(&current).copied().collect();
        claims
            .local_homes
            .update_view(&claims.this, claims.own_key, &now, &lost);
        alive = current;
        drop(claims);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the key that a call claims: a hash of its service and its idempotency key.
pub fn claim_key(request: &ClaimRequest) -> ClaimKey {
    let mut hash = Sha256::new();
    hash.update(request.service.0.to_le_bytes());
    hash.update(request.key.as_bytes());
    ClaimKey(truncate(&hash.finalize().into()))
}

/// Returns the first half of a SHA-256 hash, which is long enough to avoid accidental collisions.
fn truncate(digest: &[u8; 32]) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    u128::from_le_bytes(half)
}

fn label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted(_) => "go",
        Verdict::Known(_) => "known",
        Verdict::Started => "started",
        Verdict::Mismatch => "mismatch",
        Verdict::NotRun(_) => "not_run",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
