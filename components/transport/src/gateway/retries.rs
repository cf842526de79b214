//! The retry budgets of this host, one per service, and the log lines about them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use state::ServiceKey;
use state::fleet::WindowedRetryBudget;
use state::fleet::retry_budget::RetryBounds;
use tokio::time::{MissedTickBehavior, interval};

use super::Gateway;
use crate::clock;

/// The shortest interval between two log lines about the same service.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of services logged per interval; the others are logged in a later one.
const MAX_LINES: usize = 16;

/// The retry budgets by service.
pub(super) type RetryBudgets = RefCell<BTreeMap<ServiceKey, WindowedRetryBudget>>;

impl Gateway {
    /// Runs `act` on the retry budget of a service.
    pub(super) fn with_retry_budget<R>(
        &self,
        service: ServiceKey,
        act: impl FnOnce(&mut WindowedRetryBudget) -> R,
    ) -> R {
        let bounds = {
            let bounds = &self.live.borrow().bounds;
            RetryBounds {
                ratio: bounds.repeat_ratio,
                slack: bounds.repeat_slack,
                window: bounds.repeat_window,
            }
        };
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service)
            .or_insert_with(|| WindowedRetryBudget::new(bounds, self.started));
        budget.set_bounds(bounds);
        act(budget)
    }

    /// Periodically logs the budgets of services with retries; never returns.
    pub(super) async fn report_retries(self: Rc<Self>) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.log_retry_budgets();
        }
    }

    fn log_retry_budgets(&self) {
        let now = clock::now();
        let share = self.share.get();
        let mut budgets = self.retry_budgets.borrow_mut();
        let reports = budgets.iter_mut().filter_map(|(service, budget)| {
            let report = budget.report(share, now)?;
            Some((service, report))
        });
        for (service, report) in reports.take(MAX_LINES) {
            let counts = report.counts;
            log::info!(
                "E0190 retry-budget service={:016x} requests={} charged={} uncharged={} \
                 turned_down={} in_window={} earned={:.1} slack={:.1} share={share:.5}",
                service.0,
                counts.requests,
                counts.charged,
                counts.uncharged,
                counts.turned_down,
                report.in_window,
                report.earned,
                report.slack,
            );
        }
    }
}
