//! Concurrent runs of the configuration: hosts that follow one log, racing operators and faults.
//!
//! A run records what each host showed and which answers each operator got.
//! [`check`] then compares that with the records on the log.

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

/// The size of a run.
#[tag]
pub struct RunOptions {
    /// The seed of the commands, the faults and their order.
    pub seed: u64,
    /// The number of entry hosts.
    pub hosts: usize,
    /// The number of operators, who work concurrently.
    pub operators: usize,
    /// The number of commands of each operator.
    pub commands: usize,
    /// The number of faults, injected one after the other while the operators work.
    pub faults: usize,
}

/// What was observed in a run.
#[value]
#[derive(Default)]
pub struct History {
    /// The configurations that hosts showed, in order for each host.
    pub observations: Vec<Observation>,
    /// The commands of the operators and their answers.
    pub issued: Vec<IssuedCommand>,
    /// All records of the log, in order.
    pub records: Vec<bytes::Bytes>,
    /// The revision in force at each host after all had read to the end of the log.
    pub final_revisions: Vec<u64>,
    /// The injected faults.
    pub faults: FaultCounts,
}

/// How long hosts may take to read to the log's end after the last fault.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs hosts, operators and faults, and returns what was observed.
///
/// # Errors
///
/// Fails if the stand-ins can't be started.
pub fn run(options: RunOptions) -> io::Result<History> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let store = StoreStandIn::on_loopback(Behaviour {
        keep_records: Some(96),
        ..Behaviour::default()
    })?;
    store.record_journal();
    let hosts = Hosts::start(options.hosts, &store, &runtime)?;
    let issued = Mutex::new(Vec::new());
    let mut faults = FaultCounts::default();
    std::thread::scope(|scope| {
        for operator in 0..options.operators {
            let (hosts, issued) = (&hosts, &issued);
            let rng = seeded_rng(options.seed, 1 + operator as u64);
            scope.spawn(move || operators::issue(hosts, operator, options.commands, rng, issued));
        }
        faults = faults::inject(&store, &hosts, options.faults, seeded_rng(options.seed, 0));
    });
    let issued = operators::retry_unknown(&hosts, issued.into_inner().unwrap_or_default());
    let final_revisions = hosts.wait_converged(&store, Instant::now() + CONVERGENCE_TIMEOUT);
    Ok(History {
        observations: hosts.observations(),
        issued,
        records: store.journal(CONFIG_STREAM),
        final_revisions,
        faults,
    })
}

fn seeded_rng(seed: u64, stream: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(stream))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
