//! One roll-out, as one host knows it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use state::fleet::rollout::analysis::{Analysis, Assessment};
use state::fleet::rollout::evidence::{CELLS, Evidence, cell_of};
use state::fleet::rollout::exposure::{self, ExposureBound, RAMP_TIME};
use state::fleet::rollout::{Order, Phase, Verdict, VersionRule};
use state::{Moment, VersionKey};

use super::gather::Gather;
use super::message::{CentreSummary, HostReport, RolloutState, Status, StoredStatus};
use super::rate::RequestRate;

/// The time between the last request at the old version and the deadline in which the
/// verdict is written. A slow store takes a quarter of a second for each of two calls.
const WRITE_TIME: Duration = Duration::from_millis(800);

/// How long before the deadline the verdict is written although some hosts have not said
/// that they stopped sending to the old version: they may be lost.
const LAST_CALL: Duration = Duration::from_millis(400);

/// How long the new version must have had all requests before it is completed: a fault
/// under full load shows in the answers to them.
const FULL_TIME: Duration = Duration::from_millis(500);

/// The largest part of the order's duration that the ramp and the write may take.
const MAX_LEAD_FRACTION: f64 = 0.35;

/// The part of the order's duration for which the canary must have run before the ramp.
///
/// Hosts that were all lost have no evidence left. A late verdict is better than a wrong one.
const MIN_OBSERVATION: f64 = 0.4;

/// The slots of the new version that must be warm before the ramp, as a fraction of those
/// of the old one. Fewer are enough if they are [`SLOTS_PER_REQUEST`].
const MIN_CAPACITY: f64 = 0.8;

/// The slots that are enough for each request that runs at the same time on average.
const SLOTS_PER_REQUEST: f64 = 3.0;

/// The longest time between two reports of the same counters.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// The shortest time between two reports.
const MIN_REPORT_TIME: Duration = Duration::from_millis(200);

/// The shortest time between two summaries to other data centres before the ramp, where
/// bytes are expensive.
const MIN_SUMMARY_TIME: Duration = Duration::from_millis(400);

/// The longest time between two summaries.
const SUMMARY_TIME: Duration = Duration::from_millis(1_000);

/// How long a host that has just started waits for others to tell it the phase before it
/// asks the store.
const LEARN_TIME: Duration = Duration::from_millis(400);

/// How old the last news of other data centres, or of the store, may be when the ramp begins.
const NEWS_TIME: Duration = Duration::from_millis(1_500);

/// How long a write that could not be made is put off.
const WRITE_RETRY: Duration = Duration::from_millis(300);

/// How long the store may refuse the first write before a host that saw the order being
/// made begins without it.
const STORE_PATIENCE: Duration = Duration::from_millis(500);

/// What a host sees of its site at one moment.
pub(super) struct Surroundings<'a> {
    pub now: Moment,
    /// The hosts of this data centre, with this one.
    pub hosts: &'a [SocketAddr],
    /// The other data centres.
    pub centres: &'a [String],
    /// This host's place among those that gather; none if it doesn't.
    pub rank: Option<u32>,
    /// Whether this host has a request at the old version.
    pub runs_old: bool,
    /// Warm slots of the new version, and of all others.
    pub warm_slots: (u32, u32),
    /// Whether endpoints of the service are registered, and whether only of the new
    /// version.
    pub registered: Registered,
    /// The expected service time of the service's slowest route.
    pub service_time: Duration,
    /// The fraction of all requests that go to the canary at least.
    pub canary_fraction: f64,
    /// Whether this host hears from others, or is the only one.
    pub in_contact: bool,
}

/// Which versions of a service are registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Registered {
    Nothing,
    OldOnly,
    NewOnly,
    Both,
}

/// What a roll-out wants done after a step.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    Announce,
    Report(HostReport),
    Summarise(CentreSummary),
    Write(Status),
    Overdue,
}

/// One roll-out, as one host knows it.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    pub order: Order,
    /// How far it has come; none until this host has learned it.
    pub phase: Option<Phase>,
    pub deadline: Moment,
    /// When the ramp is complete.
    full_at: Moment,
    evidence: Evidence,
    rate: RequestRate,
    /// This host's requests by route.
    requests: [u32; CELLS],
    gather: Gather,
    analysis: Analysis,
    reported: Option<(HostReport, Moment)>,
    summarised: Option<(CentreSummary, Moment)>,
    stored: Option<Status>,
    /// When the store last told its state.
    confirmed: Option<Moment>,
    /// When the next write may be made.
    write_due: Moment,
    /// Whether a write or a read of the state is under way.
    is_calling: bool,
    /// When the first write was refused or got no answer.
    refused_since: Option<Moment>,
    /// Since when the step that is due next has been due.
    due_since: Option<(Status, Moment)>,
    /// Whether this host read the order when it was made.
    is_fresh: bool,
    /// Whether the ordered version is the one in use already.
    pub is_in_use: bool,
    pub registered: Registered,
    /// Warm slots of the new version, and of all others, at the last step.
    warm_slots: (u32, u32),
    /// Whether it was noted that the deadline has passed without a verdict.
    is_overdue: bool,
}

