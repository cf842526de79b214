//! Runs the roll-outs: orders from the store, evidence between hosts, states into the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coordination::rollouts::message::{RolloutState, Status, StoredStatus};
use coordination::rollouts::{Effect, NamedStatus, OrderOutcome, Rollouts, Site};
use platform::status::{self, RolloutStatus};
use protocol::neighbour::NeighbourMessage;
use protocol::rollout_message::RolloutMessage;
use state::fleet::Registry;
use state::fleet::placement;
use state::fleet::rollout::canary::CanaryTarget;
use state::fleet::rollout::evidence::Answer;
use state::fleet::rollout::{Order, VersionRule};
use state::{EndpointKey, ServiceKey, VersionKey};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Gateway;
use crate::clock;
use crate::store::{StoreClient, StoreError};

/// The time between two steps while a roll-out has no verdict.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two reminders to other hosts.
const REMINDER_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long after a change it is announced again: datagrams get lost.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(240)];

/// How many times a write is tried while other hosts write to the topic.
const MAX_CONFLICTS: u32 = 5;

impl Gateway {
    /// Takes an operators' record of a roll-out; `is_fresh` tells that this host read it when
    /// it was written.
    pub(super) fn apply_rollout_order(
        self: &Rc<Self>,
        service: &str,
        value: Option<&[u8]>,
        is_fresh: bool,
    ) {
        if !self.rollouts.borrow().is_enabled() {
            return;
        }
        let Some(value) = value else {
            log::info!("E0150 rollout-order-gone service={service}; a roll-out that began goes on");
            return;
        };
        let order = match status::decode_order(service, value) {
            Ok(order) => order,
            Err(error) => {
                log::error!("E0151 rollout-order-refused service={service} error=\"{error}\"");
                return;
            }
        };
        let (version, duration) = (order.version_name.clone(), order.duration);
        let now = clock::now();
        let outcome = self
            .rollouts
            .borrow_mut()
            .order_received(order, is_fresh, now);
        if outcome != OrderOutcome::Known {
            log::info!(
                "E0152 rollout-ordered service={service} version={version} duration_ms={} replaced={}",
                duration.as_millis(),
                outcome == OrderOutcome::Replaced
            );
        }
        self.rollouts_changed.notify_one();
    }

    /// Steps the roll-outs and performs their effects; never returns.
    pub(super) async fn run_rollouts(self: Rc<Self>) {
        let mut reminded = clock::now();
        loop {
            if !self.rollouts.borrow().is_active() {
                // Verdicts are repeated for a while, for hosts that missed them.
                let _notified = timeout(REMINDER_INTERVAL, self.rollouts_changed.notified()).await;
            }
            self.step_rollouts();
            if clock::now().since(reminded) >= REMINDER_INTERVAL {
                reminded = clock::now();
                self.send_rollout_reminders();
            }
            sleep(STEP_INTERVAL).await;
        }
    }

    fn step_rollouts(self: &Rc<Self>) {
        let now = clock::now();
        let waited = self.rollouts.borrow().must_wait(now);
        let effects = self.with_site(|rollouts, site, registry| rollouts.tick(site, registry, now));
        if waited && !self.rollouts.borrow().must_wait(now) {
            self.config_loaded.notify_waiters();
        }
        for effect in effects {
            match effect {
                Effect::Announce(state) => self.announce_rollout(&state),
                Effect::Report(hosts, report) => {
                    let message = NeighbourMessage::Rollout(RolloutMessage::Report(report), false);
                    hosts.iter().for_each(|host| self.send(*host, &message));
                }
                Effect::Summarise(summary) => {
                    let message = NeighbourMessage::Rollout(RolloutMessage::Summary(summary), true);
                    let remotes = self.neighbours.borrow_mut().remote_targets(now);
                    for hosts in remotes {
                        // The next summary may go to the other one, should this one be lost.
                        let at = (self.random_fraction() * hosts.len() as f64) as usize;
                        hosts
                            .get(at)
                            .into_iter()
                            .for_each(|h| self.send(*h, &message));
                    }
                }
                Effect::Write(order, status) => {
                    spawn_local(Rc::clone(self).write_status(order, status));
                }
                Effect::Learn => {
                    spawn_local(Rc::clone(self).learn_statuses());
                }
                Effect::Overdue(order) => self.log_overdue(&order),
            }
        }
    }

