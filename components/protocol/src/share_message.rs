//! Messages by which the hosts of a data centre divide a service's capacity.

use coordination::shares::{LimitRow, MAX_ROWS, ShareKey, ShareLimits, UsageReport, UsageRow};
use prost::Message;
use state::{FlowKey, ServiceKey};

/// A message about the shares of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareMessage {
    /// Reports the use of a service at one host to the service's home.
    Report(UsageReport),
    /// Answers a report with the shares.
    Limits(ShareLimits),
}

/// The largest rate that is accepted, in requests per second.
const MAX_RATE: f32 = 1e9;

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireShares {
    #[prost(fixed64, tag = "1")]
    service: u64,
    /// Whether the message is an answer.
    #[prost(bool, tag = "2")]
    is_answer: bool,
    #[prost(uint32, tag = "3")]
    waiting: u32,
    #[prost(message, repeated, tag = "4")]
    rows: Vec<WireShareRow>,
}

#[derive(Clone, PartialEq, Message)]
struct WireShareRow {
    #[prost(fixed64, tag = "1")]
    flow: u64,
    #[prost(uint32, tag = "2")]
    priority: u32,
    /// Requests per second.
    #[prost(float, tag = "3")]
    wanted: f32,
    /// Requests per second: placed ones in a report, the share in an answer.
    #[prost(float, tag = "4")]
    rate: f32,
}

impl WireShareRow {
    fn new(key: ShareKey, wanted: f64, rate: f64) -> WireShareRow {
        WireShareRow {
            flow: key.flow.0,
            priority: key.priority,
            wanted: wanted as f32,
            rate: rate as f32,
        }
    }

    fn key(&self) -> ShareKey {
        ShareKey {
            priority: self.priority,
            flow: FlowKey(self.flow),
        }
    }

    fn is_valid(&self) -> bool {
        [self.wanted, self.rate]
            .iter()
            .all(|rate| (0.0..=MAX_RATE).contains(rate))
    }
}

impl WireShares {
    pub(crate) fn new(message: &ShareMessage) -> WireShares {
        match message {
            ShareMessage::Report(report) => WireShares {
                service: report.service.0,
                is_answer: false,
                waiting: report.waiting,
                rows: report
                    .rows
                    .iter()
                    .map(|r| WireShareRow::new(r.key, r.wanted, r.placed))
                    .collect(),
            },
            ShareMessage::Limits(limits) => WireShares {
                service: limits.service.0,
                is_answer: true,
                waiting: limits.waiting,
                rows: limits
                    .rows
                    .iter()
                    .map(|r| WireShareRow::new(r.key, r.wanted, r.share))
                    .collect(),
            },
        }
    }

    /// Decodes the message; returns `None` if any part of it is invalid.
    pub(crate) fn into_message(self) -> Option<ShareMessage> {
        let is_valid = self.rows.len() <= MAX_ROWS && self.rows.iter().all(WireShareRow::is_valid);
        if !is_valid {
            return None;
        }
        let service = ServiceKey(self.service);
        let waiting = self.waiting;
        Some(match self.is_answer {
            false => ShareMessage::Report(UsageReport {
                service,
                waiting,
                rows: self
                    .rows
                    .iter()
                    .map(|row| UsageRow {
                        key: row.key(),
                        wanted: f64::from(row.wanted),
                        placed: f64::from(row.rate),
                    })
                    .collect(),
            }),
            true => ShareMessage::Limits(ShareLimits {
                service,
                waiting,
                rows: self
                    .rows
                    .iter()
                    .map(|row| LimitRow {
                        key: row.key(),
                        wanted: f64::from(row.wanted),
                        share: f64::from(row.rate),
                    })
                    .collect(),
            }),
        })
    }
}
