//! The roll-outs of all services, as one host knows them.
//!
//! Orders come from the operators' topic, a verdict is decided by a conditional write in
//! the store, and hosts tell each other the rest. Nobody is elected: every host stops
//! sending to a bad version as soon as it hears of it, and of the hosts that gather the
//! evidence the first one that can writes the verdict.
//!
//! What must hold:
//! - A host that doesn't know the phase of a roll-out sends the new version nothing.
//! - A host that hears nothing from other hosts sends the new version nothing: it would
//!   not hear that the version is bad.
//! - The old version gets nothing more before the verdict that ends it is written.

mod gather;
pub mod message;
mod rate;
mod rollout;
mod versions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derives::{tag, value};
use state::fleet::Registry;
use state::fleet::rollout::canary::CanaryTarget;
use state::fleet::rollout::evidence::{Answer, Side};
use state::fleet::rollout::exposure::ExposureBound;
use state::fleet::rollout::{Order, Phase, Verdict, VersionRule};
use state::{Moment, ServiceKey, VersionKey};

use message::{CentreSummary, HostReport, RolloutState, Status, StoredStatus};
use rollout::{Action, Registered, Rollout, Surroundings};
use versions::{KnownVersions, RegisteredVersion, registered};

/// How many hosts of a data centre gather the evidence of its hosts.
const GATHERING_HOSTS: usize = 3;

/// How long after the last message from any other host this one takes part in a canary.
///
/// Hosts greet each other every second.
const CONTACT_TIME: Duration = Duration::from_millis(2_500);

/// How long a host waits for others to tell it the phase before it reads the store.
const LEARN_TIME: Duration = Duration::from_millis(300);

/// How long a host that has just started isn't ready since it finds several versions.
const UNCLEAR_TIME: Duration = Duration::from_millis(1_500);

/// The time between two reads of the store by a host that finds several versions.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a verdict is repeated to other hosts.
const REMINDER_TIME: Duration = Duration::from_secs(30);

/// The duration assumed for an order of which only the state in the store is left.
const DEFAULT_DURATION: Duration = Duration::from_secs(10);

/// What a host knows of the other hosts at one moment.
pub struct Site<'a> {
    /// The hosts of this data centre that were heard of lately, without this one.
    pub neighbours: &'a [SocketAddr],
    /// The other data centres.
    pub centres: &'a [String],
    /// This host's share of all hosts, 0 to 1.
    pub share: f64,
    /// The time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Returns the expected service time of a service's slowest route.
    pub service_time: &'a dyn Fn(ServiceKey) -> Duration,
}

/// What has to be done after a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Tell all hosts.
    Announce(RolloutState),
    /// Send this host's counters to these hosts.
    Report(Vec<SocketAddr>, HostReport),
    /// Send the counters of this data centre to the others.
    Summarise(CentreSummary),
    /// Write a state into the store unless it holds a verdict, and call
    /// [`Rollouts::call_finished`] with the state that it then holds.
    Write(Order, Status),
    /// Read all states from the store and call [`Rollouts::learned`] with them.
    Learn,
    /// Log that the deadline has passed without a verdict.
    Overdue(Order),
}

/// A state read from the store.
#[value]
pub struct NamedStatus {
    /// The service's name.
    pub service: String,
    /// The new version's name.
    pub version: String,
    /// The state.
    pub status: Status,
}

/// What a host has come to know of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// A new roll-out.
    Taken,
    /// The order is known already.
    Known,
    /// The order names another version than the one before, which goes back.
    Replaced,
}

/// The roll-outs of all services.
#[derive(Debug)]
pub struct Rollouts {
    me: SocketAddr,
    incarnation: u64,
    centre: String,
    /// The bound on requests to a bad version; without one there are no roll-outs.
    bound: Option<ExposureBound>,
    rollouts: BTreeMap<ServiceKey, Rollout>,
    versions: BTreeMap<ServiceKey, KnownVersions>,
    /// Whether endpoints have been listed; those of the first list are in use.
    is_listed: bool,
    last_contact: Option<Moment>,
    share: f64,
    /// When each roll-out got its verdict.
    decided: BTreeMap<ServiceKey, Moment>,
    /// Set while this host doesn't know which of several versions are new.
    unclear: Option<Unclear>,
}

/// The state of a host that found several versions when it started.
#[tag]
struct Unclear {
    since: Moment,
    /// When this host last asked the store.
    asked: Option<Moment>,
}

