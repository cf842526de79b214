//! Graceful shutdown of a host.

use std::rc::Rc;
use std::time::Duration;

use state::Moment;
use tokio::time::{Instant, sleep, sleep_until};

use super::{Gateway, Stage};
use crate::clock;

/// How long the platform's balancer may still send new connections to a host that isn't ready.
///
/// The balancer checks readiness once a second and removes a host after the
/// second failed check.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// How long before the end of the platform's grace period endpoints are no longer awaited.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// How long before the end of the platform's grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(50);

/// The interval at which the number of open caller connections is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Shuts down: reports not ready at once, later rejects new requests, and
    /// returns after the last answer or shortly before the grace period ends.
    ///
    /// While the balancer removes this host, requests are served whose usual work
    /// fits into the grace period, and each answer asks the caller to close its
    /// connection. After that the remaining time may be too short for a new
    /// request: such a request is rejected as not run, so that the caller retries
    /// elsewhere at once instead of losing the request when the process ends.
    ///
    /// Requests that are still unanswered shortly before the end get an answer of
    /// this host.
    pub async fn drain(self: &Rc<Self>) {
        let began = Instant::now();
        log::info!("E0503 host-draining name={}", self.settings.name);
        let grace = self.live.borrow().bounds.grace;
        let end = clock::now() + grace.saturating_sub(ANSWER_MARGIN);
        self.drain_end.set(Some(end));
        self.stage.send_replace(Stage::Leaving);
        sleep(BALANCER_DELAY.min(grace / 2)).await;
        self.stage.send_replace(Stage::Closing);
        let last = began + grace.saturating_sub(EXIT_MARGIN);
        while self.callers.get() > 0 && Instant::now() < last {
            sleep_until((Instant::now() + POLL_INTERVAL).min(last)).await;
        }
        log::info!(
            "E0504 host-stopped name={} left={}",
            self.settings.name,
            self.callers.get()
        );
    }

    /// Returns whether a request that takes this long can't end before this host stops.
    pub(super) fn stops_before(&self, work: Duration) -> bool {
        self.drain_end
            .get()
            .is_some_and(|end| clock::now() + work >= end)
    }

    /// Returns until when an endpoint may work on a request with this deadline.
    pub(super) fn work_deadline(&self, deadline: Moment) -> Moment {
        let end = self.drain_end.get();
        end.map_or(deadline, |end| end.min(deadline))
    }

    /// Waits until a request that takes this long can't end before this host stops.
    pub(super) async fn stopping(&self, work: Duration) {
        let mut stage = self.stage.subscribe();
        // The stage outlives the requests. The guard would keep it from changing.
        drop(stage.wait_for(|s| *s >= Stage::Leaving).await);
        if let Some(end) = self.drain_end.get() {
            sleep((clock::now() + work).until(end)).await;
        }
    }
}