impl Rollout {
    pub fn new(order: Order, phase: Option<Phase>, is_fresh: bool, now: Moment) -> Rollout {
        Rollout {
            deadline: now + order.duration,
            order,
            phase,
            full_at: now,
            evidence: Evidence::default(),
            rate: RequestRate::new(now),
            requests: [0; CELLS],
            gather: Gather::default(),
            analysis: Analysis::default(),
            reported: None,
            summarised: None,
            stored: None,
            confirmed: None,
            write_due: if is_fresh { now } else { now + LEARN_TIME },
            is_calling: false,
            refused_since: None,
            due_since: None,
            is_fresh,
            is_in_use: false,
            registered: Registered::Both,
            warm_slots: (0, 0),
            is_overdue: false,
        }
    }

    /// Returns what other hosts are told, once this host knows it.
    pub fn state(&self, now: Moment) -> Option<RolloutState> {
        Some(RolloutState {
            order: self.order.clone(),
            phase: self.phase?,
            left: now.until(self.deadline),
            ramp_left: now.until(self.full_at),
        })
    }

    /// Takes in what another host knows; returns whether this host learned a phase.
    pub fn learn(&mut self, state: &RolloutState, now: Moment) -> bool {
        self.deadline = self.deadline.min(now + state.left);
        if self.phase.is_some_and(|known| known >= state.phase) {
            return false;
        }
        self.full_at = now + state.ramp_left;
        self.phase = Some(state.phase);
        // Whoever knew the phase had it from the store, or goes on asking the store.
        self.stored.get_or_insert(Status::Running);
        self.due_since = None;
        true
    }

