//! Runs hosts and operators under injected faults for many seeds and checks each run's history.
//!
//! `cargo bench --bench config_history -- --seeds 200`; `--from N` sets the first
//! seed, `--runs-at-once N` the number of concurrent runs. The exit code is 1 if a
//! run violated a guarantee of the configuration.

use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use stand_ins::config_run::{FaultCounts, History, RunOptions, check, run};
use transport::log::Outcome;

/// Sums over all runs.
#[derive(Default)]
struct Total {
    runs: u64,
    commands: u64,
    accepted: u64,
    refused: u64,
    retried: u64,
    unreachable: u64,
    observations: u64,
    records: u64,
    revisions: u64,
    faults: FaultCounts,
    violations: u64,
}

impl Total {
    fn add(&mut self, history: &History) {
        self.runs += 1;
        self.commands += history.issued.len() as u64;
        for issued in &history.issued {
            self.retried += (issued.outcomes.len() > 1) as u64;
            match issued.outcomes.last() {
                Some(Outcome::Accepted { .. }) => self.accepted += 1,
                Some(Outcome::Refused { .. }) => self.refused += 1,
                Some(Outcome::Unreachable { .. }) => self.unreachable += 1,
                Some(Outcome::Unknown { .. }) | None => {}
            }
        }
        self.observations += history.observations.len() as u64;
        self.records += history.records.len() as u64;
        self.revisions += history.final_revisions.first().copied().unwrap_or(0);
        let (sum, one) = (&mut self.faults, &history.faults);
        sum.outages += one.outages;
        sum.losses += one.losses;
        sum.slow += one.slow;
        sum.links += one.links;
        sum.restarts += one.restarts;
        sum.words += one.words;
        sum.damaged += one.damaged;
        sum.repeats += one.repeats;
    }
}

fn main() -> ExitCode {
    let seeds = argument("--seeds").unwrap_or(20);
    let from = argument("--from").unwrap_or(1);
    let concurrency = argument("--runs-at-once").unwrap_or(4);
    let next = AtomicU64::new(from);
    let total = Mutex::new(Total::default());
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..concurrency {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= from + seeds {
                        return;
                    }
                    run_seed(seed, &total);
                }
            });
        }
    });
    let total = total.into_inner().expect("no run panicked");
    let faults = total.faults;
    println!(
        "{} runs in {:.0} s: {} commands, {} accepted, {} refused, {} not submitted, {} retried",
        total.runs,
        start.elapsed().as_secs_f64(),
        total.commands,
        total.accepted,
        total.refused,
        total.unreachable,
        total.retried
    );
    println!(
        "{} records, {} revisions, {} configurations observed at hosts",
        total.records, total.revisions, total.observations
    );
    println!("{faults:?}");
    println!("violated guarantees: {}", total.violations);
    ExitCode::from((total.violations > 0) as u8)
}

/// Runs one seed, prints its violations and adds it to `total`.
fn run_seed(seed: u64, total: &Mutex<Total>) {
    let options = RunOptions {
        seed,
        hosts: 5,
        operators: 4,
        commands: 30,
        faults: 40,
    };
    let history = run(options).expect("the stand-ins can be started");
    let violations = check(&history);
    for violation in &violations {
        println!("seed {seed}: {violation}");
    }
    let mut total = total.lock().expect("no run panicked");
    total.add(&history);
    total.violations += violations.len() as u64;
}

fn argument(name: &str) -> Option<u64> {
    let mut arguments = std::env::args();
    arguments.find(|a| a == name)?;
    arguments.next()?.parse().ok()
}
