//! Learns advertised rate limits, from endpoints and from other hosts.

use hyper::HeaderMap;
use protocol::limit_report::LimitReport;
use protocol::neighbour::NeighbourMessage;
use state::EndpointKey;
use state::fleet::rate_limit::{RateLimitUpdate, Source};

use super::Gateway;
use crate::clock;

impl Gateway {
    /// Records the rate limit that an endpoint advertises with an answer.
    ///
    /// An answer without a limit ends a known one, except for a rejection, which
    /// may omit the limit.
    pub(super) fn record_limit(&self, key: EndpointKey, headers: &HeaderMap, source: Source) {
        let rate = match platform::headers::rate_limit(headers) {
            Ok(None) if platform::headers::is_not_run(headers) => return,
            Ok(rate) => rate,
            Err(error) => {
                log::debug!("E0145 limit-unreadable error={error}");
                return;
            }
        };
        let mut registry = self.registry.borrow_mut();
        let was_limited = registry.limits().contains(key);
        let update = registry.observe_limit(key, rate, source);
        if was_limited != registry.limits().contains(key) {
            let instance = registry.get(key).map(|s| s.endpoint.instance.as_str());
            log::info!(
                "E0144 limit-advertised instance={} rate={rate:?} source={source:?}",
                instance.unwrap_or_default()
            );
        }
        drop(registry);
        let granted =
            |_: &RateLimitUpdate| self.limit_reports.borrow_mut().grant(1, clock::now()) == 1;
        if let Some(update) = update.filter(granted) {
            self.broadcast_all_centres(|cross_centre| {
                NeighbourMessage::LimitReport(LimitReport {
                    cross_centre,
                    updates: vec![update],
                })
            });
        }
    }

    /// Handles rate limits that another host has received from endpoints.
    pub(super) fn handle_limit_report(&self, limits: LimitReport) {
        let mut registry = self.registry.borrow_mut();
        for update in &limits.updates {
            registry.apply_limit_update(update);
        }
        drop(registry);
        if limits.cross_centre {
            self.broadcast(&NeighbourMessage::LimitReport(LimitReport {
                cross_centre: false,
                ..limits
            }));
        }
    }
}
