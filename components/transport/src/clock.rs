//! The process's monotonic clock.

use std::sync::OnceLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use state::Moment;

/// Returns the time since the first call in this process, in microseconds.
///
/// The clock is monotonic: a wall clock can jump, so no decision depends on one. It goes on
/// while the machine is suspended, so that a host that wakes finds its leases expired and
/// knows how old its configuration is.
///
/// # Panics
///
/// Panics if the system has no such clock.
pub fn now() -> Moment {
    let elapsed = uptime().saturating_sub(uptime_at_start());
    Moment(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the machine's uptime at the first call of either function in this process.
///
/// # Panics
///
/// Panics if the system has no such clock.
pub fn uptime_at_start() -> Duration {
    static START: OnceLock<Duration> = OnceLock::new();
    *START.get_or_init(uptime)
}

fn uptime() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock");
    Duration::from(time)
}
