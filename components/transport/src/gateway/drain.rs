//! How a host stops without losing a request.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{Gateway, Stage};

/// How long the balancer may still send new connections.
///
/// It asks once a second and believes the second miss.
const NOTICE: Duration = Duration::from_millis(2_600);

/// How long before the platform ends the process it ends by itself.
const MARGIN: Duration = Duration::from_millis(250);

/// How often it is looked whether the last caller has left.
const LOOK_EVERY: Duration = Duration::from_millis(20);

impl Gateway {
    /// Stops: not ready at once, no new work in time, and ended with the last answer.
    ///
    /// Callers with kept connections hear with each answer that they should
    /// connect elsewhere, and are served as before while the balancer takes
    /// this host out. After that the time may not suffice for a request any
    /// more: it is rejected as not run, so that its caller goes elsewhere at
    /// once rather than lose it when the process ends.
    pub async fn drain(self: &Rc<Self>) {
        let began = Instant::now();
        log::info!("E0503 host-draining name={}", self.settings.name);
        self.stage.send_replace(Stage::Leaving);
        let grace = self.live.borrow().bounds.grace;
        sleep(NOTICE.min(grace / 2)).await;
        self.stage.send_replace(Stage::Closing);
        let last = began + grace.saturating_sub(MARGIN);
        while self.callers.get() > 0 && Instant::now() < last {
            sleep_until((Instant::now() + LOOK_EVERY).min(last)).await;
        }
        log::info!(
            "E0504 host-stopped name={} left={}",
            self.settings.name,
            self.callers.get()
        );
    }
}
