//! The command `load`, which runs an experiment with one or more policies.

use std::process::ExitCode;
use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use log::LevelFilter;
use stand_ins::load::Experiment;
use stand_ins::load::bench::{bench, table, write};
use state::policy::Policy;

use crate::{cli, logs};

/// Runs an experiment file and prints a table of results.
///
/// Exits with 1 if a guarantee was violated under the policy `shared`. The other
/// policies are baselines for comparison and don't affect the exit code.
///
/// # Errors
///
/// Fails if the file is invalid or the deployment can't be started.
pub fn run(flags: &cli::Load) -> Result<ExitCode> {
    logs::start(LevelFilter::Warn)?;
    let file = flags.file.display();
    let text =
        std::fs::read_to_string(&flags.file).wrap_err_with(|| format!("can't read {file}"))?;
    let experiment = Experiment::parse(&text).wrap_err_with(|| format!("{file} is invalid"))?;
    let experiment = Arc::new(experiment);
    let policies = policies(flags.policies.as_deref())?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    let mut runs = Vec::new();
    for policy in policies {
        runs.push(runtime.block_on(bench(&experiment, policy))?);
    }
    match flags.json {
        true => {
            let summaries: Vec<_> = runs.iter().map(|r| &r.measured.summary).collect();
            println!("{}", serde_json::to_string_pretty(&summaries)?);
        }
        false => println!("{}", table(&runs)),
    }
    if let Some(directory) = &flags.out {
        write(&experiment, &runs, directory)?;
    }
    let ours = runs
        .iter()
        .filter(|r| r.measured.summary.report.policy == Policy::Shared.name());
    let violations: Vec<_> = ours.flat_map(|r| &r.measured.violations).collect();
    for violation in violations.iter().take(10) {
        eprintln!("violated guarantee: {violation}");
    }
    Ok(match violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

fn policies(names: Option<&str>) -> Result<Vec<Policy>> {
    match names {
        None => Ok(vec![Policy::Shared]),
        Some("all") => Ok(Policy::ALL.to_vec()),
        Some(names) => names
            .split(',')
            .map(|name| name.parse().map_err(|e| eyre!("{e}")))
            .collect(),
    }
}
