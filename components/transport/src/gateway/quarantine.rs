//! Detects requests that crash endpoints, and quarantines them.
//!
//! The traffic between hosts is bounded: a few reports per second, and while any
//! request is quarantined one reminder per second to one neighbour and to one
//! host of another data centre.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use protocol::crash_report::{CrashReport, CrashedRun};
use protocol::neighbour::NeighbourMessage;
use state::fleet::quarantine::{Crash, Decision, QuarantineUpdate, Reporter};
use state::fleet::{Fingerprints, Quarantine};
use state::{EndpointKey, Moment};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use super::Gateway;
use super::report_limiter::ReportLimiter;
use crate::clock;
use crate::upstream::Connection;
use crate::upstream::connection::ConnectError;

/// The interval at which the quarantine is sent to a random neighbour and to a
/// random host of another data centre.
///
/// Reminders reach hosts that missed a report, and hosts that have just started.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);

/// A request's run whose connection broke.
struct BrokenRun {
    endpoint: EndpointKey,
    address: SocketAddr,
    crash: Crash,
}

/// This host's knowledge of requests that crash endpoints.
#[derive(Default)]
pub(super) struct CrashTracker {
    quarantine: Quarantine,
    /// Broken runs not yet checked for a crash of their endpoint.
    broken: Vec<BrokenRun>,
    reports: ReportLimiter,
}

impl Gateway {
    /// Returns how much longer a request is quarantined, `None` if it may be sent.
    pub(super) fn quarantine_left(&self, request: Fingerprints) -> Option<Duration> {
        let crash_tracker = self.crash_tracker.borrow();
        crash_tracker.quarantine.remaining(request, clock::now())
    }

    /// Decides whether a request may be sent to an endpoint now.
    ///
    /// # Errors
    ///
    /// Returns how much longer the request is quarantined.
    pub(super) fn admit(&self, request: Fingerprints) -> Result<(), Duration> {
        let now = clock::now();
        let admission = self
            .crash_tracker
            .borrow_mut()
            .quarantine
            .admit(request, now);
        match admission {
            Decision::Pass => Ok(()),
            Decision::Reject(left) => Err(left),
            Decision::Trial(updates) => {
                log::info!("E0142 quarantine-trial content={:016x}", request.content.0);
                self.report_crashes(&[], &updates);
                Ok(())
            }
        }
    }

    /// Records that the connection of a request sent at `sent` broke.
    pub(super) fn note_broken(&self, request: Fingerprints, endpoint: EndpointKey, sent: Moment) {
        let registry = self.registry.borrow();
        let Some(state) = registry.get(endpoint) else {
            // An endpoint that was removed closes its connections; this is no crash.
            return;
        };
        self.crash_tracker.borrow_mut().broken.push(BrokenRun {
            endpoint,
            address: state.endpoint.address,
            crash: Crash {
                request,
                sent,
                at: clock::now(),
            },
        });
        self.broken_notify.notify_one();
    }

    /// Records that an endpoint answered a request, which may clear its quarantine.
    pub(super) fn note_answered(&self, request: Fingerprints) {
        let now = clock::now();
        let mut crash_tracker = self.crash_tracker.borrow_mut();
        let cleared = crash_tracker.quarantine.note_answer(request, now);
        let granted = crash_tracker.reports.grant(cleared.len(), now);
        drop(crash_tracker);
        if granted > 0 {
            self.report_crashes(&[], &cleared);
        }
    }

    /// Checks after broken runs whether their endpoints crashed; never returns.
    pub(super) async fn confirm_crashes(self: Rc<Self>) {
        loop {
            self.broken_notify.notified().await;
            let broken = std::mem::take(&mut self.crash_tracker.borrow_mut().broken);
            let mut endpoints: BTreeMap<(EndpointKey, SocketAddr), Vec<Crash>> = BTreeMap::new();
            for run in broken {
                let runs = endpoints.entry((run.endpoint, run.address)).or_default();
                runs.push(run.crash);
            }
            for ((endpoint, address), runs) in endpoints {
                spawn_local(Rc::clone(&self).confirm_crash(endpoint, address, runs));
            }
        }
    }

