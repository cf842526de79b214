//! Runs the failure detector, and joins and leaves on behalf of this host.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coordination::config::Change;
use coordination::members::membership::{Membership, Step};
use coordination::members::{Action, Detector, MemberId, OwnerStatus, unlisted_members};
use protocol::PeerMessage;
use protocol::config_record::encode_snapshot;
use protocol::peer::{ConfigOffer, MESSAGE_LIMIT};
use rand::Rng;
use state::{Config, HostKey, Moment};
use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::host_list::{self, HostEntry, HostState};
use super::links::{Identity, Links, MessageHandler};
use crate::clock;
use crate::log::{CommandRequest, Follower, Outcome, Submission};

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the platform's list of hosts is read.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// How long ago a joining host may have last seen the end of the `config` stream.
const MAX_LOG_AGE: Duration = Duration::from_secs(3);

/// The dependencies of [`Members`].
pub struct MembersOptions {
    /// The identity of this process.
    pub identity: Identity,
    /// The address at which peers reach this host, as its `Join` command states it.
    pub address: std::net::SocketAddr,
    /// The follower of the `config` stream.
    pub follower: Arc<Follower>,
    /// The address at which the platform serves its list of hosts.
    pub host_list: std::net::SocketAddr,
    /// Submits joins and removals to the `config` stream.
    pub submission: Submission,
}

/// The members as this host sees them, and its own membership.
pub struct Members {
    links: Arc<Links>,
    detector: Mutex<Detector>,
    membership: Mutex<Membership>,
    options: MembersOptions,
    handler: Arc<dyn MessageHandler>,
    stop: CancellationToken,
}

impl Members {
    /// Starts the links and the failure detector on the current runtime.
    ///
    /// Messages that don't concern membership are passed to `handler`.
    pub fn start(
        options: MembersOptions,
        listener: TcpListener,
        links: Arc<Links>,
        handler: Arc<dyn MessageHandler>,
    ) -> Arc<Members> {
        let now = clock::now();
        let id = member_id(&links.identity());
        let members = Arc::new(Members {
            links,
            detector: Mutex::new(Detector::new(id, now)),
            membership: Mutex::new(Membership::new(now)),
            options,
            handler,
            stop: CancellationToken::new(),
        });
        let changes = members.options.follower.changes();
        members.configure(&members.config());
        members
            .links
            .run(listener, Arc::clone(&members) as Arc<dyn MessageHandler>);
        tokio::spawn(Arc::clone(&members).follow_config(changes));
        tokio::spawn(Arc::clone(&members).run_ticks());
        tokio::spawn(Arc::clone(&members).poll_host_list());
        members
    }

    /// Returns whether this host may act as an owner now. To be called right before acting.
    pub fn may_act(&self) -> bool {
        self.detector().may_act(clock::now())
    }

    /// Returns when this member's configuration was last confirmed to be current.
    pub fn current_at(&self) -> Option<Moment> {
        self.detector().current_at()
    }

    /// Returns what is known of the previous `owner` after the change at offset `change`.
    pub fn owner_status(&self, owner: MemberId, change: u64) -> OwnerStatus {
        self.detector().owner_status(owner, change)
    }

    /// Asks `host` up to which offset it has applied the configuration; the view shows the answer.
    pub fn ask(&self, host: HostKey) {
        self.with_detector(|d| d.ask(host, clock::now()));
    }

    /// Returns the member id of this process.
    pub fn own_id(&self) -> MemberId {
        member_id(&self.links.identity())
    }

    /// Returns whether the configuration lists this process as a member.
    pub fn is_member(&self) -> bool {
        is_member(&self.config(), self.own_id())
    }

    /// Submits a drain of this host, after which its roles go to other hosts.
    ///
    /// Returns false if the drain was not in force within `limit`.
    pub async fn drain(&self, limit: Duration) -> bool {
        let own_id = self.own_id();
        let mut config = self.options.follower.config();
        self.submit(Change::Drain {
            host: own_id.host,
            incarnation: own_id.incarnation,
        });
        let drained = config.wait_for(|c| c.draining.contains(&own_id.host));
        matches!(tokio::time::timeout(limit, drained).await, Ok(Ok(_)))
    }

