//! Decides when a peer that moves bytes too slowly is given up on.

use std::time::Duration;

/// The longest time one end may be waited for without a byte.
///
/// Long enough for a lost packet to be sent again several times on a bad line.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The least rate that keeps a transfer alive, in bytes a second.
pub const MIN_RATE: u64 = 16 * 1024;

/// How much longer one end of a transfer may be waited for.
///
/// Made for callers that send or read a byte a second. A limit on the time
/// without progress alone would let each of them hold a slot for hours, until
/// none is left for the rest. So the time spent waiting is taken from an
/// allowance, and only bytes give it back: whoever moves less than
/// [`MIN_RATE`] on average runs out of it after [`STALL_TIMEOUT`].
#[derive(Clone, Copy, Debug)]
pub struct StallTimer {
    left: Duration,
}

impl Default for StallTimer {
    fn default() -> StallTimer {
        StallTimer {
            left: STALL_TIMEOUT,
        }
    }
}

impl StallTimer {
    /// Takes the time spent waiting from the allowance.
    pub fn note_wait(&mut self, time: Duration) {
        self.left = self.left.saturating_sub(time);
    }

    /// Gives back what `bytes` have earned, up to [`STALL_TIMEOUT`].
    pub fn note_bytes(&mut self, bytes: u64) {
        let earned = Duration::from_micros(bytes.saturating_mul(1_000_000) / MIN_RATE);
        self.left = (self.left + earned).min(STALL_TIMEOUT);
    }

    /// Returns how much longer it may be waited for.
    pub fn remaining(&self) -> Duration {
        self.left
    }
}
