//! The demo: a whole site in this process, of which a data centre leaves and returns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use state::policy::Policy;

use crate::fleet::Fleet;
use crate::history::History;
use crate::history::check::{Check, Tally, Violation};
use crate::load::bench::BenchError;
use crate::load::experiment::{Action, Experiment, ExperimentError};
use crate::load::measure::{Summary, measure};
use crate::load::report::Figures;
use crate::site::{Site, SiteOptions};

const EXPERIMENT: &str = include_str!("../../../experiments/demo.toml");
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The reason why the demo could not run.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The demo's experiment file is invalid.
    #[error("the demo's experiment file is invalid: {0}")]
    Experiment(#[from] ExperimentError),
    /// The site could not be started.
    #[error(transparent)]
    Bench(#[from] BenchError),
}

/// A running site with its entry hosts.
pub struct Demo {
    experiment: Arc<Experiment>,
    site: Arc<Site>,
    fleet: Fleet,
}

/// The result of the demo.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DemoResult {
    /// The figures of the run.
    pub summary: Summary,
    /// Idempotency keys and calls without a key whose work ran more than once.
    pub run_twice: usize,
    /// Each violated guarantee, as text.
    pub broken_promises: Vec<String>,
    /// Calls that broke off, had an unknown outcome or found no connection.
    pub hurt_calls: u64,
}

impl Demo {
    /// Starts the store, the backend servers and three entry hosts on loopback.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't be started.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn start(seconds: Option<u64>) -> Result<Demo, DemoError> {
        let mut experiment = Experiment::parse(EXPERIMENT)?;
        experiment.stretch(seconds);
        let deployment = experiment.deployment.clone();
        let site = Site::start(deployment, &SiteOptions::default(), History::default())
            .await
            .map_err(BenchError::from)?;
        let fleet = Fleet::start(&site, Policy::Shared)
            .await
            .map_err(BenchError::from)?;
        Ok(Demo {
            experiment: Arc::new(experiment),
            site: Arc::new(site),
            fleet,
        })
    }

    /// Returns lines with the address of each process.
    pub fn addresses(&self) -> Vec<String> {
        let mut lines = vec![format!("log        {}", self.site.store.address())];
        for (entry, target) in self.fleet.entries.iter().zip(self.fleet.targets.iter()) {
            let ports = entry.ports();
            lines.push(format!(
                "{:<10} callers {}  admin {}",
                target.name, ports.callers, ports.admin
            ));
        }
        for service in &self.site.deployment.services {
            let backends = self.site.backends(&service.name).iter();
            let addresses: Vec<_> = backends.map(|b| b.address().to_string()).collect();
            lines.push(format!("{:<10} {}", service.name, addresses.join(" ")));
        }
        lines
    }

    /// Returns shell commands to try while the demo runs.
    pub fn hints(&self) -> Vec<String> {
        let entry = self.fleet.entries.first().map(|e| e.ports());
        let Some(ports) = entry else {
            return Vec::new();
        };
        let log = self.site.store.address();
        vec![
            format!(
                "curl -i 'http://{}/hallboard/free?work-ms=20'",
                ports.callers
            ),
            format!("curl http://{}/status", ports.admin),
            format!("cardamomvale status --entry {}", ports.admin),
            format!("cardamomvale data-centre leave trent --log-address {log}"),
            format!("cardamomvale preset list --log-address {log}"),
        ]
    }

    /// Runs the load to its end; `progress` receives a line each second.
    pub async fn drive(&self, progress: impl Fn(String) + Send + 'static) -> DemoResult {
        let progress_task = tokio::spawn(report_progress(
            Arc::clone(&self.experiment),
            self.site.history.clone(),
            progress,
        ));
        let targets = &self.fleet.targets;
        let measured = measure(&self.experiment, &self.site, targets, Policy::Shared.name()).await;
        progress_task.abort();
        let all = &measured.summary.report.all;
        DemoResult {
            run_twice: count_violations(&measured.violations, Check::AtMostOnce),
            broken_promises: measured
                .violations
                .iter()
                .map(Violation::to_string)
                .collect(),
            hurt_calls: all.broken + all.unknown + all.unreachable,
            summary: measured.summary,
        }
    }

    /// Shuts all entry hosts down gracefully.
    pub async fn stop(self) {
        self.fleet.stop().await;
    }
}

impl DemoResult {
    /// Returns whether no guarantee was violated and no call failed.
    pub fn is_good(&self) -> bool {
        self.broken_promises.is_empty() && self.hurt_calls == 0
    }

    /// Returns the results as a table for people.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<14} {:>7} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8}",
            "calls (ms)", "calls", "refused", "broken", "run twice", "p50", "p99", "p99.9"
        )];
        let report = &self.summary.report;
        lines.extend(report.flows.iter().map(|(name, f)| row(name, f, None)));
        lines.push(row("all", &report.all, Some(self.run_twice)));
        let servers = &self.summary.servers;
        lines.push(String::new());
        lines.push(format!(
            "probe cost     {:.2} in 1000 of the backend servers' time ({} load reports)",
            servers.probe_permille, servers.probes
        ));
        lines.push(format!(
            "calls at once  {} at most at one backend server of 6 slots; {} came above its limit",
            servers.peak, servers.above
        ));
        for (centre, ms) in &servers.last_call_ms {
            lines.push(format!(
                "{centre:<14} got its last new call {ms} ms after its leaving was accepted"
            ));
        }
        lines.push(String::new());
        lines.extend(self.guarantees());
        lines.join("\n")
    }

    fn guarantees(&self) -> Vec<String> {
        let checks = &self.summary.checks;
        let mut lines: Vec<String> = checks
            .iter()
            .map(|(check, violations)| match violations {
                0 => format!("kept    {check}"),
                n => format!("BROKEN  {check}: {n} times"),
            })
            .collect();
        lines.extend(self.broken_promises.iter().take(5).cloned());
        lines
    }
}

fn row(name: &str, figures: &Figures, run_twice: Option<usize>) -> String {
    let latency = figures.latency;
    format!(
        "{name:<14} {:>7} {:>8} {:>7} {:>9} {:>8.1} {:>8.1} {:>8.1}",
        figures.calls,
        figures.refused,
        figures.broken + figures.unknown + figures.unreachable,
        run_twice.map_or(String::new(), |n| n.to_string()),
        latency.p50,
        latency.p99,
        latency.p999,
    )
}

fn count_violations(violations: &[Violation], check: Check) -> usize {
    violations.iter().filter(|v| v.check == check).count()
}

async fn report_progress(experiment: Arc<Experiment>, history: History, progress: impl Fn(String)) {
    let mut reported = BTreeMap::new();
    for second in 1.. {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let tally = Tally::of(&history.sorted());
        let happened = experiment
            .events
            .iter()
            .filter(|e| e.at_ms <= second * 1_000 && reported.insert(e.at_ms, ()).is_none());
        let lines: Vec<String> = happened
            .map(|e| match &e.action {
                Action::Leave(centre) => format!("  operators take {centre} out"),
                Action::Return(centre) => format!("  operators bring {centre} back"),
                other => format!("  {other:?}"),
            })
            .collect();
        progress(format!(
            "{second:>3} s  {} calls sent, {} answered, {} refused, {} failed{}",
            tally.calls,
            tally.complete,
            tally.refused,
            tally.unknown + tally.broken + tally.unreachable,
            lines.concat()
        ));
    }
}