impl Rollouts {
    /// Returns the state of a host at its start; `incarnation` differs for each start.
    pub fn new(
        me: SocketAddr,
        incarnation: u64,
        centre: &str,
        bound: Option<ExposureBound>,
    ) -> Rollouts {
        Rollouts {
            me,
            incarnation,
            centre: centre.to_owned(),
            bound,
            rollouts: BTreeMap::new(),
            versions: BTreeMap::new(),
            is_listed: false,
            last_contact: None,
            share: 0.0,
            decided: BTreeMap::new(),
            unclear: None,
        }
    }

    /// Returns whether roll-outs are possible at this site.
    pub fn is_enabled(&self) -> bool {
        self.bound.is_some()
    }

    /// Takes an order; `is_fresh` tells that this host read it when it was made.
    pub fn order_received(&mut self, order: Order, is_fresh: bool, now: Moment) -> OrderOutcome {
        let known = self.rollouts.get(&order.service);
        let outcome = match known.map(|r| r.order.version) {
            Some(version) if version == order.version => return OrderOutcome::Known,
            Some(_) => OrderOutcome::Replaced,
            None => OrderOutcome::Taken,
        };
        self.begin(Rollout::new(order, None, is_fresh, now));
        outcome
    }

    /// Begins a roll-out. A version whose roll-out has not completed gets nothing more.
    fn begin(&mut self, mut rollout: Rollout) {
        let service = rollout.order.service;
        let versions = self.versions.entry(service).or_default();
        rollout.is_in_use = versions.order(rollout.order.version);
        if let Some(before) = self.rollouts.get(&service)
            && before.phase != Some(Phase::Decided(Verdict::Completed))
        {
            versions.hold(before.order.version);
        }
        self.decided.remove(&service);
        self.rollouts.insert(service, rollout);
    }

    /// Takes in the version of an endpoint that registered.
    pub fn endpoint_registered(&mut self, service: ServiceKey, version: VersionKey) {
        if !self.is_enabled() {
            return;
        }
        let ordered = self.rollouts.get(&service).map(|r| r.order.version);
        if ordered != Some(version) {
            self.versions.entry(service).or_default().note(version);
        }
    }

    /// Takes in the list of all endpoints.
    pub fn endpoints_listed(&mut self, registry: &Registry, now: Moment) {
        if !self.is_enabled() {
            return;
        }
        let is_first = !std::mem::replace(&mut self.is_listed, true);
        for service in registry.services() {
            let listed: Vec<(u64, VersionKey)> = registered(registry, service, now)
                .iter()
                .filter_map(|(version, r)| Some((r.started_ms, (*version)?)))
                .collect();
            if is_first {
                self.versions.entry(service).or_default().list(&listed);
                if let Some(rollout) = self.rollouts.get_mut(&service) {
                    let versions = self.versions.entry(service).or_default();
                    rollout.is_in_use = versions.order(rollout.order.version);
                }
            }
            for (_, version) in listed {
                self.endpoint_registered(service, version);
            }
        }
        let is_unclear = self.versions.values().any(KnownVersions::is_unclear);
        if is_first && is_unclear {
            self.unclear = Some(Unclear {
                since: now,
                asked: None,
            });
        }
    }

    /// Returns whether this host, having just started, should wait until it knows which of
    /// several versions are new.
    pub fn must_wait(&self, now: Moment) -> bool {
        let unclear = self.unclear.as_ref();
        unclear.is_some_and(|u| now.since(u.since) < UNCLEAR_TIME)
    }

    /// Takes in that some other host sent a message.
    pub fn note_contact(&mut self, now: Moment) {
        self.last_contact = Some(now);
    }

    /// Takes in what another host knows of a roll-out; returns whether it was news.
    pub fn state_received(&mut self, state: &RolloutState, now: Moment) -> bool {
        if !self.is_enabled() {
            return false;
        }
        let service = state.order.service;
        let known = self.rollouts.get(&service).map(|r| r.order.version);
        match known {
            Some(version) if version == state.order.version => {}
            // The order that this host read last counts; the sender hasn't read it yet.
            Some(_) => return false,
            None => self.begin(Rollout::new(state.order.clone(), None, false, now)),
        }
        let Some(rollout) = self.rollouts.get_mut(&service) else {
            return false;
        };
        let learned = rollout.learn(state, now);
        if learned {
            self.phase_changed(service, now);
        }
        learned
    }

