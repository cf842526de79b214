//! Messages by which entry hosts divide the quotas of client accounts.

use std::time::Duration;

use coordination::quota::contention::{MAX_NONE_FOR, Refused, Urgency};
use coordination::quota::home::{Grant, MAX_RETRY_DELAY};
use coordination::quota::{DemandEntry, DemandReport};
use prost::Message;
use state::{AccountKey, DataCentreKey};

/// The most refused requests that a claim may report.
///
/// More would make up an account's demand for minutes; a host refuses some thousands per second.
const MAX_REFUSED: u32 = 100_000;

/// A message about quotas.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaMessage {
    /// Requests tokens from an account's home.
    Claim(QuotaClaim),
    /// Answers a request for tokens.
    Grant(QuotaGrant),
    /// Tells the demand in one data centre; the flag is set if the sender is in another one.
    Demand(DemandReport, bool),
}

/// A request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaClaim {
    /// Identifies the request among those of the sender.
    pub id: u32,
    /// The account.
    pub account: AccountKey,
    /// The tokens that the sender can use now or soon.
    pub wanted: u32,
    /// Whether the waiting request can still be in time.
    pub urgency: Urgency,
    /// Requests that the sender refused by itself since its last claim.
    pub refused: Refused,
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The identifier of the request.
    pub id: u32,
    /// What is granted.
    pub grant: Grant,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireQuota {
    #[prost(oneof = "WireQuotaKind", tags = "1, 2, 3")]
    kind: Option<WireQuotaKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireQuotaKind {
    #[prost(message, tag = "1")]
    Claim(WireClaim),
    #[prost(message, tag = "2")]
    Grant(WireGrant),
    #[prost(message, tag = "3")]
    Demand(WireDemand),
}

#[derive(Clone, PartialEq, Message)]
struct WireClaim {
    #[prost(uint32, tag = "1")]
    id: u32,
    #[prost(fixed64, tag = "2")]
    account: u64,
    #[prost(uint32, tag = "3")]
    wanted: u32,
    /// Absent in claims of earlier releases, which count as in time.
    #[prost(bool, tag = "4")]
    late: bool,
    #[prost(uint32, tag = "5")]
    refused_in_time: u32,
    #[prost(uint32, tag = "6")]
    refused_late: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireGrant {
    #[prost(uint32, tag = "1")]
    id: u32,
    #[prost(uint32, tag = "2")]
    tokens: u32,
    #[prost(uint64, tag = "3")]
    retry_millis: u64,
    /// Absent in grants of earlier releases: the host asks for each request.
    #[prost(uint64, tag = "4")]
    none_millis: u64,
    /// Absent in grants of earlier releases, which tell a single time.
    #[prost(uint64, tag = "5")]
    room_millis: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireDemand {
    #[prost(fixed64, tag = "1")]
    centre: u64,
    #[prost(fixed64, repeated, tag = "2")]
    accounts: Vec<u64>,
    /// Requests per second, one for each account.
    #[prost(float, repeated, tag = "3")]
    rates: Vec<f32>,
}

impl WireQuota {
    /// Encodes a message; the caller encodes whether it comes from another data centre.
    pub(crate) fn new(message: &QuotaMessage) -> WireQuota {
        let kind = match message {
            QuotaMessage::Claim(claim) => WireQuotaKind::Claim(WireClaim {
                id: claim.id,
                account: claim.account.0,
                wanted: claim.wanted,
                late: claim.urgency == Urgency::Late,
                refused_in_time: claim.refused.in_time.min(MAX_REFUSED),
                refused_late: claim.refused.late.min(MAX_REFUSED),
            }),
            QuotaMessage::Grant(answer) => WireQuotaKind::Grant(WireGrant {
                id: answer.id,
                tokens: answer.grant.tokens,
                retry_millis: u64::try_from(answer.grant.retry_after.as_millis())
                    .unwrap_or(u64::MAX),
                none_millis: u64::try_from(answer.grant.none_for.as_millis()).unwrap_or(u64::MAX),
                // The second time is told only where it differs.
                room_millis: match answer.grant.room_after > answer.grant.retry_after {
                    true => u64::try_from(answer.grant.room_after.as_millis()).unwrap_or(u64::MAX),
                    false => 0,
                },
            }),
            QuotaMessage::Demand(report, _) => WireQuotaKind::Demand(WireDemand {
                centre: report.centre.0,
                accounts: report.entries.iter().map(|e| e.account.0).collect(),
                rates: report.entries.iter().map(|e| e.demand as f32).collect(),
            }),
        };
        WireQuota { kind: Some(kind) }
    }

    /// Decodes the message; returns `None` if its form is unknown.
    ///
    /// Counts and times beyond their limits are reduced to them, so that the tokens of the same
    /// message aren't lost. Demands that are negative or not finite are dropped.
    pub(crate) fn into_message(self, cross_centre: bool) -> Option<QuotaMessage> {
        Some(match self.kind? {
            WireQuotaKind::Claim(claim) => QuotaMessage::Claim(QuotaClaim {
                id: claim.id,
                account: AccountKey(claim.account),
                wanted: claim.wanted,
                urgency: if claim.late {
                    Urgency::Late
                } else {
                    Urgency::InTime
                },
                refused: Refused {
                    in_time: claim.refused_in_time.min(MAX_REFUSED),
                    late: claim.refused_late.min(MAX_REFUSED),
                },
            }),
            WireQuotaKind::Grant(answer) => QuotaMessage::Grant(QuotaGrant {
                id: answer.id,
                grant: Grant {
                    tokens: answer.tokens,
                    retry_after: Duration::from_millis(answer.retry_millis).min(MAX_RETRY_DELAY),
                    room_after: Duration::from_millis(answer.room_millis.max(answer.retry_millis))
                        .min(MAX_RETRY_DELAY),
                    none_for: Duration::from_millis(answer.none_millis).min(MAX_NONE_FOR),
                },
            }),
            WireQuotaKind::Demand(demand) => {
                QuotaMessage::Demand(demand.into_report(), cross_centre)
            }
        })
    }
}

impl WireDemand {
    fn into_report(self) -> DemandReport {
        let pairs = self.accounts.into_iter().zip(self.rates);
        let entries = pairs
            .filter(|(_, rate)| rate.is_finite() && *rate >= 0.0)
            .map(|(account, rate)| DemandEntry {
                account: AccountKey(account),
                demand: f64::from(rate),
            });
        DemandReport {
            centre: DataCentreKey(self.centre),
            entries: entries.collect(),
        }
    }
}
