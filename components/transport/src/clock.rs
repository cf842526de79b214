//! The process's monotonic clock.

use std::sync::OnceLock;
use std::time::Instant;

use state::Moment;

/// Reads the process's monotonic clock.
///
/// Wall clocks jump, so nothing is decided by them.
pub fn now() -> Moment {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Moment(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
