//! Distinguishes slow backend servers from slow work.

use std::time::Duration;

/// The number of histogram buckets; four buckets cover a doubling of the time in
/// microseconds.
const BUCKETS: usize = 128;
/// The number of calls after which the weight of earlier calls is halved.
const HALVING_WINDOW: u32 = 512;
/// The number of calls needed before any call counts as slow.
const MIN_CALLS: u32 = 64;

/// The distribution of a service's recent call durations at one entry host, over all
/// endpoints.
///
/// A mean is meaningless for a mix of calls of 1 ms and 2 s. A call counts as slow if it
/// took more than one and a half times as long as nine in ten of the service's recent
/// calls. Long work is rare at every server, while at a slow backend server nearly every
/// call is slow.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyBaseline {
    counts: Vec<u32>,
    total: u32,
    slow: f32,
}

impl Default for LatencyBaseline {
    fn default() -> LatencyBaseline {
        LatencyBaseline {
            counts: vec![0; BUCKETS],
            total: 0,
            slow: 0.0,
        }
    }
}

/// The fraction of slow calls from which the service as a whole is slow, not a single
/// endpoint.
///
/// Without this limit a slowness shared by all backend servers, such as that of a slow
/// database behind them, would take all of them out of use.
const SHARED_SLOWNESS: f32 = 0.3;

impl LatencyBaseline {
    /// Records a call and returns whether it counts against its endpoint.
    pub fn record(&mut self, took: Duration) -> bool {
        let slow = self.is_slow(took);
        self.slow += (f32::from(u8::from(slow)) - self.slow) / 64.0;
        if self.total >= HALVING_WINDOW {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(took)] += 1;
        self.total += 1;
        slow && self.slow < SHARED_SLOWNESS
    }

    /// Returns whether a call that took, or has been running for, this long is slow.
    pub fn is_slow(&self, took: Duration) -> bool {
        self.threshold().is_some_and(|threshold| took > threshold)
    }

    /// Returns whether a call that has been running for this long counts against its
    /// endpoint.
    pub fn is_endpoint_slow(&self, runs: Duration) -> bool {
        self.slow < SHARED_SLOWNESS && self.is_slow(runs)
    }

    /// Returns the time above which a call is slow, or `None` until enough calls were
    /// recorded.
    pub fn threshold(&self) -> Option<Duration> {
        if self.total < MIN_CALLS {
            return None;
        }
        let rank = self.total - self.total / 10;
        let mut seen = 0;
        let index = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        })?;
        Some(upper_bound(index) * 3 / 2)
    }
}

fn bucket(took: Duration) -> usize {
    let micros = took.as_micros().max(1) as f64;
    ((micros.log2() * 4.0) as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    Duration::from_micros(((index + 1) as f64 / 4.0).exp2() as u64)
}

/// The fraction of slow calls among one endpoint's recent calls, as seen by all entry hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowRate {
    fraction: f32,
    seen: u32,
}

/// The number of calls needed before an endpoint counts as slow.
const MIN_ENDPOINT_CALLS: u32 = 6;

impl SlowRate {
    /// Adds the observation of an entry host: `slow` of `total` calls were slow.
    pub fn note(&mut self, slow: u32, total: u32) {
        if total == 0 {
            return;
        }
        let kept = 0.875_f32.powi(total.min(64) as i32);
        let fraction = slow.min(total) as f32 / total as f32;
        self.fraction = self.fraction * kept + fraction * (1.0 - kept);
        self.seen = self.seen.saturating_add(total);
    }

    /// Returns whether most of the endpoint's recent calls were slow.
    pub fn is_slow(&self) -> bool {
        self.seen >= MIN_ENDPOINT_CALLS && self.fraction > 0.5
    }
}