    /// Takes in the counters of a host of this data centre.
    pub fn report_received(&mut self, from: SocketAddr, report: &HostReport, now: Moment) {
        if let Some(rollout) = self.running_mut(report.service, report.version) {
            rollout.note_host(from, report, now);
        }
    }

    /// Takes in the counters of another data centre.
    pub fn summary_received(&mut self, summary: &CentreSummary, now: Moment) {
        if let Some(rollout) = self.running_mut(summary.service, summary.version) {
            rollout.note_centre(summary, now);
        }
    }

    /// Takes in the store's state of a service after a call, `None` if there was no answer.
    ///
    /// Returns what to tell the other hosts, if it is news.
    pub fn call_finished(
        &mut self,
        service: ServiceKey,
        version: VersionKey,
        stored: Option<StoredStatus>,
        site: &Site<'_>,
        registry: &Registry,
        now: Moment,
    ) -> Option<RolloutState> {
        let rollout = self.running_mut(service, version)?;
        let was_unknown = rollout.phase.is_none() && !rollout.is_fresh();
        if !rollout.call_finished(stored, now) {
            return None;
        }
        if was_unknown {
            let versions = registered(registry, service, now);
            let started = versions.get(&Some(version)).map_or(0, |v| v.started_ms);
            if started > 0 {
                let age = Duration::from_millis(site.unix_ms.saturating_sub(started));
                rollout.assume_started(age, now);
            }
        }
        let state = rollout.state(now);
        self.phase_changed(service, now);
        state
    }

    /// Takes in all states of the store, `None` if there was no answer; returns what to tell
    /// the other hosts.
    pub fn learned(
        &mut self,
        stored: Option<&[NamedStatus]>,
        site: &Site<'_>,
        registry: &Registry,
        now: Moment,
    ) -> Vec<RolloutState> {
        let Some(stored) = stored else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for named in stored {
            let service = ServiceKey::named(&named.service);
            let version = VersionKey::named(&named.version);
            if self.rollouts.contains_key(&service) {
                continue;
            }
            let order = Order {
                service,
                service_name: named.service.clone(),
                version,
                version_name: named.version.clone(),
                duration: DEFAULT_DURATION,
            };
            self.begin(Rollout::new(order, None, false, now));
            let record = StoredStatus {
                version,
                status: named.status,
            };
            news.extend(self.call_finished(service, version, Some(record), site, registry, now));
        }
        self.settle();
        news
    }

    /// Counts a request to a service; `route` is a hash of the route's name.
    pub fn note_request(&mut self, service: ServiceKey, route: u64, now: Moment) {
        if let Some(rollout) = self.rollouts.get_mut(&service).filter(|r| !r.is_decided()) {
            rollout.note_request(route, now);
        }
    }

    /// Counts the answer to a request; `route` is a hash of the route's name.
    pub fn note_answer(
        &mut self,
        service: ServiceKey,
        version: Option<VersionKey>,
        route: u64,
        answer: Answer,
    ) {
        let rollout = self.rollouts.get_mut(&service);
        if let Some(rollout) = rollout.filter(|r| r.phase.is_some() && !r.is_decided()) {
            let side = match version == Some(rollout.order.version) {
                true => Side::New,
                false => Side::Old,
            };
            rollout.evidence_mut().note(side, route, answer);
        }
    }

    /// Returns the canary that a request takes part in, if it does; `route` is a hash of the
    /// route's name, and `draw`, from 0 to 1, the request's own.
    pub fn canary(
        &self,
        service: ServiceKey,
        route: u64,
        draw: f64,
        now: Moment,
    ) -> Option<CanaryTarget> {
        let rollout = self.rollouts.get(&service)?;
        let bound = self.bound.as_ref()?;
        let selected = draw < rollout.canary_fraction(bound, self.share, route);
        (selected && self.is_in_contact(now)).then(|| CanaryTarget {
            version: rollout.order.version,
            left: now.until(rollout.deadline),
        })
    }

    /// Returns the versions of a service that a request may go to.
    pub fn rule(&self, service: ServiceKey, draw: f64, now: Moment) -> VersionRule {
        let versions = self.versions.get(&service).filter(|v| v.holds_any());
        let held = versions.map(KnownVersions::held).unwrap_or_default();
        match self.rollouts.get(&service) {
            Some(rollout) => rollout.rule(held, draw, now),
            None if held.is_empty() => VersionRule::All,
            None => VersionRule::Except(held),
        }
    }

