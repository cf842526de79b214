//! The durations that slot leases depend on.

use std::time::Duration;

/// The duration of a lease without renewal.
pub const LEASE_TERM: Duration = Duration::from_millis(3_000);
/// The time between two renewals by a holder.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an owner may act after its configuration was last proved to be current.
pub const AUTHORITY_WINDOW: Duration = Duration::from_millis(2_000);
/// How long a new owner without a handoff leases nothing.
///
/// The earlier owner may act for another [`AUTHORITY_WINDOW`], and a lease granted at
/// the end of that time lasts a [`LEASE_TERM`]. The rest allows for clocks whose rates
/// differ by one percent.
pub const FENCE_DURATION: Duration = Duration::from_millis(5_100);
