//! The times that the slot leases rest on.

use std::time::Duration;

/// How long a lease lasts without renewal.
pub const LEASE_TERM: Duration = Duration::from_millis(3_000);
/// How often a holder renews.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an owner may act after its configuration was last shown to be current.
pub const AUTHORITY_WINDOW: Duration = Duration::from_millis(2_000);
/// How long a new owner that was handed no estate leases nothing.
///
/// The earlier owner may act on for [`AUTHORITY_WINDOW`], and a lease it grants in
/// its last moment lasts a [`LEASE_TERM`]; the rest allows for clocks that run
/// apart by one in a hundred.
pub const FENCE_DURATION: Duration = Duration::from_millis(5_100);
