//! Random numbers with a fixed seed.

use std::time::Duration;

/// A xorshift generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns an index below `count`.
    pub fn index(&mut self, count: usize) -> usize {
        (self.fraction() * count as f64) as usize
    }

    /// Returns the time to the next of events that come independently, `rate` a second.
    pub fn gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.fraction()).ln() / rate)
    }
}