    /// Counts the answer to a request of this host.
    pub fn evidence_mut(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    /// Takes in the counters of a host of this data centre.
    pub fn note_host(&mut self, from: SocketAddr, report: &HostReport, now: Moment) {
        self.gather.note_host(from, report, now);
    }

    /// Takes in the counters of another data centre.
    pub fn note_centre(&mut self, summary: &CentreSummary, now: Moment) {
        self.gather.note_centre(summary, now);
    }

    /// Counts a request of this host; `route` is a hash of the route's name.
    pub fn note_request(&mut self, route: u64, now: Moment) {
        self.rate.note(now);
        let requests = &mut self.requests[cell_of(route)];
        *requests = requests.saturating_add(1);
    }

    /// Returns the fraction of a route's requests that go to the canary.
    pub fn canary_fraction(&self, bound: &ExposureBound, share: f64, route: u64) -> f64 {
        if self.phase != Some(Phase::Canary) || self.is_in_use {
            return 0.0;
        }
        let rate = self.rate.per_second();
        let fraction = bound.canary_fraction(rate, share, self.order.duration);
        let factor = exposure::route_factor(&self.requests, cell_of(route));
        (fraction * factor).min(exposure::MAX_FRACTION)
    }

    /// Returns the versions that a request may go to; `draw`, from 0 to 1, is the request's
    /// own in all its attempts. `held` versions get nothing besides.
    pub fn rule(&self, held: BTreeSet<VersionKey>, draw: f64, now: Moment) -> VersionRule {
        let new = self.order.version;
        let without_new = || {
            let mut except = held;
            if !self.is_in_use {
                except.insert(new);
            }
            VersionRule::Except(except)
        };
        match self.phase {
            Some(Phase::Ramp) if draw < exposure::ramp_fraction(now.until(self.full_at)) => {
                VersionRule::Only(new)
            }
            Some(Phase::Decided(Verdict::Completed)) => match self.registered {
                Registered::NewOnly | Registered::Both => VersionRule::Only(new),
                Registered::OldOnly | Registered::Nothing => VersionRule::All,
            },
            // The old version is gone, and nothing is known against the new one.
            None if self.registered == Registered::NewOnly => VersionRule::Only(new),
            _ => without_new(),
        }
    }

    /// Returns the evidence of all hosts that this one knows, and the analysis's figures.
    pub fn analysis(&self) -> &Analysis {
        &self.analysis
    }

    /// Returns warm slots of the new version, and of all others, at the last step.
    pub fn warm_slots(&self) -> (u32, u32) {
        self.warm_slots
    }

    /// Returns whether the deadline has passed without a verdict, the first time it has.
    fn note_overdue(&mut self, now: Moment) -> bool {
        let is_overdue = now >= self.deadline && !self.is_decided();
        is_overdue && !std::mem::replace(&mut self.is_overdue, true)
    }

    /// Returns whether the roll-out has a verdict.
    pub fn is_decided(&self) -> bool {
        matches!(self.phase, Some(Phase::Decided(_)))
    }

    /// Performs what is due now.
    pub fn step(&mut self, me: (SocketAddr, u64), around: &Surroundings<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.registered = around.registered;
        self.warm_slots = around.warm_slots;
        if self.is_decided() {
            return actions;
        }
        let now = around.now;
        let report = self.own_report(me.1, around);
        self.gather.note_host(me.0, &report, now);
        if self.must_report(&report, now) {
            self.reported = Some((report.clone(), now));
            actions.push(Action::Report(report));
        }
        let Some(rank) = around.rank else {
            return actions;
        };
        let before = self.phase;
        self.analysis.update(&self.gather.evidence(), now);
        self.advance(around);
        if self.phase != before {
            actions.push(Action::Announce);
        }
        if self.note_overdue(now) {
            actions.push(Action::Overdue);
        }
        actions.extend(self.summary(around));
        actions.extend(self.call(rank, around));
        actions
    }

    fn own_report(&self, incarnation: u64, around: &Surroundings<'_>) -> HostReport {
        let is_full = self.phase == Some(Phase::Ramp) && around.now >= self.full_at;
        HostReport {
            service: self.order.service,
            version: self.order.version,
            incarnation,
            stopped: is_full && !around.runs_old,
            evidence: self.evidence,
        }
    }

    /// Returns whether the counters are due to be sent to the hosts that gather them.
    ///
    /// What the new version showed is sent soon; the baseline follows with it. During the
    /// ramp everything is sent soon.
    fn must_report(&self, report: &HostReport, now: Moment) -> bool {
        let Some((last, at)) = &self.reported else {
            return true;
        };
        let urgent = last.evidence.new != report.evidence.new
            || last.stopped != report.stopped
            || self.phase == Some(Phase::Ramp);
        let limit = if urgent { MIN_REPORT_TIME } else { REPORT_TIME };
        now.since(*at) >= limit
    }

    /// Returns the sum over this data centre if it is due to be sent to the others.
    fn summary(&mut self, around: &Surroundings<'_>) -> Option<Action> {
        let since = self.full_at;
        let summary = CentreSummary {
            service: self.order.service,
            version: self.order.version,
            centre: String::new(),
            pending: self.gather.pending(around.hosts, since),
            evidence: self.gather.centre_evidence(),
        };
        let due = match &self.summarised {
            None => true,
            Some((last, at)) => {
                let limit = match self.phase {
                    Some(Phase::Ramp) => MIN_REPORT_TIME,
                    _ if last.evidence.new == summary.evidence.new => SUMMARY_TIME,
                    _ => MIN_SUMMARY_TIME,
                };
                around.now.since(*at) >= limit
            }
        };
        due.then(|| {
            self.summarised = Some((summary.clone(), around.now));
            Action::Summarise(summary)
        })
    }

    /// Moves on to the next phase if the evidence and the time say so.
    fn advance(&mut self, around: &Surroundings<'_>) {
        let now = around.now;
        match self.phase {
            _ if self.is_in_use => {}
            Some(Phase::Canary | Phase::Ramp) if self.assessment(around) == Assessment::Bad => {
                self.phase = Some(Phase::Halted);
                self.due_since = None;
            }
            Some(Phase::Canary) if self.is_ramp_due(around) && self.is_undisputed(around) => {
                self.phase = Some(Phase::Ramp);
                self.full_at = now + RAMP_TIME;
            }
            // The store doesn't answer, and this host saw the order being made: nobody can
            // have decided it before.
            None if self.is_fresh
                && self
                    .refused_since
                    .is_some_and(|at| now.since(at) >= STORE_PATIENCE) =>
            {
                self.phase = Some(Phase::Canary);
            }
            _ => {}
        }
    }

    /// Returns whether the evidence and the time allow all requests to move.
    fn is_ramp_due(&self, around: &Surroundings<'_>) -> bool {
        self.assessment(around) == Assessment::Good
            && around.now + self.lead(around.service_time) >= self.deadline
            && self.has_capacity(around)
    }

    /// Returns whether no other host can have found the version bad without this one's
    /// knowledge: it hears from all data centres, or has just asked the store.
    fn is_undisputed(&self, around: &Surroundings<'_>) -> bool {
        let since = around.now - NEWS_TIME;
        let confirmed = self.confirmed.is_some_and(|at| at >= since);
        around.in_contact && (confirmed || self.gather.hears_from(around.centres, since))
    }

    fn assessment(&self, around: &Surroundings<'_>) -> Assessment {
        let observation = self.order.duration.mul_f64(MIN_OBSERVATION);
        self.analysis
            .assessment(around.canary_fraction, observation, around.now)
    }

    /// Returns whether the endpoints of the new version can take all requests.
    fn has_capacity(&self, around: &Surroundings<'_>) -> bool {
        let (new, old) = around.warm_slots;
        let running = self.analysis.old_rate() * around.service_time.as_secs_f64();
        let enough = (f64::from(old) * MIN_CAPACITY).min(running * SLOTS_PER_REQUEST);
        f64::from(new) >= enough
    }

    /// Returns how long before the deadline the ramp begins: as late as possible, since a
    /// version may turn bad only after a while, and early enough for the last requests at
    /// the old version to end before the verdict is written.
    fn lead(&self, service_time: Duration) -> Duration {
        let drain =
            (service_time * 4).clamp(Duration::from_millis(300), Duration::from_millis(2_000));
        let limit = self.order.duration.mul_f64(MAX_LEAD_FRACTION);
        (RAMP_TIME + drain + WRITE_TIME).min(limit)
    }

    /// Returns the call of the store that is due, if any.
    ///
    /// Of the hosts that gather, the first one calls at once and the others only if nothing
    /// has come of it, so that one verdict takes one write.
    fn call(&mut self, rank: u32, around: &Surroundings<'_>) -> Option<Action> {
        let now = around.now;
        let Some(wanted) = self.wanted(around) else {
            self.due_since = None;
            return None;
        };
        let since = match self.due_since {
            Some((status, since)) if status == wanted => since,
            _ => now,
        };
        self.due_since = Some((wanted, since));
        let waited = now.since(since) >= CALL_DELAY * rank;
        if self.is_calling || !waited || now < self.write_due {
            return None;
        }
        self.is_calling = true;
        Some(Action::Write(wanted))
    }

    /// Returns the state that the store should hold by now, if it doesn't.
    fn wanted(&self, around: &Surroundings<'_>) -> Option<Status> {
        let now = around.now;
        match (self.phase, around.registered) {
            (_, Registered::Nothing) => None,
            (Some(Phase::Halted), _) => Some(Status::Decided(Verdict::RolledBack)),
            // There is nothing to move.
            (Some(Phase::Canary), registered)
                if self.is_in_use || registered == Registered::NewOnly =>
            {
                Some(Status::Decided(Verdict::Completed))
            }
            (Some(Phase::Ramp), _) if now >= self.full_at => {
                let since = self.full_at;
                let stopped = self.gather.pending(around.hosts, since) == 0
                    && self.gather.others_stopped(around.centres, since);
                let last_call = now + LAST_CALL >= self.deadline;
                let is_observed = now.since(self.full_at) >= FULL_TIME;
                let is_due = is_observed && around.in_contact && (stopped || last_call);
                is_due.then_some(Status::Decided(Verdict::Completed))
            }
            _ if self.stored.is_none() => Some(Status::Running),
            // Asks the store whether another host has found the version bad.
            (Some(Phase::Canary), _) if self.is_ramp_due(around) && !self.is_undisputed(around) => {
                Some(Status::Running)
            }
            _ => None,
        }
    }

    /// Takes in the result of a call: the store's record, or `None` if there was no answer.
    ///
    /// Returns whether this host learned a phase.
    pub fn call_finished(&mut self, stored: Option<StoredStatus>, now: Moment) -> bool {
        self.is_calling = false;
        let Some(stored) = stored.filter(|s| s.version == self.order.version) else {
            self.write_due = now + WRITE_RETRY;
            self.refused_since.get_or_insert(now);
            return false;
        };
        self.refused_since = None;
        self.stored = Some(stored.status);
        self.confirmed = Some(now);
        let phase = match stored.status {
            Status::Decided(verdict) => Phase::Decided(verdict),
            Status::Running => Phase::Canary,
        };
        if self.phase.is_some_and(|known| known >= phase) {
            return false;
        }
        self.phase = Some(phase);
        true
    }

    /// Moves the deadline forward to what the start of the new version's first endpoint
    /// implies, for a host that doesn't know when the order was made.
    pub fn assume_started(&mut self, age: Duration, now: Moment) {
        let left = self.order.duration.saturating_sub(age);
        self.deadline = self.deadline.min(now + left);
    }

    /// Returns whether this host read the order when it was made.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh
    }
}

/// The time by which each further host that gathers waits for the one before it.
const CALL_DELAY: Duration = Duration::from_millis(150);
