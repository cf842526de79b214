//! Decides when to give up on a peer that sends or reads too slowly.

use std::time::Duration;

/// The longest time to wait for a peer without a single byte.
///
/// Long enough for a lost packet to be retransmitted several times on a bad line.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The minimum average transfer rate, in bytes per second.
pub const MIN_RATE: u64 = 16 * 1024;

/// The remaining time to wait for one peer of a transfer.
///
/// Protects against callers that send or read a byte per second. A limit on the time
/// without progress alone would let each of them hold a slot for hours, until no slot is
/// left for other callers. The time spent waiting is therefore taken from an allowance,
/// and only transferred bytes refill it: a peer that moves less than [`MIN_RATE`] on
/// average exhausts the allowance after [`STALL_TIMEOUT`].
#[derive(Clone, Copy, Debug)]
pub struct StallTimer {
    remaining: Duration,
}

impl Default for StallTimer {
    fn default() -> StallTimer {
        StallTimer {
            remaining: STALL_TIMEOUT,
        }
    }
}

impl StallTimer {
    /// Takes the time spent waiting from the allowance.
    pub fn note_wait(&mut self, time: Duration) {
        self.remaining = self.remaining.saturating_sub(time);
    }

    /// Refills the allowance by the time that `bytes` may take, up to [`STALL_TIMEOUT`].
    pub fn note_bytes(&mut self, bytes: u64) {
        let earned = Duration::from_micros(bytes.saturating_mul(1_000_000) / MIN_RATE);
        self.remaining = (self.remaining + earned).min(STALL_TIMEOUT);
    }

    /// Returns how much longer to wait for the peer.
    pub fn remaining(&self) -> Duration {
        self.remaining
    }
}
