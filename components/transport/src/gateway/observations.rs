//! Tells the hosts of the data centre what this one observes about endpoints, and takes in
//! what they tell.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::neighbour::NeighbourMessage;
use protocol::observation_report::ObservationReport;
use state::fleet::hints::HintEffect;
use state::fleet::observation_outbox::is_sharing;
use state::fleet::outcome::Outcome;
use state::fleet::{Hints, Observation, ObservationKind, ObservationOutbox};
use state::{EndpointKey, Moment};
use tokio::time::sleep;

use super::Gateway;
use super::report_limiter::ReportLimiter;
use crate::clock;

/// The window over which this host's requests at endpoints are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// The largest number of hosts that are told in one round, others in each.
///
/// The byte budget of a host holds a datagram to 268 hosts; with more receivers nothing could
/// be told.
const MAX_RECEIVERS: usize = 200;

/// The shortest time between two lines that count observations in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// This host's requests at endpoints, counted in windows.
#[derive(Default)]
struct RequestRate {
    began: Moment,
    count: u32,
    last: f64,
}

impl RequestRate {
    fn count(&mut self, now: Moment) {
        let time = now.since(self.began);
        if time >= RATE_WINDOW {
            self.last = f64::from(self.count) / time.as_secs_f64();
            self.began = now;
            self.count = 0;
        }
        self.count += 1;
    }
}

/// Observations in numbers since the last line in the log.
#[derive(Default)]
struct Counts {
    logged: Moment,
    sent: u64,
    dropped: u64,
    received: u64,
    avoided: u64,
    released: u64,
}

/// What this host and others observe about endpoints.
#[derive(Default)]
pub(super) struct Observations {
    outbox: ObservationOutbox,
    pub hints: Hints,
    rate: RequestRate,
    counts: Counts,
    /// Bounds the lines on hosts that are cut off; after the loss of a data centre all are.
    cut_off_lines: ReportLimiter,
}

impl Gateway {
    /// Notes the outcome of a request or probe at an endpoint, which `is_avoided` newly
    /// after it; `connected` tells whether there was a connection to it.
    pub(super) fn observe_outcome(
        &self,
        key: EndpointKey,
        outcome: Outcome,
        is_avoided: bool,
        connected: bool,
    ) {
        let now = clock::now();
        let mut observations = self.observations.borrow_mut();
        observations.rate.count(now);
        drop(observations);
        if outcome == Outcome::Broken {
            self.note_unanswered(key);
        }
        match ObservationKind::of_outcome(outcome, connected) {
            Some(kind) if is_avoided => self.tell_failure(key, kind, now),
            None if outcome == Outcome::Answered => self.tell_recovery(key),
            _ => {}
        }
    }

    /// Notes that an endpoint answered a probe.
    ///
    /// That says nothing on one that fails, delays or rejects requests.
    pub(super) fn observe_probe(&self, key: EndpointKey) {
        let failure = self.observations.borrow().outbox.failure(key);
        if failure.is_some_and(ObservationKind::is_unanswered) {
            self.tell_recovery(key);
        }
    }

    /// Tells that an endpoint has recovered, if it had failed and isn't avoided any more.
    fn tell_recovery(&self, key: EndpointKey) {
        let now = clock::now();
        let registry = self.registry.borrow();
        let state = registry.get(key);
        let known = self.observations.borrow().outbox.failure(key).is_some();
        if !known || state.is_none_or(|s| s.health.is_failing(now)) {
            return;
        }
        drop(registry);
        let hosts = self.neighbours.borrow().centre_size();
        let draw = self.random_fraction();
        let mut observations = self.observations.borrow_mut();
        let due = observations.outbox.note_answer(key, hosts, draw, now);
        if due.is_some() {
            self.observations_due.notify_one();
        }
    }