    /// Runs `act` on the roll-outs with what this host knows of its site.
    fn with_site<R>(&self, act: impl FnOnce(&mut Rollouts, &Site<'_>, &Registry) -> R) -> R {
        let now = clock::now();
        let mut known = self.neighbours.borrow_mut();
        let neighbours = known.heard_lately(now);
        let centres = known.remote_centres(now);
        drop(known);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = unix_time.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX));
        let service_time = |service| self.slowest_service_time(service);
        let site = Site {
            neighbours: &neighbours,
            centres: &centres,
            share: self.share.get(),
            unix_ms,
            service_time: &service_time,
        };
        let mut rollouts = self.rollouts.borrow_mut();
        act(&mut rollouts, &site, &self.registry.borrow())
    }

    /// Returns the expected service time of the slowest route of a service.
    fn slowest_service_time(&self, service: ServiceKey) -> Duration {
        let config = self.config.borrow();
        let routes = config.catalogue.iter().flat_map(|c| c.routes.iter());
        let routes = routes.filter(|r| r.weighted_services.iter().any(|s| s.service == service));
        let times = routes.map(|r| self.with_service_time(r, |time| time.estimate()));
        times.max().unwrap_or_default()
    }

    /// Tells all hosts what this one has come to know, more than once.
    fn announce_rollout(self: &Rc<Self>, state: &RolloutState) {
        self.log_rollout(state);
        self.send_rollout_state(state);
        let gateway = Rc::clone(self);
        let state = state.clone();
        spawn_local(async move {
            for delay in REPEAT_DELAYS {
                sleep(delay).await;
                gateway.send_rollout_state(&state);
            }
        });
    }

    fn send_rollout_state(&self, state: &RolloutState) {
        self.broadcast_all_centres(|cross_centre| {
            NeighbourMessage::Rollout(RolloutMessage::State(state.clone()), cross_centre)
        });
    }

    fn log_rollout(&self, state: &RolloutState) {
        let figures = self.rollouts.borrow().describe(state.order.service);
        log::info!(
            "E0153 rollout-phase service={} version={} phase={:?} left_ms={} {figures}",
            state.order.service_name,
            state.order.version_name,
            state.phase,
            state.left.as_millis()
        );
    }

    fn log_overdue(&self, order: &Order) {
        log::warn!(
            "E0157 rollout-overdue service={} version={} {}",
            order.service_name,
            order.version_name,
            self.rollouts.borrow().describe(order.service)
        );
    }

    fn send_rollout_reminders(&self) {
        let now = clock::now();
        let known = self.neighbours.borrow();
        let one = known.any(self.random_u64());
        let remote = known.any_remote(self.random_u64());
        drop(known);
        for state in self.rollouts.borrow().reminders(now) {
            let message = NeighbourMessage::Rollout(RolloutMessage::State(state), false);
            for host in one.into_iter().chain(remote) {
                self.send(host, &message);
            }
        }
    }

    /// Sends all that this host knows of roll-outs to a host that has just started.
    pub(super) fn send_rollout_states(&self, to: SocketAddr) {
        for state in self.rollouts.borrow().states(clock::now()) {
            let message = NeighbourMessage::Rollout(RolloutMessage::State(state), false);
            self.send(to, &message);
        }
    }

    /// Handles a message of another host on a roll-out.
    pub(super) fn handle_rollout(
        self: &Rc<Self>,
        from: SocketAddr,
        message: RolloutMessage,
        cross_centre: bool,
    ) {
        let now = clock::now();
        let news = match &message {
            RolloutMessage::State(state) => {
                let news = self.rollouts.borrow_mut().state_received(state, now);
                if news {
                    self.log_rollout(state);
                    self.rollouts_changed.notify_one();
                }
                news
            }
            RolloutMessage::Report(report) => {
                let mut rollouts = self.rollouts.borrow_mut();
                rollouts.report_received(from, report, now);
                false
            }
            RolloutMessage::Summary(summary) => {
                let mut rollouts = self.rollouts.borrow_mut();
                rollouts.summary_received(summary, now);
                false
            }
        };
        let message = NeighbourMessage::Rollout(message, false);
        match &message {
            NeighbourMessage::Rollout(RolloutMessage::State(_), _) if cross_centre && news => {
                self.broadcast(&message);
            }
            NeighbourMessage::Rollout(RolloutMessage::Summary(_), _) if cross_centre => {
                let hosts = self.neighbours.borrow_mut().heard_lately(now);
                for host in self.rollouts.borrow().gathering_hosts(&hosts) {
                    self.send(host, &message);
                }
            }
            _ => {}
        }
    }

    /// Writes the state of a roll-out unless the store holds a verdict already.
    async fn write_status(self: Rc<Self>, order: Order, wanted: Status) {
        let mut store = StoreClient::new(self.settings.log);
        let result = replace_status(&mut store, &order, wanted).await;
        let (service, version) = (order.service, order.version);
        let stored = match result {
            Ok(stored) => {
                log::info!(
                    "E0154 rollout-status-written service={} version={} wanted={wanted:?} stored={:?}",
                    order.service_name,
                    order.version_name,
                    stored.status
                );
                Some(stored)
            }
            Err(error) => {
                log::warn!(
                    "E0155 rollout-status-unwritten service={} version={} wanted={wanted:?} error={error:?}",
                    order.service_name,
                    order.version_name
                );
                None
            }
        };
        let now = clock::now();
        let news = self.with_site(|rollouts, site, registry| {
            rollouts.call_finished(service, version, stored, site, registry, now)
        });
        if let Some(state) = news {
            self.announce_rollout(&state);
        }
    }

    /// Reads the states of all roll-outs, to learn which of several versions are in use.
    async fn learn_statuses(self: Rc<Self>) {
        let mut store = StoreClient::new(self.settings.log);
        let read = read_statuses(&mut store).await;
        let named: Option<Vec<NamedStatus>> = match read {
            Ok((statuses, _)) => Some(statuses.into_iter().map(named_status).collect()),
            Err(error) => {
                log::warn!("E0156 rollout-status-unread error={error:?}");
                None
            }
        };
        let now = clock::now();
        let news = self.with_site(|rollouts, site, registry| {
            rollouts.learned(named.as_deref(), site, registry, now)
        });
        for state in news {
            self.announce_rollout(&state);
        }
    }

    /// Returns the versions of its service that a request may go to.
    pub(super) fn version_rule(&self, request: &placement::Request) -> VersionRule {
        let rollouts = self.rollouts.borrow();
        rollouts.rule(request.service, request.draw, clock::now())
    }

    /// Returns the canary that a request takes part in, if it does.
    pub(super) fn canary_target(&self, request: &placement::Request) -> Option<CanaryTarget> {
        let rollouts = self.rollouts.borrow();
        rollouts.canary(request.service, request.route, request.draw, clock::now())
    }

    /// Returns whether a request may still be sent to an endpoint that was chosen for it.
    ///
    /// The phase of a roll-out may have changed while the request was being connected.
    pub(super) fn is_version_allowed(
        &self,
        key: EndpointKey,
        request: &placement::Request,
    ) -> bool {
        let registry = self.registry.borrow();
        let Some(endpoint) = registry.get(key).map(|s| &s.endpoint) else {
            return false;
        };
        let target = self.canary_target(request);
        let is_canary = target.is_some_and(|t| endpoint.version == Some(t.version));
        is_canary || self.version_rule(request).allows(endpoint)
    }

    /// Returns the version of an endpoint's software, `None` if unknown.
    pub(super) fn version_of(&self, key: EndpointKey) -> Option<VersionKey> {
        self.registry.borrow().get(key)?.endpoint.version
    }

    /// Counts a request, by which the canary's part is worked out.
    pub(super) fn note_rollout_request(&self, request: &placement::Request) {
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.note_request(request.service, request.route, clock::now());
    }

    /// Counts the answer to a request as evidence on its endpoint's version.
    pub(super) fn note_rollout_answer(
        &self,
        request: &placement::Request,
        version: Option<VersionKey>,
        answer: Answer,
    ) {
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.note_answer(request.service, version, request.route, answer);
    }
}

