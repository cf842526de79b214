//! Concurrent runs of the configuration: hosts that follow one log, operators who race, and faults.
//!
//! A run writes down what each host showed and what each operator was told.
//! [`check`] then holds that against what stands on the log.

mod check;
mod faults;
mod hosts;
mod operators;

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derives::{tag, value};
use rand::SeedableRng;
use rand::rngs::StdRng;
use transport::log::CONFIG_STREAM;

use crate::log::{Behaviour, LogStandIn};

pub use check::{Broken, check};
pub use faults::FaultCounts;
pub use hosts::Shown;
pub use operators::Told;

use hosts::Hosts;

/// How large a run is.
#[tag]
pub struct RunOptions {
    /// Decides commands, faults and their order.
    pub seed: u64,
    /// Entry hosts.
    pub hosts: usize,
    /// Operators who race.
    pub operators: usize,
    /// Commands of each operator.
    pub commands: usize,
    /// Faults, one after the other, while the operators are at work.
    pub faults: usize,
}

/// What was seen in a run.
#[value]
#[derive(Default)]
pub struct History {
    /// What hosts showed, in each host's own order.
    pub shown: Vec<Shown>,
    /// What operators were told.
    pub told: Vec<Told>,
    /// Every record of the log, in its order.
    pub records: Vec<bytes::Bytes>,
    /// The revision in force at each host when all had read to the end.
    pub last: Vec<u64>,
    /// The faults that were caused.
    pub faults: FaultCounts,
}

/// How long hosts may take to come to the log's end after the last fault.
const HEAL_LIMIT: Duration = Duration::from_secs(20);

/// Runs hosts, operators and faults, and returns what was seen.
///
/// # Errors
///
/// Says why the stand-ins can't be started.
pub fn run(options: RunOptions) -> io::Result<History> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let log = LogStandIn::on_loopback(Behaviour {
        keep_records: Some(96),
        ..Behaviour::default()
    })?;
    log.keep_journal();
    let hosts = Hosts::start(options.hosts, &log, &runtime)?;
    let told = Mutex::new(Vec::new());
    let mut faults = FaultCounts::default();
    std::thread::scope(|scope| {
        for operator in 0..options.operators {
            let (hosts, told) = (&hosts, &told);
            let draw = generator(options.seed, 1 + operator as u64);
            scope.spawn(move || operators::work(hosts, operator, options.commands, draw, told));
        }
        faults = faults::cause(&log, &hosts, options.faults, generator(options.seed, 0));
    });
    let told = operators::ask_again(&hosts, told.into_inner().unwrap_or_default());
    let last = hosts.settle(&log, Instant::now() + HEAL_LIMIT);
    Ok(History {
        shown: hosts.shown(),
        told,
        records: log.journal(CONFIG_STREAM),
        last,
        faults,
    })
}

fn generator(seed: u64, part: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(part))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