    /// Submits the removal of this host and waits until the removal is in force.
    ///
    /// Returns false if that did not happen within `limit`; the others then
    /// remove this host after they have stopped receiving its heartbeats.
    pub async fn leave(&self, limit: Duration) -> bool {
        lock(&self.membership).leave();
        let left = async {
            while self.detector().is_member() {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        };
        tokio::time::timeout(limit, left).await.is_ok()
    }

    /// Closes all links and ends all tasks.
    pub fn stop(&self) {
        self.stop.cancel();
        self.links.stop();
    }

    async fn follow_config(self: Arc<Self>, mut changes: broadcast::Receiver<Arc<Config>>) {
        loop {
            let changed = tokio::select! {
                () = self.stop.cancelled() => return,
                changed = changes.recv() => changed,
            };
            match changed {
                Ok(config) => self.configure(&config),
                Err(RecvError::Lagged(_)) => self.configure(&self.config()),
                Err(RecvError::Closed) => return,
            }
        }
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut progress = self.options.follower.progress();
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                _ = tick.tick() => {}
            }
            let read = progress.borrow_and_update().end_seen;
            self.with_detector(|d| {
                if let Some(asked) = read {
                    d.note_log_end(asked);
                }
                d.tick(clock::now());
            });
            self.step();
            let view = self.detector().view();
            self.links.publish(view);
        }
    }

    /// Submits this host's join or removal, or renews its incarnation, if one of them is due.
    fn step(&self) {
        let now = clock::now();
        let identity = self.links.identity();
        let id = member_id(&identity);
        let member = is_member(&self.config(), id);
        let progress = self.options.follower.progress();
        let current = progress.borrow().is_fresh(now, MAX_LOG_AGE);
        let step = lock(&self.membership).step(member, current, now);
        match step {
            Step::Wait => {}
            Step::Join => self.submit(Change::Join {
                name: identity.name,
                incarnation: id.incarnation,
                peer: self.options.address,
                data_centre: identity.data_centre,
            }),
            Step::Leave => self.submit(Change::Remove {
                host: id.host,
                incarnation: id.incarnation,
            }),
            Step::Renew => self.renew_incarnation(),
        }
    }

    /// Takes a new incarnation after others removed this host, for instance while it was paused.
    ///
    /// The slots of the old incarnation may have other owners by now, and the
    /// other members refuse its messages.
    fn renew_incarnation(&self) {
        let incarnation = rand::rng().random();
        log::warn!("E0414 removed-by-others new-incarnation={incarnation}");
        self.links.set_incarnation(incarnation);
        *self.detector() = Detector::new(self.own_id(), clock::now());
        self.configure(&self.config());
    }

    fn submit(&self, change: Change) {
        let submission = self.options.submission.clone();
        tokio::task::spawn_blocking(move || {
            let text = format!("{change:?}");
            let request = CommandRequest {
                id: None,
                decided_on: None,
                change,
            };
            match submission.submit(&request) {
                Outcome::Accepted { revision } => {
                    log::info!("E0413 membership-written revision={revision} change={text:?}");
                }
                outcome => {
                    log::warn!("E0412 membership-not-written outcome={outcome:?} change={text:?}");
                }
            }
        });
    }

    async fn poll_host_list(self: Arc<Self>) {
        let mut tick = interval(LIST_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                _ = tick.tick() => {}
            }
            let address = self.options.host_list.to_string();
            let read = tokio::task::spawn_blocking(move || host_list::read(&address)).await;
            let list = match read {
                Ok(Ok(list)) => list,
                // A failed read is no sign that a host is gone.
                Ok(Err(error)) => {
                    log::debug!("E0416 host-list-unreadable error={error:?}");
                    Vec::new()
                }
                Err(error) => {
                    log::debug!("E0416 host-list-unreadable error={error:?}");
                    Vec::new()
                }
            };
            let live = live_names(list);
            let own_name = self.links.identity().name;
            let gone = unlisted_members(&live, &own_name, &self.config());
            self.detector().set_unlisted(gone);
        }
    }

    fn configure(&self, config: &Config) {
        if is_member(config, self.own_id()) {
            lock(&self.membership).joined(clock::now());
        }
        self.with_detector(|d| d.configure(config, clock::now()));
        let view = self.detector().view();
        self.links.publish(view);
    }

    /// Runs `work` on the detector, then carries out the actions that the detector requests.
    fn with_detector(&self, work: impl FnOnce(&mut Detector)) {
        let mut detector = self.detector();
        work(&mut detector);
        let actions = detector.actions();
        let changed = actions
            .iter()
            .any(|a| matches!(a, Action::Suspected(_) | Action::Refuted(_)));
        let view = changed.then(|| detector.view());
        drop(detector);
        if let Some(view) = view {
            self.links.publish(view);
        }
        for action in actions {
            self.run_action(action);
        }
    }

    fn run_action(&self, action: Action) {
        match action {
            Action::Send(to, message) => {
                self.links.send(to, &PeerMessage::Member(message));
            }
            Action::Redial(host) => self.links.close_link(host),
            Action::AskConfig(host) => {
                self.options.follower.resume();
                self.links.send(host, &PeerMessage::AskConfig);
            }
            Action::Suspected(host) => {
                metrics::counter!("cardamomvale_peer_suspected_total").increment(1);
                log::warn!("E0410 peer-suspected host={}", self.name(host));
            }
            Action::Refuted(host) => log::info!("E0411 peer-alive host={}", self.name(host)),
            Action::Remove(id) => {
                metrics::counter!("cardamomvale_peer_removals_total").increment(1);
                log::warn!("E0415 peer-removed host={}", self.name(id.host));
                self.submit(Change::Remove {
                    host: id.host,
                    incarnation: id.incarnation,
                });
            }
        }
    }

    fn send_config(&self, to: HostKey) {
        let follower = Arc::clone(&self.options.follower);
        let links = Arc::clone(&self.links);
        tokio::task::spawn_blocking(move || {
            if let Some(offer) = config_offer(&follower) {
                links.send(to, &PeerMessage::Config(offer));
            }
        });
    }

    fn name(&self, host: HostKey) -> String {
        let config = self.config();
        let member = config.members.get(&host);
        member.map(|m| m.name.clone()).unwrap_or_default()
    }

    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.options.follower.config().borrow())
    }

    fn detector(&self) -> MutexGuard<'_, Detector> {
        lock(&self.detector)
    }
}

