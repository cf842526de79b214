//! Graceful shutdown of a host.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{Gateway, Stage};

/// How long the platform's balancer may still send new connections to a host that isn't ready.
///
/// The balancer checks readiness once a second and removes a host after the
/// second failed check.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// How long before the end of the platform's grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// The interval at which the number of open caller connections is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Shuts down: reports not ready at once, later rejects new requests, and
    /// returns after the last answer or shortly before the grace period ends.
    ///
    /// While the balancer removes this host, requests are served as before, and
    /// each answer asks the caller to close its connection. After that the
    /// remaining time may be too short for a new request: such a request is
    /// rejected as not run, so that the caller retries elsewhere at once instead
    /// of losing the request when the process ends.
    pub async fn drain(self: &Rc<Self>) {
        let began = Instant::now();
        log::info!("E0503 host-draining name={}", self.settings.name);
        self.stage.send_replace(Stage::Leaving);
        let grace = self.live.borrow().bounds.grace;
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
}
