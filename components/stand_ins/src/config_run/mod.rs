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

use crate::store::{Behaviour, StoreStandIn};

pub use check::{Violation, check};
pub use faults::FaultCounts;
pub use hosts::Observation;
pub use operators::IssuedCommand;

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
    pub observations: Vec<Observation>,
    /// What operators were told.
    pub issued: Vec<IssuedCommand>,
    /// Every record of the log, in its order.
    pub records: Vec<bytes::Bytes>,
    /// The revision in force at each host when all had read to the end.
    pub final_revisions: Vec<u64>,
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
    let log = StoreStandIn::on_loopback(Behaviour {
        keep_records: Some(96),
        ..Behaviour::default()
    })?;
    log.record_journal();
    let hosts = Hosts::start(options.hosts, &log, &runtime)?;
    let issued = Mutex::new(Vec::new());
    let mut faults = FaultCounts::default();
    std::thread::scope(|scope| {
        for operator in 0..options.operators {
            let (hosts, issued) = (&hosts, &issued);
            let draw = generator(options.seed, 1 + operator as u64);
            scope.spawn(move || operators::work(hosts, operator, options.commands, draw, issued));
        }
        faults = faults::cause(&log, &hosts, options.faults, generator(options.seed, 0));
    });
    let issued = operators::ask_again(&hosts, issued.into_inner().unwrap_or_default());
    let final_revisions = hosts.settle(&log, Instant::now() + HEAL_LIMIT);
    Ok(History {
        observations: hosts.shown(),
        issued,
        records: log.journal(CONFIG_STREAM),
        final_revisions,
        faults,
    })
}

fn generator(seed: u64, part: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(part))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