    /// Returns whether an endpoint of this version is the new one of a roll-out without a
    /// verdict.
    pub fn is_candidate(&self, service: ServiceKey, version: Option<VersionKey>) -> bool {
        let rollout = self.rollouts.get(&service);
        rollout.is_some_and(|r| !r.is_decided() && version == Some(r.order.version))
    }

    /// Returns whether any roll-out has no verdict yet, or a version is unclear.
    pub fn is_active(&self) -> bool {
        self.unclear.is_some() || self.rollouts.values().any(|r| !r.is_decided())
    }

    /// Returns what other hosts should be told again: roll-outs without a verdict, and
    /// recent verdicts.
    pub fn reminders(&self, now: Moment) -> Vec<RolloutState> {
        let recent = |service: &ServiceKey| {
            let decided = self.decided.get(service);
            decided.is_none_or(|at| now.since(*at) < REMINDER_TIME)
        };
        let rollouts = self.rollouts.iter().filter(|(service, _)| recent(service));
        rollouts.filter_map(|(_, r)| r.state(now)).collect()
    }

    /// Returns everything that a host which has just started should know.
    pub fn states(&self, now: Moment) -> Vec<RolloutState> {
        self.rollouts
            .values()
            .filter_map(|r| r.state(now))
            .collect()
    }

    /// Returns a line for the log on what a roll-out's evidence shows.
    pub fn describe(&self, service: ServiceKey) -> String {
        let Some(rollout) = self.rollouts.get(&service) else {
            return String::new();
        };
        let evidence = rollout.analysis().evidence();
        let old = evidence.old_total();
        let (sum, baseline) = rollout.analysis().figures();
        let (new_slots, old_slots) = rollout.warm_slots();
        format!(
            "new={}/{} old={}/{} sum={sum:.1} baseline={baseline:.3} slots={new_slots}/{old_slots}",
            evidence.new_bad(),
            evidence.new_answers(),
            old.bad,
            old.answers
        )
    }

