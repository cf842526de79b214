//! The process's monotonic clock.

use std::sync::OnceLock;
use std::time::Instant;

use state::Moment;

/// Returns the time since the first call in this process, in microseconds.
///
/// The clock is monotonic: a wall clock can jump, so no decision depends on one.
pub fn now() -> Moment {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Moment(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
