//! The times that the slot leases rest on.

use std::time::Duration;

/// How long a lease lasts without renewal.
pub const TERM: Duration = Duration::from_millis(3_000);
/// How often a holder renews.
pub const RENEWAL: Duration = Duration::from_millis(1_000);
/// How long an owner may act after its configuration was last shown to be current.
pub const FRESHNESS: Duration = Duration::from_millis(2_000);
/// How long a new owner that was handed no estate leases nothing.
///
/// The earlier owner may act on for [`FRESHNESS`], and a lease it grants in
/// its last moment lasts a [`TERM`]; the rest allows for clocks that run
/// apart by one in a hundred.
pub const FENCE: Duration = Duration::from_millis(5_100);