    /// Performs what is due now.
    pub fn tick(&mut self, site: &Site<'_>, registry: &Registry, now: Moment) -> Vec<Effect> {
        self.share = site.share;
        let hosts = self.with_me(site.neighbours);
        let gathering = &hosts[..hosts.len().min(GATHERING_HOSTS)];
        let rank = self.rank(gathering, site.centres);
        let others = self.gathering_hosts(site.neighbours);
        let me = (self.me, self.incarnation);
        let in_contact = self.is_in_contact(now);
        let mut effects = Vec::new();
        let mut changed = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if rollout.is_decided() {
                rollout.registered = presence(&registered(registry, *service, now), rollout);
                continue;
            }
            let versions = registered(registry, *service, now);
            let around = Surroundings {
                now,
                hosts: &hosts,
                centres: site.centres,
                rank,
                runs_old: runs_old(registry, rollout),
                warm_slots: warm_slots(&versions, rollout),
                registered: presence(&versions, rollout),
                service_time: (site.service_time)(*service),
                canary_fraction: self.bound.map_or(0.0, |b| b.min_canary_fraction()),
                in_contact,
            };
            let before = rollout.phase;
            for action in rollout.step(me, &around) {
                match action {
                    Action::Announce => effects.extend(rollout.state(now).map(Effect::Announce)),
                    Action::Report(report) if !others.is_empty() => {
                        effects.push(Effect::Report(others.clone(), report));
                    }
                    Action::Report(_) => {}
                    Action::Summarise(summary) => {
                        effects.push(Effect::Summarise(CentreSummary {
                            centre: self.centre.clone(),
                            ..summary
                        }));
                    }
                    Action::Overdue => effects.push(Effect::Overdue(rollout.order.clone())),
                    Action::Write(status) => {
                        effects.push(Effect::Write(rollout.order.clone(), status));
                    }
                }
            }
            if rollout.phase != before {
                changed.push(*service);
            }
        }
        for service in changed {
            self.phase_changed(service, now);
        }
        self.review_versions(registry, now);
        effects.extend(self.clear_up(rank, now));
        effects
    }

    /// Returns the hosts of this data centre that gather its evidence, without this one.
    pub fn gathering_hosts(&self, neighbours: &[SocketAddr]) -> Vec<SocketAddr> {
        let hosts = self.with_me(neighbours).into_iter();
        let gathering = hosts.take(GATHERING_HOSTS);
        gathering.filter(|host| *host != self.me).collect()
    }

    /// Returns the hosts of this data centre in the order of their addresses.
    fn with_me(&self, neighbours: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut hosts = neighbours.to_vec();
        hosts.push(self.me);
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Returns this host's place in the order in which hosts call the store, if it gathers.
    fn rank(&self, gathering: &[SocketAddr], centres: &[String]) -> Option<u32> {
        let place = gathering.iter().position(|host| *host == self.me)?;
        let before = centres.iter().filter(|c| **c < self.centre).count();
        u32::try_from(before + place * (centres.len() + 1)).ok()
    }

    /// Finds out which of several versions are new: other hosts may tell, then the store.
    ///
    /// Until then the later versions get nothing. The store is asked until it answers.
    fn clear_up(&mut self, rank: Option<u32>, now: Moment) -> Option<Effect> {
        let unclear = self.unclear.as_ref()?;
        if !self.versions.values().any(KnownVersions::is_unclear) {
            self.settle();
            return None;
        }
        let asked = unclear.asked.map(|at| now.since(at) >= ASK_INTERVAL);
        let waited = now.since(unclear.since) >= LEARN_TIME * (rank? + 1);
        if !asked.unwrap_or(waited) {
            return None;
        }
        self.unclear = Some(Unclear {
            asked: Some(now),
            ..*unclear
        });
        Some(Effect::Learn)
    }

    /// Takes all versions of which no roll-out is known for being in use.
    fn settle(&mut self) {
        self.versions.values_mut().for_each(KnownVersions::settle);
        self.unclear = None;
    }

    fn review_versions(&mut self, registry: &Registry, now: Moment) {
        for (service, versions) in &mut self.versions {
            if !versions.holds_any() {
                continue;
            }
            let listed = registered(registry, *service, now);
            let is_ordered = self.rollouts.get(service).is_some_and(|r| !r.is_decided());
            versions.retain(|v| listed.contains_key(&Some(v)), is_ordered);
        }
    }

    fn phase_changed(&mut self, service: ServiceKey, now: Moment) {
        let Some(rollout) = self.rollouts.get(&service) else {
            return;
        };
        if let Some(Phase::Decided(verdict)) = rollout.phase {
            let version = rollout.order.version;
            let versions = self.versions.entry(service).or_default();
            match verdict {
                Verdict::Completed => versions.complete(version),
                Verdict::RolledBack => versions.hold(version),
            }
            self.decided.insert(service, now);
        }
    }

    /// Returns whether this host hears from others, or is the only one.
    fn is_in_contact(&self, now: Moment) -> bool {
        let alone = self.share >= 1.0;
        let heard = self
            .last_contact
            .is_some_and(|at| now.since(at) < CONTACT_TIME);
        alone || heard
    }

    fn running_mut(&mut self, service: ServiceKey, version: VersionKey) -> Option<&mut Rollout> {
        let rollout = self.rollouts.get_mut(&service);
        rollout.filter(|r| r.order.version == version && !r.is_decided())
    }
}

/// Returns which versions of the service are registered.
fn presence(
    versions: &BTreeMap<Option<VersionKey>, RegisteredVersion>,
    rollout: &Rollout,
) -> Registered {
    let new = versions.contains_key(&Some(rollout.order.version));
    match (new, versions.len() > usize::from(new)) {
        (false, false) => Registered::Nothing,
        (false, true) => Registered::OldOnly,
        (true, false) => Registered::NewOnly,
        (true, true) => Registered::Both,
    }
}

/// Returns the warm slots of the new version, and of all others.
fn warm_slots(
    versions: &BTreeMap<Option<VersionKey>, RegisteredVersion>,
    rollout: &Rollout,
) -> (u32, u32) {
    let new = versions.get(&Some(rollout.order.version));
    let new = new.map_or(0, |v| v.warm_slots);
    let all: u32 = versions.values().map(|v| v.warm_slots).sum();
    (new, all - new)
}

/// Returns whether this host has a request at an endpoint of another version.
fn runs_old(registry: &Registry, rollout: &Rollout) -> bool {
    let mut endpoints = registry.endpoints_of(rollout.order.service);
    endpoints.any(|(_, s)| s.endpoint.version != Some(rollout.order.version) && s.running > 0)
}
