//! The calls of a run: when and where each arrives, and how long it works.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One call.
#[derive(Clone, Copy)]
pub struct Job {
    /// The time of arrival, in microseconds from the start of the load.
    pub at: u64,
    /// The index of the entry host that the call arrives at.
    pub host: usize,
    /// The working time at a backend server, in microseconds.
    pub work: u64,
}

/// The distribution of working times.
#[derive(Clone, Copy, PartialEq)]
pub enum WorkDistribution {
    /// Exponential with a mean of 20 ms.
    Exponential,
    /// 99% of 1 ms and 1% of 2 s.
    Bimodal,
}

/// The entry hosts that calls arrive at.
#[derive(Clone, Copy, PartialEq)]
pub enum Spread {
    /// A host drawn uniformly at random for each call.
    Even,
    /// One host for all calls, another one every two seconds.
    Skew,
}

/// A slowdown of one backend server.
#[derive(Clone, Copy, PartialEq)]
pub struct Slow {
    /// When the slowdown begins, in microseconds from the start of the load.
    pub from: u64,
    /// The factor on working times.
    pub factor: u64,
}

/// The size and the load of a run.
#[derive(Clone, Copy, PartialEq)]
pub struct Scenario {
    /// The name of the run in the table and in the plot.
    pub name: &'static str,
    /// The number of entry hosts.
    pub hosts: usize,
    /// The number of endpoints of the service.
    pub endpoints: usize,
    /// The number of slots of each endpoint.
    pub slots: u32,
    /// The fraction of all slot time that the calls need.
    pub load: f64,
    /// The distribution of working times.
    pub distribution: WorkDistribution,
    /// The entry hosts that calls arrive at.
    pub spread: Spread,
    /// Whether each second begins with a burst of 200 ms at 150%; the rest is at `load`.
    pub burst: bool,
    /// A slowdown of the first backend server.
    pub slow: Option<Slow>,
    /// The number of calls in the run.
    pub calls: usize,
    /// The one-way delay of a message between hosts, in microseconds.
    pub one_way: u64,
    /// The deadline of a call, in microseconds from its arrival.
    pub deadline: u64,
}

impl Scenario {
    /// The size of `hallboard` in `examples/midlands.toml`, with 15 entry hosts.
    ///
    /// There are 11 endpoints of 6 slots.
    pub const HALLBOARD: Scenario = Scenario {
        name: "80%",
        hosts: 15,
        endpoints: 11,
        slots: 6,
        load: 0.8,
        distribution: WorkDistribution::Exponential,
        spread: Spread::Even,
        burst: false,
        slow: None,
        calls: 120_000,
        one_way: 500,
        deadline: 10_000_000,
    };

    /// Returns the number of slots of the service.
    pub fn capacity(&self) -> u32 {
        self.slots * self.endpoints as u32
    }

    /// Draws the calls of a run at random.
    pub fn draw_jobs(&self, seed: u64) -> Vec<Job> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at = 0.0;
        (0..self.calls)
            .map(|_| {
                at += self.gap(at, &mut rng);
                Job {
                    at: at as u64,
                    host: self.host(at, &mut rng),
                    work: self.work(&mut rng),
                }
            })
            .collect()
    }

    /// Draws the time to the next arrival, exponentially distributed, in microseconds.
    fn gap(&self, at: f64, rng: &mut StdRng) -> f64 {
        let bursting = self.burst && at % 1e6 < 2e5;
        let load = if bursting { 1.5 } else { self.load };
        let rate = load * f64::from(self.capacity()) / self.mean();
        -rng.random::<f64>().max(1e-12).ln() / rate
    }

    fn host(&self, at: f64, rng: &mut StdRng) -> usize {
        match self.spread {
            Spread::Even => rng.random_range(0..self.hosts),
            Spread::Skew => (at / 2e6) as usize * 7 % self.hosts,
        }
    }

    fn work(&self, rng: &mut StdRng) -> u64 {
        match self.distribution {
            WorkDistribution::Exponential => {
                let drawn = -rng.random::<f64>().max(1e-12).ln() * self.mean();
                (drawn as u64).max(1)
            }
            WorkDistribution::Bimodal if rng.random_bool(0.01) => 2_000_000,
            WorkDistribution::Bimodal => 1_000,
        }
    }

    /// Returns the mean working time, in microseconds.
    fn mean(&self) -> f64 {
        match self.distribution {
            WorkDistribution::Exponential => 20_000.0,
            WorkDistribution::Bimodal => 0.99 * 1_000.0 + 0.01 * 2_000_000.0,
        }
    }
}
