//! The calls of a run: when, where, how long.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One call.
#[derive(Clone, Copy)]
pub struct Job {
    /// When it arrives, in microseconds from the first.
    pub at: u64,
    /// The entry host it comes to.
    pub host: usize,
    /// How long its work takes, in microseconds.
    pub work: u64,
}

/// How long work takes.
#[derive(Clone, Copy, PartialEq)]
pub enum Mix {
    /// Exponential with a mean of 20 ms.
    Exponential,
    /// 99% of 1 ms and 1% of 2 s.
    Bimodal,
}

/// Where calls arrive.
#[derive(Clone, Copy, PartialEq)]
pub enum Spread {
    /// At any host alike.
    Even,
    /// All at one, which changes every two seconds.
    Skew,
}

/// One backend server becomes slow.
#[derive(Clone, Copy, PartialEq)]
pub struct Slow {
    /// When, in microseconds from the first call.
    pub from: u64,
    /// How many times.
    pub factor: u64,
}

/// The size and the load of a run.
#[derive(Clone, Copy, PartialEq)]
pub struct Setting {
    /// What the run is called.
    pub name: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// Endpoints of the service.
    pub endpoints: usize,
    /// Slots of an endpoint.
    pub slots: u32,
    /// The share of all slot time that the calls need.
    pub load: f64,
    /// How long work takes.
    pub mix: Mix,
    /// Where calls arrive.
    pub spread: Spread,
    /// Calls come in bursts of 200 ms each second, at 150%, and else at `load`.
    pub burst: bool,
    /// One backend server becomes slow.
    pub slow: Option<Slow>,
    /// Calls in the run.
    pub calls: usize,
    /// From one host to another, in microseconds.
    pub one_way: u64,
    /// A call's deadline, in microseconds from its arrival.
    pub deadline: u64,
}

impl Setting {
    /// Hallboard's size: 11 endpoints of 6 slots, 15 entry hosts.
    pub const HALLBOARD: Setting = Setting {
        name: "80%",
        hosts: 15,
        endpoints: 11,
        slots: 6,
        load: 0.8,
        mix: Mix::Exponential,
        spread: Spread::Even,
        burst: false,
        slow: None,
        calls: 120_000,
        one_way: 500,
        deadline: 10_000_000,
    };

    /// Returns all slots of the service.
    pub fn capacity(&self) -> u32 {
        self.slots * self.endpoints as u32
    }

    /// Draws the calls of a run.
    pub fn jobs(&self, seed: u64) -> Vec<Job> {
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
        match self.mix {
            Mix::Exponential => {
                let drawn = -rng.random::<f64>().max(1e-12).ln() * self.mean();
                (drawn as u64).max(1)
            }
            Mix::Bimodal if rng.random_bool(0.01) => 2_000_000,
            Mix::Bimodal => 1_000,
        }
    }

    fn mean(&self) -> f64 {
        match self.mix {
            Mix::Exponential => 20_000.0,
            Mix::Bimodal => 0.99 * 1_000.0 + 0.01 * 2_000_000.0,
        }
    }
}
