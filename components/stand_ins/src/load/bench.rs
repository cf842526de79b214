//! Runs an experiment with several policies; writes its table, reports and plot.

use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use state::policy::Policy;

use super::experiment::Experiment;
use super::measure::{Measured, Summary, measure};
use super::plot::{Curve, PlotError, Timeline, draw};
use super::report::TimeHistogram;
use crate::fleet::{Fleet, FleetError};
use crate::history::{History, Outcome, Record, write_lines};
use crate::site::{Site, SiteError, SiteOptions};

/// The reason why an experiment could not be run.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The store or a backend server could not be started.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// An entry host could not be started.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A file could not be written.
    #[error("can't write {path}: {source}; does the directory exist?")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

/// The run of one policy.
pub struct Run {
    /// The measurements.
    pub measured: Measured,
    /// The complete history.
    pub records: Vec<Record>,
}

/// Starts the deployment of `experiment` in this process and runs it with `policy`.
///
/// # Errors
///
/// Fails if the deployment can't be started.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub async fn bench(experiment: &Arc<Experiment>, policy: Policy) -> Result<Run, BenchError> {
    let history = History::default();
    let deployment = experiment.deployment.clone();
    let site = Site::start(deployment, &SiteOptions::default(), history).await?;
    let fleet = Fleet::start(&site, policy).await?;
    let site = Arc::new(site);
    let measured = measure(experiment, &site, &fleet.targets, policy.name()).await;
    let records = site.history.sorted();
    fleet.stop().await;
    Ok(Run { measured, records })
}

/// Writes the reports, histories and plot of `runs` into `directory`.
///
/// # Errors
///
/// Fails if a file can't be written or the plot can't be drawn.
pub fn write(experiment: &Experiment, runs: &[Run], directory: &Path) -> Result<(), BenchError> {
    let file = |name: String| directory.join(name);
    for run in runs {
        let policy = &run.measured.summary.report.policy;
        let name = format!("{}-{policy}.json", experiment.name);
        save(file(name), |out| {
            serde_json::to_writer_pretty(out, &run.measured.summary).map_err(io::Error::from)
        })?;
        let name = format!("{}-{policy}.history.jsonl", experiment.name);
        save(file(name), |out| write_lines(&run.records, out))?;
    }
    let picture = picture(experiment, runs)?;
    save(file(format!("{}.svg", experiment.name)), |out| {
        io::Write::write_all(out, picture.as_bytes())
    })
}

/// Returns the table of `runs`, with the limit computed for the first of them.
pub fn table(runs: &[Run]) -> String {
    let mut lines = vec![Summary::heading()];
    lines.extend(runs.iter().map(|run| run.measured.summary.row()));
    lines.extend(runs.first().map(|run| run.measured.summary.limit_row()));
    for run in runs.iter().filter(|r| r.measured.summary.phases.len() > 1) {
        lines.push(format!("\n{}", run.measured.summary.report.policy));
        lines.extend(run.measured.summary.phase_rows());
        for (centre, ms) in &run.measured.summary.servers.last_call_ms {
            lines.push(format!(
                "{centre}: last new call {ms} ms after the command to leave was accepted"
            ));
        }
    }
    lines.join("\n")
}

fn picture(experiment: &Experiment, runs: &[Run]) -> Result<String, PlotError> {
    let mut lines: Vec<(String, TimeHistogram)> = runs
        .iter()
        .map(|run| {
            let label = run.measured.summary.report.policy.clone();
            (label, latencies(experiment, &run.measured))
        })
        .collect();
    let first = runs.first().map(|run| &run.measured);
    let Some(first) = first else {
        return Ok(String::new());
    };
    lines.push(("limit".to_owned(), ideal(experiment, first)));
    let curves: Vec<Curve<'_>> = lines
        .iter()
        .map(|(label, times)| Curve {
            label: label.clone(),
            times,
        })
        .collect();
    let timeline = Timeline {
        experiment,
        plan: &first.plan,
        samples: &first.samples,
    };
    draw(&curves, &timeline)
}

fn latencies(experiment: &Experiment, measured: &Measured) -> TimeHistogram {
    let mut times = TimeHistogram::default();
    for sample in &measured.samples {
        let warm = measured.plan.calls[sample.call].at.as_secs() >= experiment.warm_up;
        if warm && sample.outcome == Outcome::Complete {
            times.add(sample.latency);
        }
    }
    times
}

fn ideal(experiment: &Experiment, measured: &Measured) -> TimeHistogram {
    let mut times = TimeHistogram::default();
    for (planned, ideal) in measured.plan.calls.iter().zip(&measured.ideals) {
        if planned.at.as_secs() >= experiment.warm_up {
            ideal.latency.into_iter().for_each(|l| times.add(l));
        }
    }
    times
}

fn save(
    path: PathBuf,
    write: impl FnOnce(&mut BufWriter<File>) -> io::Result<()>,
) -> Result<(), BenchError> {
    let made = path.parent().map_or(Ok(()), fs::create_dir_all);
    let saved = made.and_then(|()| File::create(&path)).and_then(|file| {
        let mut out = BufWriter::new(file);
        write(&mut out)?;
        io::Write::flush(&mut out)
    });
    saved.map_err(|source| BenchError::File { path, source })
}