    /// Checks by connecting whether an endpoint crashed during these runs.
    ///
    /// A connection also breaks when a middlebox resets it, or when an endpoint
    /// aborts some of its requests. Only a refused connection shows that the process
    /// has ended. A timeout proves nothing: this host itself may be disconnected.
    async fn confirm_crash(
        self: Rc<Self>,
        endpoint: EndpointKey,
        address: SocketAddr,
        runs: Vec<Crash>,
    ) {
        match Connection::open_from(self.settings.source, endpoint, address).await {
            Ok(connection) => self.keep_connection(connection, &HeaderMap::new()),
            Err(ConnectError::Refused(_, error))
                if error.kind() == ErrorKind::ConnectionRefused =>
            {
                self.record_crashes(&runs);
            }
            Err(error) => log::debug!("E0143 crash-unconfirmed address={address} error={error}"),
        }
    }

    /// Records runs that ended with a crash of their endpoint, and reports them to all hosts.
    fn record_crashes(&self, runs: &[Crash]) {
        let now = clock::now();
        let mut crash_tracker = self.crash_tracker.borrow_mut();
        let mut updates = Vec::new();
        for run in runs {
            updates.extend(crash_tracker.quarantine.note_crash(run, Reporter::ThisHost));
        }
        let granted = crash_tracker.reports.grant(runs.len(), now);
        drop(crash_tracker);
        updates.iter().for_each(log_quarantine_update);
        let crashed = runs.iter().take(granted).map(|run| CrashedRun {
            request: run.request,
            ran: run.at.since(run.sent),
            age: now.since(run.at),
        });
        let crashed: Vec<CrashedRun> = crashed.collect();
        self.report_crashes(&crashed, &updates);
    }

    /// Handles another host's report of crashes and quarantined requests.
    pub(super) fn handle_crash_report(&self, crashes: CrashReport) {
        let now = clock::now();
        let mut crash_tracker = self.crash_tracker.borrow_mut();
        for crashed in &crashes.runs {
            let at = now - crashed.age;
            let crash = Crash {
                request: crashed.request,
                sent: at - crashed.ran,
                at,
            };
            let updates = crash_tracker
                .quarantine
                .note_crash(&crash, Reporter::OtherHost);
            updates.iter().for_each(log_quarantine_update);
        }
        for update in &crashes.updates {
            if crash_tracker.quarantine.apply(update, now) {
                log_quarantine_update(update);
            }
        }
        drop(crash_tracker);
        if crashes.cross_centre {
            self.broadcast(&NeighbourMessage::CrashReport(CrashReport {
                cross_centre: false,
                ..crashes
            }));
        }
    }

    /// Returns a message with all quarantined requests, `None` if there are none.
    pub(super) fn quarantine_message(&self) -> Option<NeighbourMessage> {
        let crash_tracker = self.crash_tracker.borrow();
        let updates = crash_tracker.quarantine.updates(clock::now());
        (!updates.is_empty()).then(|| message(false, Vec::new(), updates))
    }

    /// Periodically sends the quarantine to other hosts; never returns.
    pub(super) async fn send_reminders(self: Rc<Self>) {
        let mut ticks = interval(REMINDER_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = clock::now();
            self.crash_tracker.borrow_mut().quarantine.forget(now);
            let Some(reminder) = self.quarantine_message() else {
                continue;
            };
            let known = self.neighbours.borrow();
            let one = known.any(self.random_u64());
            let remote = known.any_remote(self.random_u64());
            drop(known);
            for host in one.into_iter().chain(remote) {
                self.send(host, &reminder);
            }
        }
    }

    /// Reports runs that ended with a crash, and the resulting quarantine updates, to all hosts.
    fn report_crashes(&self, crashed: &[CrashedRun], updates: &[QuarantineUpdate]) {
        if !crashed.is_empty() || !updates.is_empty() {
            self.broadcast_all_centres(|cross_centre| {
                message(cross_centre, crashed.to_vec(), updates.to_vec())
            });
        }
    }
}

fn message(
    cross_centre: bool,
    runs: Vec<CrashedRun>,
    updates: Vec<QuarantineUpdate>,
) -> NeighbourMessage {
    NeighbourMessage::CrashReport(CrashReport {
        cross_centre,
        runs,
        updates,
    })
}

fn log_quarantine_update(update: &QuarantineUpdate) {
    log::info!(
        "E0141 request-quarantined fingerprint={:016x} crashes={} left_ms={}",
        update.request.0,
        update.crashes,
        update.remaining.as_millis()
    );
}
