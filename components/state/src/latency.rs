//! Tells a slow backend server from slow work.

use std::time::Duration;

/// Buckets of the histogram: four to a doubling of the time in microseconds.
const BUCKETS: usize = 128;
/// Calls after which old ones count half.
const WINDOW: u32 = 512;
/// Calls needed before anything is called slow.
const NEEDED: u32 = 64;

/// What a service's calls usually take at one entry host, over all its endpoints.
///
/// Made for a mix of 1 ms and 2 s work: a mean says nothing there. A call is
/// *over* when it took longer than nine in ten of the service's recent calls
/// and half as long again. Long work is over everywhere and seldom; at a slow
/// backend server nearly every call is over.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyBaseline {
    counts: Vec<u32>,
    total: u32,
    over: f32,
}

impl Default for LatencyBaseline {
    fn default() -> LatencyBaseline {
        LatencyBaseline {
            counts: vec![0; BUCKETS],
            total: 0,
            over: 0.0,
        }
    }
}

/// Above this share of calls that are over, the service is slow and not an endpoint.
///
/// Without it a slowness that all backend servers share (a slow database
/// behind them) would shut out every one of them.
const SHARED: f32 = 0.3;

impl LatencyBaseline {
    /// Takes in one call and returns whether it tells against its endpoint.
    pub fn record(&mut self, took: Duration) -> bool {
        let over = self.is_slow(took);
        self.over += (f32::from(u8::from(over)) - self.over) / 64.0;
        if self.total >= WINDOW {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(took)] += 1;
        self.total += 1;
        over && self.over < SHARED
    }

    /// Returns whether a call that took (or has been running for) this long is over.
    pub fn is_slow(&self, took: Duration) -> bool {
        self.limit().is_some_and(|limit| took > limit)
    }

    /// Returns whether a running call tells against its endpoint.
    pub fn is_endpoint_slow(&self, runs: Duration) -> bool {
        self.over < SHARED && self.is_slow(runs)
    }

    /// Returns the time above which a call is over, once enough is known.
    pub fn limit(&self) -> Option<Duration> {
        if self.total < NEEDED {
            return None;
        }
        let rank = self.total - self.total / 10;
        let mut seen = 0;
        let index = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        })?;
        Some(ceiling(index) * 3 / 2)
    }
}

fn bucket(took: Duration) -> usize {
    let micros = took.as_micros().max(1) as f64;
    ((micros.log2() * 4.0) as usize).min(BUCKETS - 1)
}

fn ceiling(index: usize) -> Duration {
    Duration::from_micros(((index + 1) as f64 / 4.0).exp2() as u64)
}

/// How an endpoint's answers compare with its service's, over all entry hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowRate {
    share: f32,
    seen: u32,
}

/// Calls that must be seen before an endpoint is called slow.
const EVIDENCE: u32 = 6;

impl SlowRate {
    /// Takes in what an entry host saw: `over` calls out of `total`.
    pub fn note(&mut self, over: u32, total: u32) {
        if total == 0 {
            return;
        }
        let kept = 0.875_f32.powi(total.min(64) as i32);
        let share = over.min(total) as f32 / total as f32;
        self.share = self.share * kept + share * (1.0 - kept);
        self.seen = self.seen.saturating_add(total);
    }

    /// Returns whether most of its recent calls were over.
    pub fn is_slow(&self) -> bool {
        self.seen >= EVIDENCE && self.share > 0.5
    }
}
