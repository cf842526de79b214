//! Reports between entry hosts on rate limits that endpoints advertise.

use prost::Message;
use state::EndpointKey;
use state::fleet::rate_limit::RateLimitUpdate;

/// Changes of the rate limits that endpoints advertise.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReport {
    /// Whether the sender is in another data centre.
    ///
    /// The receiver then distributes the report within its own data centre.
    pub cross_centre: bool,
    /// One entry for each endpoint.
    pub updates: Vec<RateLimitUpdate>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireLimitReport {
    #[prost(message, repeated, tag = "1")]
    updates: Vec<WireRateLimitUpdate>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRateLimitUpdate {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    /// Requests per second from all hosts together.
    #[prost(double, optional, tag = "2")]
    rate: Option<f64>,
}

impl From<&LimitReport> for WireLimitReport {
    fn from(limits: &LimitReport) -> WireLimitReport {
        let updates = limits.updates.iter().map(|update| WireRateLimitUpdate {
            endpoint: update.endpoint.0,
            rate: update.rate,
        });
        WireLimitReport {
            updates: updates.collect(),
        }
    }
}

impl WireLimitReport {
    /// Decodes the report and drops limits that are negative or not finite.
    pub(crate) fn into_report(self, cross_centre: bool) -> LimitReport {
        let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
        let updates = self.updates.into_iter();
        let updates = updates
            .filter(|a| a.rate.is_none_or(is_valid))
            .map(|a| RateLimitUpdate {
                endpoint: EndpointKey(a.endpoint),
                rate: a.rate,
            });
        LimitReport {
            cross_centre,
            updates: updates.collect(),
        }
    }
}