    fn tell_failure(&self, key: EndpointKey, kind: ObservationKind, now: Moment) {
        if !self.shares_observations() {
            return;
        }
        let hosts = self.neighbours.borrow().centre_size();
        let draw = self.random_fraction();
        let mut observations = self.observations.borrow_mut();
        let due = observations
            .outbox
            .note_failure(key, kind, hosts, draw, now);
        if due.is_some() {
            self.observations_due.notify_one();
        }
    }

    /// Returns whether the hosts of this data centre share observations.
    pub(super) fn shares_observations(&self) -> bool {
        let hosts = self.neighbours.borrow().centre_size();
        let rate = self.observations.borrow().rate.last;
        is_sharing(hosts, rate, self.registry.borrow().len())
    }

    /// Tells the neighbours what is due; never returns.
    pub(super) async fn tell_observations(self: Rc<Self>) {
        loop {
            let due = self.observations.borrow().outbox.due();
            match due {
                Some(due) => sleep(clock::now().until(due)).await,
                None => self.observations_due.notified().await,
            }
            self.tell_due();
        }
    }

    fn tell_due(&self) {
        let now = clock::now();
        let mut neighbours = self.neighbours.borrow().heard_lately(now);
        let count = neighbours.len().max(1);
        neighbours.rotate_left((self.random_fraction() * count as f64) as usize % count);
        neighbours.truncate(MAX_RECEIVERS);
        let mut observations = self.observations.borrow_mut();
        let due = observations.outbox.take_due(neighbours.len(), now);
        let dropped = observations.outbox.take_dropped();
        observations.counts.sent += due.len() as u64;
        observations.counts.dropped += dropped;
        observations.log_counts(now);
        drop(observations);
        if !due.is_empty() {
            let report = ObservationReport::Observations(due);
            self.send_to_all(&neighbours, &NeighbourMessage::Observations(report));
        }
    }

    /// Handles a message of another host on what it observes.
    pub(super) fn handle_observations(&self, from: SocketAddr, report: &ObservationReport) {
        match report {
            ObservationReport::Observations(told) => self.take_in_observations(from, told),
            ObservationReport::LivenessQuery => {
                let reply = NeighbourMessage::Observations(ObservationReport::LivenessReply);
                self.send(from, &reply);
            }
            // Any message shows that its sender runs.
            ObservationReport::LivenessReply => {}
        }
    }

    fn take_in_observations(&self, from: SocketAddr, told: &[Observation]) {
        let is_neighbour = self.neighbours.borrow().is_neighbour(from);
        if !is_neighbour || !self.shares_observations() {
            return;
        }
        let now = clock::now();
        let mut observations = self.observations.borrow_mut();
        observations.outbox.note_told(from, told, now);
        let mut registry = self.registry.borrow_mut();
        let effect = observations.hints.take_in(from, told, &mut registry, now);
        drop(registry);
        observations.count(told.len(), &effect, now);
        if effect.is_cut_off && observations.cut_off_lines.grant(1, now) == 1 {
            log::info!("E0187 reporter-cut-off from={from}");
        }
        drop(observations);
        let unanswered = told.iter().filter(|o| o.kind.is_unanswered());
        unanswered.for_each(|o| self.note_unanswered(o.endpoint));
        for (key, kind) in &effect.avoided {
            log::debug!(
                "E0186 endpoint-hinted endpoint={:016x} kind={kind:?}",
                key.0
            );
        }
    }
}

impl Observations {
    fn count(&mut self, received: usize, effect: &HintEffect, now: Moment) {
        let counts = &mut self.counts;
        counts.received += received as u64;
        counts.avoided += effect.avoided.len() as u64;
        counts.released += effect.released.len() as u64;
        self.log_counts(now);
    }

    fn log_counts(&mut self, now: Moment) {
        let counts = &mut self.counts;
        if now.since(counts.logged) < LOG_INTERVAL {
            return;
        }
        log::info!(
            "E0185 observations sent={} dropped={} received={} avoided={} released={}",
            counts.sent,
            counts.dropped,
            counts.received,
            counts.avoided,
            counts.released
        );
        *counts = Counts {
            logged: now,
            ..Counts::default()
        };
    }
}