impl MessageHandler for Members {
    fn handle(&self, from: HostKey, message: PeerMessage) {
        let now = clock::now();
        match message {
            PeerMessage::Hello(h) => {
                self.with_detector(|d| d.peer_connected(from, h.incarnation, h.offset, now));
            }
            PeerMessage::Member(m) => self.with_detector(|d| d.receive(from, &m, now)),
            // The refusing host may know of a removal that this host does not.
            PeerMessage::Refused(_) => self.options.follower.resume(),
            PeerMessage::AskConfig => self.send_config(from),
            PeerMessage::Config(offer) => {
                self.options.follower.install_record(&offer.body);
            }
            other => self.handler.handle(from, other),
        }
    }

    fn config_offer(&self) -> Option<ConfigOffer> {
        config_offer(&self.options.follower)
    }
}

fn config_offer(follower: &Follower) -> Option<ConfigOffer> {
    let snapshot = follower.snapshot()?;
    let body = encode_snapshot(&snapshot);
    if body.len() + 64 > MESSAGE_LIMIT {
        log::error!("E0404 config-too-large bytes={}", body.len());
        return None;
    }
    Some(ConfigOffer {
        revision: snapshot.config.revision,
        offset: snapshot.next,
        body,
    })
}

fn live_names(list: Vec<HostEntry>) -> BTreeSet<String> {
    let live = list.into_iter().filter(|h| h.state == HostState::Live);
    live.map(|h| h.name).collect()
}

fn member_id(identity: &Identity) -> MemberId {
    MemberId {
        host: identity.key(),
        incarnation: identity.incarnation,
    }
}

fn is_member(config: &Config, id: MemberId) -> bool {
    let member = config.members.get(&id.host);
    member.is_some_and(|m| m.incarnation == id.incarnation)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