/// Writes a state if the store holds none for this version, or only that it is running.
///
/// Returns the state that the store holds afterwards. Of two hosts that want different
/// verdicts one finds the other's: the record is written only if nothing was added to the
/// topic since this host read it, also if the call is carried out late.
async fn replace_status(
    store: &mut StoreClient,
    order: &Order,
    wanted: Status,
) -> Result<StoredStatus, StoreError> {
    let record = StoredStatus {
        version: order.version,
        status: wanted,
    };
    let value = status::encode(&RolloutStatus {
        service: order.service_name.clone(),
        version: order.version_name.clone(),
        verdict: match wanted {
            Status::Running => None,
            Status::Decided(verdict) => Some(verdict),
        },
    });
    let key = status::key(&order.service_name);
    let bytes = platform::store::encode_record(&platform::store::Record {
        key,
        value: Some(value),
    });
    // A service's name that fits into no key can't have been read from one.
    let bytes = bytes.unwrap_or_default();
    let mut conflicts = 0;
    loop {
        let (statuses, end) = read_statuses(store).await?;
        let current = statuses
            .into_iter()
            .find(|s| s.service == order.service_name);
        if let Some(current) = current {
            let stored = stored_status(&current);
            if !stored.may_become(&record) {
                return Ok(stored);
            }
        }
        match store.append_at(status::TOPIC, end, &bytes).await {
            Ok(_) => return Ok(record),
            Err(StoreError::Conflict) if conflicts < MAX_CONFLICTS => conflicts += 1,
            Err(error) => return Err(error),
        }
    }
}

/// Returns the states of all roll-outs, and the topic's end when they were read.
async fn read_statuses(store: &mut StoreClient) -> Result<(Vec<RolloutStatus>, u64), StoreError> {
    let (records, end) = super::follow::read_newest(store, status::TOPIC, || {}).await?;
    let mut statuses = Vec::new();
    for record in &records {
        let (Some(service), Some(value)) = (status::service_of(&record.key), &record.value) else {
            continue;
        };
        match status::decode(service, value) {
            Ok(status) => statuses.push(status),
            Err(error) => log::error!("E0304 record-skipped key={:?} error={error:?}", record.key),
        }
    }
    Ok((statuses, end))
}

fn stored_status(status: &RolloutStatus) -> StoredStatus {
    StoredStatus {
        version: VersionKey::named(&status.version),
        status: status.verdict.map_or(Status::Running, Status::Decided),
    }
}

fn named_status(status: RolloutStatus) -> NamedStatus {
    NamedStatus {
        status: stored_status(&status).status,
        service: status.service,
        version: status.version,
    }
}
