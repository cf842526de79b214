//! The retry budgets of this host, one per service, and the log lines about them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use state::ServiceKey;
use state::fleet::HostRetryBudget;
use state::fleet::retry_budget::{HostPart, RetryBounds};
use tokio::time::{MissedTickBehavior, interval};

use super::Gateway;
use crate::clock;

/// The shortest interval between two log lines about the same service.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The retry budgets by service.
pub(super) type RetryBudgets = RefCell<BTreeMap<ServiceKey, HostRetryBudget>>;

impl Gateway {
    /// Runs `act` on the retry budget of a service.
    pub(super) fn with_retry_budget<R>(
        &self,
        service: ServiceKey,
        act: impl FnOnce(&mut HostRetryBudget) -> R,
    ) -> R {
        let bounds = {
            let bounds = &self.live.borrow().bounds;
            RetryBounds {
                ratio: bounds.repeat_ratio,
                slack: bounds.repeat_slack,
            }
        };
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service)
            .or_insert_with(|| match self.settings.first_start {
                true => HostRetryBudget::new(bounds),
                false => HostRetryBudget::restarted(bounds),
            });
        budget.set_bounds(bounds);
        act(budget)
    }

    /// Returns this host's part of the slack of retries.
    ///
    /// A host that can't renew its membership may not have its share any more.
    pub(super) fn retry_part(&self) -> HostPart {
        let hosts = self.site_size.get();
        let share = match clock::now() < self.session_end.get() {
            true => self.share.get().min(1.0 / hosts.max(1) as f64),
            false => 0.0,
        };
        HostPart { share, hosts }
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
        let part = self.retry_part();
        let mut budgets = self.retry_budgets.borrow_mut();
        for (service, budget) in budgets.iter_mut() {
            let Some(report) = budget.report(part) else {
                continue;
            };
            let counts = report.counts;
            log::info!(
                "E0190 retry-budget service={:016x} requests={} charged={} uncharged={} \
                 turned_down={} left={:.1} capacity={:.1} share={:.5} hosts={}",
                service.0,
                counts.requests,
                counts.charged,
                counts.uncharged,
                counts.turned_down,
                report.left,
                report.capacity,
                part.share,
                part.hosts,
            );
        }
    }
}
