//! When a rejected caller should retry.

use std::time::Duration;

use super::placement::Request;
use crate::Moment;

/// The shortest delay after which a retry makes sense.
///
/// Disturbed machines recover within 300 ms, and slots become free within one service
/// time.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// The fraction of the time until its deadline that a caller may be asked to wait.
///
/// Callers wait for at most a third of that time.
const REMAINING_FRACTION: f64 = 0.3;

/// The longest delay before a retry when endpoints rejected a request though they had
/// room.
///
/// Long enough that hundreds of callers don't retry within one millisecond, and short
/// enough that the answer can still be in time.
const SHORT_DELAY_LIMIT: Duration = Duration::from_millis(20);

/// Returns the delay before a retry when an endpoint with room rejected a request, or
/// when the connection was closed before the request was sent.
///
/// Some endpoints reject a part of their requests at random while their health checks are
/// good. Waiting longer would make the next attempt no more likely to succeed, only
/// later. `draw` is a random number from 0 to 1.
pub fn short_delay(draw: f64) -> Duration {
    SHORT_DELAY_LIMIT.mul_f64(0.2 + 0.8 * draw)
}

/// Returns the delay before a retry of a rejected request.
///
/// A burst beyond the capacity of all endpoints causes hundreds of rejections within a
/// second. With the same delay all callers would retry at once and be rejected again, so
/// `draw`, a random number from 0 to 1, spreads their retries. If the answer can still be
/// in time, the delay ends before it is too late; otherwise it leaves time for the burst
/// to pass.
pub fn retry_after(request: &Request, draw: f64, now: Moment) -> Duration {
    let slack = now
        .until(request.objective)
        .saturating_sub(request.service_time.mul_f64(1.2));
    let remaining = now.until(request.deadline).mul_f64(REMAINING_FRACTION);
    let span = if slack > MIN_DELAY * 2 {
        slack
    } else {
        remaining
    };
    span.mul_f64(0.4 + 0.6 * draw).max(MIN_DELAY)
}

/// Returns the delay before a retry of a request that can't complete before its deadline.
///
/// Any earlier retry of the same request would be refused too, and cost hosts that are
/// overloaded another answer.
pub fn after_deadline(request: &Request, now: Moment) -> Duration {
    now.until(request.deadline).max(MIN_DELAY)
}
