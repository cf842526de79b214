//! Rate-limited log lines about requests.
//!
//! Every request that was denied, lost its connection to an endpoint, was retried
//! or was answered late gets a line; any other request gets none. Under overload
//! a host denies hundreds of requests per second, and writing lines takes CPU
//! time that requests need, so the rate of lines is limited.

use std::time::Duration;

use hyper::HeaderMap;
use protocol::answer_head::InvalidHead;
use state::{EndpointKey, Moment};

use super::Gateway;
use super::attempt::{Answer, Attempt};
use super::denial::Denial;
use crate::clock;

/// Maximum number of lines per window; further lines are counted, not written.
///
/// A line costs about 20 µs, so the limit is 2 % of a small host's CPU. On the
/// busiest days observed a host writes fewer than 20 lines per second.
const MAX_LINES: u32 = 100;

/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of the current window.
#[derive(Default)]
pub(super) struct RequestLog {
    began: Moment,
    lines: u32,
    skipped: u32,
}

impl RequestLog {
    /// Returns whether a line may be written now, and counts the line.
    fn try_line(&mut self, now: Moment) -> bool {
        if now.since(self.began) >= WINDOW {
            if self.skipped > 0 {
                log::info!("E0127 denials-unlogged lines={}", self.skipped);
            }
            *self = RequestLog {
                began: now,
                ..RequestLog::default()
            };
        }
        let written = self.lines < MAX_LINES;
        match written {
            true => self.lines += 1,
            false => self.skipped += 1,
        }
        written
    }
}

impl Gateway {
    /// Logs a request that got no answer from an endpoint.
    pub(super) fn log_denial(&self, headers: &HeaderMap, denial: &Denial, arrived: Moment) {
        let now = clock::now();
        if !self.request_log.borrow_mut().try_line(now) {
            return;
        }
        let config = self.config.borrow();
        let version = config.catalogue.as_ref().map_or(0, |c| c.version);
        log::info!(
            "E0126 request-denied id={} status={} reason={denial:?} after_ms={} version={version}",
            id(headers),
            denial.status().as_u16(),
            now.since(arrived).as_millis()
        );
    }

    /// Logs a request whose answer came later than its route's objective.
    ///
    /// The line contains the time until the request was sent to an endpoint, and
    /// the slowdown that was expected of the endpoint.
    pub(super) fn log_late(
        &self,
        headers: &HeaderMap,
        answer: &Answer,
        arrived: Moment,
        objective: Duration,
    ) {
        let now = clock::now();
        let time = now.since(arrived);
        if time <= objective || !self.request_log.borrow_mut().try_line(now) {
            return;
        }
        log::info!(
            "E0129 request-late id={} status={} after_ms={} objective_ms={} sent_ms={} pace={:.2}",
            id(headers),
            answer.parts.status.as_u16(),
            time.as_millis(),
            objective.as_millis(),
            answer.sent.since(arrived).as_millis(),
            answer.slowdown
        );
    }

    /// Logs that the connection to an endpoint broke while a request was running.
    ///
    /// Lines with the same endpoint and time show which requests ran concurrently.
    /// Lines with the same fingerprint are about the same request, whatever its id.
    pub(super) fn log_broken(
        &self,
        attempt: &Attempt<'_>,
        key: EndpointKey,
        began: Moment,
        error: &hyper::Error,
    ) {
        let now = clock::now();
        if !self.request_log.borrow_mut().try_line(now) {
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

    /// Logs that the head of an endpoint's answer is invalid.
    pub(super) fn log_invalid(&self, attempt: &Attempt<'_>, key: EndpointKey, error: InvalidHead) {
        if !self.request_log.borrow_mut().try_line(clock::now()) {
            return;
        }
        let registry = self.registry.borrow();
        let endpoint = registry.get(key).map(|s| &s.endpoint);
        log::info!(
            "E0191 answer-invalid id={} instance={} error={error}",
            id(&attempt.parts.headers),
            endpoint.map_or("-", |e| e.instance.as_str())
        );
    }

    /// Logs that a request is retried or hedged.
    pub(super) fn log_retry(&self, headers: &HeaderMap, why: &str, arrived: Moment) {
        let now = clock::now();
        if !self.request_log.borrow_mut().try_line(now) {
            return;
        }
        log::info!(
            "E0128 request-repeated id={} why={why:?} after_ms={}",
            id(headers),
            now.since(arrived).as_millis()
        );
    }
}

/// Returns the `Attempt-Id` of a request, or `-` if it has none that can be written.
pub(super) fn id(headers: &HeaderMap) -> &str {
    let id = headers.get(platform::headers::ATTEMPT_ID);
    id.and_then(|v| v.to_str().ok()).unwrap_or("-")
}
