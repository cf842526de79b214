//! When a rejected caller should come back.

use std::time::Duration;

use super::placement::Request;
use crate::Moment;

/// The shortest time after which coming back makes sense.
///
/// Disturbed machines recover within 300 ms, slots come free within one work.
const SHORTEST: Duration = Duration::from_millis(50);

/// The share of the time left that a caller may be asked to wait.
///
/// Callers wait for a third of the time they have left at most.
const LEFT_SHARE: f64 = 0.3;

/// When a caller comes back whose request endpoints rejected though they had room.
///
/// Long enough that hundreds don't come back within one millisecond; the answer
/// can then still be in time.
const AT_ONCE: Duration = Duration::from_millis(20);

/// Returns when a caller comes back whose request an endpoint with room rejected, or
/// whose connection to it was closed before the request was sent.
///
/// Made for endpoints that reject a part of their requests at random while their
/// health checks are good: waiting makes the next try no likelier to be served,
/// only later.
pub fn short_delay(draw: f64) -> Duration {
    AT_ONCE.mul_f64(0.2 + 0.8 * draw)
}

/// Returns when a caller whose request was rejected should come back.
///
/// Made for a burst that all endpoints together can't bear: hundreds of callers
/// are rejected within a second. Told the same time, they would come back as
/// one herd and be rejected again, so `draw`, from 0 to 1, spreads them. Where
/// the answer can still be in time they are asked back before it is too late;
/// else the burst is given time to pass.
pub fn retry_after(request: &Request, draw: f64, now: Moment) -> Duration {
    let slack = now
        .until(request.objective)
        .saturating_sub(request.service_time.mul_f64(1.2));
    let left = now.until(request.deadline).mul_f64(LEFT_SHARE);
    let span = if slack > SHORTEST * 2 { slack } else { left };
    span.mul_f64(0.4 + 0.6 * draw).max(SHORTEST)
}
