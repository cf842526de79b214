//! The log lines of requests, bounded.
//!
//! Every request that failed, was refused, was repeated or came late has a line; what went
//! well has one only at the level debug. Under overload a host refuses hundreds
//! of requests a second, and lines cost processor time that callers need.

use std::time::Duration;

use hyper::HeaderMap;
use state::{EndpointKey, Moment};

use super::Gateway;
use super::attempt::{Answer, Attempt};
use super::refusal::Denial;
use crate::clock;

/// Lines a second beyond which they are counted rather than written.
///
/// A line costs about 20 µs, so this is a fiftieth of a small host's processor.
/// In the heaviest days seen a host writes fewer than twenty.
const LINES_LIMIT: u32 = 100;

/// The span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Counts the lines of the current second.
#[derive(Default)]
pub(super) struct RequestLog {
    began: Moment,
    lines: u32,
    left: u32,
}

impl RequestLog {
    /// Returns whether a line may be written now.
    fn take(&mut self, now: Moment) -> bool {
        if now.since(self.began) >= SPAN {
            if self.left > 0 {
                log::info!("E0127 denials-unlogged lines={}", self.left);
            }
            *self = RequestLog {
                began: now,
                ..RequestLog::default()
            };
        }
        let written = self.lines < LINES_LIMIT;
        match written {
            true => self.lines += 1,
            false => self.left += 1,
        }
        written
    }
}

impl Gateway {
    /// Logs a request that got no endpoint's answer.
    pub(super) fn log_denial(&self, fields: &HeaderMap, denial: &Denial, arrived: Moment) {
        let now = clock::now();
        if !self.requests.borrow_mut().take(now) {
            return;
        }
        let orders = self.orders.borrow();
        let version = orders.catalogue.as_ref().map_or(0, |c| c.version);
        log::info!(
            "E0126 request-denied id={} status={} reason={denial:?} after_ms={} version={version}",
            id(fields),
            denial.status().as_u16(),
            now.since(arrived).as_millis()
        );
    }

    /// Logs a request whose answer came after its objective.
    ///
    /// It tells how long the host looked for an endpoint, and what pace the one
    /// it took had promised.
    pub(super) fn log_late(
        &self,
        fields: &HeaderMap,
        answer: &Answer,
        arrived: Moment,
        objective: Duration,
    ) {
        let now = clock::now();
        let time = now.since(arrived);
        if time <= objective || !self.requests.borrow_mut().take(now) {
            return;
        }
        log::info!(
            "E0129 request-late id={} status={} after_ms={} objective_ms={} sent_ms={} pace={:.2}",
            id(fields),
            answer.parts.status.as_u16(),
            time.as_millis(),
            objective.as_millis(),
            answer.sent.since(arrived).as_millis(),
            answer.pace
        );
    }

    /// Logs that the connection to an endpoint broke while a request was there.
    ///
    /// Lines of one endpoint and moment name the requests that ran beside each other;
    /// those of one fingerprint are about the same request, whatever their ids.
    pub(super) fn log_broken(
        &self,
        attempt: &Attempt<'_>,
        key: EndpointKey,
        began: Moment,
        error: &hyper::Error,
    ) {
        let now = clock::now();
        if !self.requests.borrow_mut().take(now) {
            return;
        }
        let registry = self.registry.borrow();
        let endpoint = registry.get(key).map(|s| &s.endpoint);
        log::info!(
            "E0123 endpoint-broke id={} content={:016x} request={:016x} instance={} ran_ms={} error={error:?}",
            id(&attempt.parts.headers),
            attempt.fingerprints.content.0,
            attempt.fingerprints.request.0,
            endpoint.map_or("-", |e| e.instance.as_str()),
            now.since(began).as_millis()
        );
    }

    /// Logs that a request goes to another endpoint.
    pub(super) fn log_repeat(&self, fields: &HeaderMap, why: &str, arrived: Moment) {
        let now = clock::now();
        if !self.requests.borrow_mut().take(now) {
            return;
        }
        log::info!(
            "E0128 request-repeated id={} why={why:?} after_ms={}",
            id(fields),
            now.since(arrived).as_millis()
        );
    }
}

fn id(fields: &HeaderMap) -> &str {
    let id = fields.get(platform::headers::ATTEMPT_ID);
    id.and_then(|v| v.to_str().ok()).unwrap_or("-")
}
